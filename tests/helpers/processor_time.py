"""Processor time that one read of one connection takes, with the bound that tests hold it to.

Processor time and not real time, so that a busy machine does not count.
"""

import gc
import time
from contextlib import contextmanager

READ_BYTES = 65536  # A Twisted transport reads at most this much at once.
# The platform's pages allow for a gateway that is held up for this long between two looks at its clock.
MAX_HOLD_S = 0.15


@contextmanager
def frozen_heap():
    """Keep the heap of the test run out of garbage collections, as the service does at its start.

    A collection of it within a measured time took up to 0.1 s.
    """
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


class HoldTimer:
    """Measures calls, and keeps the processor time of the longest in `longest_s`."""

    def __init__(self):
        self.longest_s = 0.0

    def measure(self, function, *arguments):
        started = time.thread_time()
        function(*arguments)
        self.longest_s = max(self.longest_s, time.thread_time() - started)
