"""JSON documents in a stream of lines: joins received bytes to lines, and lines to documents. No I/O.

A document may take one line or, if it is written for reading, many. The work is linear in the received bytes,
however they and the lines are cut.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import orjson

LINE_END = b"\n"
# A line that starts with one of these ends a document only by its brackets.
INDENTED_LINE_STARTS = (b" ", b"\t", b"\r", b"")
# A string that does not end within its line is invalid; it matches up to the line's end, so that no byte is
# looked at twice.
JSON_STRINGS = re.compile(rb'"(?:[^"\\]|\\.?)*(?:"|$)')
# Attempts to parse an incomplete document may read this many times its bytes in all.
MAX_FAILED_PARSES_PER_BYTE = 16

# Reasons of errors.
DOCUMENT_NOT_COMPLETE = "endpoint list: incomplete JSON although all brackets are closed"
DOCUMENT_TOO_LONG = "endpoint list: longer than the limit `document`"


def nesting_change(line: bytes) -> int:
    """Return how many more objects and arrays a line of JSON opens than it closes."""
    without_strings = JSON_STRINGS.sub(b"", line)
    return (
        without_strings.count(b"{")
        + without_strings.count(b"[")
        - without_strings.count(b"}")
        - without_strings.count(b"]")
    )


class JsonLineReader:
    """Collects received bytes until they form a complete document of at most `max_document_bytes`."""

    def __init__(self, max_document_bytes: int) -> None:
        self.max_document_bytes = max_document_bytes
        self.line_pieces: list[bytes] = []  # The received bytes after the last line end.
        self.line_bytes = 0  # Their number.
        self.start_document()

    def start_document(self) -> None:
        """Begin a new document."""
        self.lines: list[bytes] = []  # The lines of the incomplete document.
        self.document_bytes = 0  # Their length, with the line ends.
        self.nesting_depth = 0  # The number of objects and arrays that are open in it.
        self.failed_parse_bytes = 0  # The bytes that failed attempts to parse it have read.

    def has_partial_document(self) -> bool:
        """Return whether a document, or a line outside one, is partly received."""
        return bool(self.line_pieces or self.lines)

    def read(self, data: bytes) -> Iterator[dict[str, Any] | None]:
        """Yield each document that the data completes, and None for each empty line between documents.

        Raises ValueError if a document is invalid or too long.
        """
        first, *later = data.split(LINE_END)
        self.add_to_line(first)
        for start_of_line in later:
            line = b"".join(self.line_pieces)
            self.line_pieces = []
            self.line_bytes = 0
            self.add_to_line(start_of_line)
            if not (self.lines or line.strip()):
                yield None
            elif (document := self.read_line(line)) is not None:
                yield document
        if self.line_bytes + self.document_bytes > self.max_document_bytes:
            raise ValueError(DOCUMENT_TOO_LONG)

    def add_to_line(self, piece: bytes) -> None:
        """Add bytes to the incomplete line."""
        if piece:
            self.line_pieces.append(piece)
            self.line_bytes += len(piece)

    def read_line(self, line: bytes) -> dict[str, Any] | None:
        """Add a line to the incomplete document, and return the document if the line completes it.

        A document may end with a line that is not indented, or with one that closes all open objects and
        arrays. Raises ValueError if it is invalid.
        """
        self.lines.append(line)
        self.document_bytes += len(line) + len(LINE_END)
        may_end = line[:1] not in INDENTED_LINE_STARTS
        if may_end and self.failed_parse_bytes < MAX_FAILED_PARSES_PER_BYTE * self.document_bytes:
            document = self.parse()
            if document is not None:
                return document
        self.nesting_depth += nesting_change(line)
        if self.nesting_depth > 0:
            return None
        document = self.parse()
        if document is None:
            raise ValueError(DOCUMENT_NOT_COMPLETE)
        return document

    def parse(self) -> dict[str, Any] | None:
        """Return the document and begin the next, or return None if it ends too early to be complete.

        Raises ValueError if it is invalid.
        """
        text = LINE_END.join(self.lines) + LINE_END
        try:
            document: dict[str, Any] = orjson.loads(text)
        except orjson.JSONDecodeError as error:
            if error.pos < len(text):
                raise
            self.failed_parse_bytes += len(text)
            return None
        self.start_document()
        return document
