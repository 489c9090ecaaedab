"""Units let in that the counter does not know of: per customer and window, by gateway and incarnation.

Two counts that only grow stand for each: `let_in` (let in without the counter) and `paid` (added to it
since). What is outstanding is their difference. Merging takes the greater of each, so that any order, any
loss and any doubling of what is told ends in the same state, and a restart, which is another incarnation,
takes nothing back. Amounts are whole thousandths of a unit. No I/O, no clock.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, replace

from granitedock.membership.broadcast_queue import transmit_limit

PER_UNIT = 1000
WINDOWS_KEPT = 2  # a row is of use in its own window and the next one


@dataclass(frozen=True, slots=True)
class Row:
    """What one incarnation of one gateway says of one customer's window (`window` counts in `window_ms`)."""

    teller: str
    born: int
    customer: int
    window: int
    window_ms: int
    let_in: int
    paid: int = 0

    def key(self) -> tuple[int, int]:
        return (self.customer, self.window)

    def until(self) -> float:
        """When it is of no more use, in Unix ms."""
        return float((self.window + WINDOWS_KEPT) * self.window_ms)


def merged(a: Row, b: Row) -> Row:
    """Both of the same teller, incarnation, customer and window."""
    return Row(
        a.teller, a.born, a.customer, a.window, a.window_ms, max(a.let_in, b.let_in), max(a.paid, b.paid)
    )


class Counts:
    """All rows this gateway holds, its own among them, and which of them are still to be told."""

    def __init__(self, teller: str, born: int, most: int) -> None:
        self.teller, self.born, self.most = teller, born, most
        self.rows: dict[tuple[int, int], dict[tuple[str, int], Row]] = {}
        self.held = 0
        self.to_tell: dict[tuple, list] = {}  # by teller, incarnation and key: [times told, order, row]
        self.made = 0
        self.swept_at = float("-inf")
        self.counts: Counter[str] = Counter()

    # Ours.

    def record_uncounted(self, customer: int, window: int, window_ms: float, units: float) -> None:
        self.grow(customer, window, window_ms, round(units * PER_UNIT), 0)

    def reconcile(self, customer: int, window: int, units: float) -> None:
        had = self.rows.get((customer, window), {}).get((self.teller, self.born))
        if had is not None:
            self.grow(customer, window, had.window_ms, 0, round(units * PER_UNIT))

    def grow(self, customer: int, window: int, window_ms: float, let_in: int, paid: int) -> None:
        had = self.rows.get((customer, window), {}).get((self.teller, self.born))
        row = Row(
            self.teller,
            self.born,
            customer,
            window,
            int(window_ms),
            (had.let_in if had else 0) + let_in,
            (had.paid if had else 0) + paid,
        )
        self.keep(row)

    # Others'.

    def merge(self, row: Row, now: float) -> None:
        """Take in what was told, by whomever. Windows long over, or far ahead of our clock, are dropped."""
        if row.until() <= now or row.window * row.window_ms > now + 60_000:
            self.counts["rows_out_of_time"] += 1
            return
        had = self.rows.get(row.key(), {}).get((row.teller, row.born))
        if had is not None:
            row = merged(had, row)
            if row == had:
                return
        self.keep(row)

    def keep(self, row: Row) -> None:
        who = row.teller, row.born
        tellers = self.rows.setdefault(row.key(), {})
        if who not in tellers:
            if self.held >= self.most:
                # Guards the memory against floods of customers: what is not held is not told either, and is
                # counted here. The others then let in what an even share's bucket gives beyond their totals,
                # as they did without any of this.
                self.counts["rows_not_held"] += 1
                if not tellers:
                    del self.rows[row.key()]
                return
            self.held += 1
        tellers[who] = row
        self.made += 1
        self.to_tell[(who, row.key())] = [0, self.made, row]

    # Asked.

    def outstanding(self, customer: int, window: int) -> float:
        """Units that others let in and the counter does not know of."""
        tellers = self.rows.get((customer, window))
        if not tellers:
            return 0.0
        own = (self.teller, self.born)
        return sum(max(0, row.let_in - row.paid) for who, row in tellers.items() if who != own) / PER_UNIT

    def own(self, customer: int, window: int) -> float:
        row = self.rows.get((customer, window), {}).get((self.teller, self.born))
        return max(0, row.let_in - row.paid) / PER_UNIT if row else 0.0

    # Over a restart.

    def mine(self) -> list[Row]:
        """Our own rows with something outstanding, of this incarnation and those before it."""
        rows = (row for tellers in self.rows.values() for row in tellers.values())
        return [row for row in rows if row.teller == self.teller and row.let_in > row.paid]

    def inherited(self, customer: int, window: int) -> float:
        """Units that earlier incarnations of this gateway let in and never paid."""
        tellers = self.rows.get((customer, window), {}).items()
        earlier = (row for who, row in tellers if who[0] == self.teller and who[1] != self.born)
        return sum(max(0, row.let_in - row.paid) for row in earlier) / PER_UNIT

    def pay_inherited(self, customer: int, window: int, units: float) -> float:
        """Paid for earlier incarnations, as far as they owe; what is left over."""
        left = round(units * PER_UNIT)
        for who, row in list(self.rows.get((customer, window), {}).items()):
            owed = min(left, row.let_in - row.paid)
            if who[0] == self.teller and who[1] != self.born and owed > 0:
                self.keep(replace(row, paid=row.paid + owed))
                left -= owed
        return left / PER_UNIT

    # Telling and forgetting.

    def take(self, most: int, members: int) -> list[Row]:
        """Rows to tell next, the least told first; each is told as often as other news, and then rests."""
        limit, chosen = transmit_limit(members), []
        for item in heapq.nsmallest(most, self.to_tell.values(), key=lambda item: item[:2]):
            item[0] += 1
            row = item[2]
            if item[0] >= limit:
                del self.to_tell[((row.teller, row.born), row.key())]
            chosen.append(row)
        return chosen

    def sweep(self, now: float) -> None:
        """Once a second at most: windows that are over are forgotten."""
        if now - self.swept_at < 1000.0:
            return
        self.swept_at = now
        for key, tellers in list(self.rows.items()):
            if next(iter(tellers.values())).until() <= now:
                del self.rows[key]
                self.held -= len(tellers)
                for who in tellers:
                    self.to_tell.pop((who, key), None)
