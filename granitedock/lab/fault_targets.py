"""Kinds of faults that a scenario's timeline may hold, and what each may be put on.

A target is written as a zone's name, one host as `zone/n`, `counter`, `discovery`, one gateway as `gateway/n`
or a group of gateways as `gateway/0-2,5`. The values of the enums are the words of the scenario file.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from enum import StrEnum

GATEWAY_PREFIX = "gateway"
GATEWAY_GROUP = re.compile(r"\d+(-\d+)?(,\d+(-\d+)?)*").fullmatch


class FaultKind(StrEnum):
    """What a fault of the timeline does to its target."""

    SLOW = "slow"
    ERRORS = "errors"
    BUSY = "busy"
    SILENT = "silent"
    HALF = "half"
    RESET = "reset"
    DRAIN = "drain"
    KILL = "kill"
    PAUSE = "pause"
    STOP = "stop"
    RESTART = "restart"
    CUT = "cut"
    IMPAIR = "wire"  # a link loses, delays or duplicates
    RESTART_EMPTY = "restart_empty"
    PARTITION = "partition"
    STALE = "stale"
    MOVE = "move"
    LATE_LISTS = "late_lists"
    WRONG_LISTS = "wrong_lists"
    FLAP = "flap"
    DOWN = "down"


class TargetKind(StrEnum):
    """What the target of a fault is."""

    ZONE = "zone"
    HOST = "host"
    COUNTER = "counter"
    DISCOVERY = "discovery"
    GATEWAY = "gateway"


class Party(StrEnum):
    """What a gateway's TCP links lead to."""

    COUNTER = "counter"
    DISCOVERY = "discovery"
    HOSTS = "hosts"


class Direction(StrEnum):
    """The direction in which a link fault acts, as seen from the fault's target."""

    BOTH = "both"
    IN = "in"
    OUT = "out"


ON_HOSTS = (TargetKind.ZONE, TargetKind.HOST)
ON_GATEWAYS = (TargetKind.GATEWAY,)
ON_COUNTER = (TargetKind.COUNTER,)
ON_DISCOVERY = (TargetKind.DISCOVERY,)

TARGETS: dict[FaultKind, tuple[TargetKind, ...]] = {
    FaultKind.SLOW: ON_HOSTS,
    FaultKind.ERRORS: ON_HOSTS,
    FaultKind.BUSY: ON_HOSTS,
    FaultKind.SILENT: ON_HOSTS,
    FaultKind.HALF: ON_HOSTS,
    FaultKind.RESET: ON_HOSTS,
    FaultKind.DRAIN: ON_HOSTS,
    FaultKind.KILL: (TargetKind.ZONE, TargetKind.HOST, TargetKind.COUNTER, TargetKind.GATEWAY),
    FaultKind.PAUSE: ON_GATEWAYS,
    FaultKind.STOP: ON_GATEWAYS,
    FaultKind.RESTART: ON_GATEWAYS,
    FaultKind.CUT: ON_GATEWAYS,
    FaultKind.IMPAIR: ON_GATEWAYS,
    FaultKind.RESTART_EMPTY: ON_COUNTER,
    FaultKind.PARTITION: (TargetKind.COUNTER, TargetKind.DISCOVERY),
    FaultKind.STALE: ON_COUNTER,
    FaultKind.MOVE: (TargetKind.COUNTER, TargetKind.DISCOVERY),
    FaultKind.LATE_LISTS: ON_DISCOVERY,
    FaultKind.WRONG_LISTS: ON_DISCOVERY,
    FaultKind.FLAP: (TargetKind.HOST,),
    FaultKind.DOWN: ON_DISCOVERY,
}
LINK_FAULTS = (FaultKind.CUT, FaultKind.IMPAIR)  # these have another side


def listed(kinds: Sequence[TargetKind]) -> str:
    """Kinds of targets as text: "zone, host or counter"."""
    *others, last = kinds
    return f"{', '.join(others)} or {last}" if others else str(last)


def gateway_numbers(target: str, gateways: int) -> list[int]:
    """The gateways that `gateway/n` or a group as `gateway/0-2,5` names; empty if one of them is unknown."""
    prefix, _, group = target.partition("/")
    if prefix != GATEWAY_PREFIX or not GATEWAY_GROUP(group):
        return []
    named: set[int] = set()
    for part in group.split(","):
        low, _, high = part.partition("-")
        if int(high or low) >= gateways:
            return []
        named |= set(range(int(low), int(high or low) + 1))
    return sorted(named)


def target_kinds(target: str, zones: dict[str, int], gateways: int = 0) -> set[TargetKind]:
    """What a target names; empty if it names nothing known. `zones` gives each zone's number of hosts."""
    if target in (TargetKind.COUNTER, TargetKind.DISCOVERY):
        return {TargetKind(target)}
    if target in zones:
        return {TargetKind.ZONE}
    if gateway_numbers(target, gateways):
        return {TargetKind.GATEWAY}
    zone, _, number = target.partition("/")
    if zone in zones and number.isdigit() and int(number) < zones[zone]:
        return {TargetKind.HOST}
    return set()
