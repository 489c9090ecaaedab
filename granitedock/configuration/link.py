"""The carrier of a follower: one HTTP watch on a control process, both ways (h11 on Twisted).

The request's body stays open and carries what the follower says; the answer's body carries what control
tells."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import h11
from twisted.internet.error import ConnectBindError
from twisted.internet.protocol import ClientFactory, Protocol

from granitedock.configuration.document import ConfigurationError, digest_text
from granitedock.configuration.follower import Connection, Follower
from granitedock.configuration.lines import LineBuffer
from granitedock.configuration.messages import Message, encoded

WATCH = "/configuration/watch"
CONNECT_S = 1.0
SWEEP_S = 0.25


class WatchLink(Protocol):
    """One connection to a control process, from the moment that it is up."""

    def __init__(self, carrier: FollowerLink, connection: Connection) -> None:
        self.carrier, self.connection = carrier, connection
        self.http = h11.Connection(h11.CLIENT)
        self.buffer = LineBuffer()
        self.deaf = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        follower = self.carrier.follower
        asked = urlencode(
            {
                "name": follower.name,
                "role": self.carrier.role,
                "cluster": follower.cluster,
                "after": follower.document.version,
                "digest": digest_text(follower.document.digest),
            }
        )
        headers = [("Host", self.connection.address), ("Transfer-Encoding", "chunked")]
        request = h11.Request(method="POST", target=f"{WATCH}?{asked}", headers=headers)
        self.transport.write(self.http.send(request))
        follower.up(self.connection, self, self.carrier.now())

    def connectionLost(self, reason: Any = None) -> None:
        self.carrier.follower.down(self.connection, self.carrier.now())

    def dataReceived(self, data: bytes) -> None:
        if self.deaf:
            return
        self.carrier.counts["configuration_bytes_in"] += len(data)
        try:
            self.http.receive_data(data)
            while not self.deaf and (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self.happened(event)
        except (h11.RemoteProtocolError, ConfigurationError) as fault:
            self.refused(str(fault))

    def happened(self, event: Any) -> None:
        """One part of the answer. Raises ConfigurationError."""
        if isinstance(event, h11.Response):
            if event.status_code != 200:
                raise ConfigurationError(f"status {event.status_code}")
        elif isinstance(event, h11.Data):
            for line in self.buffer.lines(bytes(event.data)):
                if not self.deaf:
                    self.carrier.follower.line(self.connection, line, self.carrier.now())
        elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            self.transport.abortConnection()

    def refused(self, why: str) -> None:
        self.carrier.follower.refused(self.connection, why, self.carrier.now())

    def send(self, message: Message) -> None:
        line = self.http.send(h11.Data(data=encoded(message)))
        self.carrier.counts["configuration_bytes_out"] += len(line)
        self.transport.write(line)

    def abort(self) -> None:
        self.deaf = True
        self.transport.abortConnection()


class Dial(ClientFactory):
    """One connection on its way."""

    noisy = False

    def __init__(self, carrier: FollowerLink, connection: Connection) -> None:
        self.carrier, self.connection = carrier, connection

    def buildProtocol(self, addr: Any) -> WatchLink:
        return WatchLink(self.carrier, self.connection)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.carrier.follower.down(self.connection, self.carrier.now())


class FollowerLink:
    """Carries one follower (`Carrier` of `follower.py`) on a reactor; `role` is `gateway` or `replica`."""

    def __init__(self, reactor: Any, role: str, counts: Counter[str] | None = None) -> None:
        self.reactor, self.role = reactor, role
        self.counts: Counter[str] = Counter() if counts is None else counts
        self.follower: Follower | None = None

    def now(self) -> float:
        return self.reactor.seconds() * 1000.0

    def start(self, follower: Follower) -> None:
        self.follower = follower
        follower.start(self.now())
        self.sweep()

    def sweep(self) -> None:
        """Again and again while the follower is on."""
        if self.follower.on:
            self.follower.sweep(self.now())
            self.reactor.callLater(SWEEP_S, self.sweep)

    def stop(self) -> None:
        self.follower.stop(self.now())

    # What the follower asks for.

    def dial(self, connection: Connection, address: str) -> None:
        host, _, port = address.rpartition(":")
        try:
            self.reactor.connectTCP(host.strip("[]"), int(port), Dial(self, connection), timeout=CONNECT_S)
        except (OSError, ValueError, ConnectBindError):
            # Guards against a process with no descriptor left: as a dial that failed.
            self.follower.down(connection, self.now())

    def send(self, connection: Connection, message: Message) -> None:
        connection.link.send(message)

    def abort(self, connection: Connection) -> None:
        connection.link.abort()

    def later(self, after_ms: float, act: Callable[[], None]) -> None:
        def at_its_time() -> None:
            self.follower.now = self.now()
            act()

        self.reactor.callLater(after_ms / 1000.0, at_its_time)
