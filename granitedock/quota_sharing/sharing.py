"""Quota sharing of one gateway: what the policy asks of it, and what it broadcasts to the others.

For each customer whose total the counter gives, other gateways may have admitted units that the counter does
not know of. Those that can be heard broadcast them (`uncounted_usage`); for silent ones of the subset a
reserve of their even share is held back (`reserve`), unless they show at the counter (`presence`). So the sum
keeps to the allowance whichever gateways are cut off from the counter, from each other, or from both. All of
it only adds to what counts as used: it never admits more than the counter's total alone would. No I/O; times
are Unix ms.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitedock.membership.local_member import LocalMember
from granitedock.policy.types import CounterCall, Outcome, SharedQuota
from granitedock.quota_sharing.presence import Presence
from granitedock.quota_sharing.reserve import SilentMembers
from granitedock.quota_sharing.settings import QuotaSharingSettings
from granitedock.quota_sharing.uncounted_usage import UncountedUsage, UsageRow

ROWS_PER_DATAGRAM = 16


@dataclass(frozen=True, slots=True)
class UsageBroadcast:
    """Rows for the gateway at `address` ("ip:port")."""

    address: str
    rows: tuple[UsageRow, ...]


@dataclass(frozen=True, slots=True)
class DueWork:
    """What a maintenance run wants sent, in this order."""

    broadcasts: list[UsageBroadcast]
    counter_calls: list[CounterCall]


class QuotaSharing:
    """One gateway's quota sharing (a `policy.ports.QuotaSharingPort`).

    `membership` is its part in the fleet, which runs on a steady clock of its own.
    """

    def __init__(self, membership: LocalMember, settings: QuotaSharingSettings) -> None:
        self.membership = membership
        self.settings = settings
        me = membership.membership.local
        self.usage = UncountedUsage(me.name, me.started_at, settings.max_rows)
        self.silent_members = SilentMembers(settings)
        self.presence = Presence(me.slot, settings)
        self.carrying: set[tuple[int, int]] = set()  # windows whose carried-over units ride on an add
        self.restored = False
        self.broadcast_at = float("-inf")

    # For the policy.

    def record_uncounted(self, customer: int, window: int, quota: SharedQuota, units: float) -> None:
        """See QuotaSharingPort."""
        self.usage.record_uncounted(customer, window, quota.window_ms, units)

    def reconcile(self, customer: int, window: int, units: float) -> None:
        """See QuotaSharingPort. Carried-over units are reconciled first."""
        if (customer, window) in self.carrying:
            self.carrying.remove((customer, window))
            units = self.usage.reconcile_carried_over(customer, window, units)
        self.usage.reconcile(customer, window, units)

    def carry_over(self, customer: int, window: int) -> float:
        """See QuotaSharingPort: units of a snapshot, which ride on the next add, once.

        A process that ends between that add and the next snapshot adds them again: counting twice rejects
        some until the window is over, and admits nothing more.
        """
        if not self.restored or (customer, window) in self.carrying:
            return 0.0
        units = self.usage.carried_over(customer, window)
        if units:
            self.carrying.add((customer, window))
        return units

    def uncounted_elsewhere(self, customer: int, window: int, quota: SharedQuota, now: float) -> float:
        """See QuotaSharingPort: what others broadcast, and the reserves of the silent."""
        units = self.usage.outstanding_elsewhere(customer, window)
        if self.silent_members.since:
            slot_count = self.membership.slots.gateways
            for units_held_back in self.silent_members.reserves(quota, window, slot_count, now):
                units += units_held_back
        return units

    def counter_call_finished(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        """See QuotaSharingPort: a total above 0 of a presence call says that the slot's gateway was there."""
        if outcome is not Outcome.DONE:
            return
        present_until = self.presence.shown_until(call, total)
        if present_until is not None:
            self.silent_members.present_until[call.window] = present_until

    # For the transport.

    def restore(self, rows: list[UsageRow], now: float) -> int:
        """Take in the rows of a snapshot; returns how many are still of use."""
        rows_before = self.usage.row_count
        for row in rows:
            if row.started_at != self.usage.started_at:
                self.usage.merge(row, now)
        self.restored = self.restored or self.usage.row_count > rows_before
        return self.usage.row_count - rows_before

    def receive(self, rows: tuple[UsageRow, ...], now: float) -> None:
        """Merge rows of a datagram; this process's own, sent back by others, are left out."""
        own = (self.usage.gateway, self.usage.started_at)
        for row in rows:
            if row.incarnation() != own:
                self.usage.merge(row, now)

    def run_maintenance(self, now: float, steady_now: float) -> DueWork:
        """The periodic work: refreshes who is silent, drops old rows, and gives what is to be sent now."""
        silent_slots = self.membership.slots.silent_slots(steady_now)
        self.silent_members.refresh(silent_slots, now, steady_now)
        self.usage.remove_expired(now)
        broadcasts = self._broadcasts_due(now)
        refutations = self.membership.membership.counts["refutations"]
        return DueWork(broadcasts, self.presence.calls_due(self.silent_members.since, refutations, now))

    def _broadcasts_due(self, now: float) -> list[UsageBroadcast]:
        membership = self.membership.membership
        others = membership.live_others()
        if not self.usage.queue or not others:
            return []
        if now - self.broadcast_at < self.settings.broadcast_interval_ms:
            return []
        self.broadcast_at = now
        broadcasts = []
        for address in membership.gossip_addresses():
            rows = self.usage.next_broadcast(ROWS_PER_DATAGRAM, len(others) + 1)
            if rows:
                broadcasts.append(UsageBroadcast(address, tuple(rows)))
        return broadcasts
