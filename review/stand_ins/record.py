"""The record of a case: what was sent, answered and run, line by line, with the time in s from its start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Collects lines, and writes them to `record.txt` in the case's folder."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.began = time.time()
        self.lines: list[str] = []

    def add(self, *words: object) -> None:
        """Add a line."""
        self.lines.append(f"{time.time() - self.began:9.4f} " + " ".join(str(word) for word in words))

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")
