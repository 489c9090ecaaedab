"""The shared counter of a simulation, with the gateways that are cut off from it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class CounterEntry:
    """A counter's total, and when it expires (ms of the simulated clock)."""

    total: float
    expires_at: float


class SimulatedCounter:
    """Totals by name; each expires a fixed time after its first increment."""

    def __init__(self) -> None:
        self.entries: dict[int, CounterEntry] = {}
        self.disconnected_since: dict[int, float] = {}  # by the gateway's number
        self.calls = 0  # that gateways made, also those that were lost

    def increment(self, name: int, amount: float, ttl_ms: float, now: float) -> float:
        """Add to a total; the total after it."""
        entry = self.entries.get(name)
        if entry is None or entry.expires_at <= now:
            entry = self.entries[name] = CounterEntry(0.0, now + ttl_ms)
        entry.total += amount
        return entry.total
