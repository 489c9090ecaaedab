"""The environment of the gateways of a test cluster: the emulators, and a proxy with faults on every link.

Emulators and proxies run on the process's reactor; call their methods in the reactor's thread.
"""

from __future__ import annotations

import time
from typing import Any

from twisted.internet.defer import Deferred, DeferredList

from granitedock.lab.cluster.gateway_process import gateway_name
from granitedock.lab.cluster.network import LoopbackNetwork
from granitedock.lab.emulators.counter import CounterEmulator
from granitedock.lab.emulators.discovery import DiscoveryEmulator
from granitedock.lab.emulators.hosts import HostEmulator, start_hosts
from granitedock.lab.fault_targets import FaultKind, Party
from granitedock.lab.faults.datagram_proxy import DatagramProxy
from granitedock.lab.faults.link_faults import LinkFaults
from granitedock.lab.faults.tcp_proxy import TcpProxy
from granitedock.lab.reactor import REACTOR
from granitedock.lab.scenario import Fault, Scenario


class Surroundings:
    """The emulators and proxies of a scenario."""

    def __init__(self, scenario: Scenario, network: LoopbackNetwork) -> None:
        self.scenario = scenario
        self.network = network
        self.link_faults = LinkFaults(scenario.seed)
        self.datagram_proxy = DatagramProxy(REACTOR, self.link_faults)
        self.tcp_proxies: list[TcpProxy] = []
        self.counters: list[CounterEmulator] = []  # the last is current, the others are its predecessors
        self.counter_address = ""
        self.discoveries: list[DiscoveryEmulator] = []  # one for each gateway
        self.hosts: list[HostEmulator] = []
        self.host_addresses: dict[str, str] = {}

    @property
    def counter(self) -> CounterEmulator:
        """The counter that the gateways' platform files name."""
        return self.counters[-1]

    def start(self) -> None:
        """Start the counter and the hosts."""
        self.counter_address = self.start_counter()
        self.host_addresses, self.hosts = start_hosts(self.scenario, REACTOR)

    def start_counter(self) -> str:
        """Start a counter that becomes the current one; returns its address."""
        counter = CounterEmulator(self.scenario, REACTOR)
        self.counters.append(counter)
        address = counter.listen()
        counter.apply_faults()
        return address

    def connect_gateway(self, gateway: int) -> tuple[str, str]:
        """Create a gateway's links to all parties; returns the addresses of its discovery and counter."""
        endpoints = {
            name: self.add_tcp_proxy(gateway, Party.HOSTS, address).address
            for name, address in self.host_addresses.items()
        }
        discovery = DiscoveryEmulator(self.scenario, endpoints, REACTOR)
        self.discoveries.append(discovery)
        link = self.add_tcp_proxy(gateway, Party.DISCOVERY, discovery.listen())
        discovery.is_reachable = lambda: not link.is_cut()
        counter = self.add_tcp_proxy(gateway, Party.COUNTER, self.counter_address)
        return link.address, counter.address

    def add_tcp_proxy(self, gateway: int, party: Party, address: str) -> TcpProxy:
        """Create the proxy of a link from a gateway to a party at this address."""
        listen_address = f"{self.network.proxy_host(gateway)}:0"
        name = gateway_name(gateway)
        proxy = TcpProxy(REACTOR, self.link_faults, name, party.value, listen_address, address)
        self.tcp_proxies.append(proxy)
        return proxy

    def move_counter(self) -> list[str]:
        """Start a new counter at another address; the old one still answers the gateways that call it.

        Returns the new counter's address for each gateway.
        """
        address = self.start_counter()
        gateways = range(self.scenario.fleet.gateways)
        return [self.add_tcp_proxy(gateway, Party.COUNTER, address).address for gateway in gateways]

    def restart_timeline(self) -> None:
        """Restart the timeline of the emulators' faults at the current time."""
        start_s = time.monotonic()
        self.counter.started_at = start_s
        for discovery in self.discoveries:
            discovery.restart_timeline()
        for host in self.hosts:
            host.restart_timeline(lambda: (time.monotonic() - start_s) * 1000.0)

    def host(self, name: str) -> HostEmulator:
        """Return the emulated host of this name ("zone/n")."""
        return next(host for host in self.hosts if host.name == name)

    def add_host_fault(self, name: str, kind: FaultKind, for_s: float, rate: float, factor: float) -> None:
        """Begin a fault of one host now, as the timeline does.

        Discovery receives the fault too, as a drain or a kill changes the host's lifecycle in the list.
        """
        host = self.host(name)
        start_s = time.monotonic()
        host.faults.append(
            Fault(at_s=host.clock() / 1000.0, what=kind, target=name, for_s=for_s, rate=rate, factor=factor)
        )
        for discovery in self.discoveries:
            at_s = start_s - discovery.began_s
            discovery.timeline.append(Fault(at_s=at_s, what=kind, target=name, for_s=for_s, rate=rate))

    def clear_host_faults(self, name: str) -> None:
        """Remove all faults of a host."""
        self.host(name).faults.clear()
        for discovery in self.discoveries:
            discovery.timeline[:] = [fault for fault in discovery.timeline if fault.target != name]

    def stop(self) -> Deferred[Any]:
        """End all emulators and proxies; returns a Deferred that fires when every listener is closed."""
        pending = self.datagram_proxy.stop()
        pending += [proxy.stop() for proxy in self.tcp_proxies]
        pending += [counter.stop() for counter in self.counters]
        pending += [discovery.stop() for discovery in self.discoveries]
        pending += [host.stop() for host in self.hosts]
        return DeferredList([deferred for deferred in pending if deferred is not None])
