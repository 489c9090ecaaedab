"""Quota sharing of one gateway: the policy's port, and the broadcasts to other gateways.

Other gateways may have admitted units for a customer that the counter's total does not include. Gateways that
are reachable broadcast these units (`uncounted_usage`). For silent gateways of the customer's subset, a
reserve of their even share is kept (`reserve`), unless their presence at the counter is confirmed
(`presence`). The sum of admitted units therefore stays within the allowance whichever gateways are
partitioned from the counter, from each other, or from both. Quota sharing only adds to the usage that counts:
it never admits more than the counter's total alone would. No I/O; times are Unix ms.
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
    """Rows to send to the gateway at `address` ("ip:port")."""

    address: str
    rows: tuple[UsageRow, ...]


@dataclass(frozen=True, slots=True)
class DueWork:
    """The messages and counter calls to send after a maintenance run, in this order."""

    broadcasts: list[UsageBroadcast]
    counter_calls: list[CounterCall]


class QuotaSharing:
    """Quota sharing of one gateway (implements `policy.ports.QuotaSharingPort`).

    `membership` is this gateway's membership in the fleet, which runs on a steady clock of its own.
    """

    def __init__(self, membership: LocalMember, settings: QuotaSharingSettings) -> None:
        self.membership = membership
        self.settings = settings
        local = membership.membership.local
        self.usage = UncountedUsage(local.name, local.started_at, settings.max_rows)
        self.silent_members = SilentMembers(settings)
        self.presence = Presence(local.slot, settings)
        # Customers' windows whose carried-over units are part of an increment that is not reconciled yet.
        self.carry_over_pending: set[tuple[int, int]] = set()
        self.restored = False
        self.broadcast_at = float("-inf")

    # Implementation of QuotaSharingPort.

    def record_uncounted(self, customer: int, window: int, quota: SharedQuota, units: float) -> None:
        """Record units that this gateway admitted without the counter; see QuotaSharingPort."""
        self.usage.record_uncounted(customer, window, quota.window_ms, units)

    def reconcile(self, customer: int, window: int, units: float) -> None:
        """Mark units as added to the counter, carried-over units first; see QuotaSharingPort."""
        if (customer, window) in self.carry_over_pending:
            self.carry_over_pending.remove((customer, window))
            units = self.usage.reconcile_carried_over(customer, window, units)
        self.usage.reconcile(customer, window, units)

    def carry_over(self, customer: int, window: int) -> float:
        """Return the units of a snapshot that the next increment includes, once; see QuotaSharingPort.

        A process that ends between that increment and the next snapshot adds the units again after its
        restart. Such double counting rejects some requests until the window ends, and admits no more.
        """
        if not self.restored or (customer, window) in self.carry_over_pending:
            return 0.0
        units = self.usage.carried_over(customer, window)
        if units:
            self.carry_over_pending.add((customer, window))
        return units

    def uncounted_elsewhere(self, customer: int, window: int, quota: SharedQuota, now: float) -> float:
        """Return the units that others broadcast plus the reserves for silent ones; see QuotaSharingPort."""
        units = self.usage.outstanding_elsewhere(customer, window)
        if self.silent_members.silent_since:
            slot_count = self.membership.slots.gateways
            for reserved_units in self.silent_members.reserves(quota, window, slot_count, now):
                units += reserved_units
        return units

    def counter_call_finished(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        """Apply the end of a counter call; see QuotaSharingPort.

        A total above 0 of a presence call shows that the gateway in that slot reaches the counter.
        """
        if outcome is not Outcome.DONE:
            return
        present_until = self.presence.valid_until(call, total)
        if present_until is not None:
            self.silent_members.present_until[call.window] = present_until

    # Interface to the transport.

    def restore(self, rows: list[UsageRow], now: float) -> int:
        """Merge the rows of a snapshot that have not expired, and return the number of rows added."""
        rows_before = self.usage.row_count
        for row in rows:
            if row.started_at != self.usage.started_at:
                self.usage.merge(row, now)
        self.restored = self.restored or self.usage.row_count > rows_before
        return self.usage.row_count - rows_before

    def receive(self, rows: tuple[UsageRow, ...], now: float) -> None:
        """Merge the rows of a datagram, except rows of this process that others gossip back."""
        local_incarnation = (self.usage.gateway, self.usage.started_at)
        for row in rows:
            if row.incarnation() != local_incarnation:
                self.usage.merge(row, now)

    def run_maintenance(self, now: float, steady_now: float) -> DueWork:
        """Refresh the silent members, remove expired rows, and return the messages and calls to send now."""
        silent_slots = self.membership.slots.silent_slots(steady_now)
        self.silent_members.refresh(silent_slots, now, steady_now)
        self.usage.remove_expired(now)
        broadcasts = self._broadcasts_due(now)
        refutations = self.membership.membership.counts["refutations"]
        return DueWork(
            broadcasts, self.presence.calls_due(self.silent_members.silent_since, refutations, now)
        )

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
