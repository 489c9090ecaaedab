"""The snapshot format of this gateway's unreconciled usage, which a file preserves over a restart.

A snapshot is a CRC-32 (4 bytes, big endian) followed by MessagePack [version, gateway, rows]. Bytes that are
damaged, or that belong to another gateway or version, are rejected as a whole: `SnapshotError` states the
reason, and the gateway starts as if there were no file. No I/O.
"""

from __future__ import annotations

import zlib
from dataclasses import astuple

import msgpack

from granitedock.errors import GranitedockError
from granitedock.quota_sharing.uncounted_usage import UsageRow

VERSION = 1
CHECKSUM_BYTES = 4


class SnapshotError(GranitedockError, ValueError):
    """The snapshot is rejected and none of its rows are used."""


class DamagedSnapshotError(SnapshotError):
    """The checksum does not match the bytes."""

    def __init__(self) -> None:
        super().__init__("torn: its checksum is another")


class MalformedSnapshotError(SnapshotError):
    """The checksum matches, but the bytes are not a snapshot."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"malformed snapshot: {type(cause).__name__}")


class SnapshotVersionError(SnapshotError):
    """The version of the snapshot's format is not `VERSION`."""

    def __init__(self, version: object) -> None:
        super().__init__(f"unsupported snapshot version {version}")


class ForeignSnapshotError(SnapshotError):
    """The snapshot belongs to another gateway or contains rows of one."""

    def __init__(self, owner: object) -> None:
        super().__init__(f"of another gateway: {owner}")


def pack(gateway: str, rows: list[UsageRow]) -> bytes:
    """Return the snapshot of these rows of `gateway`."""
    body = msgpack.packb([VERSION, gateway, [list(astuple(row)) for row in rows]])
    return zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "big") + body


def unpack(gateway: str, data: bytes) -> list[UsageRow]:
    """Return the rows of a snapshot of `gateway`. Raises SnapshotError if it cannot be used."""
    checksum, body = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
    if not body or zlib.crc32(body) != int.from_bytes(checksum, "big"):
        raise DamagedSnapshotError
    try:
        version, owner, rows = msgpack.unpackb(body)
        usage_rows = [UsageRow(*row) for row in rows] if version == VERSION else []
    except Exception as error:  # noqa: BLE001 - a valid checksum does not imply a valid body, whose errors have no common base
        raise MalformedSnapshotError(error) from None
    if version != VERSION:
        raise SnapshotVersionError(version)
    if owner != gateway or any(row.gateway != gateway for row in usage_rows):
        raise ForeignSnapshotError(owner)
    return usage_rows
