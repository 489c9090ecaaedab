"""A measure over time: pairs of sums over the last span, in a ring of fixed buckets of time."""

from __future__ import annotations


class RollingWindow:
    """Pairs of sums over the last `span_ms`, which drop out a bucket at a time. Moments are ms."""

    __slots__ = ("bucket_ms", "bucket_numbers", "bucket_sums", "newest", "first", "second")

    def __init__(self, span_ms: float, buckets: int = 8) -> None:
        self.bucket_ms = span_ms / buckets
        self.bucket_numbers = [-1] * buckets
        self.bucket_sums = [(0.0, 0.0)] * buckets
        self.newest = -1  # number of the newest bucket, as of which the sums stand
        self.first = 0.0
        self.second = 0.0

    def add(self, now: float, first: float, second: float) -> None:
        """Add a pair at this moment."""
        number = int(now // self.bucket_ms)
        if number != self.newest:
            self.advance_to(number)
        at = number % len(self.bucket_sums)
        old = self.bucket_sums[at] if self.bucket_numbers[at] == number else (0.0, 0.0)
        self.bucket_numbers[at] = number
        self.bucket_sums[at] = (old[0] + first, old[1] + second)
        self.first += first
        self.second += second

    def advance_to(self, number: int) -> None:
        """A new bucket is reached: what is too old drops out, and the sums are made anew."""
        oldest = number - len(self.bucket_sums)
        live = [sums for at, sums in zip(self.bucket_numbers, self.bucket_sums) if at > oldest]
        self.newest = number
        self.first = sum(sums[0] for sums in live)
        self.second = sum(sums[1] for sums in live)

    def sums(self, now: float) -> tuple[float, float]:
        """Both sums as of now."""
        number = int(now // self.bucket_ms)
        if number != self.newest:
            self.advance_to(number)
        return self.first, self.second

    def mean(self, now: float, weight: float, guess: float) -> float:
        """First sum by second, begun with a guess that counts as `weight`."""
        number = int(now // self.bucket_ms)
        if number != self.newest:
            self.advance_to(number)
        return (self.first + guess * weight) / (self.second + weight)
