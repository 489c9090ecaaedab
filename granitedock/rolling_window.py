"""Sums over a sliding span of time, kept in a ring of buckets of equal length."""

from __future__ import annotations


class RollingWindow:
    """Pairs of sums over the last `span_ms`, which expire one bucket at a time. All times are in ms."""

    __slots__ = ("bucket_ms", "bucket_numbers", "bucket_sums", "newest", "first_sum", "second_sum")

    def __init__(self, span_ms: float, buckets: int = 8) -> None:
        self.bucket_ms = span_ms / buckets
        self.bucket_numbers = [-1] * buckets
        self.bucket_sums = [(0.0, 0.0)] * buckets
        self.newest = -1  # Number of the newest bucket; both sums are up to date as of this bucket.
        self.first_sum = 0.0
        self.second_sum = 0.0

    def add(self, now: float, first: float, second: float) -> None:
        """Add a pair of values to the bucket of the time `now`."""
        number = int(now // self.bucket_ms)
        if number != self.newest:
            self.advance_to(number)
        index = number % len(self.bucket_sums)
        previous = self.bucket_sums[index] if self.bucket_numbers[index] == number else (0.0, 0.0)
        self.bucket_numbers[index] = number
        self.bucket_sums[index] = (previous[0] + first, previous[1] + second)
        self.first_sum += first
        self.second_sum += second

    def advance_to(self, number: int) -> None:
        """Make the bucket of this number the newest, and recompute both sums without expired buckets."""
        newest_expired = number - len(self.bucket_sums)
        unexpired = [
            sums
            for bucket_number, sums in zip(self.bucket_numbers, self.bucket_sums)
            if bucket_number > newest_expired
        ]
        self.newest = number
        self.first_sum = sum(sums[0] for sums in unexpired)
        self.second_sum = sum(sums[1] for sums in unexpired)

    def sums(self, now: float) -> tuple[float, float]:
        """Return both sums as of the time `now`."""
        number = int(now // self.bucket_ms)
        if number != self.newest:
            self.advance_to(number)
        return self.first_sum, self.second_sum

    def mean(self, now: float, prior_weight: float, prior_mean: float) -> float:
        """Return the first sum over the second, smoothed by `prior_mean`, which counts as `prior_weight`."""
        number = int(now // self.bucket_ms)
        if number != self.newest:
            self.advance_to(number)
        return (self.first_sum + prior_mean * prior_weight) / (self.second_sum + prior_weight)
