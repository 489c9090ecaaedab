"""The view's state machine on a simulated wire: agreement after any faults, true ends, bounded shares."""

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


class Watched(MembershipSimulation):
    """A world of six that notes each process's starts, and checks at each step what must always hold."""

    def __init__(self, seed, loss):
        super().__init__(6, seed, TIMING, NetworkConditions(loss=loss, duplication=loss))
        self.on_change = self.see
        self.back = {}

    def see(self, now, node, change):
        said, target = change.member, self.nodes[int(change.member.name[1:])]
        if said.state is MemberState.GONE:
            # Proved dead, so no process of this incarnation runs, whatever the wires did.
            assert (
                target.local_member is None
                or target.local_member.membership.local.started_at > said.started_at
            )

    def shares(self):
        serving = [node for node in self.running_nodes() if self.now >= node.paused_until]
        return sum(1 / node.local_member.active_members(self.now, 0, 6) for node in serving)

    def bound(self):
        """One, and a sixth for each that came back within a lease: others may still hold its share."""
        fresh = sum(self.now - at <= TIMING.lease_ms + 20 for at in self.back.values())
        return 1 + fresh / 6 + 1e-9

    def step(self, what, *how):
        node = self.nodes[how[0]] if what in ("crash", "vanish", "start", "leave", "pause") else None
        if what == "start" and node.local_member is None:
            self.start(how[0], (self.nodes[0].address, self.nodes[1].address))
            self.back[how[0]] = self.now
        elif what in ("crash", "vanish") and node.local_member is not None:
            self.crash(how[0], what == "vanish")
        elif what == "leave" and node.local_member is not None and self.now >= node.paused_until:
            self.leave(how[0])
        elif what == "pause":
            self.pause(*how)
        elif what == "cut":
            ones = [n for n in range(6) if how[0] >> n & 1]
            self.partition(ones, [n for n in range(6) if n not in ones], how[1])
        elif what == "heal":
            self.heal()
        elif what == "run":
            for _ in range(how[0] // 50):
                self.run(50)
                assert self.shares() <= self.bound()


def settles(steps, seed, loss, refutes=None):
    """Whatever happened, once the network is whole and the seeds are up all live ones agree."""
    world = Watched(seed, loss)
    if refutes is not None:
        for node in world.nodes:
            node.local_member.membership.merging.refute = refutes
    world.run(3000)
    for step in steps:
        world.step(*step)
    world.heal()
    world.network.loss = 0.0
    for n in (0, 1):
        world.step("start", n)
    if refutes is not None:
        for node in world.running_nodes():
            node.local_member.membership.merging.refute = refutes
    world.run(9000)  # whoever is paused wakes
    # The stated time: one longest wait for a seed, and what a heal takes. Less than it takes to forget the
    # dead, or that would mend what a missing refutation breaks.
    took = world.run_until(world.views_agree, 40_000)
    assert took < 40_000, [world.live_members(node) for node in world.running_nodes()]


@settings(max_examples=250, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.lists(STEPS, max_size=14), st.integers(0, 2**16), st.sampled_from([0.0, 0.1, 0.25]))
def test_after_any_joins_crashes_cuts_and_clock_gaps_all_live_ones_agree_and_no_end_is_invented(
    steps, seed, loss
):
    settles(steps, seed, loss)


def test_a_refutation_left_out_is_caught_by_the_same_story():
    def left_out(said):
        return None

    steps = [("pause", 2, 8000), ("run", 7000)]
    settles(steps, 1, 0.0)
    with raises(AssertionError):
        settles(steps, 1, 0.0, refutes=left_out)


def test_a_share_held_on_without_a_fresh_proof_is_caught_by_the_same_story(monkeypatch):
    steps = [("crash", 2), ("run", 7000), ("cut", 1, True), ("start", 2), ("run", 7000)]
    settles(steps, 1, 0.0)
    monkeypatch.setattr(MemberSlots, "is_vacant", lambda slots, now, slot: slot in slots.vacancies)
    with raises(AssertionError):
        settles(steps, 1, 0.0)


def test_a_crash_is_known_to_two_hundred_within_five_seconds_and_a_silence_as_well():
    world = MembershipSimulation(200, seed=4, already_joined=True)
    world.run(2000)
    for number, vanish in ((150, False), (151, True)):
        world.crash(number, vanish)
        name = f"g{number:04d}"

        def known(name=name):
            return all(
                node.local_member.membership.state.table.records[name].member.state not in LIVE_STATES
                for node in world.running_nodes()
            )

        assert world.run_until(known, 20_000) <= 5000
        held = {
            node.local_member.membership.state.table.records[name].member.state
            for node in world.running_nodes()
        }
        assert held == {MemberState.DEAD if vanish else MemberState.GONE}


def test_no_live_one_is_called_dead_at_a_twentieth_lost_though_one_in_ten_is_starved():
    def simulation(pace):
        return MembershipSimulation(40, 9, pace, NetworkConditions(loss=0.05), already_joined=True)

    def deaths(pace):
        world, called, chance = simulation(pace), [], Random(2)
        world.on_change = lambda now, node, change: (
            called.append(change.member.name) if change.false_death else None
        )
        for _ in range(40):
            world.pause(chance.randrange(4), chance.uniform(500, 1400))
            world.run(1500)
        return sum(int(name[1:]) >= 4 for name in called), len(called)

    assert deaths(TIMING) == (0, 0)
    hasty = replace(TIMING, suspect_ms=200, suspect_most_ms=200, gap_ms=1e9)
    assert deaths(without_lifeguard(hasty))[1] > 0  # the same day has false ends where suspicions are short


def test_one_that_wakes_from_a_long_pause_accuses_nobody():
    world = MembershipSimulation(5, seed=2, already_joined=True)
    world.run(2000)
    accused = []
    world.on_change = lambda now, node, change: (
        accused.append(change.member.name)
        if node.number == 3 and change.member.state > MemberState.ALIVE
        else None
    )
    world.pause(3, 30_000)
    world.run(33_000)
    assert not accused and world.run_until(world.views_agree, 5000) < 5000


def test_a_clock_set_back_before_a_restart_does_not_leave_the_new_process_dead():
    world = MembershipSimulation(3, seed=6, already_joined=True)
    world.run(1000)
    born = world.nodes[2].local_member.membership.local.started_at
    world.crash(2)
    world.run(4000)
    world.start(2)
    table = world.nodes[2].local_member.membership.state.table
    table.local = Member(table.local.name, table.local.address, born - 3_600_000, 0, MemberState.ALIVE, 2, 1)
    assert (
        world.run_until(world.views_agree, 8000) < 8000
        and world.nodes[2].local_member.membership.local.started_at >= born
    )


def test_the_dead_are_forgotten_within_the_stated_time_and_a_side_long_cut_off_is_found_again():
    world = MembershipSimulation(6, seed=3, already_joined=True)
    world.run(1000)
    world.partition(range(3), range(3, 6))
    world.run(TIMING.forget_ms * 1.2 + 10_000)
    assert all(len(node.local_member.membership.state.table.records) == 2 for node in world.nodes)
    world.heal()
    assert world.run_until(world.views_agree, TIMING.seeds_most_ms + 10_000) < TIMING.seeds_most_ms + 10_000


def member(n, state=MemberState.ALIVE, born=5, settings_=1):
    return Member(f"g{n}", f"10.0.0.{n}:7946", born, 0, state, n, settings_)


def test_a_share_is_taken_over_only_on_our_own_fresh_proof_and_a_settled_end():
    slots = MemberSlots(TIMING, 4, 1)
    for n in (1, 2, 3):
        slots.member_changed(0, MemberChange(member(n), None))
    slots.member_changed(1000, MemberChange(member(3, MemberState.DEAD), MemberState.ALIVE))
    assert slots.active_members(9000, 0, 4) == 4 and not slots.due_probes(9000)  # a silence proves nothing
    slots.member_changed(9000, MemberChange(member(3, MemberState.GONE), MemberState.DEAD))
    assert slots.active_members(60_000, 0, 4) == 4  # and neither does what others say
    assert slots.due_probes(60_000) == [member(3).address]
    slots.connection_refused(60_010, member(3).address)
    assert (
        slots.active_members(60_020, 0, 4) == 3 and slots.active_members(60_020, 0, 2) == 2
    )  # sets without it keep theirs
    assert slots.active_members(60_020, 2, 2) == 1
    assert slots.active_members(60_010 + TIMING.lease_ms + 1, 0, 4) == 4  # the proof is old
    slots.connection_refused(70_000, member(3).address)
    slots.member_changed(70_001, MemberChange(member(3, born=9), MemberState.GONE))
    assert slots.active_members(70_002, 0, 4) == 4  # it is back
    slots.member_changed(70_003, MemberChange(member(3, MemberState.LEFT, born=9), MemberState.ALIVE))
    slots.connection_refused(70_010, member(3).address)
    assert (
        slots.active_members(70_020, 0, 4) == 4
        and slots.active_members(70_003 + TIMING.settle_ms, 0, 4) == 4 - 1
    )
    slots.process_paused(72_100)
    slots.connection_refused(72_110, member(3).address)
    assert slots.active_members(72_120, 0, 4) == 4  # our own clock had a gap
    slots.connection_refused(74_200, member(3).address)
    assert slots.active_members(74_210, 0, 4) == 3
    slots.member_changed(74_220, MemberChange(member(2, settings_=7), MemberState.ALIVE))
    assert slots.active_members(74_230, 0, 4) == 4  # others count by other settings


def test_datagrams_stay_within_their_size_and_what_is_not_one_of_ours_is_refused():
    long = [
        Member("n" * 64, f"100.100.100.{n}:65535", 2**52, 2**31, MemberState.SUSPECT, 2**19, 2**32 - 1)
        for n in range(30)
    ]
    me = long[0].with_state(MemberState.ALIVE)
    queue = BroadcastQueue()
    for n, one in enumerate(long):
        queue.add(
            MemberUpdate(
                Member(
                    f"{n:02d}" + one.name[2:], one.address, *one.precedence(), one.slot, one.settings_checksum
                ),
                suspected_by="b" * 64,
            )
        )
    news = queue.take(update_budget("c" * 32, me), 1000, update_size)
    whole = Message(MessageKind.ACK, me, 2**32 - 1, "w" * 64, tuple(news))
    data = encode("c" * 32, whole)
    assert 900 < len(data) <= MAX_BYTES and decode("c" * 32, data) == whole
    for spoilt in (b"", data[:-1], data + b"x", b"\xc1", data * 2):
        with raises(MalformedMessageError):
            decode("c" * 32, spoilt)
    with raises(MalformedMessageError, match="another cluster"):
        decode("d", data)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200), st.integers(0, 60))
def test_no_datagram_is_a_fault(garbage, at):
    membership = Membership(member(1), TIMING, (), 0.0, Random(1), "c")
    data = bytearray(encode("c", Message(MessageKind.PAGE, member(2), 1, "a", (MemberUpdate(member(3)),))))
    data[at : at + len(garbage) // 8] = garbage
    for told in (garbage, bytes(data)):
        try:
            membership.receive(1.0, decode("c", told))
        except MalformedMessageError:
            pass
    membership.tick(2.0)


def test_news_is_told_a_bounded_number_of_times_and_newer_news_takes_its_place():
    queue, told = BroadcastQueue(), 0
    queue.add(MemberUpdate(member(1, MemberState.SUSPECT), suspected_by="a"))
    queue.add(MemberUpdate(member(1, MemberState.SUSPECT), suspected_by="b"))
    queue.add(MemberUpdate(member(1, MemberState.DEAD)))
    while queue:
        told += len(queue.take(500, 40, update_size))
    assert told == transmit_limit(40)


def test_the_operators_file_names_a_bad_field_by_its_line():
    good = 'enabled = true\nlisten = "0.0.0.0:7946"\nadvertise = "10.0.0.4:7946"\nseeds = ["10.0.0.5:7946"]\n'
    assert parse(good).protocol_timing() == TIMING
    for text, fault in (
        (good.replace("10.0.0.5:7946", "gateway-5"), "f:4: seeds.0: Value error, not an address"),
        (good.replace("advertise", "advertised"), "f:3: advertised: Extra inputs"),
        (good + "[timing]\nperiod_ms = 0\n", "f:6: timing.period_ms: Input should be greater"),
        (good + "[timing]\ngap_ms = 3000\n", "f:6: timing.gap_ms: must not be more than suspect_ms (2000)"),
        ('enabled = true\nlisten = "0.0.0.0:7946"\n', "advertise: must be named"),
    ):
        with raises(TomlFileError) as caught:
            parse(text, "f")
        assert fault in str(caught.value)
