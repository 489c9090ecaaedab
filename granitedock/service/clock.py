"""The gateway's clock: Unix time that never steps back."""

from __future__ import annotations

import time
from collections.abc import Callable

MS_PER_S = 1000.0


class Clock:
    """Unix time in milliseconds that never steps back.

    Where the system's clock does, this one runs at half its speed until it is caught up with, so that no wait
    stands still.
    """

    def __init__(
        self,
        unix: Callable[[], float] = time.time,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """`unix` and `monotonic` give seconds."""
        self.unix = unix
        self.monotonic = monotonic
        self.last_ms = unix() * MS_PER_S
        self.last_monotonic_ms = monotonic() * MS_PER_S

    def __call__(self) -> float:
        """The time now, Unix milliseconds."""
        monotonic_ms = self.monotonic() * MS_PER_S
        half_speed = (monotonic_ms - self.last_monotonic_ms) / 2
        self.last_ms = max(self.unix() * MS_PER_S, self.last_ms + half_speed)
        self.last_monotonic_ms = monotonic_ms
        return self.last_ms
