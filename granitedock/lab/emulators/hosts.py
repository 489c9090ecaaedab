"""Emulated hosts: many RESP2 servers on loopback in one Twisted process, each under its scenario's faults.

Each host listens on its own port, serves `slots` requests at once with a queue of `queue` behind them
(beyond it: `-BUSY`), and does with each request what `host_faults.draw_reply` says: answers after its service
time, errs, refuses, stays silent, writes half an answer and stalls, or resets the connection. A killed host
closes its listener and its connections at once, as a dead process does. Framing is the service's own
(`service/resp.py`).

Run as `python -m granitedock.lab.emulators.hosts SCENARIO`: it prints one JSON line,
{"zone/n": "127.0.0.1:port", ...}, and serves until SIGTERM. Source: docs/lab-design.md ("Where the emulated
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

from granitedock.lab.emulators.process import LOOPBACK, listen_on_loopback, run_until_sigterm, vanish
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

VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"  # a value, with no figures of units behind it
REQUEST_ID = re.compile(rb"[0-9a-f]{1,16}").fullmatch
REQUEST_ID_POSITION = 2  # in a request: its command, the customer, the request's id
REPLIES = {
    ReplyKind.VALUE: VALUE,
    ReplyKind.ERROR: b"-ERR emulated\r\n",
    ReplyKind.BUSY: b"-BUSY\r\n",
    ReplyKind.HALF: VALUE[: len(VALUE) // 2],
}
ENDS_ATTEMPT = (ReplyKind.VALUE, ReplyKind.ERROR, ReplyKind.BUSY, ReplyKind.RESET)
CHECK_EVERY_S = 0.5


class HostEmulator:
    """One emulated host: its slots and queue, its faults, and the connections it has."""

    def __init__(
        self,
        name: str,
        zone: Zone,
        faults: list[Fault],
        random: Random,
        clock: Clock,
        reactor: PosixReactorBase,
    ) -> None:
        """`clock` gives the ms of the run."""
        self.name = name
        self.zone = zone
        self.faults = faults
        self.random = random
        self.clock = clock
        self.reactor = reactor
        self.timeline_began_ms = clock()
        self.up_since_ms = self.timeline_began_ms
        self.in_service = 0
        self.queue: deque[tuple[HostServerConnection, HostAttempt]] = deque()
        self.connections: set[HostServerConnection] = set()
        self.port: IListeningPort | None = None
        self.port_number = 0
        self.received = 0  # requests that came whole
        self.failed = 0  # of those, not answered with a value
        self.stopped = False
        self.attempts: list[HostAttempt] = []  # all that came, on the steady clock
        self.starts: list[float] = []  # when it came up again, on the steady clock

    def condition(self) -> HostCondition:
        """Its condition now."""
        since_start_ms = self.clock() - self.timeline_began_ms
        up_since_ms = self.up_since_ms - self.timeline_began_ms
        return host_condition(self.faults, self.zone.warm_up_s, since_start_ms, up_since_ms)

    def restart_timeline(self, clock: Clock) -> None:
        """Its faults count from now on, when `clock` reads 0."""
        self.clock = clock
        self.timeline_began_ms = 0.0
        self.up_since_ms = 0.0

    def receive_request(self, connection: HostServerConnection, request_id: int) -> None:
        """Serve a request that came whole, queue it, or refuse it."""
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
        """Begin with a request."""
        self.in_service += 1
        reply = draw_reply(self.condition(), self.zone.service, self.random)
        self.failed += reply.kind != ReplyKind.VALUE
        self.reactor.callLater(reply.after_ms / 1000.0, self.finish_service, connection, reply.kind, attempt)

    def finish_service(self, connection: HostServerConnection, kind: ReplyKind, attempt: HostAttempt) -> None:
        """Do with a request what was drawn for it, then begin with what waits."""
        self.in_service -= 1
        attempt.reply = kind
        if connection.transport is not None and connection.transport.connected:
            if kind in ENDS_ATTEMPT:
                attempt.ended_at_s = min(attempt.ended_at_s, time.monotonic())
            if kind == ReplyKind.RESET:
                connection.transport.abortConnection()
            elif kind in REPLIES:
                connection.send(REPLIES[kind])
            # SILENT: it is held and never answered
        while self.queue and self.in_service < self.zone.slots:
            self.start_service(*self.queue.popleft())

    def apply_faults(self) -> None:
        """Stop listening and drop connections while it is down; listen again afterwards."""
        if self.stopped:
            return
        down = self.condition().down
        if down and self.port is not None:
            vanish(self.port, self.connections)
            self.port = None
        elif not down and self.port is None:
            self.up_since_ms = self.clock()
            self.starts.append(time.monotonic())
            self.listen()

    def stop(self) -> Deferred[None] | None:
        """End it for good; what it returns fires when the listener is closed."""
        self.stopped = True
        return vanish(self.port, self.connections) if self.port is not None else None

    def listen(self) -> str:
        """Take connections; returns the address, which stays the same over kills."""
        self.port, self.port_number = listen_on_loopback(
            self.reactor, self.port_number, lambda: HostServerConnection(self)
        )
        return f"{LOOPBACK}:{self.port_number}"


class HostServerConnection(RespConnection):
    """One gateway's connection to an emulated host."""

    transport: Server

    def __init__(self, host: HostEmulator) -> None:
        super().__init__()
        self.host = host
        self.last_attempt: HostAttempt | None = None

    def connectionMade(self) -> None:
        """It is open."""
        self.transport.setTcpNoDelay(True)
        self.host.connections.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  Twisted's signature
        """It has ended, and with it the last attempt that came on it."""
        self.host.connections.discard(self)
        if self.last_attempt is not None:
            self.last_attempt.ended_at_s = min(self.last_attempt.ended_at_s, time.monotonic())

    def value_received(self, value: Any, parts: list[bytes]) -> None:  # noqa: ARG002  the receiver's signature
        """Take one command: a PING or a request."""
        words = value if isinstance(value, list) else []
        if words and words[0] == b"PING":
            self.send(b"+PONG\r\n")
            return
        request_id = words[REQUEST_ID_POSITION] if len(words) > REQUEST_ID_POSITION else b""
        self.host.receive_request(self, int(request_id, 16) if REQUEST_ID(request_id) else 0)


def start_hosts(
    scenario: Scenario, reactor: PosixReactorBase = REACTOR
) -> tuple[dict[str, str], list[HostEmulator]]:
    """Start all hosts of the scenario, listening; returns their addresses by name ("zone/n"), and them."""
    began = time.monotonic()

    def clock() -> float:
        return (time.monotonic() - began) * 1000.0

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
            reactor.callLater(CHECK_EVERY_S, apply_faults)

    reactor.callLater(CHECK_EVERY_S, apply_faults)
    return addresses, hosts


def main(argv: list[str]) -> int:
    """Serve as a process; the argument is the scenario file."""
    addresses, _ = start_hosts(load(argv[1]))
    return run_until_sigterm(addresses)


if __name__ == "__main__":
    sys.exit(main(sys.argv))
