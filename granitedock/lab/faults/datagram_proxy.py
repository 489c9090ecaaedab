"""A proxy for the datagrams between gateways: each goes through the socket that stands for its receiver.

A gateway that sends to the proxy's address of another is seen by it as coming from the proxy's own address of
the sender, as if the two had spoken directly.
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
    """The socket that stands for one gateway towards the others."""

    transport: Port

    def __init__(self, proxy: DatagramProxy, name: str, gateway_address: Address) -> None:
        self.proxy = proxy
        self.name = name
        self.gateway_address = gateway_address

    def datagramReceived(self, data: bytes, address: Any) -> None:
        """Forward a datagram under the link's fault; a stranger's (a test that sends garbage) as it came."""
        source = self.proxy.names.get(address[0])
        if source is None:
            self.transport.write(data, self.gateway_address)
            return
        self.proxy.forward(data, source, self)


@dataclass(slots=True)
class ProxiedGateway:
    """A gateway's place in the proxy: its socket's address and protocol, and its port while it is open."""

    proxy_address: Address
    socket: ProxySocket
    port: Port | None = None


class DatagramProxy:
    """The datagrams between gateways, under the faults of their links."""

    def __init__(self, reactor: PosixReactorBase, faults: LinkFaults) -> None:
        self.reactor = reactor
        self.faults = faults
        self.names: dict[str, str] = {}  # by the host addresses that the gateways send from
        self.gateways: dict[str, ProxiedGateway] = {}
        self.sent: dict[Link, int] = {}  # datagrams sent

    def add(self, name: str, gateway_address: Address, proxy_address: Address) -> None:
        """Gateway `name` listens at `gateway_address`; the others know it by `proxy_address`."""
        self.names[gateway_address[0]] = name
        socket = ProxySocket(self, name, gateway_address)
        self.gateways[name] = ProxiedGateway(proxy_address, socket)
        self.open(name)

    def forward(self, data: bytes, source: str, target: ProxySocket) -> None:
        """Deliver what `source` sent to `target`, as the link's fault has it."""
        link = (source, target.name)
        self.sent[link] = self.sent.get(link, 0) + 1
        fault = self.faults.on(*link)
        for after_ms, arriving in deliveries(fault, data, self.faults.random):
            if after_ms:
                self.reactor.callLater(
                    after_ms / 1000.0, self.deliver, source, target.gateway_address, arriving
                )
            else:
                self.deliver(source, target.gateway_address, arriving)

    def deliver(self, source: str, gateway_address: Address, data: bytes) -> None:
        """Write to a gateway from the socket that stands for `source`, if it is still open."""
        port = self.gateways[source].port
        if port is not None:
            port.write(data, gateway_address)

    def open(self, name: str) -> None:
        """Take datagrams for a gateway."""
        gateway = self.gateways[name]
        if gateway.port is None:
            host, port = gateway.proxy_address
            gateway.port = self.reactor.listenUDP(port, gateway.socket, interface=host)

    def close(self, name: str) -> Any:
        """Note that the process behind is gone: the kernel now refuses what is sent here, as it does for a
        port that nobody listens at. While a cut holds towards it, the socket stays open and silent instead.
        Returns None, or a Deferred that fires when the socket is closed."""
        gateway = self.gateways[name]
        cut = any(self.faults.on(other, name).cut for other in self.gateways)
        if gateway.port is None or cut:
            return None
        port = gateway.port
        gateway.port = None
        return port.stopListening()

    def stop(self) -> list[Any]:
        """Close all sockets; returns a Deferred (or None) for each."""
        ports = [gateway.port for gateway in self.gateways.values() if gateway.port is not None]
        for gateway in self.gateways.values():
            gateway.port = None
        return [port.stopListening() for port in ports]
