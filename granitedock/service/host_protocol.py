"""The hosts' side: one forward at a time on a connection, and what its answer means.

Owns the bytes of one forward from its first to its answer, and tells when the last of them was
written. It must never send a forward again, hold two, choose a host, or call good what is out of form.
"""

from __future__ import annotations

import re
from contextlib import suppress
from socket import SHUT_WR
from typing import Any

from granitedock.policy.types import Outcome
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.service.resp import Fault, RespReceiver, unread, whole

BUSY = re.compile(rb"BUSY( [!-~]*)?").fullmatch
FAILED = re.compile(rb"ERR failed( [!-~]*)?").fullmatch
COST = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?").fullmatch
USED = re.compile(rb"[0-9]{1,9}").fullmatch


def figures(told: Any, most: float) -> tuple[float, int]:
    """The true units and the customer's use, where an answer tells them. Guards the decisions against figures
    that can't be read, are no numbers, or more than a task may take: the value is good without them."""
    if type(told) is int:
        told = b"used=%d" % told
    named = dict(pair.partition(b"=")[::2] for pair in told.split(b",")) if type(told) is bytes else {}
    cost, used = named.get(b"cost", b""), named.get(b"used", b"")
    units = float(cost) if COST(cost) else 0.0
    return units if units <= most else 0.0, int(used) if USED(used) else 0


class HostLink(RespReceiver):
    """One connection to a host. It is its own pull producer: it is asked for more once all is written."""

    record: Any = None

    def __init__(self, tell, limits: Limits) -> None:
        super().__init__(limits.line, limits.value, limits.whole, limits.items, limits.depth)
        self.tell, self.most_units = tell, limits.true_units
        self.data: bytes | None = None
        self.answer: tuple | None = None
        self.why = ""  # what is out of form
        self.begun = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.tell(Input.HOST_CONNECTED, self.record, self)

    def connectionLost(self, reason=None) -> None:
        self.tell(Input.HOST_DISCONNECTED, self.record)

    def dataReceived(self, data: bytes) -> None:
        """Guards against answers that bring more than is theirs: one is told once all that came with it has
        been looked at, with whether the connection may be used again."""
        if self.deaf:
            return
        super().dataReceived(data)
        if self.answer is not None:
            answer, self.answer, self.begun = self.answer, None, False
            clean = not (self.why or self.half() or unread(self.transport))
            self.tell(Input.HOST_RESPONSE, self.record, clean, *answer)
        elif self.why:
            self.tell(Input.HOST_MALFORMED, self.record, self.why)
        elif not self.begun and self.half():
            self.begun = True
            self.tell(Input.HOST_RESPONSE_STARTED, self.record)

    def received(self, value: Any, parts: list[bytes]) -> None:
        if self.answer is not None:
            self.spoil("more than one answer")
        elif type(value) is list and len(value) == 3 and type(value[0]) is bytes:
            self.answer = Outcome.DONE, whole(parts), *figures(value[1], self.most_units)
        elif type(value) is Fault and BUSY(value.text):
            self.answer = Outcome.OVERLOADED, b"", 0.0, 0
        elif type(value) is Fault and FAILED(value.text):
            self.answer = Outcome.ERROR, b"", 0.0, 0
        else:
            self.spoil("no answer to a task")

    def malformed(self, why: str) -> None:
        self.why = why

    # What the state machine asks for.

    def send(self, data: bytes, at_once: bool) -> None:
        """A further forward leaves a turn of the loop later, behind the end of the connection before it.
        Guards against what has come since the last answer here: it would be taken for the next one."""
        if self.half() or unread(self.transport):
            self.tell(Input.HOST_STALE, self.record)
            return
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
            self.tell(Input.HOST_REQUEST_WRITTEN, self.record)

    def pauseProducing(self) -> None:
        """Nothing more is ever to come behind one forward."""

    def stopProducing(self) -> None:
        """The connection's end is told by itself."""
