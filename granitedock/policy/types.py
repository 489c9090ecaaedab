"""The types that the policy and its callers exchange.

Times are milliseconds with fractions (Unix time where a moment is meant), rates are units a millisecond. The
objects refer to each other; ids on any wire are the caller's own affair.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Idempotency(Enum):
    """What a repeat of a product's task does."""

    IDEMPOTENT = "harmless"
    KEYED = "stamped"
    NON_IDEMPOTENT = "one-shot"


class IdempotencyScope(Enum):
    """The hosts that drop repeats of a stamped task."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How a forward or a call to the counter ended. A call that ended by error was added, and no total came;
    one that ended by reset may have been."""

    DONE = "done"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECTION_FAILED = "unreached"
    RESET = "reset"
    CANCELLED = "withdrawn"
    ABANDONED = "moot"


class EndpointStatus(Enum):
    """What the roster says of a host."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, eq=False, slots=True)
class RequestClass:
    name: str
    kind: Idempotency
    group: IdempotencyScope
    idempotency_window_ms: float
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    late_priority_weight: float
    stream: bool


@dataclass(frozen=True, eq=False, slots=True)
class Plan:
    name: str
    rate: float
    burst: float
    max_in_flight: int
    priority_factor: float
    over_quota_weight: float
    over_quota_cost: float
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float
    window_ms: float = 0.0  # of its counts, where it was kept over a change of the plan; 0: by burst and rate


@dataclass(frozen=True, slots=True)
class PermittedFeatures:
    """What the deployment allows a gateway to do."""

    max_attempts: int
    hedged_requests: bool
    withdraw: bool
    retry_after: bool
    max_retry_after_ms: float


@dataclass(frozen=True, slots=True)
class GatewayIdentity:
    """A gateway's place among the gateways, and the seed of its chances."""

    seed: int
    number: int
    gateways: int


@dataclass(frozen=True, slots=True)
class SlowStart:
    """What is known of a host that has just started, and what pushes it over."""

    initial_capacity_share: float
    warm_up_ms: float
    overload_factor: float
    overload_interval_ms: float


@dataclass(eq=False, slots=True)
class Host:
    size: float = 1.0
    make: str = ""
    zone: str = ""
    cell: int = 0
    started_at: float = 0.0
    status: EndpointStatus = EndpointStatus.READY
    health: Any = None  # the decisions' own notes on this host
    name: str = ""  # the carrier's, to tell other gateways; the decisions make nothing of it


@dataclass(eq=False, slots=True, weakref_slot=True)
class Customer:
    key: int
    account: Any = None  # the decisions' own notes on this customer


@dataclass(eq=False, slots=True)
class Request:
    request_class: RequestClass
    plan: Plan
    customer: Customer
    received_at: float
    deadline: float
    units: float
    subset_size: int
    state: str = "new"
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    counter_call: CounterCall | None = None
    subset_start: int = 0  # the first of the `subset_size` gateways in a row that the customer comes through


@dataclass(eq=False, slots=True)
class Attempt:
    """One sending of a task to a host; it stands in the task's list at its own number."""

    request: Request
    host: Host
    sent_at: float
    in_flight_at_send: int
    outcome: Outcome | None = None
    send_before: float = float("inf")  # the latest moment at which its first byte may leave


@dataclass(eq=False, slots=True)
class CounterCall:
    """One add to a named count."""

    customer: Customer
    name: int
    window: int
    amount: float
    ttl_ms: float
    sent_at: float
    request: Request | None = None
    timed_out: bool = False
    answered: bool = False
    applied: bool = False
    # Where uncounted units are shared: those that ride on this add, and its own task's, let in without it.
    carried: float = 0.0
    recorded_uncounted: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """One line of the roster."""

    host: Host
    size: float
    make: str
    zone: str
    cell: int
    started_at: float
    status: EndpointStatus


@dataclass(frozen=True, slots=True)
class SharedQuota:
    """A customer's plan, the set it comes through, and the length of its windows."""

    plan: Plan
    subset_start: int
    subset_size: int
    window_ms: float
