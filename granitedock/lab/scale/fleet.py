"""Hundreds of hollow gateways over a few processes, and what lists and changes cost the whole fleet."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from typing import Any

import orjson

from granitedock.lab.hollow import GatewayState, HollowOrder, HollowStatus
from granitedock.lab.scale.errors import ScaleError
from granitedock.lab.scale.probe import quantile

PROCESSES = 10
FIRST_NET, NETS = 200, 50
REST_S, CHANGES, CHANGE_EVERY_S = 5.0, 8, 1.0
WITHIN_S = 90.0
SETTLED = 0.98  # of the fleet held live by each view: on one busy machine some are always under suspicion


def own_net() -> int:
    """The second number of a loopback net for the views of this process's fleets (127.N)."""
    return FIRST_NET + os.getpid() % NETS


class Commanded:
    """A process that takes commands on standard input and answers each with one line of JSON."""

    def __init__(self, module: str, *words: str) -> None:
        command = [sys.executable, "-m", module, *words]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.said = self.answer()

    def answer(self) -> Any:
        line = self.process.stdout.readline()
        if not line:
            raise ScaleError(f"a process ended early with code {self.process.wait()}")
        return orjson.loads(line)

    def order(self, command: dict[str, Any]) -> None:
        self.process.stdin.write(orjson.dumps(command) + b"\n")
        self.process.stdin.flush()

    def ask(self, command: dict[str, Any]) -> Any:
        self.order(command)
        return self.answer()

    def end(self) -> None:
        self.process.kill()
        self.process.wait()
        self.process.stdin.close()
        self.process.stdout.close()


@contextmanager
def commanded(module: str, *words: str) -> Iterator[Commanded]:
    made = Commanded(module, *words)
    try:
        yield made
    finally:
        made.end()


class HollowFleet:
    """So many hollow gateways over at most `PROCESSES` processes."""

    def __init__(self, gateways: int, discovery: str, view: bool, control: list[str], cluster: str) -> None:
        self.count = gateways
        number = min(PROCESSES, gateways)
        self.processes = [Commanded("granitedock.lab.hollow") for _ in range(number)]
        first = 0
        for n, process in enumerate(self.processes):
            count = gateways // number + (n < gateways % number)
            order = HollowOrder(first, count, gateways, discovery, view * own_net(), control, cluster)
            process.order(asdict(order))
            first += count
        for process in self.processes:
            process.answer()

    def statuses(self) -> list[HollowStatus]:
        for process in self.processes:
            process.order({"status": True})
        found = [process.answer() for process in self.processes]
        return [
            HollowStatus(
                told["cpu_s"], told["memory_mb"], [GatewayState(**state) for state in told["gateways"]]
            )
            for told in found
        ]

    def gateways(self) -> list[GatewayState]:
        return [state for status in self.statuses() for state in status.gateways]

    def wait(self, true: Callable[[GatewayState], bool], within_s: float = WITHIN_S) -> float:
        """Until it is true of each gateway; the seconds waited. Raises ScaleError."""
        began = time.monotonic()
        while True:
            states = self.gateways()
            missing = sum(not true(state) for state in states)
            if not missing:
                return time.monotonic() - began
            if time.monotonic() - began > within_s:
                raise ScaleError(
                    f"{missing} of {len(states)} hollow gateways were not there in {within_s:g} s"
                )
            time.sleep(0.2)

    def end(self) -> None:
        for process in self.processes:
            process.end()


@contextmanager
def hollow_fleet(
    gateways: int, discovery: str, view: bool = False, control: tuple[str, ...] = (), cluster: str = "lab"
) -> Iterator[HollowFleet]:
    made = HollowFleet(gateways, discovery, view, list(control), cluster)
    try:
        yield made
    finally:
        made.end()


@dataclass(frozen=True, slots=True)
class FleetCost:
    """So many hollow gateways before so many hosts: seconds until all had the whole list, a gateway's MiB;
    at rest, a gateway's part of a core and bytes a second (watch and view); changes of one host each: seconds
    until each gateway had them, bytes and processor ms of a gateway a change, and of discovery a change."""

    gateways: int
    hosts: int
    view: bool
    first_list_s: float
    memory_mb: float
    rest_core: float
    rest_watch_bytes_a_second: float
    rest_view_messages_a_second: float
    change_p50_s: float
    change_p99_s: float
    change_worst_s: float
    change_bytes: float
    change_cpu_ms: float
    discovery_change_cpu_ms: float


@dataclass(frozen=True, slots=True)
class Usage:
    """Sums over the fleet at a moment."""

    at: float
    cpu_s: float
    memory_mb: float
    watch_bytes: int
    view_messages: int

    @classmethod
    def of(cls, statuses: list[HollowStatus]) -> Usage:
        states = [state for status in statuses for state in status.gateways]
        return cls(
            time.monotonic(),
            sum(status.cpu_s for status in statuses),
            sum(status.memory_mb for status in statuses),
            sum(state.counts.get("watch_bytes", 0) for state in states),
            sum(state.counts.get("fleet_sent", 0) for state in states),
        )


def changes(roster: Commanded, fleet: HollowFleet, first: int) -> tuple[list[float], float, Usage, Usage]:
    """One host changes again and again: the seconds until each gateway had each change, the stand-in's
    processor seconds, and the fleet's usage before and after."""
    before, told_at = Usage.of(fleet.statuses()), {}
    cpu = roster.ask({})["cpu_s"]
    for n in range(CHANGES):
        told_at[str(first + 1 + n)] = time.monotonic()
        roster.ask({"change": 1})
        time.sleep(CHANGE_EVERY_S)
    last = first + CHANGES
    fleet.wait(lambda state: state.list_version >= last)
    cpu = roster.ask({})["cpu_s"] - cpu
    after = Usage.of(fleet.statuses())
    waits = [
        state.list_at[version] - at
        for state in fleet.gateways()
        for version, at in told_at.items()
        if version in state.list_at
    ]
    return waits, cpu, before, after


def measure(gateways: int, hosts: int, view: bool) -> FleetCost:
    """A fleet of hollow gateways that follows one discovery stand-in."""
    with commanded("granitedock.lab.scale.roster", str(hosts)) as roster:
        began = time.monotonic()
        with hollow_fleet(gateways, roster.said, view) as fleet:
            fleet.wait(lambda state: state.list_version >= 1)
            first = [state.list_at["1"] - began for state in fleet.gateways()]
            if view:
                fleet.wait(lambda state: state.live >= SETTLED * gateways)
            time.sleep(REST_S)  # the start's work is over
            before = Usage.of(fleet.statuses())
            time.sleep(REST_S)
            after = Usage.of(fleet.statuses())
            lasted = (after.at - before.at) * gateways
            waits, cpu, began_changes, ended_changes = changes(roster, fleet, 1)
            many = CHANGES * gateways
            busy = ended_changes.cpu_s - began_changes.cpu_s
            rest = (after.cpu_s - before.cpu_s) / (after.at - before.at)
            idle = rest * (ended_changes.at - began_changes.at)
            return FleetCost(
                gateways=gateways,
                hosts=hosts,
                view=view,
                first_list_s=max(first),
                memory_mb=after.memory_mb / gateways,
                rest_core=(after.cpu_s - before.cpu_s) / lasted,
                rest_watch_bytes_a_second=(after.watch_bytes - before.watch_bytes) / lasted,
                rest_view_messages_a_second=(after.view_messages - before.view_messages) / lasted,
                change_p50_s=quantile(waits, 0.5),
                change_p99_s=quantile(waits, 0.99),
                change_worst_s=max(waits),
                change_bytes=(ended_changes.watch_bytes - began_changes.watch_bytes) / many,
                change_cpu_ms=max(0.0, busy - idle) * 1000.0 / many,
                discovery_change_cpu_ms=cpu * 1000.0 / CHANGES,
            )
