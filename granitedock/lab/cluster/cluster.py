"""A fleet of real gateway processes on this machine's loopback, and the faults that are put on it.

The rig starts `granitedock serve` as processes of their own, with emulated hosts, counter and discovery, and
failing wires between all of them (`faults/proxies.py`). A test or a scenario's timeline kills (SIGKILL),
pauses (SIGSTOP), wakes (SIGCONT), stops (SIGTERM) and restarts gateways, and cuts or spoils wires. It ends only
processes it started, by their ids, also when a test fails. The stand-ins run on one Twisted reactor in a
thread of this process; everything public here may be called from any other thread.

Addresses: each rig has a net of its own, 127.A.B.0, so that a gateway that comes back finds its port free:
ports that the kernel lends to outgoing connections lie on 127.0.0.1 only. A net is claimed by a listening
socket, so that rigs of several processes can run side by side.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterable
from pathlib import Path
from threading import Thread
from typing import Any

import orjson
from twisted.internet import reactor
from twisted.internet.defer import DeferredList
from twisted.internet.threads import blockingCallFromThread

from granitedock.lab.emulators import hosts
from granitedock.lab.emulators.counter import Counter, Counts
from granitedock.lab.emulators.discovery import Discovery
from granitedock.lab.faults.proxies import FINE, DatagramWires, Fate, TcpWire, Weather
from granitedock.lab.gateway_settings import born
from granitedock.lab.scenario import Fault, Scenario, numbers
from granitedock.service.resp import command

CLIENTS_PORT, FLEET_PORT = 6379, 7946
NETS, NET_STEP, CLAIM_HOST = 60 * 256, 37, 250  # nets to choose from; apart for neighbouring process ids
_thread: Thread | None = None


def on_loop(act: Any, *what: Any, **more: Any) -> Any:
    """Carry `act` out on the stand-ins' reactor, which runs in a thread from the first call on; gives what it
    gives, or raises what it raises."""
    global _thread
    if _thread is None:
        _thread = Thread(target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True)
        _thread.start()
    return blockingCallFromThread(reactor, act, *what, **more)


class RigError(RuntimeError):
    """A gateway did not come up, or does not answer."""


class Process:
    """One gateway of the rig: its file, and the process that runs by it now."""

    def __init__(self, number: int, directory: Path, told: dict[str, Any], more: list[str]) -> None:
        self.name, self.number, self.directory = f"gateway/{number}", number, directory
        self.told, self.more = told, more
        self.process: subprocess.Popen | None = None
        self.starts = 0
        self.paused = False
        self.pauses: list[list[float]] = []  # from when to when it was stopped, on the steady clock

    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def log(self, start: int | None = None) -> Path:
        return self.directory / f"g{self.number}.{self.starts if start is None else start}.log"

    def path(self) -> Path:
        return self.directory / f"g{self.number}.json"

    def write(self) -> None:
        told = self.told | {"seed": f"{self.number:08x}{self.starts:08x}"}
        self.path().write_bytes(orjson.dumps(told))

    def start(self) -> None:
        assert not self.running()
        self.starts += 1
        self.write()
        with open(self.log(), "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "granitedock", "serve", "--told", str(self.path()), *self.more],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.paused = False

    def signal(self, number: int) -> None:
        if self.running():
            self.process.send_signal(number)

    def end(self, number: int, within_s: float = 10.0) -> int | None:
        """Send the signal and wait until it has ended; its exit code. One that does not end is killed."""
        if self.process is None:
            return None
        if self.paused and number != signal.SIGKILL:
            self.signal(signal.SIGCONT)
        self.signal(number)
        try:
            return self.process.wait(within_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

    def events(self) -> list[dict[str, Any]]:
        """Its log lines, over all starts; a line that is still being written is left out."""
        found = []
        for start in range(1, self.starts + 1):
            for line in self.log(start).read_bytes().splitlines():
                try:
                    found.append(orjson.loads(line) | {"start": start})
                except orjson.JSONDecodeError:
                    continue
        return found


def claimed_net() -> tuple[socket.socket, str]:
    """A net 127.A.B. that no other rig of this machine has, and the socket that holds it. Raises RigError."""
    for turn in range(NETS):
        number = (os.getpid() * NET_STEP + turn) % NETS
        net = f"127.{1 + number // 256}.{number % 256}."
        try:
            return socket.create_server((f"{net}{CLAIM_HOST}", CLIENTS_PORT)), net
        except OSError:
            continue  # another rig's
    raise RigError("no loopback net is free for a rig")


class Rig:
    """A scenario's world with its gateways. `view` are lines of the operators' fleet file beyond those that
    the rig fills in (addresses and seeds), used where the scenario turns the view on."""

    def __init__(self, scenario: Scenario, directory: Path, view: dict[str, Any] | None = None) -> None:
        self.scenario, self.directory = scenario, Path(directory)
        self.count = scenario.fleet.gateways
        self.claim, self.net = claimed_net()
        self.weather = Weather(scenario.seed)
        self.wires = DatagramWires(reactor, self.weather)
        self.tcp: list[TcpWire] = []
        self.gateways: list[Process] = []
        self.discoveries: list[Discovery] = []
        self.counter: Counter | None = None
        self.counters: list[Counter] = []  # it, and those it took over from
        self.hosts: list[hosts.Host] = []
        self.lines = view or {}
        self.began = time.monotonic()

    # The world.

    def __enter__(self) -> Rig:
        try:
            on_loop(self.build)
            self.each(Process.start)
            self.began = time.monotonic()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        for gateway in self.gateways:
            gateway.signal(signal.SIGKILL)
        for gateway in self.gateways:
            gateway.end(signal.SIGKILL)
        on_loop(self.close)
        self.claim.close()

    def own(self, n: int) -> str:
        return f"{self.net}{1 + n}"

    def stand(self, n: int) -> str:
        """The address that stands for gateway `n` towards the others, and leads it to its parties."""
        return f"{self.net}{101 + n}"

    def build(self) -> None:
        self.counter = Counter(self.scenario, reactor)
        self.counters = [self.counter]
        counter_at = self.counter.listen()
        self.counter.check()
        addresses, self.hosts = hosts.start(self.scenario, reactor)
        for n in range(self.count):
            name = f"gateway/{n}"

            def lead(party: str, to: str, n: int = n, name: str = name) -> str:
                wire = TcpWire(reactor, self.weather, name, party, f"{self.stand(n)}:0", to)
                self.tcp.append(wire)
                if party == "discovery":
                    self.discoveries[n].reaches = lambda: not wire.cut()
                return wire.address

            seen = {host: lead("hosts", address) for host, address in addresses.items()}
            discovery = Discovery(self.scenario, seen, reactor)
            self.discoveries.append(discovery)
            told = {
                "name": f"g{n}",
                "listen": f"{self.own(n)}:{CLIENTS_PORT}",
                "discovery": lead("discovery", discovery.listen()),
                "counter": lead("counter", counter_at),
                "settings": born(self.scenario, n),
            }
            discovery.tick()
            more = ["--fleet", str(self.fleet_file(n))] if self.scenario.fleet.view else []
            self.gateways.append(Process(n, self.directory, told, more))
            self.wires.add(name, (self.own(n), FLEET_PORT), (self.stand(n), FLEET_PORT))

    def zero(self) -> None:
        """The timeline of the stand-ins begins now."""

        def begin() -> None:
            began = time.monotonic()
            self.counter.began = began
            for discovery in self.discoveries:
                discovery.zero()
            for host in self.hosts:
                host.clock = lambda: (time.monotonic() - began) * 1000.0
                host.started_ms = host.up_ms = 0.0

        on_loop(begin)

    def fleet_file(self, n: int) -> Path:
        """The operators' file of gateway `n`: it is known by its stand, and so are the seeds."""
        told = {
            "enabled": True,
            "cluster": "lab",
            "listen": f"{self.own(n)}:{FLEET_PORT}",
            "advertise": f"{self.stand(n)}:{FLEET_PORT}",
            "seeds": [f"{self.stand(0)}:{FLEET_PORT}"],
        } | self.lines
        path = self.directory / f"g{n}.fleet.toml"
        lines = [f"{key} = {orjson.dumps(value).decode()}\n" for key, value in told.items()]
        if self.scenario.fleet.shared:
            file = orjson.dumps(str(self.directory / f"g{n}.snapshot")).decode()
            lines.append(f"[shared]\nenabled = true\nsnapshot = {file}\n")
        if self.scenario.fleet.hosts:
            lines.append("[hosts]\nenabled = true\n")
        path.write_text("".join(lines))
        return path

    def close(self) -> DeferredList:
        waits = self.wires.end() + [wire.end() for wire in self.tcp]
        waits += [part.end() for part in [*self.counters, *self.discoveries, *self.hosts]]
        return DeferredList([wait for wait in waits if wait is not None])

    # Hosts.

    def host(self, name: str) -> hosts.Host:
        return next(host for host in self.hosts if host.name == name)

    def host_fault(
        self, name: str, what: str, for_s: float = 0.0, rate: float = 1.0, factor: float = 1.0
    ) -> None:
        """A fault of one host from now on, as the timeline would begin it; discovery knows of drains."""
        began = time.monotonic()
        host = self.host(name)

        def begin() -> None:
            host.faults.append(
                Fault(
                    at_s=host.clock() / 1000.0, what=what, target=name, for_s=for_s, rate=rate, factor=factor
                )
            )
            for discovery in self.discoveries:
                at_s = began - discovery.began
                told = Fault(at_s=at_s, what=what, target=name, for_s=for_s, rate=rate)
                discovery.timeline.append(told)

        on_loop(begin)

    def host_well(self, name: str) -> None:
        """No more faults of this host."""

        def end() -> None:
            self.host(name).faults.clear()
            for discovery in self.discoveries:
                discovery.timeline[:] = [fault for fault in discovery.timeline if fault.target != name]

        on_loop(end)

    def judged(self, n: int) -> dict[str, Any]:
        """What gateway `n` knows of the hosts (`granitedock hosts --json`)."""
        return orjson.loads(self.ask(n, b"HOSTS"))

    # The counter.

    def counter_back(self, counts: Counts) -> None:
        """The counter's process is gone and back at once, with these counts."""

        def begin() -> None:
            self.counter.cut()
            self.counter.counts = counts

        on_loop(begin)

    def counter_moves(self) -> None:
        """A fresh counter takes over at another address: the gateways' files name it, and they hear SIGHUP.
        The old one goes on for those that call it."""

        def begin() -> list[str]:
            self.counter = Counter(self.scenario, reactor)
            self.counters.append(self.counter)
            at = self.counter.listen()
            self.counter.check()
            wires = [
                TcpWire(reactor, self.weather, f"gateway/{n}", "counter", f"{self.stand(n)}:0", at)
                for n in range(self.count)
            ]
            self.tcp += wires
            return [wire.address for wire in wires]

        for gateway, address in zip(self.gateways, on_loop(begin), strict=True):
            gateway.told["counter"] = address
            gateway.write()
            gateway.signal(signal.SIGHUP)

    # Faults. Gateways are named by their numbers.

    def each(self, act: Any, *which: int) -> None:
        for n in which or range(self.count):
            act(self.gateways[n])

    def start(self, *which: int) -> None:
        for n in which:
            on_loop(self.wires.open, f"gateway/{n}")
            self.gateways[n].start()

    def gone(self, which: Iterable[int], number: int) -> list[int | None]:
        for n in which:
            self.gateways[n].signal(number)
        codes = []
        for n in which:
            codes.append(self.gateways[n].end(number))
            on_loop(self.wires.close, f"gateway/{n}")
        return codes

    def kill(self, *which: int) -> None:
        self.gone(which, signal.SIGKILL)

    def stop(self, *which: int) -> list[int | None]:
        """SIGTERM, as a planned stop; the exit codes."""
        return self.gone(which, signal.SIGTERM)

    def restart(self, *which: int) -> None:
        self.kill(*which)
        self.start(*which)

    def pause(self, *which: int) -> None:
        for n in which:
            self.gateways[n].paused = True
            self.gateways[n].pauses.append([time.monotonic(), float("inf")])
            self.gateways[n].signal(signal.SIGSTOP)

    def wake(self, *which: int) -> None:
        for n in which:
            self.gateways[n].signal(signal.SIGCONT)
            self.gateways[n].paused = False
            self.gateways[n].pauses[-1][1] = time.monotonic()

    def pairs(
        self, which: Iterable[int], off: Iterable[int] | str, way: str = "both"
    ) -> list[tuple[str, str]]:
        """The directed pairs between `which` and `off`; `way` as seen from `which`."""
        which = list(which)
        others = [off] if isinstance(off, str) else [f"gateway/{n}" for n in off if n not in which]
        ours = [f"gateway/{n}" for n in which]
        out = [(a, b) for a in ours for b in others]
        back = [(b, a) for a in ours for b in others]
        return {"both": out + back, "out": out, "in": back}[way]

    def wire(self, fate: Fate, which: Iterable[int], off: Iterable[int] | str, way: str = "both") -> None:
        on_loop(self.weather.set, fate, self.pairs(which, off, way))

    def cut(self, which: Iterable[int], off: Iterable[int] | str, way: str = "both") -> None:
        self.wire(Fate(cut=True), which, off, way)

    def heal(self) -> None:
        on_loop(self.weather.set, FINE, list(self.weather.fates))

    def strike(self, fault: Fault) -> None:
        """Begin a fault of the timeline that takes gateways; `relieve` ends it."""
        which = numbers(fault.target, self.count)
        if fault.what in ("kill", "stop", "pause", "restart"):
            getattr(self, fault.what)(*which)
        else:
            fate = Fate(cut=True)
            if fault.what == "wire":
                fate = Fate(False, fault.rate, fault.late_ms, fault.jitter_ms, fault.twice)
            self.wire(fate, which, self.others(fault), fault.way)

    def relieve(self, fault: Fault) -> None:
        which = numbers(fault.target, self.count)
        if fault.what in ("kill", "stop"):
            self.start(*which)
        elif fault.what == "pause":
            self.wake(*which)
        elif fault.what in ("cut", "wire"):
            self.wire(FINE, which, self.others(fault), fault.way)

    def others(self, fault: Fault) -> list[int] | str:
        if not fault.off:
            return list(range(self.count))
        return numbers(fault.off, self.count) or fault.off

    # What it can be asked.

    def ask(self, n: int, *words: bytes, within_s: float = 2.0) -> bytes:
        """One command to gateway `n`, and the first line or the bulk string that it answers."""
        try:
            with socket.create_connection((self.own(n), CLIENTS_PORT), timeout=within_s) as line:
                line.sendall(command(*words))
                with line.makefile("rb") as said:
                    head = said.readline()
                    return said.read(int(head[1:])) if head[:1] == b"$" else head.rstrip()
        except (OSError, ValueError) as fault:
            raise RigError(f"gateway/{n} does not answer: {fault}") from None

    def view(self, n: int) -> dict[str, Any]:
        """What gateway `n` holds of the others (`granitedock fleet --json`)."""
        return orjson.loads(self.ask(n, b"FLEET"))

    def states(self, n: int) -> dict[int, str]:
        """The state of each other gateway in the view of `n`, by number; unknown ones are left out."""
        return {row["seat"]: row["state"] for row in self.view(n)["members"]}

    def agreed(self, live: Iterable[int], within_s: float) -> float:
        """Wait until each of the `live` gateways holds exactly these live; the seconds it took."""
        live, began = set(live), time.monotonic()
        while True:
            views = {}
            for n in live:
                try:
                    held = self.states(n).items()
                    views[n] = {n} | {seat for seat, state in held if state in ("alive", "suspect")}
                except RigError as fault:
                    views[n] = str(fault)
            if all(view == live for view in views.values()):
                return time.monotonic() - began
            if time.monotonic() - began > within_s:
                raise RigError(
                    f"after {within_s} s, {sorted(live)} should be held live, and the views are {views}"
                )
            time.sleep(0.05)

    def ready(self, *which: int, within_s: float = 20.0) -> None:
        """Wait until these gateways (all, if none is named) answer PING."""
        ends = time.monotonic() + within_s
        for n in which or range(self.count):
            while True:
                try:
                    if self.ask(n, b"PING") == b"+PONG":
                        break
                except RigError as fault:
                    if time.monotonic() > ends or not self.gateways[n].running():
                        raise RigError(
                            f"{fault}; its log: {self.gateways[n].log().read_text()[-2000:]}"
                        ) from None
                time.sleep(0.05)
