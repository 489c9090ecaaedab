"""Lines of a body that comes in pieces, with a bound on a line that never ends. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from granitedock.configuration.errors import MalformedLineError

MOST_LINE_BYTES = 4 * 1024 * 1024


class LineBuffer:
    """The bytes that have come without a line end yet; at most `most` of them."""

    def __init__(self, most: int = MOST_LINE_BYTES) -> None:
        self.most = most
        self.pieces: list[bytes] = []
        self.size = 0

    def lines(self, data: bytes) -> Iterator[bytes]:
        """The lines that end in these bytes, without their ends.

        Raises MalformedLineError where a line is too long.
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
        if self.size > self.most:
            problem = f"a line of more than {self.most:,} bytes"
            raise MalformedLineError(problem)
