"""Records when a gateway first had each version of the lists and documents that it follows."""

from __future__ import annotations

import time

MAX_VERSIONS = 512


def record_version(times: dict[str, float], version: int) -> None:
    """Record when a version was first present, in monotonic seconds; the oldest versions are dropped."""
    times.setdefault(str(version), time.monotonic())
    if len(times) > MAX_VERSIONS:
        del times[next(iter(times))]
