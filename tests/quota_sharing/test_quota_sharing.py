"""Quota sharing in one process: random faults by simulation, the merge of rows, and the reserves."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from pytest import mark, raises

from granitedock.lab.simulators.offered_load import OfferedLoad, admitted
from granitedock.lab.simulators.quota_simulation import QuotaSimulation
from granitedock.lab.simulators.simulated_network import NetworkConditions
from granitedock.membership.local_member import LocalMember
from granitedock.membership.member import Member, MemberChange, MemberState
from granitedock.membership.timing import Timing
from granitedock.policy.types import Outcome, Plan, SharedQuota
from granitedock.quota_sharing.bound import excess
from granitedock.quota_sharing.reserve import SilentMembers
from granitedock.quota_sharing.settings import QuotaSharingSettings
from granitedock.quota_sharing.sharing import QuotaSharing
from granitedock.quota_sharing.snapshot import SnapshotError, pack, unpack
from granitedock.quota_sharing.uncounted_usage import UncountedUsage

RATE, BURST, SET = 40.0, 40.0, 4

# Random faults on the policy's decisions, by simulation.

PLAN = Plan("p", RATE / 1000, BURST, 0, 1, 0, 0, 0, 0, 0)
MASK = st.integers(1, 14)
FAULTS = st.one_of(
    st.tuples(st.sampled_from(["counter", "apart", "both"]), MASK),
    st.tuples(st.sampled_from(["crash", "start"]), st.integers(0, 3)),
    st.tuples(st.just("pause"), st.integers(0, 3), st.integers(500, 12_000)),
    st.tuples(st.just("heal")),
    st.tuples(st.just("run"), st.integers(1000, 15_000)),
)


def check_bound(steps, seed, loss=0.05):
    """Play the faults under four times the quota; what was admitted must not pass the stated bound."""
    offer = OfferedLoad(161, PLAN, 4 * RATE, SET)
    world = QuotaSimulation(SET, [offer], seed, network=NetworkConditions(loss=loss, duplication=loss))
    terms = excess(PLAN, SET, world.timing, QuotaSharingSettings().broadcast_interval_ms)
    world.run(4000)
    isolated = returned = counter_cut = 0
    for what, *how in steps:
        ones = [n for n in range(SET) if how and how[0] >> n & 1]
        if what in ("counter", "both"):
            world.disconnect_counter(*ones)
            counter_cut += len(ones)
        if what in ("apart", "both"):
            world.partition(ones, [n for n in range(SET) if n not in ones])
            isolated += SET  # whoever is cut off from the counter too, now or before, is on its own
        if what == "crash" and world.nodes[how[0]].local_member is not None:
            world.crash(how[0])
        elif what == "start" and world.nodes[how[0]].local_member is None:
            world.start(how[0], tuple(node.address for node in world.nodes))
            returned += 1
        elif what == "pause":
            world.pause(*how)
            isolated += 1
            returned += 1
        elif what == "heal":
            world.heal()
            returned += SET
        elif what == "run":
            world.run(how[0])
    world.run(20_000)
    # 2%: a total is known to a gateway some milliseconds after it was so, as without any fault.
    bound = 1.02 * (BURST + RATE * world.now / 1000) + terms.total(isolated, returned, counter_cut)
    assert admitted(offer, 0, world.now) <= bound, (admitted(offer, 0, world.now), bound)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.lists(FAULTS, max_size=7), st.integers(0, 2**16))
def test_the_stated_bound_holds_over_any_cuts_crashes_pauses_and_heals(steps, seed):
    check_bound(steps, seed)


@mark.parametrize("cut_ms", [2000, 12_000])
def test_usage_without_the_counter_is_not_counted_twice_once_it_is_back(cut_ms):
    """Each gateway's bucket stands for what the others take too; their units also come by rows and by the
    counter. With both counted, 0.64 of the allowance was done in the five seconds after the heal."""
    parts = []
    for seed in (3, 5, 8):
        offer = OfferedLoad(161, PLAN, 4 * RATE, SET)
        world = QuotaSimulation(SET, [offer], seed)
        world.run(6000 + 130 * seed)  # at another phase of the windows each time
        world.disconnect_counter(*range(SET))
        world.run(cut_ms)
        world.heal()
        back = world.now
        world.run(6000)
        parts.append(admitted(offer, back, back + 5000) / (RATE * 5))
        assert admitted(offer, 0, world.now) <= 1.02 * (BURST + RATE * world.now / 1000)
    assert min(parts) >= 0.93 and max(parts) <= 1.07, parts


def test_without_reserves_the_bound_breaks_and_the_check_finds_it(monkeypatch):
    steps = [("both", 12), ("run", 15_000), ("run", 15_000), ("run", 15_000)]
    check_bound(steps, 1)
    monkeypatch.setattr(SilentMembers, "refresh", lambda *_: None)  # nothing is held back any more
    with raises(AssertionError):
        check_bound(steps, 1)


# The merge and the reserves, on their own.

QUOTA = SharedQuota(PLAN, 0, SET, 2000.0)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(1, 9), st.booleans()), max_size=30),
    st.randoms(),
)
def test_reordered_lost_and_duplicated_rows_end_in_the_same_usage(steps, chance):
    gateways = [UncountedUsage(f"g{n}", 1, 100) for n in range(3)]
    truth, sent = {}, []
    for n, customer, units, reconciles in steps:
        if reconciles:
            units = min(units, gateways[n].local_outstanding(customer, 1))
            gateways[n].reconcile(customer, 1, units)
            truth[n, customer] = truth.get((n, customer), 0) - units
        else:
            gateways[n].record_uncounted(customer, 1, 2000, units)
            truth[n, customer] = truth.get((n, customer), 0) + units
        sent += gateways[n].next_broadcast(9, 3)
    final = [row for usage in gateways for rows in usage.rows.values() for row in rows.values()]
    for _ in range(2):
        reader = UncountedUsage("reader", 1, 100)
        received = [row for row in sent if chance.random() < 0.6] * 2 + final
        chance.shuffle(received)
        for row in received:
            reader.merge(row, 0.0)
        for customer in range(3):
            assert reader.outstanding_elsewhere(customer, 1) == sum(
                truth.get((n, customer), 0) for n in range(3)
            )


def test_a_restart_takes_nothing_back_and_the_number_of_rows_is_bounded():
    reader = UncountedUsage("reader", 1, 3)
    for started_at, units in ((5, 4), (9, 1)):
        sender = UncountedUsage("g1", started_at, 100)
        sender.record_uncounted(161, 7, 2000, units)
        for row in sender.next_broadcast(9, 3):
            reader.merge(row, 13_000.0)
    assert reader.outstanding_elsewhere(161, 7) == 5  # both incarnations'
    many = UncountedUsage("g2", 1, 100)
    for customer in range(10):
        many.record_uncounted(customer, 7, 2000, 1)
    for row in many.next_broadcast(50, 3):
        reader.merge(row, 13_000.0)
    assert reader.row_count == 3 and reader.counts["rows_not_held"] == 9
    reader.merge(
        UncountedUsage("g3", 1, 9).next_broadcast(1, 1)[0]
        if UncountedUsage("g3", 1, 9).queue
        else many.next_broadcast(1, 3)[0],
        99_000.0,
    )
    assert reader.counts["rows_out_of_time"] == 1
    reader.remove_expired(99_000.0)
    assert reader.row_count == 0 and not reader.rows and not reader.queue


def test_carried_over_units_are_reconciled_once_and_old_or_foreign_snapshots_give_nothing():
    part, before = shared_of_four()
    before.record_uncounted(161, 7, QUOTA, 5.0)
    before.record_uncounted(161, 8, QUOTA, 3.0)
    before.reconcile(161, 8, 1.0)
    rows = unpack("g0", pack("g0", before.usage.local_unreconciled_rows()))
    me = Member("g0", "10.0.0.0:7946", 9, 0, MemberState.ALIVE, 0, 1)
    after = QuotaSharing(LocalMember(me, Timing(), (), 4, 0.0, Random(1), "c"), QuotaSharingSettings())
    assert after.restore(rows, 16_500.0) == 2 and after.restore(rows, 99_000.0) == 0
    assert (
        after.uncounted_elsewhere(161, 8, QUOTA, 16_500.0) == 2.0
    )  # until it is reconciled, we count it too
    after.record_uncounted(161, 8, QUOTA, 4.0)
    assert after.carry_over(161, 8) == 2.0 and after.carry_over(161, 8) == 0.0
    after.reconcile(161, 8, 6.0)
    assert (
        after.uncounted_elsewhere(161, 8, QUOTA, 16_500.0) == 0.0
        and after.usage.local_outstanding(161, 8) == 0.0
    )
    assert after.carry_over(161, 8) == 0.0
    other = QuotaSharing(LocalMember(member(1), Timing(), (), 4, 0.0, Random(1), "c"), QuotaSharingSettings())
    other.receive(tuple(rows) + tuple(after.usage.next_broadcast(9, 3)), 16_500.0)
    assert other.uncounted_elsewhere(161, 8, QUOTA, 16_500.0) == 0.0  # the larger row wins, in any order
    with raises(SnapshotError, match="another gateway"):
        unpack("g1", pack("g0", rows))
    with raises(SnapshotError, match="torn"):
        unpack("g0", b"")


def member(n, state=MemberState.ALIVE):
    return Member(f"g{n}", f"10.0.0.{n}:7946", 5, 0, state, n, 1)


def shared_of_four():
    part = LocalMember(member(0), Timing(), (), 4, 0.0, Random(1), "c")
    for n in (1, 2, 3):
        part.slots.member_changed(0.0, MemberChange(member(n), None))
    return part, QuotaSharing(part, QuotaSharingSettings(max_reserve_ms=60_000))


def test_a_reserve_ends_by_probe_announcement_presence_or_its_maximum_time():
    part, shared = shared_of_four()

    def held_back(now):
        shared.run_maintenance(now, now)
        return round(shared.uncounted_elsewhere(161, int(now // 2000), QUOTA, now), 6)

    assert held_back(10_000.0) == 0
    part.slots.member_changed(10_000.0, MemberChange(member(3, MemberState.DEAD), MemberState.SUSPECT))
    since = 10_000.0 - shared.settings.detection_delay_ms
    assert held_back(11_000.0) == round(
        RATE / 1000 * 1000 / SET, 6
    )  # its part of the rate, this far into the window
    assert shared.silent_members.silent_since == {3: since}
    part.slots.member_changed(11_500.0, MemberChange(member(3, MemberState.GONE), MemberState.DEAD))
    assert held_back(11_600.0) > 0  # that others proved its end does not count
    part.slots.connection_refused(11_700.0, member(3).address)
    assert held_back(11_800.0) == 0  # our own probe does
    assert held_back(11_700.0 + Timing().lease_ms + 100) > 0  # for as long as it is fresh
    call = next(call for call in shared.run_maintenance(16_000.0, 16_000.0).counter_calls if call.window == 3)
    shared.counter_call_finished(call, Outcome.DONE, 1.0)
    assert held_back(16_500.0) == 0  # it counts where we do
    assert held_back(31_000.0) > 0
    assert held_back(since + 60_000 + 500) == 0  # the maximum time is over
    part.slots.member_changed(80_000.0, MemberChange(member(2, MemberState.DEAD), MemberState.ALIVE))
    assert held_back(80_100.0) > 0
    part.slots.member_changed(80_200.0, MemberChange(member(2, MemberState.LEFT), MemberState.DEAD))
    assert held_back(80_300.0) == 0  # by its own announcement


def test_no_row_lowers_what_counts_as_used():
    """Rows only add to what counts as used, whatever they say."""
    _, shared = shared_of_four()
    for admitted_units, reconciled in ((0, 9), (5, 9), (9, 5)):
        sender = UncountedUsage("g2", admitted_units + reconciled, 100)
        sender.record_uncounted(161, 7, 2000, admitted_units)
        sender.reconcile(161, 7, reconciled)
        shared.receive(tuple(sender.next_broadcast(9, 3)), 14_000.0)
        assert shared.uncounted_elsewhere(161, 7, QUOTA, 14_000.0) >= 0
    with raises(StopIteration):  # and nothing is broadcast where nothing was admitted
        next(iter(UncountedUsage("g3", 1, 9).next_broadcast(9, 3)))
