"""The scripted life of an emulated host: what it is at a moment, and what it does with one task.

No sockets and no clock: the emulator asks `condition` with the time since the run began, in ms, and `reply`
with a source of chance, and carries the answer out. Faults of a zone reach all its hosts at the same moment,
which is what a zone that slows together needs. Source: docs/lab-design.md ("How a host's life is scripted").
"""

from __future__ import annotations

from dataclasses import dataclass
from math import log
from random import Random

from granitedock.lab.scenario import Fault, Scenario, Service, Zone

# Faults that change what a host does with a task, and the reply each gives; the first that holds wins, in
# this order, as a host that is silent neither errs nor drains.
WHAT_IT_DOES = {
    "silent": "silent",  # takes the task and never answers
    "half": "half",  # writes part of the answer and stalls
    "reset": "reset",  # ends the connection under the task
    "busy": "busy",  # answers -BUSY
    "errors": "error",  # answers an error line
    "drain": "drain",  # listed as draining: answers what it has, and then leaves
}


@dataclass(frozen=True, slots=True)
class Condition:
    """What a host is at a moment: how much slower than its own service, and the faults that hold, each with
    the share of tasks it hits."""

    slower: float = 1.0
    hits: tuple[tuple[str, float], ...] = ()
    gone: bool = False


@dataclass(frozen=True, slots=True)
class Reply:
    """What a host does with one task: `kind` is "value", "error", "busy", "silent", "half" or "reset";
    `after_ms` is when it does it, from the moment the task came whole."""

    kind: str
    after_ms: float


def faults_of(scenario: Scenario, zone: Zone, number: int) -> list[Fault]:
    """The faults of the timeline that reach host `number` of `zone`, in the order of the file."""
    names = (zone.name, f"{zone.name}/{number}")
    return [fault for fault in scenario.timeline if fault.target in names]


def condition(
    faults: list[Fault], cold_s: float, since_start_ms: float, up_since_ms: float = 0.0
) -> Condition:
    """What a host is `since_start_ms` after the run began, if it came up at `up_since_ms`."""
    slower, hits, gone = 1.0, [], False
    for fault in faults:
        begun = since_start_ms >= fault.at_s * 1000.0
        over = fault.for_s and since_start_ms >= (fault.at_s + fault.for_s) * 1000.0
        if not begun or over:
            continue
        if fault.what == "slow":
            slower *= fault.factor
        elif fault.what == "kill":
            gone = True
        elif fault.what == "flap":
            gone = int((since_start_ms - fault.at_s * 1000.0) // 1000.0) % 2 == 0  # out and in, a second each
        elif fault.what in WHAT_IT_DOES:
            hits.append((fault.what, fault.rate))
    if cold_s and since_start_ms - up_since_ms < cold_s * 1000.0:
        slower *= 4.0  # a cold host: caches and pools still empty
    return Condition(slower, tuple(hits), gone)


def service_ms(service: Service, chance: Random) -> float:
    """One draw of a host's own time for a task, in ms (before any slowing)."""
    if service.kind == "fixed":
        return service.mean_ms
    if service.kind == "exponential":
        return chance.expovariate(1.0 / service.mean_ms)
    # A log-normal whose mean is mean_ms: mu = ln(mean) - sigma^2 / 2.
    return chance.lognormvariate(log(service.mean_ms) - service.sigma**2 / 2, service.sigma)


def reply(state: Condition, service: Service, chance: Random) -> Reply:
    """What a host in `state` does with the task that came now; a gone host is not asked, as its connections
    end."""
    took = service_ms(service, chance) * state.slower
    for what in WHAT_IT_DOES:
        for hit, rate in state.hits:
            if hit == what and chance.random() < rate:
                kind = WHAT_IT_DOES[what]
                if kind == "drain":
                    return Reply("value", took)  # what it has taken is still answered
                return Reply(kind, 0.0 if kind in ("busy", "reset") else took)
    return Reply("value", took)
