"""The outlier detector: which hosts are ejected by what gateways observe together, and who probes them.

Own attempts come first. Observations of others count only from live members, while they are fresh, from
several gateways, and only as long as fewer speak for the host; a gateway that speaks against most hosts is
distrusted, as its own network is the likelier cause. Ejections are limited to a share of the hosts, and never
take the last one of a zone. All of it only takes work away from a host; nothing sends to one. No I/O; times
are ms of one clock.
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

EXPIRY_FACTOR = 2  # observations are held so many times as long as they are fresh


@dataclass(frozen=True, slots=True)
class EjectionChange:
    """A host was ejected, or reinstated (no `reason`)."""

    host: str
    reason: EjectionReason | None


class OutlierDetector:
    """One gateway's outlier detection (a `policy.ports.OutlierDetectionPort`).

    `started_at` is the start time of its process (Unix ms); `live_members` gives the names of the live
    gateways in order, its own among them.
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
            gateway, started_at, settings.max_observations, EXPIRY_FACTOR * settings.observation_ttl_ms
        )
        self.statistics: dict[str, AttemptStatistics] = {}  # by host
        self.hosts: dict[str, Host] = {}
        self.ejected: dict[str, EjectionReason] = {}
        self.distrusted: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.changes: list[EjectionChange] = []  # for the event log
        self.sequence = 0
        self.evaluated_at = float("-inf")
        self.broadcast_at = float("-inf")

    # For the policy.

    def attempt_started(self, host: Host) -> None:
        """See OutlierDetectionPort."""
        self._statistics_of(host).in_flight += 1

    def attempt_finished(
        self, host: Host, outcome: Outcome, took_ms: float, latency_objective_ms: float, now: float
    ) -> None:
        """See OutlierDetectionPort. An attempt that was never sent says nothing of the host."""
        statistics = self._statistics_of(host)
        statistics.in_flight = max(0, statistics.in_flight - 1)
        if outcome is Outcome.ABANDONED:
            return
        statistics.attempt_finished(outcome, took_ms, latency_objective_ms, now)
        self._publish(host.name, statistics, now)

    def is_ejected(self, host: Host, non_idempotent: bool, now: float) -> bool:
        """See OutlierDetectionPort.

        A failing host is half-open for the gateways whose turn it is: they probe it with requests, but not
        with one that could not be sent again.
        """
        self.update_verdicts(now)
        reason = self.ejected.get(host.name)
        if reason is None:
            return False
        return non_idempotent or reason is EjectionReason.DRAINING or not self.has_probe_turn(host.name, now)

    def may_probe(self, host: Host, now: float) -> bool:
        """See OutlierDetectionPort: in this gateway's turn, or once another gateway had an answer."""
        if self.has_probe_turn(host.name, now):
            return True
        observations = self._trusted_observations(host.name, set(self.live_members()), now)
        return any(is_fresh_answer(one, self.settings.observation_ttl_ms) for one in observations)

    def has_probe_turn(self, host: str, now: float) -> bool:
        """Whether it is this gateway's turn to probe this host.

        The live members take turns by their place in the order of names, others first for each host. Where
        membership views differ, some more probe it, or some fewer, for a turn. As some probe at any time, a
        host that recovered is found although each gateway sees few requests.
        """
        members = self.live_members()
        turn = int(now // self.settings.probe_turn_ms) + zlib.crc32(host.encode())
        place = bisect_left(members, self.gateway)
        probers = max(1, len(members) // self.settings.gateways_per_prober)
        return (place + turn) % len(members) < probers

    # Own attempts and endpoint list.

    def _statistics_of(self, host: Host) -> AttemptStatistics:
        statistics = self.statistics.get(host.name)
        if statistics is None or host.started_at > statistics.host_started_at:
            # A host that started again is another process: nothing observed of the one before it holds.
            statistics = AttemptStatistics(host_started_at=host.started_at)
            self.statistics[host.name] = statistics
        return statistics

    def update_hosts(self, hosts: dict[str, Host], now: float) -> None:
        """Follow this gateway's endpoint list: publish new statuses, drop the hosts that left."""
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
        """Renew this gateway's own observation of a host.

        It is broadcast if it speaks against the host, if the last one did, or on demand.
        """
        self.sequence += 1
        observation = statistics.observation(
            self.gateway, self.observations.started_at, self.sequence, host, now
        )
        previous = self.observations.own(host)
        if observation.is_negative() or observation.draining:
            broadcast = True
        elif previous is not None:
            broadcast = broadcast or previous.observation.is_negative() or previous.observation.draining
        self.observations.store(observation, now, broadcast=broadcast)
        statistics.published_at = now

    # Gossip with other gateways.

    def receive(self, observations: tuple[HostObservation, ...], now: float) -> None:
        """Merge observations of a datagram.

        One that speaks against a host which answered this gateway of late is met by its own.
        """
        for observation in observations:
            if not self.observations.merge(observation, now) or not observation.is_negative():
                continue
            own = self.statistics.get(observation.host)
            if own is not None and own.answered_within(self.settings.observation_ttl_ms, now):
                self._publish(observation.host, own, now, broadcast=True)

    def broadcasts_due(self, limit: int, now: float) -> list[HostObservation]:
        """At most `limit` observations to send now; empty between two broadcasts.

        Own ones that still hold are published again, so that they do not expire elsewhere.
        """
        settings = self.settings
        self.observations.remove_expired(now)
        self._refresh_own(now)
        if now - self.broadcast_at < settings.broadcast_interval_ms or not self.observations.queue:
            return []
        self.broadcast_at = now
        return self.observations.next_broadcast(limit, len(self.live_members()), now)

    def _refresh_own(self, now: float) -> None:
        """Publish the own observations that still hold; their overloads fade by half each time."""
        settings = self.settings
        for name, statistics in self.statistics.items():
            holds = statistics.status is not EndpointStatus.READY or statistics.failing_within(
                settings.observation_ttl_ms, now
            )
            if holds and now - statistics.published_at >= settings.refresh_interval_ms:
                statistics.overloads //= 2
                self._publish(name, statistics, now)

    # Verdicts.

    def update_verdicts(self, now: float) -> None:
        """Evaluate all ready hosts and eject or reinstate them; does so once an interval at most."""
        if now - self.evaluated_at >= self.settings.verdict_interval_ms:
            self.evaluated_at = now
            self._evaluate(now)

    def _evaluate(self, now: float) -> None:
        settings = self.settings
        live = set(self.live_members())
        self.distrusted = distrusted_gateways(self.observations, live, len(self.hosts), settings, now)
        ready = [name for name, host in self.hosts.items() if host.status is EndpointStatus.READY]
        verdicts = [found for name in ready if (found := self._verdict_on(name, live, now))]
        allowed = limit_ejections(verdicts, self.hosts, ready, settings.max_ejection_share)
        if len(allowed) < len(verdicts):
            self.counts["kept_by_bounds"] += len(verdicts) - len(allowed)
        self._replace_ejected({one.host: one.reason for one in allowed})

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
        """Fresh observations of other live, trusted gateways on the host's present process."""
        host = self.hosts.get(name)
        if host is None:
            return []
        observations = []
        for gateway, received in self.observations.by_host.get(name, {}).items():
            if gateway == self.gateway or gateway not in live or gateway in self.distrusted:
                continue
            fresh = now - received.received_at <= self.settings.observation_ttl_ms
            if fresh and received.observation.host_started_at >= int(host.started_at):
                observations.append(received.current(now))
        return observations
