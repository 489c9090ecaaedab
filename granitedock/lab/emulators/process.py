"""Functions with which an emulator listens on loopback, closes abruptly and runs as a separate process."""

from __future__ import annotations

import os
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

# The loopback addresses of emulators, 127.A.B.1, begin above those of test clusters (`cluster/network.py`).
FIRST_NETWORK = 200
NETWORKS = 50
NETWORKS_PER_SECOND_OCTET = 250


def loopback_address(process_id: int) -> str:
    """Return the address at which the emulators of a process listen.

    The port of a killed emulator is then still free when it restarts: on 127.0.0.1 the kernel assigns it to
    outgoing connections and to listeners of other processes meanwhile.
    """
    network, host = divmod(process_id, NETWORKS_PER_SECOND_OCTET)
    return f"127.{FIRST_NETWORK + network % NETWORKS}.{host}.1"


LOOPBACK = loopback_address(os.getpid())


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
    """Listen at `LOOPBACK` on `port` (0: any free port); returns the listening port and its number."""
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
