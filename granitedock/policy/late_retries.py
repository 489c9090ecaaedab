"""Detection of late retries by clients, recognized by the little time left until their deadline.

Prevents late retries from adding to the load of an overloaded counter.
"""

from __future__ import annotations

from granitedock.policy.types import Request, RequestClass

TIME_LEFT_STEP_MS = 50.0  # The width of the steps in which the time left is counted.


class LateRetryDetector:
    """Learns how much time until the deadline most requests of a class have when they reach this gateway."""

    def __init__(self) -> None:
        self.counts_by_steps_left: dict[RequestClass, dict[int, int]] = {}  # Requests by steps of time left.
        self.usual_steps_left: dict[RequestClass, int] = {}  # The most frequent number of steps.

    def is_late_retry(self, request: Request) -> bool:
        """Count the request, and return whether it is a late retry.

        A late retry has clearly less time left than most requests of its class: its client has waited past
        the latency objective, and an answer after the objective has no value.
        """
        request_class = request.request_class
        steps_left = int(
            min(request.deadline - request.received_at, request_class.deadline_ms) // TIME_LEFT_STEP_MS
        )
        counts = self.counts_by_steps_left.setdefault(request_class, {})
        counts[steps_left] = counts.get(steps_left, 0) + 1
        usual = max(steps_left, self.usual_steps_left.get(request_class, steps_left), key=counts.__getitem__)
        self.usual_steps_left[request_class] = usual
        waited_ms = (
            request_class.deadline_ms - steps_left * TIME_LEFT_STEP_MS if steps_left < usual - 1 else 0.0
        )
        return waited_ms > request_class.latency_objective_ms and not request_class.late_priority_weight
