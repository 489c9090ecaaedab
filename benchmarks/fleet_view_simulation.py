"""Simulated cases of `fleet_view.py sim`: what the membership protocol costs, and how soon it knows."""

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

TIMINGS = {"view": Timing(), "view without Lifeguard's parts": without_lifeguard(Timing())}
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
STARVED_EVERY = 10  # one member in so many is starved
STARVED_PROBABILITY = 0.3  # in each second
SECONDS_AN_HOUR = 3600


class DetectionCase(NamedTuple):
    """Crashes, or silences, one after another."""

    protocol: str
    gateways: int
    silent: bool
    crashes: int


@dataclass(frozen=True, slots=True)
class DetectionResult:
    """The ms until all others knew of each end, and until each other member knew."""

    case: DetectionCase
    to_all_ms: list[float] = field(default_factory=list)
    to_each_ms: list[float] = field(default_factory=list)


class FleetCase(NamedTuple):
    """A fleet of one protocol."""

    protocol: str
    gateways: int


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Messages and bytes a second a member, while nothing happens."""

    case: FleetCase
    messages_a_second: float
    bytes_a_second: float


@dataclass(frozen=True, slots=True)
class PartitionResult:
    """The ms until both sides have settled, and until all agree after the partition's end."""

    case: FleetCase
    settled_ms: float
    healed_ms: float


class FalseDeathCase(NamedTuple):
    """Members under message loss; one in `STARVED_EVERY` is starved for 0.5 to 1.5 s again and again, where
    that is asked for."""

    protocol: str
    gateways: int
    loss: float
    starved: bool


@dataclass(frozen=True, slots=True)
class FalseDeathResult:
    """Healthy and starved members declared dead, an hour over the whole fleet. A death counts once, however
    many members hold it."""

    case: FalseDeathCase
    healthy_an_hour: float
    starved_an_hour: float


def death_recorder(name: str, started_at: float, known_ms: dict[int, float]) -> Callable[..., None]:
    """A watcher of member changes that notes when each gateway learns of this member's end."""

    def record(now: float, node: Any, change: Any) -> None:
        if change.member.name == name and change.member.state not in LIVE_STATES:
            known_ms.setdefault(node.number, now - started_at)

    return record


def reached(known_ms: dict[int, float], count: int) -> bool:
    """Whether so many gateways know."""
    return len(known_ms) >= count


def measure_detection(case: DetectionCase) -> DetectionResult:
    """Each member in turn ends and starts again."""
    count = case.gateways
    world = MembershipSimulation(count, count + case.silent, TIMINGS[case.protocol], already_joined=True)
    world.run(JOIN_MS)
    result = DetectionResult(case)
    for crash in range(case.crashes):
        number = 1 + crash % (count - 1)
        known_ms: dict[int, float] = {}
        world.on_change = death_recorder(f"g{number:04d}", world.now, known_ms)
        world.crash(number, case.silent)
        all_know = partial(reached, known_ms, count - 1)
        world.run_until(all_know, DETECTION_MS, DETECTION_CHECK_MS)
        result.to_all_ms.append(max(known_ms.values()) if all_know() else DETECTION_MS)
        result.to_each_ms.extend(known_ms.values())
        world.on_change = lambda *_: None
        world.start(number)
        world.run(RESTART_MS)
    return result


def measure_load(case: FleetCase) -> LoadResult:
    """A fleet at rest."""
    count = case.gateways
    world = MembershipSimulation(
        count, 3, TIMINGS[case.protocol], NetworkConditions(measure_bytes=True), already_joined=True
    )
    world.run(JOIN_MS)
    for node in world.nodes:
        node.sent = 0
        node.sent_bytes = 0
    seconds = LARGE_LOAD_S if count > LARGE_FLEET else LOAD_S
    world.run(seconds * 1000)
    messages = sum(node.sent for node in world.nodes)
    volume = sum(node.sent_bytes for node in world.nodes)
    return LoadResult(case, messages / count / seconds, volume / count / seconds)


def measure_partition(case: FleetCase) -> PartitionResult:
    """A partition into halves, and its heal."""
    count = case.gateways
    world = MembershipSimulation(count, 5, TIMINGS[case.protocol], already_joined=True)
    world.run(2000)
    halves = range(count // 2), range(count // 2, count)
    world.partition(*halves)
    settled_ms = world.run_until(
        lambda: all(world.views_agree(half) for half in halves), PARTITION_MS, AGREEMENT_CHECK_MS
    )
    world.run(PARTITION_MS - settled_ms)
    world.heal()
    return PartitionResult(case, settled_ms, world.run_until(world.views_agree, HEAL_MS, AGREEMENT_CHECK_MS))


def measure_false_deaths(case: FalseDeathCase) -> FalseDeathResult:
    """Nobody ends, and some are declared dead nevertheless."""
    count = case.gateways
    random_source = random.Random(7)
    world = MembershipSimulation(
        count, 11, TIMINGS[case.protocol], NetworkConditions(loss=case.loss), already_joined=True
    )
    deaths: set[tuple[str, int]] = set()

    def record(_now: float, _node: Any, change: Any) -> None:
        if change.member.state not in LIVE_STATES:
            deaths.add((change.member.name, change.member.refutations))

    world.on_change = record
    starved = set(range(0, count, STARVED_EVERY)) if case.starved else set()
    seconds = FALSE_DEATH_S[count]
    for _ in range(seconds):
        for number in starved:
            if random_source.random() < STARVED_PROBABILITY:
                world.pause(number, random_source.uniform(500, 1500))
        world.run(1000)
    healthy = sum(int(name[1:]) not in starved for name, _ in deaths)
    return FalseDeathResult(
        case,
        healthy_an_hour=healthy * SECONDS_AN_HOUR / seconds,
        starved_an_hour=(len(deaths) - healthy) * SECONDS_AN_HOUR / seconds,
    )
