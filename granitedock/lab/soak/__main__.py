"""Plays the stories of some seeds: `python -m granitedock.lab.soak FIRST LAST FOLDER`.

Prints a line for each, and exits with 1 if a rule or a limit is broken. Logs stay in the folder.
"""

from __future__ import annotations

import sys
from pathlib import Path

from granitedock.lab.soak.player import play_story
from granitedock.lab.soak.story import draw_story


def main(arguments: list[str]) -> int:
    """Play the stories; the arguments are those of the module's description."""
    first, last, folder = arguments
    broken = 0
    for seed in range(int(first), int(last) + 1):
        directory = Path(folder) / str(seed)
        directory.mkdir(parents=True, exist_ok=True)
        result = play_story(draw_story(seed), directory)
        broken += bool(result.violations)
        print(result.line(), flush=True)
    print(f"{broken} of {int(last) - int(first) + 1} stories broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
