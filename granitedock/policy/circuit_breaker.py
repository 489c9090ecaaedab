"""The circuit breaker around the counter, the budget of a call, and the share of requests that is counted.

The breaker opens after five failures in a row and is half-open for one trial after the quarantine. Apart from
its states, each late, rejected or unsent call cuts the share of requests that is counted, which relieves an
overloaded counter gradually.
"""

from __future__ import annotations

from collections.abc import Callable

from granitedock.policy.states import BreakerEvent, BreakerState
from granitedock.rolling_window import RollingWindow
from granitedock.state_table import advance

FAILURES_TO_OPEN = 5  # Consecutive failures that open the breaker.
# An open breaker lets no request be counted for this multiple of the shortest latency objective.
QUARANTINE_OBJECTIVE_MULTIPLE = 1.5
# Calls that can wait are made after this multiple of the shortest latency objective without a call that was
# late, rejected or unsent.
FAILURE_FREE_OBJECTIVE_MULTIPLE = 5.0
# A late, rejected or unsent call multiplies the share of requests that is counted by this.
COUNTED_SHARE_FACTOR = 0.8
COUNTED_SHARE_STEP = 0.03  # A success adds this to the share of requests that is counted.
MIN_COUNTED_SHARE = 0.1
MAX_CREDIT_CALLS = 2.0  # Calls that may be made at once after requests that made none.
CALL_BUDGET_MS = 20.0  # The design's budget of a call to the counter.
CALL_BUDGET_MEAN_MULTIPLE = 3.0  # Budget as a multiple of the mean call time, if that is longer.
CALL_TIMES_SPAN_MS = 10000.0


BREAKER = {
    (BreakerState.CLOSED, BreakerEvent.FAILED): (BreakerState.CLOSED, "count_failure"),
    (BreakerState.CLOSED, BreakerEvent.TRIPPED): (BreakerState.OPEN, "start_quarantine"),
    (BreakerState.CLOSED, BreakerEvent.SUCCEEDED): (BreakerState.CLOSED, "reset"),
    (BreakerState.OPEN, BreakerEvent.QUARANTINE_OVER): (BreakerState.HALF_OPEN, None),
    (BreakerState.HALF_OPEN, BreakerEvent.FAILED): (BreakerState.OPEN, "start_quarantine"),
    (BreakerState.HALF_OPEN, BreakerEvent.SUCCEEDED): (BreakerState.CLOSED, "reset"),
}


class CircuitBreaker:
    """Implements the design's breaker, which only a genuine success in time resets.

    The gateway sets `now` (ms).
    """

    def __init__(self, latency_objective_ms: float, log_decision: Callable[[str], None]) -> None:
        self.state = BreakerState.CLOSED
        self.failures = 0  # Consecutive failures.
        self.quarantine_until = 0.0
        self.now = 0.0
        self.log = log_decision
        self.failed_at = float("-inf")  # When the counted share was last reduced.
        self.counted_share = 1.0
        self.call_credit = 1.0
        self.quarantine_ms = QUARANTINE_OBJECTIVE_MULTIPLE * latency_objective_ms
        self.failure_free_ms = FAILURE_FREE_OBJECTIVE_MULTIPLE * latency_objective_ms
        self.call_times = RollingWindow(CALL_TIMES_SPAN_MS)

    def record(self, event: BreakerEvent) -> None:
        """Apply an event and log a change of state."""
        old_state = self.state
        advance(BREAKER, self, event, self)
        if self.state is not old_state:
            self.log(f"breaker {old_state.value} to {self.state.value}: {self.failures} failures in a row")

    def allows_call(self) -> bool:
        """Return whether this request may be counted.

        Prevents more calls than the counter can answer.
        """
        self.call_credit = min(MAX_CREDIT_CALLS, self.call_credit + self.counted_share)
        if self.state is BreakerState.OPEN and self.now >= self.quarantine_until:
            self.record(BreakerEvent.QUARANTINE_OVER)
            return True
        allowed = self.state is BreakerState.CLOSED and self.call_credit >= 1.0
        self.call_credit -= allowed
        return allowed

    def has_spare_capacity(self) -> bool:
        """Return whether the counter has room for calls that can wait.

        The counter has room if all requests are counted and the counted share was not reduced for
        `failure_free_ms`.
        """
        return self.counted_share >= 1.0 and self.now - self.failed_at > self.failure_free_ms

    def call_budget_ms(self, max_ms: float) -> float:
        """Return how long to wait for a call, in ms.

        `max_ms` limits the wait only above `CALL_BUDGET_MS`. Prevents timeouts of a counter that is only
        slower than assumed; the cost is the requests that the wait makes late.
        """
        mean = self.call_times.mean(self.now, 1.0, 0.0)
        return max(CALL_BUDGET_MS, min(max_ms, CALL_BUDGET_MEAN_MULTIPLE * mean))

    def reduce_counted_share(self) -> None:
        """Reduce the share of requests that is counted.

        A call that is late, rejected or could not be sent indicates an overloaded counter; a connection that
        breaks during a call does not.
        """
        self.failed_at = self.now
        self.counted_share = max(MIN_COUNTED_SHARE, COUNTED_SHARE_FACTOR * self.counted_share)

    # Effects of the table.

    def count_failure(self, _: CircuitBreaker) -> BreakerEvent | None:
        """Count a consecutive failure, and trip the breaker at `FAILURES_TO_OPEN`."""
        self.failures += 1
        return BreakerEvent.TRIPPED if self.failures >= FAILURES_TO_OPEN else None

    def start_quarantine(self, _: CircuitBreaker) -> None:
        """Start the quarantine: no request is counted until it ends, then one trial."""
        self.quarantine_until = self.now + self.quarantine_ms

    def reset(self, _: CircuitBreaker) -> None:
        """Clear the failures after a success in time, and raise the share of requests that is counted."""
        self.failures = 0
        self.counted_share = min(1.0, self.counted_share + COUNTED_SHARE_STEP)
