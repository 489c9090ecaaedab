"""Trace files: a world, the moves to a violation, and the violated properties, as JSON.

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

WorldDescription = dict[str, Any]  # The file's "world" and "shape".


@dataclass(frozen=True, slots=True)
class Trace:
    """The moves from the initial state of a world to another state."""

    world: WorldDescription
    moves: list[Move]


def read_trace(path: str) -> Trace:
    """Return the trace in a file. Raises TraceError if the file is unreadable or contains no trace."""
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
    """Return the description of a world of gateways with requests."""
    return {
        "world": "gateways",
        "shape": {
            "gateways": shape.gateways,
            "hosts": shape.hosts,
            "tasks": shape.requests,
            "faults": shape.faults,
            "warm": shape.warm_up_requests,
        }
        | ({"replacement": True} if shape.replacement else {}),
    }


def describe_membership(shape: MembershipWorldShape) -> WorldDescription:
    """Return the description of a world of gateways' memberships."""
    return {"world": "views", "shape": asdict(shape)}


def make_world(description: WorldDescription) -> GatewayWorld | MembershipWorld:
    """Return the initial state of the described world. Raises TraceError for an invalid description."""
    try:
        if description["world"] == "views":
            return MembershipWorld(MembershipWorldShape(**description["shape"]))
        shape = read_gateway_shape(description["shape"])
    except (KeyError, TypeError) as error:
        message = f"invalid description of a world: {type(error).__name__}: {error}"
        raise TraceError(message) from None
    check_shape(shape)
    return GatewayWorld(shape)


def read_gateway_shape(fields: dict[str, Any]) -> GatewayWorldShape:
    """Return the shape of a world of gateways from its fields in a file. Raises KeyError or TypeError."""
    # The names of fields by their names in the file, if these differ.
    field_names = {"tasks": "requests", "warm": "warm_up_requests"}
    renamed = {field_names.get(name, name): value for name, value in fields.items()}
    return GatewayWorldShape(**(renamed | {"requests": tuple(fields["tasks"])}))


def check_shape(shape: GatewayWorldShape) -> None:
    """Raise TraceError for an invalid shape of a world of gateways."""
    classes = [request.rstrip(CEILING_MARK) for request in shape.requests]
    if not classes or any(request_class not in REQUEST_CLASSES for request_class in classes):
        class_names = ", ".join(REQUEST_CLASSES)
        message = f"no tasks: {shape.requests}; expected {class_names}, with a ! under a ceiling"
        raise TraceError(message)
    if min(shape.gateways, shape.hosts) < 1 or min(shape.faults, shape.warm_up_requests) < 0:
        message = "a world needs at least 1 gateway and 1 host; faults and warm-up requests are at least 0"
        raise TraceError(message)
