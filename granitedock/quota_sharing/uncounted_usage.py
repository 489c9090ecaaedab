"""Units admitted without the counter: per customer and window, by gateway and incarnation.

A state-based CRDT: each row has two counts that only grow, `admitted` (without the counter) and `reconciled`
(added to the counter since). The outstanding units are their difference. A merge takes the larger value of
each count, so that reordered, lost and duplicated rows converge to the same state. A restart is another
incarnation and removes nothing. Amounts are whole milliunits, thousandths of a unit. No I/O, no clock.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, replace

from granitedock.membership.broadcast_queue import transmit_limit

MILLIUNITS_PER_UNIT = 1000
RETENTION_WINDOWS = 2  # A row is used in its window and in the next one.
MAX_CLOCK_LEAD_MS = 60_000  # Rows of windows that start later than this from now are dropped.
EXPIRY_INTERVAL_MS = 1000.0

Window = tuple[int, int]  # The customer and the number of its window.
Incarnation = tuple[str, int]  # The gateway and the start time of its process.


@dataclass(frozen=True, slots=True)
class UsageRow:
    """The uncounted usage of one incarnation of a gateway in one customer's window.

    `started_at` is the start time of the gateway's process (Unix ms). `window` is the window's number, in
    windows of `window_ms`. `admitted` and `reconciled` are in milliunits.
    """

    gateway: str
    started_at: int
    customer: int
    window: int
    window_ms: int
    admitted: int
    reconciled: int = 0

    def key(self) -> Window:
        """Return the customer's window to which the row belongs."""
        return (self.customer, self.window)

    def incarnation(self) -> Incarnation:
        """Return the gateway and process that admitted the units."""
        return (self.gateway, self.started_at)

    def outstanding(self) -> int:
        """Return the milliunits that the counter does not include; below 0 if more was reconciled."""
        return self.admitted - self.reconciled

    def expires_at(self) -> float:
        """Return the time, in Unix ms, from which the row is no longer used."""
        return float((self.window + RETENTION_WINDOWS) * self.window_ms)


def merged(a: UsageRow, b: UsageRow) -> UsageRow:
    """Return the join of two rows of the same incarnation, customer and window."""
    return UsageRow(
        a.gateway,
        a.started_at,
        a.customer,
        a.window,
        a.window_ms,
        max(a.admitted, b.admitted),
        max(a.reconciled, b.reconciled),
    )


@dataclass(slots=True)
class QueuedRow:
    """A row to broadcast; `order` is the number of its change, `transmits` how often it was sent."""

    row: UsageRow
    order: int
    transmits: int = 0


class UncountedUsage:
    """The usage rows of all gateways, including this one, and the queue of rows to broadcast.

    `max_rows` limits the number of rows; a new row beyond it is dropped and counted.
    """

    def __init__(self, gateway: str, started_at: int, max_rows: int) -> None:
        self.gateway = gateway
        self.started_at = started_at
        self.max_rows = max_rows
        self.rows: dict[Window, dict[Incarnation, UsageRow]] = {}
        self.row_count = 0
        self.queue: dict[tuple[Incarnation, Window], QueuedRow] = {}
        self.change_count = 0
        self.expired_at = float("-inf")
        self.counts: Counter[str] = Counter()

    # Usage of this gateway.

    def record_uncounted(self, customer: int, window: int, window_ms: float, units: float) -> None:
        """Add units that this gateway admitted without the counter."""
        self._increment(customer, window, window_ms, round(units * MILLIUNITS_PER_UNIT), 0)

    def reconcile(self, customer: int, window: int, units: float) -> None:
        """Mark units of this gateway as added to the counter."""
        local_row = self._local_row(customer, window)
        if local_row is not None:
            self._increment(customer, window, local_row.window_ms, 0, round(units * MILLIUNITS_PER_UNIT))

    def local_outstanding(self, customer: int, window: int) -> float:
        """Return the units that this process admitted and the counter does not include."""
        row = self._local_row(customer, window)
        return max(0, row.outstanding()) / MILLIUNITS_PER_UNIT if row else 0.0

    def _local_row(self, customer: int, window: int) -> UsageRow | None:
        return self.rows.get((customer, window), {}).get((self.gateway, self.started_at))

    def _increment(
        self, customer: int, window: int, window_ms: float, admitted: int, reconciled: int
    ) -> None:
        local_row = self._local_row(customer, window)
        row = UsageRow(
            self.gateway,
            self.started_at,
            customer,
            window,
            int(window_ms),
            (local_row.admitted if local_row else 0) + admitted,
            (local_row.reconciled if local_row else 0) + reconciled,
        )
        self._store(row)

    # Usage of other gateways.

    def merge(self, row: UsageRow, now: float) -> None:
        """Merge a row from any sender (`now` in Unix ms).

        Rows of windows that have expired, or that start too far ahead of this clock, are dropped and counted.
        """
        if row.expires_at() <= now or row.window * row.window_ms > now + MAX_CLOCK_LEAD_MS:
            self.counts["rows_out_of_time"] += 1
            return
        known = self.rows.get(row.key(), {}).get(row.incarnation())
        if known is not None:
            row = merged(known, row)
            if row == known:
                return
        self._store(row)

    def _store(self, row: UsageRow) -> None:
        key = row.key()
        incarnation = row.incarnation()
        rows = self.rows.get(key)
        if rows is None or incarnation not in rows:
            if self.row_count >= self.max_rows:
                # Prevents a flood of customers from filling the memory with rows. The cost is on the quotas
                # of customers beyond the limit: their rows are neither stored nor sent, so that the other
                # gateways admit an even share's bucket beyond the totals, as without quota sharing.
                self.counts["rows_not_held"] += 1
                return
            self.row_count += 1
            rows = self.rows.setdefault(key, {})
        rows[incarnation] = row
        self.change_count += 1
        self.queue[(incarnation, key)] = QueuedRow(row, self.change_count)

    def outstanding_elsewhere(self, customer: int, window: int) -> float:
        """Return the units that processes other than this one admitted and the counter does not include."""
        rows = self.rows.get((customer, window))
        if not rows:
            return 0.0
        local_incarnation = (self.gateway, self.started_at)
        outstanding = sum(
            max(0, row.admitted - row.reconciled)
            for incarnation, row in rows.items()
            if incarnation != local_incarnation
        )
        return outstanding / MILLIUNITS_PER_UNIT

    # Usage carried over a restart.

    def local_unreconciled_rows(self) -> list[UsageRow]:
        """Return the rows of all incarnations of this gateway that have outstanding units."""
        all_rows = (row for rows in self.rows.values() for row in rows.values())
        return [row for row in all_rows if row.gateway == self.gateway and row.outstanding() > 0]

    def _earlier_rows(self, customer: int, window: int) -> Iterator[UsageRow]:
        """Yield the rows of earlier incarnations of this gateway; the caller may replace rows meanwhile."""
        for row in list(self.rows.get((customer, window), {}).values()):
            if row.gateway == self.gateway and row.started_at != self.started_at:
                yield row

    def carried_over(self, customer: int, window: int) -> float:
        """Return the units that earlier incarnations of this gateway admitted and never reconciled."""
        earlier = self._earlier_rows(customer, window)
        return sum(max(0, row.outstanding()) for row in earlier) / MILLIUNITS_PER_UNIT

    def reconcile_carried_over(self, customer: int, window: int, units: float) -> float:
        """Reconcile the outstanding units of earlier incarnations and return the units that remain."""
        remaining = round(units * MILLIUNITS_PER_UNIT)
        for row in self._earlier_rows(customer, window):
            amount = min(remaining, row.outstanding())
            if amount > 0:
                self._store(replace(row, reconciled=row.reconciled + amount))
                remaining -= amount
        return remaining / MILLIUNITS_PER_UNIT

    # Broadcast and expiry.

    def next_broadcast(self, limit: int, members: int) -> list[UsageRow]:
        """Return at most `limit` rows to send next, the least sent first.

        A row leaves the queue after as many transmissions as gossip among `members` members uses.
        """
        max_transmits = transmit_limit(members)
        rows = []
        least_sent = heapq.nsmallest(
            limit, self.queue.values(), key=lambda queued: (queued.transmits, queued.order)
        )
        for queued in least_sent:
            queued.transmits += 1
            if queued.transmits >= max_transmits:
                del self.queue[(queued.row.incarnation(), queued.row.key())]
            rows.append(queued.row)
        return rows

    def remove_expired(self, now: float) -> None:
        """Remove the rows of expired windows, at most once a second (`now` in Unix ms)."""
        if now - self.expired_at < EXPIRY_INTERVAL_MS:
            return
        self.expired_at = now
        for key, rows in list(self.rows.items()):
            if next(iter(rows.values())).expires_at() <= now:
                del self.rows[key]
                self.row_count -= len(rows)
                for incarnation in rows:
                    self.queue.pop((incarnation, key), None)
