"""The context that the state machines of one gateway share: time, limits, event log and effects."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.service.ports import EventLogPort, GatewayIO
from granitedock.service.timers import Timer

Effect = tuple[Any, ...]  # A callable for the loop to call, then its arguments.


class Context:
    """The shared context of one gateway. Times are Unix ms; the dispatcher sets `now` at each input.

    `earliest_arrival` is the earliest time at which the data of the current input may have arrived: the end
    of the poll before the poll that began this iteration of the event loop. During the start
    `process_started_at` takes its place.
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
        """Add an effect for the loop to carry out after the input; effects keep their order."""
        self.effects.append(effect)

    def follow_up(self, function: Callable[..., None], *arguments: Any) -> None:
        """Have the dispatcher call this function after the current step and before the effects."""
        self.follow_ups.append((function, *arguments))

    def schedule(self, due: float, input_kind: Input, *arguments: Any) -> Timer:
        """Schedule this input for the time `due`, in Unix ms, and return its timer."""
        timer = Timer(due, input_kind, arguments)
        self.effects.append((self.io.start_timer, timer))
        return timer
