"""Replies to clients: each leaves in the order of the commands on its connection (RESP pipelining).

Owns what waits for its reply on each connection, the bytes of replies that wait behind others, and write
back-pressure.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from granitedock.service import counter_names
from granitedock.service.in_flight_requests import InFlightRequest

if TYPE_CHECKING:
    from granitedock.service.client_connections import ClientConnection, ClientConnections
    from granitedock.service.context import Context
    from granitedock.service.in_flight_requests import InFlightRequests


@dataclass(eq=False, slots=True)
class CommandReply:
    """The place of a command that is no request among the replies of its connection."""

    answer: bytes | None = None


class ReplyQueues:
    """The state machine of all reply queues of one gateway."""

    clients: ClientConnections
    requests: InFlightRequests

    def __init__(self, context: Context) -> None:
        self.context = context
        self.buffered_bytes = 0  # replies that wait behind others

    def attach(self, clients: ClientConnections, requests: InFlightRequests) -> None:
        """Set the machines that this one calls."""
        self.clients = clients
        self.requests = requests

    def append(self, client: ClientConnection, waiting: CommandReply | InFlightRequest) -> None:
        """A command was taken whose reply comes later."""
        client.pending.append(waiting)

    def reply(self, client: ClientConnection, answer: bytes) -> None:
        """A command was taken whose reply is there already."""
        waiting = CommandReply()
        client.pending.append(waiting)
        self.fill(client, waiting, answer)

    def fill(self, client: ClientConnection, waiting: CommandReply | InFlightRequest, answer: bytes) -> None:
        """A reply is there; it is written once those before it are."""
        waiting.answer = answer
        pending = client.pending
        self.buffered_bytes += len(answer)
        if pending[0] is not waiting:
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
            client.unread_bytes += len(data)
            if client.unread_bytes > self.context.limits.unread:
                # Guards the memory against clients that read nothing.
                self.context.counts[counter_names.SLOW_READERS] += 1
                self.context.emit(client.link.abort)
                return
        if not pending:
            self.clients.replies_written(client)

    def write_paused(self, client: ClientConnection) -> None:
        """The client reads too slowly: what is written from now on is kept by the connection."""
        client.write_paused = True

    def write_resumed(self, client: ClientConnection) -> None:
        """The client has read what was written."""
        client.write_paused = False
        client.unread_bytes = 0

    def discard(self, client: ClientConnection) -> None:
        """The connection has ended: nothing that waits there is written any more."""
        for waiting in client.pending:
            if waiting.answer is not None:
                self.buffered_bytes -= len(waiting.answer)
            elif isinstance(waiting, InFlightRequest):
                waiting.answer = b""
                self.requests.client_disconnected(waiting)
        client.pending.clear()

    def fail_pending(self, client: ClientConnection) -> None:
        """Fail each request on this connection that has no reply."""
        for waiting in list(client.pending):
            if isinstance(waiting, InFlightRequest) and waiting.answer is None:
                self.requests.abandon(waiting)
