"""The gateway's clock: Unix time that never steps back."""

from __future__ import annotations

import time
from collections.abc import Callable

MS_PER_S = 1000.0


class Clock:
    """Unix time in milliseconds that never steps back.

    After the system clock steps back, this clock runs at half speed until the system clock has reached it, so
    that timers keep running.
    """

    def __init__(
        self,
        unix: Callable[[], float] = time.time,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the clock; `unix` and `monotonic` return seconds."""
        self.unix = unix
        self.monotonic = monotonic
        self.last_ms = unix() * MS_PER_S
        self.last_monotonic_ms = monotonic() * MS_PER_S

    def __call__(self) -> float:
        """Return the current time in Unix milliseconds."""
        monotonic_ms = self.monotonic() * MS_PER_S
        min_step_ms = (monotonic_ms - self.last_monotonic_ms) / 2
        self.last_ms = max(self.unix() * MS_PER_S, self.last_ms + min_step_ms)
        self.last_monotonic_ms = monotonic_ms
        return self.last_ms
