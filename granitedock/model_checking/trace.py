"""Trace files: a world, the moves to a violation, and what is violated, as JSON.

{"world": "gateways" or "views", "shape": {...}, "moves": [["kill", 0], ...], "broken": ["rule 1: ..."]}
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import orjson

from granitedock.model_checking.errors import TraceError
from granitedock.model_checking.explore import Move
from granitedock.model_checking.gateway_world import GatewayWorld
from granitedock.model_checking.gateway_world_shape import CEILING_MARK, REQUEST_CLASSES, GatewayWorldShape
from granitedock.model_checking.membership_world import MembershipWorld, MembershipWorldShape

WorldDescription = dict[str, Any]  # the file's "world" and "shape"


@dataclass(frozen=True, slots=True)
class Trace:
    """The way from the first state of a world to another."""

    world: WorldDescription
    moves: list[Move]


def read_trace(path: str) -> Trace:
    """The trace in a file. Raises TraceError."""
    try:
        document = orjson.loads(Path(path).read_bytes())
        moves = [tuple(move) for move in document["moves"]]
    except (OSError, ValueError, KeyError, TypeError) as error:
        message = f"{path}: no trace: {type(error).__name__}: {error}"
        raise TraceError(message) from None
    return Trace(document, moves)


def write_trace(path: str, trace: Trace, violations: list[str]) -> None:
    """Write a trace file."""
    document = trace.world | {"moves": trace.moves, "broken": violations}
    Path(path).write_bytes(orjson.dumps(document))


def describe_gateways(shape: GatewayWorldShape) -> WorldDescription:
    """The description of a world of gateways with requests."""
    return {
        "world": "gateways",
        "shape": {
            "gateways": shape.gateways,
            "hosts": shape.hosts,
            "tasks": shape.requests,
            "faults": shape.faults,
            "warm": shape.warm_up_requests,
        },
    }


def describe_membership(shape: MembershipWorldShape) -> WorldDescription:
    """The description of a world of gateways' memberships."""
    return {"world": "views", "shape": asdict(shape)}


def make_world(description: WorldDescription) -> GatewayWorld | MembershipWorld:
    """The first state of the world that is described. Raises TraceError."""
    try:
        if description["world"] == "views":
            return MembershipWorld(MembershipWorldShape(**description["shape"]))
        shape = read_gateway_shape(description["shape"])
    except (KeyError, TypeError) as error:
        message = f"no world: {type(error).__name__}: {error}"
        raise TraceError(message) from None
    check_shape(shape)
    return GatewayWorld(shape)


def read_gateway_shape(fields: dict[str, Any]) -> GatewayWorldShape:
    """The shape of a world of gateways from its fields in a file. Raises KeyError or TypeError."""
    names = {"tasks": "requests", "warm": "warm_up_requests"}  # the file's, and here
    renamed = {names.get(name, name): value for name, value in fields.items()}
    return GatewayWorldShape(**(renamed | {"requests": tuple(fields["tasks"])}))


def check_shape(shape: GatewayWorldShape) -> None:
    """Raise TraceError for a world of gateways that can't be made."""
    classes = [request.rstrip(CEILING_MARK) for request in shape.requests]
    if not classes or any(request_class not in REQUEST_CLASSES for request_class in classes):
        known = ", ".join(REQUEST_CLASSES)
        message = f"no tasks: {shape.requests}; they are of {known}, with a ! under a ceiling"
        raise TraceError(message)
    if min(shape.gateways, shape.hosts) < 1 or min(shape.faults, shape.warm_up_requests) < 0:
        message = "a world has a gateway, a host, and no fewer faults than none"
        raise TraceError(message)
