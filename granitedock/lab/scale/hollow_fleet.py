"""Hundreds of hollow gateways over a few processes, and what they use together."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass

from granitedock.lab.hollow.messages import GatewayState, HollowOrder, HollowStatus
from granitedock.lab.scale.child_processes import CommandProcess
from granitedock.lab.scale.errors import MeasurementTimeoutError

PROCESSES = 10
FIRST_NET = 200
NETS = 50
WITHIN_S = 90.0
CHECK_EVERY_S = 0.2


def membership_net() -> int:
    """The second number of a loopback net for the membership of this process's fleets (127.N)."""
    return FIRST_NET + os.getpid() % NETS


class HollowFleet:
    """So many hollow gateways over at most `PROCESSES` processes."""

    def __init__(
        self, gateways: int, discovery: str, membership: bool, control: list[str], cluster: str
    ) -> None:
        self.count = gateways
        process_count = min(PROCESSES, gateways)
        self.processes = [CommandProcess("granitedock.lab.hollow") for _ in range(process_count)]
        net = membership_net() if membership else 0
        first = 0
        for number, process in enumerate(self.processes):
            count = gateways // process_count + (number < gateways % process_count)
            process.send(asdict(HollowOrder(first, count, gateways, discovery, net, control, cluster)))
            first += count
        for process in self.processes:
            process.read_answer()

    def statuses(self) -> list[HollowStatus]:
        """Each process's status."""
        for process in self.processes:
            process.send({"status": True})
        records = [process.read_answer() for process in self.processes]
        return [
            HollowStatus(
                record["cpu_s"],
                record["memory_mb"],
                [GatewayState(**state) for state in record["gateways"]],
            )
            for record in records
        ]

    def gateways(self) -> list[GatewayState]:
        """Each gateway's state."""
        return [state for status in self.statuses() for state in status.gateways]

    def wait_until(self, condition: Callable[[GatewayState], bool], within_s: float = WITHIN_S) -> float:
        """Wait until the condition is true of each gateway; the seconds waited. Raises
        MeasurementTimeoutError."""
        started_at = time.monotonic()
        while True:
            states = self.gateways()
            missing = sum(not condition(state) for state in states)
            if not missing:
                return time.monotonic() - started_at
            if time.monotonic() - started_at > within_s:
                raise MeasurementTimeoutError.hollow_gateways(missing, len(states), within_s)
            time.sleep(CHECK_EVERY_S)

    def stop(self) -> None:
        """Kill all processes."""
        for process in self.processes:
            process.stop()


@contextmanager
def hollow_fleet(
    gateways: int,
    discovery: str,
    membership: bool = False,
    control: tuple[str, ...] = (),
    cluster: str = "lab",
) -> Iterator[HollowFleet]:
    """Run a hollow fleet until the block ends; `discovery` and `control` are addresses."""
    fleet = HollowFleet(gateways, discovery, membership, list(control), cluster)
    try:
        yield fleet
    finally:
        fleet.stop()


@dataclass(frozen=True, slots=True)
class FleetUsage:
    """Sums over the fleet at a moment (steady seconds)."""

    taken_at: float
    cpu_s: float
    memory_mb: float
    watch_bytes: int
    membership_messages: int

    @classmethod
    def take(cls, fleet: HollowFleet) -> FleetUsage:
        """The fleet's usage now."""
        statuses = fleet.statuses()
        states = [state for status in statuses for state in status.gateways]
        return cls(
            taken_at=time.monotonic(),
            cpu_s=sum(status.cpu_s for status in statuses),
            memory_mb=sum(status.memory_mb for status in statuses),
            watch_bytes=sum(state.counts.get("watch_bytes", 0) for state in states),
            membership_messages=sum(state.counts.get("fleet_sent", 0) for state in states),
        )


@dataclass(frozen=True, slots=True)
class UsageInterval:
    """What the fleet used between two moments."""

    before: FleetUsage
    after: FleetUsage

    @property
    def elapsed_s(self) -> float:
        """Its length."""
        return self.after.taken_at - self.before.taken_at

    @property
    def cpu_s(self) -> float:
        """Processor seconds."""
        return self.after.cpu_s - self.before.cpu_s

    @property
    def watch_bytes(self) -> int:
        """Bytes of the watches on discovery."""
        return self.after.watch_bytes - self.before.watch_bytes

    @property
    def membership_messages(self) -> int:
        """Datagrams of the membership sent."""
        return self.after.membership_messages - self.before.membership_messages
