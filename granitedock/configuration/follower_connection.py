"""Transport of a follower: a bidirectional HTTP watch on a control process (h11 on Twisted).

The request body stays open and carries the follower's messages; the response body carries the messages of the
control process.
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
CHECK_INTERVAL_S = 0.25


class WatchProtocol(Protocol):
    """One established connection to a control process."""

    transport: Any  # Set by Twisted while the connection is established.

    def __init__(self, owner: FollowerTransport, connection: Connection) -> None:
        self.owner = owner
        self.connection = connection
        self.http = h11.Connection(h11.CLIENT)
        self.buffer = LineBuffer()
        self.aborted = False

    def connectionMade(self) -> None:
        """Open the watch on the established connection; called by Twisted."""
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
        """Report the closed connection to the follower; called by Twisted."""
        self.owner.follower.disconnected(self.connection, self.owner.now())

    def dataReceived(self, data: bytes) -> None:
        """Parse bytes of the response; called by Twisted."""
        if self.aborted:
            return
        self.owner.counts["configuration_bytes_in"] += len(data)
        try:
            self.http.receive_data(data)
            while not self.aborted and (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self.handle_event(event)
        except (h11.RemoteProtocolError, ConfigurationError) as error:
            self.owner.follower.reject(self.connection, str(error), self.owner.now())

    def handle_event(self, event: Any) -> None:
        """Handle one event of h11. Raises ConfigurationError."""
        if isinstance(event, h11.Response):
            if event.status_code != HTTPStatus.OK:
                problem = f"expected HTTP status 200, got status {event.status_code}"
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
        """Abort the connection; no further data is read from it."""
        self.aborted = True
        self.transport.abortConnection()


class WatchFactory(ClientFactory):
    """The factory of one connection that is being established."""

    noisy = False

    def __init__(self, owner: FollowerTransport, connection: Connection) -> None:
        self.owner = owner
        self.connection = connection

    def buildProtocol(self, addr: Any) -> WatchProtocol:  # noqa: ARG002 - Twisted passes it by position
        """Build the protocol of the connection; called by Twisted."""
        return WatchProtocol(self.owner, self.connection)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: ARG002 - Twisted passes both by position
        """Report the failed connection to the follower; called by Twisted."""
        self.owner.follower.disconnected(self.connection, self.owner.now())


class FollowerTransport:
    """The `TransportPort` of one follower on a Twisted reactor; `role` is `gateway` or `replica`.

    `counts` receives the numbers of bytes in and out; with None, the transport has a counter of its own.
    """

    follower: Follower  # Set by `start`.

    def __init__(self, reactor: Any, role: str, counts: Counter[str] | None = None) -> None:
        self.reactor = reactor
        self.role = role
        self.counts: Counter[str] = Counter() if counts is None else counts

    def now(self) -> float:
        """Return the monotonic time in ms."""
        return self.reactor.seconds() * 1000.0

    def start(self, follower: Follower) -> None:
        """Start the follower and its periodic timeout checks."""
        self.follower = follower
        follower.start(self.now())
        self.check_periodically()

    def check_periodically(self) -> None:
        """Check the follower's timeouts, and reschedule the check while the follower runs."""
        if self.follower.running:
            self.follower.check_timeouts(self.now())
            self.reactor.callLater(CHECK_INTERVAL_S, self.check_periodically)

    def stop(self) -> None:
        """Stop the follower."""
        self.follower.stop(self.now())

    # `TransportPort` of the follower.

    def connect(self, connection: Connection, address: str) -> None:
        """Start connecting.

        An error of the call itself, such as that no file descriptor is free, counts as a failed connection.
        """
        host, _, port = address.rpartition(":")
        factory = WatchFactory(self, connection)
        try:
            self.reactor.connectTCP(host.strip("[]"), int(port), factory, timeout=CONNECT_TIMEOUT_S)
        except (OSError, ValueError, ConnectBindError):
            self.follower.disconnected(connection, self.now())

    def send(self, connection: Connection, message: Message) -> None:
        """Send a message, if the connection is established."""
        if connection.network is not None:
            connection.network.send(message)

    def abort(self, connection: Connection) -> None:
        """Abort the connection, if it is established."""
        if connection.network is not None:
            connection.network.abort()

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """After `delay_ms`, update the follower's clock and call `callback`."""

        def update_clock_and_call() -> None:
            self.follower.now = self.now()
            callback()

        self.reactor.callLater(delay_ms / 1000.0, update_clock_and_call)
