"""The five rules, checked from the outside: by what clients were answered, hosts received and lists said.

Nothing here asks a gateway: a rule holds or not by the observations of both sides. Pure functions over
observations; `rule_violations` gives a line for each violation, beginning with its rule. The slack is the
platform's on sockets: every time is 50 ms longer, a ceiling wider by what its rate gives in 150.
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
GRACE_S = 1.0  # for which a gateway may still send to a host that was listed as draining
CLOCK_ERROR_S = 0.001
CHANCE_ROOTS = 3  # a slow start's limit is widened by so many roots of itself, and by so many requests
ROUNDING_UNITS = 1e-9

Attempts = Sequence[HostAttempt]  # of one request, in the order in which hosts received them


class Span(NamedTuple):
    """From when to when, in seconds."""

    from_s: float
    to_s: float


class Arrival(NamedTuple):
    """When a request first came to a host, and its units."""

    at_s: float
    units: float


def rule_violations(observed: Observations) -> list[str]:
    """Every violation of a rule, a line each; empty if all rules were kept."""
    attempts: dict[int, list[HostAttempt]] = defaultdict(list)
    for attempt in sorted(observed.attempts, key=lambda attempt: attempt.received_at_s):
        attempts[attempt.request_id].append(attempt)
    count = observed.unexpected_answers
    found = [f"rule 1: {count} answers to no task"] if count else []
    for request in observed.requests:
        own = attempts.get(request.request_id, [])
        terms = observed.request_classes.get(request.request_class, IdempotencyTerms())
        found += check_answer(request, own)
        found += check_duplicate_effects(request, own, terms)
    found += check_draining_hosts(observed, attempts)
    for start in observed.starts:
        arrivals = (one.received_at_s for one in observed.attempts if one.host == start.host)
        found += check_slow_start(start, arrivals)
    for customer, ceiling in observed.ceilings.items():
        firsts = [
            Arrival(attempts[request.request_id][0].received_at_s, request.units)
            for request in observed.requests
            if request.customer == customer and request.request_id in attempts
        ]
        found += check_ceiling(customer, ceiling, sorted(firsts))
    return found


def check_answer(request: ClientRequest, attempts: Attempts) -> list[str]:
    """Rule 1: an answer before the client's deadline, and nothing sent to a host after it."""
    who = f"task {request.request_id} at gateway/{request.gateway}"
    answered_at_s = request.answered_at_s()
    late_ms = request.latency_ms - request.deadline_ms - 1000.0 * (request.paused_s + SLACK_S)
    found = []
    if answered_at_s < inf and late_ms > 0:
        found.append(f"rule 1: {who} was answered {late_ms + 1000 * SLACK_S:.0f} ms late")
    elif answered_at_s == inf and not request.gateway_ended:
        found.append(f"rule 1: {who} was never answered ({request.outcome})")
    for attempt in attempts:
        if attempt.received_at_s > answered_at_s + SLACK_S:
            after_ms = 1000 * (attempt.received_at_s - answered_at_s)
            found.append(f"rule 1: {who} was sent to {attempt.host} {after_ms:.0f} ms after its answer")
    return found


def check_duplicate_effects(request: ClientRequest, attempts: Attempts, terms: IdempotencyTerms) -> list[str]:
    """Rule 2: never two attempts in flight; no further attempt, nor a rejection, where an earlier one may
    have run and the request class forbids it, or the hosts no longer know the idempotency key."""
    found = []
    who = f"task {request.request_id} ({request.request_class})"
    for before, after in zip(attempts, attempts[1:]):
        if after.received_at_s < before.ended_at_s - CLOCK_ERROR_S:
            found.append(f"rule 2: {who} was out at {before.host} and {after.host} at once")
    ran = next((attempt for attempt in attempts if attempt.reply != ReplyKind.BUSY), None)
    if ran is None or terms.kind == Idempotency.IDEMPOTENT:
        return found
    keyed = terms.kind == Idempotency.KEYED
    known_until_s = ran.received_at_s + terms.window_ms / 1000.0 + SLACK_S if keyed else -inf
    for attempt in attempts:
        if attempt is not ran and attempt.received_at_s > max(ran.received_at_s, known_until_s):
            found.append(f"rule 2: {who} may have run at {ran.host} and was sent to {attempt.host}")
    if request.outcome == RequestOutcome.REJECTED and request.answered_at_s() > known_until_s:
        found.append(f"rule 2: {who} may have run at {ran.host} and was deferred")
    return found


def check_draining_hosts(observed: Observations, attempts: dict[int, list[HostAttempt]]) -> list[str]:
    """Rule 3: nothing new to a host later than the grace after its gateway was notified that it drains."""
    found = []
    gateways = {request.request_id: request.gateway for request in observed.requests}
    spans = {gateway: unavailable_spans(lists) for gateway, lists in observed.lists.items()}
    for request_id, own in attempts.items():
        gateway = gateways.get(request_id, -1)
        for attempt in own:
            for span in spans.get(gateway, {}).get(attempt.host, ()):
                if span.from_s + GRACE_S + SLACK_S < attempt.received_at_s < span.to_s:
                    late_ms = 1000 * (attempt.received_at_s - span.from_s)
                    who = f"task {request_id} of gateway/{gateway}"
                    found.append(f"rule 3: {who} came to {attempt.host} {late_ms:.0f} ms after its drain")
    return found


def unavailable_spans(lists: Iterable[WrittenList]) -> dict[str, list[Span]]:
    """For each host, from when to when the lists said that it drains or is gone."""
    spans: dict[str, list[Span]] = {}
    begun: dict[str, float] = {}
    for written in lists:
        for name in [name for name in begun if name not in written.unavailable]:
            spans.setdefault(name, []).append(Span(begun.pop(name), written.written_at_s))
        for name in written.unavailable:
            begun.setdefault(name, written.written_at_s)
    for name, from_s in begun.items():
        spans.setdefault(name, []).append(Span(from_s, inf))
    return spans


def check_slow_start(start: HostStart, arrivals: Iterable[float]) -> list[str]:
    """Rule 4: while a host warms up, it gets in no time of the stated length more than the stated multiple of
    its capacity, N, with three roots of N and three for chance."""
    times = sorted(at_s for at_s in arrivals if at_s >= start.at_s)
    terms = start.terms
    first = 0
    for last, at_s in enumerate(times):
        while times[first] < at_s - terms.overload_after_s:
            first += 1
        if times[first] > start.at_s + terms.warm_up_s:
            return []
        most = terms.overload_factor * start.capacity(times[first], times[first] + terms.overload_after_s)
        count = last - first + 1
        if count > most + CHANCE_ROOTS * sqrt(most) + CHANCE_ROOTS:
            return [f"rule 4: {start.host} got {count} tasks cold, of {most:.1f} that it bears"]
    return []


def check_ceiling(customer: int, ceiling: Ceiling, arrivals: Iterable[Arrival]) -> list[str]:
    """Rule 5: what all gateways forward for a customer stays under its ceiling and the slack. `arrivals` are
    the first attempts of the customer's requests, in order."""
    full = ceiling.burst + ceiling.slack + ceiling.rate * CEILING_SLACK_S
    level = full
    before_s = 0.0
    for at_s, units in arrivals:
        level = min(full, level + ceiling.rate * (at_s - before_s)) - units
        before_s = at_s
        if level < -ROUNDING_UNITS:
            return [f"rule 5: customer {customer} is {-level:.1f} units over its ceiling at {at_s:.2f} s"]
    return []
