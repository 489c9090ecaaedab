"""The messages between control processes and their followers.

A control process sends `Current`, `SnapshotBegins`, its `Page`s, `SnapshotEnds` and `VersionedChange`; a
follower sends `InForce` and `Resend`. How they are worded on a line: `message_codec.py`.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitedock.configuration.document import Edit


@dataclass(frozen=True, slots=True)
class Current:
    """The version of a control process, for a follower that needs nothing of it: it has the same, or more."""

    cluster: str
    version: int
    digest: int


@dataclass(frozen=True, slots=True)
class SnapshotBegins:
    """A whole document follows, in `pages` pages."""

    cluster: str
    version: int
    digest: int
    pages: int


@dataclass(frozen=True, slots=True)
class Page:
    """Some of the entries of a snapshot; pages are numbered from 0."""

    number: int
    edit: Edit


@dataclass(frozen=True, slots=True)
class SnapshotEnds:
    """All pages of a snapshot have been sent."""

    version: int
    digest: int


@dataclass(frozen=True, slots=True)
class VersionedChange:
    """The change that makes `version` of the one before it.

    `digest` is the document's after the change; `at_ms` is when the writer accepted it, Unix ms.
    """

    version: int
    digest: int
    at_ms: float
    edit: Edit


@dataclass(frozen=True, slots=True)
class InForce:
    """The version that a follower has in force."""

    version: int
    digest: int


@dataclass(frozen=True, slots=True)
class Resend:
    """A follower asks for a whole snapshot: what it received does not fit what it has."""


FromControl = Current | SnapshotBegins | Page | SnapshotEnds | VersionedChange
FromFollower = InForce | Resend
Message = FromControl | FromFollower
