"""The timers of the state machine, ordered by the time at which they expire.

They are separate from Twisted's timers because most are cancelled before they expire, and a cancelled timer
in this queue costs the event loop nothing.
"""

from __future__ import annotations

import heapq
from typing import Any, Protocol

from granitedock.service.callbacks import InputHandler
from granitedock.service.clock import MS_PER_S, Clock
from granitedock.service.inputs import Input

MIN_COMPACTED_TIMERS = 1024


class QueuedTimer(Protocol):
    """The fields of a timer that the queue uses."""

    due: float  # The time at which the timer expires, Unix ms.
    input: Input | None  # The input to handle at that time, or None once the timer is cancelled.
    arguments: tuple[Any, ...]  # The arguments of the input.


class TimerQueue:
    """A heap of timers. A cancelled timer has no input and stays in the heap for a while."""

    handle_input: InputHandler  # The service sets it before the first timer expires.

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.added = 0  # Orders timers that expire at the same time.
        self.heap: list[tuple[float, int, QueuedTimer]] = []
        self.compact_at = MIN_COMPACTED_TIMERS  # The length of the heap at which cancelled timers go.

    def add(self, timer: QueuedTimer) -> None:
        """Add a timer."""
        self.added += 1
        if len(self.heap) >= self.compact_at:
            self.remove_cancelled()
        heapq.heappush(self.heap, (timer.due, self.added, timer))

    def remove_cancelled(self) -> None:
        """Remove the cancelled timers; done when the heap has doubled, so that a timer costs little.

        Prevents a flood of requests that end at once from keeping a timer of each until their deadlines.
        """
        self.heap[:] = [entry for entry in self.heap if entry[2].input is not None]
        heapq.heapify(self.heap)
        self.compact_at = max(MIN_COMPACTED_TIMERS, 2 * len(self.heap))

    def seconds_until_next(self) -> float | None:
        """Return the time until the next timer expires, in seconds, or None without a timer."""
        heap = self.heap
        while heap and heap[0][2].input is None:
            heapq.heappop(heap)
        return max(0.0, (heap[0][0] - self.clock()) / MS_PER_S) if heap else None

    def run_due(self) -> None:
        """Handle the inputs of all timers that have expired."""
        heap = self.heap
        now = self.clock() if heap else 0.0
        while heap and heap[0][0] <= now:
            timer = heapq.heappop(heap)[2]
            if timer.input is not None:
                self.handle_input(timer.input, *timer.arguments)
