"""The state that a control process keeps for one connected follower."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol


class SessionConnection(Protocol):
    """The network connection of a follower (`control_connection.py`)."""

    @property
    def writable(self) -> bool:
        """Whether the connection is open and its transport accepts more bytes."""
        ...

    def write_pending_lines(self) -> None:
        """Write pending lines to the follower, up to a limit per turn."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


@dataclass(eq=False, slots=True)
class FollowerSession:
    """One connection of a gateway or a replica; times are in ms of the process's clock.

    `cursor` is the last version written to the follower, at first the version that it reported when it
    connected. `version` and `digest` are those that the follower reports to have in force.
    """

    name: str
    role: str
    connection: SessionConnection
    cursor: int
    version: int
    digest: int
    connected_at: float
    # Time, in ms, at which the last line was handed to the connection; at first, the time of connecting.
    progressed_at: float
    remaining_lines: Iterator[bytes] | None = None  # Unsent lines of the snapshot in progress.
    snapshot_version: int = 0  # Version of the last snapshot that was started.
    queued: bool = False  # Whether the session waits for a snapshot slot.
    # Line with the version and digest of the control process, to be written before all others. Empty if the
    # follower needs none or the line has been handed to the connection.
    greeting: bytes = b""


@dataclass(frozen=True, slots=True)
class FollowerStatus:
    """The status of one follower.

    `lag_ms` is the time since the first version that it lacks became known, or 0 if it lacks none.
    """

    name: str
    role: str
    version: int
    digest: str
    lag_ms: float
    connected_ms: float
