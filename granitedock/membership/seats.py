"""By how many gateways of a customer's set its even share is divided, from the view and our own eyes.

A share is taken over from a gateway only while this gateway itself proves again and again that no process
listens at that gateway's address (the kernel there refuses a knock), and once that has stood for a stated
time. Silence proves nothing (the other may be behind a cut, serving its share), and neither does news: so
neither a cut nor what others say ever raises what this gateway sends. Without any such proof the answer is
the whole set, exactly as without a view. No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitedock.membership.machine import Change
from granitedock.membership.member import LIVE, OVER, State
from granitedock.membership.pace import Pace

KNOCKS = 8  # at once; with more seats empty than can be proved in a lease, the rest count as held
NEVER = float("-inf")


@dataclass(slots=True)
class Vacancy:
    """A seat whose gateway is known to have ended; times in ms."""

    address: str
    since: float
    knocked_at: float = NEVER
    proved_at: float = NEVER


class Seats:
    """The seats of the gateways, as this one knows them. `gateways` is how many the settings count."""

    def __init__(self, pace: Pace, gateways: int, settings: int) -> None:
        self.pace, self.gateways, self.settings = pace, max(1, gateways), settings
        self.holders: dict[int, set[str]] = {}  # the live ones of each seat
        self.strangers: set[str] = set()  # live members that were told other settings
        self.empty: dict[int, Vacancy] = {}
        self.quiet: dict[
            int, float
        ] = {}  # seats once held live, whose gateway ended without a word, and when
        self.proofs: dict[str, float] = {}  # when an address last refused us
        self.doubt_until = NEVER

    def changed(self, now: float, change: Change) -> None:
        member = change.member
        live = member.state in LIVE
        if live and member.settings != self.settings:
            # Guards against a change of the settings that is under way: seats may be counted otherwise there.
            self.strangers.add(member.name)
        else:
            self.strangers.discard(member.name)
        if not 0 <= member.seat < self.gateways:
            return
        holders = self.holders.setdefault(member.seat, set())
        if live:
            holders.add(member.name)
            self.empty.pop(member.seat, None)
            self.quiet.pop(member.seat, None)
            return
        held = member.name in holders
        holders.discard(member.name)
        if holders:
            return
        if member.state is State.LEFT:
            self.quiet.pop(member.seat, None)
        elif held:
            self.quiet[member.seat] = now
        if member.state in OVER and member.settings == self.settings:
            proved_at = self.proofs.get(member.address, NEVER)
            self.empty.setdefault(member.seat, Vacancy(member.address, now, proved_at=proved_at))

    def slept(self, now: float) -> None:
        """After a gap in our own clock, old proofs count for nothing until the view has settled anew."""
        self.doubt_until = now + self.pace.settle_ms

    def refused(self, now: float, address: str) -> None:
        if len(self.proofs) > 4 * self.gateways:  # guards the memory, as addresses come and go
            self.proofs.clear()
        self.proofs[address] = now
        for vacancy in self.empty.values():
            if vacancy.address == address:
                vacancy.proved_at = now

    def knocks(self, now: float) -> list[str]:
        """The addresses whose proof wants renewing now, the oldest first."""
        due = [
            vacancy for vacancy in self.empty.values() if now - vacancy.knocked_at >= self.pace.lease_ms / 4
        ]
        due.sort(key=lambda vacancy: vacancy.knocked_at)
        for vacancy in due[:KNOCKS]:
            vacancy.knocked_at = now
        return [vacancy.address for vacancy in due[:KNOCKS]]

    def vacant(self, now: float, seat: int) -> bool:
        vacancy = self.empty.get(seat)
        return (
            vacancy is not None
            and now >= vacancy.since + self.pace.settle_ms
            and now <= vacancy.proved_at + self.pace.lease_ms
        )

    def silent(self, now: float) -> dict[int, float]:
        """Seats whose gateway may be serving where we cannot hear it, and since when it was held dead: it did
        not say that it left, and no fresh knock of ours proves that nobody listens there."""
        empty = {
            seat for seat, vacancy in self.empty.items() if now <= vacancy.proved_at + self.pace.lease_ms
        }
        return {seat: since for seat, since in self.quiet.items() if seat not in empty}

    def active_members(self, now: float, first: int, spread: int) -> int:
        """Of the set of `spread` gateways from number `first` on, counted round: how many may be serving."""
        if not self.empty or self.strangers or now < self.doubt_until:
            return spread
        ended = sum(self.vacant(now, (first + n) % self.gateways) for n in range(min(spread, self.gateways)))
        return max(1, spread - ended)
