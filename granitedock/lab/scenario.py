"""Scenario files of the laboratory: TOML, validated by pydantic; errors name the field and its line.

A scenario says what the laboratory emulates and what it does to it: the fleet (gateways, zones of hosts with
their service times), the clients and their load, and a timeline of faults. Fields carry the field's terms;
where the file's key is another word, it is the field's alias. No sockets here: the emulators and the load
generator read the `Scenario` that this module makes.

Units: seconds in fields that end in `_s`, milliseconds in `_ms`; rates are requests a second.
Errors: `ScenarioError`. Source: docs/lab-design.md; the format is described for operators in docs/lab.md.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, model_validator

from granitedock.lab.fault_targets import (
    GATEWAY_PREFIX,
    LINK_FAULTS,
    TARGETS,
    Direction,
    FaultKind,
    Party,
    gateway_numbers,
    listed,
    target_kinds,
)
from granitedock.toml_file import StrictModel, TomlFileError, read_text
from granitedock.toml_file import parse as parse_toml

Positive = Annotated[float, Field(gt=0)]
NonNegative = Annotated[float, Field(ge=0)]
Share = Annotated[float, Field(ge=0, le=1)]
DelayMs = Annotated[float, Field(ge=0, le=60000)]
ENDLESS_S = 1e9  # the length of a fault that ends with the run
CrossCheckFault = tuple[tuple[str | int, ...], str]  # path of keys, and what is wrong


class Service(StrictModel):
    """How long a host takes for one request, in ms: `fixed`, `exponential` about a mean, or `lognormal` with
    a heavy tail (`sigma` is the spread of the logarithm)."""

    kind: Literal["fixed", "exponential", "lognormal"] = "exponential"
    mean_ms: Positive = 20.0
    sigma: Annotated[float, Field(ge=0, le=4)] = 1.0


class Zone(StrictModel):
    """Hosts that fail together; each serves `slots` requests at once and queues `queue` behind them."""

    name: Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]*$")]
    hosts: Annotated[int, Field(ge=1, le=500)]
    slots: Annotated[int, Field(ge=1, le=1000)] = 8
    queue: Annotated[int, Field(ge=0, le=100000)] = 64
    warm_up_s: NonNegative = Field(default=0.0, alias="cold_s")  # slow for so long after it starts
    service: Service = Service()


class Plan(StrictModel):
    """A customer's plan: units a second, at once, and a hard ceiling (0: none)."""

    name: str = "p"
    rate: Positive = 10.0
    burst: Positive = 20.0
    ceiling_rate: NonNegative = 0.0
    ceiling_burst: NonNegative = 0.0
    ceiling_slack: NonNegative = 0.0


class Fleet(StrictModel):
    """The gateways, which of their exchanges are on, and the zones of hosts behind them."""

    gateways: Annotated[int, Field(ge=1, le=64)] = 2
    gossip_permitted: bool = Field(default=False, alias="talk")  # by the platform's settings
    host_health_sharing: bool = Field(default=False, alias="hosts")
    quota_sharing: bool = Field(default=False, alias="shared")
    membership: bool = Field(default=False, alias="view")  # by the operators' file
    zones: Annotated[list[Zone], Field(min_length=1)]

    @model_validator(mode="after")
    def names_differ(self) -> Fleet:
        """Refuse zones of the same name, and one whose hosts would read as gateways."""
        names = [zone.name for zone in self.zones]
        if len(set(names)) != len(names):
            problem = f"zone names repeat: {names}"
            raise ValueError(problem)
        if GATEWAY_PREFIX in names:
            problem = "no zone can be named 'gateway': its hosts would read as gateways"
            raise ValueError(problem)
        return self


class Clients(StrictModel):
    """Open-loop load of one customer: arrivals drawn in advance, Poisson at `rate` or in bursts."""

    customer: Annotated[int, Field(ge=0)]
    request_class: str = Field(alias="product")
    plan: str
    rate: Positive  # requests a second
    shape: Literal["steady", "bursts"] = "steady"
    burst_size: Annotated[int, Field(ge=1)] = 50
    burst_every_s: Positive = 5.0
    deadline_ms: Positive = Field(default=3000.0, alias="left_ms")  # from when a request is sent
    units: Positive = 1.0
    # The customer's gateways: so many in a row, from this number on.
    subset_size: Annotated[int, Field(ge=1, le=64)] = Field(default=1, alias="spread")
    subset_start: Annotated[int, Field(ge=0, le=63)] = Field(default=0, alias="first")


class Fault(StrictModel):
    """One fault of the timeline: from `at_s`, for `for_s` (0: for the rest of the run), on `target`.

    `factor` slows; `rate` is a share of requests hit. A link fault acts between the target and `other_side`:
    other gateways, `counter`, `discovery` or `hosts`; empty for all other gateways. An impaired link loses
    `rate` of the datagrams, delays them by `late_ms` and up to `jitter_ms` more, and duplicates a share.
    """

    at_s: NonNegative
    kind: FaultKind = Field(alias="what")
    target: str
    for_s: NonNegative = 0.0
    factor: Annotated[float, Field(ge=1)] = 1.0
    rate: Share = 1.0
    other_side: str = Field(default="", alias="off")
    direction: Direction = Field(default=Direction.BOTH, alias="way")
    late_ms: DelayMs = 0.0
    jitter_ms: DelayMs = 0.0
    duplicated: Share = Field(default=0.0, alias="twice")

    def is_active(self, now_s: float) -> bool:
        """Whether it holds `now_s` seconds after the timeline began."""
        return self.at_s <= now_s < self.at_s + (self.for_s or ENDLESS_S)


class Expect(StrictModel):
    """What the run must show: a customer's units served, of the requests sent from `from_s` to `to_s`, as a
    part of what its plan's rate allows in that time."""

    customer: Annotated[int, Field(ge=0)]
    from_s: NonNegative
    to_s: Positive
    least: NonNegative = 0.0
    most: NonNegative = 1e9


class Scenario(StrictModel):
    """A whole scenario file."""

    name: str = "scenario"
    seed: Annotated[int, Field(ge=0)] = 1
    length_s: Annotated[float, Field(gt=0, le=3600)] = 60.0
    fleet: Fleet
    plans: Annotated[list[Plan], Field(min_length=1)] = [Plan()]
    clients: Annotated[list[Clients], Field(min_length=1)]
    timeline: list[Fault] = []
    expect: list[Expect] = []


class ScenarioError(TomlFileError):
    """A scenario that cannot be used; its text has a line for each fault, `FILE:LINE: PATH: WHAT`."""


def cross_check(scenario: Scenario) -> list[CrossCheckFault]:
    """What each part allows alone but not together with the others."""
    return timeline_faults(scenario) + expectation_faults(scenario) + client_faults(scenario)


def timeline_faults(scenario: Scenario) -> list[CrossCheckFault]:
    """Faults of the timeline that name nothing of this scenario, or come too late."""
    zones = {zone.name: zone.hosts for zone in scenario.fleet.zones}
    gateways = scenario.fleet.gateways
    parties = tuple(party.value for party in Party)
    found: list[CrossCheckFault] = []
    for n, fault in enumerate(scenario.timeline):
        what, side = fault.kind.value, fault.other_side
        if side and side not in parties and not gateway_numbers(side, gateways):
            found.append((("timeline", n, "off"), f"neither gateways nor one of {parties}: {side!r}"))
        if side and fault.kind not in LINK_FAULTS:
            found.append((("timeline", n, "off"), f"{what!r} has no other side"))
        if not target_kinds(fault.target, zones, gateways) & set(TARGETS[fault.kind]):
            takes = listed(TARGETS[fault.kind])
            found.append((("timeline", n, "target"), f"{what!r} takes a {takes}, not {fault.target!r}"))
        if fault.at_s >= scenario.length_s:
            problem = f"{fault.at_s} is not within length_s {scenario.length_s}"
            found.append((("timeline", n, "at_s"), problem))
    return found


def expectation_faults(scenario: Scenario) -> list[CrossCheckFault]:
    """Expectations of a time outside the run, or of a customer without clients."""
    customers = {clients.customer for clients in scenario.clients}
    found: list[CrossCheckFault] = []
    for n, expect in enumerate(scenario.expect):
        if not expect.from_s < expect.to_s <= scenario.length_s:
            found.append((("expect", n, "to_s"), "must be after from_s and within length_s"))
        if expect.customer not in customers:
            found.append((("expect", n, "customer"), f"no clients of customer {expect.customer}"))
    return found


def client_faults(scenario: Scenario) -> list[CrossCheckFault]:
    """Clients of a plan that is not, or of more gateways than there are."""
    plans = {plan.name for plan in scenario.plans}
    gateways = scenario.fleet.gateways
    found: list[CrossCheckFault] = []
    for n, clients in enumerate(scenario.clients):
        if clients.plan not in plans:
            found.append((("clients", n, "plan"), f"no plan {clients.plan!r}"))
        if clients.subset_size > gateways:
            found.append((("clients", n, "spread"), f"more than the {gateways} gateways"))
    return found


def load(path: str | Path) -> Scenario:
    """Read and check a scenario file. Raises ScenarioError; nothing is started from a file that fails."""
    return parse(read_text(path, ScenarioError), str(path))


def parse(text: str, name: str = "<scenario>") -> Scenario:
    """Check a scenario given as TOML text; `name` stands for the file in errors. Raises ScenarioError."""
    return parse_toml(text, name, Scenario, cross_check, ScenarioError)
