"""Input that one connection sends at once, and the time for which it holds the event loop.

Guards against parsing whose work grows faster than the input: while one connection's input is parsed, no
other connection and no timer has its turn. Times are processor times, so that a busy machine does not count.
"""

import contextlib
import random
import time
from collections import Counter

import pytest
from loopback import LoopbackGateway
from processor_time import MAX_HOLD_S, READ_BYTES, HoldTimer, frozen_heap

from granitedock.service.resp import ErrorReply, encode_command
from granitedock.service.resp_receiver import RespReceiver

LIMITS = (1024, 65536, 69632, 64, 4)  # Of a receiver: line, bulk string and value bytes; items, depth.
SMALL_LIMITS = (64, 128, 256, 8, 3)  # Random values reach each of them.
LONG_ARRAY = b"*64\r\n" + 64 * b"$1\r\na\r\n"
VALUES = {
    "ping": encode_command(b"PING"),
    "info": encode_command(b"INFO"),
    "unknown command": encode_command(b"X", b"a"),
    "command with a line end": encode_command(b"X", b"\r\n"),
    "bulk string": b"$1\r\na\r\n",
    "empty bulk string": b"$0\r\n\r\n",
    "bulk string with a line end": b"$2\r\n\r\n\r\n",
    "long bulk string": b"$1024\r\n" + 1024 * b"a" + b"\r\n",
    "null": b"$-1\r\n",
    "null array": b"*-1\r\n",
    "empty array": b"*0\r\n",
    "long array": LONG_ARRAY,
    "nested array": b"*1\r\n*1\r\n*1\r\n$1\r\na\r\n",
    "response with long arrays": b"*3\r\n$1\r\na\r\n*64\r\n" + 64 * LONG_ARRAY + b"$-1\r\n",
    "simple string": b"+\r\n",
    "pong": b"+PONG\r\n",
    "error": b"-E\r\n",
    "busy": b"-BUSY\r\n",
    "integer": b":1\r\n",
    "total": b"$1\r\n1\r\n",
    "line": b"x\r\n",
    "line end": b"\r\n",
}
PARTIAL_COMMAND = b"*4\r\n$8\r\nAPI.READ\r\n"
ENDS = {"whole": b"", "cut": PARTIAL_COMMAND, "cut in a text": b"$9\r\nab", "then simple": b"+x\r\n"}


@pytest.fixture(autouse=True)
def heap_of_the_run_is_frozen():
    with frozen_heap():
        yield


def flood(value, end):
    """Return copies of the value and then the end, as much as one read takes."""
    return value * ((READ_BYTES - len(end)) // len(value)) + end


class StubTransport:
    disconnecting = False


def plain(value):
    """Return a value that compares by its content."""
    if isinstance(value, ErrorReply):
        return "error", value.text
    return [plain(item) for item in value] if isinstance(value, list) else value


def received(pieces):
    """Return the values with the parts of their bytes, and the reasons for a rejection."""
    receiver = RespReceiver(*SMALL_LIMITS)
    values, reasons = [], []
    receiver.value_received = lambda value, parts: values.append((plain(value), parts))
    receiver.malformed = reasons.append
    receiver.makeConnection(StubTransport())
    for piece in pieces:
        receiver.dataReceived(piece)
    return values, reasons


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("name", VALUES)
def test_one_read_of_any_value_whole_or_cut_is_parsed_within_the_allowed_hold(name, end):
    """Guards against quadratic framing: a read of 4,600 commands and a part of one took 8 to 40 s."""
    data = flood(VALUES[name], ENDS[end])
    receiver = RespReceiver(*LIMITS)
    counted = Counter()
    receiver.value_received = lambda _value, parts: counted.update(parts=len(parts))
    receiver.malformed = lambda _reason: counted.update(malformed=1)
    receiver.makeConnection(StubTransport())
    timer = HoldTimer()
    timer.measure(receiver.dataReceived, data)
    assert timer.longest_s < MAX_HOLD_S
    assert counted["parts"] > 100 or counted["malformed"]


def mixed_values(rng, depth=0):
    """Return the bytes of a random value, in rare cases a malformed one or one over the limits."""
    kind = rng.randrange(9)
    if kind < 3:
        text = bytes(rng.choices(b"ab\r\n$*1", k=rng.choice((0, 1, 2, 5, 20, 60))))
        return b"$%d\r\n%b\r\n" % (len(text), text)
    if kind == 3:
        return rng.choice((b"+ok\r\n", b":-7\r\n", b"-ERR x\r\n", b"$-1\r\n", b"*-1\r\n", b"*0\r\n"))
    if kind == 4 and rng.random() < 0.1:
        too_long = b"$129\r\n" + 129 * b"x" + b"\r\n"
        return rng.choice(
            (b"*9\r\n", too_long, b"x\r\n", b"$1\r\nab\r\n", b"*01\r\n", 66 * b"y", b"$2\r\nab\n\r")
        )
    if depth > 3:
        return b"$1\r\nz\r\n"
    count = rng.randrange(1, 4)
    return b"*%d\r\n" % count + b"".join(mixed_values(rng, depth + 1) for _ in range(count))


@pytest.mark.parametrize("seed", range(20))
def test_the_values_and_the_verdict_do_not_depend_on_how_the_input_is_cut(seed):
    """Guards against a fast path for whole input that accepts, drops or changes other input than the slow."""
    rng = random.Random(seed)
    for _ in range(50):
        data = b"".join(mixed_values(rng) for _ in range(rng.randrange(1, 12)))
        data = data[: rng.randrange(len(data) // 2, len(data) + 1)]
        cuts = sorted(rng.randrange(len(data) + 1) for _ in range(rng.randrange(1, 9)))
        in_bytes = received([data[n : n + 1] for n in range(len(data))])
        in_pieces = [data[start:end] for start, end in zip([0, *cuts], [*cuts, len(data)])]
        assert received([data]) == in_bytes, data
        assert received(in_pieces) == in_bytes, in_pieces


class PausableTransport(StubTransport):
    def resumeProducing(self):
        pass


@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
def test_a_receiver_that_is_paused_within_a_read_goes_on_with_the_next_value_when_resumed(end):
    """Guards against commands that are handled while their client leaves replies unread, or are lost then."""
    receiver, values = RespReceiver(*LIMITS), []

    def pause_at_each_value(value, _parts):
        assert not receiver.paused
        values.append(value)
        receiver.paused = True

    receiver.value_received = pause_at_each_value
    receiver.makeConnection(PausableTransport())
    receiver.dataReceived(VALUES["ping"] + VALUES["unknown command"] + VALUES["ping"] + end)
    expected = [[b"PING"], [b"X", b"a"], [b"PING"]]
    for count in range(1, len(expected) + 1):
        assert values == expected[:count]
        receiver.resumeProducing()
    assert values[: len(expected)] == expected and receiver.has_partial_message() == (
        end not in (b"", b"+x\r\n")
    )


# A whole gateway on loopback sockets.


def longest_iteration_s(gateway, iterations=12):
    """Run iterations of the event loop until no input waits, and return the longest processor time of one."""
    timer = HoldTimer()
    while iterations > 0 or gateway.has_waiting_input():
        timer.measure(gateway.reactor.iterate, 0)
        iterations -= 1
    return timer.longest_s


def client_link(gateway):
    return gateway.client()


def host_link(gateway):
    """Return the host's end of a connection on which a request waits for its response."""
    gateway.waiting_client = gateway.client()  # A socket without a reference is closed.
    gateway.waiting_client.send(gateway.request())
    host = gateway.accept_at_host()
    gateway.run_loop()
    host.read()
    return host


def counter_link(gateway):
    """Return the counter's end of a connection."""
    return gateway.counter_peers[0]


@pytest.mark.parametrize("end", ["whole", "cut"])
@pytest.mark.parametrize("link", [client_link, host_link, counter_link])
def test_no_link_holds_the_event_loop_with_any_value(tmp_path, link, end):
    """Guards against handling of a value that grows with the values before it, on each kind of connection."""
    held = {}
    for number, name in enumerate(VALUES):
        directory = tmp_path / str(number)
        directory.mkdir()
        gateway = LoopbackGateway(directory, slices_in_real_time=True)
        try:
            peer = link(gateway)
            peer.send(flood(VALUES[name], ENDS[end]))
            held[name] = longest_iteration_s(gateway)
        finally:
            gateway.close()
    assert {name: held_s for name, held_s in held.items() if held_s >= MAX_HOLD_S} == {}


@pytest.mark.parametrize("piece_bytes", [1, 3, 1000])
def test_a_flood_in_pieces_costs_no_more_than_the_flood_at_once(tmp_path, piece_bytes):
    """Guards against work on all earlier bytes for each piece. Each piece is a read of its own."""
    gateway = LoopbackGateway(tmp_path, slices_in_real_time=True)
    try:
        client = gateway.client()
        data = VALUES["ping"] * 300 + PARTIAL_COMMAND + b"$16\r\n"
        pieces = [data[start : start + piece_bytes] for start in range(0, len(data), piece_bytes)]
        held_s = 0.0
        for piece in pieces:
            client.send(piece)
            held_s = max(held_s, longest_iteration_s(gateway, 1))
        assert client.read() == 300 * b"+PONG\r\n" and held_s < MAX_HOLD_S
    finally:
        gateway.close()


def test_bad_clients_that_send_commands_and_a_half_do_not_delay_the_answers_to_others(tmp_path):
    """Guards against the review's third case: twelve such clients stopped a gateway for seconds."""
    gateway = LoopbackGateway(tmp_path, sockets=128, slices_in_real_time=True)
    try:
        usual = gateway.client()
        bad_clients = [gateway.client() for _ in range(12)]
        for client in bad_clients:
            client.send(VALUES["ping"] * 999 + PARTIAL_COMMAND)
        usual.send(gateway.request())
        started = time.thread_time()
        gateway.run_loop()
        host = gateway.accept_at_host()
        gateway.answer_from_host(host, usual)
        # The time after its deadline at which an answer counts as lost.
        assert time.thread_time() - started < 0.5
        longest_iteration_s(gateway)
        assert [client.read() for client in bad_clients] == 12 * [999 * b"+PONG\r\n"]
    finally:
        gateway.close()


def test_a_client_that_reads_late_holds_the_event_loop_neither_while_it_waits_nor_when_it_reads(tmp_path):
    """Guards against work on all unread replies for each further one, and against commands that are lost."""
    gateway = LoopbackGateway(tmp_path, slices_in_real_time=True)
    try:
        client = gateway.client(buffer_bytes=4096)
        held_s, sent_bytes, rounds_without_progress = 0.0, 0, 0
        while rounds_without_progress < 3:
            data = VALUES["ping"] * (READ_BYTES // len(VALUES["ping"]))
            rounds_without_progress += 1
            with contextlib.suppress(BlockingIOError):
                # Continues within the command in which the last write ended.
                sent_bytes += client.sock.send(data[sent_bytes % len(VALUES["ping"]) :])
                rounds_without_progress = 0
            held_s = max(held_s, longest_iteration_s(gateway, 4))
        commands = sent_bytes // len(VALUES["ping"])
        received = b""
        while len(received) < commands * len(b"+PONG\r\n"):
            client.wait_until_readable()
            received += client.read()
            held_s = max(held_s, longest_iteration_s(gateway, 4))
        assert commands > 2 * READ_BYTES // len(VALUES["ping"])
        assert received == commands * b"+PONG\r\n" and held_s < MAX_HOLD_S
    finally:
        gateway.close()
