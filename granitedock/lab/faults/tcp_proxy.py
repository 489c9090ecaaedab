"""A proxy for the TCP connections from one gateway to one party (the counter, discovery, a host).

While a link is cut, its connections stay open and silent, and new connections are not established. Data that
is written meanwhile arrives when the link heals, as it does by retransmission. Source: docs/lab-design.md
("Links that fail").
"""

from __future__ import annotations

import socket
import time
from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from granitedock.lab.faults.link_faults import LinkFaults

if TYPE_CHECKING:
    from twisted.internet.posixbase import PosixReactorBase
    from twisted.internet.tcp import Client, Port, Server

CONNECT_TIMEOUT_S = 2
BACKLOG = 50
BACKLOG_FILLERS = 2  # connections that fill a listener's accept queue of minimum length


class ProxyConnection(Protocol):
    """One side of a proxied connection, either the gateway's or the party's."""

    transport: Server | Client | None

    def __init__(self, proxy: TcpProxy, source: str, target: str) -> None:
        """`source` is the name of the peer of this side, `target` of the peer of the other side."""
        self.proxy = proxy
        self.source = source
        self.target = target
        self.peer: ProxyConnection | None = None  # the other side
        self.buffered: list[bytes] = []
        self.last_delivery_s = 0.0  # reactor time of the last delayed delivery: data stays in order
        self.closed = False

    def is_cut(self) -> bool:
        """Return whether the link in the direction from this side is cut."""
        return self.proxy.faults.on(self.source, self.target).cut

    def open_peer(self) -> ProxyConnection | None:
        """Return the other side if it is connected, else None."""
        peer = self.peer
        return peer if peer is not None and peer.transport is not None and not peer.closed else None

    def connectionMade(self) -> None:
        """Register this side as open."""
        assert self.transport is not None
        self.transport.setTcpNoDelay(True)
        self.proxy.connections.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Forward, delay or buffer the data as the link's fault determines."""
        fault = self.proxy.faults.on(self.source, self.target)
        if fault.cut or self.buffered or self.peer is None or self.peer.transport is None:
            self.buffered.append(data)
        elif fault.delay_ms:
            now_s = self.proxy.reactor.seconds()
            delay_ms = fault.delay_ms + fault.jitter_ms * self.proxy.faults.random.random()
            self.last_delivery_s = max(self.last_delivery_s, now_s + delay_ms / 1000)
            self.proxy.reactor.callLater(self.last_delivery_s - now_s, self.peer.write, data)
        else:
            self.peer.write(data)

    def write(self, data: bytes) -> None:
        """Write data to the peer of this side, unless the side is closed."""
        if self.transport is not None and not self.closed:
            self.transport.write(data)

    def release(self) -> None:
        """Forward the buffered data, or a close that was not forwarded, unless the link is cut."""
        if self.closed and self.open_peer() is not None:
            if not self.is_cut():
                self.abort_peer()
            return
        ready = self.buffered and self.peer is not None and self.peer.transport is not None
        if ready and not self.is_cut():
            data = b"".join(self.buffered)
            self.buffered = []
            self.dataReceived(data)

    def abort_peer(self) -> None:
        """Reset the other side, if it is connected."""
        peer = self.open_peer()
        if peer is not None and peer.transport is not None:
            peer.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  Twisted's signature
        """Forward the close and discard the buffered data, which no process would retransmit any more."""
        self.closed = True
        self.proxy.connections.discard(self)
        self.buffered.clear()
        peer = self.open_peer()
        if peer is None or peer.transport is None:
            return
        if self.is_cut():
            # The cut also blocks the close: the other side stays open and silent until the link heals. The
            # time is recorded, as a check of the requests in flight needs to know when this side closed.
            self.proxy.unreported_closes[peer.transport.getHost().port] = time.monotonic()
            return
        peer.transport.abortConnection()


class PartyConnector(ClientFactory):
    """Connects to the party for a gateway's side that has been accepted."""

    noisy = False

    def __init__(self, gateway_side: ProxyConnection) -> None:
        self.gateway_side = gateway_side

    def buildProtocol(self, addr: IAddress | None) -> ProxyConnection:  # noqa: ARG002  Twisted's signature
        """Link the two sides; buffered data is forwarded once the party's side is connected."""
        proxy = self.gateway_side.proxy
        party_side = ProxyConnection(proxy, self.gateway_side.target, self.gateway_side.source)
        party_side.peer = self.gateway_side
        self.gateway_side.peer = party_side
        proxy.reactor.callLater(0, self.gateway_side.release)
        return party_side

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: ARG002  Twisted's signature
        """Reset the gateway's side, as the party is unreachable."""
        if self.gateway_side.transport is not None:
            self.gateway_side.transport.abortConnection()


class GatewayAcceptor(Factory):
    """Accepts connections of a gateway and connects each to the party."""

    noisy = False

    def __init__(self, proxy: TcpProxy) -> None:
        self.proxy = proxy

    def buildProtocol(self, addr: IAddress | None) -> ProxyConnection:  # noqa: ARG002  Twisted's signature
        """Create the gateway's side of a connection and start to connect to the party."""
        proxy = self.proxy
        gateway_side = ProxyConnection(proxy, proxy.gateway, proxy.party)
        host, _, port = proxy.party_address.rpartition(":")
        proxy.reactor.connectTCP(host, int(port), PartyConnector(gateway_side), timeout=CONNECT_TIMEOUT_S)
        return gateway_side


class TcpProxy:
    """The link from one gateway to one party: a listener for this gateway that forwards to the party."""

    port: Port

    def __init__(  # noqa: PLR0913  a link has two ends, each with a name and an address
        self,
        reactor: PosixReactorBase,
        faults: LinkFaults,
        gateway: str,
        party: str,
        listen_address: str,
        party_address: str,
    ) -> None:
        """Listen at `listen_address` (port 0: any free port) and forward to `party_address`."""
        self.reactor = reactor
        self.faults = faults
        self.gateway = gateway
        self.party = party
        self.party_address = party_address
        self.connections: set[ProxyConnection] = set()
        # Monotonic times of closes that a cut blocked, by the local port of the side that stays open.
        self.unreported_closes: dict[int, float] = {}
        self.fillers: list[socket.socket] = []
        host, _, port = listen_address.rpartition(":")
        self.port = reactor.listenTCP(int(port), GatewayAcceptor(self), interface=host)
        self.address = f"{host}:{self.port.getHost().port}"
        faults.listeners.append(self.apply_faults)

    def is_cut(self) -> bool:
        """Return whether the link is cut in either direction."""
        links = (self.gateway, self.party), (self.party, self.gateway)
        return any(self.faults.on(*link).cut for link in links)

    def apply_faults(self) -> None:
        """Apply a change of the links' faults.

        While the link is cut, no new connection is established: the listener's accept queue is set to its
        minimum length and filled, so that the kernel drops further connection attempts.
        """
        if self.is_cut() and not self.fillers:
            self.port.stopReading()
            self.port.socket.listen(0)
            for _ in range(BACKLOG_FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.port.socket.getsockname())
                self.fillers.append(filler)
        elif not self.is_cut() and self.fillers:
            for filler in self.fillers:
                filler.close()
            self.fillers = []
            self.port.socket.listen(BACKLOG)
            self.port.startReading()
        for connection in self.all_sides():
            connection.release()

    def all_sides(self) -> list[ProxyConnection]:
        """Return both sides of every connection that has at least one open side."""
        return [
            side
            for connection in self.connections
            for side in (connection, connection.peer)
            if side is not None
        ]

    def stop(self) -> Any:
        """Close the listener and all connections.

        Returns a Deferred that fires when the listener is closed, or None if it is closed already.
        """
        self.faults.listeners.remove(self.apply_faults)
        for filler in self.fillers:
            filler.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abortConnection()
        return self.port.stopListening()
