"""What this gateway's own attempts at one host came to of late."""

from __future__ import annotations

from dataclasses import dataclass

from granitedock.outlier_detection.observations import NEVER, HostObservation
from granitedock.policy.types import EndpointStatus, Outcome

ANSWERED_OUTCOMES = (Outcome.DONE, Outcome.OVERLOADED)
UNANSWERED_OUTCOMES = (Outcome.TIMEOUT, Outcome.CANCELLED)
LATENCY_SMOOTHING = 5.0  # the newest answer time counts for a fifth
MAX_OVERLOADS = 1000  # the most that an observation says
MAX_LATENCY_PERCENT = 10_000


@dataclass(slots=True)
class AttemptStatistics:
    """Times are ms of the detector's clock, -1 where it did not happen."""

    host_started_at: float = 0.0
    failures: int = 0  # consecutive
    timeouts: int = 0  # of the failures
    overloads: int = 0
    failed_at: float = -1.0
    answered_at: float = -1.0
    latency_ratio: float = 0.0  # moving average of the answer times, as parts of the latency objective
    in_flight: int = 0
    published_at: float = float("-inf")
    status: EndpointStatus = EndpointStatus.READY

    def attempt_finished(
        self, outcome: Outcome, took_ms: float, latency_objective_ms: float, now: float
    ) -> None:
        """Count an attempt that says something of the host."""
        if outcome in ANSWERED_OUTCOMES:
            self.failures = 0
            self.timeouts = 0
            self.answered_at = now
            if outcome is Outcome.OVERLOADED:
                self.overloads += 1
            else:
                self.latency_ratio += (
                    took_ms / latency_objective_ms - self.latency_ratio
                ) / LATENCY_SMOOTHING
        else:
            self.failures += 1
            self.timeouts += outcome in UNANSWERED_OUTCOMES
            self.failed_at = now

    def answered_within(self, ttl_ms: float, now: float) -> bool:
        """Whether the host answered this gateway, no longer ago than `ttl_ms`."""
        return self.answered_at >= 0 and now - self.answered_at <= ttl_ms

    def failing_within(self, ttl_ms: float, now: float) -> bool:
        """Whether the last attempts failed, the last of them no longer ago than `ttl_ms`."""
        return self.failures > 0 and now - self.failed_at <= ttl_ms

    def observation(
        self, gateway: str, started_at: int, sequence: int, host: str, now: float
    ) -> HostObservation:
        """The statistics as an observation of `gateway`, whose process started at `started_at`."""
        failure_age_ms = int(now - self.failed_at) if self.failed_at >= 0 else NEVER
        answer_age_ms = int(now - self.answered_at) if self.answered_at >= 0 else NEVER
        overloads = min(self.overloads, MAX_OVERLOADS)
        latency_percent = min(int(100 * self.latency_ratio), MAX_LATENCY_PERCENT)
        draining = self.status is not EndpointStatus.READY
        # By place, as keywords cost half a microsecond at the end of each attempt.
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
