"""Breadth-first search of all states of a small world, by the moves that are possible in each.

A world lists its moves, plays one, reports what it violates and has a digest; states of one digest are
visited once. States wait as pickles, worker processes play the frontier, and each state keeps its parent and
its move, so that a violation comes with the shortest trace to it, which can be replayed.
"""

from __future__ import annotations

import pickle
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from granitedock.model_checking.errors import ImpossibleMoveError

Move = tuple[str | int, ...]  # the move's name and its arguments; a trace file holds it as a JSON list
Digest = bytes
PickledWorld = bytes

MAX_CHUNK = 64  # states that a worker is handed at once
CHUNKS_PER_WORKER = 4


class World(Protocol):
    """A state of a small system that can go on in several ways."""

    def moves(self) -> list[Move]:
        """All that may happen next; none at an end."""
        ...

    def play(self, move: Move) -> None:
        """Make one of the moves happen."""
        ...

    def violations(self) -> list[str]:
        """The properties that do not hold here, a line each."""
        ...

    def digest(self) -> Digest:
        """Equal for states that go on in the same ways."""
        ...


@dataclass(slots=True)
class Exploration:
    """The result of a search. `complete`: every state was visited, none left out for its number."""

    states: int = 0
    moves: int = 0
    ends: int = 0
    depth: int = 0
    seconds: float = 0.0
    complete: bool = True
    violations: list[str] = field(default_factory=list)
    trace: list[Move] = field(default_factory=list)


class Transition(NamedTuple):
    """What a move leads to. All but `move` and `digest` is empty for a state reported before."""

    digest: Digest
    move: Move
    state: PickledWorld
    violations: list[str]
    is_end: bool


_reported: set[Digest] = set()  # states that this process has sent to the frontier


def successors(states: list[PickledWorld]) -> list[list[Transition]]:
    """For each state, what each of its moves leads to.

    A state that this process has reported before comes by its digest alone: results are read in the order
    of the calls.
    """
    found = []
    for state in states:
        world = pickle.loads(state)
        transitions: list[Transition] = []
        for number, move in enumerate(world.moves()):
            if number:
                world = pickle.loads(state)
            world.play(move)
            transitions.append(transition_to(world, move))
        found.append(transitions)
    return found


def transition_to(world: World, move: Move) -> Transition:
    """The transition by a move that was played just now."""
    digest = world.digest()
    if digest in _reported:
        return Transition(digest, move, b"", [], False)
    _reported.add(digest)
    violations = world.violations()
    is_end = not world.moves()
    return Transition(digest, move, pickle.dumps(world, -1), violations, is_end)


class Search:
    """The states visited so far, the frontier, and the result."""

    def __init__(self, first: World, max_states: int) -> None:
        self.max_states = max_states
        self.start = first.digest()
        self.result = Exploration(states=1, violations=first.violations())
        self.seen = {self.start}
        self.parents: dict[Digest, tuple[Digest, Move]] = {}
        self.frontier = [(self.start, pickle.dumps(first, -1))]

    def is_over(self) -> bool:
        """Whether all was visited, a property is violated, or the limit of states was reached."""
        return not self.frontier or bool(self.result.violations) or not self.result.complete

    def advance(self, pool: ProcessPoolExecutor | None, workers: int) -> None:
        """Visit the states one move beyond the frontier; ends early where the search is over."""
        ahead: list[tuple[Digest, PickledWorld]] = []
        for (parent, _), transitions in zip(self.frontier, expand(self.frontier, pool, workers)):
            for transition in transitions:
                self.visit(parent, transition, ahead)
                if self.result.violations:
                    return
            if self.result.states >= self.max_states:
                self.result.complete = False
                return
        self.result.depth += 1
        self.frontier = ahead

    def visit(self, parent: Digest, transition: Transition, ahead: list[tuple[Digest, PickledWorld]]) -> None:
        """Count a transition, and the state it leads to if that is new; `ahead` gets one that goes on."""
        result = self.result
        result.moves += 1
        if transition.digest in self.seen:
            return
        self.seen.add(transition.digest)
        self.parents[transition.digest] = (parent, transition.move)
        result.states += 1
        result.ends += transition.is_end
        if transition.violations:
            result.violations = transition.violations
            result.trace = self.trace_to(transition.digest)
        elif not transition.is_end:
            ahead.append((transition.digest, transition.state))

    def trace_to(self, digest: Digest) -> list[Move]:
        """The moves from the start to a visited state."""
        moves = []
        while digest != self.start:
            digest, move = self.parents[digest]
            moves.append(move)
        return moves[::-1]


def explore(
    first: World,
    max_states: int = 10_000_000,
    workers: int = 1,
    echo: Callable[[str], None] = lambda _: None,
) -> Exploration:
    """Visit every state that can be reached from `first`, or `max_states`; stops at the first violation."""
    started = time.monotonic()
    _reported.clear()
    search = Search(first, max_states)
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
        result.seconds = time.monotonic() - started
        if pool is not None:
            pool.shutdown(wait=False, cancel_futures=True)


def expand(
    frontier: list[tuple[Digest, PickledWorld]], pool: ProcessPoolExecutor | None, workers: int
) -> Iterator[list[Transition]]:
    """The transitions of each state of the frontier, in its order; a small frontier is played here."""
    states = [state for _, state in frontier]
    if pool is None or len(states) < CHUNKS_PER_WORKER * workers:
        for state in states:
            yield from successors([state])
        return
    size = max(1, min(MAX_CHUNK, len(states) // (CHUNKS_PER_WORKER * workers)))
    chunks = [states[at : at + size] for at in range(0, len(states), size)]
    for chunk in pool.map(successors, chunks):
        yield from chunk


def replay(world: World, trace: list[Move]) -> Iterator[tuple[Move, list[str]]]:
    """Play each move of a trace; gives it with what is violated after it. Raises ImpossibleMoveError."""
    for move in trace:
        moves = world.moves()
        if move not in moves:
            message = f"{move} cannot happen here; what can: {moves}"
            raise ImpossibleMoveError(message)
        world.play(move)
        yield move, world.violations()
