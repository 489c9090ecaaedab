"""The effects of the state machine outside open connections: connecting, timers, the listener, the exit.

It makes no decisions and keeps no state of a request or a connection.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from granitedock.service.callbacks import InputHandler
from granitedock.service.connector import Connector, Link
from granitedock.service.counter_protocol import CounterProtocol
from granitedock.service.discovery_protocol import DiscoveryWatchProtocol, WatchRecord
from granitedock.service.host_protocol import HostProtocol
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.service.listener import ClientPort
from granitedock.service.reactor import GatewayReactor


class ServerAddresses(NamedTuple):
    """The addresses of the counter and discovery, each HOST:PORT; without a counter its address is empty."""

    counter: str
    discovery: str

    @classmethod
    def from_platform_file(cls, contents: dict[str, Any]) -> ServerAddresses:
        """Return the addresses in the validated contents of a platform file."""
        return cls(contents.get("counter") or "", contents["discovery"])


class ReactorEffects:
    """Carries out effects on Twisted's reactor."""

    port: ClientPort  # The service sets it when it starts to listen.

    def __init__(
        self, reactor: GatewayReactor, handle_input: InputHandler, addresses: ServerAddresses, limits: Limits
    ) -> None:
        self.reactor = reactor
        self.handle_input = handle_input
        self.addresses = addresses
        self.start_timer = reactor.timer_queue.add
        self.exit_hooks: list[Callable[[], object]] = []  # Called in this order before the process exits.
        self.hosts = self.connector(
            lambda: HostProtocol(handle_input, limits, reactor.input_scheduler),
            Input.HOST_DISCONNECTED,
            limits.connect_ms,
        )
        self.counter = self.connector(
            lambda: CounterProtocol(handle_input, limits, reactor.input_scheduler),
            Input.COUNTER_DISCONNECTED,
            limits.connect_ms,
        )
        self.watch = self.connector(
            lambda: DiscoveryWatchProtocol(
                handle_input, self.addresses.discovery, limits, reactor.input_scheduler
            ),
            Input.WATCH_DISCONNECTED,
            limits.watch_connect_ms,
        )

    def connector(self, make_link: Callable[[], Link], failure_input: Input, timeout_ms: float) -> Connector:
        """Return a connector to one kind of server; `failure_input` reports a failure to connect."""
        return Connector(self.reactor, self.handle_input, make_link, failure_input, timeout_ms)

    def update_addresses(self, addresses: ServerAddresses) -> tuple[bool, bool]:
        """Use these addresses from now on.

        Returns whether the address of the counter changed, and whether that of discovery did.
        """
        before = self.addresses
        self.addresses = addresses
        return addresses.counter != before.counter, addresses.discovery != before.discovery

    def timer_count(self) -> int:
        """Return how many timers are stored, cancelled ones included."""
        return len(self.reactor.timer_queue.heap)

    def connect_host(self, connection: object, address: str) -> None:
        """Connect to a host."""
        self.hosts.connect(connection, address)

    def connect_counter(self, connection: object) -> None:
        """Connect to the counter."""
        self.counter.connect(connection, self.addresses.counter)

    def connect_watch(self, watch: WatchRecord) -> None:
        """Connect to discovery."""
        self.watch.connect(watch, self.addresses.discovery)

    def accept_connections(self, on: bool) -> None:
        """Accept new client connections, or pause accepting them."""
        if not self.port.connected:
            return
        if on:
            self.port.startReading()
        else:
            self.port.stopReading()

    def stop_listening(self) -> None:
        """Accept the connections in the listener's backlog, then close the listener."""
        self.port.close()

    def stop_process(self) -> None:
        """Exit the process: every client has disconnected, or the exit deadline has passed."""
        for hook in self.exit_hooks:
            hook()
        self.reactor.callLater(0.0, self.reactor.stop)
