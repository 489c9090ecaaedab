"""What control processes and their followers tell each other: one JSON object a line, typed here. No I/O.

A line from control is a `Current`, a `SnapshotBegins`, its `Page`s, a `SnapshotEnds` or a `VersionedChange`;
an empty line is a heartbeat. A line from a follower is an `InForce` or a `Resend`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from granitedock.configuration.change_form import edit_of, edit_shown
from granitedock.configuration.document import DIGEST_BYTES, ConfigurationError, Edit, Section, digest_text

HEARTBEAT = b"\n"
PAGE_ENTRIES = 250  # of a snapshot: some 30 KB, read in about a millisecond


class Malformed(ConfigurationError):
    """A line that is none of the messages."""


@dataclass(frozen=True, slots=True)
class Current:
    """What the control process has, told to a follower that needs nothing of it: it has the same, or more."""

    cluster: str
    version: int
    digest: int


@dataclass(frozen=True, slots=True)
class SnapshotBegins:
    cluster: str
    version: int
    digest: int
    pages: int


@dataclass(frozen=True, slots=True)
class Page:
    number: int
    edit: Edit


@dataclass(frozen=True, slots=True)
class SnapshotEnds:
    version: int
    digest: int


@dataclass(frozen=True, slots=True)
class VersionedChange:
    """The change that made `version` of the one before it; `digest` is the document's behind it. `at_ms`:
    when the writer took it, Unix ms."""

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
    """A follower asks for a whole snapshot: what it has does not fit what it was told."""


FromControl = Current | SnapshotBegins | Page | SnapshotEnds | VersionedChange
FromFollower = InForce | Resend
Message = FromControl | FromFollower
NAMES: dict[type, str] = {
    Current: "current",
    SnapshotBegins: "snapshot",
    Page: "page",
    SnapshotEnds: "end",
    VersionedChange: "change",
    InForce: "in_force",
    Resend: "resend",
}
KINDS = {name: kind for kind, name in NAMES.items()}


def encoded(message: Message) -> bytes:
    """The line of a message, its end with it."""
    told: dict[str, Any] = {"type": NAMES[type(message)]}
    for name in message.__slots__:
        value = getattr(message, name)
        if name == "digest":
            told[name] = digest_text(value)
        elif name == "edit":
            told |= edit_shown(value)
        else:
            told[name] = value
    return orjson.dumps(told) + b"\n"


def number(told: dict[str, Any], name: str) -> int:
    value = told.get(name)
    if type(value) is not int or value < 0:
        raise Malformed(f"{name}: a whole number from 0 is wanted, not {value!r:.60}")
    return value


def digest_of(told: dict[str, Any]) -> int:
    value = told.get("digest")
    try:
        if type(value) is str and len(value) == 2 * DIGEST_BYTES:
            return int(value, 16)
    except ValueError:
        pass
    raise Malformed(f"digest: {2 * DIGEST_BYTES} hex digits are wanted, not {value!r:.60}")


def text(told: dict[str, Any], name: str) -> str:
    value = told.get(name)
    if type(value) is not str:
        raise Malformed(f"{name}: a text is wanted, not {value!r:.60}")
    return value


def edit_in(told: dict[str, Any]) -> Edit:
    """The edit of a line. Its records were checked by the writer, and the digest says whether they are the
    same; here they only have to have a form that can be read."""
    for section in Section:
        part = told.get(section.value, {})
        if type(part) is not dict:
            raise Malformed(f"{section.value}: an object is wanted")
        records, names = part.get("upsert", []), part.get("remove", [])
        if type(records) is not list or type(names) is not list:
            raise Malformed(f"{section.value}: lists are wanted")
        for record in records:
            if type(record) is not dict or type(record.get("Name")) is not str:
                raise Malformed(f"{section.value}.upsert: objects with a Name are wanted")
        if not all(type(name) is str for name in names):
            raise Malformed(f"{section.value}.remove: names are wanted")
    return edit_of(told)


def decoded(line: bytes) -> Message:
    """The message of a line. Raises Malformed."""
    try:
        told = orjson.loads(line)
    except orjson.JSONDecodeError as fault:
        raise Malformed(f"not JSON: {fault}") from None
    name = told.get("type") if type(told) is dict else None
    kind = KINDS.get(name) if type(name) is str else None
    if kind is None:
        raise Malformed(f"no message: {line[:60]!r}")
    if kind is Resend:
        return Resend()
    if kind is Page:
        return Page(number(told, "number"), edit_in(told))
    version, digest = number(told, "version"), digest_of(told)
    if kind is VersionedChange:
        at_ms = told.get("at_ms")
        if type(at_ms) not in (int, float):
            raise Malformed("at_ms: a number is wanted")
        return VersionedChange(version, digest, float(at_ms), edit_in(told))
    if kind is Current:
        return Current(text(told, "cluster"), version, digest)
    if kind is SnapshotBegins:
        return SnapshotBegins(text(told, "cluster"), version, digest, number(told, "pages"))
    return kind(version, digest)
