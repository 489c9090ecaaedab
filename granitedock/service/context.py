"""What the state machines of one gateway share: clock, limits, event log and the effects of an input."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.service.ports import EventLogPort, GatewayIO
from granitedock.service.timers import Timer

Effect = tuple[Any, ...]  # a callable of the loop's, then its arguments


class Context:
    """Times are Unix ms, set by the dispatcher at each input.

    `earliest_arrival` is the earliest moment at which what the present input brings may have come: the end of
    the loop's poll before the one that began this turn. `process_started_at` bounds it while starting.
    """

    __slots__ = (
        "counts",
        "earliest_arrival",
        "effects",
        "event_log",
        "follow_ups",
        "io",
        "limits",
        "now",
        "process_started_at",
    )

    def __init__(self, now: float, limits: Limits, io: GatewayIO, event_log: EventLogPort) -> None:
        self.now = now
        self.earliest_arrival = now
        self.process_started_at = now
        self.limits = limits
        self.io = io
        self.event_log = event_log
        self.counts: Counter[str] = event_log.counts
        self.effects: list[Effect] = []
        self.follow_ups: deque[Effect] = deque()

    def emit(self, *effect: Any) -> None:
        """Have the loop call this after the input, in the order in which it was emitted."""
        self.effects.append(effect)

    def follow_up(self, function: Callable[..., None], *arguments: Any) -> None:
        """Have the dispatcher call this once the present step is done, before the effects."""
        self.follow_ups.append((function, *arguments))

    def schedule(self, due: float, happened: Input, *arguments: Any) -> Timer:
        """Have this input come at `due`, Unix ms."""
        timer = Timer(due, happened, arguments)
        self.effects.append((self.io.start_timer, timer))
        return timer
