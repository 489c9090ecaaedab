"""Conditions of the simulated network between gateways."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class NetworkConditions:
    """The conditions of every link; changes take effect in a running simulation.

    `loss` and `duplication` are probabilities, `latency_ms` the minimum and maximum one-way latency. With
    `measure_bytes` each datagram is encoded to measure its size, which takes most of a run's time.
    """

    loss: float = 0.0
    latency_ms: tuple[float, float] = (0.2, 2.0)
    duplication: float = 0.0
    measure_bytes: bool = False
