"""The protocol towards clients: their connections, and what their commands say.

Parses a command and takes out of it the few fields that decisions need; the rest stays the bytes that came.
It never answers by itself, keeps a request or changes a state: it hands inputs to the state machine.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IAddress, IHalfCloseableProtocol
from twisted.internet.protocol import ServerFactory
from twisted.python.failure import Failure
from zope.interface import implementer

from granitedock.service.callbacks import InputHandler
from granitedock.service.errors import RequestFormatError
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.service.resp import RespReceiver, encode_bulk_string, has_unread_input, join_parts

READ_COMMAND = b"API.READ"
WRITE_COMMAND = b"API.WRITE"
REQUEST_COMMANDS = (READ_COMMAND, WRITE_COMMAND)
REQUEST_WORDS = (4, 5)  # how many a request may have: command, customer, id, fields; perhaps a body
PARTS_BEFORE_FIELDS = 7  # the array's line, and a length and a text for each of three words
PARTS_WITH_FIELDS = 9
HEX_CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
CUSTOMERS = 2**33
REQUEST_ID = re.compile(rb"[!-~]{1,64}").fullmatch
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?").fullmatch  # no sign, exponent or word as float takes
INTEGER = re.compile(rb"[0-9]{1,9}").fullmatch

# Reason texts, sent to the client.
NOT_A_COMMAND = "not a command"
WRONG_WORDS = "a task has four words or five"
NO_CUSTOMER = "no such customer"
NO_ID = "a task has an id"
REPEATED_NAME = "a name stands twice"
NO_NUMBER = "no such number"
NO_UNITS = "no such units"
NO_SUBSET = "no such set"


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A request as a client sent it, and its bytes round the time that it states."""

    id: bytes
    request_class: str
    plan: str
    customer: int
    idempotent: bool  # by the command it came as
    keyed: bool  # it has an idempotency key
    time_left_ms: float  # when the client sent it
    units: float
    subset_size: int  # of the gateways that share its customer's quota
    subset_start: int
    bytes_before: bytes  # the words before its fields
    fields_before: bytes  # its fields up to the figure of the time
    fields_after: bytes  # its fields from behind that figure
    bytes_after: bytes  # the words behind its fields

    def size(self) -> int:
        """The bytes it holds in memory."""
        return (
            len(self.bytes_before) + len(self.fields_before) + len(self.fields_after) + len(self.bytes_after)
        )

    def encode(self, time_left_ms: float) -> bytes:
        """The same command for a host that has so long; all else is as it came."""
        time_left = max(1, int(time_left_ms))
        fields = encode_bulk_string(b"%b%d%b" % (self.fields_before, time_left, self.fields_after))
        return self.bytes_before + fields + self.bytes_after


def parse_fields(text: bytes, limits: Limits) -> dict[bytes, bytes]:
    """The fields of a request by their names, with the figures checked. Raises ValueError and KeyError."""
    pairs = [pair.split(b"=", 1) for pair in text.split(b",")]
    fields: dict[bytes, bytes] = dict(pairs)  # a ValueError where one is no pair
    if len(fields) != len(pairs):
        raise ValueError(REPEATED_NAME)
    time_left = fields[b"d"]
    units = fields[b"units"]
    size = fields[b"spread"]
    start = fields[b"first"]
    if not (DECIMAL(time_left) and DECIMAL(units) and INTEGER(size) and INTEGER(start)):
        raise ValueError(NO_NUMBER)
    if not 0.0 < float(units) <= limits.units:
        raise ValueError(NO_UNITS)
    if not (0 < int(size) <= limits.gateways and int(start) < limits.gateways):
        raise ValueError(NO_SUBSET)
    return fields


def parse_request(words: list[Any], parts: list[bytes], limits: Limits) -> ParsedRequest:
    """A request by the words of its command and the parts of its bytes. Raises RequestFormatError.

    Guards the decisions against figures that are none, or out of the range that the settings state: a request
    is accepted in its exact form, and nothing is put right in it.
    """
    if len(words) not in REQUEST_WORDS or not all(type(word) is bytes for word in words):
        raise RequestFormatError(WRONG_WORDS)
    if not HEX_CUSTOMER(words[1]) or (customer := int(words[1], 16)) >= CUSTOMERS:
        raise RequestFormatError(NO_CUSTOMER)
    if not REQUEST_ID(words[2]):
        raise RequestFormatError(NO_ID)
    text: bytes = words[3]
    try:
        fields = parse_fields(text, limits)
        begin = 0 if text.startswith(b"d=") else text.index(b",d=") + 1
        end = text.find(b",", begin)
        return ParsedRequest(
            words[2],
            fields[b"c"].decode(),
            fields[b"t"].decode(),
            customer,
            words[0] == READ_COMMAND,
            bool(fields.get(b"k")),
            float(fields[b"d"]),
            float(fields[b"units"]),
            int(fields[b"spread"]),
            int(fields[b"first"]),
            join_parts(parts[:PARTS_BEFORE_FIELDS]),
            text[: begin + len(b"d=")],
            text[end:] if end >= 0 else b"",
            join_parts(parts[PARTS_WITH_FIELDS:]) if len(parts) > PARTS_WITH_FIELDS else b"",
        )
    except (ValueError, KeyError) as error:
        why = f"task not readable: {error}"
        raise RequestFormatError(why) from None


@implementer(IHalfCloseableProtocol)
class ClientProtocol(RespReceiver):
    """One connection of a client. It stops reading while the client leaves answers unread."""

    record: Any = None  # the state machine's record of the connection

    def __init__(self, handle_input: InputHandler, limits: Limits) -> None:
        super().__init__(limits.line, limits.value, limits.whole, limits.items, 1)
        self.handle_input = handle_input
        self.limits = limits
        self.dropped = 0  # bytes read and dropped since the last `drain_input`

    def connectionMade(self) -> None:
        """The connection was accepted."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.handle_input(Input.CLIENT_CONNECTED, self)

    def connectionLost(self, _reason: Failure | None = None) -> None:
        """The connection ended."""
        record = self.record
        self.record = None  # else each keeps the other until a garbage collection finds the cycle
        self.handle_input(Input.CLIENT_DISCONNECTED, record)

    def dataReceived(self, data: bytes) -> None:
        """Guards the processor against peers that go on sending to a connection that is over: some is read
        and dropped between two sweeps, and then no more, so that what is due there can still be answered
        and read. A client that leaves answers unread is read a little further, so that its end is seen."""
        if self.ignoring_input:
            self.received_bytes += len(data)
            self.dropped += len(data)
            if self.dropped > self.limits.unread:
                self.transport.pauseProducing()
            return
        super().dataReceived(data)
        if self.paused and not self.ignoring_input and len(self._buffer) > self.limits.whole:
            self.transport.pauseProducing()

    def value_received(self, value: Any, parts: list[bytes]) -> None:
        """A command came."""
        if type(value) is not list or not value or type(value[0]) is not bytes:
            self.reject_input(NOT_A_COMMAND)
            return
        if value[0] in REQUEST_COMMANDS:
            try:
                request = parse_request(value, parts, self.limits)
            except RequestFormatError as error:
                self.reject_input(str(error))
            else:
                self.handle_input(Input.REQUEST_RECEIVED, self.record, request)
        else:
            self.handle_input(Input.COMMAND_RECEIVED, self.record, value[0].upper())

    def malformed(self, why: str) -> None:
        """The client sent what can't be read."""
        self.handle_input(Input.CLIENT_MALFORMED, self.record, why)

    def pauseProducing(self) -> None:
        """Answers are not read: what comes is kept and not looked at. Guards against an end that is not seen:
        where nothing at all is read, a client that has gone looks like one that is slow."""
        self.paused = True
        self.handle_input(Input.CLIENT_WRITE_PAUSED, self.record)

    def resumeProducing(self) -> None:
        """The client reads its answers again."""
        self.handle_input(Input.CLIENT_WRITE_RESUMED, self.record)
        super().resumeProducing()

    # Effects of the state machine.

    def close(self) -> None:
        """Close once all is written, and our direction only: a command that crosses it then meets an end that
        says it was not read, where a full close would tear down what was written before."""
        self.ignoring_input = True
        self.transport.unregisterProducer()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    def end(self) -> None:
        """Close both directions. For an idle client, that has long read what was written: its descriptor is
        free at once."""
        self.ignoring_input = True
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def abort(self) -> None:
        """Reset the connection."""
        self.ignoring_input = True
        self.transport.abortConnection()

    def drain_input(self) -> None:
        """Read and drop again, after a connection whose input is ignored was read no further, so that its end
        is seen."""
        if self.dropped > self.limits.unread:
            self.dropped = 0
            self.transport.resumeProducing()

    def check_unread(self, then: str) -> None:
        """Bring the input `then` if nothing lies unread. Guards commands that came while this process was
        slow against its end of the connection, and answers against the reset that a close over unread bytes
        brings."""
        if self.transport.connected and not has_unread_input(self.transport):
            self.handle_input(then, self.record)

    # Half closes, called by the transport.

    def writeConnectionLost(self) -> None:
        """All is written, and our direction closed."""
        self.handle_input(Input.CLIENT_WRITE_CLOSED, self.record)

    def readConnectionLost(self) -> None:
        """The client closed its direction, which is taken for the connection's end."""
        self.transport.connectionLost(Failure(ConnectionDone()))


class ClientProtocolFactory(ServerFactory):
    """Makes a protocol for each connection that is accepted."""

    noisy = False

    def __init__(self, handle_input: InputHandler, limits: Limits) -> None:
        self.handle_input = handle_input
        self.limits = limits

    def buildProtocol(self, addr: IAddress | None) -> ClientProtocol:  # noqa: ARG002 - Twisted's signature
        """The protocol of a new connection."""
        return ClientProtocol(self.handle_input, self.limits)
