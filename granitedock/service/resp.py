"""RESP2 values and their encoding.

Source: the Redis serialization protocol specification, version 2. The framing is in `resp_receiver`.
"""

from __future__ import annotations

from typing import TypeAlias

LINE_END = b"\r\n"
ZERO_DIGIT = ord("0")


class ErrorReply:
    """An error line from the peer, without its type byte."""

    __slots__ = ("text",)

    def __init__(self, text: bytes) -> None:
        self.text = text


# A simple string is represented as str, a bulk string as bytes and a null as None.
RespValue: TypeAlias = "bytes | str | int | ErrorReply | list[RespValue] | None"


def encode_bulk_string(text: bytes) -> bytes:
    """Return the wire encoding of a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(text), text)


def encode_command(*words: bytes) -> bytes:
    """Return the wire encoding of a command: an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(encode_bulk_string(word) for word in words)


def parse_length(digits: bytes) -> int:
    """Return the length, or -1 if it is not in canonical form.

    Only the canonical form is accepted, as values are forwarded with the bytes in which they arrive.
    """
    return int(digits) if digits.isdigit() and (digits[0] != ZERO_DIGIT or digits == b"0") else -1


def join_parts(parts: list[bytes]) -> bytes:
    """Return the bytes of a value from its parts, which line ends separate."""
    return LINE_END.join(parts) + LINE_END
