"""The listening socket for clients, and the transports of accepted connections."""

from __future__ import annotations

from contextlib import suppress

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IReactorFDSet
from twisted.internet.main import CONNECTION_LOST
from twisted.internet.protocol import ServerFactory
from twisted.internet.tcp import Port, Server
from twisted.python.failure import Failure

from granitedock.service.limits import Limits


class ClientTransport(Server):
    """An accepted connection, read in smaller pieces than Twisted's as input that waits takes memory."""

    server: ClientPort

    def write(self, data: bytes) -> None:
        """Pass the data to the socket if nothing waits before it, and buffer what the socket does not take.

        Twisted's own `write` registers the socket for a later poll, at the cost of two system calls.
        """
        if self.connected and not (
            self.disconnecting or self._writeDisconnected or self.dataBuffer or self._tempDataBuffer
        ):
            with suppress(OSError):  # The transport tries again, and reports an error that lasts.
                data = data[self.socket.send(data) :]
        if data:
            super().write(data)

    def doRead(self) -> ConnectionLost | ConnectionDone | None:  # type: ignore[override]
        """Read once, and pass the bytes to the protocol; returns why the connection is over, or None."""
        try:
            data = self.socket.recv(self.server.read_bytes)
        except BlockingIOError:
            return None
        except OSError:
            return CONNECTION_LOST
        return self._dataReceived(data)


class ClientPort(Port):
    """The listening port, which accepts a bounded number of connections in one iteration of the event loop.

    Prevents a flood of new connections from delaying requests on open ones.
    """

    transport = ClientTransport

    def __init__(
        self, port: int, factory: ServerFactory, interface: str, reactor: IReactorFDSet, limits: Limits
    ) -> None:
        super().__init__(port, factory, limits.backlog, interface, reactor)
        self.max_accepts_per_iteration = limits.accepts
        self.read_bytes = limits.read

    def doRead(self) -> None:
        """Accept connections from the backlog, up to the limit for one iteration of the event loop."""
        self.numberAccepts = self.max_accepts_per_iteration
        super().doRead()

    def close(self) -> None:
        """Accept all connections in the backlog, then close the port.

        Prevents the loss of requests on connections that are still in the backlog: the kernel has completed
        their handshakes, and closing the port would reset them. The port closes immediately after the last
        one; `stopListening` closes it an iteration of the event loop later, in which more would arrive.
        """
        for _ in range(self.backlog):
            accepted_before = self.sessionno
            self.doRead()
            if self.sessionno == accepted_before:
                break
        self.connectionLost(Failure(ConnectionDone()))
