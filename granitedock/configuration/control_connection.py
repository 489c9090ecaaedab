"""One HTTP connection to a control process (h11 on Twisted): a watch, or consecutive requests."""

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
from granitedock.configuration.change_codec import MAX_CHANGE_BYTES, parse_change
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

MAX_REPORT_LINE_BYTES = 4096  # Limit of an incomplete line from a follower.
MAX_LOGGED_REASON_CHARACTERS = 200
IDLE_TIMEOUT_MS = 30_000.0  # Limit of the time without a completed request, except on a watch.
MAX_LINES_PER_TURN = 8  # Lines written to one follower in one turn of the event loop.
JSON_HEADERS = [("Content-Type", "application/json")]
WATCH_HEADERS = [("Content-Type", "application/x-ndjson"), ("Transfer-Encoding", "chunked")]
UNEXPECTED_MESSAGE = "expected in_force or resend from a follower, got a message of a control process"


class ConnectionOwner(Protocol):
    """The interface of the server that a connection belongs to (`control_server.py`)."""

    node: ControlNode
    reactor: Any

    def connection_opened(self, connection: ControlConnection) -> None:
        """Record a new connection."""
        ...

    def connection_closed(self, connection: ControlConnection) -> None:
        """Remove a connection that has ended."""
        ...

    def start_queued_snapshots(self) -> None:
        """Start queued snapshots up to the limit, and write to their followers."""
        ...

    def request_rejected(self, reason: str) -> None:
        """Count and log a request that is answered with an error, or a malformed report."""
        ...

    def change_applied(self, change: VersionedChange, source: str) -> None:
        """Log a change that has come into force."""
        ...


@implementer(IPushProducer)
class ControlConnection(protocol.Protocol):
    """The server side of one connection; `session` is set once the connection is a watch."""

    transport: Any  # Twisted sets it while the connection is open.

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
        self.buffer = LineBuffer(MAX_REPORT_LINE_BYTES)
        self.paused = False  # Whether the transport applies backpressure.
        self.ended = False
        # Time of the connection's start or of its last completed request.
        self.idle_since = server.node.clock()

    @property
    def writable(self) -> bool:
        """Whether the connection is open and its transport accepts more bytes."""
        return not self.paused and not self.ended

    def connectionMade(self) -> None:
        """Register with the transport and the server; called by Twisted on a new connection."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.server.connection_opened(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: ARG002 - Twisted passes the reason by position.
        """Remove the connection from the server; called by Twisted when the connection has ended."""
        self.ended = True
        self.server.connection_closed(self)

    # HTTP requests.

    def dataReceived(self, data: bytes) -> None:
        """Handle bytes of requests or of a follower's reports; called by Twisted.

        A violation of HTTP or a malformed report closes the connection.
        """
        if self.ended:
            return
        try:
            self.http.receive_data(data)
            while not self.ended and (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self.handle_event(event)
        except (h11.RemoteProtocolError, MalformedLineError) as fault:
            self.server.request_rejected(str(fault))
            self.close()

    def handle_event(self, event: Any) -> None:
        """Handle one event of h11 and answer an HttpError with its status.

        Raises MalformedLineError for a malformed report of a follower.
        """
        try:
            if isinstance(event, h11.Request):
                self.handle_request_head(event)
            elif isinstance(event, h11.Data):
                self.handle_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.handle_request_end()
            elif isinstance(event, h11.ConnectionClosed):
                self.close()
        except HttpError as fault:
            self.server.request_rejected("; ".join(fault.errors)[:MAX_LOGGED_REASON_CHARACTERS])
            self.respond(fault.status, {"errors": fault.errors})

    def handle_request_head(self, request: h11.Request) -> None:
        """Record the head of a request; a watch is answered immediately. Raises HttpError."""
        target = urlsplit(request.target.decode("ascii", "replace"))
        self.method = request.method.decode()
        self.path = target.path
        self.body = []
        self.body_size = 0
        if target.path == http_paths.WATCH:
            self.start_watch(target.query)

    def handle_body(self, data: bytes) -> None:
        """Buffer a part of a request's body, or handle the complete lines among a follower's reports.

        Raises HttpError for a body above the limit, and MalformedLineError for a malformed report.
        """
        if self.session is not None:
            for line in self.buffer.lines(data):
                self.handle_report(self.session, line)
            return
        self.body_size += len(data)
        if self.body_size > MAX_CHANGE_BYTES:
            problem = f"(whole change): exceeds the limit of {MAX_CHANGE_BYTES:,} bytes"
            raise HttpError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, [problem])
        self.body.append(data)

    def handle_request_end(self) -> None:
        """Answer a complete request, or close a watch whose body has ended. Raises HttpError."""
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
        """Apply the change in the body; it is in force here before the response is sent. Raises HttpError."""
        peer = self.transport.getPeer()
        source = f"{peer.host}:{peer.port}"
        try:
            versioned_change = self.node.apply(parse_change(b"".join(self.body), source), source)
        except VersionConflictError as fault:
            raise HttpError(HTTPStatus.CONFLICT, fault.faults) from None
        except ChangeRejectedError as fault:
            raise HttpError(HTTPStatus.BAD_REQUEST, fault.faults) from None
        except NotWriterError as fault:
            raise HttpError(HTTPStatus.MISDIRECTED_REQUEST, [str(fault)]) from None
        except ConfigurationError as fault:
            raise HttpError(HTTPStatus.INTERNAL_SERVER_ERROR, [str(fault)]) from None
        self.server.change_applied(versioned_change, source)
        return {"version": versioned_change.version, "digest": digest_text(versioned_change.digest)}

    def respond(self, status: int, content: Any) -> None:
        """Send a complete response; any status but 200 also closes the connection."""
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

    # The watch of a follower.

    def start_watch(self, query: str) -> None:
        """Answer a watch request and open a session for its follower. Raises HttpError."""
        watch = parse_watch_request(query, self.node.store.cluster)
        self.transport.write(self.http.send(h11.Response(status_code=HTTPStatus.OK, headers=WATCH_HEADERS)))
        now = self.node.clock()
        self.session = self.publisher.open_session(
            watch.name, watch.role, self, watch.version, watch.digest, now
        )
        self.write_pending_lines()
        self.server.start_queued_snapshots()

    def handle_report(self, session: FollowerSession, line: bytes) -> None:
        """Handle one line of the follower. Raises MalformedLineError."""
        message = decode(line)
        if not isinstance(message, InForce | Resend):
            raise MalformedLineError(UNEXPECTED_MESSAGE)
        self.publisher.message_received(session, message)
        self.write_pending_lines()

    def write_pending_lines(self) -> None:
        """Write pending lines while the transport accepts them, at most MAX_LINES_PER_TURN in one turn."""
        session = self.session
        if session is None:
            return
        now = self.node.clock()
        lines: list[bytes] = []
        while self.writable and len(lines) < MAX_LINES_PER_TURN:
            line = self.publisher.next_line(session, now)
            if line is None:
                break
            lines.append(line)
        if lines:
            self.write(b"".join(lines))
            if len(lines) == MAX_LINES_PER_TURN:
                self.server.reactor.callLater(0.0, self.continue_writing)
            self.server.start_queued_snapshots()

    def continue_writing(self) -> None:
        """Write further pending lines in a later turn of the event loop."""
        if self.writable:
            self.write_pending_lines()

    def write(self, data: bytes) -> None:
        """Write encoded lines to the follower and count their bytes."""
        self.publisher.counts["bytes_out"] += len(data)
        self.transport.write(self.http.send(h11.Data(data=data)))

    def heartbeat(self) -> None:
        """Send a heartbeat on a watch that is not paused, or close a connection idle for IDLE_TIMEOUT_MS.

        Closing idle connections prevents those that never complete a request from exhausting the file
        descriptors.
        """
        if self.ended:
            return
        if self.session is None:
            if self.node.clock() - self.idle_since > IDLE_TIMEOUT_MS:
                self.publisher.counts["idle"] += 1
                self.close()
        elif not self.paused:
            self.write(HEARTBEAT)

    # Calls from and to the transport.

    def close(self) -> None:
        """Abort the connection without flushing it."""
        self.ended = True
        self.transport.unregisterProducer()
        self.transport.abortConnection()

    def pauseProducing(self) -> None:
        """Stop writing; called by Twisted when the send buffer is full."""
        self.paused = True

    def resumeProducing(self) -> None:
        """Resume writing; called by Twisted when the send buffer has room again."""
        self.paused = False
        if self.session is not None and not self.ended:
            self.write_pending_lines()

    def stopProducing(self) -> None:
        """Do nothing on Twisted's notice that the connection is closing; `connectionLost` handles the end."""
