"""What the view of the fleet costs a gateway per gateway, on the simulated wire (`lab/simulators/`)."""

from __future__ import annotations

import time
from dataclasses import dataclass

from granitedock.lab.simulators.membership_simulation import MembershipSimulation
from granitedock.lab.simulators.simulated_network import NetworkConditions

SETTLE_MS = 2000.0


@dataclass(frozen=True, slots=True)
class ViewCost:
    """A gateway's part at rest, at so many gateways: datagrams and bytes sent a second, processor ms a second
    (with the simulated wire's own)."""

    gateways: int
    messages_a_second: float
    bytes_a_second: float
    cpu_ms_a_second: float


def measure(count: int, seconds: float) -> ViewCost:
    """`count` views that know each other, for so many simulated seconds."""
    world = MembershipSimulation(
        count, seed=3, network=NetworkConditions(measure_bytes=True), already_joined=True
    )
    world.run(SETTLE_MS)
    for node in world.nodes:
        node.sent = node.sent_bytes = 0
    began = time.process_time()
    world.run(seconds * 1000.0)
    cpu_ms = (time.process_time() - began) * 1000.0
    part = 1.0 / (count * seconds)
    sent = sum(node.sent for node in world.nodes)
    volume = sum(node.sent_bytes for node in world.nodes)
    return ViewCost(count, sent * part, volume * part, cpu_ms * part)
