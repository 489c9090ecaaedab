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
from granitedock.model_checking.gateways import KINDS, Shape, Small
from granitedock.model_checking.views import Fleet, Views

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


def describe_gateways(shape: Shape) -> WorldDescription:
    """The description of a world of gateways with requests."""
    return {"world": "gateways", "shape": asdict(shape)}


def describe_views(fleet: Fleet) -> WorldDescription:
    """The description of a world of gateways' membership views."""
    return {"world": "views", "shape": asdict(fleet)}


def make_world(description: WorldDescription) -> Small | Views:
    """The first state of the world that is described. Raises TraceError."""
    try:
        if description["world"] == "views":
            return Views(Fleet(**description["shape"]))
        fields = description["shape"]
        shape = Shape(**(fields | {"tasks": tuple(fields["tasks"])}))
    except (KeyError, TypeError) as error:
        message = f"no world: {type(error).__name__}: {error}"
        raise TraceError(message) from None
    check_shape(shape)
    return Small(shape)


def check_shape(shape: Shape) -> None:
    """Raise TraceError for a world of gateways that can't be made."""
    if not shape.tasks or any(task.rstrip("!") not in KINDS for task in shape.tasks):
        message = f"no tasks: {shape.tasks}; they are of {', '.join(KINDS)}, with a ! under a ceiling"
        raise TraceError(message)
    if min(shape.gateways, shape.hosts) < 1 or min(shape.faults, shape.warm) < 0:
        message = "a world has a gateway, a host, and no fewer faults than none"
        raise TraceError(message)
