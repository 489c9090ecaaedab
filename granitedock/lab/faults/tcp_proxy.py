"""A proxy for the TCP connections from one gateway to one party (the counter, discovery, a host).

A link that is cut stays open and silent, and what was written meanwhile arrives when it heals, as
retransmission would bring it; new connections never come up. Source: docs/lab-design.md ("Links that fail").
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
BACKLOG_FILLERS = 2  # connections that fill the shortest queue of a listener


class ProxyConnection(Protocol):
    """One side of a proxied connection: the gateway's, or the party's."""

    transport: Server | Client | None

    def __init__(self, proxy: TcpProxy, source: str, target: str) -> None:
        """`source` is who writes to this side, `target` who reads the other."""
        self.proxy = proxy
        self.source = source
        self.target = target
        self.peer: ProxyConnection | None = None  # the other side
        self.held: list[bytes] = []
        self.last_due = 0.0
        self.ended = False

    def is_cut(self) -> bool:
        """Whether nothing gets through from this side now."""
        return self.proxy.faults.on(self.source, self.target).cut

    def open_peer(self) -> ProxyConnection | None:
        """The other side, if it has come up and not ended."""
        peer = self.peer
        return peer if peer is not None and peer.transport is not None and not peer.ended else None

    def connectionMade(self) -> None:
        """Note that this side is open."""
        assert self.transport is not None
        self.transport.setTcpNoDelay(True)
        self.proxy.connections.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Pass on, delay or hold what came, as the link's fault has it."""
        fault = self.proxy.faults.on(self.source, self.target)
        if fault.cut or self.held or self.peer is None or self.peer.transport is None:
            self.held.append(data)
        elif fault.delay_ms:
            now = self.proxy.reactor.seconds()
            delay_ms = fault.delay_ms + fault.jitter_ms * self.proxy.faults.random.random()
            self.last_due = max(self.last_due, now + delay_ms / 1000)
            self.proxy.reactor.callLater(self.last_due - now, self.peer.write, data)
        else:
            self.peer.write(data)

    def write(self, data: bytes) -> None:
        """Write to whoever is at this side, unless it has ended."""
        if self.transport is not None and not self.ended:
            self.transport.write(data)

    def release(self) -> None:
        """Pass on what was held, or an end that did not get through, unless the link is cut."""
        if self.ended and self.open_peer() is not None:
            if not self.is_cut():
                self.abort_peer()
            return
        ready = self.held and self.peer is not None and self.peer.transport is not None
        if ready and not self.is_cut():
            held = b"".join(self.held)
            self.held = []
            self.dataReceived(held)

    def abort_peer(self) -> None:
        """Reset the other side, if it is open."""
        peer = self.open_peer()
        if peer is not None and peer.transport is not None:
            peer.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  Twisted's signature
        """Pass the end on. Nobody is left to send again what this side held."""
        self.ended = True
        self.proxy.connections.discard(self)
        self.held.clear()
        peer = self.open_peer()
        if peer is None or peer.transport is None:
            return
        if self.is_cut():
            # The end does not get through either: the other side stays open and silent until the cut is over.
            # Who asks what was in flight meanwhile has to know when this side ended.
            self.proxy.unheard_ends[peer.transport.getHost().port] = time.monotonic()
            return
        peer.transport.abortConnection()


class PartyConnector(ClientFactory):
    """Makes the party's side for a gateway's side that has come."""

    noisy = False

    def __init__(self, gateway_side: ProxyConnection) -> None:
        self.gateway_side = gateway_side

    def buildProtocol(self, addr: IAddress | None) -> ProxyConnection:  # noqa: ARG002  Twisted's signature
        """Join the two sides; what was held flows once the party's side is up."""
        proxy = self.gateway_side.proxy
        party_side = ProxyConnection(proxy, self.gateway_side.target, self.gateway_side.source)
        party_side.peer = self.gateway_side
        self.gateway_side.peer = party_side
        proxy.reactor.callLater(0, self.gateway_side.release)
        return party_side

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: ARG002  Twisted's signature
        """The party cannot be reached: reset the gateway's side."""
        if self.gateway_side.transport is not None:
            self.gateway_side.transport.abortConnection()


class GatewayAcceptor(Factory):
    """Makes the gateway's side of each connection that comes, and connects to the party."""

    noisy = False

    def __init__(self, proxy: TcpProxy) -> None:
        self.proxy = proxy

    def buildProtocol(self, addr: IAddress | None) -> ProxyConnection:  # noqa: ARG002  Twisted's signature
        """Take a gateway's connection."""
        proxy = self.proxy
        gateway_side = ProxyConnection(proxy, proxy.gateway, proxy.party)
        host, _, port = proxy.party_address.rpartition(":")
        proxy.reactor.connectTCP(host, int(port), PartyConnector(gateway_side), timeout=CONNECT_TIMEOUT_S)
        return gateway_side


class TcpProxy:
    """The link from one gateway to one party: a listener of the gateway's own, led on to the party."""

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
        """Listens at `listen_address` (port 0: any free one) and leads to `party_address`."""
        self.reactor = reactor
        self.faults = faults
        self.gateway = gateway
        self.party = party
        self.party_address = party_address
        self.connections: set[ProxyConnection] = set()
        # When a side ended without the other hearing of it, by the port of its other side.
        self.unheard_ends: dict[int, float] = {}
        self.fillers: list[socket.socket] = []
        host, _, port = listen_address.rpartition(":")
        self.port = reactor.listenTCP(int(port), GatewayAcceptor(self), interface=host)
        self.address = f"{host}:{self.port.getHost().port}"
        faults.listeners.append(self.apply_faults)

    def is_cut(self) -> bool:
        """Whether the link is cut in either direction."""
        links = (self.gateway, self.party), (self.party, self.gateway)
        return any(self.faults.on(*link).cut for link in links)

    def apply_faults(self) -> None:
        """Follow a change of the links' faults. While the link is cut, new connections never come up: the
        listener's queue is made as short as it goes and filled, so that the kernel drops what else would
        connect."""
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
        """Both sides of every connection that has one open."""
        return [side for one in self.connections for side in (one, one.peer) if side is not None]

    def stop(self) -> Any:
        """End the listener and all connections; returns a Deferred, or None."""
        self.faults.listeners.remove(self.apply_faults)
        for filler in self.fillers:
            filler.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abortConnection()
        return self.port.stopListening()
