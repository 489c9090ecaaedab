"""The ids of requests that may have run and must not run again if they come again.

A client that leaves may send a request again under its old id, although the platform gives each request a new
one. While the first is in flight the id is rejected; afterwards this memory tells that it may have run. An
idempotent request may run again and is not remembered.
"""

from __future__ import annotations

from granitedock.policy.retry_rules import first_possible_execution
from granitedock.policy.types import Idempotency, Request

MEMORY_MS = 30000.0  # Longer than any deadline of a request and any idempotency window.
MAX_IDS = 8192


class ExecutedRequests:
    """The ids of the last requests that may have run, the oldest first; `MAX_IDS` at most."""

    def __init__(self) -> None:
        self.finished_at: dict[bytes, float] = {}  # By id, in ms.

    def record(self, request_id: bytes, request: Request, now: float) -> None:
        """Remember a request that ends now, with its answer or its client, if it must not run again."""
        if request.request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        if first_possible_execution(request) is None:
            return
        self.finished_at[request_id] = now
        oldest = next(iter(self.finished_at))
        if len(self.finished_at) > MAX_IDS or now - self.finished_at[oldest] > MEMORY_MS:
            del self.finished_at[oldest]

    def may_have_run(self, request_id: bytes, now: float) -> bool:
        """Return whether a request of this id may have run and must not run again."""
        finished_at = self.finished_at.get(request_id)
        return finished_at is not None and now - finished_at <= MEMORY_MS
