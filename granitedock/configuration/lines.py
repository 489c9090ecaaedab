"""Lines of a body that comes in pieces, with a bound on one that never ends. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from granitedock.configuration.messages import Malformed

MOST_LINE_BYTES = 4 * 1024 * 1024


class LineBuffer:
    """What has come and has no line end yet."""

    def __init__(self, most: int = MOST_LINE_BYTES) -> None:
        self.most = most
        self.rest: list[bytes] = []
        self.held = 0

    def lines(self, data: bytes) -> Iterator[bytes]:
        """The lines that end in these bytes, without their ends. Raises Malformed where one is too long."""
        first, *more = data.split(b"\n")
        for piece in more:
            line = b"".join((*self.rest, first))
            self.rest, self.held, first = [], 0, piece
            yield line
        if first:
            self.rest.append(first)
            self.held += len(first)
        if self.held > self.most:
            raise Malformed(f"a line of more than {self.most:,} bytes")
