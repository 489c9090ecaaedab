"""What `granitedock check-model` does: explore a world and report, or replay a trace step by step."""

from __future__ import annotations

from collections.abc import Callable

from granitedock.model_checking import explore
from granitedock.model_checking.errors import TraceError
from granitedock.model_checking.gateway_world import GatewayWorld
from granitedock.model_checking.gateway_world_shape import START_MS
from granitedock.model_checking.membership_world import MembershipWorld
from granitedock.model_checking.trace import Trace, WorldDescription, make_world, read_trace, write_trace

Echo = Callable[[str], None]

# Exit codes.
HOLDS = 0
VIOLATED = 1
INCOMPLETE = 2


def check(description: WorldDescription, max_states: int, workers: int, trace_path: str, echo: Echo) -> int:
    """Explore a world and report to `echo`; the exit code.

    0 if every state was visited and no property is violated, 1 if one is (its trace is written to
    `trace_path`), 2 if the limit of states was reached. Raises TraceError for a world that can't be made.
    """
    found = explore.explore(make_world(description), max_states, workers, echo)
    rate = found.states / found.seconds if found.seconds else 0.0
    echo(
        f"{found.states} states, {found.moves} moves, {found.ends} ends, {found.depth} deep, in "
        f"{found.seconds:.1f} s ({rate:.0f} states a second)"
    )
    if found.violations:
        write_trace(trace_path, Trace(description, found.trace), found.violations)
        echo_violations(found.violations, echo)
        echo(
            f"the shortest way there, of {len(found.trace)} moves, is kept in {trace_path}: "
            f"--replay {trace_path}"
        )
        return VIOLATED
    echo("no violation" if found.complete else f"no violation so far: ended at {max_states} states")
    return HOLDS if found.complete else INCOMPLETE


def replay(path: str, echo: Echo) -> int:
    """Replay a trace; the exit code: 1 if a property is violated at its end, else 0. Raises TraceError."""
    trace = read_trace(path)
    world = make_world(trace.world)
    violations: list[str] = []
    try:
        for move, found in explore.replay(world, trace.moves):
            violations = found
            echo(f"{' '.join(map(str, move)):<40} {summary(world)}")
    except ValueError as error:
        message = f"{path}: {error}"
        raise TraceError(message) from None
    echo_violations(violations, echo)
    return VIOLATED if violations else HOLDS


def echo_violations(violations: list[str], echo: Echo) -> None:
    """A line for each violated property."""
    for violation in violations:
        echo(f"BROKEN {violation}")


def summary(world: GatewayWorld | MembershipWorld) -> str:
    """The state in a line, as seen from the outside."""
    if isinstance(world, MembershipWorld):
        held = (f"g{node.number}: {len(world.live_members(node))} live" for node in world.running_nodes())
        return f"{world.now:8.1f} ms  {'  '.join(held)}"
    requests = []
    for name, request in sorted(world.requests.items()):
        sent = " ".join(f"h{attempt.host}:{attempt.ending}" for attempt in request.attempts.values())
        answers = " ".join(answer.kind for answer in request.answers)
        requests.append(f"{name} ({request.request_class}) [{sent}] {answers}".rstrip())
    return f"{world.now - START_MS:6.1f} ms  {'  '.join(requests)}"
