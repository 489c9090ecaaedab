"""Evidence on hosts: one row for each host and teller, small figures with their age; the newest wins.

A row says what one gateway's own forwards to one host came to of late, and whether its own list has the
host draining or gone. Rows are ordered by the teller's incarnation and number, so that any order, any
loss and any doubling of what is told ends in the same state. Ages travel instead of times, so that no two
clocks need agree.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, replace

from granitedock.membership.broadcast_queue import transmit_limit


@dataclass(frozen=True, slots=True)
class Row:
    """What gateway `teller` (whose process began at `born`) says of `host` (whose process began at `started`,
    Unix ms as discovery tells it), under its number `number`. Times are ages in ms; -1: never."""

    teller: str
    born: int
    number: int
    host: str
    started: int
    failures: int  # in a row
    failed_ms: int  # since the last one
    answered_ms: int  # since the last answer
    timeouts: int = 0  # of the failures
    full: int = 0  # refusals for want of room, of late
    pace_pct: int = 0  # answer times of late, of the quoted time
    out: int = 0
    drains: bool = False  # its own list says so, or that the host is gone

    def rank(self) -> tuple[int, int]:
        return (self.born, self.number)

    def key(self) -> tuple[str, str]:
        return (self.teller, self.host)

    def older(self, ms: float) -> Row:
        """The same, so much later."""
        past = int(ms)
        failed = self.failed_ms + past if self.failed_ms >= 0 else -1
        answered = self.answered_ms + past if self.answered_ms >= 0 else -1
        return replace(self, failed_ms=failed, answered_ms=answered)

    def against(self) -> bool:
        """Whether it speaks against the host: failures, and no answer since."""
        return self.failures > 0 and (self.answered_ms < 0 or self.answered_ms > self.failed_ms)


@dataclass(slots=True)
class Held:
    """A row with when it came here (ms of the holder's clock)."""

    row: Row
    at: float

    def now(self, now: float) -> Row:
        return self.row.older(now - self.at)


class Evidence:
    """All rows this gateway holds, its own too, and which of them are still to be told. `most` bounds them; a
    row told about a host beyond that is dropped and counted. Rows are forgotten `keep_ms` after they came."""

    def __init__(self, teller: str, born: int, most: int, keep_ms: float) -> None:
        self.teller, self.born, self.most, self.keep_ms = teller, born, most, keep_ms
        self.rows: dict[str, dict[str, Held]] = {}  # by host and teller
        self.held, self.made = 0, 0
        self.to_tell: dict[tuple[str, str], list] = {}  # [times told, order, host, teller]
        self.counts: Counter[str] = Counter()
        self.swept_at = float("-inf")

    def own(self, host: str) -> Held | None:
        return self.rows.get(host, {}).get(self.teller)

    def say(self, row: Row, now: float, tell: bool) -> None:
        """A row of our own."""
        self.keep(row, now, tell)

    def merge(self, row: Row, now: float) -> bool:
        """Take in what another told. Whether it was news."""
        if row.teller == self.teller:
            return False
        had = self.rows.get(row.host, {}).get(row.teller)
        if had is not None and row.rank() <= had.row.rank():
            return False
        return self.keep(row, now, True)

    def keep(self, row: Row, now: float, tell: bool) -> bool:
        tellers = self.rows.setdefault(row.host, {})
        if row.teller not in tellers:
            if self.held >= self.most:
                self.counts["evidence_not_held"] += 1
                if not tellers:
                    del self.rows[row.host]
                return False
            self.held += 1
        tellers[row.teller] = Held(row, now)
        if tell:
            self.made += 1
            self.to_tell[row.key()] = [0, self.made, row.host, row.teller]
        return True

    def take(self, most: int, members: int, now: float) -> list[Row]:
        """Rows to tell next, the least told first, as old as they are now."""
        limit, chosen = transmit_limit(members), []
        for item in heapq.nsmallest(most, self.to_tell.values(), key=lambda item: item[:2]):
            held = self.rows.get(item[2], {}).get(item[3])
            item[0] += 1
            if held is None or item[0] >= limit:
                self.to_tell.pop((item[3], item[2]), None)
            if held is not None:
                chosen.append(held.now(now))
        return chosen

    def sweep(self, now: float) -> None:
        """Once a second at most: what came long ago is forgotten, so that nobody is judged by it."""
        if now - self.swept_at < 1000.0:
            return
        self.swept_at = now
        for host, tellers in list(self.rows.items()):
            for teller, held in list(tellers.items()):
                if now - held.at > self.keep_ms:
                    del tellers[teller]
                    self.held -= 1
                    self.to_tell.pop((teller, host), None)
            if not tellers:
                del self.rows[host]
