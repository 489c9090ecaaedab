"""A customer's requests in a simulation: the offered load and the completed part."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from granitedock.policy.types import Plan


class CompletedRequest(NamedTuple):
    """A completed request; `sent_at` is when its client sent it, in ms of the simulated clock."""

    sent_at: float
    gateway: int
    units: float


@dataclass(slots=True)
class OfferedLoad:
    """One customer's requests: `rate` per second, distributed over its subset of the gateways."""

    customer: int
    plan: Plan
    rate: float
    subset_size: int
    subset_start: int = 0
    completed: list[CompletedRequest] = field(default_factory=list)
    rejected: int = 0  # failed requests included


def admitted(load: OfferedLoad, from_ms: float, to_ms: float) -> float:
    """Return the completed units of the requests sent from `from_ms` to before `to_ms`."""
    return sum(request.units for request in load.completed if from_ms <= request.sent_at < to_ms)


def peak_share(load: OfferedLoad, from_ms: float, to_ms: float, span_ms: float) -> float:
    """Return the highest usage in any span of `span_ms`, as a share of rate x span + burst.

    Usage is the number of completed requests that were sent within the span. Only requests sent from
    `from_ms` to before `to_ms` count.
    """
    times = sorted(request.sent_at for request in load.completed if from_ms <= request.sent_at < to_ms)
    first = 0
    peak = 0
    for last, sent_at in enumerate(times):
        while times[first] <= sent_at - span_ms:
            first += 1
        peak = max(peak, last - first + 1)
    return peak / (load.plan.rate * span_ms + load.plan.burst)
