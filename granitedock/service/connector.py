"""Opens outgoing connections to hosts, the counter and discovery.

Owns a connection until it is established, with its connect timeout. It never retries by itself: the state
machines decide whether to connect again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.interfaces import IConnector, IReactorTCP
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from granitedock.service.callbacks import InputHandler
from granitedock.service.clock import MS_PER_S
from granitedock.service.inputs import Input


class Link(Protocol):
    """A Twisted protocol with the state machine's record of its connection."""

    record: Any


class SingleConnectionFactory(ClientFactory):
    """A factory for one connection, with a protocol created in advance.

    If the connection cannot be established, the state machine receives the input `failure_input`.
    """

    noisy = False

    def __init__(self, handle_input: InputHandler, failure_input: Input, link: Link) -> None:
        self.handle_input = handle_input
        self.failure_input = failure_input
        self.link = link

    def buildProtocol(self, addr: object) -> Any:  # noqa: ARG002 - The signature is Twisted's.
        """Return the protocol that was created before the connect."""
        return self.link

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: ARG002 - The signature is Twisted's.
        """Report a connect that was refused, found no route or timed out."""
        self.handle_input(self.failure_input, self.link.record)


class Connector:
    """Opens connections to one kind of server."""

    def __init__(
        self,
        reactor: IReactorTCP,
        handle_input: InputHandler,
        link_factory: Callable[[], Link],
        failure_input: Input,
        timeout_ms: float,
    ) -> None:
        self.reactor = reactor
        self.handle_input = handle_input
        self.link_factory = link_factory
        self.failure_input = failure_input
        self.timeout_s = timeout_ms / MS_PER_S

    def connect(self, record: object, address: str) -> None:
        """Open a connection to HOST:PORT for this record."""
        link = self.link_factory()
        link.record = record
        host, _, port = address.rpartition(":")
        factory = SingleConnectionFactory(self.handle_input, self.failure_input, link)
        try:
            self.reactor.connectTCP(host.strip("[]"), int(port), factory, timeout=self.timeout_s)
        except (OSError, ValueError):
            # Handles an invalid address, and a process without a free file descriptor.
            self.handle_input(self.failure_input, record)
