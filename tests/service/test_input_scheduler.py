"""Input in slices of time: no turn exceeds its budget, connections take turns, nothing is lost or reordered.

The scheduler's clock advances by a set amount for each value that is handled, so that the verdict does not
depend on the machine.
"""

from random import Random

import pytest
from loopback import VALUE

from granitedock.service.input_scheduler import InputScheduler, TurnLimits
from granitedock.service.resp import encode_command
from granitedock.service.resp_receiver import PARSE_WINDOW_BYTES, STEPS_PER_LOOK_AT_CLOCK, RespReceiver

PING = encode_command(b"PING")
VALUE_S = 0.0001  # The time that a value takes.
ROUNDING_S = 1e-9
STEP_S = 1e-4
MAX_ITERATIONS = 20000
LIMITS = TurnLimits()
VALUES_PER_SLICE = round(LIMITS.slice_s / VALUE_S)
RECEIVER_LIMITS = (1024, 65536, 69632, 64, 4)


class Polls:
    earliest_arrival_ms = last_poll_ended_ms = 0.0


class StepClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class Transport:
    disconnecting, connected, reading = False, True, True
    aborted = False

    def pauseProducing(self):
        self.reading = False

    def resumeProducing(self):
        self.reading = True

    def abortConnection(self):
        self.aborted = True


class Receiver(RespReceiver):
    """Records the values that it handles; each takes `VALUE_S`."""

    shares_read_time = True

    def __init__(self, scheduler, handled, name=""):
        super().__init__(*RECEIVER_LIMITS)
        self.scheduler, self.handled, self.name = scheduler, handled, name
        self.parsed_inputs = 0
        self.makeConnection(Transport())

    def value_received(self, value, parts):
        self.scheduler.clock.now += VALUE_S
        self.handled.append((self.name, value))

    def malformed(self, reason):
        self.handled.append((self.name, reason))

    def input_parsed(self):
        self.parsed_inputs += 1


@pytest.fixture
def scheduler():
    return InputScheduler(Polls(), clock=StepClock())


def run_turns(scheduler):
    """Run turns, waiting where the scheduler does, until no input waits; return the time of each turn."""
    turns = []
    while (wait_s := scheduler.seconds_until_turn()) is not None:
        scheduler.clock.now += wait_s + ROUNDING_S
        began = scheduler.clock.now
        scheduler.run_turn()
        turns.append(scheduler.clock.now - began)
    return turns


def test_a_read_and_a_turn_take_at_most_their_time_and_one_value(scheduler):
    """Guards against a turn that handles a whole read of each connection."""
    handled = []
    receivers = [Receiver(scheduler, handled) for _ in range(20)]
    scheduler.poll_ended()
    began = scheduler.clock.now
    for receiver in receivers:
        before = scheduler.clock.now
        receiver.dataReceived(PING * 1000)
        assert scheduler.clock.now - before <= LIMITS.slice_s + VALUE_S
    assert scheduler.clock.now - began <= LIMITS.reads_s + LIMITS.slice_s + VALUE_S
    turns = run_turns(scheduler)
    assert max(turns) <= LIMITS.turn_s + LIMITS.slice_s + VALUE_S
    assert len(handled) == 20 * 1000 and {receiver.parsed_inputs for receiver in receivers} == {1}


def test_connections_with_a_backlog_take_turns_and_a_new_one_goes_first(scheduler):
    handled = []
    floods = [Receiver(scheduler, handled, name) for name in "ab"]
    scheduler.poll_ended()
    for flood in floods:
        flood.dataReceived(PING * 100)
    assert scheduler.has_time_for_reads()
    scheduler.clock.now += LIMITS.reads_s  # No time is left for the reads of this poll.
    usual = Receiver(scheduler, handled, "usual")
    usual.dataReceived(PING)
    assert usual.waits_for_slice
    handled.clear()
    run_turns(scheduler)
    slices = "".join(name for name, _ in handled[1::VALUES_PER_SLICE])
    assert handled[0][0] == "usual" and slices.startswith("abababab")


def test_a_connection_with_requests_goes_before_hundreds_without_and_those_have_their_turns_too(scheduler):
    """Guards against the connection of a front that waits for a slice of each of 300 others that flood."""
    handled = []
    floods = [Receiver(scheduler, handled, "flood") for _ in range(300)]
    front = Receiver(scheduler, handled, "front")
    scheduler.poll_ended()
    for receiver in floods:
        receiver.is_preferred = False
        receiver.dataReceived(PING * 100)
    front.dataReceived(PING * 100)
    handled.clear()
    while front.waits_for_slice:
        scheduler.clock.now += (scheduler.seconds_until_turn() or 0.0) + ROUNDING_S
        scheduler.run_turn()
    names = [name for name, _ in handled]
    # All have had their first slice, a short one; then the front's backlog goes first.
    assert names.count("flood") <= len(floods) * 3 + 100 // VALUES_PER_SLICE * VALUES_PER_SLICE
    assert names.count("front") == 100
    run_turns(scheduler)
    assert len(handled) + LIMITS.reads_s / VALUE_S >= 300 * 100


def test_connections_with_a_backlog_get_at_most_their_share_of_the_time(scheduler):
    """Guards against a process that uses up its share of the processor in the middle of other requests."""
    receiver = Receiver(scheduler, [])
    scheduler.poll_ended()
    receiver.dataReceived(PING * 1000)
    began = scheduler.clock.now
    turns = run_turns(scheduler)
    elapsed = scheduler.clock.now - began
    assert sum(turns[:-1]) <= LIMITS.backlog_share * elapsed + LIMITS.turn_s


def mixed_input(random, count):
    """Return random simple and nested values, and what is expected of them."""
    pieces, expected = [], []
    for number in range(count):
        if random.random() < 0.3:
            pieces.append(b"+%d\r\n" % number)
            expected.append(str(number))
        else:
            text = random.randbytes(random.choice((0, 3, 200, 5000)))
            pieces.append(encode_command(b"%d" % number, text))
            expected.append([b"%d" % number, text])
    return b"".join(pieces), expected


@pytest.mark.parametrize("seed", range(20))
def test_slices_lose_repeat_and_reorder_nothing(scheduler, seed):
    random = Random(seed)
    data, expected = mixed_input(random, 200)
    handled = []
    receiver = Receiver(scheduler, handled)
    while data:
        if receiver.transport.reading:
            cut = random.randrange(1, 16384)
            scheduler.poll_ended()
            receiver.dataReceived(data[:cut])
            data = data[cut:]
        elif random.random() < 0.2:
            receiver.paused = True
            scheduler.run_turn()
            receiver.resumeProducing()
        else:
            scheduler.clock.now += (scheduler.seconds_until_turn() or 0.0) + ROUNDING_S
            scheduler.run_turn()
    run_turns(scheduler)
    assert [value for _, value in handled] == expected and not receiver.has_partial_message()


def test_a_connection_that_ends_or_fails_while_its_input_waits_is_left_alone(scheduler):
    handled = []
    ended, failing, usual = (Receiver(scheduler, handled, name) for name in ("ended", "failing", "usual"))
    scheduler.poll_ended()
    for receiver in (ended, failing, usual):
        receiver.dataReceived(PING * 30)
    ended.transport.connected = False

    def fail(_value, _parts):
        raise TypeError("raised by the test")

    failing.value_received = fail
    handled.clear()
    run_turns(scheduler)
    assert {name for name, _ in handled} == {"usual"} and len(handled) == 30 - VALUES_PER_SLICE
    assert failing.transport.aborted and not usual.transport.aborted


def test_the_longest_step_that_is_not_cut_is_one_value_or_some_lines(scheduler):
    """States the bound of a step: a window of simple values is split at once; lines are handled in runs."""
    assert PARSE_WINDOW_BYTES <= 4096 and STEPS_PER_LOOK_AT_CLOCK <= 16
    handled = []
    receiver = Receiver(scheduler, handled)
    scheduler.poll_ended()
    receiver.dataReceived(b"+\r\n" * 5000)
    assert len(handled) <= VALUES_PER_SLICE + STEPS_PER_LOOK_AT_CLOCK


# A whole gateway.


def flood_and_request(gateway, floods):
    """Send a flood on some connections and a request on another; return its connection."""
    usual = gateway.client()
    clients = [gateway.client() for _ in range(floods)]
    for client in clients:
        client.send(PING * 1100)
    usual.send(gateway.request())
    return usual, clients


def run_until(gateway, clock, condition):
    """Run iterations of the event loop until the condition has a true result, and return that."""
    for _ in range(MAX_ITERATIONS):
        gateway.run_loop(1)
        clock.now += STEP_S
        if result := condition():
            return result
    raise AssertionError("the condition did not come true")


@pytest.mark.parametrize("floods", [1, 12, 20])
def test_a_request_beside_floods_reaches_its_host_within_a_few_turns(make_gateway, floods):
    """Guards against requests that wait until the whole input of every flooding client is handled."""
    gateway = make_gateway(sockets=256)
    clock = StepClock()
    gateway.reactor.input_scheduler.clock = clock
    handle = gateway.service.process_input

    def handle_slowly(*arguments):
        clock.now += VALUE_S
        handle(*arguments)

    gateway.service.process_input = handle_slowly
    usual, clients = flood_and_request(gateway, floods)
    began = clock.now
    host = run_until(gateway, clock, gateway.hosts[0].accept)
    gateway.host_peers.append(host)
    # Three polls: of the request, of its total, and of the connection to its host.
    assert clock.now - began < 3 * (LIMITS.reads_s + LIMITS.turn_s) + 0.01
    host.send(VALUE)
    assert run_until(gateway, clock, usual.read) == VALUE
    run_until(gateway, clock, lambda: not gateway.has_waiting_input())
    assert {client.read().count(b"+PONG") for client in clients} == {1100}


def test_input_that_waits_at_a_shutdown_is_answered_before_its_connection_is_closed(make_gateway):
    """Guards against a shutdown that closes a connection of which some commands are read and not parsed."""
    gateway = make_gateway()
    scheduler = gateway.reactor.input_scheduler
    client = gateway.client()
    clock = StepClock()
    scheduler.clock = clock
    scheduler.has_time_for_reads = lambda: False  # Other connections have used up the time for reads.
    client.send(gateway.request())
    gateway.service.shut_down()
    gateway.reactor.doPoll(0)
    assert gateway.has_waiting_input()
    gateway.pass_ms(gateway.limits.open_ms + gateway.limits.fresh_ms)
    answer = client.read()
    host = gateway.accept_at_host()
    assert host is not None or answer.startswith(b"-BUSY")
