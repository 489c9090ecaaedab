"""What `granitedock check-model` does: explore a world and report, or play a trace again step by step."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import orjson

from granitedock.model_checking import explore
from granitedock.model_checking.gateways import KINDS, START, Shape, Small
from granitedock.model_checking.views import Fleet, Views

Say = Callable[[str], None]


class TraceError(ValueError):
    """A file that holds no trace, or one that does not fit the program as it is now."""


def world_of(told: dict[str, Any]) -> Any:
    """The first state of the world that is told. Raises TraceError."""
    try:
        if told["world"] == "views":
            return Views(Fleet(**told["shape"]))
        shape = Shape(**(told["shape"] | {"tasks": tuple(told["shape"]["tasks"])}))
    except (KeyError, TypeError) as fault:
        raise TraceError(f"no world: {type(fault).__name__}: {fault}") from None
    if not shape.tasks or any(task.rstrip("!") not in KINDS for task in shape.tasks):
        raise TraceError(f"no tasks: {shape.tasks}; they are of {', '.join(KINDS)}, with a ! under a ceiling")
    if min(shape.gateways, shape.hosts) < 1 or min(shape.faults, shape.warm) < 0:
        raise TraceError("a world has a gateway, a host, and no fewer faults than none")
    return Small(shape)


def check(told: dict[str, Any], most: int, workers: int, keep: str, say: Say) -> int:
    """Explore; 0 if every state was visited and nothing broke, 1 if something did (its trace is kept in the
    file `keep`), 2 if the number of states ended it."""
    found = explore.explore(world_of(told), most, workers, say)
    rate = found.states / found.seconds if found.seconds else 0.0
    say(
        f"{found.states} states, {found.moves} moves, {found.ends} ends, {found.depth} deep, in "
        f"{found.seconds:.1f} s ({rate:.0f} states a second)"
    )
    if found.broken:
        Path(keep).write_bytes(orjson.dumps(told | {"moves": found.trace, "broken": found.broken}))
        for line in found.broken:
            say(f"BROKEN {line}")
        say(f"the shortest way there, of {len(found.trace)} moves, is kept in {keep}: --replay {keep}")
        return 1
    say("no violation" if found.complete else f"no violation so far: ended at {most} states")
    return 0 if found.complete else 2


def replay(path: str, say: Say) -> int:
    """Play a trace; 1 if something is broken at its end, as it was told, else 0. Raises TraceError."""
    try:
        told = orjson.loads(Path(path).read_bytes())
        moves = [tuple(move) for move in told["moves"]]
    except (OSError, ValueError, KeyError, TypeError) as fault:
        raise TraceError(f"{path}: no trace: {type(fault).__name__}: {fault}") from None
    world, wrong = world_of(told), []
    try:
        for move, found in explore.replay(world, moves):
            wrong = found
            say(f"{' '.join(map(str, move)):<40} {summary(world)}")
    except ValueError as fault:
        raise TraceError(f"{path}: {fault}") from None
    for line in wrong:
        say(f"BROKEN {line}")
    return 1 if wrong else 0


def summary(world: Any) -> str:
    """The state in a line, as seen from the outside."""
    if isinstance(world, Views):
        held = (f"g{node.number}: {len(world.live_of(node))} live" for node in world.running())
        return f"{world.now:8.1f} ms  {'  '.join(held)}"
    said = []
    for name, job in sorted(world.jobs.items()):
        sent = " ".join(f"h{host}:{how}" for host, _, _, how in job.attempts.values())
        answers = " ".join(kind for _, kind in job.answers)
        said.append(f"{name} ({job.request_class}) [{sent}] {answers}".rstrip())
    return f"{world.now - START:6.1f} ms  {'  '.join(said)}"


def shape_of(shape: Shape) -> dict[str, Any]:
    return {"world": "gateways", "shape": asdict(shape)}


def fleet_of(fleet: Fleet) -> dict[str, Any]:
    return {"world": "views", "shape": asdict(fleet)}
