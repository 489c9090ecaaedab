"""Statistics of this gateway's recent attempts at one host."""

from __future__ import annotations

from dataclasses import dataclass

from granitedock.outlier_detection.observations import NEVER, HostObservation
from granitedock.policy.types import EndpointStatus, Outcome

ANSWERED_OUTCOMES = (Outcome.DONE, Outcome.OVERLOADED)
UNANSWERED_OUTCOMES = (Outcome.TIMEOUT, Outcome.CANCELLED)
LATENCY_SMOOTHING_DIVISOR = 5.0  # The newest answer time has a weight of one fifth.
MAX_OVERLOADS = 1000  # The largest value that an observation carries.
MAX_LATENCY_PERCENT = 10_000


@dataclass(slots=True)
class AttemptStatistics:
    """Statistics of one host; times are ms of the detector's clock, but `host_started_at` is in Unix ms.

    `failed_at` and `answered_at` are -1 if there was no failure or no answer.
    """

    host_started_at: float = 0.0
    failures: int = 0  # Consecutive failures.
    timeouts: int = 0  # The timed-out and cancelled attempts among the failures.
    overloads: int = 0
    failed_at: float = -1.0
    answered_at: float = -1.0
    latency_ratio: float = 0.0  # Moving average of answer time / latency objective.
    in_flight: int = 0
    published_at: float = float("-inf")
    status: EndpointStatus = EndpointStatus.READY

    def attempt_finished(
        self, outcome: Outcome, duration_ms: float, latency_objective_ms: float, now: float
    ) -> None:
        """Count a finished attempt that was sent to the host."""
        if outcome in ANSWERED_OUTCOMES:
            self.failures = 0
            self.timeouts = 0
            self.answered_at = now
            if outcome is Outcome.OVERLOADED:
                self.overloads += 1
            else:
                self.latency_ratio += (
                    duration_ms / latency_objective_ms - self.latency_ratio
                ) / LATENCY_SMOOTHING_DIVISOR
        else:
            self.failures += 1
            self.timeouts += outcome in UNANSWERED_OUTCOMES
            self.failed_at = now

    def answered_within(self, ttl_ms: float, now: float) -> bool:
        """Return whether the host answered this gateway within the last `ttl_ms`."""
        return self.answered_at >= 0 and now - self.answered_at <= ttl_ms

    def failing_within(self, ttl_ms: float, now: float) -> bool:
        """Return whether the latest attempts failed, the newest of them within the last `ttl_ms`."""
        return self.failures > 0 and now - self.failed_at <= ttl_ms

    def observation(
        self, gateway: str, started_at: int, sequence: int, host: str, now: float
    ) -> HostObservation:
        """Return the statistics as an observation by `gateway`, whose process started at `started_at`."""
        failure_age_ms = int(now - self.failed_at) if self.failed_at >= 0 else NEVER
        answer_age_ms = int(now - self.answered_at) if self.answered_at >= 0 else NEVER
        overloads = min(self.overloads, MAX_OVERLOADS)
        latency_percent = min(int(100 * self.latency_ratio), MAX_LATENCY_PERCENT)
        draining = self.status is not EndpointStatus.READY
        # Positional, because keyword arguments cost half a microsecond at the end of each attempt.
        return HostObservation(
            gateway,
            started_at,
            sequence,
            host,
            int(self.host_started_at),
            self.failures,
            failure_age_ms,
            answer_age_ms,
            self.timeouts,
            overloads,
            latency_percent,
            self.in_flight,
            draining,
        )
