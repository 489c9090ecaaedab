"""Units admitted without the counter's knowledge: per customer and window, by gateway and incarnation.

A state-based CRDT: each row has two counts that only grow, `admitted` (without the counter) and
`reconciled` (added to the counter since). Outstanding is their difference. A merge takes the larger of each,
so that reordered, lost and duplicated rows end in the same state, and a restart, which is another
incarnation, takes nothing back. Amounts are whole thousandths of a unit. No I/O, no clock.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, replace

from granitedock.membership.broadcast_queue import transmit_limit

PER_UNIT = 1000
WINDOWS_KEPT = 2  # a row is of use in its own window and the next one
MAX_CLOCK_LEAD_MS = 60_000  # a window that starts later than this from now is not believed
EXPIRY_INTERVAL_MS = 1000.0

Window = tuple[int, int]  # customer, and number of its window
Incarnation = tuple[str, int]  # gateway, and start time of its process


@dataclass(frozen=True, slots=True)
class UsageRow:
    """What one incarnation of one gateway says of one customer's window.

    `started_at` is the start time of the gateway's process (Unix ms); `window` counts in `window_ms`;
    `admitted` and `reconciled` are thousandths of a unit.
    """

    gateway: str
    started_at: int
    customer: int
    window: int
    window_ms: int
    admitted: int
    reconciled: int = 0

    def key(self) -> Window:
        """The customer's window that it is about."""
        return (self.customer, self.window)

    def incarnation(self) -> Incarnation:
        """Whose row it is."""
        return (self.gateway, self.started_at)

    def outstanding(self) -> int:
        """Thousandths of a unit that the counter does not know of; below 0 if more was reconciled."""
        return self.admitted - self.reconciled

    def expires_at(self) -> float:
        """When it is of no more use, in Unix ms."""
        return float((self.window + WINDOWS_KEPT) * self.window_ms)


def merged(a: UsageRow, b: UsageRow) -> UsageRow:
    """The join of two rows of the same incarnation, customer and window."""
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
    """A row that is still to be broadcast; `order` is that of the changes, `transmits` how often it went."""

    row: UsageRow
    order: int
    transmits: int = 0


class UncountedUsage:
    """All rows that this gateway holds, its own among them, and the queue of those still to be broadcast.

    `max_rows` bounds the rows; one that is new beyond it is dropped and counted.
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

    # This gateway's own usage.

    def record_uncounted(self, customer: int, window: int, window_ms: float, units: float) -> None:
        """Add units that this gateway admitted without the counter."""
        self._grow(customer, window, window_ms, round(units * PER_UNIT), 0)

    def reconcile(self, customer: int, window: int, units: float) -> None:
        """Of this gateway's units, so many are added to the counter now."""
        own = self._own_row(customer, window)
        if own is not None:
            self._grow(customer, window, own.window_ms, 0, round(units * PER_UNIT))

    def own_outstanding(self, customer: int, window: int) -> float:
        """Units that this process admitted and the counter does not know of."""
        row = self._own_row(customer, window)
        return max(0, row.outstanding()) / PER_UNIT if row else 0.0

    def _own_row(self, customer: int, window: int) -> UsageRow | None:
        return self.rows.get((customer, window), {}).get((self.gateway, self.started_at))

    def _grow(self, customer: int, window: int, window_ms: float, admitted: int, reconciled: int) -> None:
        own = self._own_row(customer, window)
        row = UsageRow(
            self.gateway,
            self.started_at,
            customer,
            window,
            int(window_ms),
            (own.admitted if own else 0) + admitted,
            (own.reconciled if own else 0) + reconciled,
        )
        self._store(row)

    # Rows of others.

    def merge(self, row: UsageRow, now: float) -> None:
        """Merge a row, whoever sent it (`now` in Unix ms).

        Windows that are over, or far ahead of this clock, are dropped and counted.
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
                # Guards against floods of customers, whose rows would fill the memory. Hurts the quotas of
                # customers beyond the limit: their rows are neither held nor sent, so that the others admit
                # an even share's bucket beyond their totals, as without quota sharing.
                self.counts["rows_not_held"] += 1
                return
            self.row_count += 1
            rows = self.rows.setdefault(key, {})
        rows[incarnation] = row
        self.change_count += 1
        self.queue[(incarnation, key)] = QueuedRow(row, self.change_count)

    def outstanding_elsewhere(self, customer: int, window: int) -> float:
        """Units that all but this process admitted and the counter does not know of."""
        rows = self.rows.get((customer, window))
        if not rows:
            return 0.0
        own = (self.gateway, self.started_at)
        outstanding = sum(
            max(0, row.admitted - row.reconciled) for incarnation, row in rows.items() if incarnation != own
        )
        return outstanding / PER_UNIT

    # Over a restart.

    def own_unreconciled_rows(self) -> list[UsageRow]:
        """Rows of this gateway with something outstanding, of this incarnation and earlier ones."""
        all_rows = (row for rows in self.rows.values() for row in rows.values())
        return [row for row in all_rows if row.gateway == self.gateway and row.outstanding() > 0]

    def _earlier_rows(self, customer: int, window: int) -> Iterator[UsageRow]:
        """Rows of this gateway's earlier incarnations; the rows may be replaced meanwhile."""
        for row in list(self.rows.get((customer, window), {}).values()):
            if row.gateway == self.gateway and row.started_at != self.started_at:
                yield row

    def carried_over(self, customer: int, window: int) -> float:
        """Units that earlier incarnations of this gateway admitted and never reconciled."""
        earlier = self._earlier_rows(customer, window)
        return sum(max(0, row.outstanding()) for row in earlier) / PER_UNIT

    def reconcile_carried_over(self, customer: int, window: int, units: float) -> float:
        """Reconcile earlier incarnations, as far as they have outstanding units; returns the units left."""
        left = round(units * PER_UNIT)
        for row in self._earlier_rows(customer, window):
            amount = min(left, row.outstanding())
            if amount > 0:
                self._store(replace(row, reconciled=row.reconciled + amount))
                left -= amount
        return left / PER_UNIT

    # Broadcast and expiry.

    def next_broadcast(self, limit: int, members: int) -> list[UsageRow]:
        """At most `limit` rows to send next, the least sent first.

        A row leaves the queue once it went as often as gossip to `members` members does.
        """
        max_transmits = transmit_limit(members)
        chosen = []
        least_sent = heapq.nsmallest(
            limit, self.queue.values(), key=lambda queued: (queued.transmits, queued.order)
        )
        for queued in least_sent:
            queued.transmits += 1
            if queued.transmits >= max_transmits:
                del self.queue[(queued.row.incarnation(), queued.row.key())]
            chosen.append(queued.row)
        return chosen

    def remove_expired(self, now: float) -> None:
        """Drop the windows that are over (`now` in Unix ms); does so once a second at most."""
        if now - self.expired_at < EXPIRY_INTERVAL_MS:
            return
        self.expired_at = now
        for key, rows in list(self.rows.items()):
            if next(iter(rows.values())).expires_at() <= now:
                del self.rows[key]
                self.row_count -= len(rows)
                for incarnation in rows:
                    self.queue.pop((incarnation, key), None)
