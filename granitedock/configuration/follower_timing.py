"""The order in which a follower tries addresses, its reconnect backoff, and the return to the first address.

No I/O. Times are in ms.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256
from random import Random

MAX_BACKOFF_DOUBLINGS = 16


@dataclass(frozen=True, slots=True)
class FollowerTiming:
    """Timeouts and intervals of a follower, in ms; a control process sends a heartbeat every second."""

    first_line_timeout_ms: float = 2000.0
    silence_timeout_ms: float = 3000.0
    behind_timeout_ms: float = 3000.0  # Limit for a control process that stays behind the follower.
    backoff_base_ms: float = 100.0
    backoff_max_ms: float = 1500.0
    # Minimum of the random delay before the return to the first address; the maximum is twice as long.
    return_after_ms: float = 60_000.0


def address_order(name: str, addresses: list[str]) -> list[str]:
    """Return the addresses in the order in which the follower `name` tries them.

    Rendezvous hashing (Thaler and Ravishankar, 1998) distributes followers over the addresses, and the
    followers of a failed address over the remaining ones.
    """
    return sorted(addresses, key=lambda address: sha256(f"{name}|{address}".encode()).digest())


class ReconnectSchedule:
    """The address to connect to next, the backoff before it, and the time to return to the first address."""

    def __init__(self, addresses: list[str], timing: FollowerTiming, random: Random) -> None:
        self.addresses = addresses
        self.timing = timing
        self.random = random
        self.position = 0  # Index modulo the number of addresses; grows with each failure.
        self.failures = 0  # Consecutive failures.
        self.return_at = float("inf")

    @property
    def address(self) -> str:
        """Return the address to connect to."""
        return self.addresses[self.position % len(self.addresses)]

    def connection_started(self, address: str, now: float) -> None:
        """Schedule the return to the first address, at a random time, if `address` is another one."""
        wait = self.timing.return_after_ms * (1.0 + self.random.random())
        self.return_at = float("inf") if address == self.addresses[0] else now + wait

    def reset_backoff(self) -> None:
        """Reset the backoff after a message from a control process; the next failure counts as the first."""
        self.failures = 0

    def advance_address(self) -> float:
        """Advance to the next address and return the backoff before connecting to it, in ms.

        Prevents a burst of reconnecting followers at a control process: each consecutive failure doubles the
        maximum wait up to `backoff_max_ms`, and the wait is a random time from half of it to all of it. The
        next address is tried because the present one may be down for long.
        """
        self.position += 1
        max_wait_ms = min(self.timing.backoff_max_ms, self.timing.backoff_base_ms * 2**self.failures)
        wait = max_wait_ms * (0.5 + 0.5 * self.random.random())
        self.failures = min(self.failures + 1, MAX_BACKOFF_DOUBLINGS)
        return wait

    def return_to_first_address(self) -> None:
        """Return to the first address of the order."""
        self.position = 0
