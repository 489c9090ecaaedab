"""Measure a gateway's cost of the membership protocol by cluster size, on a simulated network."""

from __future__ import annotations

import time
from dataclasses import dataclass

from granitedock.lab.simulators.membership_simulation import MembershipSimulation
from granitedock.lab.simulators.simulated_network import NetworkConditions

SETTLE_MS = 2000.0
SEED = 3


@dataclass(frozen=True, slots=True)
class ViewCost:
    """One gateway's part of the cost at rest, in a cluster of `gateways` gateways.

    The costs are datagrams and bytes sent, and processor ms, each per second. The processor time includes
    that of the simulated network.
    """

    gateways: int
    messages_a_second: float
    bytes_a_second: float
    cpu_ms_a_second: float


def measure(count: int, seconds: float) -> ViewCost:
    """Measure `count` gateways that have already joined one cluster, for `seconds` of simulated time."""
    simulation = MembershipSimulation(
        count, seed=SEED, network=NetworkConditions(measure_bytes=True), already_joined=True
    )
    simulation.run(SETTLE_MS)
    for node in simulation.nodes:
        node.sent = 0
        node.sent_bytes = 0
    started_at = time.process_time()
    simulation.run(seconds * 1000.0)
    cpu_ms = (time.process_time() - started_at) * 1000.0
    per_gateway_second = 1.0 / (count * seconds)
    messages = sum(node.sent for node in simulation.nodes)
    sent_bytes = sum(node.sent_bytes for node in simulation.nodes)
    return ViewCost(
        gateways=count,
        messages_a_second=messages * per_gateway_second,
        bytes_a_second=sent_bytes * per_gateway_second,
        cpu_ms_a_second=cpu_ms * per_gateway_second,
    )
