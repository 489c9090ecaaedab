"""What the load generator notes of one request."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from granitedock.lab.load.observations import RequestOutcome

NO_GATEWAY = -1


@dataclass(slots=True)
class RequestRecord:
    """One request, as its client saw it.

    `sent_at_s` counts from when the load began; `gateway` is the one it was sent to (NO_GATEWAY: none was
    up); `deadline_ms` and `latency_ms` count from then. `request_id` is its id in this load. `gateway_ended`:
    no gateway was there to send it to again after its connection had ended, so that nobody owes it an answer.
    """

    sent_at_s: float
    gateway: int
    customer: int
    units: float
    deadline_ms: float
    outcome: RequestOutcome = RequestOutcome.OPEN
    latency_ms: float = 0.0
    request_id: int = 0
    request_class: str = ""
    gateway_ended: bool = False


def served_units(records: Iterable[RequestRecord], customer: int, from_s: float, to_s: float) -> float:
    """The customer's units that were served, of the requests sent in this time."""
    return sum(
        record.units
        for record in records
        if record.customer == customer
        and record.outcome == RequestOutcome.DONE
        and from_s <= record.sent_at_s < to_s
    )
