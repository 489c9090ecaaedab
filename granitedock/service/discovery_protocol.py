"""The protocol towards discovery: a watch over HTTP/1.1, and the JSON lines that it brings.

Owns the bytes of one watch and translates each line into an endpoint list. It never keeps the list, nor opens
a watch again by itself.
"""

from __future__ import annotations

import re
from typing import Any, NamedTuple, Protocol

import h11
import orjson
from twisted.internet import protocol
from twisted.python.failure import Failure

from granitedock.policy.types import EndpointStatus
from granitedock.service.callbacks import InputHandler
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.service.resp import has_unread_input

HTTP_OK = 200
STATUSES = {
    "in_service": EndpointStatus.READY,
    "terminating": EndpointStatus.DRAINING,
    "terminated": EndpointStatus.GONE,
}
INDENTS = (b" ", b"\t", b"\r", b"")  # how a line begins that is not looked at by itself
JSON_STRINGS = re.compile(rb'"(?:[^"\\]|\\.)*"')

# Reasons that are logged; the error's type stands before them.
LIST_NOT_COMPLETE = "list not whole"
LIST_TOO_LONG = "list too long"
# What a list that makes no sense raises while it is read.
FORMAT_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


class EndpointEntry(NamedTuple):
    """One host of an endpoint list, as discovery states it."""

    name: str
    address: str  # HOST:PORT; empty where it is not stated
    size: float  # relative capacity; 1.0 where it is not stated
    make: str  # the machine's type
    zone: str
    cell: int
    started_at: float  # Unix ms; 0.0 where it is not stated
    status: EndpointStatus


class EndpointListUpdate(NamedTuple):
    """An endpoint list, or a change of one."""

    version: int
    complete: bool  # a full snapshot: hosts that are not in it are gone
    entries: list[EndpointEntry]


class WatchRecord(Protocol):
    """What a watch needs of the state machine's record of it."""

    version: int  # of the list that is held, from which discovery goes on


def parse_endpoint_list(document: dict[str, Any]) -> EndpointListUpdate:
    """An endpoint list by discovery's JSON. Raises one of FORMAT_ERRORS where it is none."""
    entries = []
    for item in document.get("instances") or ():
        size = item.get("weight")
        entries.append(
            EndpointEntry(
                item["instanceId"],
                item.get("hostPort") or "",
                1.0 if size is None else float(size),
                item.get("machineType") or "",
                item.get("zone") or "",
                int(item.get("cell") or 0),
                float(item.get("startedAtMs") or 0.0),
                STATUSES[item["lifecycle"]],
            )
        )
    return EndpointListUpdate(int(document["generation"]), bool(document.get("reset")), entries)


def nesting_change(line: bytes) -> int:
    """How many more objects and arrays a line of JSON opens than it closes."""
    bare = JSON_STRINGS.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


class DiscoveryWatchProtocol(protocol.Protocol):
    """One watch, until its connection ends."""

    transport: Any
    record: Any = None  # a WatchRecord, set before the connection comes up

    def __init__(self, handle_input: InputHandler, address: str, limits: Limits) -> None:
        """`address` is discovery's, for the Host header."""
        self.handle_input = handle_input
        self.address = address
        self.max_bytes = limits.document
        self.http = h11.Connection(h11.CLIENT)
        self.line = b""  # what has no line end yet
        self.document = b""  # lines of a list that has begun and not ended
        self.nesting = 0  # of what is open in it
        self.is_malformed = False

    def connectionMade(self) -> None:
        """Ask for all that is newer than the list that is held."""
        request = h11.Request(
            method="GET",
            target=f"/api/targets?watch=1&after={self.record.version}",
            headers=[("Host", self.address), ("Accept", "application/json")],
        )
        head = self.http.send(request)
        end = self.http.send(h11.EndOfMessage())
        self.transport.write((head or b"") + (end or b""))
        self.handle_input(Input.WATCH_CONNECTED, self.record, self)

    def connectionLost(self, _reason: Failure | None = None) -> None:
        """The connection ended."""
        self.handle_input(Input.WATCH_DISCONNECTED, self.record)

    def dataReceived(self, data: bytes) -> None:
        """Guards against a list that makes no sense, an answer that is none, and one that never ends: the
        list that is held stands, the watch opens again, and what was wrong is logged. A reset is no end: of a
        list that is cut short nothing is taken."""
        if self.is_malformed:
            return
        try:
            ended = self.read_events(data)
        except (h11.RemoteProtocolError, *FORMAT_ERRORS) as error:
            self.is_malformed = True
            self.handle_input(Input.WATCH_MALFORMED, self.record, f"{type(error).__name__}: {error}")
            self.abort()
            return
        if ended:
            self.abort()
        elif self.line or self.document:
            self.handle_input(Input.WATCH_LIST_STARTED, self.record)

    def read_events(self, data: bytes) -> bool:
        """Whether the answer has ended. Raises h11.RemoteProtocolError and FORMAT_ERRORS."""
        self.http.receive_data(data)
        while (event := self.http.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Response) and event.status_code != HTTP_OK:
                why = f"status {event.status_code}"
                raise ValueError(why)
            if isinstance(event, h11.Data):
                self.read_lines(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                return True
        return False

    def read_lines(self, data: bytes) -> None:
        """Hand on each list that `data` ends, and each empty line. Raises FORMAT_ERRORS."""
        *complete, self.line = (self.line + data).split(b"\n")
        for line in complete:
            if self.document or line.strip():
                self.read_list_line(line)
            else:
                self.handle_input(Input.ENDPOINTS_RECEIVED, self.record, None)
        if len(self.line) + len(self.document) > self.max_bytes:
            raise ValueError(LIST_TOO_LONG)

    def read_list_line(self, line: bytes) -> None:
        """A line of a list. One that is not indented may end it, or what closes all that was opened."""
        self.document += line + b"\n"
        if line[:1] not in INDENTS and self.try_document():
            return
        self.nesting += nesting_change(line)
        if self.nesting <= 0 and not self.try_document():
            raise ValueError(LIST_NOT_COMPLETE)

    def try_document(self) -> bool:
        """Whether the list is complete by now; it is handed on then. One that lacks more is waited for.
        Raises FORMAT_ERRORS."""
        try:
            document = orjson.loads(self.document)
        except orjson.JSONDecodeError as error:
            if error.pos >= len(self.document):
                return False
            raise
        self.document = b""
        self.nesting = 0
        self.handle_input(Input.ENDPOINTS_RECEIVED, self.record, parse_endpoint_list(document))
        return True

    # Effects of the state machine.

    def has_unread_bytes(self) -> bool:
        """Whether discovery has sent what is not read yet, or has ended the connection."""
        return has_unread_input(self.transport)

    def abort(self) -> None:
        """Reset the connection."""
        self.transport.abortConnection()
