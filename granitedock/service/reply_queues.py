"""The queues of replies to clients: replies are written in the order of the commands (RESP pipelining).

Owns the pending commands of each connection, the bytes of replies that are queued behind others, and write
backpressure.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from granitedock.service import counter_names
from granitedock.service.client_connections import ClientState
from granitedock.service.in_flight_requests import FAILED, InFlightRequest

if TYPE_CHECKING:
    from granitedock.service.client_connections import ClientConnection, ClientConnections
    from granitedock.service.context import Context
    from granitedock.service.in_flight_requests import InFlightRequests

SHORT_REPLY_BYTES = 64  # Errors and the replies to PING; their number is bounded.


@dataclass(eq=False, slots=True)
class CommandReply:
    """A place in the reply queue of a connection for a command other than a request."""

    answer: bytes | None = None


class ReplyQueues:
    """The state machine for all reply queues of one gateway."""

    clients: ClientConnections
    requests: InFlightRequests

    def __init__(self, context: Context) -> None:
        self.context = context
        self.unread_bytes = 0  # Bytes that clients leave unread, where they are known not to read.
        self.buffered_bytes = 0  # Bytes of replies that are queued behind others.

    def attach(self, clients: ClientConnections, requests: InFlightRequests) -> None:
        """Set the state machines that this one calls."""
        self.clients = clients
        self.requests = requests

    def append(self, client: ClientConnection, entry: CommandReply | InFlightRequest) -> None:
        """Queue an accepted command whose reply is filled in later."""
        client.pending.append(entry)

    def reply(self, client: ClientConnection, answer: bytes) -> None:
        """Queue an accepted command together with its reply."""
        entry = CommandReply()
        client.pending.append(entry)
        self.fill(client, entry, answer)

    def fill(self, client: ClientConnection, entry: CommandReply | InFlightRequest, answer: bytes) -> None:
        """Fill in a reply; it is written once all replies before it are.

        A long one for which there is no memory, as clients leave others unread, becomes an error. It is
        always correct, since it does not state whether a request ran.
        """
        pending = client.pending
        if len(answer) > SHORT_REPLY_BYTES and not self._has_room(client, pending[0] is entry, len(answer)):
            self.context.counts[counter_names.REPLIES_REPLACED] += 1
            answer = FAILED
        entry.answer = answer
        self.buffered_bytes += len(answer)
        if pending[0] is not entry:
            return
        ready = []
        while pending and (reply := pending[0].answer) is not None:
            first = pending.popleft()
            ready.append(reply)
            first.answer = b""
        data = b"".join(ready)
        self.buffered_bytes -= len(data)
        client.idle_since = self.context.now
        self.context.emit(client.link.send, data)
        if client.write_paused:
            self._count_unread(client, client.unread_bytes + len(data))
        self.clients.replies_sent(client)
        if not pending:
            self.clients.replies_written(client)

    def _has_room(self, client: ClientConnection, is_next: bool, reply_bytes: int) -> bool:
        """Return whether a reply of this length may be buffered; `is_next` is whether it is written now."""
        limits = self.context.limits
        if not is_next:
            return self.buffered_bytes + reply_bytes <= limits.held
        if not client.write_paused:  # The kernel probably takes it.
            return self.unread_bytes + reply_bytes <= 2 * limits.all_unread
        return (
            client.unread_bytes + reply_bytes <= limits.unread
            and self.unread_bytes + reply_bytes <= limits.all_unread
        )

    def _count_unread(self, client: ClientConnection, unread_bytes: int) -> None:
        self.unread_bytes += unread_bytes - client.unread_bytes
        client.unread_bytes = unread_bytes

    def write_paused(self, client: ClientConnection) -> None:
        """Count output as unread: the client reads too slowly, and the connection buffers it."""
        if client.state is not ClientState.CLOSED:
            client.write_paused = True
            client.unsent_since = 0.0
            self._count_unread(client, client.link.unsent_bytes())

    def write_resumed(self, client: ClientConnection) -> None:
        """Reset the count of unread output, as the client has read the buffered bytes."""
        client.write_paused = False
        self._count_unread(client, 0)

    def discard(self, client: ClientConnection) -> None:
        """Drop all pending entries of a disconnected connection, and release its unanswered requests."""
        self._count_unread(client, 0)
        for entry in client.pending:
            if entry.answer is not None:
                self.buffered_bytes -= len(entry.answer)
            elif isinstance(entry, InFlightRequest):
                entry.answer = b""
                self.requests.client_disconnected(entry)
        client.pending.clear()

    def fail_pending(self, client: ClientConnection) -> None:
        """Fail each request on this connection that has no reply yet."""
        for entry in list(client.pending):
            if isinstance(entry, InFlightRequest) and entry.answer is None:
                self.requests.abandon(entry)
