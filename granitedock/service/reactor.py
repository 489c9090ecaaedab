"""Twisted's epoll reactor with monotonic timers, recorded poll times, and the gateway's timers and input."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.internet.epollreactor import EPollReactor

from granitedock.service.input_scheduler import InputScheduler
from granitedock.service.socket_queue import ms_since_last_data
from granitedock.service.timer_queue import TimerQueue


class TimedPoller:
    """The epoll object of the reactor, with callbacks at the start and at the end of each poll."""

    def __init__(self, poller: Any, poll_started: Callable[[], None], poll_ended: Callable[[], None]) -> None:
        self.poller = poller
        self.poll_started = poll_started
        self.poll_ended = poll_ended

    def poll(self, *args: Any) -> list[tuple[int, int]]:
        """Run `select.epoll.poll` between the callbacks."""
        self.poll_started()
        try:
            return self.poller.poll(*args)
        finally:
            self.poll_ended()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.poller, name)


class GatewayReactor(EPollReactor):
    """A reactor whose Twisted timers use the monotonic clock, with the gateway's timer queue beside them.

    A correction of the system time cannot stop the Twisted timers. A cancelled timer of the queue never ends
    a poll early.
    """

    seconds = staticmethod(time.monotonic)
    ms_since_last_data = staticmethod(ms_since_last_data)

    def __init__(self, timer_queue: TimerQueue, started_at_ms: float) -> None:
        """Create the reactor; `started_at_ms` is the time at which the process started, in Unix ms."""
        self.timer_queue = timer_queue
        # Data that is read after a poll arrived no earlier than the end of the poll before it, which would
        # otherwise have reported it. Before the first poll the start of the process is the bound.
        # Both times are Unix ms.
        self.earliest_arrival_ms = started_at_ms
        self.last_poll_ended_ms = started_at_ms
        # Called with the duration of each iteration of the event loop after the first poll, in ms; set by the
        # service.
        self.iteration_ended: Callable[[float], None] | None = None
        self.polled = False
        self.input_scheduler = InputScheduler(self)
        super().__init__()
        self._poller = TimedPoller(self._poller, self.poll_started, self.poll_ended)

    def poll_started(self) -> None:
        """Report how long the input of the last poll, and the timers after it, took."""
        if self.polled and self.iteration_ended is not None:
            self.iteration_ended(self.timer_queue.clock() - self.last_poll_ended_ms)

    def poll_ended(self) -> None:
        """Record the time of this poll's end, the earliest arrival of data that the next poll reports."""
        self.polled = True
        self.earliest_arrival_ms = self.last_poll_ended_ms
        self.last_poll_ended_ms = self.timer_queue.clock()
        self.input_scheduler.poll_ended()

    def timeout(self) -> float | None:
        """Return the longest wait of a poll, in seconds: until the first timer or waiting input, or None."""
        wait_s = super().timeout()
        for other_wait_s in (
            self.timer_queue.seconds_until_next(),
            self.input_scheduler.seconds_until_turn(),
        ):
            if other_wait_s is not None and (wait_s is None or other_wait_s < wait_s):
                wait_s = other_wait_s
        return wait_s

    def runUntilCurrent(self) -> None:
        """Run the expired timers of Twisted, then those of the gateway, then a turn of waiting input."""
        super().runUntilCurrent()
        self.timer_queue.run_due()
        self.input_scheduler.run_turn()
