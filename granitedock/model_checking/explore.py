"""Breadth-first search of all states of a small world, through the moves that are possible in each.

A world lists its moves, plays one of them, reports the properties that it violates and has a digest; states
with the same digest are visited once. The frontier consists of pickled states, whose moves worker processes
play. The search records the parent and the move of each state, so that it reports a violation with the
shortest trace to it, which can be replayed.
"""

from __future__ import annotations

import pickle
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from granitedock.model_checking.errors import ImpossibleMoveError

Move = tuple[str | int, ...]  # The move's name and its arguments; a JSON list in a trace file.
Digest = bytes
PickledWorld = bytes

MAX_CHUNK_STATES = 64
CHUNKS_PER_WORKER = 4


class World(Protocol):
    """A state of a small system with several possible continuations."""

    def moves(self) -> list[Move]:
        """Return all moves that are possible next; an end state has none."""
        ...

    def play(self, move: Move) -> None:
        """Carry out one of the possible moves."""
        ...

    def violations(self) -> list[str]:
        """Return the properties that do not hold in this state, a line each."""
        ...

    def digest(self) -> Digest:
        """Return the state's digest, which is equal for states with the same possible continuations."""
        ...


@dataclass(slots=True)
class Exploration:
    """The result of a search. `complete` is False if it ended at the limit of states."""

    states: int = 0
    moves: int = 0
    ends: int = 0
    depth: int = 0
    seconds: float = 0.0
    complete: bool = True
    violations: list[str] = field(default_factory=list)
    trace: list[Move] = field(default_factory=list)


class Transition(NamedTuple):
    """The result of a move. All fields but `move` and `digest` are empty for a state reported before."""

    digest: Digest
    move: Move
    state: PickledWorld
    violations: list[str]
    is_end: bool


_reported: set[Digest] = set()  # States that this process has already returned in full.


def successors(states: list[PickledWorld]) -> list[list[Transition]]:
    """Return the transitions of each state, one for each of its moves.

    A state that this process has reported before is returned as its digest alone. This is safe because
    results are read in the order of the calls.
    """
    transitions_by_state = []
    for state in states:
        world = pickle.loads(state)
        transitions: list[Transition] = []
        for number, move in enumerate(world.moves()):
            if number:
                world = pickle.loads(state)
            world.play(move)
            transitions.append(transition_to(world, move))
        transitions_by_state.append(transitions)
    return transitions_by_state


def transition_to(world: World, move: Move) -> Transition:
    """Return the transition for a move that has just been played."""
    digest = world.digest()
    if digest in _reported:
        return Transition(digest, move, b"", [], False)
    _reported.add(digest)
    violations = world.violations()
    is_end = not world.moves()
    return Transition(digest, move, pickle.dumps(world, -1), violations, is_end)


class Search:
    """The states visited so far, the frontier, and the result."""

    def __init__(self, initial_state: World, max_states: int) -> None:
        self.max_states = max_states
        self.initial_digest = initial_state.digest()
        self.result = Exploration(states=1, violations=initial_state.violations())
        self.visited = {self.initial_digest}
        self.parents: dict[Digest, tuple[Digest, Move]] = {}
        self.frontier = [(self.initial_digest, pickle.dumps(initial_state, -1))]

    def is_over(self) -> bool:
        """Return whether all states were visited, a property is violated, or the limit was reached."""
        return not self.frontier or bool(self.result.violations) or not self.result.complete

    def advance(self, pool: ProcessPoolExecutor | None, workers: int) -> None:
        """Visit the states one move beyond the frontier; return early when the search is over."""
        next_frontier: list[tuple[Digest, PickledWorld]] = []
        for (parent, _), transitions in zip(self.frontier, expand(self.frontier, pool, workers)):
            for transition in transitions:
                self.visit(parent, transition, next_frontier)
                if self.result.violations:
                    return
            if self.result.states >= self.max_states:
                self.result.complete = False
                return
        self.result.depth += 1
        self.frontier = next_frontier

    def visit(
        self, parent: Digest, transition: Transition, next_frontier: list[tuple[Digest, PickledWorld]]
    ) -> None:
        """Count a transition, and its state if that is new; append a state with moves to `next_frontier`."""
        result = self.result
        result.moves += 1
        if transition.digest in self.visited:
            return
        self.visited.add(transition.digest)
        self.parents[transition.digest] = (parent, transition.move)
        result.states += 1
        result.ends += transition.is_end
        if transition.violations:
            result.violations = transition.violations
            result.trace = self.trace_to(transition.digest)
        elif not transition.is_end:
            next_frontier.append((transition.digest, transition.state))

    def trace_to(self, digest: Digest) -> list[Move]:
        """Return the moves from the initial state to a visited state."""
        moves = []
        while digest != self.initial_digest:
            digest, move = self.parents[digest]
            moves.append(move)
        return moves[::-1]


def explore(
    initial_state: World,
    max_states: int = 10_000_000,
    workers: int = 1,
    echo: Callable[[str], None] = lambda _: None,
) -> Exploration:
    """Visit every state that is reachable from `initial_state`, up to `max_states` or the first violation.

    `echo` receives a line of progress for each depth.
    """
    started_at_s = time.monotonic()
    _reported.clear()
    search = Search(initial_state, max_states)
    result = search.result
    pool = ProcessPoolExecutor(workers) if workers > 1 else None
    try:
        while not search.is_over():
            depth = result.depth
            search.advance(pool, workers)
            if result.depth > depth:
                echo(f"depth {result.depth}: {result.states} states, {len(search.frontier)} to go on from")
        return result
    finally:
        result.seconds = time.monotonic() - started_at_s
        if pool is not None:
            pool.shutdown(wait=False, cancel_futures=True)


def expand(
    frontier: list[tuple[Digest, PickledWorld]], pool: ProcessPoolExecutor | None, workers: int
) -> Iterator[list[Transition]]:
    """Yield the transitions of each state of the frontier, in its order.

    Worker processes play a large frontier; this process plays a small one.
    """
    states = [state for _, state in frontier]
    if pool is None or len(states) < CHUNKS_PER_WORKER * workers:
        for state in states:
            yield from successors([state])
        return
    chunk_size = max(1, min(MAX_CHUNK_STATES, len(states) // (CHUNKS_PER_WORKER * workers)))
    chunks = [states[start : start + chunk_size] for start in range(0, len(states), chunk_size)]
    for chunk in pool.map(successors, chunks):
        yield from chunk


def replay(world: World, trace: list[Move]) -> Iterator[tuple[Move, list[str]]]:
    """Play each move of a trace, and yield it with the violations after it.

    Raises ImpossibleMoveError if a move is not possible in the state that the trace has reached.
    """
    for move in trace:
        moves = world.moves()
        if move not in moves:
            message = f"{move} cannot happen here; what can: {moves}"
            raise ImpossibleMoveError(message)
        world.play(move)
        yield move, world.violations()
