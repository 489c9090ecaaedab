"""One HTTP connection to a control process (h11 on Twisted): a watch, or requests one after another."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol
from urllib.parse import urlsplit

import h11
import orjson
from twisted.internet import protocol
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from granitedock.configuration import http_paths
from granitedock.configuration.change_codec import MOST_CHANGE_BYTES, parse_change
from granitedock.configuration.control_node import ControlNode
from granitedock.configuration.document import digest_text
from granitedock.configuration.errors import (
    ChangeRejectedError,
    ConfigurationError,
    HttpError,
    MalformedLineError,
    NotWriterError,
    VersionConflictError,
)
from granitedock.configuration.follower_session import FollowerSession
from granitedock.configuration.http_records import AppliedChangeRecord
from granitedock.configuration.line_framing import LineBuffer
from granitedock.configuration.message_codec import HEARTBEAT, decode
from granitedock.configuration.messages import InForce, Resend, VersionedChange
from granitedock.configuration.watch_request import parse_watch_request

MOST_REPORT_BYTES = 4096  # one line of a follower
MOST_REASON = 200  # characters of a reason in the log
IDLE_MS = 30_000.0  # a connection that completes no request, and is no watch
LINES_AT_ONCE = 8  # written to one follower in a turn of the loop
JSON_HEADERS = [("Content-Type", "application/json")]
WATCH_HEADERS = [("Content-Type", "application/x-ndjson"), ("Transfer-Encoding", "chunked")]
CONTROLS_MESSAGE = "control's message from a follower"


class ConnectionOwner(Protocol):
    """What a connection asks of its server (`control_server.py`)."""

    node: ControlNode
    reactor: Any

    def opened(self, connection: ControlConnection) -> None:
        """A connection is up."""
        ...

    def closed(self, connection: ControlConnection) -> None:
        """A connection has ended."""
        ...

    def next_snapshots(self) -> None:
        """Write to the followers whose turn for a snapshot has come."""
        ...

    def rejected(self, why: str) -> None:
        """A request or a report was malformed."""
        ...

    def change_applied(self, change: VersionedChange, source: str) -> None:
        """A change came in force."""
        ...


@implementer(IPushProducer)
class ControlConnection(protocol.Protocol):
    """The server's end of one connection; `session` is its follower once it is a watch."""

    transport: Any  # Twisted's, set while the connection is up

    def __init__(self, server: ConnectionOwner) -> None:
        self.server = server
        self.node = server.node
        self.publisher = server.node.publisher
        self.http = h11.Connection(h11.SERVER)
        self.method = ""
        self.path = ""
        self.body: list[bytes] = []
        self.body_size = 0
        self.session: FollowerSession | None = None
        self.buffer = LineBuffer(MOST_REPORT_BYTES)
        self.paused = False  # the transport has bytes enough to write
        self.ended = False
        self.idle_since = server.node.clock()  # it came up, or was last answered

    @property
    def writable(self) -> bool:
        """Whether it is up, and its transport takes more bytes."""
        return not self.paused and not self.ended

    def connectionMade(self) -> None:
        """Twisted: the connection is up."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.server.opened(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: ARG002 - Twisted passes it by position
        """Twisted: the connection has ended."""
        self.ended = True
        self.server.closed(self)

    # Requests.

    def dataReceived(self, data: bytes) -> None:
        """Twisted: bytes of requests, or of a follower's reports."""
        if self.ended:
            return
        try:
            self.http.receive_data(data)
            while not self.ended and (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self.handle_event(event)
        except (h11.RemoteProtocolError, MalformedLineError) as fault:
            self.server.rejected(str(fault))
            self.close()

    def handle_event(self, event: Any) -> None:
        """One event of h11; an error is answered. Raises MalformedLineError."""
        try:
            if isinstance(event, h11.Request):
                self.request_begins(event)
            elif isinstance(event, h11.Data):
                self.body_received(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.request_complete()
            elif isinstance(event, h11.ConnectionClosed):
                self.close()
        except HttpError as fault:
            self.server.rejected("; ".join(fault.errors)[:MOST_REASON])
            self.respond(fault.status, {"errors": fault.errors})

    def request_begins(self, request: h11.Request) -> None:
        """The head of a request; a watch is answered at once."""
        target = urlsplit(request.target.decode("ascii", "replace"))
        self.method = request.method.decode()
        self.path = target.path
        self.body = []
        self.body_size = 0
        if target.path == http_paths.WATCH:
            self.begin_watch(target.query)

    def body_received(self, data: bytes) -> None:
        """A part of a request's body, or of a follower's reports. Raises HttpError, MalformedLineError."""
        if self.session is not None:
            for line in self.buffer.lines(data):
                self.report_received(self.session, line)
            return
        self.body_size += len(data)
        if self.body_size > MOST_CHANGE_BYTES:
            problem = f"(whole change): more than {MOST_CHANGE_BYTES:,} bytes"
            raise HttpError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, [problem])
        self.body.append(data)

    def request_complete(self) -> None:
        """Answer a request that is complete; a watch ends. Raises HttpError."""
        if self.session is not None:
            self.close()
            return
        routes: dict[tuple[str, str], Callable[[], Any]] = {
            ("GET", http_paths.DOCUMENT): self.node.document_record,
            ("GET", http_paths.STATUS): self.node.status,
            ("POST", http_paths.CHANGES): self.apply_change,
        }
        answer = routes.get((self.method, self.path))
        if answer is None:
            raise HttpError(HTTPStatus.NOT_FOUND, [f"{self.method} {self.path}: no such request"])
        self.respond(HTTPStatus.OK, answer())
        self.idle_since = self.node.clock()
        if not self.ended:
            self.http.start_next_cycle()

    def apply_change(self) -> AppliedChangeRecord:
        """Apply the change in the body, in force here before it is answered. Raises HttpError."""
        peer = self.transport.getPeer()
        source = f"{peer.host}:{peer.port}"
        try:
            made = self.node.apply(parse_change(b"".join(self.body), source), source)
        except VersionConflictError as fault:
            raise HttpError(HTTPStatus.CONFLICT, fault.faults) from None
        except ChangeRejectedError as fault:
            raise HttpError(HTTPStatus.BAD_REQUEST, fault.faults) from None
        except NotWriterError as fault:
            raise HttpError(HTTPStatus.MISDIRECTED_REQUEST, [str(fault)]) from None
        except ConfigurationError as fault:
            raise HttpError(HTTPStatus.INTERNAL_SERVER_ERROR, [str(fault)]) from None
        self.server.change_applied(made, source)
        return {"version": made.version, "digest": digest_text(made.digest)}

    def respond(self, status: int, content: Any) -> None:
        """Send a whole answer; after an error the connection ends."""
        body = orjson.dumps(content)
        headers = [*JSON_HEADERS, ("Content-Length", str(len(body)))]
        if status != HTTPStatus.OK:
            headers.append(("Connection", "close"))
        response = h11.Response(status_code=status, headers=headers)
        parts = (response, h11.Data(data=body), h11.EndOfMessage())
        self.transport.write(b"".join(self.http.send(part) or b"" for part in parts))
        if status != HTTPStatus.OK:
            self.ended = True
            self.transport.loseConnection()

    # A watch.

    def begin_watch(self, query: str) -> None:
        """Answer a watch, and add its follower. Raises HttpError."""
        watch = parse_watch_request(query, self.node.store.cluster)
        self.transport.write(self.http.send(h11.Response(status_code=HTTPStatus.OK, headers=WATCH_HEADERS)))
        now = self.node.clock()
        self.session = self.publisher.open_session(
            watch.name, watch.role, self, watch.version, watch.digest, now
        )
        self.write_next()
        self.server.next_snapshots()

    def report_received(self, session: FollowerSession, line: bytes) -> None:
        """One line of the follower. Raises MalformedLineError."""
        message = decode(line)
        if not isinstance(message, InForce | Resend):
            raise MalformedLineError(CONTROLS_MESSAGE)
        self.publisher.message_received(session, message)
        self.write_next()

    def write_next(self) -> None:
        """Write some of what the follower needs, while its connection takes it; the rest in later turns."""
        session = self.session
        if session is None:
            return
        now = self.node.clock()
        lines: list[bytes] = []
        while self.writable and len(lines) < LINES_AT_ONCE:
            line = self.publisher.next_line(session, now)
            if line is None:
                break
            lines.append(line)
        if lines:
            self.write(b"".join(lines))
            if len(lines) == LINES_AT_ONCE:
                self.server.reactor.callLater(0.0, self.continue_writing)
            self.server.next_snapshots()

    def continue_writing(self) -> None:
        """Write on in a later turn of the loop."""
        if self.writable:
            self.write_next()

    def write(self, data: bytes) -> None:
        """Write lines to the follower."""
        self.publisher.counts["bytes_out"] += len(data)
        self.transport.write(self.http.send(h11.Data(data=data)))

    def heartbeat(self) -> None:
        """Send the follower a heartbeat.

        Guards the descriptors against connections that never complete a request.
        """
        if self.ended:
            return
        if self.session is None:
            if self.node.clock() - self.idle_since > IDLE_MS:
                self.publisher.counts["idle"] += 1
                self.close()
        elif not self.paused:
            self.write(HEARTBEAT)

    # The transport.

    def close(self) -> None:
        """End the connection at once."""
        self.ended = True
        self.transport.unregisterProducer()
        self.transport.abortConnection()

    def pauseProducing(self) -> None:
        """Twisted: the transport has bytes enough to write."""
        self.paused = True

    def resumeProducing(self) -> None:
        """Twisted: the transport has room again."""
        self.paused = False
        if self.session is not None and not self.ended:
            self.write_next()

    def stopProducing(self) -> None:
        """Twisted: the connection is about to end, which `connectionLost` says."""
