"""The circuit breaker around the counter, how long a call is waited for, and which share of requests calls.

Closed, open after five failures in a row, half-open for one trial after the quarantine. Beside the states, a
crowded counter is relieved gradually: each failure cuts the share of requests that is counted.
"""

from __future__ import annotations

from collections.abc import Callable

from granitedock.policy.states import BreakerEvent, BreakerState
from granitedock.rolling_window import RollingWindow
from granitedock.state_table import advance

FAILURES_TO_OPEN = 5  # in a row
QUARANTINE_OBJECTIVES = 1.5  # shortest latency objectives in which an open breaker makes no call
CALM_OBJECTIVES = 5.0  # the same without a failed call, before there is room for calls that can wait
COUNTED_SHARE_FACTOR = 0.8  # of the share of requests that is counted, after a failure
COUNTED_SHARE_STEP = 0.03  # added to it after a success
MIN_COUNTED_SHARE = 0.1
MAX_CALL_CREDIT = 2.0  # calls that may be made at once after requests that made none
CALL_BUDGET_MS = 20.0  # the design's budget of a call to the counter
CALL_BUDGET_MEANS = 3.0  # mean call times, where that is more
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
    """The design's breaker; only a genuine success in time resets it. `now` is set by the gateway (ms)."""

    def __init__(self, latency_objective_ms: float, log_decision: Callable[[str], None]) -> None:
        self.state = BreakerState.CLOSED
        self.failures = 0  # in a row
        self.quarantine_until = 0.0
        self.now = 0.0
        self.log = log_decision
        self.failed_at = float("-inf")
        self.counted_share = 1.0
        self.call_credit = 1.0
        self.quarantine_ms = QUARANTINE_OBJECTIVES * latency_objective_ms
        self.calm_ms = CALM_OBJECTIVES * latency_objective_ms
        self.call_times = RollingWindow(CALL_TIMES_SPAN_MS)

    def record(self, event: BreakerEvent) -> None:
        """Apply an event, and log a change of state."""
        before = self.state
        advance(BREAKER, self, event, self)
        if self.state is not before:
            self.log(f"breaker {before.value} to {self.state.value}: {self.failures} failures in a row")

    def allows_call(self) -> bool:
        """Whether this request may be counted. Guards against more calls than the counter can answer."""
        self.call_credit = min(MAX_CALL_CREDIT, self.call_credit + self.counted_share)
        if self.state is BreakerState.OPEN and self.now >= self.quarantine_until:
            self.record(BreakerEvent.QUARANTINE_OVER)
            return True
        allowed = self.state is BreakerState.CLOSED and self.call_credit >= 1.0
        self.call_credit -= allowed
        return allowed

    def is_calm(self) -> bool:
        """All requests are counted and no call failed for a while: there is room for calls that can wait."""
        return self.counted_share >= 1.0 and self.now - self.failed_at > self.calm_ms

    def call_budget_ms(self, most: float) -> float:
        """How long a call is waited for. Guards against a counter only slower than assumed. Hurts where the
        wait makes requests late."""
        mean = self.call_times.mean(self.now, 1.0, 0.0)
        return max(CALL_BUDGET_MS, min(most, CALL_BUDGET_MEANS * mean))

    def reduce_calls(self) -> None:
        """A late or refused call says that the counter is crowded; a connection that breaks does not."""
        self.failed_at = self.now
        self.counted_share = max(MIN_COUNTED_SHARE, COUNTED_SHARE_FACTOR * self.counted_share)

    # Effects of the table.

    def count_failure(self, _: CircuitBreaker) -> BreakerEvent | None:
        """One more failure in a row, which may trip it."""
        self.failures += 1
        return BreakerEvent.TRIPPED if self.failures >= FAILURES_TO_OPEN else None

    def start_quarantine(self, _: CircuitBreaker) -> None:
        """No call for a while, then one trial."""
        self.quarantine_until = self.now + self.quarantine_ms

    def reset(self, _: CircuitBreaker) -> None:
        """A success in time."""
        self.failures = 0
        self.counted_share = min(1.0, self.counted_share + COUNTED_SHARE_STEP)
