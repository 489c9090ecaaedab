"""States and events of a follower's connection to a control process, and its transition table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from granitedock.configuration.messages import Message
from granitedock.configuration.snapshot_progress import SnapshotProgress
from granitedock.state_table import StateEnum


class ConnectionState(StateEnum):
    """State of a connection; the values appear in the status."""

    CLOSED = "closed"
    CONNECTING = "dialling"
    AWAITING_FIRST_LINE = "asked"
    FOLLOWING = "following"
    ABANDONED = "gone"  # Another connection has replaced it, or the follower has stopped.


class ConnectionEvent(StateEnum):
    """Event of a connection."""

    CONNECT_DUE = "connect due"
    CONNECTED = "connected"
    DISCONNECTED = "disconnected"
    LINE_RECEIVED = "line received"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    BEHIND = "behind"
    RETURN_DUE = "return due"


class WatchConnection(Protocol):
    """The established network connection of a `Connection`."""

    def send(self, message: Message) -> None:
        """Send a message to the control process."""
        ...

    def abort(self) -> None:
        """Abort the connection; no further data is read from it."""
        ...


@dataclass(eq=False, slots=True)
class Connection:
    """One connection to a control process, from before it is opened. Times are ms of the follower's clock."""

    address: str
    state: ConnectionState = ConnectionState.CLOSED
    network: WatchConnection | None = None
    last_received_at: float = 0.0
    behind_since: float | None = None  # Set while the control process has an older version.
    snapshot_requested: bool = False  # At most one request per connection.
    snapshot: SnapshotProgress | None = None  # Snapshot that is being received.


State = ConnectionState
Event = ConnectionEvent
TRANSITIONS = {
    (State.CLOSED, Event.CONNECT_DUE): (State.CONNECTING, "connect"),
    (State.CONNECTING, Event.CONNECTED): (State.AWAITING_FIRST_LINE, None),
    (State.CONNECTING, Event.DISCONNECTED): (State.ABANDONED, "try_next_address"),
    (State.AWAITING_FIRST_LINE, Event.LINE_RECEIVED): (State.FOLLOWING, None),
    (State.AWAITING_FIRST_LINE, Event.DISCONNECTED): (State.ABANDONED, "try_next_address"),
    (State.AWAITING_FIRST_LINE, Event.REJECTED): (State.ABANDONED, "abort_and_try_next"),
    (State.AWAITING_FIRST_LINE, Event.TIMED_OUT): (State.ABANDONED, "abort_and_try_next"),
    (State.FOLLOWING, Event.DISCONNECTED): (State.ABANDONED, "try_next_address"),
    (State.FOLLOWING, Event.REJECTED): (State.ABANDONED, "abort_and_try_next"),
    (State.FOLLOWING, Event.TIMED_OUT): (State.ABANDONED, "abort_and_try_next"),
    (State.FOLLOWING, Event.BEHIND): (State.ABANDONED, "abort_and_try_next"),
    (State.FOLLOWING, Event.RETURN_DUE): (State.ABANDONED, "abort_and_try_first"),
    (State.ABANDONED, Event.CONNECTED): (State.ABANDONED, "abort"),  # Established after it was abandoned.
}
