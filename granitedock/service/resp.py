"""RESP2 framing on Twisted's LineReceiver.

Owns the bytes of one connection until they make a whole value, and keeps them as they came. It must
never know what a value means, and never hold more than its limits, whatever the peer sends.
"""

from __future__ import annotations

from typing import Any

from twisted.protocols.basic import LineReceiver


class Fault:
    """An error line of the peer."""

    __slots__ = ("text",)

    def __init__(self, text: bytes) -> None:
        self.text = text


def bulk(text: bytes) -> bytes:
    """
    >>> bulk(b"ab")
    b'$2\\r\\nab\\r\\n'
    """
    return b"$%d\r\n%b\r\n" % (len(text), text)


def command(*words: bytes) -> bytes:
    """
    >>> command(b"PING")
    b'*1\\r\\n$4\\r\\nPING\\r\\n'
    """
    return b"*%d\r\n" % len(words) + b"".join(bulk(word) for word in words)


class RespReceiver(LineReceiver):
    """Calls `received` with each whole value and its bytes, and `malformed` once, after which it is deaf."""

    def __init__(self, line: int, value: int, whole: int, items: int, depth: int) -> None:
        self.MAX_LENGTH, self.most_value, self.most_whole = line, value, whole
        self.most_items, self.most_depth = items, depth
        self.parts: list[bytes] = []  # the bytes of the value so far
        self.size = 0
        self.open: list[tuple[list, int]] = []  # arrays begun, and how long each is to be
        self.need = 0  # bytes of the bulk string that are still to come, with its line end
        self.pieces: list[bytes] = []
        self.deaf = False

    def received(self, value: Any, parts: list[bytes]) -> None:
        raise NotImplementedError

    def malformed(self, why: str) -> None:
        raise NotImplementedError

    def send(self, data: bytes) -> None:
        """Now, and not a turn of the loop later; what the line does not take goes then."""
        self.transport.write(data)
        if self.transport.connected:
            self.transport.doWrite()

    def half(self) -> bool:
        """Whether a value has begun and not ended."""
        return bool(self.parts or self._buffer)

    def spoil(self, why: str) -> None:
        """Guards against peers that send what is no RESP2 or too much of it."""
        self.deaf = True
        self.parts, self.open, self.pieces = [], [], []
        self.clearLineBuffer()
        self.malformed(why)

    def dataReceived(self, data: bytes) -> None:
        if not self.deaf:
            super().dataReceived(data)

    def lineLengthExceeded(self, line: bytes) -> None:
        self.spoil("line too long")

    def lineReceived(self, line: bytes) -> None:
        if self.deaf:
            return
        mark, rest = line[:1], line[1:]
        self.parts.append(line + b"\r\n")
        self.size += len(line) + 2
        if self.size > self.most_whole:
            self.spoil("value too long")
        elif mark == b"$" and rest.isdigit():
            self.need = int(rest) + 2
            self.size += self.need
            if self.need - 2 > self.most_value or self.size > self.most_whole:
                self.spoil("value too long")
            else:
                self.setRawMode()
        elif mark == b"*" and rest.isdigit():
            count = int(rest)
            if count > self.most_items or len(self.open) >= self.most_depth:
                self.spoil("array too long")
            elif count:
                self.open.append(([], count))
            else:
                self.put([])
        elif mark in (b"$", b"*") and rest == b"-1":
            self.put(None)
        elif mark == b"+":
            self.put(rest.decode("latin-1"))
        elif mark == b"-":
            self.put(Fault(rest))
        elif mark == b":" and rest.removeprefix(b"-").isdigit():
            self.put(int(rest))
        else:
            self.spoil("not a RESP2 value")

    def rawDataReceived(self, data: bytes) -> None:
        if self.deaf:
            return
        if len(data) < self.need:
            self.pieces.append(data)
            self.need -= len(data)
            return
        rest = data[self.need :]
        text = data[: self.need] if rest else data
        if self.pieces:
            self.pieces.append(text)
            text, self.pieces = b"".join(self.pieces), []
        if not text.endswith(b"\r\n"):
            self.spoil("bulk string not ended")
            return
        self.parts.append(text)
        self.line_mode = 1
        self.put(text[:-2])
        if rest and not self.deaf:
            self.setLineMode(rest)

    def put(self, value: Any) -> None:
        """A value is whole: it goes into the array that is open, or out."""
        while self.open:
            array, count = self.open[-1]
            array.append(value)
            if len(array) < count:
                return
            self.open.pop()
            value = array
        parts, self.parts, self.size = self.parts, [], 0
        self.received(value, parts)
