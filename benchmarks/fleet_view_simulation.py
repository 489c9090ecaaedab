"""Simulated cases of `fleet_view.py sim`: the cost and the detection times of the membership protocol."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, NamedTuple

from granitedock.lab.simulators.membership_simulation import MembershipSimulation, without_lifeguard
from granitedock.lab.simulators.simulated_network import NetworkConditions
from granitedock.membership.member import LIVE_STATES
from granitedock.membership.timing import Timing

TIMINGS = {"view": Timing(), "view without Lifeguard": without_lifeguard(Timing())}
JOIN_MS = 3000
DETECTION_MS = 30_000
DETECTION_CHECK_MS = 25.0
RESTART_MS = 5000
PARTITION_MS = 20_000
HEAL_MS = 60_000
AGREEMENT_CHECK_MS = 100.0
LARGE_FLEET = 500
LOAD_S = 60
LARGE_LOAD_S = 10
FALSE_DEATH_S = {10: 1800, 40: 900, 200: 120, 1000: 15}  # simulated seconds by fleet size
STARVED_EVERY = 10  # one of this many members is starved
STARVED_PROBABILITY = 0.3  # per second
SECONDS_PER_HOUR = 3600


class DetectionCase(NamedTuple):
    """Crashes of one member after another; with `silent` their machines fail too and refuse no connection."""

    protocol: str
    gateways: int
    silent: bool
    crashes: int


@dataclass(frozen=True, slots=True)
class DetectionResult:
    """The ms until all other members detect each end, and until each of them does.

    `to_all_ms` is DETECTION_MS for an end that some member has not detected by then; `to_each_ms` has no
    entry for that member.
    """

    case: DetectionCase
    to_all_ms: list[float] = field(default_factory=list)
    to_each_ms: list[float] = field(default_factory=list)


class FleetCase(NamedTuple):
    """A fleet that runs one protocol."""

    protocol: str
    gateways: int


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Messages and bytes per second and member of an idle fleet."""

    case: FleetCase
    messages_per_s: float
    bytes_per_s: float


@dataclass(frozen=True, slots=True)
class PartitionResult:
    """The ms until each half of a partition agrees, and until all agree after its heal."""

    case: FleetCase
    halves_agreed_ms: float
    healed_ms: float


class FalseDeathCase(NamedTuple):
    """Members under message loss.

    With `starved`, one of `STARVED_EVERY` is repeatedly starved for 0.5 to 1.5 s.
    """

    protocol: str
    gateways: int
    loss: float
    starved: bool


@dataclass(frozen=True, slots=True)
class FalseDeathResult:
    """Healthy and starved members declared dead per hour in the whole fleet.

    A false death counts once, however many members record it.
    """

    case: FalseDeathCase
    healthy_per_hour: float
    starved_per_hour: float


def death_recorder(name: str, started_at: float, detected_ms: dict[int, float]) -> Callable[..., None]:
    """Return an observer of member changes that records when each gateway detects the member's end."""

    def record(now: float, node: Any, change: Any) -> None:
        if change.member.name == name and change.member.state not in LIVE_STATES:
            detected_ms.setdefault(node.number, now - started_at)

    return record


def is_detected_by(detected_ms: dict[int, float], count: int) -> bool:
    """Return whether at least `count` gateways have detected the end."""
    return len(detected_ms) >= count


def measure_detection(case: DetectionCase) -> DetectionResult:
    """Measure the detection of members that end and start again, one after another."""
    count = case.gateways
    simulation = MembershipSimulation(count, count + case.silent, TIMINGS[case.protocol], already_joined=True)
    simulation.run(JOIN_MS)
    result = DetectionResult(case)
    for crash in range(case.crashes):
        number = 1 + crash % (count - 1)
        detected_ms: dict[int, float] = {}
        simulation.on_change = death_recorder(f"g{number:04d}", simulation.now, detected_ms)
        simulation.crash(number, case.silent)
        all_detected = partial(is_detected_by, detected_ms, count - 1)
        simulation.run_until(all_detected, DETECTION_MS, DETECTION_CHECK_MS)
        result.to_all_ms.append(max(detected_ms.values()) if all_detected() else DETECTION_MS)
        result.to_each_ms.extend(detected_ms.values())
        simulation.on_change = lambda *_: None
        simulation.start(number)
        simulation.run(RESTART_MS)
    return result


def measure_load(case: FleetCase) -> LoadResult:
    """Measure the load of an idle fleet."""
    count = case.gateways
    simulation = MembershipSimulation(
        count, 3, TIMINGS[case.protocol], NetworkConditions(measure_bytes=True), already_joined=True
    )
    simulation.run(JOIN_MS)
    for node in simulation.nodes:
        node.sent = 0
        node.sent_bytes = 0
    seconds = LARGE_LOAD_S if count > LARGE_FLEET else LOAD_S
    simulation.run(seconds * 1000)
    messages = sum(node.sent for node in simulation.nodes)
    sent_bytes = sum(node.sent_bytes for node in simulation.nodes)
    return LoadResult(case, messages / count / seconds, sent_bytes / count / seconds)


def measure_partition(case: FleetCase) -> PartitionResult:
    """Measure the agreement after a partition into halves, and after its heal."""
    count = case.gateways
    simulation = MembershipSimulation(count, 5, TIMINGS[case.protocol], already_joined=True)
    simulation.run(2000)
    halves = range(count // 2), range(count // 2, count)
    simulation.partition(*halves)
    halves_agreed_ms = simulation.run_until(
        lambda: all(simulation.views_agree(half) for half in halves), PARTITION_MS, AGREEMENT_CHECK_MS
    )
    simulation.run(PARTITION_MS - halves_agreed_ms)
    simulation.heal()
    return PartitionResult(
        case, halves_agreed_ms, simulation.run_until(simulation.views_agree, HEAL_MS, AGREEMENT_CHECK_MS)
    )


def measure_false_deaths(case: FalseDeathCase) -> FalseDeathResult:
    """Count members that are declared dead although none ends."""
    count = case.gateways
    random_source = random.Random(7)
    simulation = MembershipSimulation(
        count, 11, TIMINGS[case.protocol], NetworkConditions(loss=case.loss), already_joined=True
    )
    deaths: set[tuple[str, int]] = set()

    def record(_now: float, _node: Any, change: Any) -> None:
        if change.member.state not in LIVE_STATES:
            deaths.add((change.member.name, change.member.refutations))

    simulation.on_change = record
    starved = set(range(0, count, STARVED_EVERY)) if case.starved else set()
    seconds = FALSE_DEATH_S[count]
    for _ in range(seconds):
        for number in starved:
            if random_source.random() < STARVED_PROBABILITY:
                simulation.pause(number, random_source.uniform(500, 1500))
        simulation.run(1000)
    healthy = sum(int(name[1:]) not in starved for name, _ in deaths)
    return FalseDeathResult(
        case,
        healthy_per_hour=healthy * SECONDS_PER_HOUR / seconds,
        starved_per_hour=(len(deaths) - healthy) * SECONDS_PER_HOUR / seconds,
    )
