"""Emulated hosts: many RESP2 servers on loopback in one Twisted process, each under its scenario's faults.

Each host listens on its own port, processes `slots` requests concurrently, queues at most `queue` more, and
rejects further requests with `-BUSY`. `host_faults.draw_reply` determines the reply to each request: a value
after the service time, an error, a rejection, no reply, half a reply followed by silence, or a reset of the
connection. A killed host closes its listener and its connections immediately, as a killed process does. The
emulator uses the framing of the service (`service/resp.py`).

`python -m granitedock.lab.emulators.hosts SCENARIO` prints one JSON line,
{"zone/n": "127.A.B.1:port", ...}, and serves until SIGTERM. Source: docs/lab-design.md ("Where the emulated
hosts run").
"""

from __future__ import annotations

import re
import sys
import time
from collections import deque
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from granitedock.lab.emulators.process import LOOPBACK, close_abruptly, listen_on_loopback, run_until_sigterm
from granitedock.lab.faults.host_faults import (
    HostCondition,
    ReplyKind,
    draw_reply,
    faults_of_host,
    host_condition,
)
from granitedock.lab.load.observations import HostAttempt
from granitedock.lab.reactor import REACTOR
from granitedock.lab.resp_connection import RespConnection
from granitedock.lab.scenario import Fault, Scenario, Zone, load

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.internet.posixbase import PosixReactorBase
    from twisted.internet.tcp import Server

Clock = Callable[[], float]  # ms

VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"  # a value whose two unit fields are null
REQUEST_ID = re.compile(rb"[0-9a-f]{1,16}").fullmatch
REQUEST_ID_POSITION = 2  # a request is its command, the customer, the request's id and more
REPLIES = {
    ReplyKind.VALUE: VALUE,
    ReplyKind.ERROR: b"-ERR emulated\r\n",
    ReplyKind.BUSY: b"-BUSY\r\n",
    ReplyKind.HALF: VALUE[: len(VALUE) // 2],
}
ATTEMPT_ENDING_REPLIES = (ReplyKind.VALUE, ReplyKind.ERROR, ReplyKind.BUSY, ReplyKind.RESET)
CHECK_INTERVAL_S = 0.5


class HostEmulator:
    """An emulated host: its slots and queue, its faults and its connections."""

    def __init__(
        self,
        name: str,
        zone: Zone,
        faults: list[Fault],
        random: Random,
        clock: Clock,
        reactor: PosixReactorBase,
    ) -> None:
        """`clock` returns the time of the run in ms."""
        self.name = name
        self.zone = zone
        self.faults = faults
        self.random = random
        self.clock = clock
        self.reactor = reactor
        self.timeline_start_ms = clock()
        self.up_since_ms = self.timeline_start_ms
        self.in_service = 0
        self.queue: deque[tuple[HostServerConnection, HostAttempt]] = deque()
        self.connections: set[HostServerConnection] = set()
        self.port: IListeningPort | None = None
        self.port_number = 0
        self.received = 0  # complete requests received
        self.failed = 0  # requests received for which the drawn reply is not a value
        self.stopped = False
        self.attempts: list[HostAttempt] = []  # all requests received, with times on the monotonic clock
        self.starts: list[float] = []  # times on the monotonic clock at which the host came up again

    def condition(self) -> HostCondition:
        """Return the current condition of the host."""
        since_start_ms = self.clock() - self.timeline_start_ms
        up_since_ms = self.up_since_ms - self.timeline_start_ms
        return host_condition(self.faults, self.zone.warm_up_s, since_start_ms, up_since_ms)

    def restart_timeline(self, clock: Clock) -> None:
        """Restart the timeline of the faults now, when `clock` returns 0."""
        self.clock = clock
        self.timeline_start_ms = 0.0
        self.up_since_ms = 0.0

    def receive_request(self, connection: HostServerConnection, request_id: int) -> None:
        """Process a complete request, queue it, or reject it as busy."""
        self.received += 1
        peer_port = connection.transport.getPeer().port
        attempt = HostAttempt(request_id, self.name, time.monotonic(), peer_port=peer_port)
        connection.last_attempt = attempt
        self.attempts.append(attempt)
        if self.in_service < self.zone.slots:
            self.start_service(connection, attempt)
        elif len(self.queue) < self.zone.queue:
            self.queue.append((connection, attempt))
        else:
            connection.send(REPLIES[ReplyKind.BUSY])
            attempt.reply = ReplyKind.BUSY
            attempt.ended_at_s = time.monotonic()

    def start_service(self, connection: HostServerConnection, attempt: HostAttempt) -> None:
        """Start to process a request: draw its reply and schedule it."""
        self.in_service += 1
        reply = draw_reply(self.condition(), self.zone.service, self.random)
        self.failed += reply.kind != ReplyKind.VALUE
        self.reactor.callLater(reply.after_ms / 1000.0, self.finish_service, connection, reply.kind, attempt)

    def finish_service(self, connection: HostServerConnection, kind: ReplyKind, attempt: HostAttempt) -> None:
        """Carry out the drawn reply to a request, then start the queued requests."""
        self.in_service -= 1
        attempt.reply = kind
        if connection.transport is not None and connection.transport.connected:
            if kind in ATTEMPT_ENDING_REPLIES:
                attempt.ended_at_s = min(attempt.ended_at_s, time.monotonic())
            if kind == ReplyKind.RESET:
                connection.transport.abortConnection()
            elif kind in REPLIES:
                connection.send(REPLIES[kind])
            # ReplyKind.SILENT leaves the connection open without a reply.
        while self.queue and self.in_service < self.zone.slots:
            self.start_service(*self.queue.popleft())

    def apply_faults(self) -> None:
        """Close the listener and the connections while the host is down, and listen again afterwards."""
        if self.stopped:
            return
        down = self.condition().down
        if down and self.port is not None:
            close_abruptly(self.port, self.connections)
            self.port = None
        elif not down and self.port is None:
            self.up_since_ms = self.clock()
            self.starts.append(time.monotonic())
            self.listen()

    def stop(self) -> Deferred[None] | None:
        """Stop permanently; returns a Deferred that fires when the listener is closed, or None."""
        self.stopped = True
        return close_abruptly(self.port, self.connections) if self.port is not None else None

    def listen(self) -> str:
        """Listen for connections; returns the address, which stays the same after a kill."""
        self.port, self.port_number = listen_on_loopback(
            self.reactor, self.port_number, lambda: HostServerConnection(self)
        )
        return f"{LOOPBACK}:{self.port_number}"


class HostServerConnection(RespConnection):
    """A gateway's connection to an emulated host."""

    transport: Server

    def __init__(self, host: HostEmulator) -> None:
        super().__init__()
        self.host = host
        self.last_attempt: HostAttempt | None = None

    def connectionMade(self) -> None:
        """Register the connection."""
        self.transport.setTcpNoDelay(True)
        self.host.connections.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  Twisted's signature
        """Unregister the connection; its last attempt ends with it."""
        self.host.connections.discard(self)
        if self.last_attempt is not None:
            self.last_attempt.ended_at_s = min(self.last_attempt.ended_at_s, time.monotonic())

    def value_received(self, value: Any, parts: list[bytes]) -> None:  # noqa: ARG002  the receiver's signature
        """Handle one command: a PING or a request."""
        words = value if isinstance(value, list) else []
        if words and words[0] == b"PING":
            self.send(b"+PONG\r\n")
            return
        request_id = words[REQUEST_ID_POSITION] if len(words) > REQUEST_ID_POSITION else b""
        self.host.receive_request(self, int(request_id, 16) if REQUEST_ID(request_id) else 0)


def start_hosts(
    scenario: Scenario, reactor: PosixReactorBase = REACTOR
) -> tuple[dict[str, str], list[HostEmulator]]:
    """Start all hosts of the scenario; returns their addresses by name ("zone/n"), and the hosts."""
    start_s = time.monotonic()

    def clock() -> float:
        return (time.monotonic() - start_s) * 1000.0

    addresses: dict[str, str] = {}
    hosts: list[HostEmulator] = []
    for zone in scenario.fleet.zones:
        for number in range(zone.hosts):
            name = f"{zone.name}/{number}"
            random = Random(f"{scenario.seed}:{name}")
            faults = faults_of_host(scenario, zone, number)
            host = HostEmulator(name, zone, faults, random, clock, reactor)
            addresses[name] = host.listen()
            hosts.append(host)

    def apply_faults() -> None:
        for host in hosts:
            host.apply_faults()
        if not all(host.stopped for host in hosts):
            reactor.callLater(CHECK_INTERVAL_S, apply_faults)

    reactor.callLater(CHECK_INTERVAL_S, apply_faults)
    return addresses, hosts


def main(argv: list[str]) -> int:
    """Run the emulators as a process; the argument is the scenario file."""
    addresses, _ = start_hosts(load(argv[1]))
    return run_until_sigterm(addresses)


if __name__ == "__main__":
    sys.exit(main(sys.argv))
