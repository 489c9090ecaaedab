"""The retry budget: further attempts stay under a part of the first ones."""

from __future__ import annotations

from granitedock.policy.retry_rules import NEVER_RAN
from granitedock.policy.types import Request
from granitedock.rolling_window import RollingWindow

RETRY_RATIO = 0.15  # of first attempts
MIN_RETRIES = 3.0  # in a span, however few first ones there are
SPAN_MS = 5000.0


class RetryBudget:
    """Guards against a retry storm on a fleet that is slow as a whole."""

    def __init__(self) -> None:
        self.attempts = RollingWindow(SPAN_MS)  # first attempts, and retries

    def attempt_started(self, request: Request, now: float) -> None:
        """Count the request's latest attempt; one after attempts that never ran is neither."""
        never_ran = [earlier.outcome in NEVER_RAN for earlier in request.attempts[:-1]]
        self.attempts.add(now, float(not never_ran), float(not all(never_ran)))

    def allows_retry(self, now: float) -> bool:
        """Whether one more retry fits."""
        first, retries = self.attempts.sums(now)
        return retries < RETRY_RATIO * first + MIN_RETRIES

    def attempts_per_ms(self, now: float) -> float:
        """All attempts that count, over the span."""
        return sum(self.attempts.sums(now)) / SPAN_MS
