"""Checks the order of a snapshot's messages: its pages in sequence, then its end. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from granitedock.configuration.errors import MalformedLineError
from granitedock.configuration.messages import Page, SnapshotBegins, SnapshotEnds


@dataclass(slots=True)
class SnapshotProgress:
    """A snapshot being received; with `skipped` it is older than the version in force and has no effect."""

    header: SnapshotBegins
    skipped: bool
    next_page: int = 0


def check_page(progress: SnapshotProgress | None, page: Page) -> SnapshotProgress:
    """Check that the page is the next of its snapshot, and return its progress. Raises MalformedLineError."""
    if progress is None or page.number != progress.next_page:
        problem = f"snapshot page {page.number} received out of order"
        raise MalformedLineError(problem)
    progress.next_page += 1
    return progress


def check_end(progress: SnapshotProgress | None, end: SnapshotEnds) -> SnapshotProgress:
    """Check that all pages precede the end, and return the progress. Raises MalformedLineError."""
    if (
        progress is None
        or progress.next_page != progress.header.pages
        or end.version != progress.header.version
    ):
        problem = "snapshot end received out of order or for another version"
        raise MalformedLineError(problem)
    return progress
