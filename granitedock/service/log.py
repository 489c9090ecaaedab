"""What the gateway writes about itself: one JSON line an event, and the counters.

Owns standard error and the counters' names. It must never flood: lines past the most for
a second are counted and dropped.
"""

from __future__ import annotations

import os
from collections import Counter

import orjson


class Log:
    def __init__(self, name: str, clock, most_a_second: int, sink: int = 2) -> None:
        self.name, self.clock, self.most, self.sink = name, clock, most_a_second, sink
        self.second, self.lines, self.dropped = 0, 0, 0
        self.counts: Counter[str] = Counter()

    def event(self, event: str, **figures) -> None:
        now = self.clock()
        if int(now // 1000) != self.second:
            self.second, self.lines = int(now // 1000), 0
        self.lines += 1
        if self.lines > self.most:
            self.dropped += 1
            return
        line = {"at_ms": round(now, 1), "gateway": self.name, "event": event, **figures}
        try:
            os.write(self.sink, orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
        except OSError:
            self.dropped += 1  # guards against a reader of the log that has gone

    def counters(self, event: str) -> None:
        self.lines = 0  # asked for, so never dropped
        self.event(event, lines_dropped=self.dropped, **dict(sorted(self.counts.items())))
