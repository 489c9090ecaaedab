"""Selects the lines that a control process sends to its followers, and tracks their versions. No I/O.

Each follower has a cursor, the last version that was written to it. Its next line is computed when its
connection has room (`next_line`), so no send queue grows for a slow follower. A follower that is further
behind than the retained log, or that has another digest, gets a whole snapshot. The number of concurrent
snapshots is limited, so that a fleet that restarts does not occupy the process's whole core and memory at
once.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable

from granitedock.configuration.change_log import ChangeLog
from granitedock.configuration.document import digest_text
from granitedock.configuration.follower_session import FollowerSession, FollowerStatus, SessionConnection
from granitedock.configuration.message_codec import encode
from granitedock.configuration.messages import Current, FromFollower, InForce, Resend, VersionedChange

MAX_ACTIVE_SNAPSHOTS = 16
SNAPSHOT_STALL_TIMEOUT_MS = 5000.0  # A snapshot without a written line for this long loses its slot.


class Publisher:
    """Sessions, the change log and the snapshots in progress.

    `make_snapshot()` returns the encoded lines of the whole current document.
    """

    def __init__(self, cluster: str, make_snapshot: Callable[[], list[bytes]]) -> None:
        self.cluster = cluster
        self.make_snapshot = make_snapshot
        self.version = 0
        self.digest = 0
        self.log = ChangeLog()
        self.sessions: dict[FollowerSession, None] = {}
        self.snapshot_queue: deque[FollowerSession] = deque()  # Sessions that wait for a snapshot slot.
        self.active_snapshots: dict[FollowerSession, None] = {}  # Sessions whose snapshot is in progress.
        self.cached_version = -1
        self.cached_lines: list[bytes] = []  # Lines of the snapshot of `cached_version`.
        self.counts: Counter[str] = Counter()

    # Publishing versions.

    def load(self, version: int, digest: int, changes: list[VersionedChange], now: float) -> None:
        """Load the version, digest and logged changes of the store at the start."""
        self.version = version
        self.digest = digest
        for change in changes:
            self.log.add(change, now)

    def publish(self, change: VersionedChange, now: float) -> list[FollowerSession]:
        """Publish a new version. Returns the sessions to write to."""
        self.version = change.version
        self.digest = change.digest
        self.log.add(change, now)
        return list(self.sessions)

    def publish_snapshot(self, version: int, digest: int, now: float) -> list[FollowerSession]:
        """Publish a whole new document, as a replica does. Returns the sessions to write to."""
        self.version = version
        self.digest = digest
        self.log.restart(version, digest, now)
        return list(self.sessions)

    # Sessions of followers.

    def open_session(
        self, name: str, role: str, connection: SessionConnection, version: int, digest: int, now: float
    ) -> FollowerSession:
        """Open a session for a follower that has `version` in force.

        If the follower's version is newer, or the same with the same digest, the first line states the
        version of this process. Prevents a process that is behind the follower from replacing the follower's
        newer version by an older one.
        """
        session = FollowerSession(name, role, connection, version, version, digest, now, now)
        self.sessions[session] = None
        self.counts["followers_opened"] += 1
        if version > self.version or (version == self.version and digest == self.digest):
            session.greeting = encode(Current(self.cluster, self.version, self.digest))
        elif not self.log.can_resume_from(version, digest):
            self.start_snapshot(session)
        return session

    def close_session(self, session: FollowerSession) -> None:
        """Remove the session of a follower whose connection has ended."""
        self.sessions.pop(session, None)
        self.active_snapshots.pop(session, None)

    def message_received(self, session: FollowerSession, message: FromFollower) -> None:
        """Handle a follower's message: start a snapshot, or record the version that it has in force."""
        if isinstance(message, Resend):
            self.counts["resends"] += 1
            self.start_snapshot(session)
        elif isinstance(message, InForce):
            session.version = message.version
            session.digest = message.digest

    # Lines for a follower.

    def next_line(self, session: FollowerSession, now: float) -> bytes | None:
        """Return the next line for the follower, or None if there is none at present.

        The connection calls this again when it has room or when a new version is published.
        """
        line = self.pending_line(session)
        if line is not None:
            session.progressed_at = now
        return line

    def pending_line(self, session: FollowerSession) -> bytes | None:
        """Return the greeting, the next line of the snapshot in progress, or the change after the cursor."""
        if session.greeting:
            greeting = session.greeting
            session.greeting = b""
            return greeting
        if session.remaining_lines is not None:
            line = next(session.remaining_lines, None)
            if line is not None:
                return line
            self.finish_snapshot(session)
        if session.queued or session.cursor >= self.version:
            return None
        # A follower at version 0 needs the whole document, because it may have plans of the platform file
        # that no change would remove.
        line = self.log.lines.get(session.cursor + 1) if session.cursor else None
        if line is None:
            self.start_snapshot(session)
            return self.pending_line(session) if session.remaining_lines is not None else None
        session.cursor += 1
        return line

    # Snapshots.

    def start_snapshot(self, session: FollowerSession) -> None:
        """Start a snapshot for a follower, or queue the session if all snapshot slots are in use."""
        if session.queued or session.remaining_lines is not None:
            return
        if len(self.active_snapshots) >= MAX_ACTIVE_SNAPSHOTS:
            session.queued = True
            self.snapshot_queue.append(session)
            return
        if self.cached_version != self.version:
            self.cached_lines = self.make_snapshot()
            self.cached_version = self.version
        self.active_snapshots[session] = None
        self.counts["snapshots"] += 1
        session.remaining_lines = iter(self.cached_lines)
        session.snapshot_version = self.version

    def finish_snapshot(self, session: FollowerSession) -> None:
        """Move the cursor to the snapshot's version and free its slot once all of its lines are written."""
        session.remaining_lines = None
        session.cursor = session.snapshot_version
        self.active_snapshots.pop(session, None)

    def start_queued_snapshots(self) -> list[FollowerSession]:
        """Start queued snapshots up to the limit. Returns the sessions to write to."""
        started = []
        while self.snapshot_queue and len(self.active_snapshots) < MAX_ACTIVE_SNAPSHOTS:
            session = self.snapshot_queue.popleft()
            if session in self.sessions:
                session.queued = False
                self.start_snapshot(session)
                started.append(session)
        return started

    def stalled_sessions(self, now: float) -> list[FollowerSession]:
        """Return the sessions whose snapshot makes no progress.

        The caller closes their connections, so that queued sessions get the snapshot slots.
        """
        return [
            session
            for session in self.active_snapshots
            if now - session.progressed_at > SNAPSHOT_STALL_TIMEOUT_MS
        ]

    # Status.

    def lag_ms(self, session: FollowerSession, now: float) -> float:
        """Return for how many ms the first version that the follower lacks has been known here.

        Returns 0 if it lacks none, and the time since it connected if that version is no longer logged.
        """
        if session.version >= self.version:
            return 0.0
        return now - self.log.known_at.get(session.version + 1, session.connected_at)

    def status(self, now: float) -> list[FollowerStatus]:
        """Return the status of each follower, sorted by role and name."""
        return [
            FollowerStatus(
                session.name,
                session.role,
                session.version,
                digest_text(session.digest),
                self.lag_ms(session, now),
                now - session.connected_at,
            )
            for session in sorted(self.sessions, key=lambda session: (session.role, session.name))
        ]
