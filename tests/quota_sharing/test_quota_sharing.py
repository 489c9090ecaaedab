"""Quota sharing in one process: simulated random faults, the merge of usage rows, and the reserves.

The tests guard against admitting more than the stated bound, and against rejecting requests because units are
counted twice or reserved for longer than necessary.
"""

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

RATE_PER_S, BURST_UNITS, SUBSET_SIZE = 40.0, 40.0, 4

# The policy's decisions under simulated random faults.

PLAN = Plan("p", RATE_PER_S / 1000, BURST_UNITS, 0, 1, 0, 0, 0, 0, 0)
GATEWAY_MASK = st.integers(1, 14)
FAULTS = st.one_of(
    st.tuples(st.sampled_from(["counter", "partition", "both"]), GATEWAY_MASK),
    st.tuples(st.sampled_from(["crash", "start"]), st.integers(0, 3)),
    st.tuples(st.just("pause"), st.integers(0, 3), st.integers(500, 12_000)),
    st.tuples(st.just("heal")),
    st.tuples(st.just("run"), st.integers(1000, 15_000)),
)


def check_bound(steps, seed, loss=0.05):
    """Run the faults under a load of four times the quota; the admitted units must stay within the bound."""
    load = OfferedLoad(161, PLAN, 4 * RATE_PER_S, SUBSET_SIZE)
    simulation = QuotaSimulation(
        SUBSET_SIZE, [load], seed, network=NetworkConditions(loss=loss, duplication=loss)
    )
    terms = excess(PLAN, SUBSET_SIZE, simulation.timing, QuotaSharingSettings().broadcast_interval_ms)
    simulation.run(4000)
    isolated = returned = counter_cut = 0
    for fault, *arguments in steps:
        selected = [n for n in range(SUBSET_SIZE) if arguments and arguments[0] >> n & 1]
        if fault in ("counter", "both"):
            simulation.disconnect_counter(*selected)
            counter_cut += len(selected)
        if fault in ("partition", "both"):
            simulation.partition(selected, [n for n in range(SUBSET_SIZE) if n not in selected])
            isolated += SUBSET_SIZE  # Each may be cut off from the counter too, now or before.
        if fault == "crash" and simulation.nodes[arguments[0]].local_member is not None:
            simulation.crash(arguments[0])
        elif fault == "start" and simulation.nodes[arguments[0]].local_member is None:
            simulation.start(arguments[0], tuple(node.address for node in simulation.nodes))
            returned += 1
        elif fault == "pause":
            simulation.pause(*arguments)
            isolated += 1
            returned += 1
        elif fault == "heal":
            simulation.heal()
            returned += SUBSET_SIZE
        elif fault == "run":
            simulation.run(arguments[0])
    simulation.run(20_000)
    # 2% because a gateway receives a total some milliseconds after it was current, also without faults.
    bound = 1.02 * (BURST_UNITS + RATE_PER_S * simulation.now / 1000) + terms.total(
        isolated, returned, counter_cut
    )
    assert admitted(load, 0, simulation.now) <= bound, (admitted(load, 0, simulation.now), bound)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.lists(FAULTS, max_size=7), st.integers(0, 2**16))
def test_the_stated_bound_holds_over_any_cuts_crashes_pauses_and_heals(steps, seed):
    check_bound(steps, seed)


@mark.parametrize("cut_ms", [2000, 12_000])
def test_usage_during_a_counter_outage_is_not_counted_twice_after_it(cut_ms):
    """Guards against counting other gateways' units twice after the counter is reachable again.

    Each gateway's bucket already accounts for the usage of the others, whose units also arrive in rows and in
    the counter's totals. With both counted, 0.64 of the allowance was served in the five seconds after the
    partition healed.
    """
    shares = []
    for seed in (3, 5, 8):
        load = OfferedLoad(161, PLAN, 4 * RATE_PER_S, SUBSET_SIZE)
        simulation = QuotaSimulation(SUBSET_SIZE, [load], seed)
        simulation.run(6000 + 130 * seed)  # Each seed begins at another phase of the windows.
        simulation.disconnect_counter(*range(SUBSET_SIZE))
        simulation.run(cut_ms)
        simulation.heal()
        healed_at = simulation.now
        simulation.run(6000)
        shares.append(admitted(load, healed_at, healed_at + 5000) / (RATE_PER_S * 5))
        assert admitted(load, 0, simulation.now) <= 1.02 * (BURST_UNITS + RATE_PER_S * simulation.now / 1000)
    assert min(shares) >= 0.93 and max(shares) <= 1.07, shares


def test_without_reserves_the_bound_breaks_and_the_check_detects_it(monkeypatch):
    """Guards against a check of the bound that passes whatever is admitted."""
    steps = [("both", 12), ("run", 15_000), ("run", 15_000), ("run", 15_000)]
    check_bound(steps, 1)
    monkeypatch.setattr(SilentMembers, "refresh", lambda *_: None)  # No reserve is kept any more.
    with raises(AssertionError):
        check_bound(steps, 1)


# The merge and the reserves without the policy.

QUOTA = SharedQuota(PLAN, 0, SUBSET_SIZE, 2000.0)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(1, 9), st.booleans()), max_size=30),
    st.randoms(),
)
def test_reordered_lost_and_duplicated_rows_end_in_the_same_usage(steps, random):
    gateways = [UncountedUsage(f"g{n}", 1, 100) for n in range(3)]
    expected, sent = {}, []
    for number, customer, units, is_reconciled in steps:
        if is_reconciled:
            units = min(units, gateways[number].local_outstanding(customer, 1))
            gateways[number].reconcile(customer, 1, units)
            expected[number, customer] = expected.get((number, customer), 0) - units
        else:
            gateways[number].record_uncounted(customer, 1, 2000, units)
            expected[number, customer] = expected.get((number, customer), 0) + units
        sent += gateways[number].next_broadcast(9, 3)
    final = [row for usage in gateways for rows in usage.rows.values() for row in rows.values()]
    for _ in range(2):
        reader = UncountedUsage("reader", 1, 100)
        received = [row for row in sent if random.random() < 0.6] * 2 + final
        random.shuffle(received)
        for row in received:
            reader.merge(row, 0.0)
        for customer in range(3):
            assert reader.outstanding_elsewhere(customer, 1) == sum(
                expected.get((n, customer), 0) for n in range(3)
            )


def test_a_restart_removes_no_usage_and_the_number_of_rows_is_limited():
    """Guards against a restarted gateway that overwrites its earlier usage, and against unbounded memory."""
    reader = UncountedUsage("reader", 1, 3)
    for started_at, units in ((5, 4), (9, 1)):
        sender = UncountedUsage("g1", started_at, 100)
        sender.record_uncounted(161, 7, 2000, units)
        for row in sender.next_broadcast(9, 3):
            reader.merge(row, 13_000.0)
    assert reader.outstanding_elsewhere(161, 7) == 5  # The units of both incarnations.
    flooding_sender = UncountedUsage("g2", 1, 100)
    for customer in range(10):
        flooding_sender.record_uncounted(customer, 7, 2000, 1)
    for row in flooding_sender.next_broadcast(50, 3):
        reader.merge(row, 13_000.0)
    assert reader.row_count == 3 and reader.counts["rows_not_held"] == 9
    reader.merge(
        UncountedUsage("g3", 1, 9).next_broadcast(1, 1)[0]
        if UncountedUsage("g3", 1, 9).queue
        else flooding_sender.next_broadcast(1, 3)[0],
        99_000.0,
    )
    assert reader.counts["rows_out_of_time"] == 1
    reader.remove_expired(99_000.0)
    assert reader.row_count == 0 and not reader.rows and not reader.queue


def test_carried_over_units_are_reconciled_once_and_old_or_foreign_snapshots_give_nothing():
    """Guards against units that are lost or counted twice after a restart."""
    local_member, before = quota_sharing_of_four()
    before.record_uncounted(161, 7, QUOTA, 5.0)
    before.record_uncounted(161, 8, QUOTA, 3.0)
    before.reconcile(161, 8, 1.0)
    rows = unpack("g0", pack("g0", before.usage.local_unreconciled_rows()))
    restarted_member = Member("g0", "10.0.0.0:7946", 9, 0, MemberState.ALIVE, 0, 1)
    after = QuotaSharing(
        LocalMember(restarted_member, Timing(), (), 4, 0.0, Random(1), "c"), QuotaSharingSettings()
    )
    assert after.restore(rows, 16_500.0) == 2 and after.restore(rows, 99_000.0) == 0
    # This gateway counts the carried-over units too, until they are reconciled.
    assert after.uncounted_elsewhere(161, 8, QUOTA, 16_500.0) == 2.0
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
    # The larger counts replace the smaller ones, in any order of arrival.
    assert other.uncounted_elsewhere(161, 8, QUOTA, 16_500.0) == 0.0
    with raises(SnapshotError, match="another gateway"):
        unpack("g1", pack("g0", rows))
    with raises(SnapshotError, match="torn"):
        unpack("g0", b"")


def member(n, state=MemberState.ALIVE):
    return Member(f"g{n}", f"10.0.0.{n}:7946", 5, 0, state, n, 1)


def quota_sharing_of_four():
    local_member = LocalMember(member(0), Timing(), (), 4, 0.0, Random(1), "c")
    for n in (1, 2, 3):
        local_member.slots.member_changed(0.0, MemberChange(member(n), None))
    return local_member, QuotaSharing(local_member, QuotaSharingSettings(max_reserve_ms=60_000))


def test_a_reserve_ends_by_probe_announcement_presence_or_its_maximum_time():
    """Guards against reserves that end while the silent gateway may still admit, or that never end."""
    local_member, sharing = quota_sharing_of_four()

    def reserved_units(now):
        sharing.run_maintenance(now, now)
        return round(sharing.uncounted_elsewhere(161, int(now // 2000), QUOTA, now), 6)

    assert reserved_units(10_000.0) == 0
    local_member.slots.member_changed(
        10_000.0, MemberChange(member(3, MemberState.DEAD), MemberState.SUSPECT)
    )
    silent_since = 10_000.0 - sharing.settings.detection_delay_ms
    # The reserve is the even share of the rate for the 1000 ms since the start of the window.
    assert reserved_units(11_000.0) == round(RATE_PER_S / 1000 * 1000 / SUBSET_SIZE, 6)
    assert sharing.silent_members.silent_since == {3: silent_since}
    local_member.slots.member_changed(11_500.0, MemberChange(member(3, MemberState.GONE), MemberState.DEAD))
    assert reserved_units(11_600.0) > 0  # A proof of its end by another gateway does not end the reserve.
    local_member.slots.connection_refused(11_700.0, member(3).address)
    assert reserved_units(11_800.0) == 0  # A probe by this gateway ends the reserve.
    # The reserve resumes when the probe is no longer fresh.
    assert reserved_units(11_700.0 + Timing().lease_ms + 100) > 0
    call = next(
        call for call in sharing.run_maintenance(16_000.0, 16_000.0).counter_calls if call.window == 3
    )
    sharing.counter_call_finished(call, Outcome.DONE, 1.0)
    assert reserved_units(16_500.0) == 0  # The counter includes the silent gateway's units.
    assert reserved_units(31_000.0) > 0
    assert reserved_units(silent_since + 60_000 + 500) == 0  # The maximum time has passed.
    local_member.slots.member_changed(80_000.0, MemberChange(member(2, MemberState.DEAD), MemberState.ALIVE))
    assert reserved_units(80_100.0) > 0
    local_member.slots.member_changed(80_200.0, MemberChange(member(2, MemberState.LEFT), MemberState.DEAD))
    assert reserved_units(80_300.0) == 0  # Member 2 has announced its departure.


def test_no_row_lowers_what_counts_as_used():
    """Guards against rows, valid or not, that make a gateway admit more than the counter's total permits."""
    _, sharing = quota_sharing_of_four()
    for admitted_units, reconciled in ((0, 9), (5, 9), (9, 5)):
        sender = UncountedUsage("g2", admitted_units + reconciled, 100)
        sender.record_uncounted(161, 7, 2000, admitted_units)
        sender.reconcile(161, 7, reconciled)
        sharing.receive(tuple(sender.next_broadcast(9, 3)), 14_000.0)
        assert sharing.uncounted_elsewhere(161, 7, QUOTA, 14_000.0) >= 0
    with raises(StopIteration):  # Nothing is broadcast where nothing was admitted.
        next(iter(UncountedUsage("g3", 1, 9).next_broadcast(9, 3)))
