"""When and to which address a follower connects: the order of addresses, backoff, return to the first.

No I/O. Times in ms.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256
from random import Random

MOST_DOUBLINGS = 16


@dataclass(frozen=True, slots=True)
class FollowerTiming:
    """Times of a follower, ms. A heartbeat comes each second."""

    first_line_ms: float = 2000.0
    silence_ms: float = 3000.0
    behind_ms: float = 3000.0  # a control process that stays behind this follower is left after it
    reconnect_ms: float = 100.0
    reconnect_most_ms: float = 1500.0
    return_ms: float = 60_000.0  # the first address is tried again after this to twice as long


def address_order(name: str, addresses: list[str]) -> list[str]:
    """The addresses in the order of the follower `name`.

    Rendezvous hashing (Thaler and Ravishankar, 1998): followers spread over the addresses, and those of a
    lost one over the rest.
    """
    return sorted(addresses, key=lambda address: sha256(f"{name}|{address}".encode()).digest())


class ReconnectSchedule:
    """The address to connect to, how long to wait before it, and when to go back to the first one."""

    def __init__(self, addresses: list[str], timing: FollowerTiming, random: Random) -> None:
        self.addresses = addresses
        self.timing = timing
        self.random = random
        self.position = 0  # in the order of addresses; grows with each failure
        self.failures = 0  # in a row
        self.return_at = float("inf")

    @property
    def address(self) -> str:
        """The address whose turn it is."""
        return self.addresses[self.position % len(self.addresses)]

    def connecting(self, address: str, now: float) -> None:
        """A connection is begun; to another address than the first, the return is set to a random time."""
        wait = self.timing.return_ms * (1.0 + self.random.random())
        self.return_at = float("inf") if address == self.addresses[0] else now + wait

    def message_received(self) -> None:
        """A control process has sent a message: the next failure is the first in a row."""
        self.failures = 0

    def next_address(self) -> float:
        """Go on to the next address; the wait before it, ms.

        Guards control against followers that all come back at once: each failure in a row doubles the wait,
        at a random part of it; and against an address that is lost: the next in order is tried.
        """
        self.position += 1
        longest = min(self.timing.reconnect_most_ms, self.timing.reconnect_ms * 2**self.failures)
        wait = longest * (0.5 + 0.5 * self.random.random())
        self.failures = min(self.failures + 1, MOST_DOUBLINGS)
        return wait

    def first_address(self) -> None:
        """Go back to the first address."""
        self.position = 0
