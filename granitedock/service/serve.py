"""The running process: the reactor, the clock, the timers and the signals.

Owns the loop that gives inputs to the reducer and carries out the effects it asks for. It must never
hold state of a task or of a connection, nor decide anything.
"""

from __future__ import annotations

import gc
import heapq
import signal
import time
import traceback
from collections import deque
from pathlib import Path
from typing import Any

import orjson
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

from granitedock.service.clients import ClientDoor
from granitedock.service.counter import CounterLink
from granitedock.service.dial import Dialler
from granitedock.service.discovery import WatchLink, listing
from granitedock.service.hosts import HostLink
from granitedock.service.limits import Limits
from granitedock.service.log import Log
from granitedock.service.reducer import Reducer


class SteadyReactor(EPollReactor):
    """Timers by a clock that no correction of the time can stop."""

    seconds = staticmethod(time.monotonic)


class Clock:
    """Unix time in milliseconds that never steps back: where the system's does, ours runs at half its speed
    until it is caught up with, so that no wait stands still."""

    def __init__(self, unix=time.time, steady=time.monotonic) -> None:
        self.unix, self.steady = unix, steady
        self.last, self.beat = unix() * 1000.0, steady() * 1000.0

    def __call__(self) -> float:
        beat = self.steady() * 1000.0
        self.last = max(self.unix() * 1000.0, self.last + (beat - self.beat) / 2)
        self.beat = beat
        return self.last


class Doors:
    """What the reducer asks for beyond a connection that is up: dials, wakes, and the end."""

    def __init__(self, reactor, tell, clock, told: dict[str, Any], limits: Limits) -> None:
        self.reactor, self.tell, self.clock, self.limits, self.told = reactor, tell, clock, limits, told
        self.heap: list[tuple] = []
        self.made, self.armed, self.armed_for = 0, None, float("inf")
        self.port: Any = None

        def party(make, down):
            return Dialler(reactor, tell, make, down, limits.connect_ms)

        self.hosts = party(lambda: HostLink(tell, limits), "host down")
        self.counter = party(lambda: CounterLink(tell, limits), "counter down")
        self.watch = party(lambda: WatchLink(tell, told["discovery"], limits), "watch down")

    def dial_host(self, lane: Any, address: str) -> None:
        self.hosts.dial(lane, address)

    def dial_counter(self, wire: Any) -> None:
        self.counter.dial(wire, self.told["counter"])

    def dial_watch(self, watch: Any) -> None:
        self.watch.dial(watch, self.told["discovery"])

    def wake(self, due: float, name: str, *what: Any) -> None:
        self.made += 1
        heapq.heappush(self.heap, (due, self.made, name, what))
        if due < self.armed_for:
            self.arm()

    def arm(self) -> None:
        if self.armed is not None and self.armed.active():
            self.armed.cancel()
        self.armed_for = self.heap[0][0]
        self.armed = self.reactor.callLater(max(0.0, (self.armed_for - self.clock()) / 1000.0), self.ring)

    def ring(self) -> None:
        self.armed_for = float("-inf")  # nothing is armed while the due ones are told
        while self.heap and self.heap[0][0] <= self.clock():
            _, _, name, what = heapq.heappop(self.heap)
            self.tell(name, *what)
        self.armed_for = float("inf")
        if self.heap:
            self.arm()

    def shut(self) -> None:
        self.port.stopListening()

    def leave(self) -> None:
        """Let what is written go out first."""
        self.reactor.callLater(0.05, self.reactor.stop)


class Service:
    """One gateway process."""

    def __init__(self, told: dict[str, Any], reactor: Any = None) -> None:
        self.limits = limits = Limits.told(told)
        self.reactor = reactor
        self.clock = Clock()
        self.log = Log(told["name"], self.clock, limits.log_lines)
        self.doors = Doors(reactor, self.tell, self.clock, told, limits)
        known = listing(told["known"]) if told.get("known") else None
        seed = int(told["seed"], 16)
        self.reducer = Reducer(limits, told["settings"], seed, known, self.doors, self.log)
        self.inbox: deque[tuple] = deque()
        self.busy = False
        self.listen = told["listen"]

    def tell(self, *happened: Any) -> None:
        """One input; what effects bring about at once waits its turn."""
        self.inbox.append(happened)
        if self.busy:
            return
        self.busy = True
        try:
            while self.inbox:
                self.step(*self.inbox.popleft())
        finally:
            self.busy = False

    def step(self, *happened: Any) -> None:
        try:
            effects = self.reducer.reduce(self.clock(), *happened)
        except Exception:
            # Guards all other tasks against a fault met with one.
            self.log.counts["faults"] += 1
            self.log.event("fault", input=happened[0], trace=traceback.format_exc())
            effects = self.reducer.fault()
        for act, *what in effects:
            try:
                act(*what)
            except Exception:
                self.log.counts["faults"] += 1
                self.log.event("fault", input=happened[0], trace=traceback.format_exc())

    def start(self) -> None:
        host, _, port = self.listen.rpartition(":")
        door = ClientDoor(self.tell, self.limits)
        self.tell("start")
        self.doors.port = self.reactor.listenTCP(
            int(port), door, backlog=self.limits.backlog, interface=host.strip("[]")
        )
        self.log.event("listening", address=self.listen)
        gc.collect()
        gc.freeze()

    def stop_soon(self) -> None:
        self.tell("mode", "ending")

    def signals(self) -> None:
        def on(number: int, act: Any) -> None:
            signal.signal(number, lambda *_: self.reactor.callFromThread(act))

        on(signal.SIGTERM, self.stop_soon)
        on(signal.SIGINT, self.stop_soon)
        on(signal.SIGUSR1, lambda: self.log.counters("counters"))


def serve(path: str) -> int:
    """Serve as the file says, until told to stop."""
    told = orjson.loads(Path(path).read_bytes())
    reactor = SteadyReactor()
    installReactor(reactor)
    service = Service(told, reactor)
    reactor.callWhenRunning(service.signals)
    reactor.callWhenRunning(service.start)
    reactor.run()
    service.log.counters("counters at exit")
    return 0
