"""What the simulated network between gateways does to datagrams."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class NetworkConditions:
    """Of every link alike; a running simulation follows changes of them.

    `loss` and `duplication` are probabilities, `latency_ms` the least and the greatest one-way latency. With
    `measure_bytes` each datagram is encoded, so that its size is known; that takes most of a run's time.
    """

    loss: float = 0.0
    latency_ms: tuple[float, float] = (0.2, 2.0)
    duplication: float = 0.0
    measure_bytes: bool = False
