"""One gateway's part in the fleet, without I/O: the view, the seats it speaks for, and what both want done.

The carrier on sockets and the simulator drive this one object in the same way: an input with the time, then
`taken` gives what is to be sent, knocked at and logged, and `due` says when to call again.
"""

from __future__ import annotations

from random import Random

from granitedock.membership.machine import Change, View
from granitedock.membership.member import Member
from granitedock.membership.pace import Pace
from granitedock.membership.seats import Seats
from granitedock.membership.wire import Message


class Part:
    """`gateways` is how many the settings count, `seeds` are addresses. Times are ms of one steady clock."""

    def __init__(
        self,
        me: Member,
        pace: Pace,
        seeds: tuple[str, ...],
        gateways: int,
        now: float,
        chance: Random,
        cluster: str,
    ) -> None:
        self.pace = pace
        self.view = View(me, pace, seeds, now, chance, cluster)
        self.seats = Seats(pace, gateways, me.settings)
        self.slept = 0

    def tick(self, now: float) -> None:
        self.view.tick(now)

    def heard(self, now: float, message: Message) -> None:
        self.view.heard(now, message)

    def refused(self, now: float, address: str) -> None:
        """A knock there was refused."""
        self.seats.refused(now, address)
        self.view.refused(now, address)

    def leave(self, now: float) -> None:
        self.view.leave(now)

    def taken(self, now: float) -> tuple[list[tuple[str, Message]], list[str], list[Change]]:
        """What came of the inputs since the last call: (sends, addresses to knock at, changes)."""
        view, seats = self.view, self.seats
        if view.counts["slept"] != self.slept:
            self.slept = view.counts["slept"]
            seats.slept(now)
        for change in view.changes:
            seats.changed(now, change)
        taken = view.sends, list(dict.fromkeys((*view.knocks, *seats.knocks(now)))), view.changes
        view.sends, view.knocks, view.changes = [], [], []
        return taken

    def due(self, now: float) -> float:
        due = self.view.due()
        return min(due, now + self.pace.lease_ms / 4) if self.seats.empty else due

    def active_members(self, now: float, first: int, spread: int) -> int:
        """See interface.Peers. Guards against a process that was paused and serves before its view has seen
        the gap: where our own wake is overdue, nothing is taken over."""
        if now - self.view.expected > self.pace.gap_ms:
            return spread
        return self.seats.active_members(now, first, spread)
