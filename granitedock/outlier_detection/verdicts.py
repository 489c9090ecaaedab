"""Rules without state: the verdict on a host, the trust in gateways, and the limit on ejections."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from granitedock.outlier_detection.attempt_statistics import AttemptStatistics
from granitedock.outlier_detection.observations import HostObservation, Observations
from granitedock.outlier_detection.settings import OutlierDetectionSettings
from granitedock.policy.types import Host


class EjectionReason(Enum):
    """The reason for an ejection; the values appear in the HOSTS reply and in the event log."""

    FAILING = "failing"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Verdict:
    """The verdict that a host should be ejected.

    `gateways` ranks verdicts when ejections are limited. For a failing host it is the number of gateways with
    failures; for a draining host it is the number of observations plus the number of those with `draining`.
    """

    host: str
    reason: EjectionReason
    gateways: int


def verdict(
    host: str,
    local: AttemptStatistics | None,
    observations: list[HostObservation],
    was_failing: bool,
    settings: OutlierDetectionSettings,
    now: float,
) -> Verdict | None:
    """Return the verdict on `host` from fresh observations by trusted gateways, or None for no ejection.

    `local` is the statistics of this gateway's own attempts. `was_failing` is true if the host is currently
    ejected as failing. One fresh failure at any prober then keeps it ejected, unless as many gateways have
    fresh answers.
    """
    draining = sum(observation.draining for observation in observations)
    if draining:
        return Verdict(host, EjectionReason.DRAINING, draining + len(observations))
    if local is not None and local.answered_within(settings.local_answer_ttl_ms, now):
        return None
    ttl_ms = settings.observation_ttl_ms
    negative = [
        observation
        for observation in observations
        if observation.is_negative() and observation.failure_age_ms <= ttl_ms
    ]
    positive = [observation for observation in observations if is_fresh_answer(observation, ttl_ms)]
    gateways = len(negative)
    failures = sum(observation.failures for observation in negative)
    if local is not None and local.failing_within(ttl_ms, now):
        gateways += 1
        failures += local.failures
    if was_failing:
        meets_threshold = gateways >= 1
    else:
        meets_threshold = gateways >= settings.min_gateways and failures >= settings.min_failures
    if meets_threshold and gateways > len(positive):
        return Verdict(host, EjectionReason.FAILING, gateways)
    return None


def is_fresh_answer(observation: HostObservation, ttl_ms: float) -> bool:
    """Return whether the gateway's last attempt was answered, within the last `ttl_ms`."""
    return not observation.is_negative() and 0 <= observation.answer_age_ms <= ttl_ms


def distrusted_gateways(
    observations: Observations,
    live: set[str],
    host_count: int,
    settings: OutlierDetectionSettings,
    now: float,
) -> set[str]:
    """Return the other live gateways with negative observations of many of the `host_count` hosts.

    These are at least `distrust_share` of the hosts and at least `distrust_min_hosts`. The likelier cause of
    such observations is the gateway's own network.
    """
    negative: Counter[str] = Counter()
    for by_gateway in observations.by_host.values():
        for gateway, received in by_gateway.items():
            if gateway not in live or gateway == observations.gateway:
                continue
            if now - received.received_at <= settings.observation_ttl_ms:
                negative[gateway] += received.observation.is_negative()
    threshold = max(settings.distrust_min_hosts, settings.distrust_share * host_count)
    return {gateway for gateway, count in negative.items() if count >= threshold}


def limit_ejections(
    verdicts: list[Verdict], hosts: Mapping[str, Host], ready: list[str], max_share: float
) -> list[Verdict]:
    """Return the verdicts that may be carried out; those that most gateways support take precedence.

    At most `max_share` of the `ready` hosts are ejected, and never the last ready host of a zone.
    """
    max_ejections = int(max_share * len(ready))
    remaining_in_zone = Counter(hosts[name].zone for name in ready)
    allowed: list[Verdict] = []
    for candidate in sorted(verdicts, key=lambda candidate: (-candidate.gateways, candidate.host)):
        zone = hosts[candidate.host].zone
        if len(allowed) < max_ejections and remaining_in_zone[zone] > 1:
            remaining_in_zone[zone] -= 1
            allowed.append(candidate)
    return allowed
