"""The order of a snapshot's messages: its pages one after another, then its end. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from granitedock.configuration.errors import MalformedLineError
from granitedock.configuration.messages import Page, SnapshotBegins, SnapshotEnds


@dataclass(slots=True)
class SnapshotProgress:
    """A snapshot on its way; `skipped`: it is older than what is in force, and is read without effect."""

    begins: SnapshotBegins
    skipped: bool
    next_page: int = 0


def check_page(progress: SnapshotProgress | None, page: Page) -> SnapshotProgress:
    """The snapshot that the page belongs to, as its next. Raises MalformedLineError."""
    if progress is None or page.number != progress.next_page:
        problem = f"page {page.number} out of turn"
        raise MalformedLineError(problem)
    progress.next_page += 1
    return progress


def check_end(progress: SnapshotProgress | None, end: SnapshotEnds) -> SnapshotProgress:
    """The snapshot that ends here, all of its pages read. Raises MalformedLineError."""
    if (
        progress is None
        or progress.next_page != progress.begins.pages
        or end.version != progress.begins.version
    ):
        problem = "a snapshot's end out of turn"
        raise MalformedLineError(problem)
    return progress
