"""Checks of the five rules from outside the gateways.

The checks use the answers that clients received, the attempts that hosts received and the endpoint lists that
were written; no gateway is queried. All functions are pure functions of the observations, and
`rule_violations` returns one line per violation that begins with the rule. The slack is that of the platform
on sockets: each time limit is extended by 50 ms, and each ceiling by what its rate yields in 150 ms.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from math import inf, sqrt
from typing import NamedTuple

from granitedock.lab.faults.host_faults import ReplyKind
from granitedock.lab.load.observations import (
    Ceiling,
    ClientRequest,
    HostAttempt,
    HostStart,
    IdempotencyTerms,
    Observations,
    RequestOutcome,
    WrittenList,
)
from granitedock.policy.types import Idempotency

SLACK_S = 0.05
CEILING_SLACK_S = 0.15
GRACE_S = 1.0  # a gateway may send to a host for this long after the host was listed as draining
CLOCK_ERROR_S = 0.001
# Random arrivals may exceed a slow-start limit N by this multiple of sqrt(N), plus as many requests.
CHANCE_DEVIATIONS = 3
ROUNDING_UNITS = 1e-9

Attempts = Sequence[HostAttempt]  # attempts of one request, in the order in which hosts received them


class Span(NamedTuple):
    """An interval of time, in seconds."""

    from_s: float
    to_s: float


class Arrival(NamedTuple):
    """The time at which a host first received a request, and the units of the request."""

    at_s: float
    units: float


def rule_violations(observed: Observations) -> list[str]:
    """Return one line per violation of a rule; the list is empty if all rules hold."""
    attempts: dict[int, list[HostAttempt]] = defaultdict(list)
    for attempt in sorted(observed.attempts, key=lambda attempt: attempt.received_at_s):
        attempts[attempt.request_id].append(attempt)
    count = observed.unexpected_answers
    violations = [f"rule 1: {count} answers to no task"] if count else []
    for request in observed.requests:
        request_attempts = attempts.get(request.request_id, [])
        terms = observed.request_classes.get(request.request_class, IdempotencyTerms())
        violations += check_answer(request, request_attempts)
        violations += check_duplicate_effects(request, request_attempts, terms)
    violations += check_draining_hosts(observed, attempts)
    for start in observed.starts:
        arrivals = (attempt.received_at_s for attempt in observed.attempts if attempt.host == start.host)
        violations += check_slow_start(start, arrivals)
    for customer, ceiling in observed.ceilings.items():
        first_arrivals = [
            Arrival(attempts[request.request_id][0].received_at_s, request.units)
            for request in observed.requests
            if request.customer == customer and request.request_id in attempts
        ]
        violations += check_ceiling(customer, ceiling, sorted(first_arrivals))
    return violations


def check_answer(request: ClientRequest, attempts: Attempts) -> list[str]:
    """Check rule 1: an answer comes before the deadline, and no attempt reaches a host after the answer."""
    label = f"task {request.request_id} at gateway/{request.gateway}"
    answered_at_s = request.answered_at_s()
    late_ms = request.latency_ms - request.deadline_ms - 1000.0 * (request.paused_s + SLACK_S)
    violations = []
    if answered_at_s < inf and late_ms > 0:
        violations.append(f"rule 1: {label} was answered {late_ms + 1000 * SLACK_S:.0f} ms late")
    elif answered_at_s == inf and not request.gateway_ended:
        violations.append(f"rule 1: {label} was never answered ({request.outcome})")
    for attempt in attempts:
        if attempt.received_at_s > answered_at_s + SLACK_S:
            after_ms = 1000 * (attempt.received_at_s - answered_at_s)
            violations.append(
                f"rule 1: {label} was sent to {attempt.host} {after_ms:.0f} ms after its answer"
            )
    return violations


def check_duplicate_effects(request: ClientRequest, attempts: Attempts, terms: IdempotencyTerms) -> list[str]:
    """Check rule 2: a request never has two attempts in flight, and its effect is never duplicated.

    Once an attempt may have run, there is no further attempt and no rejection if the request class forbids
    it, or if the idempotency window has ended and hosts no longer recognise the idempotency key.
    """
    violations = []
    label = f"task {request.request_id} ({request.request_class})"
    for before, after in zip(attempts, attempts[1:]):
        if after.received_at_s < before.ended_at_s - CLOCK_ERROR_S:
            violations.append(f"rule 2: {label} was out at {before.host} and {after.host} at once")
    possible_run = next((attempt for attempt in attempts if attempt.reply != ReplyKind.BUSY), None)
    if possible_run is None or terms.kind == Idempotency.IDEMPOTENT:
        return violations
    keyed = terms.kind == Idempotency.KEYED
    key_known_until_s = possible_run.received_at_s + terms.window_ms / 1000.0 + SLACK_S if keyed else -inf
    for attempt in attempts:
        if attempt is not possible_run and attempt.received_at_s > max(
            possible_run.received_at_s, key_known_until_s
        ):
            violations.append(
                f"rule 2: {label} may have run at {possible_run.host} and was sent to {attempt.host}"
            )
    if request.outcome == RequestOutcome.REJECTED and request.answered_at_s() > key_known_until_s:
        violations.append(f"rule 2: {label} may have run at {possible_run.host} and was deferred")
    return violations


def check_draining_hosts(observed: Observations, attempts: dict[int, list[HostAttempt]]) -> list[str]:
    """Check rule 3: no gateway sends new attempts to a draining host.

    The limit is the grace period after the gateway was notified that the host drains.
    """
    violations = []
    gateways = {request.request_id: request.gateway for request in observed.requests}
    spans = {gateway: unavailable_spans(lists) for gateway, lists in observed.lists.items()}
    for request_id, request_attempts in attempts.items():
        gateway = gateways.get(request_id, -1)
        for attempt in request_attempts:
            for span in spans.get(gateway, {}).get(attempt.host, ()):
                if span.from_s + GRACE_S + SLACK_S < attempt.received_at_s < span.to_s:
                    late_ms = 1000 * (attempt.received_at_s - span.from_s)
                    label = f"task {request_id} of gateway/{gateway}"
                    violations.append(
                        f"rule 3: {label} came to {attempt.host} {late_ms:.0f} ms after its drain"
                    )
    return violations


def unavailable_spans(lists: Iterable[WrittenList]) -> dict[str, list[Span]]:
    """Return, by host, the spans in which the lists showed it as draining or removed."""
    spans: dict[str, list[Span]] = {}
    unavailable_since_s: dict[str, float] = {}
    for written in lists:
        for name in [name for name in unavailable_since_s if name not in written.unavailable]:
            spans.setdefault(name, []).append(Span(unavailable_since_s.pop(name), written.written_at_s))
        for name in written.unavailable:
            unavailable_since_s.setdefault(name, written.written_at_s)
    for name, from_s in unavailable_since_s.items():
        spans.setdefault(name, []).append(Span(from_s, inf))
    return spans


def check_slow_start(start: HostStart, arrivals: Iterable[float]) -> list[str]:
    """Check rule 4: a host that warms up is not overloaded.

    In any span of `overload_after_s` the host receives at most N requests, `overload_factor` times its
    capacity, plus three times the square root of N and three more for random arrivals.
    """
    times = sorted(at_s for at_s in arrivals if at_s >= start.at_s)
    terms = start.terms
    first = 0
    for last, at_s in enumerate(times):
        while times[first] < at_s - terms.overload_after_s:
            first += 1
        if times[first] > start.at_s + terms.warm_up_s:
            return []
        limit = terms.overload_factor * start.capacity(times[first], times[first] + terms.overload_after_s)
        count = last - first + 1
        if count > limit + CHANCE_DEVIATIONS * sqrt(limit) + CHANCE_DEVIATIONS:
            return [f"rule 4: {start.host} got {count} tasks cold, of {limit:.1f} that it bears"]
    return []


def check_ceiling(customer: int, ceiling: Ceiling, arrivals: Iterable[Arrival]) -> list[str]:
    """Check rule 5: the units that all gateways forward for a customer stay within its ceiling and slack.

    `arrivals` are the first attempts of the customer's requests, in order of time.
    """
    capacity = ceiling.burst + ceiling.slack + ceiling.rate * CEILING_SLACK_S
    level = capacity
    before_s = 0.0
    for at_s, units in arrivals:
        level = min(capacity, level + ceiling.rate * (at_s - before_s)) - units
        before_s = at_s
        if level < -ROUNDING_UNITS:
            return [f"rule 5: customer {customer} is {-level:.1f} units over its ceiling at {at_s:.2f} s"]
    return []
