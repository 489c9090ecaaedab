"""Open-loop load on gateways: tasks come at drawn times, however slow the answers are.

As the platform's front does, each task goes to one gateway of its customer's set, drawn from those that it
has a connection to; a gateway that ends is noticed by its connection and left out until it is back. A busy
connection gets company, up to a few for each gateway. Every task leaves one row. Nothing here decides for the
gateways; the answers are read by the service's own framing.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from math import inf
from random import Random
from typing import Any

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory

from granitedock.lab.cluster.cluster import CLIENTS_PORT, Rig, on_loop
from granitedock.lab.gateway_settings import COLD, PRODUCTS, REMEMBERED_MS
from granitedock.lab.load.rule_checks import Answer, Ceiling, Records, Start, check
from granitedock.lab.scenario import Clients, Scenario
from granitedock.service.resp import Fault, RespReceiver, command

SAFE = {name for name, repeat in PRODUCTS if repeat == "safe"}  # these are read, the others written
KEYED = {name for name, repeat in PRODUCTS if repeat == "keyed"}
REDIAL_S = 0.1
DEEP, LINKS = 16, 8  # tasks that wait on a connection before another is opened, and connections a gateway


@dataclass(slots=True)
class Row:
    """One task: when it was sent (s since the load began) and to which gateway (-1: none was up), what it was
    answered (`done`, `deferred`, `errored`; `lost` while nothing came and its connection ended, `open` while
    it waits) and after how long. `task` is its id in this load; `ended`: no gateway was there to send it to
    again after its connection had ended, so that nobody owes it an answer."""

    sent_s: float
    gateway: int
    customer: int
    units: float
    left_ms: float
    kind: str = "open"
    took_ms: float = 0.0
    task: int = 0
    product: str = ""
    ended: bool = False


class LoadLink(RespReceiver):
    """One connection to a gateway; answers come in the order of the tasks."""

    def __init__(self, load: Load, gateway: int, again: list[tuple[Row, Clients]]) -> None:
        super().__init__(1024, 64 * 1024, 68 * 1024, 64, 4)
        self.load, self.gateway, self.again = load, gateway, again
        self.waiting: deque[tuple[Row, Clients, bool]] = deque()  # the last: whether it was sent before

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.load.links[self.gateway].append(self)
        self.load.dialled[self.gateway] -= 1
        for row, clients in self.again:
            self.ask(row, clients, True)

    def ask(self, row: Row, clients: Clients, again: bool = False) -> None:
        self.waiting.append((row, clients, again))
        self.send(worded(row, clients, row.left_ms - (self.load.now() - row.sent_s) * 1000.0))

    def received(self, value: Any, parts: list[bytes]) -> None:
        if not self.waiting:
            self.load.unasked += 1  # an answer to nothing: rule 1 is broken, and it is not hidden
            return
        row = self.waiting.popleft()[0]
        row.took_ms = (self.load.now() - row.sent_s) * 1000.0
        if type(value) is Fault:
            row.kind = "deferred" if value.text.startswith(b"BUSY") else "errored"
        else:
            row.kind = "done"

    def malformed(self, why: str) -> None:
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        """What it had not answered is sent once more at once, on a new connection, as clients do: it may have
        crossed the gateway's closing of one at rest."""
        links, again = self.load.links[self.gateway], []
        links.remove(self)
        for row, clients, before in self.waiting:
            if not self.load.on:
                continue  # we ended it, after its time was up: it stays open
            if before or (self.load.now() - row.sent_s) * 1000.0 > row.left_ms:
                row.kind = "lost"
            else:
                again.append((row, clients))
        if again:
            self.load.dial(self.gateway, again)
        elif not links:
            self.load.dial_later(self.gateway)


def worded(row: Row, clients: Clients, left_ms: float) -> bytes:
    """The task as a client words it."""
    text = b"c=%b,t=%b,d=%d,units=%g,spread=%d,first=%d%b" % (
        clients.product.encode(),
        clients.plan.encode(),
        max(1.0, left_ms),
        clients.units,
        clients.spread,
        clients.first,
        b",k=%016x" % row.task if clients.product in KEYED else b"",
    )
    word = b"API.READ" if clients.product in SAFE else b"API.WRITE"
    return command(word, b"%016x" % clients.customer, b"%016x" % row.task, text)


class Dialling(ClientFactory):
    noisy = False

    def __init__(self, load: Load, gateway: int, again: list[tuple[Row, Clients]]) -> None:
        self.load, self.gateway, self.again = load, gateway, again

    def buildProtocol(self, addr: Any) -> LoadLink:
        return LoadLink(self.load, self.gateway, self.again)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        for row, _ in self.again:
            row.kind, row.ended = "lost", True
        self.load.dialled[self.gateway] -= 1
        if not self.load.links[self.gateway]:
            self.load.dial_later(self.gateway)


class Load:
    """The scenario's clients against gateways at these addresses, from `start` to `stop`."""

    def __init__(
        self,
        scenario: Scenario,
        addresses: list[str],
        running: Callable[[], int] | None = None,
        pauses: Callable[[int], list[list[float]]] = lambda _: [],
    ) -> None:
        """`running`: how many of the gateways run now (all, by default); `pauses`: when a gateway was stopped
        by SIGSTOP, on the steady clock."""
        self.scenario, self.addresses, self.pauses = scenario, addresses, pauses
        self.running = running or (lambda: len(addresses))
        self.began, self.on = time.monotonic(), False
        self.rows: list[Row] = []
        self.links: list[list[LoadLink]] = [[] for _ in addresses]
        self.dialled = [0] * len(addresses)
        self.unasked = 0

    def now(self) -> float:
        return time.monotonic() - self.began

    def start(self, within_s: float = 20.0) -> None:
        """Connect to all gateways that run, then let the tasks come. Raises TimeoutError."""
        on_loop(self.connect)
        ends = time.monotonic() + within_s
        while on_loop(lambda: sum(map(bool, self.links))) < self.running():
            if time.monotonic() > ends:
                raise TimeoutError(f"not all of {', '.join(self.addresses)} took a connection")
            time.sleep(0.02)
        on_loop(self.begin)

    def connect(self) -> None:
        self.on = True
        for n in range(len(self.addresses)):
            self.dial(n)

    def begin(self) -> None:
        self.began = time.monotonic()
        for number, clients in enumerate(self.scenario.clients):
            chance = Random(f"{self.scenario.seed}:{number}")
            self.arrive(clients, chance, self.now())

    def later(self, after_s: float, act: Any, *what: Any) -> None:
        if self.on:
            reactor.callLater(max(0.0, after_s), lambda: self.on and act(*what))

    def dial(self, n: int, again: list[tuple[Row, Clients]] | None = None) -> None:
        self.dialled[n] += 1
        host, _, port = self.addresses[n].rpartition(":")
        reactor.connectTCP(host, int(port), Dialling(self, n, again or []), timeout=2)

    def dial_later(self, n: int) -> None:
        self.later(REDIAL_S, self.redial, n)

    def redial(self, n: int) -> None:
        if not self.links[n] and not self.dialled[n]:
            self.dial(n)

    def link(self, n: int) -> LoadLink:
        """The connection on which the fewest wait; where that is many, one more is opened beside it."""
        links = self.links[n]
        link = min(links, key=lambda link: len(link.waiting))
        if len(link.waiting) >= DEEP and len(links) + self.dialled[n] < LINKS:
            self.dial(n)
        return link

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
        count = len(self.addresses)
        up = [n for n in ((clients.first + n) % count for n in range(clients.spread)) if self.links[n]]
        gateway = chance.choice(up) if up else -1
        made = len(self.rows) + 1
        row = Row(self.now(), gateway, clients.customer, clients.units, clients.left_ms)
        row.task, row.product = made, clients.product
        self.rows.append(row)
        if not up:
            row.kind, row.ended = "lost", True
            return
        self.link(gateway).ask(row, clients)

    def stop(self) -> list[Row]:
        """No more tasks; what is open is waited for as long as its own time, and then every row is told."""
        on_loop(self.end)
        longest = max((row.left_ms for row in self.rows if row.kind == "open"), default=0.0) / 1000.0
        ends = time.monotonic() + longest + 0.05
        while time.monotonic() < ends and any(row.kind == "open" for row in self.rows):
            time.sleep(0.02)
        on_loop(self.close)
        return self.rows

    def end(self) -> None:
        self.on = False

    def close(self) -> None:
        for link in [link for links in self.links for link in links]:
            link.transport.abortConnection()

    def run(self, seconds: float) -> list[Row]:
        self.start()
        time.sleep(seconds)
        return self.stop()


def load_on(rig: Rig) -> Load:
    """The clients of a rig's scenario against its gateways."""
    return Load(
        rig.scenario,
        [f"{rig.own(n)}:{CLIENTS_PORT}" for n in range(rig.count)],
        lambda: sum(gateway.running() for gateway in rig.gateways),
        lambda n: rig.gateways[n].pauses,
    )


def frozen_s(pauses: list[list[float]], from_s: float, to_s: float) -> float:
    """How much of this time a process was stopped by SIGSTOP."""
    return sum(max(0.0, min(to_s, ended) - max(from_s, began)) for began, ended in pauses)


def answers(load: Load) -> list[Answer]:
    """The clients' side of the record. A process that is stopped can answer nobody: such time is not counted,
    and what came in it is due once it runs."""
    found = []
    for row in load.rows:
        sent = load.began + row.sent_s
        until = sent + (row.took_ms or row.left_ms) / 1000.0
        paused_s = frozen_s(load.pauses(row.gateway), sent, until) if row.gateway >= 0 else 0.0
        ended = row.ended or (row.kind in ("open", "lost") and paused_s > 0)
        found.append(
            Answer(
                row.task,
                row.gateway,
                row.customer,
                row.product,
                row.units,
                row.sent_s,
                row.left_ms,
                row.kind,
                row.took_ms,
                paused_s,
                ended,
            )
        )
    return found


def records(load: Load, rig: Rig) -> Records:
    """Both sides of a run on a rig, for the rules; times by the load's clock."""
    scenario, began = load.scenario, load.began
    found = Records(answers(load), [], load.unasked)
    plans = {plan.name: plan for plan in scenario.plans}
    for clients in scenario.clients:
        plan = plans[clients.plan]
        if plan.ceiling_rate:
            shape = plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack
            found.ceilings[clients.customer] = Ceiling(*shape)
    # A gateway gives a forward up by ending its connection, which a host behind a cut hears of later.
    ends = {
        port: at_s for wire in rig.tcp if wire.party.startswith("hosts") for port, at_s in wire.ends.items()
    }
    for host in rig.hosts:
        for seen in host.record:
            ended = ends.get(seen.port, inf)
            until_s = min(seen.until_s, ended if ended >= seen.at_s else inf)
            found.seen.append(replace(seen, at_s=seen.at_s - began, until_s=until_s - began))
        rate = host.zone.slots * 1000.0 / host.zone.service.mean_ms
        found.starts += [Start(host.name, at_s - began, rate, **COLD) for at_s in host.starts]
    for n, discovery in enumerate(rig.discoveries):
        found.told[n] = [(at_s - began, names) for at_s, names in discovery.told]
    found.repeats = {name: (repeat, REMEMBERED_MS) for name, repeat in PRODUCTS}
    return found


def broken(load: Load, rig: Rig | None = None) -> list[str]:
    """What is wrong by the rules, a line each: rule 1 by the clients alone, all five with the rig's side."""
    if rig is None:
        return check(Records(answers(load), [], load.unasked))
    return check(on_loop(records, load, rig))


def done_units(rows: list[Row], customer: int, from_s: float, to_s: float) -> float:
    """The customer's units that were served, of the tasks sent in this time."""
    return sum(
        row.units
        for row in rows
        if row.customer == customer and row.kind == "done" and from_s <= row.sent_s < to_s
    )
