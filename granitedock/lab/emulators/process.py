"""How an emulator listens on loopback, vanishes, and runs as a process of its own."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, Protocol

import orjson
from twisted.internet.interfaces import IListeningPort, IProtocol
from twisted.internet.protocol import Factory

from granitedock.lab.reactor import REACTOR

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.internet.posixbase import PosixReactorBase

LOOPBACK = "127.0.0.1"


class AbortableTransport(Protocol):
    """A transport that can be reset."""

    def abortConnection(self) -> None:
        """End the connection at once, with a reset."""


class Abortable(Protocol):
    """A connection that can be reset."""

    @property
    def transport(self) -> AbortableTransport:
        """Where its bytes go."""


def run_until_sigterm(announcement: Any) -> int:
    """Print `announcement` as one JSON line on standard output (addresses, for whoever started the process),
    then run the reactor until SIGTERM; returns 0."""
    sys.stdout.write(orjson.dumps(announcement).decode() + "\n")
    sys.stdout.flush()
    signal.signal(signal.SIGTERM, lambda *_: REACTOR.callFromThread(REACTOR.stop))
    REACTOR.run(installSignalHandlers=False)
    return 0


def listen_on_loopback(
    reactor: PosixReactorBase, port: int, make_protocol: Callable[[], IProtocol]
) -> tuple[IListeningPort, int]:
    """Listen on 127.0.0.1:`port` (0: any free port); returns the listening port and its number."""
    listening = reactor.listenTCP(port, Factory.forProtocol(make_protocol), interface=LOOPBACK)
    return listening, listening.getHost().port


def vanish(listening: IListeningPort, connections: Iterable[Abortable]) -> Deferred[None] | None:
    """Disappear as a dead process does: the listener is closed and every connection reset at once. What it
    returns fires when the listener is closed."""
    closed = listening.stopListening()
    for connection in list(connections):
        connection.transport.abortConnection()
    return closed
