"""Parameters of the protocol: times in ms, counts, and whether Lifeguard's extensions act."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """The fields keep the names of the operators' TOML keys and of the output of `granitedock check`."""

    period_ms: float = 400.0  # the probe interval: one member is probed in each
    timeout_ms: float = 150.0  # after which a probe goes on through indirect probes
    helpers: int = 3  # members asked to probe indirectly
    suspect_ms: float = 2000.0  # the shortest suspicion timeout, with `confirmations` further accusers
    suspect_most_ms: float = 4500.0  # the longest, with a single accuser
    confirmations: int = 3
    gossip_ms: float = 200.0  # the gossip interval, while there are broadcasts
    fanout: int = 3  # members that gossip goes to in each interval
    sync_ms: float = 1000.0  # the mean interval at which a page of the member table goes to one other
    revive_ms: float = 2000.0  # the interval at which one member that is not live is probed again
    seeds_ms: float = 500.0  # the first wait for a seed that does not answer; each doubles it, up to
    seeds_most_ms: float = 30000.0
    forget_ms: float = 60000.0  # members that are not live are removed after this
    gap_ms: float = 400.0  # a timer later than this means that this process itself was paused
    knock_ms: float = 100.0  # between two connection probes; half of it is waited for a refusal
    settle_ms: float = 2000.0  # how long an end must have stood before its share is taken over
    lease_ms: float = 2000.0  # and the greatest age of the refusal that proves it
    careful: bool = True  # Lifeguard's extensions: awareness, shared suspicions, suspects told first
