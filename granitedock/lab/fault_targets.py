"""Kinds of faults that a scenario's timeline can contain, and the valid targets of each.

A target is written as a zone's name, a host as `zone/n`, `counter`, `discovery`, a gateway as `gateway/n`, or
a group of gateways as `gateway/0-2,5`. The values of the enums are the words of the scenario file.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from enum import StrEnum

GATEWAY_PREFIX = "gateway"
GATEWAY_GROUP = re.compile(r"\d+(-\d+)?(,\d+(-\d+)?)*").fullmatch


class FaultKind(StrEnum):
    """The effect of a fault of the timeline on its target."""

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
    IMPAIR = "wire"  # a link loses, delays or duplicates datagrams, and delays TCP streams
    RESTART_EMPTY = "restart_empty"
    PARTITION = "partition"
    STALE = "stale"
    MOVE = "move"
    LATE_LISTS = "late_lists"
    WRONG_LISTS = "wrong_lists"
    FLAP = "flap"
    DOWN = "down"


class TargetKind(StrEnum):
    """The kind of the target of a fault."""

    ZONE = "zone"
    HOST = "host"
    COUNTER = "counter"
    DISCOVERY = "discovery"
    GATEWAY = "gateway"


class Party(StrEnum):
    """The kind of service at the other end of a gateway's TCP link."""

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
LINK_FAULTS = (FaultKind.CUT, FaultKind.IMPAIR)  # kinds of faults that have another side


def format_target_kinds(kinds: Sequence[TargetKind]) -> str:
    """Return kinds of targets as text, such as "zone, host or counter"."""
    *others, last = kinds
    return f"{', '.join(others)} or {last}" if others else str(last)


def gateway_numbers(target: str, gateways: int) -> list[int]:
    """Return the numbers in `gateway/n` or a group such as `gateway/0-2,5`; empty if one is unknown."""
    prefix, _, group = target.partition("/")
    if prefix != GATEWAY_PREFIX or not GATEWAY_GROUP(group):
        return []
    numbers: set[int] = set()
    for part in group.split(","):
        low, _, high = part.partition("-")
        if int(high or low) >= gateways:
            return []
        numbers |= set(range(int(low), int(high or low) + 1))
    return sorted(numbers)


def target_kinds(target: str, zones: dict[str, int], gateways: int = 0) -> set[TargetKind]:
    """Return the kind of a target as a set, empty if the target is unknown.

    `zones` maps the name of each zone to its number of hosts.
    """
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
