"""The clients' side: their connections, and what their commands say.

Owns reading a command, and taking out of it the few fields that decisions need; the rest stays the
bytes that came. It must never answer by itself, keep a task, or change a state: it tells the state machine.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure
from zope.interface import implementer

from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.service.resp import RespReceiver, bulk, unread, whole

TASKS = (b"API.READ", b"API.WRITE")
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
CUSTOMERS = 2**33
ID = re.compile(rb"[!-~]{1,64}").fullmatch
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?").fullmatch  # no sign, exponent or word as float takes
WHOLE = re.compile(rb"[0-9]{1,9}").fullmatch


class Unreadable(Exception):
    """A command that says it is a task and does not hold what a task needs."""


@dataclass(frozen=True, slots=True)
class Ask:
    """A task as a client words it, and its bytes round the time it gives."""

    id: bytes
    request_class: str
    plan: str
    customer: int
    harmless: bool  # by the command it came as
    stamped: bool
    left_ms: float
    units: float
    subset_size: int
    subset_start: int
    before: bytes
    head: bytes
    tail: bytes
    after: bytes

    def size(self) -> int:
        return len(self.before) + len(self.head) + len(self.tail) + len(self.after)

    def within(self, left_ms: float) -> bytes:
        """The same command, for a host that has so long; all else is as it came."""
        return self.before + bulk(b"%b%d%b" % (self.head, max(1, int(left_ms)), self.tail)) + self.after


def read(words: list[Any], parts: list[bytes], limits: Limits) -> Ask:
    """Guards the decisions against figures that are none, or out of the range that the settings state: a task
    is taken as it should be worded, and nothing is put right in it."""
    if len(words) not in (4, 5) or not all(type(word) is bytes for word in words):
        raise Unreadable("a task has four words or five")
    text: bytes = words[3]
    if not CUSTOMER(words[1]) or (customer := int(words[1], 16)) >= CUSTOMERS:
        raise Unreadable("no such customer")
    if not ID(words[2]):
        raise Unreadable("a task has an id")
    try:
        pairs = [pair.split(b"=", 1) for pair in text.split(b",")]
        fields = dict(pairs)
        if len(fields) != len(pairs):
            raise ValueError("a name stands twice")
        left, units = fields[b"d"], fields[b"units"]
        subset_size, subset_start = fields[b"spread"], fields[b"first"]
        if not (DECIMAL(left) and DECIMAL(units) and WHOLE(subset_size) and WHOLE(subset_start)):
            raise ValueError("no such number")
        if not 0.0 < float(units) <= limits.units:
            raise ValueError("no such units")
        if not (0 < int(subset_size) <= limits.gateways and int(subset_start) < limits.gateways):
            raise ValueError("no such set")
        at = 0 if text.startswith(b"d=") else text.index(b",d=") + 1
        end = text.find(b",", at)
        return Ask(
            words[2],
            fields[b"c"].decode(),
            fields[b"t"].decode(),
            customer,
            words[0] == TASKS[0],
            bool(fields.get(b"k")),
            float(left),
            float(units),
            int(subset_size),
            int(subset_start),
            whole(parts[:7]),
            text[: at + 2],
            text[end:] if end >= 0 else b"",
            whole(parts[9:]) if len(parts) > 9 else b"",
        )
    except (ValueError, KeyError) as fault:
        raise Unreadable(f"task not readable: {fault}") from None


@implementer(IHalfCloseableProtocol)
class ClientLink(RespReceiver):
    """One connection of a client. It stops reading while the client leaves answers unread."""

    record: Any = None

    def __init__(self, tell, limits: Limits) -> None:
        super().__init__(limits.line, limits.value, limits.whole, limits.items, 1)
        self.tell, self.limits, self.dropped = tell, limits, 0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.tell(Input.CLIENT_CONNECTED, self)

    def connectionLost(self, reason=None) -> None:
        record, self.record = self.record, None  # else each keeps the other until a search for such circles
        self.tell(Input.CLIENT_DISCONNECTED, record)

    def dataReceived(self, data: bytes) -> None:
        """Guards the processor against peers that go on sending to a connection that is over: some is read
        and dropped between two sweeps, and then no more, so that what is owed there can still be answered
        and read. A client that leaves answers unread is read a little further, so that its end is seen."""
        if self.deaf:
            self.got += len(data)
            self.dropped += len(data)
            if self.dropped > self.limits.unread:
                self.transport.pauseProducing()
            return
        super().dataReceived(data)
        if self.paused and not self.deaf and len(self._buffer) > self.limits.whole:
            self.transport.pauseProducing()

    def received(self, value: Any, parts: list[bytes]) -> None:
        if type(value) is not list or not value or type(value[0]) is not bytes:
            self.spoil("not a command")
            return
        if value[0] in TASKS:
            try:
                ask = read(value, parts, self.limits)
            except Unreadable as why:
                self.spoil(str(why))
            else:
                self.tell(Input.REQUEST_RECEIVED, self.record, ask)
        else:
            self.tell(Input.COMMAND_RECEIVED, self.record, value[0].upper())

    def malformed(self, why: str) -> None:
        self.tell(Input.CLIENT_MALFORMED, self.record, why)

    def pauseProducing(self) -> None:
        """What comes is kept and not looked at. Guards against an end that is not seen: where nothing at all
        is read, a client that has gone looks like one that is slow."""
        self.paused = True
        self.tell(Input.CLIENT_WRITE_PAUSED, self.record)

    def resumeProducing(self) -> None:
        self.tell(Input.CLIENT_WRITE_RESUMED, self.record)
        super().resumeProducing()

    # What the state machine asks for.

    def close(self) -> None:
        """Once all is written, and from our side only: a command that crosses it then meets an end that says
        it was not read, where a full close would tear down what was written before."""
        self.deaf = True
        self.transport.unregisterProducer()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    def end(self) -> None:
        """For one at rest, that has long read what was written: its descriptor is free at once."""
        self.deaf = True
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def abort(self) -> None:
        self.deaf = True
        self.transport.abortConnection()

    def read_on(self) -> None:
        """A deaf connection that was read no further is read again, so that its end is seen."""
        if self.dropped > self.limits.unread:
            self.dropped = 0
            self.transport.resumeProducing()

    def look(self, then: str) -> None:
        """Tell this if nothing lies unread: guards commands that came while we were slow against our end of
        the connection, and answers against the reset that a close over unread bytes brings."""
        if self.transport.connected and not unread(self.transport):
            self.tell(then, self.record)

    # What the transport tells of half closes.

    def writeConnectionLost(self) -> None:
        self.tell(Input.CLIENT_WRITE_CLOSED, self.record)

    def readConnectionLost(self) -> None:
        """The client's end is the connection's end."""
        self.transport.connectionLost(Failure(ConnectionDone()))


class ClientDoor(Factory):
    """Makes a link of each connection that is taken in."""

    noisy = False

    def __init__(self, tell, limits: Limits) -> None:
        self.tell, self.limits = tell, limits

    def buildProtocol(self, addr) -> ClientLink:
        return ClientLink(self.tell, self.limits)
