"""The condition of an emulated host under its faults, and its reply to one request.

This module uses no sockets and no clock: the emulator calls `host_condition` with the time since the run
started and `draw_reply` with a random generator, and carries out the result. A fault of a zone affects all
hosts of the zone at the same moment, because a zone slows down as a whole. Source: docs/lab-design.md ("How a
host's life is scripted").
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import log
from random import Random

from granitedock.lab.fault_targets import FaultKind
from granitedock.lab.scenario import Fault, Scenario, Service, Zone

COLD_SLOWDOWN = 4.0  # the caches and pools of a host that has just started are still empty
FLAP_MS = 1000.0  # a flapping host is alternately down and up for this time


class ReplyKind(StrEnum):
    """How a host replies to a request."""

    VALUE = "value"  # replies with a value
    ERROR = "error"  # replies with an error line
    BUSY = "busy"  # replies -BUSY without processing the request
    SILENT = "silent"  # accepts the request and never replies
    HALF = "half"  # writes part of the reply and stalls
    RESET = "reset"  # resets the connection


# The reply of a host under each fault. If several faults hit a request, the first in this order applies, as a
# silent host neither returns errors nor drains. A draining host still replies to requests it has accepted.
REPLY_UNDER_FAULT = {
    FaultKind.SILENT: ReplyKind.SILENT,
    FaultKind.HALF: ReplyKind.HALF,
    FaultKind.RESET: ReplyKind.RESET,
    FaultKind.BUSY: ReplyKind.BUSY,
    FaultKind.ERRORS: ReplyKind.ERROR,
    FaultKind.DRAIN: ReplyKind.VALUE,
}
IMMEDIATE_REPLIES = (ReplyKind.BUSY, ReplyKind.RESET)  # sent without service time


@dataclass(frozen=True, slots=True)
class ReplyFault:
    """A fault that changes replies, and the share of requests that it affects."""

    kind: FaultKind
    rate: float


@dataclass(frozen=True, slots=True)
class HostCondition:
    """The condition of a host at a moment.

    `slowdown` multiplies the service time; a host that is `down` has no connections.
    """

    slowdown: float = 1.0
    reply_faults: tuple[ReplyFault, ...] = ()
    down: bool = False


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply of a host to one request, sent `after_ms` after the host starts to process it."""

    kind: ReplyKind
    after_ms: float


def faults_of_host(scenario: Scenario, zone: Zone, number: int) -> list[Fault]:
    """Return the faults of the timeline that affect host `number` of `zone`, in the order of the file."""
    names = (zone.name, f"{zone.name}/{number}")
    return [fault for fault in scenario.timeline if fault.target in names]


def host_condition(
    faults: list[Fault], warm_up_s: float, since_start_ms: float, up_since_ms: float = 0.0
) -> HostCondition:
    """Return a host's condition `since_start_ms` after the run started; it is up since `up_since_ms`."""
    slowdown = 1.0
    reply_faults = []
    down = False
    for fault in faults:
        started = since_start_ms >= fault.at_s * 1000.0
        ended = fault.for_s and since_start_ms >= (fault.at_s + fault.for_s) * 1000.0
        if not started or ended:
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
    """Draw a host's service time for a request in ms, before any slowdown."""
    if service.kind == "fixed":
        return service.mean_ms
    if service.kind == "exponential":
        return random.expovariate(1.0 / service.mean_ms)
    # The log-normal distribution with the mean mean_ms has mu = ln(mean_ms) - sigma^2 / 2.
    return random.lognormvariate(log(service.mean_ms) - service.sigma**2 / 2, service.sigma)


def draw_reply(condition: HostCondition, service: Service, random: Random) -> Reply:
    """Draw the reply of a host in this condition to a request that it starts to process now.

    This is never called for a host that is down, because its connections are closed.
    """
    service_ms = draw_service_ms(service, random) * condition.slowdown
    for kind, reply in REPLY_UNDER_FAULT.items():
        for fault in condition.reply_faults:
            if fault.kind == kind and random.random() < fault.rate:
                return Reply(reply, 0.0 if reply in IMMEDIATE_REPLIES else service_ms)
    return Reply(ReplyKind.VALUE, service_ms)
