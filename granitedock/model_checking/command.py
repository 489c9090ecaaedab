"""The command `granitedock check-model`: explores a world and reports, or replays a trace move by move."""

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
    """Explore a world, report to `echo` and return the exit code.

    The exit code is 0 if every state was visited and no property is violated, 1 if a property is violated
    (its trace is written to `trace_path`), and 2 if the limit of states was reached. Raises TraceError for
    an invalid description.
    """
    result = explore.explore(make_world(description), max_states, workers, echo)
    rate = result.states / result.seconds if result.seconds else 0.0
    echo(
        f"{result.states} states, {result.moves} moves, {result.ends} ends, {result.depth} deep, in "
        f"{result.seconds:.1f} s ({rate:.0f} states a second)"
    )
    if result.violations:
        write_trace(trace_path, Trace(description, result.trace), result.violations)
        echo_violations(result.violations, echo)
        echo(
            f"the shortest trace to the violation, of {len(result.trace)} moves, is stored in {trace_path}: "
            f"replay it with --replay {trace_path}"
        )
        return VIOLATED
    echo("no violation" if result.complete else f"no violation so far: ended at {max_states} states")
    return HOLDS if result.complete else INCOMPLETE


def replay(path: str, echo: Echo) -> int:
    """Replay a trace and return the exit code: 1 if a property is violated at its end, else 0.

    Raises TraceError for a file without a valid trace, and for a move that is not possible.
    """
    trace = read_trace(path)
    world = make_world(trace.world)
    violations: list[str] = []
    try:
        for move, current_violations in explore.replay(world, trace.moves):
            violations = current_violations
            echo(f"{' '.join(map(str, move)):<40} {summary(world)}")
    except ValueError as error:
        message = f"{path}: {error}"
        raise TraceError(message) from None
    echo_violations(violations, echo)
    return VIOLATED if violations else HOLDS


def echo_violations(violations: list[str], echo: Echo) -> None:
    """Write a line for each violated property."""
    for violation in violations:
        echo(f"BROKEN {violation}")


def summary(world: GatewayWorld | MembershipWorld) -> str:
    """Return the state in one line, as clients, hosts or members observe it."""
    if isinstance(world, MembershipWorld):
        views = (f"g{node.number}: {len(world.live_members(node))} live" for node in world.running_nodes())
        return f"{world.now:8.1f} ms  {'  '.join(views)}"
    requests = []
    for name, request in sorted(world.requests.items()):
        sent = " ".join(f"h{attempt.host}:{attempt.ending}" for attempt in request.attempts.values())
        answers = " ".join(answer.kind for answer in request.answers)
        requests.append(f"{name} ({request.request_class}) [{sent}] {answers}".rstrip())
    return f"{world.now - START_MS:6.1f} ms  {'  '.join(requests)}"
