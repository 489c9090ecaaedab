"""The timers that the state machine asks for, ordered by the time they are due.

Twisted's own timers are not used for them: most are cancelled before they are due, and a cancelled one here
costs the event loop nothing.
"""

from __future__ import annotations

import heapq
from typing import Any, Protocol

from granitedock.service.callbacks import InputHandler
from granitedock.service.clock import MS_PER_S, Clock
from granitedock.service.inputs import Input


class QueuedTimer(Protocol):
    """What the queue needs of a timer."""

    due: float  # Unix ms
    input: Input | None  # that it brings; None once it is cancelled
    arguments: tuple[Any, ...]  # of that input


class TimerQueue:
    """A heap of timers. A cancelled one has lost its input and brings none."""

    handle_input: InputHandler  # set by the service before the first timer is due

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.added = 0  # orders timers that are due at the same time
        self.heap: list[tuple[float, int, QueuedTimer]] = []

    def add(self, timer: QueuedTimer) -> None:
        """Start a timer."""
        self.added += 1
        heapq.heappush(self.heap, (timer.due, self.added, timer))

    def seconds_until_next(self) -> float | None:
        """How long the event loop may wait for I/O, in seconds; None without a timer."""
        heap = self.heap
        while heap and heap[0][2].input is None:
            heapq.heappop(heap)
        return max(0.0, (heap[0][0] - self.clock()) / MS_PER_S) if heap else None

    def run_due(self) -> None:
        """Bring the inputs of all timers that are due now."""
        heap = self.heap
        now = self.clock() if heap else 0.0
        while heap and heap[0][0] <= now:
            timer = heapq.heappop(heap)[2]
            if timer.input is not None:
                self.handle_input(timer.input, *timer.arguments)
