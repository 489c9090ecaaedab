"""A token bucket in local time: the even share of a quota, or of a hard ceiling, at one gateway."""

from __future__ import annotations


class TokenBucket:
    """Units that refill at `rate` (units a ms) up to `depth`. Times in ms."""

    __slots__ = ("rate", "depth", "level", "updated_at")

    def __init__(self, rate: float, depth: float, level: float, now: float) -> None:
        self.rate = rate
        self.depth = depth
        self.level = level
        self.updated_at = now

    def available(self, now: float) -> float:
        """Refill up to now; the units it holds, below 0 where some are owed."""
        self.level = min(self.depth, self.level + self.rate * (now - self.updated_at))
        self.updated_at = now
        return self.level

    def take(self, units: float, now: float) -> bool:
        """Take the units if it holds them. More than the depth is taken from whatever it holds, and owed."""
        granted = self.available(now) >= units or (units > self.depth and self.level > 0)
        self.level -= units * granted
        return granted

    def resize(self, rate: float, depth: float, now: float) -> None:
        """Another rate and depth from now on; it keeps what it holds as far as that fits, no burst comes."""
        self.level = min(depth, self.available(now))
        self.rate = rate
        self.depth = depth
