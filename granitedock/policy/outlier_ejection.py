"""Outlier ejection: three failures in a row keep a host from requests for a while, then one request tries it.

Where most hosts look bad the cause is shared, and no verdict counts (panic mode). Other gateways' evidence,
where there is any, can only keep a host from more requests.
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
FAILURES_TO_EJECT = 3  # in a row
EJECTION_OBJECTIVES = 3.0  # shortest latency objectives, then one request on probation
SILENT_AFTER_MEANS = 4.0  # mean answer times without any answer
FAIR_TIMEOUT_MEANS = 2.0  # mean answer times; a shorter time-out proves nothing


class OutlierEjection:
    """`now` (ms) and `latency_objective_ms` are set by the load balancer."""

    def __init__(self, now: float, objective_ms: float, estimates: LoadEstimates, log: Log) -> None:
        self.now = now
        self.latency_objective_ms = objective_ms
        self.estimates = estimates
        self.log = log
        self.panic_mode = False  # most hosts look bad at once
        self.detector: OutlierDetectionPort | None = None  # what other gateways know of hosts

    def refresh(self, ready: list[Host]) -> None:
        """Look at all ready hosts."""
        bad = [host for host in ready if host.health.state is not HostState.HEALTHY or self.is_silent(host)]
        self.panic_mode = 2 * len(bad) > len(ready)

    def is_silent(self, host: Host) -> bool:
        """Guards against hosts that take requests and answer none, and machines that vanish unheard."""
        in_flight = host.health.in_flight
        if not in_flight:
            return False
        since = max(host.health.answered_at, next(iter(in_flight)).sent_at)
        if since >= self.now:
            return False
        return self.now - since > SILENT_AFTER_MEANS * self.estimates.mean_answer_ms(self.now)

    def is_eligible(self, host: Host, request: Request) -> bool:
        """Whether nothing that is known of the host speaks against sending it the request."""
        health: HostHealth = host.health
        if self.now < health.refused_plans.get(request.plan, 0.0):
            return False
        if self.panic_mode:
            return True
        risky = request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        detector = self.detector
        if detector is not None and detector.is_ejected(host, risky, self.now):
            return False
        if health.state is HostState.EJECTED:
            trial = self.now >= health.ejected_until and not risky
            return trial and (detector is None or detector.may_probe(host, self.now))
        return health.state is HostState.HEALTHY and not self.is_silent(host)

    def attempt_started(self, attempt: Attempt) -> None:
        """An attempt goes out; the first after an ejection is the trial."""
        health: HostHealth = attempt.host.health
        advance(HOST, health, HostEvent.EJECTION_OVER, self)
        health.in_flight[attempt] = None
        if self.detector is not None:
            self.detector.attempt_started(attempt.host)

    def attempt_finished(self, attempt: Attempt, outcome: Outcome, took_ms: float) -> None:
        """It is in flight no more; the detector hears of it."""
        attempt.host.health.in_flight.pop(attempt, None)
        if self.detector is not None:
            objective = attempt.request.request_class.latency_objective_ms
            self.detector.attempt_finished(attempt.host, outcome, took_ms, objective, self.now)

    def is_inconclusive(self, outcome: Outcome, took_ms: float) -> bool:
        """Whether the end of an attempt says nothing of the host: a client in a hurry, or nothing sent."""
        if outcome is Outcome.TIMEOUT:
            return took_ms < FAIR_TIMEOUT_MEANS * self.estimates.mean_answer_ms(self.now)
        return outcome is Outcome.ABANDONED

    def refuse_plan(self, health: HostHealth, request: Request) -> None:
        """Guards against hosts that refuse for want of capacity, or one plan's requests only: that plan's go
        elsewhere for a while. Hurts where there is capacity sooner than that."""
        health.refused_plans[request.plan] = self.now + EJECTION_OBJECTIVES * self.latency_objective_ms

    def record(self, health: HostHealth, event: HostEvent) -> None:
        """Apply an event, and log a change of state."""
        before = health.state
        advance(HOST, health, event, self)
        if health.state is not before:
            change = f"host {before.name.lower()} to {health.state.name.lower()}"
            self.log(f"{change}: {health.failures} failures, {len(health.in_flight)} in flight")

    # Effects of the table.

    def count_failure(self, health: HostHealth) -> HostEvent | None:
        """One more failure in a row, which may eject the host."""
        health.failures += 1
        return HostEvent.TRIPPED if health.failures >= FAILURES_TO_EJECT else None

    def eject(self, health: HostHealth) -> None:
        """No requests for a while."""
        health.ejected_until = self.now + EJECTION_OBJECTIVES * self.latency_objective_ms

    def clear_failures(self, health: HostHealth) -> None:
        """It answered."""
        health.failures = 0

    def reinstate(self, health: HostHealth) -> None:
        """Its trial was answered; it counts as warming up from now on."""
        health.failures = 0
        health.reinstated_at = self.now
