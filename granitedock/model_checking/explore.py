"""Breadth first through every state of a small world, by what may happen next in each.

A world gives its moves, plays one, says what it broke and has a digest; states of one digest are visited
once. States wait as pickles, the frontier is played by worker processes, and each state keeps its parent and
its move, so that a violation comes with the shortest way there, which can be replayed.
"""

from __future__ import annotations

import pickle
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import Any, Protocol

Move = tuple[Any, ...]  # words and numbers only, so that a trace can be written down


class World(Protocol):
    def moves(self) -> list[Move]:
        """All that may happen next; none at an end."""
        ...

    def play(self, move: Move) -> None: ...

    def broken(self) -> list[str]:
        """The properties that do not hold here, a line each."""
        ...

    def digest(self) -> bytes: ...


@dataclass(slots=True)
class Found:
    """What came of an exploration. `complete`: every state was visited, none left out for its number."""

    states: int = 0
    moves: int = 0
    ends: int = 0
    depth: int = 0
    seconds: float = 0.0
    complete: bool = True
    broken: list[str] = field(default_factory=list)
    trace: list[Move] = field(default_factory=list)


Next = tuple[bytes, Move, bytes, list[str], bool]


_sent: set[bytes] = set()  # by this process: what reached the frontier once is not sent again


def after(states: list[bytes]) -> list[list[Next]]:
    """For each state, what each move leads to: digest, move, pickle, what is broken, whether it is an end.
    The rest is left out where this process has given it before: results are read in the calls' order."""
    found = []
    for state in states:
        world = pickle.loads(state)
        moves = world.moves()
        steps: list[Next] = []
        for n, move in enumerate(moves):
            if n:
                world = pickle.loads(state)
            world.play(move)
            digest = world.digest()
            known = digest in _sent
            _sent.add(digest)
            told = ([], False, b"") if known else (world.broken(), not world.moves(), pickle.dumps(world, -1))
            broken, ends, body = told
            steps.append((digest, move, body, broken, ends))
        found.append(steps)
    return found


def explore(
    first: World,
    most: int = 10_000_000,
    workers: int = 1,
    say: Callable[[str], None] = lambda _: None,
) -> Found:
    """Visit every state that can be reached from `first`, or `most` of them; stops at the first violation."""
    found, began = Found(states=1), time.monotonic()
    parents: dict[bytes, tuple[bytes, Move]] = {}
    _sent.clear()
    start = first.digest()
    seen, frontier = {start}, [(start, pickle.dumps(first, -1))]
    found.broken = first.broken()
    pool = ProcessPoolExecutor(workers) if workers > 1 else None
    try:
        while frontier and not found.broken:
            ahead: list[tuple[bytes, bytes]] = []
            for (digest, _), steps in zip(frontier, played(frontier, pool, workers)):
                for reached, move, state, broken, ends in steps:
                    found.moves += 1
                    if reached in seen:
                        continue
                    seen.add(reached)
                    parents[reached] = (digest, move)
                    found.states += 1
                    found.ends += ends
                    if broken:
                        found.broken, found.trace = broken, way(parents, start, reached)
                        return found
                    if not ends:
                        ahead.append((reached, state))
                if found.states >= most:
                    found.complete = False
                    return found
            found.depth += 1
            frontier = ahead
            say(f"depth {found.depth}: {found.states} states, {len(frontier)} to go on from")
        return found
    finally:
        found.seconds = time.monotonic() - began
        if pool is not None:
            pool.shutdown(wait=False, cancel_futures=True)


def played(frontier: list[tuple[bytes, bytes]], pool: Any, workers: int) -> Iterator[list[Next]]:
    states = [state for _, state in frontier]
    if pool is None or len(states) < 4 * workers:
        for state in states:
            yield from after([state])
        return
    size = max(1, min(64, len(states) // (4 * workers)))
    for batch in pool.map(after, [list(part) for part in chunks(states, size)]):
        yield from batch


def chunks(items: list[bytes], size: int) -> Iterator[list[bytes]]:
    for at in range(0, len(items), size):
        yield items[at : at + size]


def way(parents: dict[bytes, tuple[bytes, Move]], start: bytes, end: bytes) -> list[Move]:
    moves = []
    while end != start:
        end, move = parents[end]
        moves.append(move)
    return moves[::-1]


def replay(world: World, trace: list[Move]) -> Iterator[tuple[Move, list[str]]]:
    """Each move of a trace, played, with what is broken after it. Raises ValueError where a move is not one
    of this world's."""
    for move in trace:
        if move not in world.moves():
            raise ValueError(f"{move} cannot happen here; what can: {world.moves()}")
        world.play(move)
        yield move, world.broken()
