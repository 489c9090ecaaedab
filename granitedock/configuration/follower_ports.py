"""Ports of a follower: its document, the transport of its connections, and its event log."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from granitedock.configuration.document import Edit
from granitedock.configuration.follower_states import Connection
from granitedock.configuration.messages import Message, VersionedChange


class FollowedDocument(Protocol):
    """The document that the follower keeps up to date (`replicated_document.py`)."""

    @property
    def version(self) -> int:
        """Return the version in force."""
        ...

    @property
    def digest(self) -> int:
        """Return the digest of the version in force."""
        ...

    def apply_change(self, change: VersionedChange) -> None:
        """Put a change in force, atomically. Raises ConfigurationError."""
        ...

    def begin_snapshot(self) -> None:
        """Start receiving a snapshot; the version in force stays until the snapshot ends."""
        ...

    def add_page(self, edit: Edit) -> None:
        """Add entries to the incoming snapshot. Raises ConfigurationError."""
        ...

    def end_snapshot(self, version: int, digest: int) -> None:
        """Put the snapshot in force, atomically. Raises ConfigurationError."""
        ...


class TransportPort(Protocol):
    """Operations that the follower requires of its transport (`follower_connection.py`)."""

    def connect(self, connection: Connection, address: str) -> None:
        """Start connecting; the result is passed to the follower's `connected` or `disconnected`."""
        ...

    def send(self, connection: Connection, message: Message) -> None:
        """Send a message to the control process."""
        ...

    def abort(self, connection: Connection) -> None:
        """Abort a connection."""
        ...

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """After `delay_ms`, update the follower's clock and call `callback`."""
        ...


class EventLogger(Protocol):
    """A function that logs an event and its values for operators."""

    def __call__(self, event: str, /, **figures: object) -> None:
        """Log one event."""
        ...
