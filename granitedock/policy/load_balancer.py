"""The choice of a host: of two drawn by registered size, the one that this gateway's own answers favour."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable, Sequence
from itertools import accumulate

from granitedock.policy.host_health import HostHealth
from granitedock.policy.load_estimates import LoadEstimates
from granitedock.policy.outlier_ejection import OutlierEjection
from granitedock.policy.retry_budget import RetryBudget
from granitedock.policy.slow_start import MIN_HOST_SIZE, SlowStartCredit
from granitedock.policy.states import HostEvent
from granitedock.policy.types import (
    Attempt,
    EndpointStatus,
    EndpointUpdate,
    GatewaySettings,
    Host,
    Outcome,
    Request,
    RequestClass,
)
from granitedock.random_source import RandomSource

MAX_DRAWS = 12  # hosts looked at for a request
MAX_QUEUE_SHARE = 0.45  # of the latency objective, for the expected answer of a mean request
MAX_QUEUE_SHARE_UNCOUNTED = 0.4  # the same for requests that the counter did not admit: they go last
MAX_OWN_SHARE = 0.8  # of the time left, for the request's own expected answer
INFORMED_LOAD = 0.4  # attempts of ours at a host, on the mean: with fewer, a host without one may yet be busy


class LoadBalancer:
    """The list of hosts and what is expected of them. `now` (ms) is set by the gateway."""

    def __init__(self, now: float, settings: GatewaySettings, log_decision: Callable[[str], None]) -> None:
        self.now = now
        self.request_classes = settings.request_classes
        self.latency_objective_ms = min(it.latency_objective_ms for it in settings.request_classes)
        self.known: dict[Host, None] = {}
        self.ready: list[Host] = []
        self.cumulative_sizes: list[float] = []  # of the ready hosts
        self.refresh_at = now
        self.random = RandomSource(settings.identity.seed)
        self.estimates = LoadEstimates(self.latency_objective_ms)
        self.retry_budget = RetryBudget()
        self.slow_start = SlowStartCredit(settings, self.estimates, self.random)
        self.ejection = OutlierEjection(now, self.latency_objective_ms, self.estimates, log_decision)

    def advance_clock(self, now: float) -> None:
        """Come to this moment."""
        self.now = self.ejection.now = now

    def set_request_classes(self, request_classes: Sequence[RequestClass]) -> None:
        """Other request classes from now on."""
        self.request_classes[:] = request_classes
        self.latency_objective_ms = min(it.latency_objective_ms for it in request_classes)
        self.ejection.latency_objective_ms = self.latency_objective_ms

    def update_endpoints(self, updates: list[EndpointUpdate], complete: bool) -> None:
        """Take in updates of the list; a complete one removes hosts that it does not name."""
        if complete:
            for host in self.known:
                host.status = EndpointStatus.GONE
        for update in updates:
            host = update.host
            if host.health is None or update.started_at > host.started_at:
                host.health = HostHealth(self.now)  # new or restarted: what was known of it is void
            host.size = update.size
            host.machine_type = update.machine_type
            host.zone = update.zone
            host.cell = update.cell
            host.started_at = update.started_at
            host.status = update.status
            self.known[host] = None
        self.known = {
            host: None
            for host in self.known
            if host.status is not EndpointStatus.GONE or host.health.in_flight
        }
        self.ready = [host for host in self.known if host.status is EndpointStatus.READY]
        self.cumulative_sizes = list(accumulate(max(host.size, MIN_HOST_SIZE) for host in self.ready))
        self.refresh_at = self.now

    def refresh_if_due(self) -> None:
        """Now and then look at all ready hosts: which warm up, and whether most look bad."""
        if self.now >= self.refresh_at:
            self.refresh_at = self.now + self.slow_start.settings.overload_interval_ms
            self.slow_start.refresh(self.ready, self.now)
            self.ejection.refresh(self.ready)

    # The choice.

    def choose_host(self, request: Request, hosts: list[Host], max_queue_ms: float) -> Host | None:
        """Of two drawn at random, the one with the sooner answer. Where it is too slow or not eligible more
        are drawn, since another may have capacity. A warming host that is due a request comes first."""
        self.refresh_if_due()
        if not hosts:
            return None
        attempts = request.attempts
        tried = [attempt.host for attempt in attempts] if len(hosts) > len(attempts) else []
        warming = None
        if hosts is self.ready:
            warming = self.slow_start.next_host(request, self.cumulative_sizes[-1], self.now)
        best = ineligible = None
        eligible = 0
        for draw in range(MAX_DRAWS):
            host = warming if warming is not None and not draw else self.draw(hosts)
            if host in tried or (
                host is not warming and self.slow_start.capacity_share(host, self.now) < 1.0
            ):
                continue
            if not self.ejection.is_eligible(host, request):
                ineligible = host
                continue
            eligible += 1
            if best is None or self.expected_answer_ms(host) < self.expected_answer_ms(best):
                best = host
            if (eligible >= 2 or host is warming) and self.expected_answer_ms(best) <= max_queue_ms:
                break
        return best or ineligible

    def draw(self, hosts: list[Host]) -> Host:
        """One at random; of all ready ones by registered size, where our own counts say too little."""
        sizes = self.cumulative_sizes if hosts is self.ready else range(1, len(hosts) + 1)
        return hosts[bisect(sizes, self.random.fraction() * sizes[-1])]

    def expected_answer_ms(self, host: Host) -> float:
        """For a mean request sent to this host now."""
        return self.estimates.expected_answer_ms(host.health, self.now)

    # Overload control.

    def max_queue_ms(self, request: Request, share: float) -> float:
        """The expected answer of a mean request above which no host is chosen. Guards against queues that
        bring every answer too late: `share` of what the request class in most haste bears for its work."""
        shortest = min(
            share * request_class.latency_objective_ms / self.estimates.work(self.now, request_class)
            for request_class in self.request_classes
        )
        return shortest * self.estimates.relative_earnings(request, self.now)

    def is_overloaded(self, host: Host, request: Request, max_queue_ms: float) -> bool:
        """Whether an answer from the chosen host is expected too late for the request to be sent there."""
        objective = request.request_class.latency_objective_ms
        time_left = min(request.received_at + objective, request.deadline) - self.now
        expected = self.expected_answer_ms(host)
        own = expected * self.estimates.request_work(request, self.now)
        if time_left <= 0:
            lateness = float("inf")
        else:
            lateness = max(expected / max_queue_ms, own / (MAX_OWN_SHARE * time_left))
        return lateness > 1.0 and (bool(host.health.in_flight) or not self.tries_late(lateness))

    def tries_late(self, lateness: float) -> bool:
        """Whether a host without an attempt of ours is tried though answers are late, by a chance that falls
        with the lateness. Guards against overload unseen for want of attempts. Hurts where that is off."""
        estimates = self.estimates
        attempts = self.retry_budget.attempts_per_ms(self.now) * estimates.initial_answer_ms
        at_a_host = attempts / len(self.ready)
        if lateness == float("inf"):
            return False
        return at_a_host > INFORMED_LOAD or self.random.below(1000) * lateness**2 < 1000

    # Attempts.

    def attempt_started(self, attempt: Attempt) -> None:
        """An attempt goes out."""
        self.ejection.attempt_started(attempt)
        self.retry_budget.attempt_started(attempt.request, self.now)

    def attempt_finished(self, attempt: Attempt, outcome: Outcome, took_ms: float) -> None:
        """An attempt ended: take in what it says of the host and of the load."""
        health: HostHealth = attempt.host.health
        request = attempt.request
        work = self.estimates.request_work(request, self.now)
        self.ejection.attempt_finished(attempt, outcome, took_ms)
        event = HostEvent.ANSWERED if outcome in (Outcome.DONE, Outcome.OVERLOADED) else HostEvent.FAILED
        if outcome is Outcome.OVERLOADED:
            self.ejection.refuse_plan(health, request)
            self.estimates.record_overloaded(health, request.request_class, self.now)
        if self.ejection.is_inconclusive(outcome, took_ms):
            event = HostEvent.INCONCLUSIVE
        elif outcome is Outcome.DONE:
            self.estimates.record_answer(attempt, took_ms, work, self.now)
            self.slow_start.answered(attempt.host, work, self.now)
        elif outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            at_least = min(took_ms, request.request_class.latency_objective_ms)
            self.estimates.record_answer(attempt, at_least, work, self.now)
        if outcome in (Outcome.DONE, Outcome.ERROR, Outcome.OVERLOADED):
            health.answered_at = self.now
        self.ejection.record(health, event)
