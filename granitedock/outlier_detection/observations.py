"""Observations of hosts: one for each host and gateway, small figures with their age; the newest wins.

An observation says what one gateway's own attempts at one host came to of late, and whether its own endpoint
list has the host draining or gone. Observations are ordered by the gateway's incarnation and a sequence
number, so that reordered, lost and duplicated ones end in the same state. Ages travel instead of times, so
that clocks need not agree.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, replace

from granitedock.membership.broadcast_queue import transmit_limit

NEVER = -1  # the age of what never happened
EXPIRY_INTERVAL_MS = 1000.0


@dataclass(frozen=True, slots=True)
class HostObservation:
    """What one gateway observes of one host.

    `started_at` and `host_started_at` are the start times of the gateway's and the host's process (Unix ms;
    the latter as discovery gives it). Ages are in ms, `NEVER` where it did not happen.
    """

    gateway: str
    started_at: int
    sequence: int
    host: str
    host_started_at: int
    failures: int  # consecutive
    failure_age_ms: int  # since the last failure
    answer_age_ms: int  # since the last answer
    timeouts: int = 0  # of the failures
    overloads: int = 0  # rejections for want of capacity, of late
    latency_percent: int = 0  # answer times of late, in percent of the latency objective
    in_flight: int = 0
    draining: bool = False  # its own list says so, or that the host is gone

    def rank(self) -> tuple[int, int]:
        """Of two observations of one gateway and host, the one of higher rank is newer."""
        return (self.started_at, self.sequence)

    def key(self) -> tuple[str, str]:
        """The gateway and the host."""
        return (self.gateway, self.host)

    def aged(self, ms: float) -> HostObservation:
        """The same observation, `ms` later."""
        passed = int(ms)
        failure_age = self.failure_age_ms + passed if self.failure_age_ms >= 0 else NEVER
        answer_age = self.answer_age_ms + passed if self.answer_age_ms >= 0 else NEVER
        return replace(self, failure_age_ms=failure_age, answer_age_ms=answer_age)

    def is_negative(self) -> bool:
        """Whether it speaks against the host: failures, and no answer since."""
        return self.failures > 0 and (self.answer_age_ms < 0 or self.answer_age_ms > self.failure_age_ms)


@dataclass(slots=True)
class ReceivedObservation:
    """An observation with when it was made or received here (ms of the holder's clock)."""

    observation: HostObservation
    received_at: float

    def current(self, now: float) -> HostObservation:
        """The observation with its ages as they are now."""
        return self.observation.aged(now - self.received_at)


@dataclass(slots=True)
class QueuedObservation:
    """An observation to broadcast, by its key; `order` is that of the changes."""

    host: str
    gateway: str
    order: int
    transmits: int = 0


class Observations:
    """All observations that this gateway holds, its own too, and the queue of those to be broadcast.

    `max_count` bounds them; a new one beyond it is dropped and counted. They expire `ttl_ms` after they came.
    """

    def __init__(self, gateway: str, started_at: int, max_count: int, ttl_ms: float) -> None:
        self.gateway = gateway
        self.started_at = started_at
        self.max_count = max_count
        self.ttl_ms = ttl_ms
        self.by_host: dict[str, dict[str, ReceivedObservation]] = {}  # then by gateway
        self.count = 0
        self.queue: dict[tuple[str, str], QueuedObservation] = {}
        self.queued_count = 0
        self.counts: Counter[str] = Counter()
        self.expired_at = float("-inf")

    def own(self, host: str) -> ReceivedObservation | None:
        """The observation that this gateway made of a host."""
        by_gateway = self.by_host.get(host)
        return by_gateway.get(self.gateway) if by_gateway is not None else None

    def merge(self, observation: HostObservation, now: float) -> bool:
        """Take in an observation of another gateway; whether it was newer than the known one."""
        if observation.gateway == self.gateway:
            return False
        known = self.by_host.get(observation.host, {}).get(observation.gateway)
        if known is not None and observation.rank() <= known.observation.rank():
            return False
        return self.store(observation, now, broadcast=True)

    def store(self, observation: HostObservation, now: float, *, broadcast: bool) -> bool:
        """Hold an observation in place of the known one; whether there was room for it."""
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
        """At most `limit` observations to send next, the least sent first, with their ages as they are now.

        One leaves the queue once it went as often as gossip to `members` members does.
        """
        max_transmits = transmit_limit(members)
        chosen = []
        least_sent = heapq.nsmallest(
            limit, self.queue.values(), key=lambda queued: (queued.transmits, queued.order)
        )
        for queued in least_sent:
            received = self.by_host.get(queued.host, {}).get(queued.gateway)
            queued.transmits += 1
            if received is None or queued.transmits >= max_transmits:
                self.queue.pop((queued.gateway, queued.host), None)
            if received is not None:
                chosen.append(received.current(now))
        return chosen

    def remove_expired(self, now: float) -> None:
        """Drop old observations, so that no host is ejected by them; does so once a second at most."""
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
