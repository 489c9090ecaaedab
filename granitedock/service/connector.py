"""Opens outgoing connections, to hosts, the counter and discovery.

Owns a connection until it is up, with the time that it may take. It never tries again by itself: whether
there is another try is the state machine's part.
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
    """A Twisted protocol that knows the state machine's record of its connection."""

    record: Any


class SingleConnectionFactory(ClientFactory):
    """One connection: its protocol comes up with its record, or the state machine gets the input `down`."""

    noisy = False

    def __init__(self, handle_input: InputHandler, down: Input, link: Link) -> None:
        self.handle_input = handle_input
        self.down = down
        self.link = link

    def buildProtocol(self, addr: object) -> Any:  # noqa: ARG002 - Twisted's signature
        """The protocol that was made before the dial."""
        return self.link

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: ARG002 - as above
        """Refused, unreachable or out of time."""
        self.handle_input(self.down, self.link.record)


class Connector:
    """Opens connections to one kind of server."""

    def __init__(
        self,
        reactor: IReactorTCP,
        handle_input: InputHandler,
        make_link: Callable[[], Link],
        down: Input,
        timeout_ms: float,
    ) -> None:
        self.reactor = reactor
        self.handle_input = handle_input
        self.make_link = make_link
        self.down = down
        self.timeout_s = timeout_ms / MS_PER_S

    def connect(self, record: object, address: str) -> None:
        """Open a connection to HOST:PORT for this record."""
        link = self.make_link()
        link.record = record
        host, _, port = address.rpartition(":")
        factory = SingleConnectionFactory(self.handle_input, self.down, link)
        try:
            self.reactor.connectTCP(host.strip("[]"), int(port), factory, timeout=self.timeout_s)
        except (OSError, ValueError):
            # Guards against an address that makes no sense, and a process with no descriptor left.
            self.handle_input(self.down, record)
