"""The transport of a follower: one HTTP watch on a control process, both ways (h11 on Twisted).

The request's body stays open and carries the follower's messages; the answer's body carries control's.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import h11
from twisted.internet.error import ConnectBindError
from twisted.internet.protocol import ClientFactory, Protocol

from granitedock.configuration.errors import ConfigurationError
from granitedock.configuration.follower import Follower
from granitedock.configuration.follower_states import Connection
from granitedock.configuration.http_paths import WATCH
from granitedock.configuration.line_framing import LineBuffer
from granitedock.configuration.message_codec import encode
from granitedock.configuration.messages import Message
from granitedock.configuration.watch_request import WatchRequest

CONNECT_TIMEOUT_S = 1.0
CHECK_S = 0.25


class WatchProtocol(Protocol):
    """One connection to a control process, from the moment that it is up."""

    transport: Any  # Twisted's, set while the connection is up

    def __init__(self, owner: FollowerTransport, connection: Connection) -> None:
        self.owner = owner
        self.connection = connection
        self.http = h11.Connection(h11.CLIENT)
        self.buffer = LineBuffer()
        self.aborted = False

    def connectionMade(self) -> None:
        """Twisted: the connection is up; open the watch."""
        self.transport.setTcpNoDelay(True)
        follower = self.owner.follower
        document = follower.document
        watch = WatchRequest(
            follower.name, self.owner.role, follower.cluster, document.version, document.digest
        )
        headers = [("Host", self.connection.address), ("Transfer-Encoding", "chunked")]
        request = h11.Request(method="POST", target=f"{WATCH}?{watch.query()}", headers=headers)
        self.transport.write(self.http.send(request))
        follower.connected(self.connection, self, self.owner.now())

    def connectionLost(self, reason: Any = None) -> None:  # noqa: ARG002 - Twisted passes it by position
        """Twisted: the connection has ended."""
        self.owner.follower.disconnected(self.connection, self.owner.now())

    def dataReceived(self, data: bytes) -> None:
        """Twisted: bytes of the answer."""
        if self.aborted:
            return
        self.owner.counts["configuration_bytes_in"] += len(data)
        try:
            self.http.receive_data(data)
            while not self.aborted and (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self.handle_event(event)
        except (h11.RemoteProtocolError, ConfigurationError) as fault:
            self.owner.follower.reject(self.connection, str(fault), self.owner.now())

    def handle_event(self, event: Any) -> None:
        """One event of h11. Raises ConfigurationError."""
        if isinstance(event, h11.Response):
            if event.status_code != HTTPStatus.OK:
                problem = f"status {event.status_code}"
                raise ConfigurationError(problem)
        elif isinstance(event, h11.Data):
            for line in self.buffer.lines(bytes(event.data)):
                if not self.aborted:
                    self.owner.follower.line_received(self.connection, line, self.owner.now())
        elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            self.transport.abortConnection()

    def send(self, message: Message) -> None:
        """Send a message to the control process."""
        data = self.http.send(h11.Data(data=encode(message))) or b""
        self.owner.counts["configuration_bytes_out"] += len(data)
        self.transport.write(data)

    def abort(self) -> None:
        """End the connection at once; nothing more is read from it."""
        self.aborted = True
        self.transport.abortConnection()


class WatchFactory(ClientFactory):
    """The factory of one connection that is on its way."""

    noisy = False

    def __init__(self, owner: FollowerTransport, connection: Connection) -> None:
        self.owner = owner
        self.connection = connection

    def buildProtocol(self, addr: Any) -> WatchProtocol:  # noqa: ARG002 - Twisted passes it by position
        """Twisted: the connection is about to be up."""
        return WatchProtocol(self.owner, self.connection)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: ARG002 - as above
        """Twisted: the connection could not be made."""
        self.owner.follower.disconnected(self.connection, self.owner.now())


class FollowerTransport:
    """Carries one follower (`TransportPort`) on a reactor; `role` is `gateway` or `replica`."""

    follower: Follower  # from its start on

    def __init__(self, reactor: Any, role: str, counts: Counter[str] | None = None) -> None:
        self.reactor = reactor
        self.role = role
        self.counts: Counter[str] = Counter() if counts is None else counts

    def now(self) -> float:
        """Monotonic ms."""
        return self.reactor.seconds() * 1000.0

    def start(self, follower: Follower) -> None:
        """Start the follower, and check its timeouts from now on."""
        self.follower = follower
        follower.start(self.now())
        self.check_periodically()

    def check_periodically(self) -> None:
        """Check the follower's timeouts, again and again while it runs."""
        if self.follower.running:
            self.follower.check_timeouts(self.now())
            self.reactor.callLater(CHECK_S, self.check_periodically)

    def stop(self) -> None:
        """Stop the follower."""
        self.follower.stop(self.now())

    # `TransportPort` of the follower.

    def connect(self, connection: Connection, address: str) -> None:
        """Begin to connect.

        Guards against a process with no descriptor left: as a connection that failed.
        """
        host, _, port = address.rpartition(":")
        factory = WatchFactory(self, connection)
        try:
            self.reactor.connectTCP(host.strip("[]"), int(port), factory, timeout=CONNECT_TIMEOUT_S)
        except (OSError, ValueError, ConnectBindError):
            self.follower.disconnected(connection, self.now())

    def send(self, connection: Connection, message: Message) -> None:
        """Send a message on a connection that is up."""
        if connection.network is not None:
            connection.network.send(message)

    def abort(self, connection: Connection) -> None:
        """End a connection that is up."""
        if connection.network is not None:
            connection.network.abort()

    def call_later(self, after_ms: float, act: Callable[[], None]) -> None:
        """Call `act` after so many ms, with the follower's clock brought up to date."""

        def act_now() -> None:
            self.follower.now = self.now()
            act()

        self.reactor.callLater(after_ms / 1000.0, act_now)
