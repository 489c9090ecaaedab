"""Applies each message from a control process to a follower's document. No I/O.

The version in force never decreases. A change that does not apply to the version in force causes a request
for a snapshot, at most once per connection; a message that is not allowed in the current state raises
MalformedLineError.
"""

from __future__ import annotations

from collections.abc import Callable

from granitedock.configuration.document import digest_text
from granitedock.configuration.errors import ConfigurationError, MalformedLineError
from granitedock.configuration.follower_ports import EventLogger, FollowedDocument, TransportPort
from granitedock.configuration.follower_states import Connection
from granitedock.configuration.messages import (
    Current,
    InForce,
    Message,
    Page,
    Resend,
    SnapshotBegins,
    SnapshotEnds,
    VersionedChange,
)
from granitedock.configuration.snapshot_progress import SnapshotProgress, check_end, check_page

MAX_REASON_CHARACTERS = 200  # Longer reasons are truncated in the log.
CHANGE_DURING_SNAPSHOT = "change received before the end of a snapshot"
MESSAGE_OF_FOLLOWERS = "control process sent a message that only followers send"
GAP = "gap"
DIGEST = "digest"


class MessageHandler:
    """Applies messages to the document; `count(name)` counts events for operators."""

    def __init__(
        self,
        cluster: str,
        document: FollowedDocument,
        transport: TransportPort,
        log: EventLogger,
        count: Callable[[str], None],
    ) -> None:
        self.cluster = cluster
        self.document = document
        self.transport = transport
        self.log = log
        self.count = count

    def handle(self, connection: Connection, message: Message, now: float) -> None:
        """Apply one message received at `now`, in ms. Raises ConfigurationError."""
        if isinstance(message, Current):
            self.handle_current(connection, message, now)
        elif isinstance(message, VersionedChange):
            self.handle_change(connection, message)
        elif isinstance(message, SnapshotBegins):
            self.handle_snapshot_begins(connection, message, now)
        elif isinstance(message, Page):
            self.handle_page(connection, message)
        elif isinstance(message, SnapshotEnds):
            self.handle_snapshot_ends(connection, message)
        else:
            raise MalformedLineError(MESSAGE_OF_FOLLOWERS)

    def check_cluster(self, cluster: str) -> None:
        """Check that a message is of this cluster. Raises MalformedLineError."""
        if cluster != self.cluster:
            problem = f"cluster: got {cluster!r}, expected {self.cluster!r}"
            raise MalformedLineError(problem)

    def handle_current(self, connection: Connection, message: Current, now: float) -> None:
        """Handle the version of a control process that has nothing newer to send.

        An older version marks the control process as behind; a newer one, or another digest of the same
        version, causes a snapshot request.
        """
        self.check_cluster(message.cluster)
        if message.version < self.document.version:
            connection.behind_since = connection.behind_since or now
        elif (message.version, message.digest) != (self.document.version, self.document.digest):
            self.request_snapshot(connection, DIGEST)

    def handle_change(self, connection: Connection, change: VersionedChange) -> None:
        """Apply a change to the version in force.

        Ignores a change that has already been applied. Requests a snapshot, at most once per connection, if
        an earlier change is missing, no version is in force yet, or the change cannot be applied.
        """
        document = self.document
        if connection.snapshot is not None:
            raise MalformedLineError(CHANGE_DURING_SNAPSHOT)
        if change.version <= document.version:
            self.count("doubled")
            if change.version == document.version:
                connection.behind_since = None
        elif change.version > document.version + 1 or not document.version:
            self.count("gaps")
            self.request_snapshot(connection, GAP)
        else:
            try:
                document.apply_change(change)
            except ConfigurationError as error:
                self.count("differing")
                self.request_snapshot(connection, str(error))
                return
            connection.behind_since = None
            self.report_in_force(connection)

    def report_in_force(self, connection: Connection) -> None:
        """Report the version in force to the control process."""
        self.count("in_force")
        self.transport.send(connection, InForce(self.document.version, self.document.digest))

    def request_snapshot(self, connection: Connection, reason: str) -> None:
        """Request a snapshot, at most once per connection.

        Raises MalformedLineError, which ends the connection, if the document still does not match after the
        snapshot. A further gap is ignored.
        """
        if connection.snapshot_requested:
            if connection.snapshot is None and reason != GAP:
                problem = f"document still does not match after a snapshot: {reason}"
                raise MalformedLineError(problem)
            return
        connection.snapshot_requested = True
        self.count("resends")
        self.log(
            "configuration snapshot requested", control=connection.address, why=reason[:MAX_REASON_CHARACTERS]
        )
        self.transport.send(connection, Resend())

    def handle_snapshot_begins(self, connection: Connection, message: SnapshotBegins, now: float) -> None:
        """Start a snapshot; one that is older than the version in force is skipped."""
        self.check_cluster(message.cluster)
        skipped = message.version < self.document.version
        connection.snapshot = SnapshotProgress(message, skipped)
        if skipped:
            connection.behind_since = connection.behind_since or now
        else:
            self.document.begin_snapshot()

    def handle_page(self, connection: Connection, page: Page) -> None:
        """Add a page to the incoming snapshot, unless it is skipped."""
        progress = check_page(connection.snapshot, page)
        if not progress.skipped:
            self.document.add_page(page.edit)

    def handle_snapshot_ends(self, connection: Connection, message: SnapshotEnds) -> None:
        """Put the complete snapshot in force, unless it is skipped."""
        progress = check_end(connection.snapshot, message)
        connection.snapshot = None
        if not progress.skipped:
            self.document.end_snapshot(message.version, message.digest)
            connection.behind_since = None
            self.count("snapshots")
            self.log(
                "configuration snapshot applied",
                control=connection.address,
                version=message.version,
                digest=digest_text(message.digest),
            )
            self.report_in_force(connection)
