"""The latest versions at a control process: lines, digests, and when each version became known. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from granitedock.configuration.message_codec import encode
from granitedock.configuration.messages import VersionedChange

MAX_VERSIONS = 4096
# A larger change is sent as a snapshot in pages, so that no line blocks an event loop for long.
MAX_LINE_ENTRIES = 250


@dataclass(slots=True)
class ChangeLog:
    """Line, digest and time of each retained version; `known_at` is in ms of the process's clock.

    A version has no line if its change has more than MAX_LINE_ENTRIES entries or if it arrived as a snapshot.
    """

    lines: dict[int, bytes] = field(default_factory=dict)
    digests: dict[int, int] = field(default_factory=dict)
    known_at: dict[int, float] = field(default_factory=dict)

    def add(self, change: VersionedChange, now: float) -> None:
        """Add the newest version, and evict the oldest one if there are more than MAX_VERSIONS."""
        if len(change.edit) <= MAX_LINE_ENTRIES:
            self.lines[change.version] = encode(change)
        self.digests[change.version] = change.digest
        self.known_at[change.version] = now
        if len(self.digests) > MAX_VERSIONS:
            oldest = next(iter(self.digests))
            self.lines.pop(oldest, None)
            del self.digests[oldest]
            del self.known_at[oldest]

    def restart(self, version: int, digest: int, now: float) -> None:
        """Clear the log and restart it at a version received as a whole document."""
        self.lines.clear()
        self.digests.clear()
        self.known_at.clear()
        self.digests[version] = digest
        self.known_at[version] = now

    def can_resume_from(self, version: int, digest: int) -> bool:
        """Return whether a follower with this version and digest can continue with logged changes."""
        return version + 1 in self.lines and self.digests.get(version) == digest
