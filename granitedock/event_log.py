"""What the gateway writes about itself: one JSON line an event, and the counters.

Owns standard error and the counters' names. It must never flood: lines past the most for
a second are counted and dropped. The lines are made by structlog.
"""

from __future__ import annotations

import os
from collections import Counter
from typing import Any

import orjson
import structlog


class Sink:
    """Where the lines end: a descriptor, written to at once and whole."""

    def __init__(self, log: EventLog, descriptor: int) -> None:
        self.log, self.descriptor = log, descriptor

    def msg(self, line: bytes) -> None:
        try:
            os.write(self.descriptor, line)
        except OSError:
            self.log.dropped += 1  # guards against a reader of the log that has gone


def rendered(_logger: Any, _method: str, line: dict[str, Any]) -> bytes:
    return orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)


class EventLog:
    def __init__(self, name: str, clock, most_a_second: int, sink: int = 2) -> None:
        self.name, self.clock, self.most = name, clock, most_a_second
        self.second, self.lines, self.dropped = 0, 0, 0
        self.counts: Counter[str] = Counter()
        self.lined = structlog.wrap_logger(
            Sink(self, sink),
            processors=[self.stamped, rendered],
            wrapper_class=structlog.BoundLogger,
            cache_logger_on_first_use=True,
        )

    def stamped(self, _logger: Any, _method: str, line: dict[str, Any]) -> dict[str, Any]:
        """When and by whom, in front; drops what is over the most for a second."""
        now = self.clock()
        if int(now // 1000) != self.second:
            self.second, self.lines = int(now // 1000), 0
        self.lines += 1
        if self.lines > self.most:
            self.dropped += 1
            raise structlog.DropEvent
        event = line.pop("event")
        return {"at_ms": round(now, 1), "gateway": self.name, "event": event, **line}

    def event(self, event: str, **figures) -> None:
        self.lined.msg(event, **figures)

    def counters(self, event: str) -> None:
        self.lines = 0  # asked for, so never dropped
        self.event(event, lines_dropped=self.dropped, **dict(sorted(self.counts.items())))
