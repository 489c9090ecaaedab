"""Helpers of the measurements: processor time, memory, quantiles, and a process of its own for each."""

from __future__ import annotations

import gc
import os
import time
import tracemalloc
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Any

PAGE = os.sysconf("SC_PAGE_SIZE")
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
MIB = 1024.0 * 1024.0


class ScaleError(RuntimeError):
    """A measurement that could not be taken; its text says which and why."""


def cpu_ms(act: Callable[[], Any], times: int = 3) -> float:
    """The least processor time of this process for `act`, in ms, of so many calls."""
    least = float("inf")
    for _ in range(times):
        began = time.process_time()
        act()
        least = min(least, time.process_time() - began)
    return least * 1000.0


def memory_mb(pid: int | str = "self") -> float:
    """Resident memory of a process, in MiB."""
    with open(f"/proc/{pid}/statm", "rb") as statm:
        return int(statm.read().split()[1]) * PAGE / MIB


def allocated_bytes(make: Callable[[], Any]) -> float:
    """Bytes of Python objects that `make` leaves behind with what it gives."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
        del kept
        return float(size)
    finally:
        tracemalloc.stop()


def process_cpu_s(pid: int) -> float:
    """Processor time that a process has used, user and system, in seconds."""
    with open(f"/proc/{pid}/stat", "rb") as stat:
        fields = stat.read().rpartition(b")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_A_SECOND


def quantile(values: Sequence[float], part: float) -> float:
    """The value that so large a part of the values do not exceed; not a number without values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def alone(measure: Callable[..., Any], *what: Any) -> Any:
    """What `measure` gives in a fresh process, so that no measurement sees another's memory."""
    with ProcessPoolExecutor(1, get_context("spawn")) as pool:
        return pool.submit(measure, *what).result()
