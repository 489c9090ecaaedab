"""One gateway's share in the counts and reserves: what the decisions ask, and what is told to the others.

For each customer whose total the counter gives us, the others may have let in units that it does not know of:
those that speak tell them (`counts`), and for those of the set that are silent a reserve of their even share
is held back, unless they show at the counter itself (presence). So the sum keeps to the allowance whoever is
cut off from the counter, from the others, or from both. All this only adds to what is taken as used: it never
lets more in than the counter's total alone would. No I/O; times are Unix ms.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from granitedock.membership.local_member import LocalMember
from granitedock.policy.types import CounterCall, Customer, Outcome, SharedQuota
from granitedock.quota_sharing.counts import Counts, Row

ROWS_A_DATAGRAM = 16
NOBODY = Customer(-1)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times in ms, and counts."""

    tell_ms: float = 100.0  # rows are told so often, while there are any to tell
    reserve_ms: float = 600_000.0  # the share of one that fell silent is held back at most so long
    silent_ms: float = 4500.0  # and counted from so long before it was held dead
    presence_ms: float = 2000.0  # while anybody is silent: calls that show us to the others at the counter
    epoch_ms: float = 4000.0  # presence names are by epoch, so that they end by themselves
    reads: int = 8  # silent seats looked for at the counter at a time
    most_rows: int = 20_000


class Shared:
    """`part` is our part in the fleet, on its own clock (`steady`); everything else here is in Unix ms."""

    def __init__(self, part: LocalMember, bounds: Bounds) -> None:
        self.part, self.bounds = part, bounds
        me = part.membership.local
        self.seat = me.slot
        self.counts = Counts(me.name, me.started_at, bounds.most_rows)
        self.silent: dict[int, float] = {}  # seats, and since when
        self.present: dict[int, float] = {}  # silent seats that showed at the counter, and until when
        self.taken: dict[tuple[int, int], bool] = {}  # customers' windows whose inheritance rides on an add
        self.rescued = False
        self.told_at = self.called_at = float("-inf")
        self.accused_at, self.refutations = float("-inf"), 0
        self.reading = 0

    # What the decisions ask (interface.Shared).

    def record_uncounted(self, customer: int, window: int, quota: SharedQuota, units: float) -> None:
        self.counts.record_uncounted(customer, window, quota.window_ms, units)

    def reconcile(self, customer: int, window: int, units: float) -> None:
        if self.taken.pop((customer, window), None):
            units = self.counts.pay_inherited(customer, window, units)
        self.counts.reconcile(customer, window, units)

    def carry_over(self, customer: int, window: int) -> float:
        """What a file says we let in before a restart: it rides on the next add, once. A process that ends
        between that add and the next snapshot adds it again; counting twice refuses some until the window is
        over, and lets nothing more in."""
        if not self.rescued or (customer, window) in self.taken:
            return 0.0
        units = self.counts.inherited(customer, window)
        if units:
            self.taken[(customer, window)] = True
        return units

    def rescue(self, rows: list[Row], now: float) -> int:
        """Rows of a snapshot; how many are still of use."""
        before = self.counts.held
        for row in rows:
            if row.born != self.counts.born:
                self.counts.merge(row, now)
        self.rescued = self.rescued or self.counts.held > before
        return self.counts.held - before

    def uncounted_elsewhere(self, customer: int, window: int, quota: SharedQuota, now: float) -> float:
        """Units of this window that others of the set let in, or may have, beyond the counter's total."""
        units = self.counts.outstanding(customer, window)
        if self.silent:
            for n in range(min(quota.subset_size, self.part.slots.gateways)):
                seat = (quota.subset_start + n) % self.part.slots.gateways
                since = self.silent.get(seat)
                if since is not None and now > self.present.get(seat, 0.0):
                    units += reserve(quota, window, since, now)
        return units

    def counter_call_finished(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        """A presence call of ours came back: a total above nothing says that the seat was there."""
        if call.customer is NOBODY and outcome is Outcome.DONE and total > 0 and call.window != self.seat:
            self.present[call.window] = call.sent_at + 2 * self.bounds.epoch_ms

    # What the carrier gives and takes.

    def heard(self, rows: tuple[Row, ...], now: float) -> None:
        for row in rows:
            if (row.teller, row.born) != (self.counts.teller, self.counts.born):
                self.counts.merge(row, now)

    def tick(self, now: float, steady: float) -> tuple[list[tuple[str, tuple[Row, ...]]], list[CounterCall]]:
        """Rows for others, by address, and calls for the counter, that are due now."""
        self.look(now, steady)
        self.counts.sweep(now)
        sends, membership = [], self.part.membership
        others = membership.live_others()
        if self.counts.to_tell and others and now - self.told_at >= self.bounds.tell_ms:
            self.told_at = now
            for address in membership.gossip_addresses():
                rows = self.counts.take(ROWS_A_DATAGRAM, len(others) + 1)
                if rows:
                    sends.append((address, tuple(rows)))
        return sends, self.calls(now)

    def look(self, now: float, steady: float) -> None:
        """Who is silent now: seats that were held live by us, and are neither live, nor left by their own
        word, nor proved empty by our own fresh knock."""
        seats = self.part.slots
        silent = seats.silent(steady)
        for seat in [seat for seat in self.silent if seat not in silent]:
            del self.silent[seat]
            self.present.pop(seat, None)
        for seat, since in silent.items():
            began = now - (steady - since) - self.bounds.silent_ms
            if now - began <= self.bounds.reserve_ms:
                self.silent.setdefault(seat, began)
            else:
                self.silent.pop(seat, None)

    def calls(self, now: float) -> list[CounterCall]:
        """Presence at the counter. Guards against a cut between gateways that all still reach the counter:
        each side would hold back the other's shares although the totals hold all it lets in. We show
        ourselves while anybody is silent to us, and while others hold us for silent, which we hear as what we
        have to contradict. Costs two calls and more each two seconds, only then."""
        bounds = self.bounds
        refutations = self.part.membership.counts["refutations"]
        if refutations != self.refutations:
            self.refutations, self.accused_at = refutations, now
        doubt = bool(self.silent) or now - self.accused_at < 15 * bounds.presence_ms
        if not doubt or now - self.called_at < bounds.presence_ms:
            return []
        self.called_at = now
        epoch = int(now // bounds.epoch_ms)
        calls = [self.presence(self.seat, epoch, 1.0, now)]
        seats = sorted(self.silent)
        for _ in range(min(bounds.reads, len(seats))):
            seat = seats[self.reading % len(seats)]
            self.reading += 1
            calls += [self.presence(seat, epoch - back, 0.0, now) for back in (0, 1)]
        return calls

    def presence(self, seat: int, epoch: int, amount: float, now: float) -> CounterCall:
        """The name is made of seat and epoch, apart from those of customers' windows; a call's `window` is
        used for the seat."""
        name = (seat * 0x9E3779B97F4A7C15 + epoch * 0xD6E8FEB86659FD93 + 0x5E47) % 2**63
        return CounterCall(NOBODY, name, seat, amount, 3 * self.bounds.epoch_ms, now)

    def shown(self, now: float) -> dict[str, Any]:
        return {
            "rows": self.counts.held,
            "to_tell": len(self.counts.to_tell),
            "silent_seats": {str(seat): round(now - since) for seat, since in sorted(self.silent.items())},
            "present_at_counter": sorted(seat for seat, until in self.present.items() if now <= until),
            "counts": dict(self.counts.counts),
        }


def reserve(quota: SharedQuota, window: int, since: float, now: float) -> float:
    """What a silent gateway of the set may have let in of this window: its even share of the rate since it
    was last heard, and of the burst where it fell silent within the window."""
    starts = window * quota.window_ms
    within = max(0.0, min(now, starts + quota.window_ms) - max(since, starts))
    burst = quota.plan.burst if starts <= since < starts + quota.window_ms else 0.0
    return (quota.plan.rate * within + burst) / quota.subset_size
