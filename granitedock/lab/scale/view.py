"""What the membership protocol costs a gateway by the fleet's size, on the simulated wire."""

from __future__ import annotations

import time
from dataclasses import dataclass

from granitedock.lab.simulators.membership_simulation import MembershipSimulation
from granitedock.lab.simulators.simulated_network import NetworkConditions

SETTLE_MS = 2000.0
SEED = 3


@dataclass(frozen=True, slots=True)
class ViewCost:
    """A gateway's part at rest, at so many gateways: datagrams and bytes sent a second, processor ms a second
    (with the simulated wire's own)."""

    gateways: int
    messages_a_second: float
    bytes_a_second: float
    cpu_ms_a_second: float


def measure(count: int, seconds: float) -> ViewCost:
    """`count` gateways that know each other, for so many simulated seconds."""
    world = MembershipSimulation(
        count, seed=SEED, network=NetworkConditions(measure_bytes=True), already_joined=True
    )
    world.run(SETTLE_MS)
    for node in world.nodes:
        node.sent = 0
        node.sent_bytes = 0
    started_at = time.process_time()
    world.run(seconds * 1000.0)
    cpu_ms = (time.process_time() - started_at) * 1000.0
    share = 1.0 / (count * seconds)
    messages = sum(node.sent for node in world.nodes)
    volume = sum(node.sent_bytes for node in world.nodes)
    return ViewCost(
        gateways=count,
        messages_a_second=messages * share,
        bytes_a_second=volume * share,
        cpu_ms_a_second=cpu_ms * share,
    )
