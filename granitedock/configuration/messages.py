"""The messages between control processes and their followers.

A control process sends `Current`, `SnapshotBegins`, its `Page`s, `SnapshotEnds` and `VersionedChange`; a
follower sends `InForce` and `Resend`. `message_codec.py` encodes them as lines.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitedock.configuration.document import Edit


@dataclass(frozen=True, slots=True)
class Current:
    """The version of a control process, sent to a follower whose version is the same or newer."""

    cluster: str
    version: int
    digest: int


@dataclass(frozen=True, slots=True)
class SnapshotBegins:
    """Start of a snapshot, which follows in `pages` pages."""

    cluster: str
    version: int
    digest: int
    pages: int


@dataclass(frozen=True, slots=True)
class Page:
    """Some entries of a snapshot; pages are numbered from 0."""

    number: int
    edit: Edit


@dataclass(frozen=True, slots=True)
class SnapshotEnds:
    """End of a snapshot, sent after all of its pages."""

    version: int
    digest: int


@dataclass(frozen=True, slots=True)
class VersionedChange:
    """The change that turns the preceding version into `version`.

    `digest` is the digest of the document after the change; `at_ms` is the time at which the writer accepted
    it, in Unix ms.
    """

    version: int
    digest: int
    at_ms: float
    edit: Edit


@dataclass(frozen=True, slots=True)
class InForce:
    """Report of the version that a follower has in force."""

    version: int
    digest: int


@dataclass(frozen=True, slots=True)
class Resend:
    """Request for a snapshot, because a received message does not match the follower's document."""


FromControl = Current | SnapshotBegins | Page | SnapshotEnds | VersionedChange
FromFollower = InForce | Resend
Message = FromControl | FromFollower
