"""A gateway's copy of the document that it has in force, for its next start: written in a thread of its own.

Guards requests against a slow disk, which would hold up the loop. The copy is a store like control's; one
that is torn, another cluster's or unwritable is named in the log, and the gateway goes on without it."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from queue import SimpleQueue
from threading import Thread

from granitedock.configuration.document import ConfigurationError, Record, Section
from granitedock.configuration.messages import VersionedChange
from granitedock.configuration.store import Store

STOP_S = 0.5
Whole = tuple[list[tuple[Section, Record]], int, int]  # entries, version, digest


class CopyFile:
    """The copy at `path`; `failed(why)` is called from the writing thread, once: nothing is written after."""

    def __init__(self, path: Path, cluster: str, failed: Callable[[str], None]) -> None:
        self.path, self.cluster, self.failed = path, cluster, failed
        self.waiting: SimpleQueue[VersionedChange | Whole | None] = SimpleQueue()
        self.thread = Thread(target=self.write, daemon=True)

    def read(self) -> Whole | None:
        """What was kept, or None where there is nothing yet. Raises StoreError."""
        if not self.path.exists():
            return None
        store = Store(self.path, self.cluster)
        try:
            version, digest = store.state()
            return list(store.entries()), version, int(digest, 16)
        finally:
            store.close()

    def start(self) -> None:
        self.thread.start()

    def put(self, what: VersionedChange | Whole) -> None:
        self.waiting.put(what)

    def stop(self) -> None:
        """What waits is written first, within the time that a process has to end."""
        self.waiting.put(None)
        self.thread.join(STOP_S)

    def write(self) -> None:
        try:
            store = Store(self.path, self.cluster)
            while (what := self.waiting.get()) is not None:
                if isinstance(what, VersionedChange):
                    store.append(what)
                else:
                    store.replace(*what)
            store.close()
        except ConfigurationError as fault:
            self.failed(str(fault))
