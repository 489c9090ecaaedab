"""Settings of outlier detection; the operators' keys for them are those of `[hosts]` in the fleet file."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OutlierDetectionSettings:
    """Times in ms, and counts."""

    observation_ttl_ms: float = 6000.0  # observations older than this count for nothing
    own_answer_ttl_ms: float = 2000.0  # an own answer no older than this outweighs all observations of others
    min_failures: int = 3  # consecutive, of several gateways together
    min_gateways: int = 2
    max_ejection_share: float = 0.25  # part of the ready hosts that may be ejected
    distrust_share: float = 0.5  # who speaks against at least this part of the hosts is distrusted
    distrust_min_hosts: int = 3  # and against so many at least
    probe_turn_ms: float = 1000.0  # in each turn, some live gateways may probe an ejected host:
    gateways_per_prober: int = 20  # one in so many, one at least
    verdict_interval_ms: float = 100.0
    broadcast_interval_ms: float = 200.0
    refresh_interval_ms: float = 1000.0  # an observation that still holds is broadcast again so often
    max_observations: int = 20_000
