"""The listener of a control process and its periodic work on all connections (paths: `http_paths.py`)."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Factory

from granitedock.configuration.control_connection import ControlConnection
from granitedock.configuration.control_node import ControlNode
from granitedock.configuration.follower_ports import EventLogger
from granitedock.configuration.follower_session import FollowerSession
from granitedock.configuration.messages import VersionedChange

HEARTBEAT_S = 1.0
BACKLOG = 512


class ControlServer:
    """The listener of one control process; `log(event, **figures)` logs an event for operators."""

    def __init__(self, reactor: Any, node: ControlNode, log: EventLogger) -> None:
        self.reactor = reactor
        self.node = node
        self.log = log
        self.connections: set[ControlConnection] = set()
        self.port: Any = None
        node.notify = self.notify

    def listen(self, address: str) -> str:
        """Listen at HOST:PORT, where port 0 means any free port.

        Returns the address with the actual port. Raises CannotListenError.
        """
        host, _, port = address.rpartition(":")
        factory = Factory.forProtocol(lambda: ControlConnection(self))
        factory.noisy = False
        self.port = self.reactor.listenTCP(int(port), factory, backlog=BACKLOG, interface=host.strip("[]"))
        self.reactor.callLater(HEARTBEAT_S, self.heartbeat)
        return f"{host}:{self.port.getHost().port}"

    def close(self) -> Any:
        """Stop listening and abort all connections.

        Returns a Deferred that fires when the listener has stopped.
        """
        stopped = self.port.stopListening()
        self.port = None
        for connection in list(self.connections):
            connection.close()
        return stopped

    def notify(self, sessions: list[FollowerSession]) -> None:
        """Write pending lines to these followers, as far as their connections accept them."""
        for session in sessions:
            if session.connection.writable:
                session.connection.write_pending_lines()

    def start_queued_snapshots(self) -> None:
        """Start queued snapshots up to the limit, and write to their followers."""
        self.notify(self.node.publisher.start_queued_snapshots())

    def heartbeat(self) -> None:
        """Send heartbeats, and close connections that are idle or whose snapshot has stalled.

        Runs every HEARTBEAT_S.
        """
        if self.port is None:
            return
        publisher = self.node.publisher
        for session in publisher.stalled_sessions(self.node.clock()):
            publisher.counts["stalled"] += 1
            session.connection.close()
        for connection in list(self.connections):
            connection.heartbeat()
        self.reactor.callLater(HEARTBEAT_S, self.heartbeat)

    # Events of connections (`ConnectionOwner`).

    def connection_opened(self, connection: ControlConnection) -> None:
        """Record a new connection."""
        self.connections.add(connection)

    def connection_closed(self, connection: ControlConnection) -> None:
        """Remove a connection that has ended; its snapshot slot, if any, goes to the next queued session."""
        self.connections.discard(connection)
        if connection.session is not None:
            self.node.publisher.close_session(connection.session)
            self.start_queued_snapshots()

    def request_rejected(self, reason: str) -> None:
        """Count and log a request that is answered with an error, or a malformed report.

        The caller closes its connection.
        """
        self.node.publisher.counts["refused"] += 1
        self.log("request rejected", why=reason)

    def change_applied(self, change: VersionedChange, source: str) -> None:
        """Log an operator's change that has come into force."""
        self.log("configuration changed", version=change.version, entries=len(change.edit), by=source)
