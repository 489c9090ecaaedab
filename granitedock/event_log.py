"""The event log of a process: one JSON line for each event, and the process's counters.

The number of lines in each second is limited; further lines are dropped and counted. structlog renders the
lines.
"""

from __future__ import annotations

import os
import resource
from collections import Counter
from collections.abc import Callable, MutableMapping
from pathlib import Path
from typing import Any

import orjson
import structlog

STANDARD_ERROR = 2
MS_PER_S = 1000
BYTES_PER_KIB = 1024


class DescriptorWriter:
    """Writes lines to a file descriptor, each in one unbuffered write."""

    def __init__(self, log: EventLog, descriptor: int) -> None:
        self.log = log
        self.descriptor = descriptor

    def msg(self, line: bytes) -> None:
        """Write one line.

        Prevents an error in the process when the log's reader has closed its end; the cost is that the line
        is lost, and counted as dropped.
        """
        try:
            os.write(self.descriptor, line)
        except OSError:
            self.log.dropped_lines += 1


def render_line(_logger: object, _method: str, event: MutableMapping[str, Any]) -> bytes:
    """Render an event as a line of JSON; the last processor in structlog's chain."""
    return orjson.dumps(event, default=str, option=orjson.OPT_APPEND_NEWLINE)


class EventLog:
    """The event log and counters of one process."""

    def __init__(
        self,
        name: str,
        clock: Callable[[], float],
        max_lines_per_second: int,
        descriptor: int = STANDARD_ERROR,
    ) -> None:
        """Create the log; each line carries the process's `name` and the time of `clock`, in Unix ms."""
        self.name = name
        self.clock = clock
        self.max_lines_per_second = max_lines_per_second
        self.current_second = 0  # The Unix second to which `lines_this_second` belongs.
        self.lines_this_second = 0
        self.dropped_lines = 0  # Total since the process started.
        self.counts: Counter[str] = Counter()
        self.logger = structlog.wrap_logger(
            DescriptorWriter(self, descriptor),
            processors=[self.add_origin, render_line],
            wrapper_class=structlog.BoundLogger,
            cache_logger_on_first_use=True,
        )

    def add_origin(self, _logger: object, _method: str, event: MutableMapping[str, Any]) -> dict[str, Any]:
        """Put the time and the process's name before the event's fields; a processor in structlog's chain.

        Raises structlog.DropEvent for a line over the limit of the current second.
        """
        now = self.clock()
        if int(now // MS_PER_S) != self.current_second:
            self.current_second = int(now // MS_PER_S)
            self.lines_this_second = 0
        self.lines_this_second += 1
        if self.lines_this_second > self.max_lines_per_second:
            self.dropped_lines += 1
            raise structlog.DropEvent
        name = event.pop("event")
        return {"at_ms": round(now, 1), "gateway": self.name, "event": name, **event}

    def event(self, event: str, /, **fields: Any) -> None:
        """Log an event with its fields."""
        self.logger.msg(event, **fields)

    def log_counters(self, event: str) -> None:
        """Log all counters and the resident memory in one line.

        The line is never dropped for the limit, because it was requested.
        """
        self.lines_this_second = 0
        counters = dict(sorted(self.counts.items()))
        self.event(event, lines_dropped=self.dropped_lines, memory_kib=resident_kib(), **counters)


def resident_kib() -> int:
    """Return the memory that the process has resident, in KiB. Source: proc(5), /proc/self/statm."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() // BYTES_PER_KIB
