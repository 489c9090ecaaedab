"""The types that the policy and its callers exchange.

Times are milliseconds with fractions (Unix time where a moment is meant), rates are units a millisecond. The
objects refer to each other; ids on any wire are the caller's own matter.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from granitedock.policy.states import RequestState
from granitedock.state_table import StateEnum


class Idempotency(StateEnum):
    """What a repeat of a request does."""

    IDEMPOTENT = "harmless"
    KEYED = "stamped"
    NON_IDEMPOTENT = "one-shot"


class IdempotencyScope(StateEnum):
    """The hosts that drop repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(StateEnum):
    """How an attempt or a counter call ended. A call that ended by error was added, and no total came; one
    that ended by reset may have been. The values are the words of `INFO`'s counters."""

    DONE = "done"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECTION_FAILED = "unreached"
    RESET = "reset"
    CANCELLED = "withdrawn"
    ABANDONED = "moot"


class EndpointStatus(StateEnum):
    """What the endpoint list says of a host."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, eq=False, slots=True)
class RequestClass:
    """A kind of requests: what a repeat does, and what an answer is worth in time and late."""

    name: str
    idempotency: Idempotency
    idempotency_scope: IdempotencyScope
    idempotency_window_ms: float
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    late_priority_weight: float
    stream: bool


@dataclass(frozen=True, eq=False, slots=True)
class Plan:
    """A quota. The ceiling is hard, and none where its rate is 0; weights are by unit."""

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
    window_ms: float = 0.0  # counting window, where kept over a change of the plan; 0: by burst and rate


@dataclass(frozen=True, slots=True)
class PermittedFeatures:
    """What the deployment allows a gateway to do."""

    max_attempts: int
    hedged_requests: bool
    cancel: bool
    retry_after: bool
    max_retry_after_ms: float


@dataclass(frozen=True, slots=True)
class GatewayIdentity:
    """A gateway's number among the gateways, and the seed of its random draws."""

    seed: int
    number: int
    gateways: int


@dataclass(frozen=True, slots=True)
class SlowStart:
    """What a host that has just started can do, and what overloads it: `overload_factor` times that for the
    interval."""

    initial_capacity_share: float
    warm_up_ms: float
    overload_factor: float
    overload_interval_ms: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What a gateway starts with."""

    identity: GatewayIdentity
    request_classes: list[RequestClass]
    permitted: PermittedFeatures
    slow_start: SlowStart
    has_counter: bool


@dataclass(eq=False, slots=True)
class Host:
    """An endpoint, as listed; `size` is its registered size."""

    size: float = 1.0
    make: str = ""
    zone: str = ""
    cell: int = 0
    started_at: float = 0.0
    status: EndpointStatus = EndpointStatus.READY
    health: Any = None  # the policy's `HostHealth`, opaque to others
    name: str = ""  # the carrier's, to tell other gateways; no decision reads it


@dataclass(eq=False, slots=True, weakref_slot=True)
class Customer:
    """`key` is the same at every gateway."""

    key: int
    account: Any = None  # the policy's `QuotaAccount`, opaque to others


@dataclass(eq=False, slots=True)
class Request:
    """One that waits for its answer; its client comes through `subset_size` gateways in a row."""

    request_class: RequestClass
    plan: Plan
    customer: Customer
    received_at: float
    deadline: float
    units: float
    subset_size: int
    state: RequestState = RequestState.NEW
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    counter_call: CounterCall | None = None
    subset_start: int = 0  # number of the first of those gateways


@dataclass(eq=False, slots=True)
class Attempt:
    """One sending of a request to a host; it stands in the request's list at its own number."""

    request: Request
    host: Host
    sent_at: float
    in_flight_at_send: int
    outcome: Outcome | None = None
    send_before: float = float("inf")  # the latest moment at which its first byte may leave


@dataclass(eq=False, slots=True)
class CounterCall:
    """One increment of a named count."""

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
    # Where uncounted units are shared: those that go with it, and its own request's if admitted without it.
    carried: float = 0.0
    recorded_uncounted: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """One line of the endpoint list."""

    host: Host
    size: float
    make: str
    zone: str
    cell: int
    started_at: float
    status: EndpointStatus


@dataclass(frozen=True, slots=True)
class SharedQuota:
    """A customer's plan, the subset of gateways that serves it, and the length of its windows."""

    plan: Plan
    subset_start: int
    subset_size: int
    window_ms: float
