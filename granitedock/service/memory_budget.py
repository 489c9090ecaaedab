"""A bound on the bytes that many connections may hold together."""

from __future__ import annotations


class MemoryBudget:
    """Counts the bytes in use against a limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def take(self, count: int, share: float = 1.0) -> bool:
        """Reserve bytes, or return False and reserve none if this share of the limit would be exceeded."""
        if self.used_bytes + count > self.limit_bytes * share:
            return False
        self.used_bytes += count
        return True

    def give_back(self, count: int) -> None:
        """Free bytes that were reserved."""
        self.used_bytes -= count
