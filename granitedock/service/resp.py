"""RESP2 framing on Twisted's LineReceiver.

Owns the bytes of one connection until they make a whole value, and keeps them as they came. It must
never know what a value means, and never hold more than its limits, whatever the peer sends.
"""

from __future__ import annotations

from socket import MSG_DONTWAIT, MSG_PEEK
from typing import Any

from twisted.protocols.basic import LineReceiver


class Fault:
    """An error line of the peer."""

    __slots__ = ("text",)

    def __init__(self, text: bytes) -> None:
        self.text = text


def bulk(text: bytes) -> bytes:
    """A bulk string on the wire."""
    return b"$%d\r\n%b\r\n" % (len(text), text)


def command(*words: bytes) -> bytes:
    """A command on the wire: an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(bulk(word) for word in words)


def length(digits: bytes) -> int:
    """A length as it must be written, else -1: what is passed on must be in the usual form."""
    return int(digits) if digits.isdigit() and (digits[0] != 48 or digits == b"0") else -1


def whole(parts: list[bytes]) -> bytes:
    """A value's bytes from its pieces."""
    return b"\r\n".join(parts) + b"\r\n"


def unread(transport: Any) -> bool:
    """Whether the peer has sent what is not read yet, or has ended the connection."""
    try:
        transport.getHandle().recv(1, MSG_PEEK | MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True


class RespReceiver(LineReceiver):
    """Calls `received` with each whole value and the pieces of its bytes, which stood between line ends, and
    `malformed` once, after which it is deaf."""

    def __init__(self, line: int, value: int, whole: int, items: int, depth: int) -> None:
        self.MAX_LENGTH, self.most_value, self.most_whole = line, value, whole
        self.most_items, self.most_depth = items, depth
        self.parts: list[bytes] = []  # the bytes of the value so far
        self.size = 0
        self.open: list[tuple[list, int]] = []  # arrays begun, and how long each is to be
        self.need = 0  # bytes of the bulk string that are still to come, with its line end
        self.pieces: list[bytes] = []
        self.deaf = False
        self.got = 0  # bytes that have come, all told

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
        self.got += len(data)
        if self.deaf or (data and not self.half() and not self.paused and self.flat(data)):
            return
        super().dataReceived(data)

    def flat(self, data: bytes) -> bool:
        """The short way for what nearly always comes: whole values, at most one array deep, with no line end
        inside. Anything else, and all that is malformed, goes the long way from its first byte."""
        pieces = data.split(b"\r\n")
        end, at, found = len(pieces) - 1, 0, []
        if pieces[end]:
            return False
        try:
            while at < end:
                begin, array, count = at, None, 1
                if pieces[at][:1] == b"*":
                    array, count, at = [], length(pieces[at][1:]), at + 1
                    if not 0 < count <= self.most_items:
                        return False
                value = None
                for _ in range(count):
                    if pieces[at] == b"$-1":
                        value, at = None, at + 1
                    else:
                        value = pieces[at + 1]
                        if pieces[at] != b"$%d" % len(value):
                            return False
                        at += 2
                    if array is not None:
                        array.append(value)
                found.append((value if array is None else array, pieces[begin:at]))
        except IndexError:
            return False
        if at > end:
            return False
        for value, parts in found:
            if not self.deaf:
                self.received(value, parts)
        return True

    def lineLengthExceeded(self, line: bytes) -> None:
        self.spoil("line too long")

    def lineReceived(self, line: bytes) -> None:
        if self.deaf:
            return
        mark, rest = line[:1], line[1:]
        self.parts.append(line)
        self.size += len(line) + 2
        if self.size > self.most_whole:
            self.spoil("value too long")
        elif mark == b"$" and (size := length(rest)) >= 0:
            self.need = size + 2
            self.size += self.need
            if self.need - 2 > self.most_value or self.size > self.most_whole:
                self.spoil("value too long")
            else:
                self.setRawMode()
        elif mark == b"*" and (count := length(rest)) >= 0:
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
        text = text[:-2]
        self.parts.append(text)
        self.line_mode = 1
        self.put(text)
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
