"""The types that the policy and its callers exchange.

Durations are in milliseconds with fractions, points in time are Unix time in milliseconds, and rates are in
units per millisecond. The objects refer to each other directly; the caller maps them to the ids of its own
protocol.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from granitedock.policy.states import RequestState
from granitedock.policy.token_bucket import TokenBucket
from granitedock.state_table import StateEnum


class Idempotency(StateEnum):
    """The effect of repeating a request."""

    IDEMPOTENT = "harmless"
    KEYED = "stamped"
    NON_IDEMPOTENT = "one-shot"


class IdempotencyScope(StateEnum):
    """The set of hosts that drop repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(StateEnum):
    """How an attempt or a counter call ended.

    A counter call that ended with ERROR was added but returned no total; one that ended with RESET may have
    been added. The values are the words of the counters in `INFO`.
    """

    DONE = "done"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECTION_FAILED = "unreached"
    RESET = "reset"
    CANCELLED = "withdrawn"
    ABANDONED = "moot"


class EndpointStatus(StateEnum):
    """The status of a host in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, eq=False, slots=True)
class RequestClass:
    """A request class: the effect of a repeat, and the value of an answer in time and of a late one."""

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
    """The quota and the weights of a plan.

    The ceiling is a hard limit; there is none if its rate is 0. Weights are per unit.
    """

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
    # The counting window, if it is kept across a change of the plan; 0 derives it from burst and rate.
    window_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PermittedFeatures:
    """The features that the deployment permits a gateway to use, and their limits."""

    max_attempts: int
    hedged_requests: bool
    cancel: bool
    retry_after: bool
    max_retry_after_ms: float


@dataclass(frozen=True, slots=True)
class GatewayIdentity:
    """A gateway's own number, the count of all gateways, and the seed of the gateway's random choices."""

    seed: int
    number: int
    gateways: int


@dataclass(frozen=True, slots=True)
class SlowStart:
    """The capacity of a host that has just started, and the load that overloads it.

    A host is overloaded by `overload_factor` times its capacity for `overload_interval_ms`.
    """

    initial_capacity_share: float
    warm_up_ms: float
    overload_factor: float
    overload_interval_ms: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The settings with which a gateway starts."""

    identity: GatewayIdentity
    request_classes: list[RequestClass]
    permitted: PermittedFeatures
    slow_start: SlowStart
    has_counter: bool


@dataclass(eq=False, slots=True)
class Host:
    """A process of a host of the endpoint list; `size` is its registered size."""

    size: float = 1.0
    machine_type: str = ""
    zone: str = ""
    cell: int = 0
    started_at: float = 0.0
    status: EndpointStatus = EndpointStatus.READY
    health: Any = None  # The `HostHealth` of the policy, opaque to other packages.
    name: str = ""  # Set by the carrier and used in messages to other gateways; no decision reads it.
    # The process that started later at the address of this one, set by the carrier.
    successor: Host | None = None


@dataclass(eq=False, slots=True, weakref_slot=True)
class Customer:
    """A customer, identified by a `key` that is the same at every gateway."""

    key: int
    account: Any = None  # The `QuotaAccount` of the policy, opaque to other packages.


@dataclass(eq=False, slots=True)
class Request:
    """A client's request and the progress of its attempts.

    The client sends its requests through a subset of `subset_size` gateways with consecutive numbers.
    """

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
    subset_start: int = 0  # The number of the first gateway of the subset.


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt to send a request to a host; its index in `Request.attempts` is its number."""

    request: Request
    host: Host
    sent_at: float
    in_flight_at_send: int
    outcome: Outcome | None = None
    deliver_before: float = float("inf")  # The latest time at which the host may receive the last byte.
    ceiling_in_delivery: TokenBucket | None = None  # The ceiling that keeps room for the request's units.


@dataclass(eq=False, slots=True)
class CounterCall:
    """One increment of a named counter value."""

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
    # Used if gateways share uncounted units: `carried` are the uncounted units added with this call, and
    # `recorded_uncounted` are the units of its own request, if that was admitted without the total, or
    # `PROVED_NOT_ADDED`.
    carried: float = 0.0
    recorded_uncounted: float = 0.0


class EndpointEntry(NamedTuple):
    """One process of a host in an endpoint list, as stated by discovery."""

    name: str
    address: str  # HOST:PORT; empty if not stated.
    size: float  # Relative capacity; 1.0 if not stated.
    machine_type: str
    zone: str
    cell: int
    started_at: float  # Unix ms; 0.0 if not stated, or long ago.
    status: EndpointStatus


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The state of one host in an update of the endpoint list."""

    host: Host
    size: float
    machine_type: str
    zone: str
    cell: int
    started_at: float
    status: EndpointStatus

    @classmethod
    def removal(cls, host: Host) -> EndpointUpdate:
        """Return the update that removes a host."""
        return cls(
            host,
            host.size,
            host.machine_type,
            host.zone,
            host.cell,
            host.started_at,
            EndpointStatus.GONE,
        )


@dataclass(frozen=True, slots=True)
class SharedQuota:
    """The plan of a customer, the subset of gateways that serves it, and the length of its windows."""

    plan: Plan
    subset_start: int
    subset_size: int
    window_ms: float
