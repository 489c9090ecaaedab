"""A gateway's copy of the document that it has in force, for its next start: written in a thread of its own.

Guards requests against a slow disk, which would hold up the loop. The copy is a store like control's; one
that is corrupt, another cluster's or unwritable is named in the log, and the gateway goes on without it.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from queue import SimpleQueue
from threading import Thread
from typing import NamedTuple

from granitedock.configuration.document import Record, Section
from granitedock.configuration.document_store import DocumentStore
from granitedock.configuration.errors import ConfigurationError
from granitedock.configuration.messages import VersionedChange

STOP_S = 0.5


class CopiedDocument(NamedTuple):
    """All entries of a version, and its digest."""

    entries: list[tuple[Section, Record]]
    version: int
    digest: int


class LocalCopy:
    """The copy at `path`.

    `failed(why)` is called from the writing thread, once: nothing is written after it.
    """

    def __init__(self, path: Path, cluster: str, failed: Callable[[str], None]) -> None:
        self.path = path
        self.cluster = cluster
        self.failed = failed
        self.queue: SimpleQueue[VersionedChange | CopiedDocument | None] = SimpleQueue()
        self.thread = Thread(target=self.write_queued, daemon=True)

    def read(self) -> CopiedDocument | None:
        """What was kept, or None where there is nothing yet. Raises StoreError."""
        if not self.path.exists():
            return None
        store = DocumentStore(self.path, self.cluster)
        try:
            version, digest = store.state()
            return CopiedDocument(list(store.entries()), version, int(digest, 16))
        finally:
            store.close()

    def start(self) -> None:
        """Begin to write."""
        self.thread.start()

    def put(self, item: VersionedChange | CopiedDocument) -> None:
        """Queue a change or a whole document to be written."""
        self.queue.put(item)

    def stop(self) -> None:
        """Write what is queued, within the time that a process has to end."""
        self.queue.put(None)
        self.thread.join(STOP_S)

    def write_queued(self) -> None:
        """The thread: write each item until None."""
        try:
            store = DocumentStore(self.path, self.cluster)
            while (item := self.queue.get()) is not None:
                if isinstance(item, VersionedChange):
                    store.append(item)
                else:
                    store.replace(*item)
            store.close()
        except ConfigurationError as fault:
            self.failed(str(fault))
