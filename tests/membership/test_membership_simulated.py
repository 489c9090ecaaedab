"""The membership protocol on a simulated network: agreement after faults, no false ends, bounded shares."""

from dataclasses import replace
from random import Random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from pytest import raises

from granitedock.lab.simulators.membership_simulation import MembershipSimulation, without_lifeguard
from granitedock.lab.simulators.simulated_network import NetworkConditions
from granitedock.membership.broadcast_queue import BroadcastQueue, transmit_limit
from granitedock.membership.codec import MAX_BYTES, decode, encode, update_budget, update_size
from granitedock.membership.errors import MalformedMessageError
from granitedock.membership.member import LIVE_STATES, Member, MemberChange, MemberState, MemberUpdate
from granitedock.membership.member_slots import MemberSlots
from granitedock.membership.membership import Membership
from granitedock.membership.messages import Message, MessageKind
from granitedock.membership.settings import parse
from granitedock.membership.timing import Timing
from granitedock.toml_file import TomlFileError

TIMING = Timing()
STEPS = st.one_of(
    st.tuples(st.sampled_from(["crash", "vanish", "start", "leave"]), st.integers(0, 5)),
    st.tuples(st.just("pause"), st.integers(0, 5), st.integers(100, 9000)),
    st.tuples(st.just("cut"), st.integers(1, 62), st.booleans()),
    st.tuples(st.just("heal")),
    st.tuples(st.just("run"), st.integers(50, 7000)),
)


class CheckedSimulation(MembershipSimulation):
    """Six gateways; checks at each change and step that no end is false and that the shares are bounded."""

    def __init__(self, seed, loss):
        super().__init__(6, seed, TIMING, NetworkConditions(loss=loss, duplication=loss))
        self.on_change = self.check_change
        self.restarted_at = {}

    def check_change(self, now, node, change):
        ended, target = change.member, self.nodes[int(change.member.name[1:])]
        if ended.state is MemberState.GONE:
            # Proved dead: no process of this incarnation runs, whatever faults the network had.
            assert (
                target.local_member is None
                or target.local_member.membership.local.started_at > ended.started_at
            )

    def total_share(self):
        serving = [node for node in self.running_nodes() if self.now >= node.paused_until]
        return sum(1 / node.local_member.active_members(self.now, 0, 6) for node in serving)

    def max_total_share(self):
        """Return 1 plus 1/6 for each restart within a lease, as others may still use that share."""
        recent_restarts = sum(
            self.now - started_at <= TIMING.lease_ms + 20 for started_at in self.restarted_at.values()
        )
        return 1 + recent_restarts / 6 + 1e-9

    def step(self, action, *arguments):
        node = self.nodes[arguments[0]] if action in ("crash", "vanish", "start", "leave", "pause") else None
        if action == "start" and node.local_member is None:
            self.start(arguments[0], (self.nodes[0].address, self.nodes[1].address))
            self.restarted_at[arguments[0]] = self.now
        elif action in ("crash", "vanish") and node.local_member is not None:
            self.crash(arguments[0], action == "vanish")
        elif action == "leave" and node.local_member is not None and self.now >= node.paused_until:
            self.leave(arguments[0])
        elif action == "pause":
            self.pause(*arguments)
        elif action == "cut":
            side = [n for n in range(6) if arguments[0] >> n & 1]
            self.partition(side, [n for n in range(6) if n not in side], arguments[1])
        elif action == "heal":
            self.heal()
        elif action == "run":
            for _ in range(arguments[0] // 50):
                self.run(50)
                assert self.total_share() <= self.max_total_share()


def check_agreement(steps, seed, loss, refute=None):
    """Assert that all live members agree once the network has healed and the seeds run, after any faults."""
    simulation = CheckedSimulation(seed, loss)
    if refute is not None:
        for node in simulation.nodes:
            node.local_member.membership.merging.refute = refute
    simulation.run(3000)
    for step in steps:
        simulation.step(*step)
    simulation.heal()
    simulation.network.loss = 0.0
    for n in (0, 1):
        simulation.step("start", n)
    if refute is not None:
        for node in simulation.running_nodes():
            node.local_member.membership.merging.refute = refute
    simulation.run(9000)  # All pauses end in this time.
    # The stated time: one maximum interval of attempts at seeds, and the time to rejoin after a partition. It
    # is less than `forget_ms`, because the removal of ended members would hide a missing refutation.
    elapsed_ms = simulation.run_until(simulation.views_agree, 40_000)
    assert elapsed_ms < 40_000, [simulation.live_members(node) for node in simulation.running_nodes()]


@settings(max_examples=250, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.lists(STEPS, max_size=14), st.integers(0, 2**16), st.sampled_from([0.0, 0.1, 0.25]))
def test_live_members_agree_after_any_faults_and_no_end_is_false(steps, seed, loss):
    """Crashes, restarts, partitions, pauses and loss may leave tables different or a live member gone."""
    check_agreement(steps, seed, loss)


def test_agreement_check_detects_missing_refutation():
    """A paused member that does not refute its suspicion stays dead at the others."""

    def skip_refutation(claim):
        return None

    steps = [("pause", 2, 8000), ("run", 7000)]
    check_agreement(steps, 1, 0.0)
    with raises(AssertionError):
        check_agreement(steps, 1, 0.0, refute=skip_refutation)


def test_share_check_detects_takeover_without_fresh_proof(monkeypatch):
    """A gateway behind a partition keeps the share of another that has restarted on the other side."""
    steps = [("crash", 2), ("run", 7000), ("cut", 1, True), ("start", 2), ("run", 7000)]
    check_agreement(steps, 1, 0.0)
    monkeypatch.setattr(MemberSlots, "is_vacant", lambda slots, now, slot: slot in slots.vacancies)
    with raises(AssertionError):
        check_agreement(steps, 1, 0.0)


def test_200_members_detect_process_crash_and_host_failure_within_5_s():
    """A host that fails refuses no connection probe, so that its gateway is dead and not gone."""
    simulation = MembershipSimulation(200, seed=4, already_joined=True)
    simulation.run(2000)
    for number, vanish in ((150, False), (151, True)):
        simulation.crash(number, vanish)
        name = f"g{number:04d}"

        def is_known(name=name):
            return all(
                node.local_member.membership.state.table.records[name].member.state not in LIVE_STATES
                for node in simulation.running_nodes()
            )

        assert simulation.run_until(is_known, 20_000) <= 5000
        states = {
            node.local_member.membership.state.table.records[name].member.state
            for node in simulation.running_nodes()
        }
        assert states == {MemberState.DEAD if vanish else MemberState.GONE}


def test_5_percent_loss_and_paused_members_cause_no_false_deaths():
    """One member in ten is paused again and again, and declares others dead if it trusts its late timers."""

    def lossy_simulation(timing):
        return MembershipSimulation(40, 9, timing, NetworkConditions(loss=0.05), already_joined=True)

    def false_deaths(timing):
        simulation, names, random = lossy_simulation(timing), [], Random(2)
        simulation.on_change = lambda now, node, change: (
            names.append(change.member.name) if change.false_death else None
        )
        for _ in range(40):
            simulation.pause(random.randrange(4), random.uniform(500, 1400))
            simulation.run(1500)
        return sum(int(name[1:]) >= 4 for name in names), len(names)

    assert false_deaths(TIMING) == (0, 0)
    short_timeouts = replace(TIMING, suspect_ms=200, suspect_most_ms=200, gap_ms=1e9)
    # The same faults cause false deaths if suspicion timeouts are short.
    assert false_deaths(without_lifeguard(short_timeouts))[1] > 0


def test_member_suspects_nobody_after_long_pause():
    """After a pause, the messages of all other members seem to be overdue."""
    simulation = MembershipSimulation(5, seed=2, already_joined=True)
    simulation.run(2000)
    suspected = []
    simulation.on_change = lambda now, node, change: (
        suspected.append(change.member.name)
        if node.number == 3 and change.member.state > MemberState.ALIVE
        else None
    )
    simulation.pause(3, 30_000)
    simulation.run(33_000)
    assert not suspected and simulation.run_until(simulation.views_agree, 5000) < 5000


def test_clock_set_back_before_restart_does_not_leave_new_process_dead():
    """The new process has an earlier start time, so that its claims lose against those about the old one."""
    simulation = MembershipSimulation(3, seed=6, already_joined=True)
    simulation.run(1000)
    first_started_at = simulation.nodes[2].local_member.membership.local.started_at
    simulation.crash(2)
    simulation.run(4000)
    simulation.start(2)
    table = simulation.nodes[2].local_member.membership.state.table
    table.local = Member(
        table.local.name, table.local.address, first_started_at - 3_600_000, 0, MemberState.ALIVE, 2, 1
    )
    assert (
        simulation.run_until(simulation.views_agree, 8000) < 8000
        and simulation.nodes[2].local_member.membership.local.started_at >= first_started_at
    )


def test_ended_members_are_removed_in_time_and_long_partition_is_rejoined():
    """After the removal no table has an address on the other side, except for seeds and old addresses."""
    simulation = MembershipSimulation(6, seed=3, already_joined=True)
    simulation.run(1000)
    simulation.partition(range(3), range(3, 6))
    simulation.run(TIMING.forget_ms * 1.2 + 10_000)
    assert all(len(node.local_member.membership.state.table.records) == 2 for node in simulation.nodes)
    simulation.heal()
    assert (
        simulation.run_until(simulation.views_agree, TIMING.seeds_most_ms + 10_000)
        < TIMING.seeds_most_ms + 10_000
    )


def member(n, state=MemberState.ALIVE, started_at=5, settings_checksum=1):
    return Member(f"g{n}", f"10.0.0.{n}:7946", started_at, 0, state, n, settings_checksum)


def test_share_takeover_requires_fresh_local_proof_and_settled_end():
    """A takeover without proof uses the share of a gateway that still serves behind a partition."""
    slots = MemberSlots(TIMING, 4, 1)
    for n in (1, 2, 3):
        slots.member_changed(0, MemberChange(member(n), None))
    slots.member_changed(1000, MemberChange(member(3, MemberState.DEAD), MemberState.ALIVE))
    # Missing messages prove nothing.
    assert slots.active_members(9000, 0, 4) == 4 and not slots.due_probes(9000)
    slots.member_changed(9000, MemberChange(member(3, MemberState.GONE), MemberState.DEAD))
    assert slots.active_members(60_000, 0, 4) == 4  # Claims of other gateways prove nothing.
    assert slots.due_probes(60_000) == [member(3).address]
    slots.connection_refused(60_010, member(3).address)
    # Subsets without the slot keep their size.
    assert slots.active_members(60_020, 0, 4) == 3 and slots.active_members(60_020, 0, 2) == 2
    assert slots.active_members(60_020, 2, 2) == 1
    assert slots.active_members(60_010 + TIMING.lease_ms + 1, 0, 4) == 4  # The proof has expired.
    slots.connection_refused(70_000, member(3).address)
    slots.member_changed(70_001, MemberChange(member(3, started_at=9), MemberState.GONE))
    assert slots.active_members(70_002, 0, 4) == 4  # The gateway is live again.
    slots.member_changed(70_003, MemberChange(member(3, MemberState.LEFT, started_at=9), MemberState.ALIVE))
    slots.connection_refused(70_010, member(3).address)
    assert (
        slots.active_members(70_020, 0, 4) == 4
        and slots.active_members(70_003 + TIMING.settle_ms, 0, 4) == 4 - 1
    )
    slots.process_paused(72_100)
    slots.connection_refused(72_110, member(3).address)
    assert slots.active_members(72_120, 0, 4) == 4  # The local clock had a gap.
    slots.connection_refused(74_200, member(3).address)
    assert slots.active_members(74_210, 0, 4) == 3
    slots.member_changed(74_220, MemberChange(member(2, settings_checksum=7), MemberState.ALIVE))
    assert slots.active_members(74_230, 0, 4) == 4  # Another gateway has other settings.


def test_datagrams_stay_within_size_limit_and_malformed_ones_are_rejected():
    """An update budget that is too large makes datagrams that every receiver rejects."""
    long_members = [
        Member("n" * 64, f"100.100.100.{n}:65535", 2**52, 2**31, MemberState.SUSPECT, 2**19, 2**32 - 1)
        for n in range(30)
    ]
    sender = long_members[0].with_state(MemberState.ALIVE)
    queue = BroadcastQueue()
    for n, peer in enumerate(long_members):
        queue.add(
            MemberUpdate(
                Member(
                    f"{n:02d}" + peer.name[2:],
                    peer.address,
                    *peer.precedence(),
                    peer.slot,
                    peer.settings_checksum,
                ),
                suspected_by="b" * 64,
            )
        )
    updates = queue.take(update_budget("c" * 32, sender), 1000, update_size)
    message = Message(MessageKind.ACK, sender, 2**32 - 1, "w" * 64, tuple(updates))
    data = encode("c" * 32, message)
    assert 900 < len(data) <= MAX_BYTES and decode("c" * 32, data) == message
    for malformed in (b"", data[:-1], data + b"x", b"\xc1", data * 2):
        with raises(MalformedMessageError):
            decode("c" * 32, malformed)
    with raises(MalformedMessageError, match="another cluster"):
        decode("d", data)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200), st.integers(0, 60))
def test_arbitrary_datagrams_raise_only_malformed_message_error(garbage, offset):
    """Any other exception would reach the reactor and the handling of the input would end halfway."""
    membership = Membership(member(1), TIMING, (), 0.0, Random(1), "c")
    data = bytearray(encode("c", Message(MessageKind.PAGE, member(2), 1, "a", (MemberUpdate(member(3)),))))
    data[offset : offset + len(garbage) // 8] = garbage
    for datagram in (garbage, bytes(data)):
        try:
            membership.receive(1.0, decode("c", datagram))
        except MalformedMessageError:
            pass
    membership.tick(2.0)


def test_update_is_sent_transmit_limit_times_and_replaces_older_ones():
    """Superseded updates and updates without a limit would fill datagrams for ever."""
    queue, sent_count = BroadcastQueue(), 0
    queue.add(MemberUpdate(member(1, MemberState.SUSPECT), suspected_by="a"))
    queue.add(MemberUpdate(member(1, MemberState.SUSPECT), suspected_by="b"))
    queue.add(MemberUpdate(member(1, MemberState.DEAD)))
    while queue:
        sent_count += len(queue.take(500, 40, update_size))
    assert sent_count == transmit_limit(40)


def test_settings_errors_name_field_and_line():
    """An error without its key and line does not show an operator what to correct."""
    valid = (
        'enabled = true\nlisten = "0.0.0.0:7946"\nadvertise = "10.0.0.4:7946"\nseeds = ["10.0.0.5:7946"]\n'
    )
    assert parse(valid).protocol_timing() == TIMING
    for text, fault in (
        (valid.replace("10.0.0.5:7946", "gateway-5"), "f:4: seeds.0: Value error, not an address"),
        (valid.replace("advertise", "advertised"), "f:3: advertised: Extra inputs"),
        (valid + "[timing]\nperiod_ms = 0\n", "f:6: timing.period_ms: Input should be greater"),
        (valid + "[timing]\ngap_ms = 3000\n", "f:6: timing.gap_ms: must not be more than suspect_ms (2000)"),
        ('enabled = true\nlisten = "0.0.0.0:7946"\n', "advertise: must be named"),
    ):
        with raises(TomlFileError) as error_info:
            parse(text, "f")
        assert fault in str(error_info.value)
