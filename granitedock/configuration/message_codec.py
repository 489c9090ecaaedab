"""Encodes and decodes the messages of `messages.py` as lines. No I/O.

Each line is a JSON object that states the kind of message in `type`; an empty line is a heartbeat. Digests
are written in hex digits, and an edit has the format of a change.
"""

from __future__ import annotations

from typing import Any

import orjson

from granitedock.configuration.change_codec import edit_from_record, edit_to_record
from granitedock.configuration.document import DIGEST_BYTES, Edit, Record, Section, digest_text
from granitedock.configuration.errors import MalformedLineError
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

HEARTBEAT = b"\n"
DIGEST_DIGITS = 2 * DIGEST_BYTES
NAMES: dict[type[Message], str] = {
    Current: "current",
    SnapshotBegins: "snapshot",
    Page: "page",
    SnapshotEnds: "end",
    VersionedChange: "change",
    InForce: "in_force",
    Resend: "resend",
}
KINDS: dict[str, type[Message]] = {name: kind for kind, name in NAMES.items()}


def encode(message: Message) -> bytes:
    """Encode a message as a line, with its line end."""
    record: Record = {"type": NAMES[type(message)]}
    for name in message.__slots__:
        value = getattr(message, name)
        if name == "digest":
            record[name] = digest_text(value)
        elif name == "edit":
            record |= edit_to_record(value)
        else:
            record[name] = value
    return orjson.dumps(record) + b"\n"


def field_error(name: str, expected: str, value: Any) -> MalformedLineError:
    """Return the error for a field with an invalid value."""
    return MalformedLineError(f"{name}: {expected} wanted, not {value!r:.60}")


def form_error(place: str, expected: str) -> MalformedLineError:
    """Return the error for a part of a line that does not have the expected form."""
    return MalformedLineError(f"{place}: {expected} wanted")


def decode_whole_number(record: Record, name: str) -> int:
    """Decode a non-negative integer. Raises MalformedLineError."""
    value = record.get(name)
    if type(value) is not int or value < 0:
        raise field_error(name, "a whole number from 0 is", value)
    return value


def decode_digest(record: Record) -> int:
    """Decode the digest of a line. Raises MalformedLineError."""
    value = record.get("digest")
    try:
        if type(value) is str and len(value) == DIGEST_DIGITS:
            return int(value, 16)
    except ValueError:
        pass
    raise field_error("digest", f"{DIGEST_DIGITS} hex digits are", value)


def decode_text(record: Record, name: str) -> str:
    """Decode a string. Raises MalformedLineError."""
    value = record.get(name)
    if type(value) is not str:
        raise field_error(name, "a text is", value)
    return value


def decode_edit(record: Record) -> Edit:
    """Decode the edit of a line. Raises MalformedLineError.

    Checks only that its form can be read: the writer has validated the records, and the digest shows whether
    they arrived unchanged.
    """
    for section in Section:
        place = section.value
        part = record.get(place, {})
        if type(part) is not dict:
            raise form_error(place, "an object is")
        records = part.get("upsert", [])
        names = part.get("remove", [])
        if type(records) is not list or type(names) is not list:
            raise form_error(place, "lists are")
        if not all(type(entry) is dict and type(entry.get("Name")) is str for entry in records):
            raise form_error(f"{place}.upsert", "objects with a Name are")
        if not all(type(name) is str for name in names):
            raise form_error(f"{place}.remove", "names are")
    return edit_from_record(record)


def decode_change(record: Record) -> VersionedChange:
    """Decode the change of a line. Raises MalformedLineError."""
    version = decode_whole_number(record, "version")
    digest = decode_digest(record)
    at_ms = record.get("at_ms")
    if not isinstance(at_ms, int | float) or type(at_ms) is bool:
        raise form_error("at_ms", "a number is")
    return VersionedChange(version, digest, float(at_ms), decode_edit(record))


def decode_versioned(kind: type[Message], record: Record) -> Message:
    """Decode a message that has a version and a digest but no edit. Raises MalformedLineError."""
    version = decode_whole_number(record, "version")
    digest = decode_digest(record)
    if kind is Current:
        return Current(decode_text(record, "cluster"), version, digest)
    if kind is SnapshotBegins:
        cluster = decode_text(record, "cluster")
        return SnapshotBegins(cluster, version, digest, decode_whole_number(record, "pages"))
    if kind is SnapshotEnds:
        return SnapshotEnds(version, digest)
    return InForce(version, digest)


def decode(line: bytes) -> Message:
    """Decode the message of a line. Raises MalformedLineError."""
    try:
        record = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        problem = f"not JSON: {error}"
        raise MalformedLineError(problem) from None
    name = record.get("type") if type(record) is dict else None
    kind = KINDS.get(name) if type(name) is str else None
    if kind is None:
        problem = f"no message: {line[:60]!r}"
        raise MalformedLineError(problem)
    if kind is Resend:
        return Resend()
    if kind is Page:
        return Page(decode_whole_number(record, "number"), decode_edit(record))
    if kind is VersionedChange:
        return decode_change(record)
    return decode_versioned(kind, record)
