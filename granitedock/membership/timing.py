"""The parameters of the protocol: times in ms, counts, and whether Lifeguard's extensions are enabled."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """The fields keep the names of the operators' TOML keys and of the output of `granitedock check`."""

    period_ms: float = 400.0  # The probe interval: one member is probed in each.
    timeout_ms: float = 150.0  # The direct probe's timeout, after which indirect probes are sent.
    helpers: int = 3  # Members asked to probe indirectly.
    suspect_ms: float = 2000.0  # The minimum suspicion timeout, with `confirmations` further sources.
    suspect_most_ms: float = 4500.0  # The maximum suspicion timeout, with a single source.
    confirmations: int = 3
    gossip_ms: float = 200.0  # The gossip interval while updates are queued.
    fanout: int = 3  # Members to which gossip is sent in each interval.
    sync_ms: float = 1000.0  # The mean interval between pages of the member table, each to one member.
    revive_ms: float = 2000.0  # The interval at which one member that is not live is probed again.
    seeds_ms: float = 500.0  # The initial interval of attempts at seeds; each attempt doubles it.
    seeds_most_ms: float = 30000.0  # The maximum interval of attempts at seeds.
    forget_ms: float = 60000.0  # Members that are not live are removed after this time.
    gap_ms: float = 400.0  # A timer that fires later than this shows that this process was paused.
    knock_ms: float = 100.0  # Between two connection probes; a refusal is awaited for half of it.
    settle_ms: float = 2000.0  # A share is taken over once the end of its gateway has lasted this long.
    lease_ms: float = 2000.0  # The maximum age of the refusal that proves the end.
    careful: bool = True  # Lifeguard's extensions: awareness, shared suspicions, suspects notified first.
