"""The lifetime of clients' connections: accepting, periodic checks and closing.

Owns the state of each connection and whether new ones are accepted. Replies and their order belong to the
reply queues (`reply_queues`), requests to the in-flight requests (`in_flight_requests`).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from granitedock.service import counter_names
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import LifecycleEvent
from granitedock.state_table import StateEnum

if TYPE_CHECKING:
    from granitedock.service.context import Context
    from granitedock.service.in_flight_requests import InFlightRequest, InFlightRequests
    from granitedock.service.lifecycle import Lifecycle
    from granitedock.service.ports import ClientLinkPort
    from granitedock.service.reply_queues import CommandReply, ReplyQueues

# Commands of one connection that wait for their replies before its input is held.
MAX_PENDING_COMMANDS = 256
COMMAND_NOT_ENDED = "command not ended"


class ClientState(StateEnum):
    """The state of a client's connection."""

    OPEN = "open"
    MALFORMED = "malformed"  # Further input is ignored; earlier commands are still answered.
    CLOSING = "closing"  # The sending direction is closed, or will be once all output is written.
    CLOSED = "closed"


# Bound once for the request path: Python 3.11 takes 0.2 us to look up a member of an enum.
OPEN = ClientState.OPEN


@dataclass(eq=False, slots=True)
class ClientConnection:
    """A client's connection. Times are in Unix ms."""

    link: ClientLinkPort
    number: int = 0  # Counts the process's connections from 1; the event log names it.
    # Written by `ReplyQueues`.
    pending: deque[CommandReply | InFlightRequest] = field(default_factory=deque)  # In order of arrival.
    write_paused: bool = False
    unread_bytes: int = 0  # Bytes of replies that the client leaves unread; 0 while it reads.
    idle_since: float = 0.0  # Time of the last reply, or of accepting the connection.
    # Written by `ClientConnections`.
    state: ClientState = OPEN
    input_held: bool = False  # Too many commands are pending to parse further ones.
    unsent_bytes: int = 0  # `link.unsent_bytes()` at the last check of a connection that is not read.
    unsent_since: float = 0.0  # Last check that saw the client read.
    sent_request: bool = False  # Set by any well-formed request, even if it is rejected.
    malformed_since: float = 0.0
    closing_since: float = 0.0
    write_closed_at: float | None = None  # None until all replies are written.
    partial_since: float = 0.0  # First check that saw the current partial command; 0.0 without one.
    received_bytes: int = 0  # `link.received_bytes` at the last check of the partial command.
    progress_at: float = 0.0  # Last check of the partial command that saw new bytes.


class ClientConnections:
    """The state machine for all clients' connections of one gateway."""

    replies: ReplyQueues
    requests: InFlightRequests
    lifecycle: Lifecycle

    def __init__(self, context: Context) -> None:
        self.context = context
        self.connections: dict[ClientConnection, None] = {}
        self.accept_paused = False

    def attach(self, replies: ReplyQueues, requests: InFlightRequests, lifecycle: Lifecycle) -> None:
        """Set the state machines that this one calls."""
        self.replies = replies
        self.requests = requests
        self.lifecycle = lifecycle

    # Accepting connections.

    def reset_in_backlog(self) -> None:
        """Count a connection that its client reset before it was accepted; it ends with no further input."""
        self.context.counts[counter_names.CLIENT_LINKS_RESET] += 1

    def connected(self, link: ClientLinkPort) -> None:
        """Register an accepted connection; over the limits, evict idle ones, pause accepting or reset it."""
        context = self.context
        limits = context.limits
        context.counts[counter_names.CLIENT_LINKS] += 1
        number = context.counts[counter_names.CLIENT_LINKS]
        client = link.record = ClientConnection(link, number, idle_since=context.now)
        self.connections[client] = None
        if len(self.connections) >= limits.client_links:
            self._evict_idle(1)
        if len(self.connections) > limits.client_over:
            context.counts[counter_names.CLIENT_LINKS_OVER] += 1
            self.abort(client, "too many connections")
        elif len(self.connections) >= limits.client_most and not self.accept_paused:
            self._set_accepting(False)
            context.schedule(context.now + limits.fresh_ms, Input.CLIENT_LIMIT_CHECK)

    def _evict_idle(self, max_count: int) -> None:
        """Close up to `max_count` connections: first those that have sent no request, then the longest idle.

        Prevents the process from running out of file descriptors; the cost is borne by a client that opens
        connections before it needs them, or sends a command in pieces. A connection that was accepted or
        received a reply only recently stays open, as a command may be in flight; if all connections are such,
        accepting pauses.
        """
        context = self.context
        accepted_before = context.now - context.limits.fresh_ms
        idle_before = context.now - context.limits.rest_ms
        idle = [
            client
            for client in self.connections
            if client.state is OPEN
            and not client.pending
            and not client.write_paused
            and client.idle_since <= (idle_before if client.sent_request else accepted_before)
        ]
        for client in sorted(idle, key=lambda client: (client.sent_request, client.idle_since))[:max_count]:
            context.emit(
                client.link.check_unread, Input.CLIENT_IDLE if client.sent_request else Input.CLIENT_SILENT
            )

    def check_limit(self) -> None:
        """While accepting is paused, evict idle connections as fast as new silent ones arrive."""
        if self.accept_paused:
            self._evict_idle(len(self.connections))
            self.context.schedule(self.context.now + self.context.limits.fresh_ms, Input.CLIENT_LIMIT_CHECK)

    def _set_accepting(self, on: bool) -> None:
        self.accept_paused = not on
        self.context.emit(self.context.io.accept_connections, on)
        self.context.event_log.event(
            "accept resumed" if on else "accept paused",
            clients=len(self.connections),
            requests=len(self.requests.in_flight),
        )

    # Input from a client.

    def accepts_commands(self, client: ClientConnection) -> bool:
        """Return whether a received command is accepted; from some number on, further input is held.

        Prevents one connection from using up memory with endless commands behind a slow one.
        """
        if client.state is not OPEN:
            return False
        if len(client.pending) + 1 >= MAX_PENDING_COMMANDS and not client.input_held:
            client.input_held = True
            self.context.counts[counter_names.INPUT_HELD] += 1
            self.context.emit(client.link.hold_input)
        return True

    def replies_sent(self, client: ClientConnection) -> None:
        """Accept further input once half of the pending commands have their replies."""
        if client.input_held and len(client.pending) <= MAX_PENDING_COMMANDS // 2:
            client.input_held = False
            self.context.emit(client.link.release_input)

    def accepts_requests(self, client: ClientConnection) -> bool:
        """Return whether a received request is accepted; if so, the connection counts as used from now on."""
        if not self.accepts_commands(client):
            return False
        client.sent_request = True
        return True

    def malformed(self, client: ClientConnection, reason: str) -> None:
        """Send an error reply behind the outstanding replies and then close, as the input is no command."""
        context = self.context
        context.counts[counter_names.MALFORMED] += 1
        context.event_log.event(
            "client malformed", why=reason, client=client.number, requests=len(client.pending)
        )
        if client.state is OPEN:
            client.state = ClientState.MALFORMED
            client.malformed_since = context.now
            self.replies.reply(client, b"-ERR %b\r\n" % reason.encode("ascii", "replace")[:200])

    # Closing connections.

    def abort(self, client: ClientConnection, reason: str) -> None:
        """Reset a connection; one with pending commands is logged, as their replies are lost."""
        if client.pending:
            self.context.counts[counter_names.CLIENT_LINKS_UNANSWERED] += 1
            self.context.event_log.event(
                "client connection reset", why=reason, client=client.number, requests=len(client.pending)
            )
        self.context.emit(client.link.abort)

    def disconnected(self, client: ClientConnection) -> None:
        """Remove a disconnected connection, and resume accepting if it was paused and there is room again."""
        client.state = ClientState.CLOSED
        self.connections.pop(client, None)
        if self.accept_paused and len(self.connections) < self.context.limits.client_most:
            self._set_accepting(True)
        self.replies.discard(client)
        if self.lifecycle.shutting and not self.connections:
            self.context.follow_up(self.lifecycle.signal, LifecycleEvent.NO_CLIENTS)

    def close_silent(self, client: ClientConnection) -> None:
        """Close a connection that has sent no request, to free its file descriptor."""
        if client.state is OPEN and not client.sent_request and not client.pending:
            self.context.counts[counter_names.CLIENT_LINKS_SILENT] += 1
            self._set_closing(client, self.context.now)
            self.context.emit(client.link.close_both_sides)

    def close_idle(self, client: ClientConnection) -> None:
        """Close a connection that has been idle for too long."""
        if client.state is OPEN and not client.pending:
            self.context.counts[counter_names.CLIENT_LINKS_RESTED] += 1
            self._set_closing(client, self.context.now)
            self.context.emit(client.link.close_both_sides)

    def close_if_idle(self, client: ClientConnection) -> None:
        """Close a connection without pending commands or unread bytes, while the process shuts down.

        Prevents the loss of requests that cross the close: each request that has been read is answered.
        """
        if client.state is OPEN and not client.pending:
            self.context.emit(client.link.check_unread, Input.CLIENT_SHUTDOWN)

    def close_for_shutdown(self, client: ClientConnection) -> None:
        """Close an idle connection without unread bytes, while the process shuts down."""
        if client.state is not OPEN or client.pending or not self.lifecycle.shutting:
            return
        # The rest of a partial command, or the first request on a new connection, may be in flight, and has
        # `fresh_ms` to arrive. For a partial command, time before the listener closed does not count.
        if client.link.has_partial_message():
            since = max(self.lifecycle.closed_at, client.idle_since)
        else:
            since = float("-inf") if client.sent_request else client.idle_since
        if self.context.now - since > self.context.limits.fresh_ms:
            self._close(client)

    def replies_written(self, client: ClientConnection) -> None:
        """Close the connection if it is malformed or the process shuts down, as no reply is outstanding."""
        if client.state is ClientState.MALFORMED:
            self._close(client)
        elif self.lifecycle.shutting:
            self.close_if_idle(client)

    def write_closed(self, client: ClientConnection) -> None:
        """Record that the sending direction is closed; the client has `close_ms` to close its own."""
        client.write_closed_at = self.context.now

    def _close(self, client: ClientConnection) -> None:
        """Close the sending direction once all replies are written, within `flush_ms`."""
        self._set_closing(client, None)
        self.context.emit(client.link.close)

    def _set_closing(self, client: ClientConnection, write_closed_at: float | None) -> None:
        client.state = ClientState.CLOSING
        client.closing_since = self.context.now
        client.write_closed_at = write_closed_at

    # Periodic maintenance.

    def maintain(self) -> None:
        """Check each connection against the time limits.

        Prevents connections from staying open for clients that do not close their side, stop in the middle of
        a command, send nothing, or keep a connection that they no longer need.
        """
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
            # Input is not parsed until the client reads, so the connection is neither partial nor idle.
            client.partial_since = 0.0
            self._inspect_unread(client)
        elif client.link.input_waits():
            client.partial_since = 0.0
            self.context.emit(client.link.check_peer, bool(client.pending))
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
                self._abort_slow_reader(client)
                return
        elif context.now - client.write_closed_at > limits.close_ms:
            self.abort(client, "not closed by the client")
            return
        context.emit(client.link.drain_input)

    def _abort_slow_reader(self, client: ClientConnection) -> None:
        """Reset the connection of a client that leaves replies unread for too long."""
        self.context.counts[counter_names.SLOW_READERS] += 1
        self.abort(client, "replies not read in time")

    def _inspect_unread(self, client: ClientConnection) -> None:
        """Reset the connection of a client that has read nothing for `flush_ms` although replies wait."""
        context = self.context
        unsent_bytes = client.link.unsent_bytes()
        if unsent_bytes != client.unsent_bytes or not client.unsent_since:
            client.unsent_bytes = unsent_bytes
            client.unsent_since = context.now
        if context.now - client.unsent_since > context.limits.flush_ms:
            self._abort_slow_reader(client)
            return
        context.emit(client.link.check_peer, bool(client.pending))

    def _inspect_idle(self, client: ClientConnection) -> None:
        context = self.context
        limits = context.limits
        idle_limit_ms = limits.rest_ms if client.sent_request else limits.half_ms
        idle_ms = context.now - client.idle_since
        if client.pending or idle_ms <= idle_limit_ms:
            return
        if idle_ms > limits.flush_ms and client.link.unsent_bytes():
            self._abort_slow_reader(client)
            return
        # Sends no error reply, which a client could take for that to a request that crosses the close.
        context.emit(client.link.check_unread, Input.CLIENT_IDLE)

    def _inspect_partial(self, client: ClientConnection) -> None:
        """Reject a partial command that makes no progress or takes too long in total.

        Prevents long commands on slow connections from being rejected: `half_ms` counts from the last bytes
        received. `half_most_ms` bounds the whole command.
        """
        now = self.context.now
        limits = self.context.limits
        if not client.partial_since or client.received_bytes != client.link.received_bytes:
            client.partial_since = client.partial_since or now
            client.received_bytes = client.link.received_bytes
            client.progress_at = now
            if now - client.partial_since > limits.half_most_ms:
                self.malformed(client, COMMAND_NOT_ENDED)
        elif now - client.progress_at > limits.half_ms:
            self.malformed(client, COMMAND_NOT_ENDED)
