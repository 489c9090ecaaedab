"""Discovery's side: the watch over HTTP, and the reading of its lines.

Owns the bytes of one watch and turns each line into the list's entries in our words. It must never
keep the list, nor open a watch again by itself.
"""

from __future__ import annotations

import re
from typing import Any, NamedTuple

import h11
import orjson
from twisted.internet.protocol import Protocol

from granitedock.policy.types import EndpointStatus
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.service.resp import unread

STATUSES = {
    "in_service": EndpointStatus.READY,
    "terminating": EndpointStatus.DRAINING,
    "terminated": EndpointStatus.GONE,
}

INDENTS = (b" ", b"\t", b"\r", b"")  # how a line begins that is not looked at by itself
STRINGS = re.compile(rb'"(?:[^"\\]|\\.)*"')


def depth(line: bytes) -> int:
    """How many more objects and arrays a line of JSON opens than it closes."""
    bare = STRINGS.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


class Entry(NamedTuple):
    """One line of the list."""

    name: str
    address: str
    size: float
    make: str
    zone: str
    cell: int
    started_at: float
    status: EndpointStatus


class Listing(NamedTuple):
    version: int
    whole: bool
    entries: list[Entry]


def listing(told: dict[str, Any]) -> Listing:
    """A list in our words. Raises ValueError, KeyError, TypeError or AttributeError where it is none."""
    entries = []
    for item in told.get("instances") or ():
        size = item.get("weight")
        entries.append(
            Entry(
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
    return Listing(int(told["generation"]), bool(told.get("reset")), entries)


class WatchLink(Protocol):
    """One watch, until its connection ends."""

    record: Any = None

    def __init__(self, tell, address: str, limits: Limits) -> None:
        self.tell, self.address, self.most = tell, address, limits.document
        self.http = h11.Connection(h11.CLIENT)
        self.line = b""  # what has no line end yet
        self.document = b""  # lines of a list that has begun and not ended
        self.depth = 0  # of what is open in it
        self.spoilt = False

    def connectionMade(self) -> None:
        ask = h11.Request(
            method="GET",
            target=f"/api/targets?watch=1&after={self.record.version}",
            headers=[("Host", self.address), ("Accept", "application/json")],
        )
        self.transport.write(self.http.send(ask) + self.http.send(h11.EndOfMessage()))
        self.tell(Input.WATCH_CONNECTED, self.record, self)

    def connectionLost(self, reason=None) -> None:
        self.tell(Input.WATCH_DISCONNECTED, self.record)

    def dataReceived(self, data: bytes) -> None:
        """Guards against a list that makes no sense, an answer that is none, and one that never ends: the
        list we have stands, the watch opens again, and what was wrong is told. A reset is no end: of a list
        that is cut short nothing is taken."""
        if self.spoilt:
            return
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise ValueError(f"status {event.status_code}")
                if isinstance(event, h11.Data):
                    self.lines(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    self.abort()
                    return
        except (h11.RemoteProtocolError, ValueError, KeyError, TypeError, AttributeError) as fault:
            self.spoilt = True
            self.tell(Input.WATCH_MALFORMED, self.record, f"{type(fault).__name__}: {fault}")
            self.abort()
            return
        if self.line or self.document:
            self.tell(Input.WATCH_LIST_STARTED, self.record)

    def lines(self, data: bytes) -> None:
        *whole, self.line = (self.line + data).split(b"\n")
        for line in whole:
            if self.document or line.strip():
                self.document += line + b"\n"
                if line[:1] not in INDENTS and self.ended():
                    continue
                self.depth += depth(line)
                if self.depth <= 0 and not self.ended():
                    raise ValueError("list not whole")
            else:
                self.tell(Input.ENDPOINTS_RECEIVED, self.record, None)
        if len(self.line) + len(self.document) > self.most:
            raise ValueError("list too long")

    def ended(self) -> bool:
        """Whether the list is whole by now; it is told then. A line that is not indented may end one, or what
        closes all that was opened; one that lacks more is waited for."""
        try:
            told = orjson.loads(self.document)
        except orjson.JSONDecodeError as fault:
            if fault.pos >= len(self.document):
                return False
            raise
        self.document, self.depth = b"", 0
        self.tell(Input.ENDPOINTS_RECEIVED, self.record, listing(told))
        return True

    def lies_unread(self) -> bool:
        return unread(self.transport)

    def abort(self) -> None:
        self.transport.abortConnection()
