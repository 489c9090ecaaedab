"""The event log: what a process writes about itself, one JSON line an event, and its counters.

Lines past the bound for a second are counted and dropped. The lines are made by structlog.
"""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Callable, MutableMapping
from typing import Any

import orjson
import structlog

STANDARD_ERROR = 2
MS_PER_S = 1000


class DescriptorWriter:
    """Writes lines to a file descriptor, each at once and complete."""

    def __init__(self, log: EventLog, descriptor: int) -> None:
        self.log = log
        self.descriptor = descriptor

    def msg(self, line: bytes) -> None:
        """Write one line. Guards against a reader of the log that has gone."""
        try:
            os.write(self.descriptor, line)
        except OSError:
            self.log.dropped += 1


def render_line(_logger: object, _method: str, event: MutableMapping[str, Any]) -> bytes:
    """An event as a line of JSON; the last processor of structlog."""
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
        """`name` is the process's in each line; `clock()` is Unix ms."""
        self.name = name
        self.clock = clock
        self.max_lines_per_second = max_lines_per_second
        self.second = 0  # the Unix second that is counted now
        self.lines = 0  # in it
        self.dropped = 0  # lines, in total
        self.counts: Counter[str] = Counter()
        self.logger = structlog.wrap_logger(
            DescriptorWriter(self, descriptor),
            processors=[self.add_origin, render_line],
            wrapper_class=structlog.BoundLogger,
            cache_logger_on_first_use=True,
        )

    def add_origin(self, _logger: object, _method: str, event: MutableMapping[str, Any]) -> dict[str, Any]:
        """When and by whom, in front; a processor of structlog. Drops what is over the bound."""
        now = self.clock()
        if int(now // MS_PER_S) != self.second:
            self.second = int(now // MS_PER_S)
            self.lines = 0
        self.lines += 1
        if self.lines > self.max_lines_per_second:
            self.dropped += 1
            raise structlog.DropEvent
        name = event.pop("event")
        return {"at_ms": round(now, 1), "gateway": self.name, "event": name, **event}

    def event(self, event: str, /, **figures: Any) -> None:
        """Log an event with its figures."""
        self.logger.msg(event, **figures)

    def log_counters(self, event: str) -> None:
        """Log all counters. They were asked for, so they are never dropped."""
        self.lines = 0
        self.event(event, lines_dropped=self.dropped, **dict(sorted(self.counts.items())))
