"""Settings of outlier detection; the keys for operators are under `[hosts]` in the fleet file."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OutlierDetectionSettings:
    """The settings of one gateway's outlier detection; times are in ms."""

    observation_ttl_ms: float = 6000.0  # Older observations are ignored.
    local_answer_ttl_ms: float = 2000.0  # A local answer this recent outweighs all observations of others.
    min_failures: int = 3  # Minimum sum of the consecutive failures over the gateways.
    min_gateways: int = 2
    max_ejection_share: float = 0.25  # The share of the ready hosts that may be ejected.
    # A gateway with negative observations of at least this share of the hosts, and of at least this number of
    # hosts, is distrusted.
    distrust_share: float = 0.5
    distrust_min_hosts: int = 3
    probe_turn_ms: float = 1000.0  # In each turn, some of the live gateways may probe an ejected host.
    gateways_per_prober: int = 20  # Live gateways per prober in a turn; there is at least one prober.
    verdict_interval_ms: float = 100.0
    broadcast_interval_ms: float = 200.0
    refresh_interval_ms: float = 1000.0  # Between broadcasts of an observation that still applies.
    max_observations: int = 20_000
