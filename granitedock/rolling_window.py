"""A measure over time: sums over the last span, in fixed buckets of time used again in a ring."""

from __future__ import annotations


class RollingWindow:
    """Pairs of sums over the last span."""

    def __init__(self, span_ms: float, buckets: int = 8) -> None:
        self.step = span_ms / buckets
        self.stamps = [-1] * buckets
        self.cells = [(0.0, 0.0)] * buckets
        self.newest, self.first, self.second = -1, 0, 0  # the sums as of the newest bucket

    def add(self, now: float, first: float, second: float) -> None:
        stamp = int(now // self.step)
        if stamp != self.newest:
            self.turn(stamp)
        at = stamp % len(self.cells)
        old = self.cells[at] if self.stamps[at] == stamp else (0.0, 0.0)
        self.stamps[at] = stamp
        self.cells[at] = (old[0] + first, old[1] + second)
        self.first += first
        self.second += second

    def turn(self, stamp: int) -> None:
        """A new bucket is reached: what is too old drops out, and the sums are made anew."""
        oldest = stamp - len(self.cells)
        live = [cell for at, cell in zip(self.stamps, self.cells) if at > oldest]
        self.newest, self.first, self.second = stamp, sum(c[0] for c in live), sum(c[1] for c in live)

    def sums(self, now: float) -> tuple[float, float]:
        stamp = int(now // self.step)
        if stamp != self.newest:
            self.turn(stamp)
        return self.first, self.second

    def mean(self, now: float, weight: float, guess: float) -> float:
        """First by second, begun with a guess that counts as so many."""
        stamp = int(now // self.step)
        if stamp != self.newest:
            self.turn(stamp)
        return (self.first + guess * weight) / (self.second + weight)
