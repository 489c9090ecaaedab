"""A proxy for the datagrams between gateways, with one socket for each gateway.

A datagram is sent to the receiver's socket at the proxy, and the proxy forwards it from the sender's socket.
The receiver therefore sees the sender's proxy address as the source, as if the two communicated directly.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import DatagramProtocol

from granitedock.lab.faults.link_faults import Link, LinkFaults, deliveries

if TYPE_CHECKING:
    from twisted.internet.posixbase import PosixReactorBase
    from twisted.internet.udp import Port

Address = tuple[str, int]  # host and port


class ProxySocket(DatagramProtocol):
    """The socket that represents one gateway to the others."""

    transport: Port

    def __init__(self, proxy: DatagramProxy, name: str, gateway_address: Address) -> None:
        self.proxy = proxy
        self.name = name
        self.gateway_address = gateway_address

    def datagramReceived(self, data: bytes, address: Any) -> None:
        """Forward a datagram under the link's fault.

        A datagram from an unknown source, such as a test that sends garbage, is forwarded without a fault.
        """
        source = self.proxy.names.get(address[0])
        if source is None:
            self.transport.write(data, self.gateway_address)
            return
        self.proxy.forward(data, source, self)


@dataclass(slots=True)
class ProxiedGateway:
    """The socket of one gateway at the proxy: its address, its protocol, and its port while it is open."""

    proxy_address: Address
    socket: ProxySocket
    port: Port | None = None


class DatagramProxy:
    """Forwards the datagrams between gateways under the faults of their links."""

    def __init__(self, reactor: PosixReactorBase, faults: LinkFaults) -> None:
        self.reactor = reactor
        self.faults = faults
        self.names: dict[str, str] = {}  # gateway names by the host addresses from which they send
        self.gateways: dict[str, ProxiedGateway] = {}
        self.sent: dict[Link, int] = {}  # datagrams sent on each link

    def add(self, name: str, gateway_address: Address, proxy_address: Address) -> None:
        """Add gateway `name`, which listens at `gateway_address`, and open its socket at `proxy_address`."""
        self.names[gateway_address[0]] = name
        socket = ProxySocket(self, name, gateway_address)
        self.gateways[name] = ProxiedGateway(proxy_address, socket)
        self.open(name)

    def forward(self, data: bytes, source: str, target: ProxySocket) -> None:
        """Deliver a datagram from `source` to `target` as the link's fault determines."""
        link = (source, target.name)
        self.sent[link] = self.sent.get(link, 0) + 1
        fault = self.faults.on(*link)
        for delay_ms, delivered in deliveries(fault, data, self.faults.random):
            if delay_ms:
                self.reactor.callLater(
                    delay_ms / 1000.0, self.deliver, source, target.gateway_address, delivered
                )
            else:
                self.deliver(source, target.gateway_address, delivered)

    def deliver(self, source: str, gateway_address: Address, data: bytes) -> None:
        """Write to a gateway from the socket of `source`, if that socket is still open."""
        port = self.gateways[source].port
        if port is not None:
            port.write(data, gateway_address)

    def open(self, name: str) -> None:
        """Open a gateway's socket at the proxy, if it is closed."""
        gateway = self.gateways[name]
        if gateway.port is None:
            host, port = gateway.proxy_address
            gateway.port = self.reactor.listenUDP(port, gateway.socket, interface=host)

    def close(self, name: str) -> Any:
        """Close a gateway's socket after its process has ended.

        The kernel then refuses datagrams to this address, as it does for any port without a listener. If a
        link to this gateway is cut, the socket stays open and silent instead. Returns a Deferred that fires
        when the socket is closed, or None if it stays open or is closed already.
        """
        gateway = self.gateways[name]
        is_cut = any(self.faults.on(other, name).cut for other in self.gateways)
        if gateway.port is None or is_cut:
            return None
        port = gateway.port
        gateway.port = None
        return port.stopListening()

    def stop(self) -> list[Any]:
        """Close all sockets.

        Returns for each a Deferred that fires when it is closed, or None if it is closed already.
        """
        ports = [gateway.port for gateway in self.gateways.values() if gateway.port is not None]
        for gateway in self.gateways.values():
            gateway.port = None
        return [port.stopListening() for port in ports]
