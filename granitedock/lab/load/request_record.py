"""The record that the load generator keeps of one request."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from granitedock.lab.load.observations import RequestOutcome

NO_GATEWAY = -1


@dataclass(slots=True)
class RequestRecord:
    """One request as its client observed it.

    `sent_at_s` counts from the start of the load, `deadline_ms` and `latency_ms` from the sending. `gateway`
    is the gateway that the request was sent to, or NO_GATEWAY if none was up. `request_id` is unique within
    the load. `gateway_ended` is set if no gateway was up, or if the connection ended and the gateway could
    not be reached to send the request again, or was being killed then, so that no answer is required.
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
    """Return the served units of the customer's requests that were sent from `from_s` to before `to_s`."""
    return sum(
        record.units
        for record in records
        if record.customer == customer
        and record.outcome == RequestOutcome.DONE
        and from_s <= record.sent_at_s < to_s
    )
