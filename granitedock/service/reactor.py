"""Twisted's epoll reactor, with monotonic timers, the gateway's timer queue and the times of its polls."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.internet.epollreactor import EPollReactor

from granitedock.service.timer_queue import TimerQueue


class TimedPoller:
    """The reactor's epoll object, which calls back when each of its polls ended."""

    def __init__(self, poller: Any, poll_ended: Callable[[], None]) -> None:
        self.poller = poller
        self.poll_ended = poll_ended

    def poll(self, *args: Any) -> list[tuple[int, int]]:
        """`select.epoll.poll`."""
        try:
            return self.poller.poll(*args)
        finally:
            self.poll_ended()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.poller, name)


class GatewayReactor(EPollReactor):
    """Twisted's own timers run by a clock that no correction of the time can stop, and the gateway's beside
    them: a cancelled one of these never ends a poll early."""

    seconds = staticmethod(time.monotonic)

    def __init__(self, timer_queue: TimerQueue, started_at_ms: float) -> None:
        """`started_at_ms` is when the process started, in Unix ms."""
        self.timer_queue = timer_queue
        # What is read after a poll came no sooner than the end of the poll before it, which would have seen
        # it otherwise; before the first poll, the process's start is the bound (Unix ms).
        self.earliest_arrival_ms = started_at_ms
        self.last_poll_ended_ms = started_at_ms
        super().__init__()
        self._poller = TimedPoller(self._poller, self.poll_ended)

    def poll_ended(self) -> None:
        """Note the time: it bounds the arrival of what the poll after this one finds."""
        self.earliest_arrival_ms = self.last_poll_ended_ms
        self.last_poll_ended_ms = self.timer_queue.clock()

    def timeout(self) -> float | None:
        """How long a poll may wait, in seconds: until the first timer of either kind; None without one."""
        twisted_s = super().timeout()
        queue_s = self.timer_queue.seconds_until_next()
        if queue_s is None:
            return twisted_s
        return queue_s if twisted_s is None else min(twisted_s, queue_s)

    def runUntilCurrent(self) -> None:
        """Run Twisted's timers that are due, then the gateway's."""
        super().runUntilCurrent()
        self.timer_queue.run_due()
