"""Splits a streamed body into lines, with a limit on the length of an incomplete line. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from granitedock.configuration.errors import MalformedLineError

MAX_LINE_BYTES = 4 * 1024 * 1024


class LineBuffer:
    """Buffer of received bytes without a line end; at most `max_line_bytes` of them."""

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        self.max_line_bytes = max_line_bytes
        self.pieces: list[bytes] = []
        self.size = 0

    def lines(self, data: bytes) -> Iterator[bytes]:
        """Yield the lines that end within these bytes, without their line ends.

        Raises MalformedLineError if an incomplete line exceeds the limit.
        """
        rest, *more = data.split(b"\n")
        for piece in more:
            line = b"".join((*self.pieces, rest))
            self.pieces = []
            self.size = 0
            rest = piece
            yield line
        if rest:
            self.pieces.append(rest)
            self.size += len(rest)
        if self.size > self.max_line_bytes:
            problem = f"a line of more than {self.max_line_bytes:,} bytes"
            raise MalformedLineError(problem)
