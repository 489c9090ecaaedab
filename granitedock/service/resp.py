"""RESP2 framing on Twisted's LineReceiver.

Owns the bytes of one connection until they make a complete value, and keeps them as they came. Knows nothing
of what a value means, and never holds more than its limits, whatever the peer sends.
Source: the Redis serialization protocol specification, version 2.
"""

from __future__ import annotations

from socket import MSG_DONTWAIT, MSG_PEEK
from typing import Any, TypeAlias

from twisted.protocols.basic import LineReceiver

LINE_END = b"\r\n"
NULL_LENGTH = b"-1"
NULL_BULK_STRING = b"$-1"
ZERO_DIGIT = ord("0")

# Reason texts, sent to the peer or logged.
LINE_TOO_LONG = "line too long"
VALUE_TOO_LONG = "value too long"
ARRAY_TOO_LONG = "array too long"
BULK_STRING_NOT_ENDED = "bulk string not ended"
NOT_RESP2 = "not a RESP2 value"


class ErrorReply:
    """An error line of the peer, without its mark."""

    __slots__ = ("text",)

    def __init__(self, text: bytes) -> None:
        self.text = text


# A simple string is a str, a bulk string bytes, a null None.
RespValue: TypeAlias = "bytes | str | int | ErrorReply | list[RespValue] | None"


def encode_bulk_string(text: bytes) -> bytes:
    """A bulk string on the wire."""
    return b"$%d\r\n%b\r\n" % (len(text), text)


def encode_command(*words: bytes) -> bytes:
    """A command on the wire: an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(encode_bulk_string(word) for word in words)


def parse_length(digits: bytes) -> int:
    """A length in its canonical form, else -1: what is passed on must be in the usual form."""
    return int(digits) if digits.isdigit() and (digits[0] != ZERO_DIGIT or digits == b"0") else -1


def join_parts(parts: list[bytes]) -> bytes:
    """A value's bytes from its parts, which stood between line ends."""
    return LINE_END.join(parts) + LINE_END


def has_unread_input(transport: Any) -> bool:
    """Whether the peer has sent what is not read yet, or has ended the connection."""
    try:
        transport.getHandle().recv(1, MSG_PEEK | MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True


def parse_complete_values(data: bytes, max_items: int) -> list[tuple[Any, list[bytes]]] | None:
    """The values, each with its parts, of data that holds complete ones only: bulk strings and arrays of
    them, with no line end inside. None for anything else, and for all that is malformed."""
    parts = data.split(LINE_END)
    end = len(parts) - 1
    if parts[end]:
        return None
    at = 0
    found: list[tuple[Any, list[bytes]]] = []
    try:
        while at < end:
            begin = at
            array: list[bytes | None] | None = None
            count = 1
            if parts[at][:1] == b"*":
                array = []
                count = parse_length(parts[at][1:])
                at += 1
                if not 0 < count <= max_items:
                    return None
            value: bytes | None = None
            for _ in range(count):
                if parts[at] == NULL_BULK_STRING:
                    value = None
                    at += 1
                else:
                    value = parts[at + 1]
                    if parts[at] != b"$%d" % len(value):
                        return None
                    at += 2
                if array is not None:
                    array.append(value)
            found.append((value if array is None else array, parts[begin:at]))
    except IndexError:
        return None
    return found if at == end else None


class RespReceiver(LineReceiver):
    """Calls `value_received` with each complete value and the parts of its bytes, which stood between line
    ends, and `malformed` once, after which it ignores all input."""

    transport: Any

    def __init__(self, max_line: int, max_value: int, max_total: int, max_items: int, max_depth: int) -> None:
        """The most bytes of a line, of a bulk string and of a value with all it holds; the most items of an
        array, and arrays in arrays."""
        self.MAX_LENGTH = max_line
        self.max_value = max_value
        self.max_total = max_total
        self.max_items = max_items
        self.max_depth = max_depth
        self.parts: list[bytes] = []  # the bytes of the value so far
        self.size = 0  # of the value so far, in bytes, with what it announced
        self.open_arrays: list[tuple[list[Any], int]] = []  # arrays begun, and how long each is to be
        self.missing = 0  # bytes of the bulk string that are still to come, with its line end
        self.chunks: list[bytes] = []  # of that bulk string, as they came
        self.ignoring_input = False
        self.received_bytes = 0  # bytes received in total

    def value_received(self, value: Any, parts: list[bytes]) -> None:
        """A complete value came (`RespValue`)."""
        raise NotImplementedError

    def malformed(self, why: str) -> None:
        """The peer sent what is no RESP2, or too much of it."""
        raise NotImplementedError

    def send(self, data: bytes) -> None:
        """Write now, not a turn of the event loop later; what the socket does not take is written then."""
        self.transport.write(data)
        if self.transport.connected:
            self.transport.doWrite()

    def has_partial_message(self) -> bool:
        """Whether a value has begun and not ended."""
        return bool(self.parts or self._buffer)

    def reject_input(self, why: str) -> None:
        """Guards against peers that send what is no RESP2 or too much of it."""
        self.ignoring_input = True
        self.parts = []
        self.open_arrays = []
        self.chunks = []
        self.clearLineBuffer()
        self.malformed(why)

    def dataReceived(self, data: bytes) -> None:
        """Bytes came."""
        self.received_bytes += len(data)
        if self.ignoring_input:
            return
        # The fast path for what nearly always comes. Anything else, and all that is malformed, takes the slow
        # path from its first byte.
        if data and not (self.parts or self._buffer or self.paused):
            values = parse_complete_values(data, self.max_items)
            if values is not None:
                for value, parts in values:
                    if not self.ignoring_input:
                        self.value_received(value, parts)
                return
        super().dataReceived(data)

    # The slow path: line by line.

    def lineLengthExceeded(self, _line: bytes) -> None:
        """A line is too long."""
        self.reject_input(LINE_TOO_LONG)

    def lineReceived(self, line: bytes) -> None:
        """A line came that is no part of a bulk string."""
        if self.ignoring_input:
            return
        mark = line[:1]
        rest = line[1:]
        self.parts.append(line)
        self.size += len(line) + len(LINE_END)
        if self.size > self.max_total:
            self.reject_input(VALUE_TOO_LONG)
        elif mark in (b"$", b"*"):
            self.length_received(mark, rest)
        elif mark == b"+":
            self.add_value(rest.decode("latin-1"))
        elif mark == b"-":
            self.add_value(ErrorReply(rest))
        elif mark == b":" and rest.removeprefix(b"-").isdigit():
            self.add_value(int(rest))
        else:
            self.reject_input(NOT_RESP2)

    def length_received(self, mark: bytes, digits: bytes) -> None:
        """The line that begins a bulk string or an array."""
        length = parse_length(digits)
        if digits == NULL_LENGTH:
            self.add_value(None)
        elif length < 0:
            self.reject_input(NOT_RESP2)
        elif mark == b"$":
            self.begin_bulk_string(length)
        else:
            self.begin_array(length)

    def begin_bulk_string(self, length: int) -> None:
        """A bulk string of so many bytes follows."""
        self.missing = length + len(LINE_END)
        self.size += self.missing
        if length > self.max_value or self.size > self.max_total:
            self.reject_input(VALUE_TOO_LONG)
        else:
            self.setRawMode()

    def begin_array(self, count: int) -> None:
        """An array of so many items follows."""
        if count > self.max_items or len(self.open_arrays) >= self.max_depth:
            self.reject_input(ARRAY_TOO_LONG)
        elif count:
            self.open_arrays.append(([], count))
        else:
            self.add_value([])

    def rawDataReceived(self, data: bytes) -> None:
        """Bytes of a bulk string came, and perhaps more behind it."""
        if self.ignoring_input:
            return
        if len(data) < self.missing:
            self.chunks.append(data)
            self.missing -= len(data)
            return
        rest = data[self.missing :]
        text = data[: self.missing] if rest else data
        if self.chunks:
            self.chunks.append(text)
            text = b"".join(self.chunks)
            self.chunks = []
        if not text.endswith(LINE_END):
            self.reject_input(BULK_STRING_NOT_ENDED)
            return
        text = text[: -len(LINE_END)]
        self.parts.append(text)
        self.line_mode = 1
        self.add_value(text)
        if rest and not self.ignoring_input:
            self.setLineMode(rest)

    def add_value(self, value: Any) -> None:
        """A value is complete: it goes into the array that is open, or out."""
        while self.open_arrays:
            array, count = self.open_arrays[-1]
            array.append(value)
            if len(array) < count:
                return
            self.open_arrays.pop()
            value = array
        parts = self.parts
        self.parts = []
        self.size = 0
        self.value_received(value, parts)
