"""The HTTP side of a control process (h11 on Twisted): watches, changes, the document and its status.

| request | answer |
| --- | --- |
| `POST /configuration/watch?name&role&cluster&after&digest` | lines as `messages.py` has them, without end |
| `POST /configuration/changes` | 200 with version and digest; 409 another base; 400 a fault; 421 a replica |
| `GET /configuration/document` | the whole document |
| `GET /configuration/status` | version, followers, counters |

An error is `{"errors": [...]}`, and costs its own connection only.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11
import orjson
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, Protocol
from zope.interface import implementer

from granitedock.configuration.change_form import MOST_CHANGE_BYTES, ChangeRefused, WrongBase, parsed
from granitedock.configuration.control import Control, NotWriter
from granitedock.configuration.document import ConfigurationError, digest_text
from granitedock.configuration.lines import LineBuffer
from granitedock.configuration.link import WATCH
from granitedock.configuration.messages import HEARTBEAT, InForce, Malformed, Resend, decoded
from granitedock.configuration.publisher import FollowerRecord

CHANGES, DOCUMENT, STATUS = "/configuration/changes", "/configuration/document", "/configuration/status"
HEARTBEAT_S = 1.0
MOST_REPORT_BYTES = 4096  # one line of a follower
IDLE_MS = 30_000.0  # a connection that asks for nothing whole, and is no watch
LINES_AT_ONCE = 8  # written to one follower in a turn of the loop
JSON = [("Content-Type", "application/json")]


class HttpError(Exception):
    """A request that is answered by an error."""

    def __init__(self, status: int, errors: list[str]) -> None:
        super().__init__(status, errors)
        self.status, self.errors = status, errors


def one(fields: dict[str, list[str]], name: str) -> str:
    """The one value of a query's field. Raises HttpError."""
    values = fields.get(name, [])
    if len(values) != 1:
        raise HttpError(400, [f"{name}: wanted once in the request's query"])
    return values[0]


@implementer(IPushProducer)
class ControlLink(Protocol):
    """One connection to this control process: a watch, or single requests one after another."""

    def __init__(self, service: ControlService) -> None:
        self.service, self.control = service, service.control
        self.http = h11.Connection(h11.SERVER)
        self.request: h11.Request | None = None
        self.body: list[bytes] = []
        self.held = 0
        self.follower: FollowerRecord | None = None
        self.buffer = LineBuffer(MOST_REPORT_BYTES)
        self.full = False  # the transport has bytes enough to write
        self.over = False
        self.since = service.control.clock()  # it came, or was last answered

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.service.links.add(self)

    def connectionLost(self, reason: Any = None) -> None:
        self.over = True
        self.service.links.discard(self)
        if self.follower is not None:
            self.service.closed(self.follower)

    # What comes.

    def dataReceived(self, data: bytes) -> None:
        if self.over:
            return
        try:
            self.http.receive_data(data)
            while not self.over and (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self.happened(event)
        except (h11.RemoteProtocolError, Malformed) as fault:
            self.service.strange(str(fault))
            self.end()

    def happened(self, event: Any) -> None:
        try:
            if isinstance(event, h11.Request):
                self.began(event)
            elif isinstance(event, h11.Data):
                self.more(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.ended()
            elif isinstance(event, h11.ConnectionClosed):
                self.end()
        except HttpError as fault:
            self.service.strange("; ".join(fault.errors)[:200])
            self.answer(fault.status, {"errors": fault.errors})

    def began(self, request: h11.Request) -> None:
        self.request, self.body, self.held = request, [], 0
        path = urlsplit(request.target.decode("ascii", "replace"))
        if path.path == WATCH:
            self.watch(path.query)

    def more(self, data: bytes) -> None:
        if self.follower is not None:
            for line in self.buffer.lines(data):
                self.reported(line)
            return
        self.held += len(data)
        if self.held > MOST_CHANGE_BYTES:
            raise HttpError(413, [f"(whole change): more than {MOST_CHANGE_BYTES:,} bytes"])
        self.body.append(data)

    def ended(self) -> None:
        """A request is whole."""
        if self.follower is not None:
            self.end()
            return
        path = urlsplit(self.request.target.decode("ascii", "replace")).path
        method = self.request.method.decode()
        routes: dict[tuple[str, str], Callable[[], Any]] = {
            ("GET", DOCUMENT): self.control.shown,
            ("GET", STATUS): self.control.status,
            ("POST", CHANGES): self.changed,
        }
        act = routes.get((method, path))
        if act is None:
            raise HttpError(404, [f"{method} {path}: no such request"])
        self.answer(200, act())
        self.since = self.control.clock()
        if not self.over:
            self.http.start_next_cycle()

    def changed(self) -> dict[str, Any]:
        """A change of the operators', in force here before it is answered."""
        source = self.service.peer(self)
        try:
            made = self.control.apply(parsed(b"".join(self.body), source), source)
        except WrongBase as fault:
            raise HttpError(409, fault.faults) from None
        except ChangeRefused as fault:
            raise HttpError(400, fault.faults) from None
        except NotWriter as fault:
            raise HttpError(421, [str(fault)]) from None
        except ConfigurationError as fault:
            raise HttpError(500, [str(fault)]) from None
        self.service.applied(made, source)
        return {"version": made.version, "digest": digest_text(made.digest)}

    # A watch.

    def watch(self, query: str) -> None:
        fields = parse_qs(query, keep_blank_values=True)
        name, role, cluster = one(fields, "name"), one(fields, "role"), one(fields, "cluster")
        after, digest = one(fields, "after"), one(fields, "digest")
        own = self.control.store.cluster
        if cluster != own:
            raise HttpError(409, [f"cluster: this is {own!r}, not {cluster!r}"])
        try:
            had = int(after), int(digest, 16)
        except ValueError:
            raise HttpError(400, ["after, digest: a whole number and hex digits are wanted"]) from None
        headers = [("Content-Type", "application/x-ndjson"), ("Transfer-Encoding", "chunked")]
        self.transport.write(self.http.send(h11.Response(status_code=200, headers=headers)))
        now = self.control.clock()
        self.follower = self.control.publisher.opened(name, role, self, *had, now)
        self.write_next()
        self.service.next_snapshots()

    def reported(self, line: bytes) -> None:
        message = decoded(line)
        if not isinstance(message, InForce | Resend):
            raise Malformed("control's message from a follower")
        self.control.publisher.heard(self.follower, message)
        self.write_next()

    def write_next(self) -> None:
        """Some of what the follower needs, as long as its connection takes it; the rest in later turns."""
        publisher, now = self.control.publisher, self.control.clock()
        lines = []
        while not self.full and not self.over and len(lines) < LINES_AT_ONCE:
            line = publisher.next_line(self.follower, now)
            if line is None:
                break
            lines.append(line)
        if lines:
            self.write(b"".join(lines))
            if len(lines) == LINES_AT_ONCE:
                self.service.reactor.callLater(0.0, self.go_on)
            self.service.next_snapshots()

    def go_on(self) -> None:
        if not self.over and not self.full:
            self.write_next()

    def write(self, data: bytes) -> None:
        self.control.publisher.counts["bytes_out"] += len(data)
        self.transport.write(self.http.send(h11.Data(data=data)))

    def heartbeat(self) -> None:
        """Life for a follower. Guards the descriptors against connections that never ask for anything
        whole."""
        if self.over:
            return
        if self.follower is None:
            if self.control.clock() - self.since > IDLE_MS:
                self.control.publisher.counts["idle"] += 1
                self.end()
        elif not self.full:
            self.write(HEARTBEAT)

    # Answers, and the end.

    def answer(self, status: int, said: Any) -> None:
        """A whole answer; behind an error the connection ends."""
        body = orjson.dumps(said)
        headers = [*JSON, ("Content-Length", str(len(body)))]
        if status != 200:
            headers.append(("Connection", "close"))
        response = h11.Response(status_code=status, headers=headers)
        parts = (response, h11.Data(data=body), h11.EndOfMessage())
        self.transport.write(b"".join(self.http.send(part) for part in parts))
        if status != 200:
            self.over = True
            self.transport.loseConnection()

    def end(self) -> None:
        self.over = True
        self.transport.unregisterProducer()
        self.transport.abortConnection()

    # What the transport asks for.

    def pauseProducing(self) -> None:
        self.full = True

    def resumeProducing(self) -> None:
        self.full = False
        if self.follower is not None and not self.over:
            self.write_next()

    def stopProducing(self) -> None:
        """The connection's end is told by itself."""


class ControlService:
    """The listener of one control process. `log(event, **figures)` tells what an operator should see."""

    def __init__(self, reactor: Any, control: Control, log: Callable[..., None]) -> None:
        self.reactor, self.control, self.log = reactor, control, log
        self.links: set[ControlLink] = set()
        self.port: Any = None
        control.wake = self.wake

    def listen(self, address: str) -> str:
        """Listen at HOST:PORT (port 0: any free one); the address. Raises CannotListenError."""
        host, _, port = address.rpartition(":")
        factory = Factory.forProtocol(lambda: ControlLink(self))
        factory.noisy = False
        self.port = self.reactor.listenTCP(int(port), factory, backlog=512, interface=host.strip("[]"))
        self.reactor.callLater(HEARTBEAT_S, self.heartbeat)
        return f"{host}:{self.port.getHost().port}"

    def close(self) -> Any:
        """No further connection, and an end to those that there are; a Deferred of the listener's end."""
        waits = self.port.stopListening()
        self.port = None
        for link in list(self.links):
            link.end()
        return waits

    def wake(self, followers: list[FollowerRecord]) -> None:
        for follower in followers:
            if not follower.link.full and not follower.link.over:
                follower.link.write_next()

    def next_snapshots(self) -> None:
        self.wake(self.control.publisher.next_snapshots())

    def closed(self, follower: FollowerRecord) -> None:
        self.control.publisher.closed(follower)
        self.next_snapshots()

    def heartbeat(self) -> None:
        """Each second: life for the followers, and an end to snapshots that do not move."""
        if self.port is None:
            return
        for follower in self.control.publisher.stalled(self.control.clock()):
            self.control.publisher.counts["stalled"] += 1
            follower.link.end()
        for link in list(self.links):
            link.heartbeat()
        self.reactor.callLater(HEARTBEAT_S, self.heartbeat)

    def strange(self, why: str) -> None:
        """A request or a report that is none: counted and told, and its connection ends."""
        self.control.publisher.counts["refused"] += 1
        self.log("request refused", why=why)

    def applied(self, made: Any, source: str) -> None:
        self.log("configuration changed", version=made.version, entries=len(made.edit), by=source)

    @staticmethod
    def peer(link: ControlLink) -> str:
        at = link.transport.getPeer()
        return f"{at.host}:{at.port}"
