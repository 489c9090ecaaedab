"""Clients' connections: accepted, checked from time to time, and closed.

Owns the state of each connection and whether new ones are accepted. Replies and their order are the reply
queues' (`reply_queues`), requests the in-flight requests' (`in_flight_requests`).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from granitedock.service import counter_names
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import LifecycleEvent

if TYPE_CHECKING:
    from granitedock.service.context import Context
    from granitedock.service.in_flight_requests import InFlightRequest, InFlightRequests
    from granitedock.service.lifecycle import Lifecycle
    from granitedock.service.ports import ClientLinkPort
    from granitedock.service.reply_queues import CommandReply, ReplyQueues

COMMANDS_PER_REQUEST = 16  # so many commands may wait for each request that may wait on a connection
NOT_ENDED = "command not ended"


class ClientState(Enum):
    """The state of a client's connection."""

    OPEN = "open"
    MALFORMED = "malformed"  # no command is read any more; what came before is still answered
    CLOSING = "closing"  # our side is closed, or will be once all is written
    CLOSED = "closed"

    __hash__ = object.__hash__


# Bound once for the request path: Python 3.11 takes 0.2 us to look a member up on its enum.
OPEN = ClientState.OPEN


@dataclass(eq=False, slots=True)
class ClientConnection:
    """A client's connection. Times are Unix ms."""

    link: ClientLinkPort
    # Written by the reply queues.
    pending: deque[CommandReply | InFlightRequest] = field(default_factory=deque)  # in order of arrival
    write_paused: bool = False
    unread_bytes: int = 0  # written since the client stopped reading
    idle_since: float = 0.0  # when it was accepted, or last got a reply
    # Written by the client connections.
    state: ClientState = OPEN
    sent_request: bool = False  # well-formed as a command, whether it was taken or not
    malformed_since: float = 0.0
    closing_since: float = 0.0
    write_closed_at: float | None = None  # None while replies are not written
    partial_since: float = 0.0  # when a command was first found begun and not ended; 0 where none is
    received_bytes: int = 0  # when that command was last looked at
    progress_at: float = 0.0  # and when that was more than before


class ClientConnections:
    """The state machine of all clients' connections of one gateway."""

    replies: ReplyQueues
    requests: InFlightRequests
    lifecycle: Lifecycle

    def __init__(self, context: Context) -> None:
        self.context = context
        self.connections: dict[ClientConnection, None] = {}
        self.accept_paused = False

    def attach(self, replies: ReplyQueues, requests: InFlightRequests, lifecycle: Lifecycle) -> None:
        """Set the machines that this one calls."""
        self.replies = replies
        self.requests = requests
        self.lifecycle = lifecycle

    # Connections that come.

    def connected(self, link: ClientLinkPort) -> None:
        """A client's connection was accepted."""
        context = self.context
        limits = context.limits
        client = link.record = ClientConnection(link, idle_since=context.now)
        self.connections[client] = None
        context.counts[counter_names.CLIENT_LINKS] += 1
        if len(self.connections) >= limits.client_links:
            self._make_room(1)
        if len(self.connections) > limits.client_over:
            context.counts[counter_names.CLIENT_LINKS_OVER] += 1
            context.emit(link.abort)
        elif len(self.connections) >= limits.client_most and not self.accept_paused:
            self._accept(False)
            context.schedule(context.now + limits.fresh_ms, Input.CLIENT_LIMIT_CHECK)

    def _make_room(self, most: int) -> None:
        """Close up to `most` connections: first those that have sent no request, then the longest idle.

        Guards against running out of descriptors. One that came or got a reply just now is left alone, as a
        command may be on its way; where there are only such, accepting pauses. Hurts a client that opens
        connections before it needs them, or sends a command in pieces.
        """
        context = self.context
        came_before = context.now - context.limits.fresh_ms
        idle_before = context.now - context.limits.rest_ms
        idle = [
            client
            for client in self.connections
            if client.state is OPEN
            and not client.pending
            and not client.write_paused
            and client.idle_since <= (idle_before if client.sent_request else came_before)
        ]
        for client in sorted(idle, key=lambda client: (client.sent_request, client.idle_since))[:most]:
            context.emit(
                client.link.check_unread, Input.CLIENT_IDLE if client.sent_request else Input.CLIENT_SILENT
            )

    def check_limit(self) -> None:
        """While accepting is paused: make room as fast as silent connections come."""
        if self.accept_paused:
            self._make_room(len(self.connections))
            self.context.schedule(self.context.now + self.context.limits.fresh_ms, Input.CLIENT_LIMIT_CHECK)

    def _accept(self, on: bool) -> None:
        self.accept_paused = not on
        self.context.emit(self.context.io.accept_connections, on)
        self.context.event_log.event(
            "accept resumed" if on else "accept paused",
            clients=len(self.connections),
            requests=len(self.requests.in_flight),
        )

    # What a client sends.

    def accepts_commands(self, client: ClientConnection) -> bool:
        """Whether a command that came may be taken.

        Guards the memory against one connection with no end of commands behind a slow one.
        """
        if client.state is not OPEN:
            return False
        if len(client.pending) < COMMANDS_PER_REQUEST * self.context.limits.queue:
            return True
        self.malformed(client, "too many commands wait")
        return False

    def accepts_requests(self, client: ClientConnection) -> bool:
        """Whether a request that came may be taken; the connection counts as used from now on."""
        if not self.accepts_commands(client):
            return False
        client.sent_request = True
        return True

    def malformed(self, client: ClientConnection, why: str) -> None:
        """No command: say so behind the replies that are due, and close then."""
        context = self.context
        context.counts[counter_names.MALFORMED] += 1
        context.event_log.event("client malformed", why=why)
        if client.state is OPEN:
            client.state = ClientState.MALFORMED
            client.malformed_since = context.now
            self.replies.reply(client, b"-ERR %b\r\n" % why.encode("ascii", "replace")[:200])

    # Connections that end.

    def disconnected(self, client: ClientConnection) -> None:
        """The connection has ended."""
        client.state = ClientState.CLOSED
        self.connections.pop(client, None)
        if self.accept_paused and len(self.connections) < self.context.limits.client_most:
            self._accept(True)
        self.replies.discard(client)
        if self.lifecycle.shutting and not self.connections:
            self.context.follow_up(self.lifecycle.signal, LifecycleEvent.NO_CLIENTS)

    def silent(self, client: ClientConnection) -> None:
        """Close one that never sent a request, as room is needed."""
        if client.state is OPEN and not client.sent_request:
            self.context.counts[counter_names.CLIENT_LINKS_SILENT] += 1
            self._set_closing(client, None)
            self.context.emit(client.link.abort)

    def idle(self, client: ClientConnection) -> None:
        """Close one that has been idle for too long."""
        if client.state is OPEN and not client.pending:
            self.context.counts[counter_names.CLIENT_LINKS_RESTED] += 1
            self._set_closing(client, self.context.now)
            self.context.emit(client.link.end)

    def close_if_idle(self, client: ClientConnection) -> None:
        """While the process shuts: close a connection that waits for nothing, once its unread bytes are read.

        Guards requests that cross our close: one that we have read is answered.
        """
        if client.state is OPEN and not client.pending:
            self.context.emit(client.link.check_unread, Input.CLIENT_SHUTDOWN)

    def shutdown(self, client: ClientConnection) -> None:
        """While the process shuts: nothing of the client's lies unread."""
        if client.state is not OPEN or client.pending or not self.lifecycle.shutting:
            return
        # Part of a command, or a connection that has only just come: the rest may be on its way. What a
        # partial command had of its time before the listener closed does not count.
        if client.link.has_partial_message():
            since = max(self.lifecycle.closed_at, client.idle_since)
        else:
            since = float("-inf") if client.sent_request else client.idle_since
        if self.context.now - since > self.context.limits.fresh_ms:
            self._close(client)

    def replies_written(self, client: ClientConnection) -> None:
        """No reply is due on this connection any more."""
        if client.state is ClientState.MALFORMED:
            self._close(client)
        elif self.lifecycle.shutting:
            self.close_if_idle(client)

    def write_closed(self, client: ClientConnection) -> None:
        """All is written and our side closed; the client has `close_ms` to close its own."""
        client.write_closed_at = self.context.now

    def _close(self, client: ClientConnection) -> None:
        """Close our side once all replies are written, for which there is `flush_ms`."""
        self._set_closing(client, None)
        self.context.emit(client.link.close)

    def _set_closing(self, client: ClientConnection, write_closed_at: float | None) -> None:
        client.state = ClientState.CLOSING
        client.closing_since = self.context.now
        client.write_closed_at = write_closed_at

    # Periodic maintenance.

    def maintain(self) -> None:
        """Guards against clients that do not close their side, send part of a command and no more, say
        nothing, or keep a connection that they need no longer."""
        for client in list(self.connections):
            self._inspect(client)

    def _inspect(self, client: ClientConnection) -> None:
        if client.state is ClientState.CLOSING:
            self._inspect_closing(client)
        elif client.state is ClientState.MALFORMED:
            self.context.emit(client.link.drain_input)
            if self.context.now - client.malformed_since > self.context.limits.spoilt_ms:
                self.replies.fail_pending(client)
        elif client.write_paused:
            client.partial_since = 0.0  # what it sent waits until it reads: neither partial nor idle
        elif self.lifecycle.shutting and not client.pending:
            self.close_if_idle(client)
        elif client.link.has_partial_message():
            self._inspect_partial(client)
        else:
            client.partial_since = 0.0
            self._inspect_idle(client)

    def _inspect_closing(self, client: ClientConnection) -> None:
        context = self.context
        limits = context.limits
        if client.write_closed_at is None:
            if context.now - client.closing_since > limits.flush_ms:
                context.counts[counter_names.SLOW_READERS] += 1
                context.emit(client.link.abort)
                return
        elif context.now - client.write_closed_at > limits.close_ms:
            context.emit(client.link.abort)
            return
        context.emit(client.link.drain_input)

    def _inspect_idle(self, client: ClientConnection) -> None:
        limits = self.context.limits
        patience = limits.rest_ms if client.sent_request else limits.half_ms
        if not client.pending and self.context.now - client.idle_since > patience:
            # It closes without a word, which a request on its way might take for its reply.
            self.context.emit(client.link.check_unread, Input.CLIENT_IDLE)

    def _inspect_partial(self, client: ClientConnection) -> None:
        """A command has begun and not ended.

        Guards long commands on slow lines: its time counts from the last bytes; the whole is bounded.
        """
        now = self.context.now
        limits = self.context.limits
        if not client.partial_since or client.received_bytes != client.link.received_bytes:
            client.partial_since = client.partial_since or now
            client.received_bytes = client.link.received_bytes
            client.progress_at = now
            if now - client.partial_since > limits.half_most_ms:
                self.malformed(client, NOT_ENDED)
        elif now - client.progress_at > limits.half_ms:
            self.malformed(client, NOT_ENDED)
