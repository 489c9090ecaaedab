"""Load estimates from answer times, and the relative work of kinds of requests. Hosts send no load reports.

Work is measured in mean requests, so that a shift to heavy requests is not mistaken for slow hosts.
"""

from __future__ import annotations

from granitedock.policy.host_health import HostHealth
from granitedock.policy.types import Attempt, Request, RequestClass
from granitedock.rolling_window import RollingWindow

# Assumed answer time before any answer, as a share of the latency objective, and the number of answers that
# this assumption weighs as much as.
INITIAL_ANSWER_SHARE = 0.3
INITIAL_WEIGHT_ANSWERS = 12.0
LOAD_SPAN_MS = 4000.0
WORK_SPAN_MS = 20000.0


class LoadEstimates:
    """Keeps rolling means over all hosts, of times in ms; those of one host are in its `HostHealth`."""

    def __init__(self, latency_objective_ms: float) -> None:
        self.initial_answer_ms = INITIAL_ANSWER_SHARE * latency_objective_ms
        # Sums of answer times divided by the request's relative work, and the number of answers.
        self.normalized_answer_times = RollingWindow(LOAD_SPAN_MS)
        # Sums of the same times, and of the attempts of this gateway in flight at the host when the answered
        # one was sent, itself included.
        self.fleet_service_time = RollingWindow(LOAD_SPAN_MS)
        # Sums of the priority weights times units of answered requests, and of their work.
        self.value_per_work = RollingWindow(WORK_SPAN_MS)
        # Sums of answer times and of answers, by group of requests: the empty group of all requests, a
        # request class (weighted by units), or a request class and a number of units.
        self.answer_times: dict[tuple[object, ...], RollingWindow] = {(): RollingWindow(WORK_SPAN_MS)}

    def relative_work(self, now: float, *group: object) -> float:
        """Return the mean answer time of a group of requests as a multiple of that of all requests.

        For a request class alone each answer is weighted by its request's units. It is 1 for a group without
        answers.
        """
        mean = self.answer_times[()].mean(now, INITIAL_WEIGHT_ANSWERS, self.initial_answer_ms)
        return (
            self.answer_times[group].mean(now, INITIAL_WEIGHT_ANSWERS, mean) / mean
            if group in self.answer_times
            else 1.0
        )

    def request_work(self, request: Request, now: float) -> float:
        """Estimate the work of this request, in mean requests."""
        return self.relative_work(now, request.request_class, round(request.units))

    def mean_answer_ms(self, now: float) -> float:
        """Return the answer time (ms) of a mean request."""
        return self.normalized_answer_times.mean(now, INITIAL_WEIGHT_ANSWERS, self.initial_answer_ms)

    def expected_answer_ms(self, health: HostHealth, now: float) -> float:
        """Estimate the answer time (ms) of a mean request sent to this host now.

        It is the host's service time per attempt in flight, by its own answers, times the attempts that this
        gateway would then have there.
        """
        fleet_mean = self.fleet_service_time.mean(now, INITIAL_WEIGHT_ANSWERS, self.initial_answer_ms)
        return health.service_time.mean(now, INITIAL_WEIGHT_ANSWERS, fleet_mean) * (len(health.in_flight) + 1)

    def relative_value(self, request: Request, now: float) -> float:
        """Return a factor from 0.5 to 1 by the request's value per work relative to the mean request.

        Under load, requests of less value per work than the mean one are accepted only into shorter queues.
        """
        value = request.request_class.priority_weight * request.units / self.request_work(request, now)
        if value <= 0:
            return 0.5
        return 0.5 + 0.5 * min(1.0, value / self.value_per_work.mean(now, INITIAL_WEIGHT_ANSWERS, value))

    def record_overloaded(self, health: HostHealth, request_class: RequestClass, now: float) -> None:
        """Count a rejection by an overloaded host as an answer that took the whole latency objective."""
        for service_time in (health.service_time, self.fleet_service_time):
            service_time.add(now, request_class.latency_objective_ms, 1.0)

    def record_answer(self, attempt: Attempt, took_ms: float, work: float, now: float) -> None:
        """Record an answer time, or a lower bound of it if no answer came.

        `work` is the request's estimated work before this answer, in mean requests.
        """
        request = attempt.request
        request_class = request.request_class
        in_flight = attempt.in_flight_at_send + 1.0
        attempt.host.health.service_time.add(now, took_ms / work, in_flight)
        self.fleet_service_time.add(now, took_ms / work, in_flight)
        self.normalized_answer_times.add(now, took_ms / work, 1.0)
        self.value_per_work.add(now, request_class.priority_weight * request.units, work)
        self.record_time((), took_ms, 1.0, now)
        self.record_time((request_class,), took_ms, request.units, now)
        self.record_time((request_class, round(request.units)), took_ms, 1.0, now)

    def record_time(self, group: tuple[object, ...], took_ms: float, weight: float, now: float) -> None:
        """Record an answer time for one group of requests."""
        answer_times = self.answer_times.get(group)
        if answer_times is None:
            answer_times = self.answer_times[group] = RollingWindow(WORK_SPAN_MS)
        answer_times.add(now, took_ms * weight, weight)
