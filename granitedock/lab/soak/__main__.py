"""Plays the stories of some seeds: `python -m granitedock.lab.soak FIRST LAST FOLDER [KIND]`.

KIND is `overload` (the default) or `departures`. Prints a line for each story, and exits with 1 if a rule or
a limit is broken, or with 2 if an argument is wrong. Logs stay in the folder.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from granitedock.lab.soak.departure_story import draw_departure_story
from granitedock.lab.soak.errors import ArgumentError
from granitedock.lab.soak.player import play_story
from granitedock.lab.soak.story import Story, draw_story

KINDS: dict[str, Callable[[int], Story]] = {"overload": draw_story, "departures": draw_departure_story}
ARGUMENT_COUNTS = (3, 4)


@dataclass(frozen=True, slots=True)
class SoakArguments:
    """The arguments of the command."""

    seeds: range
    folder: Path
    draw: Callable[[int], Story]


def parse_seed(name: str, text: str) -> int:
    """Return a seed; raises ArgumentError, which names the argument."""
    if not text.isdecimal():
        raise ArgumentError(name, text, "a whole number from 0 on")
    return int(text)


def parse_arguments(arguments: list[str]) -> SoakArguments:
    """Return the arguments; raises ArgumentError."""
    if len(arguments) not in ARGUMENT_COUNTS:
        raise ArgumentError("arguments", " ".join(arguments), "FIRST LAST FOLDER [KIND]")
    first = parse_seed("FIRST", arguments[0])
    last = parse_seed("LAST", arguments[1])
    if last < first:
        raise ArgumentError("LAST", arguments[1], f"at least FIRST, {first}")
    kind = arguments[3] if len(arguments) > ARGUMENT_COUNTS[0] else "overload"
    if kind not in KINDS:
        raise ArgumentError("KIND", kind, " or ".join(KINDS))
    return SoakArguments(range(first, last + 1), Path(arguments[2]), KINDS[kind])


def main(arguments: list[str]) -> int:
    """Play the stories; the arguments are those of the module's description."""
    try:
        chosen = parse_arguments(arguments)
    except ArgumentError as error:
        print(error, file=sys.stderr)
        return 2
    broken = 0
    for seed in chosen.seeds:
        directory = chosen.folder / str(seed)
        directory.mkdir(parents=True, exist_ok=True)
        result = play_story(chosen.draw(seed), directory)
        broken += bool(result.violations)
        print(result.line(), flush=True)
    print(f"{broken} of {len(chosen.seeds)} stories broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
