"""Clients' commands other than requests: PING, INFO and further commands that only report a status.

Owns the PINGs that wait for the gateway to serve, and the status commands that other packages register.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from granitedock.service import counter_names
from granitedock.service.client_connections import ClientState
from granitedock.service.in_flight_requests import REJECTED
from granitedock.service.lifecycle import LifecycleState
from granitedock.service.reply_queues import CommandReply
from granitedock.service.resp import encode_bulk_string

if TYPE_CHECKING:
    from granitedock.service.client_connections import ClientConnection, ClientConnections
    from granitedock.service.context import Context
    from granitedock.service.host_connections import HostConnections
    from granitedock.service.in_flight_requests import InFlightRequests
    from granitedock.service.lifecycle import Lifecycle
    from granitedock.service.reply_queues import ReplyQueues

PONG = b"+PONG\r\n"
CLOSING = b"-ERR closing\r\n"


class ClientCommands:
    """Replies to commands other than requests."""

    clients: ClientConnections
    replies: ReplyQueues
    requests: InFlightRequests
    hosts: HostConnections
    lifecycle: Lifecycle

    def __init__(self, context: Context) -> None:
        self.context = context
        self.waiting_pings: list[tuple[ClientConnection, CommandReply]] = []
        self.status_commands: dict[bytes, Callable[[], bytes]] = {}  # By name; each returns the reply.

    def attach(
        self,
        clients: ClientConnections,
        replies: ReplyQueues,
        requests: InFlightRequests,
        hosts: HostConnections,
        lifecycle: Lifecycle,
    ) -> None:
        """Set the state machines that this one calls."""
        self.clients = clients
        self.replies = replies
        self.requests = requests
        self.hosts = hosts
        self.lifecycle = lifecycle

    def received(self, client: ClientConnection, name: bytes) -> None:
        """Reply to a command; `name` is in capitals."""
        if not self.clients.accepts_commands(client):
            return
        if name == b"PING":
            self._ping(client)
        elif self.requests.bytes_in_flight() > self.context.limits.held:
            self.replies.reply(client, REJECTED)  # The other replies are long.
        elif name == b"INFO":
            lines = b"".join(b"%b:%d\r\n" % row for row in self.counters())
            self.replies.reply(client, encode_bulk_string(lines))
        elif name in (b"CLIENT", b"SELECT"):
            self.replies.reply(client, b"+OK\r\n")
        elif name in self.status_commands:
            self.replies.reply(client, encode_bulk_string(self.status_commands[name]()))
        else:
            self.replies.reply(client, b"-ERR unknown command\r\n")

    def shed(self, client: ClientConnection) -> None:
        """Reject a command whose contents were dropped, because too many are received in part.

        It was never sent to a host, so that it may be repeated.
        """
        if self.clients.accepts_requests(client):
            self.context.counts[counter_names.COMMANDS_SHED] += 1
            self.replies.reply(client, REJECTED)

    def _ping(self, client: ClientConnection) -> None:
        if self.lifecycle.state is LifecycleState.STARTING:
            entry = CommandReply()
            self.replies.append(client, entry)
            self.waiting_pings.append((client, entry))
        else:
            self.replies.reply(client, CLOSING if self.lifecycle.shutting else PONG)

    def answer_pings(self, serving: bool) -> None:
        """Reply to each queued PING, as the gateway begins to serve or to shut down.

        Skips a PING whose connection closed during the start, as when the load balancer in front times out
        while discovery is slow at a release. The reply queue of that connection is gone; filling it would
        fail before the requests queued at start are released, so that each of them would end only by its
        watchdog (herd+vast).
        """
        answer = PONG if serving else CLOSING
        for client, entry in self.waiting_pings:
            if client.state is not ClientState.CLOSED:
                self.replies.fill(client, entry, answer)
        self.waiting_pings = []

    def counters(self) -> list[tuple[bytes, int]]:
        """Return the counters and gauges that INFO reports, sorted by name."""
        gauges = {
            counter_names.TASKS_NOW: len(self.requests.in_flight),
            counter_names.CLIENT_LINKS_NOW: len(self.clients.connections),
            counter_names.HOST_LINKS_NOW: self.hosts.open_count,
            counter_names.HELD_BYTES_NOW: self.requests.bytes_in_flight(),
            counter_names.ACCOUNTS_NOW: len(self.requests.policy.rate_limiter.accounts),
            counter_names.TIMERS_NOW: self.context.io.timer_count(),
        }
        figures = {**self.context.counts, **gauges}
        return [(name.encode(), number) for name, number in sorted(figures.items())]
