"""What the service's state machines ask of the event loop: its methods, and those of open connections.

The state machines never call these themselves: they emit them as effects, which the loop carries out after
the input. Only what merely looks (`has_partial_message`, `received_bytes`, `has_unread_bytes`) is called at
once.
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
    """What the event loop does for the state machines beyond an open connection."""

    def start_timer(self, timer: Timer) -> None:
        """Bring the timer's input when it is due, unless it is cancelled by then."""
        ...

    def connect_host(self, connection: HostConnection, address: str) -> None:
        """Connect; HOST_CONNECTED or HOST_DISCONNECTED comes of it."""
        ...

    def connect_counter(self, connection: CounterConnection) -> None:
        """Connect; COUNTER_CONNECTED or COUNTER_DISCONNECTED comes of it."""
        ...

    def connect_watch(self, watch: Watch) -> None:
        """Connect to discovery; WATCH_CONNECTED or WATCH_DISCONNECTED comes of it."""
        ...

    def accept_connections(self, on: bool) -> None:
        """Accept clients' connections, or leave them to the system's queue."""
        ...

    def stop_listening(self) -> None:
        """Accept what waits in the system's queue, then close the listener."""
        ...

    def stop_process(self) -> None:
        """End the process after this turn of the loop."""
        ...


class EventLogPort(Protocol):
    """The event log, and the counters that it shows."""

    counts: Counter[str]

    def event(self, event: str, /, **figures: Any) -> None:
        """Write one line."""
        ...


class Link(Protocol):
    """An open connection."""

    def abort(self) -> None:
        """Close at once; what is not written is lost."""
        ...


class ClientLinkPort(Link, Protocol):
    """A client's open connection. `record` is its `ClientConnection`."""

    record: Any
    received_bytes: int  # bytes received

    def send(self, data: bytes) -> None:
        """Write, or keep until the client reads."""
        ...

    def close(self) -> None:
        """Close our side once all is written; CLIENT_WRITE_CLOSED comes then."""
        ...

    def end(self) -> None:
        """Close both sides once all is written."""
        ...

    def check_unread(self, then: Input) -> None:
        """Bring `then` if no received byte lies unread."""
        ...

    def drain_input(self) -> None:
        """Read and drop more of what comes on a connection that is over."""
        ...

    def has_partial_message(self) -> bool:
        """Whether a command has begun and not ended."""
        ...


class HostLinkPort(Link, Protocol):
    """An open connection to a host."""

    received_bytes: int  # bytes received

    def send(self, data: bytes, at_once: bool) -> None:
        """Write a request; HOST_REQUEST_WRITTEN or HOST_STALE comes of it."""
        ...

    def has_partial_message(self) -> bool:
        """Whether a response has begun and not ended."""
        ...


class CounterLinkPort(Link, Protocol):
    """An open connection to the counter."""

    def send(self, data: bytes) -> None:
        """Write calls."""
        ...

    def has_partial_message(self) -> bool:
        """Whether a reply has begun and not ended."""
        ...


class WatchLinkPort(Link, Protocol):
    """An open watch on discovery."""

    def has_unread_bytes(self) -> bool:
        """Whether received bytes wait to be read."""
        ...
