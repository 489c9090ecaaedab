"""What a follower works through: its document, and the transport that carries its connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from granitedock.configuration.document import Edit
from granitedock.configuration.follower_states import Connection
from granitedock.configuration.messages import Message, VersionedChange


class FollowedDocument(Protocol):
    """What the follower keeps its configuration in (`replicated_document.py`)."""

    @property
    def version(self) -> int:
        """The version in force."""
        ...

    @property
    def digest(self) -> int:
        """The digest of the version in force."""
        ...

    def apply_change(self, change: VersionedChange) -> None:
        """Put a change in force, whole or not at all. Raises ConfigurationError."""
        ...

    def begin_snapshot(self) -> None:
        """A whole document is to come; what is in force stays until its end."""
        ...

    def add_page(self, edit: Edit) -> None:
        """Take entries of the snapshot. Raises ConfigurationError."""
        ...

    def end_snapshot(self, version: int, digest: int) -> None:
        """Put the snapshot in force, whole or not at all. Raises ConfigurationError."""
        ...


class TransportPort(Protocol):
    """What the follower asks of its transport (`follower_connection.py`)."""

    def connect(self, connection: Connection, address: str) -> None:
        """Begin to connect; `connected` or `disconnected` of the follower says how it went."""
        ...

    def send(self, connection: Connection, message: Message) -> None:
        """Send a message to the control process."""
        ...

    def abort(self, connection: Connection) -> None:
        """End a connection at once."""
        ...

    def call_later(self, after_ms: float, act: Callable[[], None]) -> None:
        """Call `act` after so many ms, with the follower's clock brought up to date."""
        ...


class EventLogger(Protocol):
    """A function that logs an event with its figures, for operators to see."""

    def __call__(self, event: str, /, **figures: object) -> None:
        """Log one event."""
        ...
