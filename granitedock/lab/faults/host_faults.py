"""The condition of an emulated host under its faults, and what it does with one request.

No sockets and no clock: the emulator asks `host_condition` with the time since the run began, and
`draw_reply` with a source of chance, and carries the answer out. Faults of a zone reach all its hosts at the
same moment, as a zone slows as a whole. Source: docs/lab-design.md ("How a host's life is scripted").
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import log
from random import Random

from granitedock.lab.fault_targets import FaultKind
from granitedock.lab.scenario import Fault, Scenario, Service, Zone

COLD_SLOWDOWN = 4.0  # a host that has just started: its caches and pools are still empty
FLAP_MS = 1000.0  # a flapping host is out and in, so long each


class ReplyKind(StrEnum):
    """What a host does with a request."""

    VALUE = "value"  # answers
    ERROR = "error"  # answers an error line
    BUSY = "busy"  # answers -BUSY, having done nothing
    SILENT = "silent"  # takes it and never answers
    HALF = "half"  # writes part of the answer and stalls
    RESET = "reset"  # ends the connection


# What a host does under a fault; of several that hit a request, the first in this order wins, as a host that
# is silent neither errs nor drains. A draining host still answers what it has taken.
REPLY_UNDER_FAULT = {
    FaultKind.SILENT: ReplyKind.SILENT,
    FaultKind.HALF: ReplyKind.HALF,
    FaultKind.RESET: ReplyKind.RESET,
    FaultKind.BUSY: ReplyKind.BUSY,
    FaultKind.ERRORS: ReplyKind.ERROR,
    FaultKind.DRAIN: ReplyKind.VALUE,
}
IMMEDIATE_REPLIES = (ReplyKind.BUSY, ReplyKind.RESET)  # these take no service time


@dataclass(frozen=True, slots=True)
class ReplyFault:
    """A fault that changes replies, and the share of requests that it hits."""

    kind: FaultKind
    rate: float


@dataclass(frozen=True, slots=True)
class HostCondition:
    """A host at a moment: how much slower than its own service, the faults of its replies, and whether it is
    down."""

    slowdown: float = 1.0
    reply_faults: tuple[ReplyFault, ...] = ()
    down: bool = False


@dataclass(frozen=True, slots=True)
class Reply:
    """What a host does with one request, and how long after the request came whole, in ms."""

    kind: ReplyKind
    after_ms: float


def faults_of_host(scenario: Scenario, zone: Zone, number: int) -> list[Fault]:
    """The faults of the timeline that reach host `number` of `zone`, in the order of the file."""
    names = (zone.name, f"{zone.name}/{number}")
    return [fault for fault in scenario.timeline if fault.target in names]


def host_condition(
    faults: list[Fault], warm_up_s: float, since_start_ms: float, up_since_ms: float = 0.0
) -> HostCondition:
    """A host's condition `since_start_ms` after the run began, if it came up at `up_since_ms`."""
    slowdown = 1.0
    reply_faults = []
    down = False
    for fault in faults:
        begun = since_start_ms >= fault.at_s * 1000.0
        over = fault.for_s and since_start_ms >= (fault.at_s + fault.for_s) * 1000.0
        if not begun or over:
            continue
        if fault.kind == FaultKind.SLOW:
            slowdown *= fault.factor
        elif fault.kind == FaultKind.KILL:
            down = True
        elif fault.kind == FaultKind.FLAP:
            down = int((since_start_ms - fault.at_s * 1000.0) // FLAP_MS) % 2 == 0
        elif fault.kind in REPLY_UNDER_FAULT:
            reply_faults.append(ReplyFault(fault.kind, fault.rate))
    if warm_up_s and since_start_ms - up_since_ms < warm_up_s * 1000.0:
        slowdown *= COLD_SLOWDOWN
    return HostCondition(slowdown, tuple(reply_faults), down)


def draw_service_ms(service: Service, random: Random) -> float:
    """One draw of a host's own time for a request, in ms (before any slowing)."""
    if service.kind == "fixed":
        return service.mean_ms
    if service.kind == "exponential":
        return random.expovariate(1.0 / service.mean_ms)
    # A log-normal whose mean is mean_ms: mu = ln(mean) - sigma^2 / 2.
    return random.lognormvariate(log(service.mean_ms) - service.sigma**2 / 2, service.sigma)


def draw_reply(condition: HostCondition, service: Service, random: Random) -> Reply:
    """What a host in this condition does with a request that came now. A host that is down is not asked, as
    its connections end."""
    service_ms = draw_service_ms(service, random) * condition.slowdown
    for kind, reply in REPLY_UNDER_FAULT.items():
        for fault in condition.reply_faults:
            if fault.kind == kind and random.random() < fault.rate:
                return Reply(reply, 0.0 if reply in IMMEDIATE_REPLIES else service_ms)
    return Reply(ReplyKind.VALUE, service_ms)
