"""Scenario files of the laboratory: TOML that pydantic validates; errors name the field and its line.

A scenario defines what the laboratory emulates and which faults it injects: the fleet (gateways, and zones of
hosts with their service times), the clients and their load, and a timeline of faults. Fields are named in the
usual technical terms; where the key in the file differs, it is the field's alias. This module uses no
sockets: the emulators and the load generator read the `Scenario` that it creates.

Units: seconds in fields that end in `_s`, milliseconds in `_ms`; rates are in requests per second.
Errors: `ScenarioError`. Source: docs/lab-design.md; docs/lab.md describes the format for operators.
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
    format_target_kinds,
    gateway_numbers,
    target_kinds,
)
from granitedock.toml_file import StrictModel, TomlFileError, read_text
from granitedock.toml_file import parse as parse_toml

Positive = Annotated[float, Field(gt=0)]
NonNegative = Annotated[float, Field(ge=0)]
Share = Annotated[float, Field(ge=0, le=1)]
DelayMs = Annotated[float, Field(ge=0, le=60000)]
ENDLESS_S = 1e9  # the length of a fault that lasts until the end of the run
CrossCheckProblem = tuple[tuple[str | int, ...], str]  # path of keys, and description of the problem


class Service(StrictModel):
    """The distribution of a host's service time for one request, in ms.

    `fixed` is constant, `exponential` has the given mean, and `lognormal` has a heavy tail; `sigma` is
    the standard deviation of the logarithm.
    """

    kind: Literal["fixed", "exponential", "lognormal"] = "exponential"
    mean_ms: Positive = 20.0
    sigma: Annotated[float, Field(ge=0, le=4)] = 1.0


class Zone(StrictModel):
    """Hosts that fail together; each processes `slots` requests concurrently and queues `queue` more."""

    name: Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]*$")]
    hosts: Annotated[int, Field(ge=1, le=500)]
    slots: Annotated[int, Field(ge=1, le=1000)] = 8
    queue: Annotated[int, Field(ge=0, le=100000)] = 64
    # A host is slow for this time after its start.
    warm_up_s: NonNegative = Field(default=0.0, alias="cold_s")
    service: Service = Service()


class Plan(StrictModel):
    """A customer's plan: units per second, burst size in units, and a hard ceiling (0: no ceiling)."""

    name: str = "p"
    rate: Positive = 10.0
    burst: Positive = 20.0
    ceiling_rate: NonNegative = 0.0
    ceiling_burst: NonNegative = 0.0
    ceiling_slack: NonNegative = 0.0


class Fleet(StrictModel):
    """The gateways, the exchanges between them that are enabled, and the zones of hosts behind them."""

    gateways: Annotated[int, Field(ge=1, le=64)] = 2
    gossip_permitted: bool = Field(default=False, alias="talk")  # in the platform's settings
    host_health_sharing: bool = Field(default=False, alias="hosts")
    quota_sharing: bool = Field(default=False, alias="shared")
    membership: bool = Field(default=False, alias="view")  # in the operators' file
    memory_mb: Annotated[float, Field(ge=32)] = 192.0  # limit of one gateway, in its platform file
    sockets: Annotated[int, Field(ge=64)] = 1024  # file descriptors of one gateway, also as its RLIMIT_NOFILE
    zones: Annotated[list[Zone], Field(min_length=1)]

    @model_validator(mode="after")
    def check_zone_names(self) -> Fleet:
        """Reject zones of the same name, and a zone whose hosts would be parsed as gateways."""
        names = [zone.name for zone in self.zones]
        if len(set(names)) != len(names):
            problem = f"expected distinct zone names, got {names}"
            raise ValueError(problem)
        if GATEWAY_PREFIX in names:
            problem = "no zone can be named 'gateway': its hosts would be parsed as gateways"
            raise ValueError(problem)
        return self


class Clients(StrictModel):
    """Open-loop load of one customer, drawn in advance: Poisson arrivals at `rate`, or bursts."""

    customer: Annotated[int, Field(ge=0)]
    request_class: str = Field(alias="product")
    plan: str
    rate: Positive  # requests per second of a steady load; bursts do not use it
    shape: Literal["steady", "bursts"] = "steady"
    burst_size: Annotated[int, Field(ge=1)] = 50
    burst_every_s: Positive = 5.0
    deadline_ms: Positive = Field(default=3000.0, alias="left_ms")  # from the time at which a request is sent
    units: Positive = 1.0
    # The customer's gateways have consecutive numbers: `subset_size` of them from `subset_start` on.
    subset_size: Annotated[int, Field(ge=1, le=64)] = Field(default=1, alias="spread")
    subset_start: Annotated[int, Field(ge=0, le=63)] = Field(default=0, alias="first")


class Floods(StrictModel):
    """Bad clients at one gateway: each `every_s` seconds, `clients` of them send at most `values` values."""

    gateway: Annotated[int, Field(ge=0, le=63)] = 0
    clients: Annotated[int, Field(ge=1, le=100)] = 4
    every_s: Annotated[float, Field(ge=0.1)] = 2.0
    values: Annotated[int, Field(ge=1, le=999)] = 300


class Fault(StrictModel):
    """A fault of the timeline on `target`, which starts at `at_s` and lasts `for_s` (0: until the run ends).

    `factor` multiplies service times (`slow`), or is the delay of endpoint lists in seconds (`late_lists`).
    `rate` is the share of requests affected. A link fault affects the links between the target and
    `other_side`: other gateways, `counter`, `discovery` or `hosts`; an empty value stands for all other
    gateways. An impaired link loses the share `rate` of the datagrams, delays them by `late_ms` plus at most
    `jitter_ms`, and duplicates the share `duplicated`.
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
        """Return whether the fault is active `now_s` seconds after the start of the timeline."""
        return self.at_s <= now_s < self.at_s + (self.for_s or ENDLESS_S)


class Expect(StrictModel):
    """An expectation of the run: bounds of a customer's units served, as a share of its plan's allowance.

    The units are those of requests sent from `from_s` to `to_s`, and the allowance is what the plan's rate
    permits in that time.
    """

    customer: Annotated[int, Field(ge=0)]
    from_s: NonNegative
    to_s: Positive
    least: NonNegative = 0.0
    most: NonNegative = 1e9


class Scenario(StrictModel):
    """A complete scenario file."""

    name: str = "scenario"
    seed: Annotated[int, Field(ge=0)] = 1
    length_s: Annotated[float, Field(gt=0, le=3600)] = 60.0
    fleet: Fleet
    plans: Annotated[list[Plan], Field(min_length=1)] = [Plan()]
    clients: Annotated[list[Clients], Field(min_length=1)]
    floods: list[Floods] = []
    timeline: list[Fault] = []
    expect: list[Expect] = []


class ScenarioError(TomlFileError):
    """An invalid scenario; the text has one line for each problem, `FILE:LINE: PATH: DESCRIPTION`."""


def cross_check(scenario: Scenario) -> list[CrossCheckProblem]:
    """Return the problems of a scenario whose parts are valid alone but not in combination."""
    return (
        timeline_problems(scenario)
        + expectation_problems(scenario)
        + client_problems(scenario)
        + flood_problems(scenario)
    )


def timeline_problems(scenario: Scenario) -> list[CrossCheckProblem]:
    """Return the problems of faults that name an unknown target or other side, or start too late."""
    zones = {zone.name: zone.hosts for zone in scenario.fleet.zones}
    gateways = scenario.fleet.gateways
    parties = tuple(party.value for party in Party)
    problems: list[CrossCheckProblem] = []
    for position, fault in enumerate(scenario.timeline):
        what, other_side = fault.kind.value, fault.other_side
        if other_side and other_side not in parties and not gateway_numbers(other_side, gateways):
            problems.append(
                (("timeline", position, "off"), f"neither gateways nor one of {parties}: {other_side!r}")
            )
        if other_side and fault.kind not in LINK_FAULTS:
            problems.append(
                (("timeline", position, "off"), f"{what!r} is not a link fault and has no other side")
            )
        if not target_kinds(fault.target, zones, gateways) & set(TARGETS[fault.kind]):
            valid_targets = format_target_kinds(TARGETS[fault.kind])
            problems.append(
                (("timeline", position, "target"), f"{what!r} takes a {valid_targets}, not {fault.target!r}")
            )
        if fault.at_s >= scenario.length_s:
            problem = f"{fault.at_s} is not before length_s {scenario.length_s}"
            problems.append((("timeline", position, "at_s"), problem))
    return problems


def expectation_problems(scenario: Scenario) -> list[CrossCheckProblem]:
    """Return the problems of expectations outside the run, or for a customer without clients."""
    customers = {clients.customer for clients in scenario.clients}
    problems: list[CrossCheckProblem] = []
    for position, expect in enumerate(scenario.expect):
        if not expect.from_s < expect.to_s <= scenario.length_s:
            problems.append(
                (("expect", position, "to_s"), "expected a time after from_s and not after length_s")
            )
        if expect.customer not in customers:
            problems.append(
                (("expect", position, "customer"), f"no clients are defined for customer {expect.customer}")
            )
    return problems


def client_problems(scenario: Scenario) -> list[CrossCheckProblem]:
    """Return the problems of clients with an unknown plan, or with more gateways than the fleet has."""
    plans = {plan.name for plan in scenario.plans}
    gateways = scenario.fleet.gateways
    problems: list[CrossCheckProblem] = []
    for position, clients in enumerate(scenario.clients):
        if clients.plan not in plans:
            problems.append((("clients", position, "plan"), f"no plan is named {clients.plan!r}"))
        if clients.subset_size > gateways:
            problems.append(
                (("clients", position, "spread"), f"expected at most the {gateways} gateways of the fleet")
            )
    return problems


def flood_problems(scenario: Scenario) -> list[CrossCheckProblem]:
    """Return the problems of floods at a gateway that the fleet does not have."""
    gateways = scenario.fleet.gateways
    return [
        (("floods", position, "gateway"), f"the fleet has {gateways} gateways, numbered from 0")
        for position, floods in enumerate(scenario.floods)
        if floods.gateway >= gateways
    ]


def load(path: str | Path) -> Scenario:
    """Read and validate a scenario file. Raises ScenarioError, before anything is started."""
    return parse(read_text(path, ScenarioError), str(path))


def parse(text: str, name: str = "<scenario>") -> Scenario:
    """Validate a scenario given as TOML text; errors show `name` as the file. Raises ScenarioError."""
    return parse_toml(text, name, Scenario, cross_check, ScenarioError)


def with_overrides(scenario: Scenario, name: str, length_s: float | None, seed: int | None) -> Scenario:
    """Return the scenario with another length and another seed, where given.

    Raises ScenarioError, which shows `name` as the file, if its parts do not fit the length.
    """
    overrides = {"length_s": length_s, "seed": seed}
    changed = scenario.model_copy(
        update={key: value for key, value in overrides.items() if value is not None}
    )
    problems = [f"{name}: {'.'.join(map(str, path))}: {problem}" for path, problem in cross_check(changed)]
    if problems:
        raise ScenarioError("\n".join(problems))
    return changed
