"""The retry budget, which limits retries to a share of the first attempts."""

from __future__ import annotations

from granitedock.policy.retry_rules import NEVER_RAN
from granitedock.policy.types import Request
from granitedock.rolling_window import RollingWindow

RETRY_RATIO = 0.15  # Retries per first attempt.
MIN_RETRIES = 3.0  # Retries within the span beyond the ratio, however few first attempts there are.
SPAN_MS = 5000.0


class RetryBudget:
    """Prevents a retry storm while the fleet of hosts is slow as a whole."""

    def __init__(self) -> None:
        self.attempts = RollingWindow(SPAN_MS)  # First attempts, and retries.

    def attempt_started(self, request: Request, now: float) -> None:
        """Count the latest attempt of the request as a first attempt or as a retry.

        An attempt after earlier ones of which none ran counts as neither.
        """
        never_ran = [earlier.outcome in NEVER_RAN for earlier in request.attempts[:-1]]
        self.attempts.add(now, float(not never_ran), float(not all(never_ran)))

    def allows_retry(self, now: float) -> bool:
        """Return whether the budget has room for one more retry."""
        first_attempts, retries = self.attempts.sums(now)
        return retries < RETRY_RATIO * first_attempts + MIN_RETRIES

    def attempts_per_ms(self, now: float) -> float:
        """Return the rate of all counted attempts over the span."""
        return sum(self.attempts.sums(now)) / SPAN_MS
