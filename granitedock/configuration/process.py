"""`granitedock control`: one control process, the writer or a replica, until SIGTERM."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from random import SystemRandom
from time import time
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.internet.error import CannotListenError

from granitedock.configuration.control import Control
from granitedock.configuration.follower import Follower
from granitedock.configuration.link import FollowerLink
from granitedock.configuration.server import ControlService
from granitedock.configuration.settings import ControlFile
from granitedock.configuration.store import Store
from granitedock.event_log import EventLog

LOG_LINES_A_SECOND = 50


class ControlProcess:
    """A control process by its file. Raises StoreError."""

    def __init__(self, file: ControlFile, reactor: Any = default_reactor) -> None:
        self.file, self.reactor = file, reactor
        self.log = EventLog(file.name, lambda: time() * 1000.0, LOG_LINES_A_SECOND)
        store = Store(Path(file.store), file.cluster)
        self.control = Control(store, not file.follow, self.now, lambda _: None)
        self.service = ControlService(reactor, self.control, self.log.event)
        self.link: FollowerLink | None = None

    def now(self) -> float:
        return self.reactor.seconds() * 1000.0

    def start(self) -> str:
        """Serve, and follow where the file says whom; the address. Raises CannotListenError."""
        address = self.service.listen(self.file.listen)
        if self.file.follow:
            self.link = FollowerLink(self.reactor, "replica", self.control.publisher.counts)
            follower = Follower(
                self.file.name,
                self.file.cluster,
                self.file.follow,
                self.control.document,
                self.link,
                SystemRandom(),
                self.log.event,
            )
            self.control.follower = follower
            self.link.start(follower)
        contents = self.control.contents
        self.log.event(
            "control listening",
            address=address,
            writer=self.control.writes,
            version=contents.version,
            entries=contents.count(),
        )
        return address

    def imported(self, settings: dict[str, Any], source: str) -> None:
        """A platform's file becomes version 1 of an empty store, and is left alone where there is a version,
        so that a restart by the same command goes on by the store. Raises ConfigurationError."""
        if self.control.contents.version:
            self.log.event("import left alone", file=source, version=self.control.contents.version)
        else:
            self.control.import_settings(settings, source)

    def end(self) -> Any:
        """A Deferred of the listener's end."""
        if self.link is not None:
            self.link.stop()
        ended = self.service.close()
        self.control.store.close()
        return ended


def run(file: ControlFile, settings: dict[str, Any] | None, source: str) -> int:
    """Serve until SIGTERM; `settings` of a platform's file become version 1 of an empty store. Raises
    ConfigurationError."""
    process = ControlProcess(file)
    if settings is not None:
        process.imported(settings, source)
    try:
        address = process.start()
    except (CannotListenError, OSError) as fault:
        print(f"granitedock: cannot listen at {file.listen}: {fault}", file=sys.stderr)
        return 1
    print(address, flush=True)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: default_reactor.callFromThread(default_reactor.stop))
    default_reactor.run(installSignalHandlers=False)
    return 0
