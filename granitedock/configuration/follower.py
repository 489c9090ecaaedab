"""Following the configuration of one of several control processes. No I/O.

The state machine of a follower, gateway or replica alike: which address, when, and when a connection is given
up. It goes on by what it has for as long as no control process can be reached.
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
from granitedock.configuration.message_handler import MOST_REASON, MessageHandler
from granitedock.state_table import advance


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """Who follows, and whom: its name, its cluster, the addresses of control processes, and its times."""

    name: str
    cluster: str
    addresses: list[str]
    timing: FollowerTiming = field(default_factory=FollowerTiming)


def count_nowhere(_name: str) -> None:
    """Count nothing beyond the follower's own counters."""


class Follower:
    """One follower. Its inputs' `now` is in ms of any clock that never steps back.

    `log(event, **figures)` logs what an operator should see, `count_outside(name)` is called for each count.
    """

    def __init__(
        self,
        settings: FollowerSettings,
        document: FollowedDocument,
        transport: TransportPort,
        random: Random,
        log: EventLogger,
        count_outside: Callable[[str], None] = count_nowhere,
    ) -> None:
        self.name = settings.name
        self.cluster = settings.cluster
        self.timing = settings.timing
        self.document = document
        self.transport = transport
        self.log = log
        self.count_outside = count_outside
        self.counts: Counter[str] = Counter()
        self.handler = MessageHandler(settings.cluster, document, transport, log, self.count)
        addresses = address_order(settings.name, settings.addresses)
        self.schedule = ReconnectSchedule(addresses, settings.timing, random)
        self.connection = Connection(self.schedule.address)
        self.now = 0.0
        self.running = False

    def count(self, name: str) -> None:
        """Count an event, here and outside."""
        self.counts[name] += 1
        self.count_outside(name)

    def status(self) -> FollowingRecord:
        """Whom it follows and what it counted, as JSON can hold it."""
        connection = self.connection
        return {
            "control": connection.address,
            "state": connection.state.value,
            "addresses": self.schedule.addresses,
            "counts": dict(self.counts),
        }

    # Inputs.

    def start(self, now: float) -> None:
        """Begin to follow."""
        self.now = now
        self.running = True
        self.connect_due()

    def stop(self, now: float) -> None:
        """End the connection; no further one is begun."""
        self.now = now
        self.running = False
        if self.connection.network is not None:
            self.transport.abort(self.connection)

    def connected(self, connection: Connection, network: WatchConnection, now: float) -> None:
        """A connection is up."""
        self.now = now
        connection.network = network
        connection.heard_at = now
        self.advance(connection, ConnectionEvent.CONNECTED)

    def disconnected(self, connection: Connection, now: float) -> None:
        """A connection has ended, or could not be made."""
        self.now = now
        self.advance(connection, ConnectionEvent.DISCONNECTED)

    def reject(self, connection: Connection, why: str, now: float) -> None:
        """What came is no watch on the configuration: another status, another cluster, no message."""
        self.now = now
        self.count("refused")
        self.log("control connection rejected", control=connection.address, why=why[:MOST_REASON])
        self.advance(connection, ConnectionEvent.REJECTED)

    def line_received(self, connection: Connection, line: bytes, now: float) -> None:
        """One line from control, without its end; an empty one is a heartbeat."""
        self.now = now
        expected = connection.state in (ConnectionState.AWAITING_FIRST_LINE, ConnectionState.FOLLOWING)
        if connection is not self.connection or not expected:
            return
        connection.heard_at = now
        if not line.strip():
            self.advance(connection, ConnectionEvent.LINE_RECEIVED)
            return
        try:
            message = decode(line)
            self.advance(connection, ConnectionEvent.LINE_RECEIVED)
            self.schedule.message_received()
            self.handler.handle(connection, message, now)
        except ConfigurationError as fault:
            self.reject(connection, str(fault), now)

    def check_timeouts(self, now: float) -> None:
        """Periodic check: silence, control that stays behind, and the way back to the first address."""
        self.now = now
        connection = self.connection
        timeout = self.silence_timeout(connection.state)
        if timeout is not None and now - connection.heard_at > timeout:
            self.count("silences")
            self.advance(connection, ConnectionEvent.TIMED_OUT)
        elif connection.behind_since is not None and now - connection.behind_since > self.timing.behind_ms:
            self.count("behind")
            self.log("control is behind", control=connection.address, version=self.document.version)
            self.advance(connection, ConnectionEvent.BEHIND)
        elif now >= self.schedule.return_at and connection.snapshot is None:
            self.advance(connection, ConnectionEvent.RETURN_DUE)

    def silence_timeout(self, state: ConnectionState) -> float | None:
        """How long control may be silent in this state, ms; None where nothing is expected of it."""
        if state is ConnectionState.AWAITING_FIRST_LINE:
            return self.timing.first_line_ms
        if state is ConnectionState.FOLLOWING:
            return self.timing.silence_ms
        return None

    # Effects of the table.

    def advance(self, connection: Connection, event: ConnectionEvent) -> None:
        """Apply an event to a connection."""
        advance(TRANSITIONS, connection, event, self)

    def connect(self, connection: Connection) -> None:
        """Begin to connect."""
        self.count("dials")
        self.schedule.connecting(connection.address, self.now)
        self.transport.connect(connection, connection.address)

    def try_next_address(self, connection: Connection) -> None:
        """Connect to the next address after a growing wait, if this connection was not replaced already."""
        if connection is self.connection and self.running:
            self.connect_later(self.schedule.next_address())

    def connect_later(self, wait_ms: float) -> None:
        """Replace the connection by one to the address whose turn it is, begun after `wait_ms`."""
        self.connection = Connection(self.schedule.address)
        self.transport.call_later(wait_ms, self.connect_due)

    def connect_due(self) -> None:
        """Connect now, unless the follower was stopped."""
        if self.running:
            self.advance(self.connection, ConnectionEvent.CONNECT_DUE)

    def abort(self, connection: Connection) -> None:
        """End a connection at once."""
        self.transport.abort(connection)

    def abort_and_try_next(self, connection: Connection) -> None:
        """End a connection and go on to the next address."""
        self.abort(connection)
        self.try_next_address(connection)

    def abort_and_try_first(self, connection: Connection) -> None:
        """End a connection and go back to the first address.

        Guards against a load that stays uneven once a lost control process is back.
        """
        self.abort(connection)
        if connection is self.connection and self.running:
            self.schedule.first_address()
            self.connect_later(0.0)
