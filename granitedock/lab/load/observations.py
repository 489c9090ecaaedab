"""Observations of a run from outside the gateways.

They comprise the requests of clients, the attempts that hosts received and the endpoint lists that were
written. All times are in seconds on one clock, which starts with the load.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from math import inf

from granitedock.lab.faults.host_faults import ReplyKind
from granitedock.policy.types import Idempotency


class RequestOutcome(StrEnum):
    """The outcome of a client's request; the values are written in stored runs and in reports."""

    DONE = "done"
    REJECTED = "deferred"
    FAILED = "errored"
    LOST = "lost"  # no gateway was up, or the connection ended without an answer
    OPEN = "open"  # the request waits for its answer


ANSWERED = (RequestOutcome.DONE, RequestOutcome.REJECTED, RequestOutcome.FAILED)


@dataclass(slots=True)
class HostAttempt:
    """One attempt as a host received it; it is in flight until it is answered or its connection ends.

    `reply` is the host's reaction, None while the attempt is in flight; `BUSY` proves that the request never
    ran. `peer_port` is the remote port of the connection on which the attempt arrived.
    """

    request_id: int
    host: str
    received_at_s: float
    ended_at_s: float = inf
    reply: ReplyKind | None = None
    peer_port: int = 0


@dataclass(slots=True)
class ClientRequest:
    """A request as its client observed it.

    `gateway` is the gateway that it was sent to, and `paused_s` how long that gateway was stopped while the
    request waited. `gateway_ended` is set if no gateway was reachable, or if the gateway was paused while
    the request waited and did not answer it, so that no answer is required.
    """

    request_id: int
    gateway: int
    customer: int
    request_class: str
    units: float
    sent_at_s: float
    deadline_ms: float
    outcome: RequestOutcome
    latency_ms: float = 0.0
    paused_s: float = 0.0
    gateway_ended: bool = False

    def answered_at_s(self) -> float:
        """Return the time of the answer, or infinity if there is none."""
        return self.sent_at_s + self.latency_ms / 1000.0 if self.outcome in ANSWERED else inf


@dataclass(frozen=True, slots=True)
class WrittenList:
    """An endpoint list written to a gateway: its time, and the hosts that it lists as draining or removed."""

    written_at_s: float
    unavailable: frozenset[str]


@dataclass(frozen=True, slots=True)
class Ceiling:
    """The ceiling of one customer: `rate` in units per second, `burst` and the `slack` beyond it in units."""

    rate: float
    burst: float
    slack: float


@dataclass(frozen=True, slots=True)
class SlowStartTerms:
    """The terms of a host's slow start.

    The host begins with `initial_share` of its capacity and is warm after `warm_up_s`. Until then, requests
    of more than `overload_factor` times its capacity over `overload_after_s` overload it.
    """

    initial_share: float = 0.2
    warm_up_s: float = 1.0
    overload_factor: float = 2.0
    overload_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class HostStart:
    """The start of a host at `at_s`; `warm_rate` is the requests per second that it serves when warm."""

    host: str
    at_s: float
    warm_rate: float
    terms: SlowStartTerms = SlowStartTerms()

    def capacity(self, from_s: float, to_s: float) -> float:
        """Return the requests that the host can serve in this span.

        The share of its capacity grows linearly until the host is warm.
        """
        return self.warm_rate * (self.warm_seconds(to_s) - self.warm_seconds(from_s))

    def warm_seconds(self, until_s: float) -> float:
        """Return how many seconds of a warm host its service from its start to `until_s` is equivalent to."""
        age = max(0.0, until_s - self.at_s)
        warming = min(age, self.terms.warm_up_s)
        share = self.terms.initial_share
        worth = share * warming + (1.0 - share) * warming * warming / (2.0 * self.terms.warm_up_s)
        return worth + max(0.0, age - self.terms.warm_up_s)


@dataclass(frozen=True, slots=True)
class IdempotencyTerms:
    """Whether a request class may be sent again, and its idempotency window in ms."""

    kind: Idempotency = Idempotency.IDEMPOTENT
    window_ms: float = 0.0


@dataclass(slots=True)
class Observations:
    """All observations of a run from outside the gateways."""

    requests: list[ClientRequest]
    attempts: list[HostAttempt]
    unexpected_answers: int = 0  # answers that belong to no request
    lists: dict[int, list[WrittenList]] = field(default_factory=dict)  # by gateway
    ceilings: dict[int, Ceiling] = field(default_factory=dict)  # by customer
    starts: list[HostStart] = field(default_factory=list)
    request_classes: dict[str, IdempotencyTerms] = field(default_factory=dict)  # by name
