"""RESP2 on asyncio streams: commands as arrays of bulk strings, and the replies to them."""

from __future__ import annotations

import asyncio


def encode_command(*words: bytes) -> bytes:
    """Return a command as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def encode_bulk(value: bytes) -> bytes:
    """Return a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


async def read_value(reader: asyncio.StreamReader) -> object:
    """Read one value: bytes for a bulk string, str for a line with its type, a list or None.

    Raises asyncio.IncompleteReadError at the end of the stream.
    """
    line = (await reader.readuntil(b"\r\n"))[:-2]
    if line[:1] == b"$":
        length = int(line[1:])
        return None if length < 0 else (await reader.readexactly(length + 2))[:-2]
    if line[:1] == b"*":
        return [await read_value(reader) for _ in range(max(0, int(line[1:])))]
    return line.decode("latin-1")


def parse_fields(text: bytes) -> dict[str, str]:
    """Return the names and values of a request's fields."""
    return dict(pair.split("=", 1) for pair in text.decode().split(","))
