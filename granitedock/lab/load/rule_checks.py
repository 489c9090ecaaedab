"""The five rules, checked from the outside: by what clients were answered, hosts received and lists told.

Nothing here asks a gateway: a rule holds or not by the records of both sides. Pure functions over records on
one clock, in seconds since the load began; `check` gives a line for each break, beginning with its rule. The
slack is the platform's on sockets: every time is 50 ms longer, a ceiling wider by what its rate gives in 150.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf, sqrt

SLACK_S, CEILING_SLACK_S, GRACE_S = 0.05, 0.15, 1.0
NEVER_RAN = "busy"


@dataclass(slots=True)
class Seen:
    """One forward as a host received it: out until it was answered or its connection ended. `kind` as in
    `life.Reply`; `busy` has proved that it never ran."""

    task: int
    host: str
    at_s: float
    until_s: float = inf
    kind: str = "out"
    port: int = 0  # of the other end of the connection it came on


@dataclass(slots=True)
class Answer:
    """What a client had for its task: `gateway` is the one it asked, `paused_s` how much of the time that one
    was stopped, `ended` whether it ended or was cut off under the task, so that nothing is owed."""

    task: int
    gateway: int
    customer: int
    product: str
    units: float
    sent_s: float
    left_ms: float
    kind: str
    took_ms: float = 0.0
    paused_s: float = 0.0
    ended: bool = False

    def at_s(self) -> float:
        """When its answer came; never, if none did."""
        return self.sent_s + self.took_ms / 1000.0 if self.kind in ("done", "deferred", "errored") else inf


@dataclass(frozen=True, slots=True)
class Ceiling:
    """Of one customer: units a second, at once, and beyond."""

    rate: float
    burst: float
    slack: float


@dataclass(frozen=True, slots=True)
class Start:
    """A host that starts at `at_s`: tasks it can do a second when warm, and what pushes it over."""

    host: str
    at_s: float
    warm_rate: float
    share: float = 0.2
    warm_s: float = 1.0
    factor: float = 2.0
    tip_s: float = 1.0

    def can(self, from_s: float, to_s: float) -> float:
        """Tasks it can do in this time; its part grows evenly until it is warm."""

        def upto(s: float) -> float:
            age = max(0.0, s - self.at_s)
            warm = min(age, self.warm_s)
            part = self.share * warm + (1.0 - self.share) * warm * warm / (2.0 * self.warm_s)
            return part + max(0.0, age - self.warm_s)

        return self.warm_rate * (upto(to_s) - upto(from_s))


@dataclass(slots=True)
class Records:
    """All that was seen of a run from the outside."""

    answers: list[Answer]
    seen: list[Seen]
    unasked: int = 0  # answers to no task
    # By gateway: when a list was written to it, and the hosts that it says drain or are gone.
    told: dict[int, list[tuple[float, frozenset[str]]]] = field(default_factory=dict)
    ceilings: dict[int, Ceiling] = field(default_factory=dict)  # by customer
    starts: list[Start] = field(default_factory=list)
    repeats: dict[str, tuple[str, float]] = field(default_factory=dict)  # product: safe, keyed, unsafe; ms


def check(records: Records) -> list[str]:
    """Every break of a rule, a line each; empty if all were kept."""
    forwards: dict[int, list[Seen]] = defaultdict(list)
    for seen in sorted(records.seen, key=lambda seen: seen.at_s):
        forwards[seen.task].append(seen)
    found = [f"rule 1: {records.unasked} answers to no task"] * bool(records.unasked)
    for answer in records.answers:
        found += one_answer(answer, forwards.get(answer.task, []))
        repeats = records.repeats.get(answer.product, ("safe", 0.0))
        found += no_effect_twice(answer, forwards.get(answer.task, []), *repeats)
    found += drains(records, forwards)
    for start in records.starts:
        found += cold(start, (seen.at_s for seen in records.seen if seen.host == start.host))
    for customer, ceiling in records.ceilings.items():
        firsts = [
            (forwards[answer.task][0].at_s, answer.units)
            for answer in records.answers
            if answer.customer == customer and answer.task in forwards
        ]
        found += under(customer, ceiling, sorted(firsts))
    return found


def one_answer(answer: Answer, forwards: list[Seen]) -> list[str]:
    """Rule 1: an answer before the client's time is up, and nothing sent on after it."""
    who = f"task {answer.task} at gateway/{answer.gateway}"
    late_ms = answer.took_ms - answer.left_ms - 1000.0 * (answer.paused_s + SLACK_S)
    found = []
    if answer.at_s() < inf and late_ms > 0:
        found.append(f"rule 1: {who} was answered {late_ms + 1000 * SLACK_S:.0f} ms late")
    elif answer.at_s() == inf and not answer.ended:
        found.append(f"rule 1: {who} was never answered ({answer.kind})")
    for seen in forwards:
        if seen.at_s > answer.at_s() + SLACK_S:
            after_ms = 1000 * (seen.at_s - answer.at_s())
            found.append(f"rule 1: {who} was sent to {seen.host} {after_ms:.0f} ms after its answer")
    return found


def no_effect_twice(answer: Answer, forwards: list[Seen], repeat: str, group_ms: float) -> list[str]:
    """Rule 2: never two copies out; nothing again, nor a deferral, where an earlier one may have run and the
    product forbids it, or the hosts no longer know the stamp."""
    found, who = [], f"task {answer.task} ({answer.product})"
    for before, after in zip(forwards, forwards[1:]):
        if after.at_s < before.until_s - 0.001:
            found.append(f"rule 2: {who} was out at {before.host} and {after.host} at once")
    ran = next((seen for seen in forwards if seen.kind != NEVER_RAN), None)
    if ran is None or repeat == "safe":
        return found
    good_s = ran.at_s + group_ms / 1000.0 + SLACK_S if repeat == "keyed" else -inf
    for seen in forwards:
        if seen is not ran and seen.at_s > max(ran.at_s, good_s):
            found.append(f"rule 2: {who} may have run at {ran.host} and was sent to {seen.host}")
    if answer.kind == "deferred" and answer.at_s() > good_s:
        found.append(f"rule 2: {who} may have run at {ran.host} and was deferred")
    return found


def drains(records: Records, forwards: dict[int, list[Seen]]) -> list[str]:
    """Rule 3: nothing new to a host later than the grace after its gateway was told that it drains."""
    found, owner = [], {answer.task: answer.gateway for answer in records.answers}
    since = {n: held(lists) for n, lists in records.told.items()}
    for task, sent in forwards.items():
        for seen in sent:
            for from_s, to_s in since.get(owner.get(task, -1), {}).get(seen.host, ()):
                if from_s + GRACE_S + SLACK_S < seen.at_s < to_s:
                    late_ms = 1000 * (seen.at_s - from_s)
                    who = f"task {task} of gateway/{owner[task]}"
                    found.append(f"rule 3: {who} came to {seen.host} {late_ms:.0f} ms after its drain")
    return found


def held(lists: list[tuple[float, frozenset[str]]]) -> dict[str, list[tuple[float, float]]]:
    """For each host, from when to when the lists said that it drains or is gone."""
    spans: dict[str, list[tuple[float, float]]] = {}
    open_s: dict[str, float] = {}
    for at_s, names in lists:
        for name in [name for name in open_s if name not in names]:
            spans.setdefault(name, []).append((open_s.pop(name), at_s))
        for name in names:
            open_s.setdefault(name, at_s)
    for name, from_s in open_s.items():
        spans.setdefault(name, []).append((from_s, inf))
    return spans


def cold(start: Start, arrivals: Iterable[float]) -> list[str]:
    """Rule 4: in no time of the stated length, while it is cold, does it get more than the stated multiple of
    what it can do, N, with three roots of N and three for chance."""
    times = sorted(at_s for at_s in arrivals if at_s >= start.at_s)
    first = 0
    for last, at_s in enumerate(times):
        while times[first] < at_s - start.tip_s:
            first += 1
        if times[first] > start.at_s + start.warm_s:
            return []
        most = start.factor * start.can(times[first], times[first] + start.tip_s)
        if last - first + 1 > most + 3 * sqrt(most) + 3:
            return [f"rule 4: {start.host} got {last - first + 1} tasks cold, of {most:.1f} that it bears"]
    return []


def under(customer: int, ceiling: Ceiling, firsts: list[tuple[float, float]]) -> list[str]:
    """Rule 5: what all gateways send on for a customer stays under its ceiling and the slack."""
    full = ceiling.burst + ceiling.slack + ceiling.rate * CEILING_SLACK_S
    level, before = full, 0.0
    for at_s, units in firsts:
        level = min(full, level + ceiling.rate * (at_s - before)) - units
        before = at_s
        if level < -1e-9:
            return [f"rule 5: customer {customer} is {-level:.1f} units over its ceiling at {at_s:.2f} s"]
    return []
