"""The snapshot of this gateway's unreconciled usage, as bytes that a file may hold over a restart.

MessagePack [version, gateway, rows] behind its CRC-32 (4 bytes, big endian). Nothing is read from bytes that
are damaged, or of another gateway or version: `SnapshotError` says why, and the gateway starts as without a
file. No I/O.
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
    """A snapshot that no rows are taken from."""


class DamagedSnapshotError(SnapshotError):
    """Its bytes do not fit their checksum."""

    def __init__(self) -> None:
        super().__init__("torn: its checksum is another")


class MalformedSnapshotError(SnapshotError):
    """The checksum fits, and the bytes are no snapshot."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"no snapshot: {type(cause).__name__}")


class SnapshotVersionError(SnapshotError):
    """It is of another version of the format than `VERSION`."""

    def __init__(self, version: object) -> None:
        super().__init__(f"of version {version}")


class ForeignSnapshotError(SnapshotError):
    """It is another gateway's, or has rows of one."""

    def __init__(self, owner: object) -> None:
        super().__init__(f"of another gateway: {owner}")


def pack(gateway: str, rows: list[UsageRow]) -> bytes:
    """The snapshot of these rows of `gateway`."""
    body = msgpack.packb([VERSION, gateway, [list(astuple(row)) for row in rows]])
    return zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "big") + body


def unpack(gateway: str, data: bytes) -> list[UsageRow]:
    """The rows of a snapshot of `gateway`. Raises SnapshotError."""
    checksum, body = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
    if not body or zlib.crc32(body) != int.from_bytes(checksum, "big"):
        raise DamagedSnapshotError
    try:
        version, owner, rows = msgpack.unpackb(body)
        found = [UsageRow(*row) for row in rows] if version == VERSION else []
    except Exception as error:  # noqa: BLE001 - a checksum may fit over any bytes, whose faults have no common base
        raise MalformedSnapshotError(error) from None
    if version != VERSION:
        raise SnapshotVersionError(version)
    if owner != gateway or any(row.gateway != gateway for row in found):
        raise ForeignSnapshotError(owner)
    return found
