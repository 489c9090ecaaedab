"""Functions with which an emulator listens on loopback, closes abruptly and runs as a separate process."""

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
        """Reset the connection immediately."""


class Abortable(Protocol):
    """A connection that can be reset."""

    @property
    def transport(self) -> AbortableTransport:
        """The transport of the connection."""


def run_until_sigterm(announcement: Any) -> int:
    """Print `announcement` as one JSON line, then run the reactor until SIGTERM; returns 0.

    The announcement on standard output gives the emulator's addresses to the parent process.
    """
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


def close_abruptly(listening: IListeningPort, connections: Iterable[Abortable]) -> Deferred[None] | None:
    """Close the listener and reset every connection immediately, as the kernel does for a killed process.

    Returns a Deferred that fires when the listener is closed, or None.
    """
    closed = listening.stopListening()
    for connection in list(connections):
        connection.transport.abortConnection()
    return closed
