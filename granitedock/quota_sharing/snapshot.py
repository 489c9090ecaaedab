"""What this gateway let in uncounted, as bytes that a file may hold over a restart.

MessagePack with a version, the gateway's name and a CRC-32 before it. Nothing is read from bytes that are
torn, of another gateway or version: `Refused` says why, and the gateway starts as without a file. No I/O.
"""

from __future__ import annotations

import zlib
from dataclasses import astuple

import msgpack

from granitedock.quota_sharing.counts import Row

VERSION = 1


class Refused(ValueError):
    """Bytes that no rows are taken from."""


def pack(name: str, rows: list[Row]) -> bytes:
    body = msgpack.packb([VERSION, name, [list(astuple(row)) for row in rows]])
    return zlib.crc32(body).to_bytes(4, "big") + body


def unpack(name: str, data: bytes) -> list[Row]:
    """The rows. Raises Refused."""
    if len(data) < 5 or zlib.crc32(data[4:]) != int.from_bytes(data[:4], "big"):
        raise Refused("torn: its checksum is another")
    try:
        version, teller, rows = msgpack.unpackb(data[4:])
        found = [Row(*row) for row in rows] if version == VERSION else []
    except Exception as fault:  # a checksum that fits over what is no snapshot
        raise Refused(f"no snapshot: {type(fault).__name__}") from None
    if version != VERSION:
        raise Refused(f"of version {version}")
    if teller != name or any(row.teller != name for row in found):
        raise Refused(f"of another gateway: {teller}")
    return found
