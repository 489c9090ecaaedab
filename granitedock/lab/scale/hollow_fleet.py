"""Run hundreds of hollow gateways in a few processes and measure the resources that they use together."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass

from granitedock.lab.hollow.messages import GatewayState, HollowOrder, HollowStatus
from granitedock.lab.scale.child_processes import CommandProcess
from granitedock.lab.scale.errors import MeasurementTimeoutError

MAX_PROCESSES = 10
FIRST_LOOPBACK_NET = 200
LOOPBACK_NETS = 50
STATE_TIMEOUT_S = 90.0
CHECK_INTERVAL_S = 0.2


def membership_net() -> int:
    """Return N of the loopback net 127.N that the members of this process's fleets use.

    It depends on the process id, so that fleets of processes that run at once rarely share a net.
    """
    return FIRST_LOOPBACK_NET + os.getpid() % LOOPBACK_NETS


class HollowFleet:
    """`gateways` hollow gateways, spread evenly over at most `MAX_PROCESSES` processes."""

    def __init__(
        self, gateways: int, discovery: str, membership: bool, control: list[str], cluster: str
    ) -> None:
        self.count = gateways
        process_count = min(MAX_PROCESSES, gateways)
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
        """Query all processes and return the status of each one."""
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
        """Return the state of every gateway."""
        return [state for status in self.statuses() for state in status.gateways]

    def wait_until(
        self, condition: Callable[[GatewayState], bool], timeout_s: float = STATE_TIMEOUT_S
    ) -> float:
        """Wait until the condition is true for every gateway and return the wait in seconds.

        Raises MeasurementTimeoutError after `timeout_s` seconds.
        """
        started_at = time.monotonic()
        while True:
            states = self.gateways()
            missing = sum(not condition(state) for state in states)
            if not missing:
                return time.monotonic() - started_at
            if time.monotonic() - started_at > timeout_s:
                raise MeasurementTimeoutError.hollow_gateways(missing, len(states), timeout_s)
            time.sleep(CHECK_INTERVAL_S)

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
    """Run a hollow fleet until the block ends.

    `discovery` is the address of discovery, `control` are the addresses of the control processes.
    """
    fleet = HollowFleet(gateways, discovery, membership, list(control), cluster)
    try:
        yield fleet
    finally:
        fleet.stop()


@dataclass(frozen=True, slots=True)
class FleetUsage:
    """Totals over the fleet at the time `taken_at` (monotonic seconds)."""

    taken_at: float
    cpu_s: float
    memory_mb: float
    watch_bytes: int
    membership_messages: int

    @classmethod
    def take(cls, fleet: HollowFleet) -> FleetUsage:
        """Return the fleet's current usage."""
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
    """The fleet's usage between two readings."""

    before: FleetUsage
    after: FleetUsage

    @property
    def elapsed_s(self) -> float:
        """Time between the two readings, in seconds."""
        return self.after.taken_at - self.before.taken_at

    @property
    def cpu_s(self) -> float:
        """Processor time used, in seconds."""
        return self.after.cpu_s - self.before.cpu_s

    @property
    def watch_bytes(self) -> int:
        """Bytes received on the watches of discovery."""
        return self.after.watch_bytes - self.before.watch_bytes

    @property
    def membership_messages(self) -> int:
        """Membership datagrams sent."""
        return self.after.membership_messages - self.before.membership_messages
