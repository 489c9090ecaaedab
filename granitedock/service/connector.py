"""Opening connections outward, for every party that this gateway calls.

Owns a connection until it is up, with the time that it may take. It must never try again by itself:
whether there is another try is for the state machine.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory

from granitedock.service.inputs import Input


class Dial(ClientFactory):
    """One connection: its link learns its record, or the state machine learns that it never came up."""

    noisy = False

    def __init__(self, tell, down: Input, record: Any, link: Any) -> None:
        self.tell, self.down, self.record, self.link = tell, down, record, link

    def buildProtocol(self, addr) -> Any:
        return self.link

    def clientConnectionFailed(self, connector, reason) -> None:
        self.tell(self.down, self.record)


class Dialler:
    """Makes links of one party."""

    def __init__(self, reactor, tell, make, down: Input, within_ms: float) -> None:
        self.reactor, self.tell, self.make, self.down = reactor, tell, make, down
        self.within_s = within_ms / 1000.0

    def dial(self, record: Any, address: str) -> None:
        link = self.make()
        link.record = record
        host, _, port = address.rpartition(":")
        factory = Dial(self.tell, self.down, record, link)
        try:
            self.reactor.connectTCP(host.strip("[]"), int(port), factory, timeout=self.within_s)
        except (OSError, ValueError):
            # Guards against an address that makes no sense, and a process with no descriptor left.
            self.tell(self.down, record)
