"""What a control process sends to its followers, and what it knows of them. No I/O.

Each follower has a cursor, the last version that was written to it. What it needs next is worked out when its
connection has room (`next_line`), so no queue grows behind a slow one. A follower too far behind the log that
is kept, or with another digest, gets a whole snapshot; only so many at once, so that a fleet that restarts
does not ask for all of the process's core and memory in one moment.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable

from granitedock.configuration.change_log import ChangeLog
from granitedock.configuration.document import digest_text
from granitedock.configuration.follower_session import FollowerSession, FollowerStatus, SessionConnection
from granitedock.configuration.message_codec import encode
from granitedock.configuration.messages import Current, FromFollower, InForce, Resend, VersionedChange

MOST_SNAPSHOTS = 16  # on their way at once
STALLED_MS = 5000.0  # a snapshot of which nothing could be written for so long gives up its place


class Publisher:
    """Followers and what they are sent. `make_snapshot()` gives the lines of the whole present document."""

    def __init__(self, cluster: str, make_snapshot: Callable[[], list[bytes]]) -> None:
        self.cluster = cluster
        self.make_snapshot = make_snapshot
        self.version = 0
        self.digest = 0
        self.log = ChangeLog()
        self.sessions: dict[FollowerSession, None] = {}
        self.queue: deque[FollowerSession] = deque()  # for their turn to get a snapshot
        self.active: dict[FollowerSession, None] = {}  # with a snapshot on its way
        self.cached_version = -1
        self.cached_lines: list[bytes] = []  # of the last snapshot
        self.counts: Counter[str] = Counter()

    # What is published.

    def load(self, version: int, digest: int, changes: list[VersionedChange], now: float) -> None:
        """Take what the store holds at the start."""
        self.version = version
        self.digest = digest
        for change in changes:
            self.log.add(change, now)

    def publish(self, change: VersionedChange, now: float) -> list[FollowerSession]:
        """Take a new version; the followers that have to be written to."""
        self.version = change.version
        self.digest = change.digest
        self.log.add(change, now)
        return list(self.sessions)

    def publish_snapshot(self, version: int, digest: int, now: float) -> list[FollowerSession]:
        """Take a whole document in the place of the one before (at a replica); the followers to write to."""
        self.version = version
        self.digest = digest
        self.log.restart(version, digest, now)
        return list(self.sessions)

    # Followers.

    def open_session(
        self, name: str, role: str, connection: SessionConnection, version: int, digest: int, now: float
    ) -> FollowerSession:
        """Add a follower that has `version` in force.

        Guards its newer version where this process is behind it: the first line says what is here, and
        nothing older is ever sent.
        """
        session = FollowerSession(name, role, connection, version, version, digest, now, now)
        self.sessions[session] = None
        self.counts["followers_opened"] += 1
        if version > self.version or (version == self.version and digest == self.digest):
            session.greeting = encode(Current(self.cluster, self.version, self.digest))
        elif not self.log.reaches_on_from(version, digest):
            self.begin_snapshot(session)
        return session

    def close_session(self, session: FollowerSession) -> None:
        """Forget a follower whose connection has ended."""
        self.sessions.pop(session, None)
        self.active.pop(session, None)

    def message_received(self, session: FollowerSession, message: FromFollower) -> None:
        """Take what a follower says of itself."""
        if isinstance(message, Resend):
            self.counts["resends"] += 1
            self.begin_snapshot(session)
        elif isinstance(message, InForce):
            session.version = message.version
            session.digest = message.digest

    # What a follower is sent.

    def next_line(self, session: FollowerSession, now: float) -> bytes | None:
        """The next line that the follower needs, or None while there is none.

        Asked for again when its connection has room, or when something changed.
        """
        line = self.pending_line(session)
        if line is not None:
            session.progressed_at = now
        return line

    def pending_line(self, session: FollowerSession) -> bytes | None:
        """The next line of the greeting, the snapshot on its way, or the changes after the cursor."""
        if session.greeting:
            greeting = session.greeting
            session.greeting = b""
            return greeting
        if session.pages is not None:
            line = next(session.pages, None)
            if line is not None:
                return line
            self.snapshot_sent(session)
        if session.queued or session.cursor >= self.version:
            return None
        # A follower without a version needs the whole document, as it may have plans of the platform's file,
        # which no change would remove.
        line = self.log.lines.get(session.cursor + 1) if session.cursor else None
        if line is None:
            self.begin_snapshot(session)
            return self.pending_line(session) if session.pages is not None else None
        session.cursor += 1
        return line

    # Snapshots.

    def begin_snapshot(self, session: FollowerSession) -> None:
        """Begin a snapshot for a follower, or queue it for its turn."""
        if session.queued or session.pages is not None:
            return
        if len(self.active) >= MOST_SNAPSHOTS:
            session.queued = True
            self.queue.append(session)
            return
        if self.cached_version != self.version:
            self.cached_lines = self.make_snapshot()
            self.cached_version = self.version
        self.active[session] = None
        self.counts["snapshots"] += 1
        session.pages = iter(self.cached_lines)
        session.snapshot_version = self.version

    def snapshot_sent(self, session: FollowerSession) -> None:
        """All lines of a snapshot are written."""
        session.pages = None
        session.cursor = session.snapshot_version
        self.active.pop(session, None)

    def next_snapshots(self) -> list[FollowerSession]:
        """Begin the snapshots whose turn has come; the followers that have to be written to."""
        begun = []
        while self.queue and len(self.active) < MOST_SNAPSHOTS:
            session = self.queue.popleft()
            if session in self.sessions:
                session.queued = False
                self.begin_snapshot(session)
                begun.append(session)
        return begun

    def stalled(self, now: float) -> list[FollowerSession]:
        """Snapshots that do not progress: their connections are to end, so that others get their turn."""
        return [session for session in self.active if now - session.progressed_at > STALLED_MS]

    # Status.

    def lag_ms(self, session: FollowerSession, now: float) -> float:
        """How long the first version that the follower lacks has been known here; 0 where it lacks none."""
        if session.version >= self.version:
            return 0.0
        return now - self.log.known_at.get(session.version + 1, session.since)

    def status(self, now: float) -> list[FollowerStatus]:
        """How each follower stands, by role and name."""
        return [
            FollowerStatus(
                session.name,
                session.role,
                session.version,
                digest_text(session.digest),
                self.lag_ms(session, now),
                now - session.since,
            )
            for session in sorted(self.sessions, key=lambda session: (session.role, session.name))
        ]
