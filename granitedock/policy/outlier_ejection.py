"""Outlier ejection: three consecutive failures eject a host for a while, then one request probes it.

Where most hosts look unhealthy the cause is shared, so ejections are ignored (panic mode). Evidence from
other gateways, where available, can only withhold requests from a host, never add any.
"""

from __future__ import annotations

from collections.abc import Callable

from granitedock.policy.host_health import HOST, HostHealth
from granitedock.policy.load_estimates import LoadEstimates
from granitedock.policy.ports import OutlierDetectionPort
from granitedock.policy.states import HostEvent, HostState
from granitedock.policy.types import Attempt, Host, Idempotency, Outcome, Request
from granitedock.state_table import advance

Log = Callable[[str], None]
CONSECUTIVE_FAILURES_TO_EJECT = 3
EJECTION_MULTIPLE = 3.0  # Ejection time, in multiples of the shortest latency objective.
SILENCE_MULTIPLE = 4.0  # Time without an answer that makes a host silent, in mean answer times.
# Shortest time-out that counts as a failure of the host, in multiples of the mean answer time.
CONCLUSIVE_TIMEOUT_MULTIPLE = 2.0


class OutlierEjection:
    """Decides which hosts are eligible. The load balancer sets `now` (ms) and `latency_objective_ms`."""

    def __init__(self, now: float, objective_ms: float, estimates: LoadEstimates, log: Log) -> None:
        self.now = now
        self.latency_objective_ms = objective_ms
        self.estimates = estimates
        self.log = log
        self.panic_mode = False  # Whether most hosts look unhealthy at once.
        self.detector: OutlierDetectionPort | None = None  # Evidence of other gateways.

    def refresh(self, ready: list[Host]) -> None:
        """Recompute panic mode from all ready hosts."""
        unhealthy = [
            host for host in ready if host.health.state is not HostState.HEALTHY or self.is_silent(host)
        ]
        self.panic_mode = 2 * len(unhealthy) > len(ready)

    def is_silent(self, host: Host) -> bool:
        """Return whether a host with attempts in flight has sent no answer for too long.

        Detects hosts that accept requests and answer none, and machines that vanish without closing their
        connections.
        """
        in_flight = host.health.in_flight
        if not in_flight:
            return False
        since = max(host.health.answered_at, next(iter(in_flight)).sent_at)
        if since >= self.now:
            return False
        return self.now - since > SILENCE_MULTIPLE * self.estimates.mean_answer_ms(self.now)

    def is_eligible(self, host: Host, request: Request) -> bool:
        """Return whether no evidence of this or other gateways rules out sending the request to the host.

        In panic mode only an earlier refusal of the plan rules the host out.
        """
        health: HostHealth = host.health
        if self.now < health.plan_refused_until.get(request.plan, 0.0):
            return False
        if self.panic_mode:
            return True
        non_idempotent = request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        detector = self.detector
        if detector is not None and detector.is_ejected(host, non_idempotent, self.now):
            return False
        if health.state is HostState.EJECTED:
            can_probe = self.now >= health.ejected_until and not non_idempotent
            return can_probe and (detector is None or detector.may_probe(host, self.now))
        return health.state is HostState.HEALTHY and not self.is_silent(host)

    def attempt_started(self, attempt: Attempt) -> None:
        """Record an attempt in flight; the first one at an ejected host starts its probation."""
        health: HostHealth = attempt.host.health
        advance(HOST, health, HostEvent.EJECTION_OVER, self)
        health.in_flight[attempt] = None
        if self.detector is not None:
            self.detector.attempt_started(attempt.host)

    def attempt_finished(self, attempt: Attempt, outcome: Outcome, took_ms: float) -> None:
        """Remove the attempt from those in flight and pass its outcome to the detector."""
        attempt.host.health.in_flight.pop(attempt, None)
        if self.detector is not None:
            objective = attempt.request.request_class.latency_objective_ms
            self.detector.attempt_finished(attempt.host, outcome, took_ms, objective, self.now)

    def is_inconclusive(self, outcome: Outcome, took_ms: float) -> bool:
        """Return whether the outcome is no evidence about the host.

        This holds for a time-out that comes early because of the client's short deadline, and for an attempt
        that was never sent.
        """
        if outcome is Outcome.TIMEOUT:
            return took_ms < CONCLUSIVE_TIMEOUT_MULTIPLE * self.estimates.mean_answer_ms(self.now)
        return outcome is Outcome.ABANDONED

    def avoid_plan_at_host(self, health: HostHealth, request: Request) -> None:
        """Send requests of this request's plan to other hosts for the time of an ejection.

        Prevents repeated rejections by a host that lacks capacity or rejects requests of one plan only; the
        cost is that capacity which becomes free sooner stays unused by that plan.
        """
        health.plan_refused_until[request.plan] = self.now + EJECTION_MULTIPLE * self.latency_objective_ms

    def record(self, health: HostHealth, event: HostEvent) -> None:
        """Apply an event and log a change of state."""
        before = health.state
        advance(HOST, health, event, self)
        if health.state is not before:
            change = f"host {before.name.lower()} to {health.state.name.lower()}"
            self.log(f"{change}: {health.failures} failures, {len(health.in_flight)} in flight")

    # Effects of the state table `HOST`.

    def count_failure(self, health: HostHealth) -> HostEvent | None:
        """Count a consecutive failure, and return the event that ejects the host once there are too many."""
        health.failures += 1
        return HostEvent.TRIPPED if health.failures >= CONSECUTIVE_FAILURES_TO_EJECT else None

    def eject(self, health: HostHealth) -> None:
        """Withhold requests from the host until the ejection time is over."""
        health.ejected_until = self.now + EJECTION_MULTIPLE * self.latency_objective_ms

    def clear_failures(self, health: HostHealth) -> None:
        """Reset the count of consecutive failures after an answer."""
        health.failures = 0

    def reinstate(self, health: HostHealth) -> None:
        """Return the host to service after an answer on probation; its warm-up starts now."""
        health.failures = 0
        health.reinstated_at = self.now
