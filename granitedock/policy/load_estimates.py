"""What answers say of the load: answer times, and how much work requests of a kind are. No load reports.

Work is measured in mean requests, so that a shift to heavy requests does not pass for slow hosts.
"""

from __future__ import annotations

from granitedock.policy.host_health import HostHealth
from granitedock.policy.types import Attempt, Request, RequestClass
from granitedock.rolling_window import RollingWindow

INITIAL_ANSWER_SHARE = 0.3  # of the latency objective, for an answer's time before any
INITIAL_WEIGHT = 12.0  # answers for which that guess counts
LOAD_SPAN_MS = 4000.0
WORK_SPAN_MS = 20000.0


class LoadEstimates:
    """Rolling means over all hosts; those of one host are in its `HostHealth`. Times in ms."""

    def __init__(self, latency_objective_ms: float) -> None:
        self.initial_answer_ms = INITIAL_ANSWER_SHARE * latency_objective_ms
        self.answers = RollingWindow(LOAD_SPAN_MS)  # answer times of requests made mean ones, and answers
        self.load = RollingWindow(LOAD_SPAN_MS)  # the same times, and the attempts they shared a host with
        self.earnings = RollingWindow(WORK_SPAN_MS)  # priority weight of answered requests, and their work
        # Answer times and answers, by a trait: none, the class, or the class and the units.
        self.times: dict[tuple[object, ...], RollingWindow] = {(): RollingWindow(WORK_SPAN_MS)}

    def work(self, now: float, *trait: object) -> float:
        """How long requests with this trait take, in mean requests; by class alone a request counts by its
        units."""
        mean = self.times[()].mean(now, INITIAL_WEIGHT, self.initial_answer_ms)
        return self.times[trait].mean(now, INITIAL_WEIGHT, mean) / mean if trait in self.times else 1.0

    def request_work(self, request: Request, now: float) -> float:
        """How long this request takes, in mean requests."""
        return self.work(now, request.request_class, round(request.units))

    def mean_answer_ms(self, now: float) -> float:
        """The answer time of a mean request."""
        return self.answers.mean(now, INITIAL_WEIGHT, self.initial_answer_ms)

    def expected_answer_ms(self, health: HostHealth, now: float) -> float:
        """For a mean request sent to this host: its pace by its own answers, times our attempts there."""
        fleet = self.load.mean(now, INITIAL_WEIGHT, self.initial_answer_ms)
        return health.pace.mean(now, INITIAL_WEIGHT, fleet) * (len(health.in_flight) + 1)

    def relative_earnings(self, request: Request, now: float) -> float:
        """From 0.5 to 1: under load, requests that earn less for their time than the mean one wait behind
        shorter queues."""
        own = request.request_class.priority_weight * request.units / self.request_work(request, now)
        if own <= 0:
            return 0.5
        return 0.5 + 0.5 * min(1.0, own / self.earnings.mean(now, INITIAL_WEIGHT, own))

    def record_overloaded(self, health: HostHealth, request_class: RequestClass, now: float) -> None:
        """A host that refused counts as one that answers at the latency objective."""
        for pace in (health.pace, self.load):
            pace.add(now, request_class.latency_objective_ms, 1.0)

    def record_answer(self, attempt: Attempt, took_ms: float, work: float, now: float) -> None:
        """An answer, or a lower bound of its time where none came; `work` is the request's so far."""
        request = attempt.request
        request_class = request.request_class
        sharing = attempt.in_flight_at_send + 1.0
        attempt.host.health.pace.add(now, took_ms / work, sharing)
        self.load.add(now, took_ms / work, sharing)
        self.answers.add(now, took_ms / work, 1.0)
        self.earnings.add(now, request_class.priority_weight * request.units, work)
        self.record_time((), took_ms, 1.0, now)
        self.record_time((request_class,), took_ms, request.units, now)
        self.record_time((request_class, round(request.units)), took_ms, 1.0, now)

    def record_time(self, trait: tuple[object, ...], took_ms: float, weight: float, now: float) -> None:
        """An answer time under one trait."""
        times = self.times.get(trait)
        if times is None:
            times = self.times[trait] = RollingWindow(WORK_SPAN_MS)
        times.add(now, took_ms * weight, weight)
