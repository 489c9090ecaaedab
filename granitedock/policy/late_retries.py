"""Clients' own late retries, recognized by how little time is left. Guards a crowded counter against them."""

from __future__ import annotations

from granitedock.policy.types import Request, RequestClass

STEP_MS = 50.0  # in which the time left is counted


class LateRetryDetector:
    """How much time most requests of a class come with, as seen at this gateway."""

    def __init__(self) -> None:
        self.seen: dict[RequestClass, dict[int, int]] = {}  # how often, by steps of time left
        self.usual: dict[RequestClass, int] = {}  # the most frequent

    def is_late_retry(self, request: Request) -> bool:
        """Whether it comes with clearly less time than most, its client has so waited past the latency
        objective, and an answer after that earns nothing. Counts the request as seen."""
        request_class = request.request_class
        left = int(min(request.deadline - request.received_at, request_class.deadline_ms) // STEP_MS)
        seen = self.seen.setdefault(request_class, {})
        seen[left] = seen.get(left, 0) + 1
        usual = max(left, self.usual.get(request_class, left), key=seen.__getitem__)
        self.usual[request_class] = usual
        waited = request_class.deadline_ms - left * STEP_MS if left < usual - 1 else 0.0
        return waited > request_class.latency_objective_ms and not request_class.late_priority_weight
