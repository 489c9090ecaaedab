"""The listener of a control process, and its periodic work for all connections (paths: `http_paths.py`)."""

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
    """The listener of one control process. `log(event, **figures)` logs what an operator should see."""

    def __init__(self, reactor: Any, node: ControlNode, log: EventLogger) -> None:
        self.reactor = reactor
        self.node = node
        self.log = log
        self.connections: set[ControlConnection] = set()
        self.port: Any = None
        node.notify = self.notify

    def listen(self, address: str) -> str:
        """Listen at HOST:PORT (port 0: any free one); the address. Raises CannotListenError."""
        host, _, port = address.rpartition(":")
        factory = Factory.forProtocol(lambda: ControlConnection(self))
        factory.noisy = False
        self.port = self.reactor.listenTCP(int(port), factory, backlog=BACKLOG, interface=host.strip("[]"))
        self.reactor.callLater(HEARTBEAT_S, self.heartbeat)
        return f"{host}:{self.port.getHost().port}"

    def close(self) -> Any:
        """Stop listening and end all connections; a Deferred of the listener's end."""
        stopped = self.port.stopListening()
        self.port = None
        for connection in list(self.connections):
            connection.close()
        return stopped

    def notify(self, sessions: list[FollowerSession]) -> None:
        """Write to these followers, as far as their connections take it."""
        for session in sessions:
            if session.connection.writable:
                session.connection.write_next()

    def next_snapshots(self) -> None:
        """Write to the followers whose turn for a snapshot has come."""
        self.notify(self.node.publisher.next_snapshots())

    def heartbeat(self) -> None:
        """Each second: a heartbeat for the followers, and an end to snapshots that do not progress."""
        if self.port is None:
            return
        publisher = self.node.publisher
        for session in publisher.stalled(self.node.clock()):
            publisher.counts["stalled"] += 1
            session.connection.close()
        for connection in list(self.connections):
            connection.heartbeat()
        self.reactor.callLater(HEARTBEAT_S, self.heartbeat)

    # What connections report.

    def opened(self, connection: ControlConnection) -> None:
        """A connection is up."""
        self.connections.add(connection)

    def closed(self, connection: ControlConnection) -> None:
        """A connection has ended; a follower's place goes to the next."""
        self.connections.discard(connection)
        if connection.session is not None:
            self.node.publisher.close_session(connection.session)
            self.next_snapshots()

    def rejected(self, why: str) -> None:
        """A request or a report was malformed: it is counted and logged, and its connection ends."""
        self.node.publisher.counts["refused"] += 1
        self.log("request rejected", why=why)

    def change_applied(self, change: VersionedChange, source: str) -> None:
        """A change of the operators' came in force."""
        self.log("configuration changed", version=change.version, entries=len(change.edit), by=source)
