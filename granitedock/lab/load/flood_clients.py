"""Clients that flood gateways with values, beside the load of the usual clients.

Each flood has a connection of its own. The client sends its input at full speed, reads all replies, and
closes once it has what it is owed, or after `REPLY_TIMEOUT_S`. All methods run in the reactor's thread.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from granitedock.lab.load.flood_input import FloodInput, draw_flood
from granitedock.lab.reactor import REACTOR
from granitedock.lab.resp_connection import RespConnection
from granitedock.lab.scenario import Floods
from granitedock.service.resp import ErrorReply

REPLY_TIMEOUT_S = 3.0  # The platform's pages: a bad client is owed an error or a close within this time.


@dataclass(slots=True)
class FloodRecord:
    """One flood as its client observed it."""

    gateway: int
    input: FloodInput
    replies: int = 0  # Without the error reply that ends the connection of a malformed flood.
    rejected: bool = False  # An error reply beyond the replies, or a close by the gateway, has arrived.
    finished: bool = False

    def has_its_due(self) -> bool:
        """Return whether the client has received what it is owed."""
        return self.replies >= self.input.replies and (self.rejected or not self.input.malformed)


class FloodConnection(RespConnection):
    """The connection of one flood."""

    def __init__(self, record: FloodRecord) -> None:
        super().__init__()
        self.record = record
        self.unsent = deque(record.input.pieces)
        self.timeout = REACTOR.callLater(REPLY_TIMEOUT_S, self.finish)

    def connectionMade(self) -> None:
        """Send the first piece."""
        self.transport.setTcpNoDelay(True)
        self.send_next()

    def send_next(self) -> None:
        """Send a piece, and the next one in a later iteration of the event loop, as a read of its own."""
        if self.unsent and not self.record.finished:
            self.transport.write(self.unsent.popleft())
            REACTOR.callLater(0, self.send_next)

    def value_received(self, value: Any, parts: list[bytes]) -> None:  # noqa: ARG002  the receiver's signature
        """Count a reply."""
        if type(value) is ErrorReply and self.record.replies >= self.record.input.replies:
            self.record.rejected = True
        else:
            self.record.replies += 1
        if self.record.has_its_due() and not self.unsent:
            self.finish()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  Twisted's signature
        """Record a close by the gateway."""
        if not self.record.finished:
            self.record.rejected = True
            self.finish()

    def finish(self) -> None:
        """End the flood."""
        self.record.finished = True
        if self.timeout.active():
            self.timeout.cancel()
        self.transport.abortConnection()


class FloodConnector(ClientFactory):
    """Opens the connection of one flood."""

    noisy = False

    def __init__(self, record: FloodRecord) -> None:
        self.record = record

    def buildProtocol(self, addr: IAddress | None) -> FloodConnection:  # noqa: ARG002  Twisted's signature
        """Return the protocol of a connection that the gateway accepted."""
        return FloodConnection(self.record)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: ARG002  Twisted's signature
        """Record a refusal, which is a close."""
        self.record.rejected = True
        self.record.finished = True


class FloodClients:
    """Runs the floods of one table of a scenario against one gateway, until `stop`."""

    def __init__(self, floods: Floods, seed: str, address: str) -> None:
        """`address` is that of the gateway, HOST:PORT; the seed fixes what is sent."""
        self.floods = floods
        self.random = Random(seed)
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.records: list[FloodRecord] = []
        self.running = True

    def start(self) -> None:
        """Send the floods of one round, and schedule the next round."""
        if not self.running:
            return
        for _ in range(self.floods.clients):
            record = FloodRecord(self.floods.gateway, draw_flood(self.random, self.floods.values))
            self.records.append(record)
            REACTOR.connectTCP(self.host, self.port, FloodConnector(record), timeout=REPLY_TIMEOUT_S)
        REACTOR.callLater(self.floods.every_s, self.start)

    def stop(self) -> None:
        """Begin no further flood."""
        self.running = False


def unserved_floods(records: list[FloodRecord]) -> list[str]:
    """Return a line for each finished flood whose client did not receive what it is owed."""
    return [
        f"flood of {record.input.kind!r} at gateway/{record.gateway}: {record.replies} of "
        f"{record.input.replies} replies, {'an' if record.rejected else 'no'} error or close"
        for record in records
        if record.finished and not record.has_its_due()
    ]
