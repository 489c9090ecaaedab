"""The listening socket for clients."""

from __future__ import annotations

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IReactorFDSet
from twisted.internet.protocol import ServerFactory
from twisted.internet.tcp import Port
from twisted.python.failure import Failure

from granitedock.service.limits import Limits


class ClientPort(Port):
    """Guards requests on open connections against floods of new ones: few are accepted in a turn of the
    event loop."""

    def __init__(
        self, port: int, factory: ServerFactory, interface: str, reactor: IReactorFDSet, limits: Limits
    ) -> None:
        super().__init__(port, factory, limits.backlog, interface, reactor)
        self.accepts_per_turn = limits.accepts

    def doRead(self) -> None:
        """Accept what waits, up to the bound for one turn."""
        self.numberAccepts = self.accepts_per_turn
        super().doRead()

    def close(self) -> None:
        """Accept all that waits, then close.

        Guards requests on connections that wait to be accepted when the port closes: the kernel has completed
        them, and closing would reset them. The port closes at once after the last of them, not a turn of the
        event loop later (as `stopListening` does), in which more would come.
        """
        for _ in range(self.backlog):
            accepted_before = self.sessionno
            self.doRead()
            if self.sessionno == accepted_before:
                break
        self.connectionLost(Failure(ConnectionDone()))
