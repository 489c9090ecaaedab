"""Lifeguard's local health awareness: a measure of how slow the local member itself is."""

from __future__ import annotations

MAX_SCORE = 8  # Probe intervals and timeouts increase by up to this many times their base value.


class Awareness:
    """A score from 0 (healthy) to `MAX_SCORE`, which stretches probe intervals and timeouts.

    With `enabled` false the score stays 0.
    """

    __slots__ = ("enabled", "score")

    def __init__(self, enabled: bool) -> None:
        self.enabled = enabled
        self.score = 0

    def degrade(self) -> None:
        """Raise the score after a sign that the local member itself is slow."""
        if self.enabled:
            self.score = min(MAX_SCORE, self.score + 1)

    def recover(self) -> None:
        """Lower the score after an ack that arrived in time."""
        if self.enabled:
            self.score = max(0, self.score - 1)

    def scaled(self, ms: float) -> float:
        """Return a time (ms) multiplied by the score plus 1."""
        return ms * (self.score + 1)
