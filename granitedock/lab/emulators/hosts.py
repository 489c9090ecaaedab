"""Emulated hosts: many RESP2 servers on loopback in one Twisted process, each living as its scenario says.

Each host listens on its own port, serves `slots` tasks at once with a queue of `queue` behind them
(beyond it: `-BUSY`), and does with each task what `faults.host_faults.reply` says: answers after its service
time, errs, refuses, stays silent, writes half an answer and stalls, or resets the connection. A killed host
closes its listener and its connections at once, as a dead process does. Framing is the service's own
(`service/resp.py`).

Run as `python -m granitedock.lab.emulators.hosts SCENARIO`: it prints one JSON line,
{"zone/n": "127.0.0.1:port", ...}, and serves until SIGTERM. Source: docs/lab-design.md ("Where the emulated hosts run").
"""

from __future__ import annotations

import re
import sys
import time
from collections import deque
from random import Random
from typing import Any

from twisted.internet import reactor as default_reactor

from granitedock.lab.emulators.process import listen, serve, vanish
from granitedock.lab.faults.host_faults import condition, faults_of, reply
from granitedock.lab.load.rule_checks import Seen
from granitedock.lab.scenario import Scenario, Zone, load
from granitedock.service.resp import RespReceiver

VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"  # a value, with no figures of units behind it
HEX = re.compile(rb"[0-9a-f]{1,16}").fullmatch
ANSWERS = {
    "value": VALUE,
    "error": b"-ERR emulated\r\n",
    "busy": b"-BUSY\r\n",
    "half": VALUE[: len(VALUE) // 2],
}


class Host:
    """One emulated host: its life, its slots and queue, and the connections it has."""

    def __init__(self, name: str, zone: Zone, faults: list, chance: Random, clock, reactor) -> None:
        self.name, self.zone, self.faults, self.chance = name, zone, faults, chance
        self.clock, self.reactor = clock, reactor
        self.started_ms = self.up_ms = clock()
        self.busy, self.waiting = 0, deque()
        self.links: set[HostLink] = set()
        self.port: Any = None
        self.seen = 0  # tasks that came whole
        self.failed = 0  # of those, not answered with a value
        self.over = False
        self.record: list[Seen] = []  # all that came, on the steady clock
        self.starts: list[float] = []  # when it came up again

    def state(self):
        return condition(
            self.faults, self.zone.cold_s, self.clock() - self.started_ms, self.up_ms - self.started_ms
        )

    def came(self, link: HostLink, task: int) -> None:
        self.seen += 1
        link.out = seen = Seen(task, self.name, time.monotonic(), port=link.transport.getPeer().port)
        self.record.append(seen)
        if self.busy >= self.zone.slots:
            if len(self.waiting) >= self.zone.queue:
                link.send(ANSWERS["busy"])
                seen.kind, seen.until_s = "busy", time.monotonic()
                return
            self.waiting.append((link, seen))
            return
        self.serve(link, seen)

    def serve(self, link: HostLink, seen: Seen) -> None:
        self.busy += 1
        what = reply(self.state(), self.zone.service, self.chance)
        self.failed += what.kind != "value"
        self.reactor.callLater(what.after_ms / 1000.0, self.done, link, what.kind, seen)

    def done(self, link: HostLink, kind: str, seen: Seen) -> None:
        self.busy -= 1
        seen.kind = kind
        if link.transport is not None and link.transport.connected:
            if kind in ("value", "error", "busy", "reset"):
                seen.until_s = min(seen.until_s, time.monotonic())
            if kind == "reset":
                link.transport.abortConnection()
            elif kind in ANSWERS:
                link.send(ANSWERS[kind])
            # silent: the task is held and never answered
        while self.waiting and self.busy < self.zone.slots:
            self.serve(*self.waiting.popleft())

    def check(self) -> None:
        """Twice a second: a host that is gone stops listening and drops what it has; one back listens."""
        if self.over:
            return
        gone = self.state().gone
        if gone and self.port is not None:
            vanish(self.port, self.links)
            self.port = None
        elif not gone and self.port is None:
            self.up_ms = self.clock()
            self.starts.append(time.monotonic())
            self.listen(self.address_port)

    def end(self) -> Any:
        self.over = True
        return vanish(self.port, self.links) if self.port is not None else None

    def listen(self, port: int) -> str:
        self.port, self.address_port = listen(self.reactor, port, lambda: HostLink(self))
        return f"127.0.0.1:{self.address_port}"


class HostLink(RespReceiver):
    def __init__(self, host: Host) -> None:
        super().__init__(1024, 64 * 1024, 68 * 1024, 64, 4)
        self.host = host
        self.out: Seen | None = None  # the last that came on it

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.host.links.add(self)

    def connectionLost(self, reason: Any = None) -> None:
        self.host.links.discard(self)
        if self.out is not None:
            self.out.until_s = min(self.out.until_s, time.monotonic())

    def received(self, value: Any, parts: list[bytes]) -> None:
        if isinstance(value, list) and value and value[0] == b"PING":
            self.send(b"+PONG\r\n")
            return
        task = value[2] if isinstance(value, list) and len(value) > 2 else b""
        self.host.came(self, int(task, 16) if HEX(task) else 0)

    def malformed(self, why: str) -> None:
        self.transport.abortConnection()


def start(scenario: Scenario, reactor: Any = default_reactor) -> tuple[dict[str, str], list[Host]]:
    """All hosts of the scenario, listening; their addresses by name ("zone/n")."""
    began = time.monotonic()

    def clock() -> float:
        return (time.monotonic() - began) * 1000.0

    addresses, hosts = {}, []
    for zone in scenario.fleet.zones:
        for number in range(zone.hosts):
            name = f"{zone.name}/{number}"
            chance = Random(f"{scenario.seed}:{name}")
            host = Host(name, zone, faults_of(scenario, zone, number), chance, clock, reactor)
            addresses[name] = host.listen(0)
            hosts.append(host)

    def check() -> None:
        for host in hosts:
            host.check()
        if not all(host.over for host in hosts):
            reactor.callLater(0.5, check)

    reactor.callLater(0.5, check)
    return addresses, hosts


def main(argv: list[str]) -> int:
    addresses, _ = start(load(argv[1]))
    return serve(addresses)


if __name__ == "__main__":
    sys.exit(main(sys.argv))
