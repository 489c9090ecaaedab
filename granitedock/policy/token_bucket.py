"""A token bucket in local time: the even share of a quota, or of a hard ceiling, at one gateway."""

from __future__ import annotations


class TokenBucket:
    """Holds units that refill at `rate` (units per ms) up to `depth`.

    Times are in ms. The bucket does not refill the room of units that were taken and have not arrived yet
    (`in_delivery`): they and a second burst could arrive together.
    """

    __slots__ = ("rate", "depth", "level", "updated_at", "in_delivery")

    def __init__(self, rate: float, depth: float, level: float, now: float) -> None:
        self.rate = rate
        self.depth = depth
        self.level = level
        self.updated_at = now
        self.in_delivery = 0.0

    def available(self, now: float) -> float:
        """Refill the bucket up to `now` and return its level, which is below 0 while in debt."""
        self.level = min(self.depth - self.in_delivery, self.level + self.rate * (now - self.updated_at))
        self.updated_at = now
        return self.level

    def take(self, units: float, now: float) -> bool:
        """Take the units if the bucket holds them, and return whether it did.

        More units than the depth are granted at any positive level, and the bucket goes into debt.
        """
        granted = self.available(now) >= units or (units > self.depth and self.level > 0)
        self.level -= units * granted
        return granted

    def delivery_started(self, units: float) -> None:
        """Keep the room of units that were just taken until `delivery_ended`."""
        self.in_delivery += units

    def delivery_ended(self, units: float, now: float) -> None:
        """Let the bucket refill the room of units that have arrived, or never will, from `now` on."""
        self.available(now)
        self.in_delivery = max(0.0, self.in_delivery - units)

    def resize(self, rate: float, depth: float, now: float) -> None:
        """Change the rate and the depth from `now` on.

        The bucket keeps its level as far as the new depth allows, so that a change gives no burst.
        """
        self.level = min(depth, self.available(now))
        self.rate = rate
        self.depth = depth
