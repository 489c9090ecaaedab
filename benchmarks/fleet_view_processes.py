"""The measurements of `fleet_view.py real` and `cost`: clusters of gateway processes on loopback."""

from __future__ import annotations

import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

from granitedock.lab.cluster.cluster import GatewayCluster
from granitedock.lab.load.verification import cluster_load
from granitedock.lab.scale.probe import process_cpu_s
from granitedock.lab.scenario import Scenario, parse

COST_GATEWAYS = 10
RATE = 250  # requests per second at the loaded gateway
SETTLE_S = 4
CRASHES = 5
AGREEMENT_S = 30
PARTITION_S = 60

SCENARIO = """
seed = 5
length_s = 60
[fleet]
gateways = %d
talk = true
view = %s
[[plans]]
rate = 1000000
burst = 1000000
[[fleet.zones]]
name = "east"
hosts = 4
slots = 1000
service = { kind = "fixed", mean_ms = 1 }
[[clients]]
customer = 161
product = "read"
plan = "p"
rate = %d
spread = %d
left_ms = 2000
"""


@dataclass(frozen=True, slots=True)
class ClusterResult:
    """Seconds until all members agree.

    They count from the start, each crash, each pause, a partition (until each half agrees) and its heal.
    """

    joined_s: float
    crash_s: list[float]
    pause_s: list[float]
    halves_agreed_s: float
    healed_s: float


@dataclass(frozen=True, slots=True)
class GatewayUsage:
    """Processor time of a gateway, and the number of requests sent to it, since its start."""

    cpu_s: float
    requests: int


def scenario(gateways: int, membership: bool, rate: int) -> Scenario:
    """Return a scenario of `gateways` gateways, of which the first is under load."""
    return parse(SCENARIO % (gateways, "true" if membership else "false", rate, 1))


def measure_cluster(count: int) -> ClusterResult:
    """Measure joins, crashes, pauses, a partition and its heal."""
    members = range(count)
    with (
        tempfile.TemporaryDirectory() as folder,
        GatewayCluster(scenario(count, True, 1), Path(folder)) as cluster,
    ):
        cluster.wait_until_ready(within_s=60)
        joined_s = cluster.wait_for_agreement(members, AGREEMENT_S)
        crash_s = []
        pause_s = []
        for number in range(1, 1 + CRASHES):
            others = set(members) - {number}
            cluster.kill(number)
            crash_s.append(cluster.wait_for_agreement(others, AGREEMENT_S))
            cluster.start(number)
            cluster.wait_for_agreement(members, AGREEMENT_S)
            cluster.pause(number)
            pause_s.append(cluster.wait_for_agreement(others, AGREEMENT_S))
            cluster.resume(number)
            cluster.wait_for_agreement(members, AGREEMENT_S)
        halves = range(count // 2), range(count // 2, count)
        cluster.cut(*halves)
        halves_agreed_s = max(cluster.wait_for_agreement(half, PARTITION_S) for half in halves)
        cluster.heal()
        healed_s = cluster.wait_for_agreement(members, PARTITION_S)
    return ClusterResult(joined_s, crash_s, pause_s, halves_agreed_s, healed_s)


def loaded_pid(cluster: GatewayCluster) -> int:
    """Return the process id of the gateway under load; raises RuntimeError if it is not running."""
    process = cluster.gateways[0].process
    if process is None:
        raise RuntimeError(cluster.gateways[0])
    return process.pid


def measure_request_cost(order: tuple[bool, bool], seconds: float) -> dict[bool, float]:
    """Return the processor time per request in us, by membership on (True) and off.

    Two clusters run side by side; `order` is the order in which they start.
    """
    with ExitStack() as stack:
        folders = [Path(stack.enter_context(tempfile.TemporaryDirectory())) for _ in order]
        scenarios = [scenario(COST_GATEWAYS, membership, RATE) for membership in order]
        unstarted = [
            GatewayCluster(config, folder) for config, folder in zip(scenarios, folders, strict=True)
        ]
        clusters = {
            membership: stack.enter_context(cluster)
            for membership, cluster in zip(order, unstarted, strict=True)
        }
        loads = {}
        for membership, cluster in clusters.items():
            cluster.wait_until_ready()
            loads[membership] = cluster_load(cluster)
            loads[membership].start()
        time.sleep(SETTLE_S)
        pids = {membership: loaded_pid(cluster) for membership, cluster in clusters.items()}
        before = {
            membership: GatewayUsage(process_cpu_s(pids[membership]), len(loads[membership].records))
            for membership in order
        }
        time.sleep(seconds)
        costs = {}
        for membership in order:
            cpu_s = process_cpu_s(pids[membership]) - before[membership].cpu_s
            requests = len(loads[membership].records) - before[membership].requests
            costs[membership] = cpu_s / requests * 1e6
        for load in loads.values():
            load.stop()
        return costs
