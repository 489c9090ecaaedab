"""Samples the memory of a process from outside, until it ends. Source: proc(5), /proc/PID/status."""

from __future__ import annotations

import re
import threading
from dataclasses import dataclass
from pathlib import Path

KIB = 1024
SAMPLE_INTERVAL_S = 0.02
FIGURES = re.compile(rb"^(VmRSS|RssAnon):\s+(\d+) kB$", re.MULTILINE)


@dataclass
class MemoryPeak:
    """The most memory that was seen, in bytes.

    `private` counts the process's own memory, and `resident` also the files that it has mapped, such as the
    interpreter and its libraries.
    """

    private: int = 0
    resident: int = 0


class MemoryWatch:
    """Samples one process in a thread of its own; a context manager."""

    def __init__(self, process_id: int) -> None:
        self.status = Path(f"/proc/{process_id}/status")
        self.peak = MemoryPeak()
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.sample_until_stopped, daemon=True)

    def __enter__(self) -> MemoryWatch:
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopped.set()
        self.thread.join()

    def sample_until_stopped(self) -> None:
        """Sample until the watch or the process ends."""
        while not self.stopped.wait(SAMPLE_INTERVAL_S):
            try:
                status = self.status.read_bytes()
            except OSError:
                return
            figures = {name: int(kib) * KIB for name, kib in FIGURES.findall(status)}
            self.peak.private = max(self.peak.private, figures.get(b"RssAnon", 0))
            self.peak.resident = max(self.peak.resident, figures.get(b"VmRSS", 0))
