"""The hosts' side: one forward at a time on a connection, and what its answer means.

Owns the bytes of one forward from its first to its answer, and tells when the last of them was
written. It must never send a forward again, hold two, or choose a host.
"""

from __future__ import annotations

from contextlib import suppress
from socket import SHUT_WR
from typing import Any

from granitedock.policy.interface import Ending
from granitedock.service.limits import Limits
from granitedock.service.resp import Fault, RespReceiver, whole


def figures(told: Any) -> tuple[float, int]:
    """The true units and the customer's use, where an answer tells them.

    >>> figures(b"used=86,cost=3"), figures(None), figures(86), figures(b"?")
    ((3.0, 86), (0.0, 0), (0.0, 86), (0.0, 0))
    """
    if type(told) is int:
        return 0.0, told
    if type(told) is not bytes:
        return 0.0, 0
    try:
        named = dict(pair.split(b"=", 1) for pair in told.split(b","))
        return float(named.get(b"cost", 0)), int(named.get(b"used", 0))
    except ValueError:
        return 0.0, 0


class HostLink(RespReceiver):
    """One connection to a host. It is its own pull producer: it is asked for more once all is written."""

    record: Any = None

    def __init__(self, tell, limits: Limits) -> None:
        super().__init__(limits.line, limits.value, limits.whole, limits.items, limits.depth)
        self.tell = tell
        self.data: bytes | None = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.tell("host up", self.record, self)

    def connectionLost(self, reason=None) -> None:
        self.tell("host down", self.record)

    def received(self, value: Any, parts: list[bytes]) -> None:
        if type(value) is list and value and type(value[0]) is bytes:
            units, used = figures(value[1] if len(value) > 1 else None)
            self.tell("host answered", self.record, Ending.DONE, whole(parts), units, used)
        elif type(value) is bytes:
            self.tell("host answered", self.record, Ending.DONE, whole(parts), 0.0, 0)
        else:
            busy = type(value) is Fault and value.text.split(b" ", 1)[0] == b"BUSY"
            ending = Ending.FULL if busy else Ending.ERROR
            self.tell("host answered", self.record, ending, b"", 0.0, 0)

    def malformed(self, why: str) -> None:
        self.tell("host malformed", self.record, why)

    # What the reducer asks for.

    def send(self, data: bytes, at_once: bool) -> None:
        """A further forward leaves a turn of the loop later, behind the end of the connection before it."""
        self.data = data
        self.transport.registerProducer(self, False)
        if at_once and self.transport.connected:
            self.transport.doWrite()

    def abort(self) -> None:
        """At once, before anything else is written: the host may then drop what it has of it."""
        self.deaf = True
        with suppress(OSError):
            self.transport.getHandle().shutdown(SHUT_WR)
        self.transport.abortConnection()

    # What the transport asks for: the bytes, and then more, when the last of them are written.

    def resumeProducing(self) -> None:
        if self.data is not None:
            data, self.data = self.data, None
            self.transport.write(data)
        else:
            self.transport.unregisterProducer()
            self.tell("written", self.record)

    def pauseProducing(self) -> None:
        """Nothing more is ever to come behind one forward."""

    def stopProducing(self) -> None:
        """The connection's end is told by itself."""
