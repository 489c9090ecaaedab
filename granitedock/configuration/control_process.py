"""Runs one control process, the writer or a replica, until SIGTERM or SIGINT (`granitedock control`)."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from random import SystemRandom
from time import time
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.internet.error import CannotListenError

from granitedock.configuration.control_node import ControlNode
from granitedock.configuration.control_server import ControlServer
from granitedock.configuration.document import Record
from granitedock.configuration.document_store import DocumentStore
from granitedock.configuration.follower import Follower, FollowerSettings
from granitedock.configuration.follower_connection import FollowerTransport
from granitedock.configuration.settings import ControlFile
from granitedock.event_log import EventLog

MAX_LOG_LINES_PER_SECOND = 50
REPLICA = "replica"


def discard_notification(_followers: object) -> None:
    """Discard a notification; the node uses this function until its server replaces it."""


class ControlProcess:
    """A control process as its settings file describes it. Raises StoreError."""

    def __init__(self, file: ControlFile, reactor: Any = default_reactor) -> None:
        self.file = file
        self.reactor = reactor
        self.log = EventLog(file.name, lambda: time() * 1000.0, MAX_LOG_LINES_PER_SECOND)
        store = DocumentStore(Path(file.store), file.cluster)
        self.node = ControlNode(store, not file.follow, self.now, discard_notification)
        self.server = ControlServer(reactor, self.node, self.log.event)
        self.transport: FollowerTransport | None = None

    def now(self) -> float:
        """Return monotonic ms."""
        return self.reactor.seconds() * 1000.0

    def start(self) -> str:
        """Start to serve and, at a replica, to follow. Returns the address. Raises CannotListenError."""
        address = self.server.listen(self.file.listen)
        if self.file.follow:
            self.start_following()
        contents = self.node.contents
        self.log.event(
            "control listening",
            address=address,
            writer=self.node.writer,
            version=contents.version,
            entries=contents.count(),
        )
        return address

    def start_following(self) -> None:
        """Start to follow the control processes that the settings file names, as a replica."""
        self.transport = FollowerTransport(self.reactor, REPLICA, self.node.publisher.counts)
        self.node.follower = Follower(
            FollowerSettings(self.file.name, self.file.cluster, self.file.follow),
            self.node.document,
            self.transport,
            SystemRandom(),
            self.log.event,
        )
        self.transport.start(self.node.follower)

    def import_settings(self, settings: Record, source: str) -> None:
        """Apply a platform file as version 1 of an empty store. Raises ConfigurationError.

        The import is skipped if the store has a version, so that a restart with the same command continues
        from the store.
        """
        if self.node.contents.version:
            self.log.event("import skipped", file=source, version=self.node.contents.version)
        else:
            self.node.import_settings(settings, source)

    def end(self) -> Any:
        """Stop following and serving, and close the store.

        Returns a Deferred that fires when the listener has stopped.
        """
        if self.transport is not None:
            self.transport.stop()
        ended = self.server.close()
        self.node.store.close()
        return ended


def run(file: ControlFile, settings: Record | None, source: str) -> int:
    """Serve until SIGTERM or SIGINT, and return the process's exit status. Raises ConfigurationError.

    The `settings` of a platform file become version 1 of an empty store; None imports nothing. `source` names
    that file.
    """
    process = ControlProcess(file)
    if settings is not None:
        process.import_settings(settings, source)
    try:
        address = process.start()
    except (CannotListenError, OSError) as fault:
        print(f"granitedock: cannot listen at {file.listen}: {fault}", file=sys.stderr)
        return 1
    print(address, flush=True)
    reactor: Any = default_reactor  # Twisted states no type for its reactor module.
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: reactor.callFromThread(reactor.stop))
    reactor.run(installSignalHandlers=False)
    return 0
