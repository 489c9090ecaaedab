"""What a control process knows of one connected follower."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol


class SessionConnection(Protocol):
    """The network connection of a follower (`control_connection.py`)."""

    @property
    def writable(self) -> bool:
        """Whether it is up, and its transport takes more bytes."""
        ...

    def write_next(self) -> None:
        """Write some of what the follower needs."""
        ...

    def close(self) -> None:
        """End the connection."""
        ...


@dataclass(eq=False, slots=True)
class FollowerSession:
    """One connection of a gateway or a replica; times in ms of the process's clock.

    `cursor` is the version written to it last, once any was; `version` and `digest` are what it says to have
    in force.
    """

    name: str
    role: str
    connection: SessionConnection
    cursor: int
    version: int
    digest: int
    since: float
    progressed_at: float
    pages: Iterator[bytes] | None = None  # of the snapshot on its way
    snapshot_version: int = 0
    queued: bool = False  # for its turn to get a snapshot
    greeting: bytes = b""


@dataclass(frozen=True, slots=True)
class FollowerStatus:
    """How one follower stands: `lag_ms` is how long the first version that it lacks has been known here."""

    name: str
    role: str
    version: int
    digest: str
    lag_ms: float
    connected_ms: float
