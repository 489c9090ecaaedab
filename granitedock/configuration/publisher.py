"""What a control process tells its followers, and what it knows of them. No I/O.

Each follower has a cursor, the last version that was written to it. What it needs next is worked out when its
connection has room (`next_line`), so no queue grows behind a slow one. A follower too far behind the log that
is kept, or with another digest, gets a whole snapshot; only so many at once, so that a fleet that restarts
does not ask for all of the process's core and memory in one moment."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from granitedock.configuration.document import digest_text
from granitedock.configuration.messages import (
    Current,
    FromFollower,
    InForce,
    Resend,
    VersionedChange,
    encoded,
)

MOST_SNAPSHOTS = 16  # on their way at once
LOG_LINES = 4096  # versions of which the lines are kept
MOST_LINE_ENTRIES = 250  # a change of more goes out as a snapshot, in pages, so that no line stalls a loop
STALLED_MS = 5000.0  # a snapshot of which nothing could be written for so long gives up its place


@dataclass(eq=False, slots=True)
class FollowerRecord:
    """One connection of a gateway or a replica. `cursor`: the version written to it, once any was; `version`
    and `digest`: what it says to have in force. Times in ms of the process's clock."""

    name: str
    role: str
    link: Any
    cursor: int
    version: int
    digest: int
    since: float
    moved_at: float
    pages: Iterator[bytes] | None = None  # of the snapshot on its way
    snapshot_version: int = 0
    waits: bool = False  # for its turn to get a snapshot
    greeting: bytes = b""


@dataclass(frozen=True, slots=True)
class FollowerStatus:
    """How one follower stands: `lag_ms` is how long the first version that it lacks has been known here."""

    name: str
    role: str
    version: int
    digest: str
    lag_ms: float
    connected_ms: float


@dataclass(slots=True)
class ChangeLog:
    """The last versions' lines, digests, and when each was known here."""

    lines: dict[int, bytes] = field(default_factory=dict)
    digests: dict[int, int] = field(default_factory=dict)
    known_at: dict[int, float] = field(default_factory=dict)

    def add(self, change: VersionedChange, now: float) -> None:
        if len(change.edit) <= MOST_LINE_ENTRIES:
            self.lines[change.version] = encoded(change)
        self.digests[change.version] = change.digest
        self.known_at[change.version] = now
        if len(self.digests) > LOG_LINES:
            oldest = next(iter(self.digests))
            self.lines.pop(oldest, None)
            del self.digests[oldest], self.known_at[oldest]

    def clear(self) -> None:
        self.lines.clear()
        self.digests.clear()
        self.known_at.clear()


class Publisher:
    """Followers and what they are told. `snapshot()` gives the lines of the whole document as it is now."""

    def __init__(self, cluster: str, snapshot: Callable[[], list[bytes]]) -> None:
        self.cluster, self.snapshot = cluster, snapshot
        self.version, self.digest = 0, 0
        self.log = ChangeLog()
        self.followers: dict[FollowerRecord, None] = {}
        self.waiting: deque[FollowerRecord] = deque()
        self.active: dict[FollowerRecord, None] = {}  # snapshots on their way
        self.cached: tuple[int, list[bytes]] = (-1, [])  # the last snapshot's version and lines
        self.counts: Counter[str] = Counter()

    # What is published.

    def begin(self, version: int, digest: int, changes: list[VersionedChange], now: float) -> None:
        """What the store holds at the start."""
        self.version, self.digest = version, digest
        for change in changes:
            self.log.add(change, now)

    def changed(self, change: VersionedChange, now: float) -> list[FollowerRecord]:
        """A new version; the followers that have to be written to."""
        self.version, self.digest = change.version, change.digest
        self.log.add(change, now)
        return list(self.followers)

    def replaced(self, version: int, digest: int, now: float) -> list[FollowerRecord]:
        """A whole document took the place of the one before (at a replica)."""
        self.version, self.digest = version, digest
        self.log.clear()
        self.log.digests[version], self.log.known_at[version] = digest, now
        return list(self.followers)

    # Followers.

    def opened(self, name: str, role: str, link: Any, after: int, digest: int, now: float) -> FollowerRecord:
        """A follower that has `after` in force. What it is told at once says what is here; guards its newer
        version where this process is behind it: nothing older is ever sent."""
        follower = FollowerRecord(name, role, link, after, after, digest, now, now)
        self.followers[follower] = None
        self.counts["followers_opened"] += 1
        if after > self.version or (after == self.version and digest == self.digest):
            follower.greeting = encoded(Current(self.cluster, self.version, self.digest))
        elif not self.in_log(after, digest):
            self.begin_snapshot(follower)
        return follower

    def in_log(self, version: int, digest: int) -> bool:
        """Whether a follower with this version can go on by changes. One that has none yet needs the whole,
        as it may have plans of the platform's file, which no change would remove."""
        return version + 1 in self.log.lines and self.log.digests.get(version) == digest

    def begin_snapshot(self, follower: FollowerRecord) -> None:
        if follower.waits or follower.pages is not None:
            return
        if len(self.active) >= MOST_SNAPSHOTS:
            follower.waits = True
            self.waiting.append(follower)
            return
        if self.cached[0] != self.version:
            self.cached = self.version, self.snapshot()
        self.active[follower] = None
        self.counts["snapshots"] += 1
        follower.pages, follower.snapshot_version = iter(self.cached[1]), self.version

    def next_line(self, follower: FollowerRecord, now: float) -> bytes | None:
        """The next line that the follower needs, or None while there is none; asked for again when its
        connection has room, or when something changed."""
        line = self.unwritten(follower)
        if line is not None:
            follower.moved_at = now
        return line

    def unwritten(self, follower: FollowerRecord) -> bytes | None:
        if follower.greeting:
            line, follower.greeting = follower.greeting, b""
            return line
        if follower.pages is not None:
            line = next(follower.pages, None)
            if line is not None:
                return line
            self.snapshot_done(follower)
        if follower.waits or follower.cursor >= self.version:
            return None
        line = self.log.lines.get(follower.cursor + 1) if follower.cursor else None
        if line is None:
            self.begin_snapshot(follower)
            return self.unwritten(follower) if follower.pages is not None else None
        follower.cursor += 1
        return line

    def snapshot_done(self, follower: FollowerRecord) -> None:
        follower.pages, follower.cursor = None, follower.snapshot_version
        self.active.pop(follower, None)

    def next_snapshots(self) -> list[FollowerRecord]:
        """Those whose turn for a snapshot has come; they have to be written to."""
        begun = []
        while self.waiting and len(self.active) < MOST_SNAPSHOTS:
            follower = self.waiting.popleft()
            if follower in self.followers:
                follower.waits = False
                self.begin_snapshot(follower)
                begun.append(follower)
        return begun

    def heard(self, follower: FollowerRecord, message: FromFollower) -> None:
        """What a follower says of itself."""
        if isinstance(message, Resend):
            self.counts["resends"] += 1
            self.begin_snapshot(follower)
        elif isinstance(message, InForce):
            follower.version, follower.digest = message.version, message.digest

    def closed(self, follower: FollowerRecord) -> None:
        self.followers.pop(follower, None)
        self.active.pop(follower, None)

    def stalled(self, now: float) -> list[FollowerRecord]:
        """Snapshots that do not move: their connections are to end, so that others get their turn."""
        return [one for one in self.active if now - one.moved_at > STALLED_MS]

    # What it looks like.

    def lag_ms(self, follower: FollowerRecord, now: float) -> float:
        """How long the first version that the follower lacks has been known here; 0 where it lacks none."""
        if follower.version >= self.version:
            return 0.0
        return now - self.log.known_at.get(follower.version + 1, follower.since)

    def status(self, now: float) -> list[FollowerStatus]:
        return [
            FollowerStatus(
                one.name,
                one.role,
                one.version,
                digest_text(one.digest),
                self.lag_ms(one, now),
                now - one.since,
            )
            for one in sorted(self.followers, key=lambda one: (one.role, one.name))
        ]
