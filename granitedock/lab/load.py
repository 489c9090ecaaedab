"""Open-loop load on the gateways of a rig: tasks come at drawn times, however slow the answers are.

As the platform's front does, each task goes to one gateway of its customer's set, drawn from those that it
has a connection to; a gateway that ends is noticed by its connection and left out until it is back. Every
task leaves one row. Nothing here decides for the gateways; the answers are read by the service's own framing.
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory

from granitedock.lab.rig import CLIENTS_PORT, Rig, on_loop
from granitedock.lab.scenario import Clients
from granitedock.service.resp import Fault, RespReceiver, command

COMMANDS = {"read": b"API.READ"}  # the products that are safe to repeat; the others are written
REDIAL_S = 0.1
SLACK_MS = 50.0  # an answer so much after the client's time is late


@dataclass(slots=True)
class Row:
    """One task: when it was sent (s since the load began) and to which gateway (-1: none was up), what it was
    answered (`done`, `deferred`, `errored`; `lost` while nothing came and its connection ended, `open` while
    it waits) and after how long."""

    sent_s: float
    gateway: int
    customer: int
    units: float
    left_ms: float
    kind: str = "open"
    took_ms: float = 0.0


class LoadLink(RespReceiver):
    """One connection to a gateway; answers come in the order of the tasks."""

    def __init__(self, load: Load, gateway: int) -> None:
        super().__init__(1024, 64 * 1024, 68 * 1024, 64, 4)
        self.load, self.gateway = load, gateway
        self.waiting: deque[Row] = deque()

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.load.links[self.gateway] = self

    def received(self, value: Any, parts: list[bytes]) -> None:
        if not self.waiting:
            self.load.unasked += 1  # an answer to nothing: rule 1 is broken, and it is not hidden
            return
        row = self.waiting.popleft()
        row.took_ms = (self.load.now() - row.sent_s) * 1000.0
        if type(value) is Fault:
            row.kind = "deferred" if value.text.startswith(b"BUSY") else "errored"
        else:
            row.kind = "done"

    def malformed(self, why: str) -> None:
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        for row in self.waiting:
            row.kind = "lost"
        self.load.links.pop(self.gateway, None)
        self.load.dial_later(self.gateway)


class Dialling(ClientFactory):
    noisy = False

    def __init__(self, load: Load, gateway: int) -> None:
        self.load, self.gateway = load, gateway

    def buildProtocol(self, addr: Any) -> LoadLink:
        return LoadLink(self.load, self.gateway)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.load.dial_later(self.gateway)


class Load:
    """The scenario's clients against the rig's gateways, from `start` to `stop`."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.began, self.on = rig, time.monotonic(), False
        self.rows: list[Row] = []
        self.links: dict[int, LoadLink] = {}
        self.unasked = 0
        self.made = 0
        self.calls: set[Any] = set()

    def now(self) -> float:
        return time.monotonic() - self.began

    def start(self) -> None:
        """Connect to all gateways that run, then let the tasks come."""
        on_loop(self.connect)
        while on_loop(lambda: len(self.links)) < sum(gateway.running() for gateway in self.rig.gateways):
            time.sleep(0.02)
        on_loop(self.begin)

    def connect(self) -> None:
        self.on = True
        for n in range(self.rig.count):
            self.dial(n)

    def begin(self) -> None:
        self.began = time.monotonic()
        for number, clients in enumerate(self.rig.scenario.clients):
            chance = Random(f"{self.rig.scenario.seed}:{number}")
            self.arrive(clients, chance, self.now())

    def later(self, after_s: float, act: Any, *what: Any) -> None:
        if self.on:
            reactor.callLater(max(0.0, after_s), lambda: self.on and act(*what))

    def dial(self, n: int) -> None:
        reactor.connectTCP(self.rig.own(n), CLIENTS_PORT, Dialling(self, n), timeout=2)

    def dial_later(self, n: int) -> None:
        self.later(REDIAL_S, self.dial, n)

    def arrive(self, clients: Clients, chance: Random, due_s: float) -> None:
        """The task that is due now, and the time of the next: drawn in advance, so that a loop that runs late
        sends what it owes at once instead of less."""
        count = clients.burst_size if clients.shape == "bursts" else 1
        for _ in range(count):
            self.task(clients, chance)
        if clients.shape == "bursts":
            next_s = due_s + clients.burst_every_s
        else:
            next_s = due_s + chance.expovariate(clients.rate)
        self.later(next_s - self.now(), self.arrive, clients, chance, next_s)

    def task(self, clients: Clients, chance: Random) -> None:
        gateways = [(clients.first + n) % self.rig.count for n in range(clients.spread)]
        up = [n for n in gateways if n in self.links]
        row = Row(
            self.now(), chance.choice(up) if up else -1, clients.customer, clients.units, clients.left_ms
        )
        self.rows.append(row)
        if not up:
            row.kind = "lost"
            return
        self.made += 1
        key = b"" if clients.product in COMMANDS else b",k=%x" % self.made
        text = b"c=%b,t=%b,d=%d,units=%g,spread=%d,first=%d%b" % (
            clients.product.encode(),
            clients.plan.encode(),
            clients.left_ms,
            clients.units,
            clients.spread,
            clients.first,
            key,
        )
        word = COMMANDS.get(clients.product, b"API.WRITE")
        link = self.links[row.gateway]
        link.waiting.append(row)
        link.send(command(word, b"%016x" % clients.customer, b"%016x" % self.made, text))

    def stop(self) -> list[Row]:
        """No more tasks; what is open is waited for as long as its own time, and then every row is told."""
        on_loop(self.end)
        longest = max((row.left_ms for row in self.rows if row.kind == "open"), default=0.0) / 1000.0
        ends = time.monotonic() + longest + SLACK_MS / 1000.0
        while time.monotonic() < ends and any(row.kind == "open" for row in self.rows):
            time.sleep(0.02)
        on_loop(self.close)
        return self.rows

    def end(self) -> None:
        self.on = False

    def close(self) -> None:
        for link in list(self.links.values()):
            link.transport.abortConnection()

    def run(self, seconds: float) -> list[Row]:
        self.start()
        time.sleep(seconds)
        return self.stop()


def done_units(rows: list[Row], customer: int, from_s: float, to_s: float) -> float:
    """The customer's units that were served, of the tasks sent in this time."""
    return sum(
        row.units
        for row in rows
        if row.customer == customer and row.kind == "done" and from_s <= row.sent_s < to_s
    )


def frozen_s(pauses: list[list[float]], from_s: float, to_s: float) -> float:
    """How much of this time a process was stopped by SIGSTOP.

    >>> frozen_s([[2.0, 5.0], [9.0, float("inf")]], 4.0, 10.0)
    2.0
    """
    return sum(max(0.0, min(to_s, ended) - max(from_s, began)) for began, ended in pauses)


def broken(load: Load) -> list[str]:
    """What is wrong with these answers by the first rule, a line each: late ones, and more than one. A
    process that is stopped can answer nobody: such time is not counted, and what came in it is due after."""
    found = []
    for row in load.rows:
        if row.kind in ("done", "deferred", "errored"):
            sent, pauses = load.began + row.sent_s, load.rig.gateways[row.gateway].pauses
            late_ms = row.took_ms - row.left_ms - 1000 * frozen_s(pauses, sent, sent + row.took_ms / 1000)
            if late_ms > SLACK_MS:
                found.append(f"gateway/{row.gateway} answered {late_ms:.0f} ms late")
    return found + [f"{load.unasked} answers to no task"] * bool(load.unasked)
