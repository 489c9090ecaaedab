"""Observations of hosts: a few numbers and their ages for each host and gateway; the newest replaces others.

An observation states the results of one gateway's recent attempts at one host, and whether that gateway's
endpoint list has the host as draining or lacks it. Observations are ordered by the gateway's incarnation and
a sequence number, so that reordered, lost and duplicated ones converge to the same state. They carry ages
instead of times, so that the gateways' clocks need not agree.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, replace

from granitedock.membership.broadcast_queue import transmit_limit

NEVER = -1  # The age of an event that never occurred.
EXPIRY_INTERVAL_MS = 1000.0


@dataclass(frozen=True, slots=True)
class HostObservation:
    """One gateway's observation of one host.

    `started_at` and `host_started_at` are the start times of the gateway's and the host's process (Unix ms);
    discovery provides the latter. Ages are in ms, `NEVER` for an event that did not occur.
    """

    gateway: str
    started_at: int
    sequence: int
    host: str
    host_started_at: int
    failures: int  # Consecutive failures.
    failure_age_ms: int  # Time since the last failure.
    answer_age_ms: int  # Time since the last answer.
    timeouts: int = 0  # The timed-out and cancelled attempts among the failures.
    overloads: int = 0  # Recent rejections because the host had no capacity.
    latency_percent: int = 0  # Recent answer times, in percent of the latency objective.
    in_flight: int = 0
    draining: bool = False  # The gateway's endpoint list has the host as draining or lacks it.

    def rank(self) -> tuple[int, int]:
        """Return the sort key of one gateway's observations of one host; the newer has the higher rank."""
        return (self.started_at, self.sequence)

    def key(self) -> tuple[str, str]:
        """Return the gateway and the host."""
        return (self.gateway, self.host)

    def aged(self, elapsed_ms: float) -> HostObservation:
        """Return the same observation with its ages increased by `elapsed_ms`."""
        added_ms = int(elapsed_ms)
        failure_age = self.failure_age_ms + added_ms if self.failure_age_ms >= 0 else NEVER
        answer_age = self.answer_age_ms + added_ms if self.answer_age_ms >= 0 else NEVER
        return replace(self, failure_age_ms=failure_age, answer_age_ms=answer_age)

    def is_negative(self) -> bool:
        """Return whether the host failed for the gateway and has not answered since."""
        return self.failures > 0 and (self.answer_age_ms < 0 or self.answer_age_ms > self.failure_age_ms)


@dataclass(slots=True)
class ReceivedObservation:
    """An observation and the time at which it was made or received (ms of this gateway's clock)."""

    observation: HostObservation
    received_at: float

    def current(self, now: float) -> HostObservation:
        """Return the observation with its ages at `now`."""
        return self.observation.aged(now - self.received_at)


@dataclass(slots=True)
class QueuedObservation:
    """The key of an observation to broadcast; `order` is the number of its change."""

    host: str
    gateway: str
    order: int
    transmits: int = 0


class Observations:
    """The observations by all gateways, including this one, and the queue of those to broadcast.

    `max_count` limits their number; a new one beyond it is dropped and counted. An observation expires
    `ttl_ms` after it was made or received.
    """

    def __init__(self, gateway: str, started_at: int, max_count: int, ttl_ms: float) -> None:
        self.gateway = gateway
        self.started_at = started_at
        self.max_count = max_count
        self.ttl_ms = ttl_ms
        self.by_host: dict[str, dict[str, ReceivedObservation]] = {}  # By host name, then by gateway.
        self.count = 0
        self.queue: dict[tuple[str, str], QueuedObservation] = {}
        self.queued_count = 0
        self.counts: Counter[str] = Counter()
        self.expired_at = float("-inf")

    def local_observation(self, host: str) -> ReceivedObservation | None:
        """Return this gateway's observation of a host, or None."""
        by_gateway = self.by_host.get(host)
        return by_gateway.get(self.gateway) if by_gateway is not None else None

    def merge(self, observation: HostObservation, now: float) -> bool:
        """Merge an observation by another gateway.

        Returns whether it was newer than the known one and could be stored.
        """
        if observation.gateway == self.gateway:
            return False
        known = self.by_host.get(observation.host, {}).get(observation.gateway)
        if known is not None and observation.rank() <= known.observation.rank():
            return False
        return self.store(observation, now, broadcast=True)

    def store(self, observation: HostObservation, now: float, *, broadcast: bool) -> bool:
        """Store an observation in place of the known one and return whether `max_count` permitted it."""
        by_gateway = self.by_host.get(observation.host)
        if by_gateway is None or observation.gateway not in by_gateway:
            if self.count >= self.max_count:
                self.counts["evidence_not_held"] += 1
                return False
            self.count += 1
            by_gateway = self.by_host.setdefault(observation.host, {})
        by_gateway[observation.gateway] = ReceivedObservation(observation, now)
        if broadcast:
            self.queued_count += 1
            self.queue[observation.key()] = QueuedObservation(
                observation.host, observation.gateway, self.queued_count
            )
        return True

    def next_broadcast(self, limit: int, members: int, now: float) -> list[HostObservation]:
        """Return at most `limit` observations to send next, the least sent first, with their ages at `now`.

        An observation leaves the queue after as many transmissions as gossip among `members` members uses.
        """
        max_transmits = transmit_limit(members)
        observations = []
        least_sent = heapq.nsmallest(
            limit, self.queue.values(), key=lambda queued: (queued.transmits, queued.order)
        )
        for queued in least_sent:
            received = self.by_host.get(queued.host, {}).get(queued.gateway)
            queued.transmits += 1
            if received is None or queued.transmits >= max_transmits:
                self.queue.pop((queued.gateway, queued.host), None)
            if received is not None:
                observations.append(received.current(now))
        return observations

    def remove_expired(self, now: float) -> None:
        """Remove expired observations, at most once a second, so that they cannot cause an ejection."""
        if now - self.expired_at < EXPIRY_INTERVAL_MS:
            return
        self.expired_at = now
        for host, by_gateway in list(self.by_host.items()):
            for gateway, received in list(by_gateway.items()):
                if now - received.received_at > self.ttl_ms:
                    del by_gateway[gateway]
                    self.count -= 1
                    self.queue.pop((gateway, host), None)
            if not by_gateway:
                del self.by_host[host]
