"""What each message from a control process means for a follower's document. No I/O.

What is in force is never taken back to an older version. A change that does not fit asks for a whole
snapshot, once a connection; a message that may not come at this point raises MalformedLineError.
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

MOST_REASON = 200  # characters of a reason in the log
CHANGE_IN_SNAPSHOT = "a change within a snapshot"
FOLLOWERS_MESSAGE = "a follower's message from control"
GAP = "gap"
DIGEST = "digest"


class MessageHandler:
    """Applies messages to the document; `count(name)` counts what an operator should know."""

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
        """Apply one message that came at `now` (ms). Raises ConfigurationError."""
        if isinstance(message, Current):
            self.current(connection, message, now)
        elif isinstance(message, VersionedChange):
            self.change(connection, message)
        elif isinstance(message, SnapshotBegins):
            self.snapshot_begins(connection, message, now)
        elif isinstance(message, Page):
            self.page(connection, message)
        elif isinstance(message, SnapshotEnds):
            self.snapshot_ends(connection, message)
        else:
            raise MalformedLineError(FOLLOWERS_MESSAGE)

    def check_cluster(self, cluster: str) -> None:
        """Raise MalformedLineError for another cluster's configuration."""
        if cluster != self.cluster:
            problem = f"the configuration of cluster {cluster!r}, not {self.cluster!r}"
            raise MalformedLineError(problem)

    def current(self, connection: Connection, message: Current, now: float) -> None:
        """The control process has nothing newer: the same, or an older version, or another digest."""
        self.check_cluster(message.cluster)
        if message.version < self.document.version:
            connection.behind_since = connection.behind_since or now
        elif (message.version, message.digest) != (self.document.version, self.document.digest):
            self.request_snapshot(connection, DIGEST)

    def change(self, connection: Connection, change: VersionedChange) -> None:
        """Apply a change that fits the version in force.

        Guards against changes that come twice (ignored) and such that leave one out, or begin at none (a
        whole snapshot is requested, once a connection).
        """
        document = self.document
        if connection.snapshot is not None:
            raise MalformedLineError(CHANGE_IN_SNAPSHOT)
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
            except ConfigurationError as fault:
                self.count("differing")
                self.request_snapshot(connection, str(fault))
                return
            connection.behind_since = None
            self.report_in_force(connection)

    def report_in_force(self, connection: Connection) -> None:
        """Tell the control process which version is in force now."""
        self.count("in_force")
        self.transport.send(connection, InForce(self.document.version, self.document.digest))

    def request_snapshot(self, connection: Connection, why: str) -> None:
        """Ask for a whole snapshot; a second need on one connection ends it (MalformedLineError)."""
        if connection.snapshot_requested:
            if connection.snapshot is None and why != GAP:
                problem = f"does not fit after a whole snapshot either: {why}"
                raise MalformedLineError(problem)
            return
        connection.snapshot_requested = True
        self.count("resends")
        self.log("configuration snapshot requested", control=connection.address, why=why[:MOST_REASON])
        self.transport.send(connection, Resend())

    def snapshot_begins(self, connection: Connection, message: SnapshotBegins, now: float) -> None:
        """Begin a snapshot; one that is older than what is in force is skipped."""
        self.check_cluster(message.cluster)
        skipped = message.version < self.document.version
        connection.snapshot = SnapshotProgress(message, skipped)
        if skipped:
            connection.behind_since = connection.behind_since or now
        else:
            self.document.begin_snapshot()

    def page(self, connection: Connection, page: Page) -> None:
        """Take a page of the snapshot on its way."""
        progress = check_page(connection.snapshot, page)
        if not progress.skipped:
            self.document.add_page(page.edit)

    def snapshot_ends(self, connection: Connection, message: SnapshotEnds) -> None:
        """Put the snapshot in force."""
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
