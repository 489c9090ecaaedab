"""The shared counter of a simulation, and the gateways that are cut off from it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class CounterEntry:
    """The total of a counter, and the time at which it expires (ms of the simulated clock)."""

    total: float
    expires_at: float


class SimulatedCounter:
    """Totals by name; each expires a fixed time after its first increment."""

    def __init__(self) -> None:
        self.entries: dict[int, CounterEntry] = {}
        self.disconnected_since: dict[int, float] = {}  # by the gateway's number
        self.calls = 0  # calls that gateways made, including lost ones

    def increment(self, name: int, amount: float, ttl_ms: float, now: float) -> float:
        """Add `amount` to a total, and return the new total."""
        entry = self.entries.get(name)
        if entry is None or entry.expires_at <= now:
            entry = self.entries[name] = CounterEntry(0.0, now + ttl_ms)
        entry.total += amount
        return entry.total
