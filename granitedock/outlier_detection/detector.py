"""The outlier detector: decides which hosts are ejected, and which gateways probe them.

A recent answer to this gateway itself takes precedence over failures that others observed. Observations of
other gateways count only if they are from live members, fresh, negative from several gateways, and not
outnumbered or equalled by positive ones. That a host drains needs one observation only, and precedes answers.
A gateway with negative observations of many hosts is distrusted, because its own network is the likelier
cause. Ejections are limited to a share of the ready hosts and never include the last ready host of a zone.
Outlier detection only reduces the requests sent to a host and never adds any. No I/O; times are ms of one
clock.
"""

from __future__ import annotations

import zlib
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from granitedock.outlier_detection.attempt_statistics import AttemptStatistics
from granitedock.outlier_detection.observations import HostObservation, Observations
from granitedock.outlier_detection.settings import OutlierDetectionSettings
from granitedock.outlier_detection.verdicts import (
    EjectionReason,
    Verdict,
    distrusted_gateways,
    is_fresh_answer,
    limit_ejections,
    verdict,
)
from granitedock.policy.types import EndpointStatus, Host, Outcome

EXPIRY_TTL_MULTIPLE = 2  # Observations are stored for this multiple of the time for which they are fresh.


@dataclass(frozen=True, slots=True)
class EjectionChange:
    """The ejection of a host, or its reinstatement (`reason` is None)."""

    host: str
    reason: EjectionReason | None


class OutlierDetector:
    """Outlier detection of one gateway (implements `policy.ports.OutlierDetectionPort`).

    `started_at` is the start time of the gateway's process (Unix ms). `live_members` returns the names of the
    live gateways, including this one, sorted.
    """

    def __init__(
        self,
        gateway: str,
        started_at: int,
        settings: OutlierDetectionSettings,
        live_members: Callable[[], list[str]],
    ) -> None:
        self.gateway = gateway
        self.settings = settings
        self.live_members = live_members
        self.observations = Observations(
            gateway, started_at, settings.max_observations, EXPIRY_TTL_MULTIPLE * settings.observation_ttl_ms
        )
        self.statistics: dict[str, AttemptStatistics] = {}  # By host name.
        self.hosts: dict[str, Host] = {}
        self.ejected: dict[str, EjectionReason] = {}
        self.distrusted: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.changes: list[EjectionChange] = []  # Changes to write to the event log.
        self.sequence = 0
        self.evaluated_at = float("-inf")
        self.broadcast_at = float("-inf")

    # Implementation of OutlierDetectionPort.

    def attempt_started(self, host: Host) -> None:
        """Count the attempt as in flight; see OutlierDetectionPort."""
        self._statistics_of(host).in_flight += 1

    def attempt_finished(
        self, host: Host, outcome: Outcome, took_ms: float, latency_objective_ms: float, now: float
    ) -> None:
        """Publish the outcome; see OutlierDetectionPort.

        An attempt that was never sent is no observation of the host, and neither is one at a process that
        the host has replaced by a restart.
        """
        statistics = self._statistics_of(host)
        if host.started_at < statistics.host_started_at:
            return
        statistics.in_flight = max(0, statistics.in_flight - 1)
        if outcome is Outcome.ABANDONED:
            return
        statistics.attempt_finished(outcome, took_ms, latency_objective_ms, now)
        self._publish(host.name, statistics, now)

    def is_ejected(self, host: Host, non_idempotent: bool, now: float) -> bool:
        """Return whether the host is ejected for this request; see OutlierDetectionPort.

        A failing host is half-open for the gateways in their probe turn: they probe it with requests, except
        with those that must not be sent again.
        """
        self.update_verdicts(now)
        reason = self.ejected.get(host.name)
        if reason is None:
            return False
        return non_idempotent or reason is EjectionReason.DRAINING or not self.has_probe_turn(host.name, now)

    def may_probe(self, host: Host, now: float) -> bool:
        """Return whether this is a probe turn, or another gateway had an answer; see OutlierDetectionPort."""
        if self.has_probe_turn(host.name, now):
            return True
        observations = self._trusted_observations(host.name, set(self.live_members()), now)
        return any(
            is_fresh_answer(observation, self.settings.observation_ttl_ms) for observation in observations
        )

    def has_probe_turn(self, host: str, now: float) -> bool:
        """Return whether this gateway is among the probers of this host in the current turn.

        The live members take turns in the order of their names, with a different start for each host. Where
        membership views differ, more or fewer gateways probe the host for a turn. Each turn has at least one
        prober, so that the recovery of a host is detected although each gateway has few requests.
        """
        members = self.live_members()
        turn = int(now // self.settings.probe_turn_ms) + zlib.crc32(host.encode())
        position = bisect_left(members, self.gateway)
        prober_count = max(1, len(members) // self.settings.gateways_per_prober)
        return (position + turn) % len(members) < prober_count

    # Attempts and endpoint list of this gateway.

    def _statistics_of(self, host: Host) -> AttemptStatistics:
        statistics = self.statistics.get(host.name)
        if statistics is None or host.started_at > statistics.host_started_at:
            # A restarted host is another process, to which earlier observations do not apply.
            statistics = AttemptStatistics(host_started_at=host.started_at)
            self.statistics[host.name] = statistics
        return statistics

    def update_hosts(self, hosts: dict[str, Host], now: float) -> None:
        """Apply this gateway's endpoint list: publish changed statuses, drop statistics of absent hosts."""
        self.hosts = hosts
        for name, host in hosts.items():
            statistics = self._statistics_of(host)
            if statistics.status is not host.status:
                statistics.status = host.status
                self._publish(name, statistics, now, broadcast=True)
        for name in [name for name in self.statistics if name not in hosts]:
            del self.statistics[name]

    def _publish(
        self, host: str, statistics: AttemptStatistics, now: float, *, broadcast: bool = False
    ) -> None:
        """Replace this gateway's observation of a host with the current statistics.

        The observation is broadcast if it or the previous one is negative or reports draining, or if
        `broadcast` is set.
        """
        self.sequence += 1
        observation = statistics.observation(
            self.gateway, self.observations.started_at, self.sequence, host, now
        )
        previous = self.observations.local_observation(host)
        if observation.is_negative() or observation.draining:
            broadcast = True
        elif previous is not None:
            broadcast = broadcast or previous.observation.is_negative() or previous.observation.draining
        self.observations.store(observation, now, broadcast=broadcast)
        statistics.published_at = now

    # Gossip with other gateways.

    def receive(self, observations: tuple[HostObservation, ...], now: float) -> None:
        """Merge the observations of a datagram.

        A negative observation of a host that recently answered this gateway triggers a broadcast of this
        gateway's own observation.
        """
        for observation in observations:
            if not self.observations.merge(observation, now) or not observation.is_negative():
                continue
            statistics = self.statistics.get(observation.host)
            if statistics is not None and statistics.answered_within(self.settings.observation_ttl_ms, now):
                self._publish(observation.host, statistics, now, broadcast=True)

    def broadcasts_due(self, limit: int, now: float) -> list[HostObservation]:
        """Return at most `limit` observations to send now; empty until the broadcast interval has passed.

        Observations of this gateway that still apply are published again, so that they do not expire at the
        other gateways.
        """
        settings = self.settings
        self.observations.remove_expired(now)
        self._republish_local(now)
        if now - self.broadcast_at < settings.broadcast_interval_ms or not self.observations.queue:
            return []
        self.broadcast_at = now
        return self.observations.next_broadcast(limit, len(self.live_members()), now)

    def _republish_local(self, now: float) -> None:
        """Publish again the observations of this gateway that still apply, with half of their overloads."""
        settings = self.settings
        for name, statistics in self.statistics.items():
            still_applies = statistics.status is not EndpointStatus.READY or statistics.failing_within(
                settings.observation_ttl_ms, now
            )
            if still_applies and now - statistics.published_at >= settings.refresh_interval_ms:
                statistics.overloads //= 2
                self._publish(name, statistics, now)

    # Verdicts.

    def update_verdicts(self, now: float) -> None:
        """Evaluate all ready hosts and eject or reinstate them, at most once per verdict interval."""
        if now - self.evaluated_at >= self.settings.verdict_interval_ms:
            self.evaluated_at = now
            self._evaluate(now)

    def _evaluate(self, now: float) -> None:
        settings = self.settings
        live = set(self.live_members())
        self.distrusted = distrusted_gateways(self.observations, live, len(self.hosts), settings, now)
        ready = [name for name, host in self.hosts.items() if host.status is EndpointStatus.READY]
        verdicts = [host_verdict for name in ready if (host_verdict := self._verdict_on(name, live, now))]
        allowed = limit_ejections(verdicts, self.hosts, ready, settings.max_ejection_share)
        if len(allowed) < len(verdicts):
            self.counts["kept_by_bounds"] += len(verdicts) - len(allowed)
        self._replace_ejected({ejection.host: ejection.reason for ejection in allowed})

    def _verdict_on(self, host: str, live: set[str], now: float) -> Verdict | None:
        was_failing = self.ejected.get(host) is EjectionReason.FAILING
        observations = self._trusted_observations(host, live, now)
        return verdict(host, self.statistics.get(host), observations, was_failing, self.settings, now)

    def _replace_ejected(self, ejected: dict[str, EjectionReason]) -> None:
        for name in set(ejected) ^ set(self.ejected):
            self.changes.append(EjectionChange(name, ejected.get(name)))
            self.counts["hosts_out" if name in ejected else "hosts_back"] += 1
        self.ejected = ejected

    def _trusted_observations(self, name: str, live: set[str], now: float) -> list[HostObservation]:
        """Return the fresh observations of the host's current process by other live, trusted gateways."""
        host = self.hosts.get(name)
        if host is None:
            return []
        observations = []
        for gateway, received in self.observations.by_host.get(name, {}).items():
            if gateway == self.gateway or gateway not in live or gateway in self.distrusted:
                continue
            is_fresh = now - received.received_at <= self.settings.observation_ttl_ms
            if is_fresh and received.observation.host_started_at >= int(host.started_at):
                observations.append(received.current(now))
        return observations
