"""A token bucket in local time: the even share of a quota, or of a hard ceiling, at one gateway."""

from __future__ import annotations


class TokenBucket:
    """Holds units that refill at `rate` (units per ms) up to `depth`.

    Times are in ms.
    """

    __slots__ = ("rate", "depth", "level", "updated_at")

    def __init__(self, rate: float, depth: float, level: float, now: float) -> None:
        self.rate = rate
        self.depth = depth
        self.level = level
        self.updated_at = now

    def available(self, now: float) -> float:
        """Refill the bucket up to `now` and return its level, which is below 0 while in debt."""
        self.level = min(self.depth, self.level + self.rate * (now - self.updated_at))
        self.updated_at = now
        return self.level

    def take(self, units: float, now: float) -> bool:
        """Take the units if the bucket holds them, and return whether it did.

        More units than the depth are granted at any positive level, and the bucket goes into debt.
        """
        granted = self.available(now) >= units or (units > self.depth and self.level > 0)
        self.level -= units * granted
        return granted

    def resize(self, rate: float, depth: float, now: float) -> None:
        """Change the rate and the depth from `now` on.

        The bucket keeps its level as far as the new depth allows, so that a change gives no burst.
        """
        self.level = min(depth, self.available(now))
        self.rate = rate
        self.depth = depth
