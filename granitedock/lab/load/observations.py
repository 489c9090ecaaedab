"""What was seen of a run from the outside: clients' requests, what hosts received, what lists were written.

Times are seconds on one clock, which begins with the load.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from math import inf

from granitedock.lab.faults.host_faults import ReplyKind
from granitedock.policy.types import Idempotency


class RequestOutcome(StrEnum):
    """What came of a client's request. The values are the words of stored runs and of reports."""

    DONE = "done"
    REJECTED = "deferred"
    FAILED = "errored"
    LOST = "lost"  # its connection ended, and nothing came
    OPEN = "open"  # it waits


ANSWERED = (RequestOutcome.DONE, RequestOutcome.REJECTED, RequestOutcome.FAILED)


@dataclass(slots=True)
class HostAttempt:
    """One attempt as a host received it: in flight until it was answered or its connection ended.

    `reply` is what the host did with it (None while it is in flight); `BUSY` proves that it never ran.
    `peer_port` is the port at the other end of the connection it came on.
    """

    request_id: int
    host: str
    received_at_s: float
    ended_at_s: float = inf
    reply: ReplyKind | None = None
    peer_port: int = 0


@dataclass(slots=True)
class ClientRequest:
    """A request as its client saw it.

    `gateway` is the one it was sent to, `paused_s` how much of its time that gateway was stopped, and
    `gateway_ended` whether it ended or was cut off meanwhile, so that no answer is owed.
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
        """When its answer came; infinity if none did."""
        return self.sent_at_s + self.latency_ms / 1000.0 if self.outcome in ANSWERED else inf


@dataclass(frozen=True, slots=True)
class WrittenList:
    """An endpoint list as it was written to a gateway: when, and the hosts that drain or are gone by it."""

    written_at_s: float
    unavailable: frozenset[str]


@dataclass(frozen=True, slots=True)
class Ceiling:
    """The ceiling of one customer: units a second, at once, and the slack beyond."""

    rate: float
    burst: float
    slack: float


@dataclass(frozen=True, slots=True)
class SlowStartTerms:
    """How a host warms up: the share of its capacity that it begins with, how long it takes, and the multiple
    of its capacity, over so long, that overloads it meanwhile."""

    initial_share: float = 0.2
    warm_up_s: float = 1.0
    overload_factor: float = 2.0
    overload_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class HostStart:
    """A host that started at `at_s`; `warm_rate` is the requests a second that it serves when warm."""

    host: str
    at_s: float
    warm_rate: float
    terms: SlowStartTerms = SlowStartTerms()

    def capacity(self, from_s: float, to_s: float) -> float:
        """Requests that it can serve in this time; its share grows evenly until it is warm."""
        return self.warm_rate * (self.warm_seconds(to_s) - self.warm_seconds(from_s))

    def warm_seconds(self, until_s: float) -> float:
        """The seconds of a warm host that it has been worth from its start until then."""
        age = max(0.0, until_s - self.at_s)
        warming = min(age, self.terms.warm_up_s)
        share = self.terms.initial_share
        worth = share * warming + (1.0 - share) * warming * warming / (2.0 * self.terms.warm_up_s)
        return worth + max(0.0, age - self.terms.warm_up_s)


@dataclass(frozen=True, slots=True)
class IdempotencyTerms:
    """Whether a request class may be sent again, and for how long hosts recognise a repeat, in ms."""

    kind: Idempotency = Idempotency.IDEMPOTENT
    window_ms: float = 0.0


@dataclass(slots=True)
class Observations:
    """All that was seen of a run from the outside."""

    requests: list[ClientRequest]
    attempts: list[HostAttempt]
    unexpected_answers: int = 0  # answers to no request
    lists: dict[int, list[WrittenList]] = field(default_factory=dict)  # by gateway
    ceilings: dict[int, Ceiling] = field(default_factory=dict)  # by customer
    starts: list[HostStart] = field(default_factory=list)
    request_classes: dict[str, IdempotencyTerms] = field(default_factory=dict)  # by name
