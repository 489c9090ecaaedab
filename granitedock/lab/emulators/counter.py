"""A stand-in for the counter service on loopback, with the failures a scenario gives it.

It speaks the calls that `service/counter.py` writes: `TALLY name amount life_ms` adds `amount` to the
name's count for `life_ms` and answers the name's total of what is still alive, as a bulk string; `PING` is
answered `+PONG`. Faults on the target `counter`: `kill` (listener and connections gone for `for_s`, back
empty), `restart_empty` (connections cut and totals forgotten, at once), `partition` (connections stay open
and answers are held for `for_s`, then written), `stale` (for `for_s`, totals as they stood when it began).

Run as `python -m granitedock.lab.emulators.counter SCENARIO`: it prints its address as one JSON
line and serves until SIGTERM. Source: docs/lab-design.md ("The counter and discovery").
"""

from __future__ import annotations

import sys
import time
from collections import defaultdict, deque
from typing import Any

from twisted.internet import reactor as default_reactor

from granitedock.lab.emulators.process import listen, serve, vanish
from granitedock.lab.scenario import Scenario, load
from granitedock.service.counter_protocol import amount
from granitedock.service.resp import RespReceiver, bulk


class Counts:
    """Per name, what was added and until when, in ms of the run's clock."""

    def __init__(self) -> None:
        self.added: defaultdict[bytes, deque[tuple[float, float]]] = defaultdict(deque)

    def add(self, name: bytes, number: float, life_ms: float, now: float) -> float:
        self.added[name].append((now + life_ms, number))
        return self.total(name, now)

    def total(self, name: bytes, now: float) -> float:
        kept = self.added[name]
        while kept and kept[0][0] <= now:  # lives are the same for a name, so the first ends first
            kept.popleft()
        return sum(number for _, number in kept)

    def copy(self) -> Counts:
        other = Counts()
        other.added = defaultdict(deque, {name: deque(kept) for name, kept in self.added.items()})
        return other


class Counter:
    """The stand-in, its counts and its faults."""

    def __init__(self, scenario: Scenario, reactor: Any = default_reactor) -> None:
        self.reactor, self.began = reactor, time.monotonic()
        self.faults = [fault for fault in scenario.timeline if fault.target == "counter"]
        self.counts, self.stale_counts = Counts(), None
        self.stale_at: Counts | None = None  # totals as a test froze them
        self.links: set[CounterSide] = set()
        self.port: Any = None
        self.port_number = 0
        self.done: set[int] = set()  # faults of one moment already carried out
        self.over = False

    def now(self) -> float:
        return (time.monotonic() - self.began) * 1000.0

    def holds(self, what: str) -> bool:
        now = self.now()
        return any(
            fault.what == what and fault.at_s * 1000 <= now < (fault.at_s + (fault.for_s or 1e9)) * 1000
            for fault in self.faults
        )

    def listen(self) -> str:
        self.port, self.port_number = listen(self.reactor, self.port_number, lambda: CounterSide(self))
        return f"127.0.0.1:{self.port_number}"

    def cut(self) -> None:
        for link in list(self.links):
            link.transport.abortConnection()

    def check(self) -> None:
        """Every 50 ms: faults begin and end."""
        if self.over:
            return
        killed = self.holds("kill")
        if killed and self.port is not None:
            vanish(self.port, self.links)
            self.port = None
            self.counts = Counts()  # a process that dies forgets
        elif not killed and self.port is None:
            self.listen()
        for n, fault in enumerate(self.faults):
            if fault.what == "restart_empty" and n not in self.done and self.now() >= fault.at_s * 1000:
                self.done.add(n)
                self.cut()
                self.counts = Counts()
        stale = self.holds("stale")
        if stale and self.stale_counts is None:
            self.stale_counts = self.counts.copy()
        elif not stale:
            self.stale_counts = None
        if not self.holds("partition"):
            for link in list(self.links):
                link.release()
        self.reactor.callLater(0.05, self.check)

    def end(self) -> Any:
        self.over = True
        return vanish(self.port, self.links) if self.port is not None else None

    def answer(self, words: list[bytes]) -> bytes:
        if words[:1] == [b"PING"]:
            return b"+PONG\r\n"
        if len(words) != 4 or words[0] != b"TALLY":
            return b"-ERR unknown call\r\n"
        try:
            number, life_ms = float(words[2]), float(words[3])
        except ValueError:
            return b"-ERR not a number\r\n"
        now = self.now()
        total = self.counts.add(words[1], number, life_ms, now)
        stale = self.stale_at or self.stale_counts
        if stale is not None:
            total = stale.total(words[1], now)
        return bulk(amount(total))


class CounterSide(RespReceiver):
    def __init__(self, counter: Counter) -> None:
        super().__init__(1024, 64 * 1024, 68 * 1024, 64, 4)
        self.counter, self.held = counter, []

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.counter.links.add(self)

    def connectionLost(self, reason: Any = None) -> None:
        self.counter.links.discard(self)

    def received(self, value: Any, parts: list[bytes]) -> None:
        words = value if isinstance(value, list) else []
        answer = self.counter.answer([word for word in words if isinstance(word, bytes)])
        if self.counter.holds("partition"):
            self.held.append(answer)  # added all the same: the call was made, its answer is late
        else:
            self.send(answer)

    def release(self) -> None:
        if self.held:
            held, self.held = b"".join(self.held), []
            self.send(held)

    def malformed(self, why: str) -> None:
        self.transport.abortConnection()


def main(argv: list[str]) -> int:
    counter = Counter(load(argv[1]))
    address = counter.listen()
    counter.check()
    return serve(address)


if __name__ == "__main__":
    sys.exit(main(sys.argv))
