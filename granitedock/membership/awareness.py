"""Lifeguard's local health awareness: how far this member distrusts its own responsiveness."""

from __future__ import annotations

MAX_SCORE = 8  # probe intervals and timeouts stretch up to this many times more


class Awareness:
    """A score from 0 (healthy) to `MAX_SCORE`, which multiplies probe intervals and timeouts.

    With `enabled` false the score stays 0.
    """

    __slots__ = ("enabled", "score")

    def __init__(self, enabled: bool) -> None:
        self.enabled = enabled
        self.score = 0

    def degrade(self) -> None:
        """Something that speaks against this member's own responsiveness."""
        if self.enabled:
            self.score = min(MAX_SCORE, self.score + 1)

    def recover(self) -> None:
        """An answer came in time."""
        if self.enabled:
            self.score = max(0, self.score - 1)

    def scaled(self, ms: float) -> float:
        """A time (ms) stretched by the score."""
        return ms * (self.score + 1)
