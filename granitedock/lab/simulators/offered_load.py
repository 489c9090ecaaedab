"""A customer's requests in a simulation: what is offered, and what was done of it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from granitedock.policy.types import Plan


class CompletedRequest(NamedTuple):
    """A request that was done: when the client sent it (ms of the simulated clock), at which gateway."""

    sent_at: float
    gateway: int
    units: float


@dataclass(slots=True)
class OfferedLoad:
    """One customer's requests: `rate` a second, over its subset of the gateways."""

    customer: int
    plan: Plan
    rate: float
    subset_size: int
    subset_start: int = 0
    completed: list[CompletedRequest] = field(default_factory=list)
    rejected: int = 0  # failed ones among them


def admitted(load: OfferedLoad, from_ms: float, to_ms: float) -> float:
    """Units done, of the requests that were sent in this time."""
    return sum(request.units for request in load.completed if from_ms <= request.sent_at < to_ms)


def peak_share(load: OfferedLoad, from_ms: float, to_ms: float, span_ms: float) -> float:
    """The most requests done in any `span_ms` within this time, as a part of rate x span + burst."""
    times = sorted(request.sent_at for request in load.completed if from_ms <= request.sent_at < to_ms)
    first = 0
    most = 0
    for last, sent_at in enumerate(times):
        while times[first] <= sent_at - span_ms:
            first += 1
        most = max(most, last - first + 1)
    return most / (load.plan.rate * span_ms + load.plan.burst)
