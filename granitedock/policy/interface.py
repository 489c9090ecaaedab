"""The types between the decisions and whatever carries them, and the door's protocol.

A carrier (the bench's adapter today, a service on sockets later) makes one `Gateway` of
`granitedock.policy.decisions` per api gateway, calls its methods with these objects, and does what
the gateway asks of its `Door`. Times are milliseconds with fractions, rates are per millisecond.
Objects point to each other; ids are the carrier's own affair.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol


class Kind(Enum):
    """What a repeat of a product's task does."""

    HARMLESS = "harmless"
    STAMPED = "stamped"
    ONE_SHOT = "one-shot"


class Group(Enum):
    """The hosts that drop repeats of a stamped task."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Ending(Enum):
    """How a forward or a call to the counter ended. A call that ended by error was added, and no total came;
    one that ended by reset may have been."""

    DONE = "done"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHED = "unreached"
    RESET = "reset"
    WITHDRAWN = "withdrawn"
    MOOT = "moot"


class Status(Enum):
    """What the roster says of a host."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, eq=False, slots=True)
class Product:
    name: str
    kind: Kind
    group: Group
    group_ms: float
    quoted_ms: float
    cutoff_ms: float
    benefit: float
    late_benefit: float
    stream: bool


@dataclass(frozen=True, eq=False, slots=True)
class Plan:
    name: str
    rate: float
    burst: float
    most_out: int
    benefit_factor: float
    over_benefit: float
    over_cost: float
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float
    window_ms: float = 0.0  # of its counts, where it was kept over a change of the plan; 0: by burst and rate


@dataclass(frozen=True, slots=True)
class Leave:
    """What the deployment allows a gateway to do."""

    most_forwards: int
    second_copies: bool
    withdraw: bool
    retry_after: bool
    most_retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Seat:
    """A gateway's place among the gateways, and the seed of its chances."""

    seed: int
    number: int
    gateways: int


@dataclass(frozen=True, slots=True)
class Cold:
    """What is known of a host that has just started, and what pushes it over."""

    start_share: float
    warm_after_ms: float
    overload_factor: float
    tip_after_ms: float


@dataclass(eq=False, slots=True)
class Host:
    size: float = 1.0
    make: str = ""
    zone: str = ""
    cell: int = 0
    started_at: float = 0.0
    status: Status = Status.READY
    health: Any = None  # the decisions' own notes on this host
    name: str = ""  # the carrier's, to tell other gateways; the decisions make nothing of it


@dataclass(eq=False, slots=True, weakref_slot=True)
class Customer:
    key: int
    book: Any = None  # the decisions' own notes on this customer


@dataclass(eq=False, slots=True)
class Task:
    product: Product
    plan: Plan
    customer: Customer
    taken_at: float
    cutoff_at: float
    units: float
    spread: int
    state: str = "new"
    forwards: list[Forward] = field(default_factory=list)
    out: int = 0
    call: Call | None = None
    first: int = 0  # of the customer's set: `spread` gateways in a row from this number on, counted round


@dataclass(eq=False, slots=True)
class Forward:
    """One sending of a task to a host; it stands in the task's list at its own number."""

    task: Task
    host: Host
    sent_at: float
    queue_at_send: int
    ending: Ending | None = None
    begin_by: float = float("inf")  # the latest moment at which its first byte may leave


@dataclass(eq=False, slots=True)
class Call:
    """One add to a named count."""

    customer: Customer
    name: int
    window: int
    amount: float
    life_ms: float
    sent_at: float
    task: Task | None = None
    overdue: bool = False
    answered: bool = False
    landed: bool = False
    # Where uncounted units are shared: those that ride on this add, and its own task's, let in without it.
    carried: float = 0.0
    lent: float = 0.0


@dataclass(frozen=True, slots=True)
class Sighting:
    """One line of the roster."""

    host: Host
    size: float
    make: str
    zone: str
    cell: int
    started_at: float
    status: Status


class Peers(Protocol):
    """What the decisions may ask of a view of the other gateways, where there is one."""

    def sharers(self, first: int, spread: int) -> int:
        """By how many an even share is divided in the set of `spread` gateways from `first` on: all of them,
        less those proved to have ended; from 1 to `spread`."""
        ...


@dataclass(frozen=True, slots=True)
class Quota:
    """A customer's plan, the set it comes through, and the length of its windows."""

    plan: Plan
    first: int
    spread: int
    window_ms: float


class Shared(Protocol):
    """What the decisions tell and ask of units that gateways let in without the counter, where those are
    shared. Windows are the customer's, by number; units of one window stay in it."""

    def let_in(self, customer: int, window: int, quota: Quota, units: float) -> None:
        """This gateway let them in, and the counter does not know of them."""
        ...

    def inherit(self, customer: int, window: int) -> float:
        """What this gateway let in uncounted before it started again, given once."""
        ...

    def paid(self, customer: int, window: int, units: float) -> None:
        """Of those, so many are added to the counter now."""
        ...

    def uncounted(self, customer: int, window: int, quota: Quota, now: float) -> float:
        """Units that others let in, or may have, beyond the counter's total; 0 or more."""
        ...

    def answered(self, call: Call, ending: Ending, total: float) -> None:
        """A call came back; one that was its own says who shows at the counter."""
        ...


class Judgement(Protocol):
    """What the decisions tell and ask of hosts where gateways tell each other what they know of them. It only
    ever takes work away from a host."""

    def sent(self, host: Host) -> None: ...

    def ended(self, host: Host, ending: Ending, took_ms: float, quoted_ms: float, now: float) -> None: ...

    def bad(self, host: Host, risky: bool, now: float) -> bool:
        """Whether others' evidence keeps it from a task; `risky` is one that could not be sent again."""
        ...

    def turn(self, host: Host, now: float) -> bool:
        """Whether this gateway is among those who ask a host that was set aside."""
        ...


class Door(Protocol):
    """What a gateway can do to the world."""

    def forward(self, forward: Forward, stop_at: float | None) -> None: ...

    def defer(self, task: Task, come_back_ms: float | None) -> None: ...

    def error(self, task: Task) -> None: ...

    def withdraw(self, forward: Forward) -> None: ...

    def count(self, call: Call) -> None: ...

    def wake(self, after_ms: float, why: object) -> None: ...

    def log(self, line: str) -> None: ...
