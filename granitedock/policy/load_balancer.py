"""Load balancing: power of two choices over hosts drawn by registered size.

Of the two hosts, the one with the shorter expected answer time is chosen, as estimated from the answers that
this gateway itself has received.
"""

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

MAX_DRAWS = 12  # Largest number of hosts drawn to choose one for a request.
# Limits of the expected answer time. The first two are shares of the latency objective and apply to a mean
# request; requests that are not counted have the lower one, so that they are rejected first.
MAX_QUEUE_SHARE = 0.45
MAX_QUEUE_SHARE_UNCOUNTED = 0.4
MAX_TIME_LEFT_SHARE = 0.8  # Of the time left for the request, for its own expected answer time.
# Mean number of attempts of this gateway in flight per host. Below it, a host that has none of them may still
# be busy with requests of other gateways.
SUFFICIENT_ATTEMPTS_PER_HOST = 0.4


class LoadBalancer:
    """Chooses hosts and detects overload. The gateway sets `now` (ms)."""

    def __init__(self, now: float, settings: GatewaySettings, log_decision: Callable[[str], None]) -> None:
        self.now = now
        self.request_classes = settings.request_classes
        self.latency_objective_ms = min(
            request_class.latency_objective_ms for request_class in settings.request_classes
        )
        self.tracked_hosts: dict[Host, None] = {}
        self.ready: list[Host] = []
        self.cumulative_sizes: list[float] = []  # Running sums of the registered sizes of `ready`.
        self.refresh_at = now
        self.random = RandomSource(settings.identity.seed)
        self.estimates = LoadEstimates(self.latency_objective_ms)
        self.retry_budget = RetryBudget()
        self.slow_start = SlowStartCredit(settings, self.estimates, self.random)
        self.ejection = OutlierEjection(now, self.latency_objective_ms, self.estimates, log_decision)

    def advance_clock(self, now: float) -> None:
        """Set the current time, in ms, here and in the outlier ejection."""
        self.now = self.ejection.now = now

    def set_request_classes(self, request_classes: Sequence[RequestClass]) -> None:
        """Replace the request classes."""
        self.request_classes[:] = request_classes
        self.latency_objective_ms = min(
            request_class.latency_objective_ms for request_class in request_classes
        )
        self.ejection.latency_objective_ms = self.latency_objective_ms

    def update_endpoints(self, updates: list[EndpointUpdate], complete: bool) -> None:
        """Apply updates of the endpoint list; a complete list removes the hosts that it does not name.

        A removed host stays tracked until the first update after its last attempt in flight has ended.
        """
        if complete:
            for host in self.tracked_hosts:
                host.status = EndpointStatus.GONE
        for update in updates:
            host = update.host
            if host.health is None or update.started_at > host.started_at:
                # The host is new, or its restart voids earlier measurements.
                host.health = HostHealth(self.now)
            host.size = update.size
            host.machine_type = update.machine_type
            host.zone = update.zone
            host.cell = update.cell
            host.started_at = update.started_at
            host.status = update.status
            self.tracked_hosts[host] = None
        self.tracked_hosts = {
            host: None
            for host in self.tracked_hosts
            if host.status is not EndpointStatus.GONE or host.health.in_flight
        }
        self.ready = [host for host in self.tracked_hosts if host.status is EndpointStatus.READY]
        self.cumulative_sizes = list(accumulate(max(host.size, MIN_HOST_SIZE) for host in self.ready))
        self.refresh_at = self.now

    def refresh_if_due(self) -> None:
        """Recompute warming hosts and panic mode, once per overload interval and after an endpoint update."""
        if self.now >= self.refresh_at:
            self.refresh_at = self.now + self.slow_start.settings.overload_interval_ms
            self.slow_start.refresh(self.ready, self.now)
            self.ejection.refresh(self.ready)

    # Host selection.

    def choose_host(self, request: Request, hosts: list[Host], max_queue_ms: float) -> Host | None:
        """Choose a host by power of two choices: of two drawn at random, the one expected to answer sooner.

        Draws further hosts if that one exceeds `max_queue_ms` or if drawn ones are not eligible, since
        another may have capacity. If the slow-start credit suffices, a warming host is drawn first; other
        warming hosts, and hosts already tried if there are enough others, are skipped.
        Without an eligible host the result is the ineligible one drawn last, or None if there is none either.
        """
        self.refresh_if_due()
        if not hosts:
            return None
        attempts = request.attempts
        tried = [attempt.host for attempt in attempts] if len(hosts) > len(attempts) else []
        warming = None
        if hosts is self.ready:
            warming = self.slow_start.next_warming_host(request, self.cumulative_sizes[-1], self.now)
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
        """Draw one host at random.

        From all ready hosts it draws in proportion to their registered sizes, because the attempts of one
        gateway are too few to show how much capacity a host has. From fewer hosts it draws uniformly.
        """
        sizes = self.cumulative_sizes if hosts is self.ready else range(1, len(hosts) + 1)
        return hosts[bisect(sizes, self.random.fraction() * sizes[-1])]

    def expected_answer_ms(self, host: Host) -> float:
        """Estimate the answer time (ms) of a mean request sent to this host now."""
        return self.estimates.expected_answer_ms(host.health, self.now)

    # Overload control.

    def max_queue_ms(self, request: Request, share: float) -> float:
        """Return the expected answer time (ms) of a mean request above which a host counts as overloaded.

        Prevents queues in which every answer is late. The limit is `share` of the latency objective divided
        by the relative work, for the request class for which that is shortest, times the request's relative
        value.
        """
        shortest_ms = min(
            share * request_class.latency_objective_ms / self.estimates.relative_work(self.now, request_class)
            for request_class in self.request_classes
        )
        return shortest_ms * self.estimates.relative_value(request, self.now)

    def is_overloaded(self, host: Host, request: Request, max_queue_ms: float) -> bool:
        """Return whether the chosen host is expected to answer too late for the request to be sent there."""
        objective = request.request_class.latency_objective_ms
        time_left_ms = min(request.received_at + objective, request.deadline) - self.now
        expected_ms = self.expected_answer_ms(host)
        expected_for_request_ms = expected_ms * self.estimates.request_work(request, self.now)
        if time_left_ms <= 0:
            lateness = float("inf")
        else:
            lateness = max(
                expected_ms / max_queue_ms, expected_for_request_ms / (MAX_TIME_LEFT_SHARE * time_left_ms)
            )
        return lateness > 1.0 and (
            bool(host.health.in_flight) or not self.should_probe_overdue_host(lateness)
        )

    def should_probe_overdue_host(self, lateness: float) -> bool:
        """Return whether to send to a host without attempts of this gateway that is expected to answer late.

        `lateness` is the expected answer time as a multiple of its limit, infinite if no time is left;
        the request is then not sent. With too few attempts per host the chance to send it is
        1 / lateness**2, otherwise it is always sent. Prevents overload that this gateway cannot see because
        it has too few attempts; the cost is requests rejected without need if the estimate is wrong.
        """
        estimates = self.estimates
        attempts = self.retry_budget.attempts_per_ms(self.now) * estimates.initial_answer_ms
        attempts_per_host = attempts / len(self.ready)
        if lateness == float("inf"):
            return False
        return (
            attempts_per_host > SUFFICIENT_ATTEMPTS_PER_HOST or self.random.below(1000) * lateness**2 < 1000
        )

    # Attempts.

    def attempt_started(self, attempt: Attempt) -> None:
        """Record a started attempt in the host's health and in the retry budget."""
        self.ejection.attempt_started(attempt)
        self.retry_budget.attempt_started(attempt.request, self.now)

    def attempt_finished(self, attempt: Attempt, outcome: Outcome, took_ms: float) -> None:
        """Update host health, load estimates and slow-start credit from an attempt that has ended."""
        health: HostHealth = attempt.host.health
        request = attempt.request
        work = self.estimates.request_work(request, self.now)
        self.ejection.attempt_finished(attempt, outcome, took_ms)
        event = HostEvent.ANSWERED if outcome in (Outcome.DONE, Outcome.OVERLOADED) else HostEvent.FAILED
        if outcome is Outcome.OVERLOADED:
            self.ejection.avoid_plan_at_host(health, request)
            self.estimates.record_overloaded(health, request.request_class, self.now)
        if self.ejection.is_inconclusive(outcome, took_ms):
            event = HostEvent.INCONCLUSIVE
        elif outcome is Outcome.DONE:
            self.estimates.record_answer(attempt, took_ms, work, self.now)
            self.slow_start.record_answer(attempt.host, work, self.now)
        elif outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            min_answer_ms = min(took_ms, request.request_class.latency_objective_ms)
            self.estimates.record_answer(attempt, min_answer_ms, work, self.now)
        if outcome in (Outcome.DONE, Outcome.ERROR, Outcome.OVERLOADED):
            health.answered_at = self.now
        self.ejection.record(health, event)
