"""A gateway's local copy of the document in force, for its next start, written in a separate thread.

The thread prevents a slow disk from blocking the event loop and its requests. The copy is a store of the same
format as the control process's. If it is corrupt, of another cluster or not writable, its path is logged and
the gateway continues without it.
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

STOP_TIMEOUT_S = 0.5


class CopiedDocument(NamedTuple):
    """All entries of a version, with the version and its digest."""

    entries: list[tuple[Section, Record]]
    version: int
    digest: int


class LocalCopy:
    """The copy at `path`.

    `on_failure(reason)` is called at most once, from the writing thread; nothing is written after it.
    """

    def __init__(self, path: Path, cluster: str, on_failure: Callable[[str], None]) -> None:
        self.path = path
        self.cluster = cluster
        self.on_failure = on_failure
        self.queue: SimpleQueue[VersionedChange | CopiedDocument | None] = SimpleQueue()
        self.thread = Thread(target=self.write_queued, daemon=True)

    def read(self) -> CopiedDocument | None:
        """Return the copied document, or None if the file does not exist.

        Raises StoreError for a file that cannot be used as a store.
        """
        if not self.path.exists():
            return None
        store = DocumentStore(self.path, self.cluster)
        try:
            version, digest = store.state()
            return CopiedDocument(list(store.entries()), version, int(digest, 16))
        finally:
            store.close()

    def start(self) -> None:
        """Start the writing thread."""
        self.thread.start()

    def put(self, item: VersionedChange | CopiedDocument) -> None:
        """Queue a change or a whole document to be written."""
        self.queue.put(item)

    def stop(self) -> None:
        """End the thread once it has written the queued items, and wait for it for at most STOP_TIMEOUT_S."""
        self.queue.put(None)
        self.thread.join(STOP_TIMEOUT_S)

    def write_queued(self) -> None:
        """Write each queued item until None; the body of the writing thread."""
        try:
            store = DocumentStore(self.path, self.cluster)
            while (item := self.queue.get()) is not None:
                if isinstance(item, VersionedChange):
                    store.append(item)
                else:
                    store.replace(*item)
            store.close()
        except ConfigurationError as error:
            self.on_failure(str(error))
