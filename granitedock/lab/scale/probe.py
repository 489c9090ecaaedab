"""Measure processor time, memory and quantiles, and run a measurement in a fresh process."""

from __future__ import annotations

import gc
import os
import time
import tracemalloc
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import ParamSpec, TypeVar

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
MIB = 1024.0 * 1024.0
USER_TICKS_FIELD = 11  # Index in /proc/PID/stat, counted after the command's name.
SYSTEM_TICKS_FIELD = 12

Parameters = ParamSpec("Parameters")
Measurement = TypeVar("Measurement")


def cpu_ms(action: Callable[[], object], calls: int = 3) -> float:
    """Call `action` `calls` times and return the least processor time of a call, in ms."""
    least_s = float("inf")
    for _ in range(calls):
        started_at = time.process_time()
        action()
        least_s = min(least_s, time.process_time() - started_at)
    return least_s * 1000.0


def memory_mb(pid: int | str = "self") -> float:
    """Return the resident memory of a process, in MiB."""
    resident_pages = int(Path(f"/proc/{pid}/statm").read_bytes().split()[1])
    return resident_pages * PAGE_BYTES / MIB


def allocated_bytes(make: Callable[[], object]) -> float:
    """Return the bytes of the Python objects that still exist after `make`, its result included."""
    gc.collect()
    tracemalloc.start()
    try:
        result = make()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
        del result
        return float(size)
    finally:
        tracemalloc.stop()


def process_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, user and system, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_bytes().rpartition(b")")[2].split()
    return (int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])) / TICKS_PER_SECOND


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the value that this fraction of the values does not exceed, or nan without values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def run_in_fresh_process(
    measure: Callable[Parameters, Measurement], *args: Parameters.args, **kwargs: Parameters.kwargs
) -> Measurement:
    """Run `measure` in a new process and return its result.

    No measurement is affected by the memory of another one.
    """
    with ProcessPoolExecutor(1, get_context("spawn")) as pool:
        return pool.submit(measure, *args, **kwargs).result()
