"""When a gateway had each version of what it follows."""

from __future__ import annotations

import time

MAX_VERSIONS = 512


def record_version(times: dict[str, float], version: int) -> None:
    """Note the first moment (monotonic seconds) at which a version was there; the oldest are dropped."""
    times.setdefault(str(version), time.monotonic())
    if len(times) > MAX_VERSIONS:
        del times[next(iter(times))]
