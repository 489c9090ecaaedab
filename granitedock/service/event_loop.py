"""The running process: the reactor, the clock, the timers and the signals.

Owns the loop that gives inputs to the reducer and carries out the effects it asks for. It must never
hold state of a task or of a connection, nor decide anything.
"""

from __future__ import annotations

import gc
import heapq
import signal
import sys
import time
import traceback
from collections import deque
from dataclasses import replace
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import CannotListenError, ConnectionDone
from twisted.internet.main import installReactor
from twisted.internet.tcp import Port
from twisted.logger import globalLogBeginner
from twisted.python.failure import Failure

from granitedock import BEGAN_MS
from granitedock.event_log import EventLog
from granitedock.platform_file import ToldError, load
from granitedock.service.client_protocol import ClientDoor
from granitedock.service.connector import Dialler
from granitedock.service.counter_protocol import CounterLink
from granitedock.service.discovery_protocol import Listing, WatchLink, listing
from granitedock.service.host_protocol import HostLink
from granitedock.service.limits import Limits
from granitedock.service.reducer import Reducer


class SteadyReactor(EPollReactor):
    """Timers by a clock that no correction of the time can stop, and ours beside them: most of what the
    gateway wants to be woken for is over before its time, and a loop that wakes for it pays for nothing."""

    seconds = staticmethod(time.monotonic)

    def __init__(self, wakes: Wakes, began_ms: float) -> None:
        self.wakes = wakes
        # What is read after a poll came no sooner than the end of the poll before it, which would have seen
        # it otherwise; before the first poll, the process's beginning is the bound (ms, Unix).
        self.since = self.polled_at = began_ms
        super().__init__()
        self._poller = TimedPoller(self._poller, self.polled)

    def polled(self) -> None:
        self.since, self.polled_at = self.polled_at, self.wakes.clock()

    def timeout(self) -> float | None:
        theirs, ours = super().timeout(), self.wakes.left_s()
        return theirs if ours is None else ours if theirs is None else min(theirs, ours)

    def runUntilCurrent(self) -> None:
        super().runUntilCurrent()
        self.wakes.ring()


class TimedPoller:
    """The reactor's epoll object, which tells when each of its polls ended."""

    def __init__(self, poller: Any, ended: Any) -> None:
        self.poller, self.ended = poller, ended

    def poll(self, *args: Any) -> list:
        try:
            return self.poller.poll(*args)
        finally:
            self.ended()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.poller, name)


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


class Wakes:
    """What the reducer wants to be told at a time. One called off loses its name and wakes nobody."""

    def __init__(self, clock: Clock) -> None:
        self.clock, self.made = clock, 0
        self.heap: list[tuple] = []
        self.tell: Any = None

    def add(self, wake: Any) -> None:
        self.made += 1
        heapq.heappush(self.heap, (wake.due, self.made, wake))

    def left_s(self) -> float | None:
        heap = self.heap
        while heap and heap[0][2].name is None:
            heapq.heappop(heap)
        return max(0.0, (heap[0][0] - self.clock()) / 1000.0) if heap else None

    def ring(self) -> None:
        heap = self.heap
        now = self.clock() if heap else 0.0
        while heap and heap[0][0] <= now:
            wake = heapq.heappop(heap)[2]
            if wake.name is not None:
                self.tell(wake.name, *wake.what)


class ClientPort(Port):
    """Guards the tasks on connections that are up against floods of new ones: few are taken in at a turn."""

    def __init__(self, port, door, backlog: int, interface: str, reactor, accepts: int) -> None:
        super().__init__(port, door, backlog, interface, reactor)
        self.accepts = accepts

    def doRead(self) -> None:
        self.numberAccepts = self.accepts
        super().doRead()

    def close(self) -> None:
        """Guards requests on connections that wait to be accepted when the port closes: the machine has taken
        them, and closing would reset them. The port closes at once after the last of them, not a turn of the
        loop later (as `stopListening` does), in which more would come."""
        for _ in range(self.backlog):
            before = self.sessionno
            self.doRead()
            if self.sessionno == before:
                break
        self.connectionLost(Failure(ConnectionDone()))


class Doors:
    """What the reducer asks for beyond a connection that is up: dials, wakes, and the end."""

    def __init__(self, reactor, tell, wakes: Wakes, counter: str, discovery: str, limits: Limits) -> None:
        self.reactor, self.wake = reactor, wakes.add
        self.counter_at, self.discovery_at = counter, discovery
        self.port: Any = None
        self.leaving: list[Any] = []  # called before the process ends

        def party(make, down, within_ms=limits.connect_ms):
            return Dialler(reactor, tell, make, down, within_ms)

        self.hosts = party(lambda: HostLink(tell, limits), "host down")
        self.counter = party(lambda: CounterLink(tell, limits), "counter down")
        self.watch = party(
            lambda: WatchLink(tell, self.discovery_at, limits), "watch down", limits.watch_connect_ms
        )

    def move(self, counter: str, discovery: str) -> tuple[bool, bool]:
        """Whether the counter and discovery are elsewhere now."""
        before = self.counter_at, self.discovery_at
        self.counter_at, self.discovery_at = counter, discovery
        return counter != before[0], discovery != before[1]

    def dial_host(self, lane: Any, address: str) -> None:
        self.hosts.dial(lane, address)

    def dial_counter(self, wire: Any) -> None:
        self.counter.dial(wire, self.counter_at)

    def dial_watch(self, watch: Any) -> None:
        self.watch.dial(watch, self.discovery_at)

    def take_in(self, on: bool) -> None:
        if self.port.connected:
            (self.port.startReading if on else self.port.stopReading)()

    def shut(self) -> None:
        self.port.close()

    def leave(self) -> None:
        """Every client has gone by now, or the time that we are given is over."""
        for part in self.leaving:
            part()
        self.reactor.callLater(0.0, self.reactor.stop)


def parties(told: dict[str, Any]) -> tuple[str, str]:
    """Where the counter and discovery are."""
    return told.get("counter") or "", told["discovery"]


def known_list(told: dict[str, Any], path: str) -> Listing | None:
    """The list of hosts as this gateway last had it. Raises ToldError where it is none."""
    if not told.get("known"):
        return None
    try:
        return listing(told["known"])
    except (ValueError, KeyError, TypeError, AttributeError) as fault:
        raise ToldError(f"{path}: known: no list of hosts: {type(fault).__name__}: {fault}") from None


class Service:
    """One gateway process."""

    def __init__(
        self,
        path: str,
        reactor: SteadyReactor,
        fleet: Any = None,
        operators: str | None = None,
        configuration: Any = None,
    ) -> None:
        """`fleet` is the operators' file of the fleet view (fleet.settings.FleetFile), or None; `operators`
        the path of their own settings (service.operators), or None; `configuration` their file of the
        configuration service (configuration.settings.GatewayFile), or None."""
        self.path, self.operators_at = path, operators
        told = load(path)
        limits = Limits.told(told)
        if operators is not None:
            limits = self.operators().over(limits)
        self.limits = limits
        self.reactor, self.clock = reactor, reactor.wakes.clock
        self.log = EventLog(told["name"], self.clock, limits.log_lines)
        reactor.wakes.tell = self.tell
        self.doors = Doors(reactor, self.tell, reactor.wakes, *parties(told), limits)
        known = known_list(told, path)
        seed = int(told["seed"], 16)
        born = told["settings"]
        self.reducer = Reducer(self.clock(), limits, born, seed, known, self.doors, self.log)
        self.reducer.began_at = min(reactor.since, self.reducer.now)
        self.inbox: deque[tuple] = deque()
        self.busy = False
        self.listen = told["listen"]
        self.fleet = self.fleet_view(told["name"], fleet, born)
        self.configuration = self.followed(told["name"], configuration)

    def fleet_view(self, name: str, told: Any, born: dict[str, Any]) -> Any:
        """The view of the other gateways, where the operators turned it on and the settings let gateways talk
        to each other; else None, and nothing of it is so much as imported."""
        if told is None or not told.enabled:
            return None
        from granitedock.membership.settings import may_talk
        from granitedock.membership_services import MembershipServices

        if not may_talk(born):
            self.log.event("fleet off", why="the settings do not let gateways talk to each other")
            return None
        link = MembershipServices(told, name, born, int(BEGAN_MS), self.reactor, self.log)
        self.doors.leaving.append(link.leave)
        self.reducer.shown[b"FLEET"] = link.show_members
        self.reducer.gateway.peers = link.transport
        if told.shared.enabled:
            self.reducer.gateway.shared = link.share_quotas(self.clock, self.tell)
        if told.hosts.enabled:
            judge = link.detect_outliers(self.clock, self.tell, lambda: self.reducer.watch.version)
            self.reducer.gateway.fleet.judged = self.reducer.judge = judge
            self.reducer.shown[b"HOSTS"] = link.show_hosts
        return link

    def followed(self, name: str, file: Any) -> Any:
        """Plans and classes from control processes, where the operators turned it on; else None, and nothing
        of it is so much as imported."""
        if file is None or not file.enabled:
            return None
        from granitedock.configuration.attach import ConfigurationLink

        link = ConfigurationLink(file, name, self.reducer, self.reactor, self.clock, self.log)
        self.reducer.shown[b"CONFIG"] = link.shown
        self.doors.leaving.append(link.stop)
        return link

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
            effects = self.reducer.reduce(self.clock(), *happened, since=self.reactor.since)
        except Exception:
            # Guards all other tasks against a fault met with one.
            self.log.counts["faults"] += 1
            self.log.event("fault", input=happened[0], trace=traceback.format_exc())
            effects, self.reducer.effects = self.reducer.effects, []
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
        self.doors.port = ClientPort(
            int(port), door, self.limits.backlog, host.strip("[]"), self.reactor, self.limits.accepts
        )
        self.doors.port.startListening()
        if self.configuration is not None:
            self.configuration.start()
        if self.fleet is not None:
            self.fleet.start()
        self.log.event("listening", address=self.listen)
        gc.collect()
        gc.freeze()

    def trouble(self, event: dict[str, Any]) -> None:
        """What the network library caught and only tells its own log."""
        if "log_failure" in event:
            self.log.counts["faults"] += 1
            self.log.event("fault", input="network", trace=event["log_failure"].getTraceback())

    def stop_soon(self) -> None:
        self.tell("mode", "ending")

    def operators(self) -> Any:
        """The operators' file as it stands now. Only where there is one is its reader imported."""
        from granitedock.service.operator_settings import load

        return load(self.operators_at)

    def read_operators_anew(self) -> None:
        """Guards against a file with a fault, which changes nothing. What stands for the whole life of the
        process is told to be waiting for the next start."""
        try:
            file = self.operators()
        except ValueError as fault:
            self.log.event("operators' file refused", why=str(fault))
            return
        waits = file.over(self.limits) != replace(self.limits, log_lines=file.log.lines_a_second)
        self.log.most = file.log.lines_a_second
        self.log.event("operators' file read", lines_a_second=self.log.most, limits_wait_for_start=waits)

    def read_anew(self) -> None:
        """Guards against a file that is half written, gone or wrong in a field: then all stays as it was."""
        if self.operators_at is not None:
            self.read_operators_anew()
        try:
            there = parties(load(self.path))
        except ToldError as fault:
            self.log.counts["files_refused"] += 1
            self.log.event("file refused", why=str(fault))
            return
        self.log.event("file read", counter=there[0], discovery=there[1])
        self.tell("moved", *self.doors.move(*there))

    def signals(self, heard: list[int]) -> None:
        """From now on a signal acts at once; `heard` are those that came while we started, in their order."""
        acts = {
            signal.SIGTERM: self.stop_soon,
            signal.SIGINT: self.stop_soon,
            signal.SIGHUP: self.read_anew,
            signal.SIGUSR1: lambda: self.log.counters("counters"),
        }
        for number, act in acts.items():
            signal.signal(number, lambda *_, act=act: self.reactor.callFromThread(act))
        for number in heard:
            acts[number]()


def serve(path: str, fleet: Any = None, operators: str | None = None, configuration: Any = None) -> int:
    """Serve as the file says, until told to stop; the operators' files as for `Service`."""
    # Guards against signals that come while we start: by default they would end the process over connections
    # that the machine has taken, and a new file would go unread.
    heard: list[int] = []
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1):
        signal.signal(number, lambda number, _frame: heard.append(number))
    reactor = SteadyReactor(Wakes(Clock()), BEGAN_MS)
    installReactor(reactor)
    try:
        service = Service(path, reactor, fleet, operators, configuration)
        service.start()
    except ToldError as fault:
        print(f"granitedock: cannot start: {fault}", file=sys.stderr)
        return 1
    except (OSError, ValueError, KeyError, TypeError, AttributeError, CannotListenError) as fault:
        print(f"granitedock: cannot start by {path}: {type(fault).__name__}: {fault}", file=sys.stderr)
        return 1
    globalLogBeginner.beginLoggingTo([service.trouble], redirectStandardIO=False)
    reactor.callWhenRunning(service.signals, heard)
    reactor.run()
    service.log.counters("counters at exit")
    return 0
