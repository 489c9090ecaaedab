"""The verdict on one host, whose observations are trusted, and how many hosts may be ejected. No state."""

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
    """Why a host is ejected; the values are the words of `HOSTS` and of the event log."""

    FAILING = "failing"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Verdict:
    """That a host should be ejected, and how many gateways say so."""

    host: str
    reason: EjectionReason
    gateways: int


def verdict(
    host: str,
    own: AttemptStatistics | None,
    observations: list[HostObservation],
    was_failing: bool,
    settings: OutlierDetectionSettings,
    now: float,
) -> Verdict | None:
    """The verdict on `host` by fresh observations of trusted gateways; None if it should not be ejected.

    `was_failing` says that it is ejected as failing now: then one fresh failure of whoever probes it keeps it
    ejected, unless as many gateways have answers.
    """
    draining = sum(observation.draining for observation in observations)
    if draining:
        return Verdict(host, EjectionReason.DRAINING, draining + len(observations))
    if own is not None and own.answered_within(settings.own_answer_ttl_ms, now):
        return None
    ttl_ms = settings.observation_ttl_ms
    negative = [one for one in observations if one.is_negative() and one.failure_age_ms <= ttl_ms]
    positive = [one for one in observations if is_fresh_answer(one, ttl_ms)]
    gateways = len(negative)
    failures = sum(observation.failures for observation in negative)
    if own is not None and own.failing_within(ttl_ms, now):
        gateways += 1
        failures += own.failures
    if was_failing:
        enough = gateways >= 1
    else:
        enough = gateways >= settings.min_gateways and failures >= settings.min_failures
    if enough and gateways > len(positive):
        return Verdict(host, EjectionReason.FAILING, gateways)
    return None


def is_fresh_answer(observation: HostObservation, ttl_ms: float) -> bool:
    """Whether it speaks for the host: its last attempt was answered, no longer ago than `ttl_ms`."""
    return not observation.is_negative() and 0 <= observation.answer_age_ms <= ttl_ms


def distrusted_gateways(
    observations: Observations,
    live: set[str],
    host_count: int,
    settings: OutlierDetectionSettings,
    now: float,
) -> set[str]:
    """Gateways whose own network is the likelier cause: they speak against most of the hosts."""
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
    """As many verdicts as may be carried out, those that most gateways support first.

    At most `max_share` of the `ready` hosts are ejected, and never the last one of a zone.
    """
    max_ejections = int(max_share * len(ready))
    remaining_in_zone = Counter(hosts[name].zone for name in ready)
    allowed: list[Verdict] = []
    for candidate in sorted(verdicts, key=lambda one: (-one.gateways, one.host)):
        zone = hosts[candidate.host].zone
        if len(allowed) < max_ejections and remaining_in_zone[zone] > 1:
            remaining_in_zone[zone] -= 1
            allowed.append(candidate)
    return allowed
