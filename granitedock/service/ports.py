"""The interfaces through which the service's state machines use the event loop and open connections.

The state machines emit calls of these methods as effects, which the event loop carries out after the input
has been handled. Only the event log and queries are used directly: `received_bytes`, `check_peer`,
`has_partial_message`, `has_unread_bytes`, `unsent_bytes`, `input_waits`, `unacknowledged_bytes` and
`timer_count`.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from granitedock.service.counter_connection import CounterConnection
    from granitedock.service.discovery_watch import Watch
    from granitedock.service.host_connection import HostConnection
    from granitedock.service.inputs import Input
    from granitedock.service.timers import Timer


class GatewayIO(Protocol):
    """What the event loop does for the state machines, apart from open connections."""

    def start_timer(self, timer: Timer) -> None:
        """Schedule the timer: its input is handled when the timer expires, unless it is cancelled before."""
        ...

    def timer_count(self) -> int:
        """Return how many timers are stored, cancelled ones included."""
        ...

    def connect_host(self, connection: HostConnection, address: str) -> None:
        """Connect to a host; the result is the input HOST_CONNECTED or HOST_DISCONNECTED."""
        ...

    def connect_counter(self, connection: CounterConnection) -> None:
        """Connect to the counter; the result is the input COUNTER_CONNECTED or COUNTER_DISCONNECTED."""
        ...

    def connect_watch(self, watch: Watch) -> None:
        """Connect to discovery; the result is the input WATCH_CONNECTED or WATCH_DISCONNECTED."""
        ...

    def accept_connections(self, on: bool) -> None:
        """Accept clients' connections, or leave them in the listener's backlog."""
        ...

    def stop_listening(self) -> None:
        """Accept the connections in the listener's backlog, then close the listener."""
        ...

    def stop_process(self) -> None:
        """Exit the process after this iteration of the event loop."""
        ...


class EventLogPort(Protocol):
    """The event log, and the counters that it reports."""

    counts: Counter[str]

    def event(self, event: str, /, **figures: Any) -> None:
        """Write one line."""
        ...


class Link(Protocol):
    """An open connection."""

    def abort(self) -> None:
        """Reset the connection at once; unwritten output is lost."""
        ...


class ClientLinkPort(Link, Protocol):
    """An open connection of a client. `record` is its `ClientConnection`."""

    record: Any
    received_bytes: int  # All bytes received on the connection so far.
    # The earliest time at which input that is parsed now may have arrived, Unix ms; infinity if unknown.
    earliest_arrival_ms: float

    def send(self, data: bytes) -> None:
        """Write the data, or buffer it until the client reads."""
        ...

    def close(self) -> None:
        """Half-close: close the sending direction after all output; then CLIENT_WRITE_CLOSED is handled."""
        ...

    def close_both_sides(self) -> None:
        """Close both directions at once."""
        ...

    def unsent_bytes(self) -> int:
        """Return how many bytes of replies wait in this process because the client does not read them."""
        ...

    def input_waits(self) -> bool:
        """Return whether received input waits for the scheduler, or for replies to earlier commands."""
        ...

    def hold_input(self) -> None:
        """Stop reading and parsing, as too many commands wait for their replies."""
        ...

    def release_input(self) -> None:
        """Go on reading and parsing."""
        ...

    def check_peer(self, look_ahead: bool = True) -> bool:
        """Return whether the client has closed the connection, read or not; if so, end it.

        `look_ahead` is whether to read ahead for a close that nothing else tells of.
        """
        ...

    def check_unread(self, then: Input) -> None:
        """Handle the input `then` if no received byte is unread and all output is sent."""
        ...

    def drain_input(self) -> None:
        """Read and drop further input of a connection that is closing."""
        ...

    def has_partial_message(self) -> bool:
        """Return whether a command is partly received."""
        ...


class HostLinkPort(Link, Protocol):
    """An open connection to a host."""

    received_bytes: int  # All bytes received on the connection so far.

    def send(self, data: bytes, at_once: bool) -> None:
        """Write a request; the result is the input HOST_REQUEST_WRITTEN or HOST_STALE.

        Without `at_once` the request is written in the next iteration of the event loop.
        """
        ...

    def unacknowledged_bytes(self) -> int | None:
        """Return how many written bytes the host's machine has not acknowledged, or None if unknown."""
        ...

    def has_partial_message(self) -> bool:
        """Return whether a response is partly received."""
        ...


class CounterLinkPort(Link, Protocol):
    """An open connection to the counter."""

    def send(self, data: bytes) -> None:
        """Write calls."""
        ...

    def has_partial_message(self) -> bool:
        """Return whether a reply is partly received."""
        ...


class WatchLinkPort(Link, Protocol):
    """An open watch on discovery."""

    def has_unread_bytes(self) -> bool:
        """Return whether the socket has received bytes that are unread."""
        ...
