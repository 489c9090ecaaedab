"""The last versions at a control process: their lines, digests, and when each was known here. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from granitedock.configuration.message_codec import encode
from granitedock.configuration.messages import VersionedChange

MOST_VERSIONS = 4096
MOST_LINE_ENTRIES = 250  # a change of more goes out as a snapshot, in pages, so that no line stalls a loop


@dataclass(slots=True)
class ChangeLog:
    """What is kept of each version, by version; `known_at` in ms of the process's clock."""

    lines: dict[int, bytes] = field(default_factory=dict)
    digests: dict[int, int] = field(default_factory=dict)
    known_at: dict[int, float] = field(default_factory=dict)

    def add(self, change: VersionedChange, now: float) -> None:
        """Add the newest version; the oldest is dropped once there are too many."""
        if len(change.edit) <= MOST_LINE_ENTRIES:
            self.lines[change.version] = encode(change)
        self.digests[change.version] = change.digest
        self.known_at[change.version] = now
        if len(self.digests) > MOST_VERSIONS:
            oldest = next(iter(self.digests))
            self.lines.pop(oldest, None)
            del self.digests[oldest]
            del self.known_at[oldest]

    def restart(self, version: int, digest: int, now: float) -> None:
        """Begin anew at a version that came as a whole document."""
        self.lines.clear()
        self.digests.clear()
        self.known_at.clear()
        self.digests[version] = digest
        self.known_at[version] = now

    def reaches_on_from(self, version: int, digest: int) -> bool:
        """Whether a follower with this version can go on by changes."""
        return version + 1 in self.lines and self.digests.get(version) == digest
