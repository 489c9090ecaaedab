"""State machine of a configuration follower, which is a gateway or a replica. No I/O.

Chooses which of several control processes to connect to and when, and decides when a connection is
abandoned. While no control process can be reached, the configuration in force stays in force.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from granitedock.configuration.errors import ConfigurationError
from granitedock.configuration.follower_ports import EventLogger, FollowedDocument, TransportPort
from granitedock.configuration.follower_states import (
    TRANSITIONS,
    Connection,
    ConnectionEvent,
    ConnectionState,
    WatchConnection,
)
from granitedock.configuration.follower_timing import FollowerTiming, ReconnectSchedule, address_order
from granitedock.configuration.http_records import FollowingRecord
from granitedock.configuration.message_codec import decode
from granitedock.configuration.message_handler import MAX_REASON_CHARACTERS, MessageHandler
from granitedock.state_table import advance


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """Settings of a follower: its name, its cluster, the control processes' addresses, and its timeouts."""

    name: str
    cluster: str
    addresses: list[str]
    timing: FollowerTiming = field(default_factory=FollowerTiming)


def ignore_count(_name: str) -> None:
    """Do nothing; with this default of `report_count`, only the follower's own counters record events."""


class Follower:
    """One follower; `now` of each input is in ms of any monotonic clock.

    `log(event, **figures)` logs events for operators. `report_count(name)` is called for each counted event.
    """

    def __init__(
        self,
        settings: FollowerSettings,
        document: FollowedDocument,
        transport: TransportPort,
        random: Random,
        log: EventLogger,
        report_count: Callable[[str], None] = ignore_count,
    ) -> None:
        self.name = settings.name
        self.cluster = settings.cluster
        self.timing = settings.timing
        self.document = document
        self.transport = transport
        self.log = log
        self.report_count = report_count
        self.counts: Counter[str] = Counter()
        self.handler = MessageHandler(settings.cluster, document, transport, log, self.count)
        addresses = address_order(settings.name, settings.addresses)
        self.schedule = ReconnectSchedule(addresses, settings.timing, random)
        self.connection = Connection(self.schedule.address)
        self.now = 0.0
        self.running = False

    def count(self, name: str) -> None:
        """Count an event in the follower's counters, and report it to `report_count`."""
        self.counts[name] += 1
        self.report_count(name)

    def status(self) -> FollowingRecord:
        """Return the control process that is followed, and the counters, as JSON-compatible values."""
        connection = self.connection
        return {
            "control": connection.address,
            "state": connection.state.value,
            "addresses": self.schedule.addresses,
            "counts": dict(self.counts),
        }

    # Inputs.

    def start(self, now: float) -> None:
        """Start following: connect to the first address."""
        self.now = now
        self.running = True
        self.connect_due()

    def stop(self, now: float) -> None:
        """Abort the connection and open no further one."""
        self.now = now
        self.running = False
        if self.connection.network is not None:
            self.transport.abort(self.connection)

    def connected(self, connection: Connection, network: WatchConnection, now: float) -> None:
        """Handle an established connection."""
        self.now = now
        connection.network = network
        connection.last_received_at = now
        self.advance(connection, ConnectionEvent.CONNECTED)

    def disconnected(self, connection: Connection, now: float) -> None:
        """Handle a connection that has closed or could not be established."""
        self.now = now
        self.advance(connection, ConnectionEvent.DISCONNECTED)

    def reject(self, connection: Connection, reason: str, now: float) -> None:
        """Reject a response that is no watch on this cluster's configuration.

        The reasons are another HTTP status, another cluster, a line that is not a valid message, and a
        message that cannot be applied.
        """
        self.now = now
        self.count("refused")
        self.log(
            "control connection rejected", control=connection.address, why=reason[:MAX_REASON_CHARACTERS]
        )
        self.advance(connection, ConnectionEvent.REJECTED)

    def line_received(self, connection: Connection, line: bytes, now: float) -> None:
        """Handle one line from the control process, without its line end; an empty line is a heartbeat.

        A line of a connection that has been replaced is ignored.
        """
        self.now = now
        expected = connection.state in (ConnectionState.AWAITING_FIRST_LINE, ConnectionState.FOLLOWING)
        if connection is not self.connection or not expected:
            return
        connection.last_received_at = now
        if not line.strip():
            self.advance(connection, ConnectionEvent.LINE_RECEIVED)
            return
        try:
            message = decode(line)
            self.advance(connection, ConnectionEvent.LINE_RECEIVED)
            self.schedule.reset_backoff()
            self.handler.handle(connection, message, now)
        except ConfigurationError as error:
            self.reject(connection, str(error), now)

    def check_timeouts(self, now: float) -> None:
        """Abandon the connection if no line arrives on it, or if its control process remains behind.

        Also abandons it when the return to the first address is due and no snapshot is being received. Must
        be called periodically.
        """
        self.now = now
        connection = self.connection
        timeout = self.silence_timeout(connection.state)
        if timeout is not None and now - connection.last_received_at > timeout:
            self.count("silences")
            self.advance(connection, ConnectionEvent.TIMED_OUT)
        elif (
            connection.behind_since is not None
            and now - connection.behind_since > self.timing.behind_timeout_ms
        ):
            self.count("behind")
            self.log("control is behind", control=connection.address, version=self.document.version)
            self.advance(connection, ConnectionEvent.BEHIND)
        elif now >= self.schedule.return_at and connection.snapshot is None:
            self.advance(connection, ConnectionEvent.RETURN_DUE)

    def silence_timeout(self, state: ConnectionState) -> float | None:
        """Return the silence timeout of this state, in ms, or None if no line is expected in it."""
        if state is ConnectionState.AWAITING_FIRST_LINE:
            return self.timing.first_line_timeout_ms
        if state is ConnectionState.FOLLOWING:
            return self.timing.silence_timeout_ms
        return None

    # Effects named in the transition table.

    def advance(self, connection: Connection, event: ConnectionEvent) -> None:
        """Apply an event to a connection by the transition table."""
        advance(TRANSITIONS, connection, event, self)

    def connect(self, connection: Connection) -> None:
        """Start connecting to the connection's address."""
        self.count("dials")
        self.schedule.connection_started(connection.address, self.now)
        self.transport.connect(connection, connection.address)

    def try_next_address(self, connection: Connection) -> None:
        """Connect to the next address after a backoff.

        Does nothing if this connection has already been replaced or the follower has been stopped.
        """
        if connection is self.connection and self.running:
            self.connect_later(self.schedule.advance_address())

    def connect_later(self, wait_ms: float) -> None:
        """Replace the connection by one to the schedule's address, and open it after `wait_ms`."""
        self.connection = Connection(self.schedule.address)
        self.transport.call_later(wait_ms, self.connect_due)

    def connect_due(self) -> None:
        """Connect now, unless the follower has been stopped."""
        if self.running:
            self.advance(self.connection, ConnectionEvent.CONNECT_DUE)

    def abort(self, connection: Connection) -> None:
        """Abort a connection."""
        self.transport.abort(connection)

    def abort_and_try_next(self, connection: Connection) -> None:
        """Abort a connection and connect to the next address."""
        self.abort(connection)
        self.try_next_address(connection)

    def abort_and_try_first(self, connection: Connection) -> None:
        """Abort a connection and connect to the first address.

        Prevents load that stays uneven among the control processes after a failed one has recovered.
        """
        self.abort(connection)
        if connection is self.connection and self.running:
            self.schedule.return_to_first_address()
            self.connect_later(0.0)
