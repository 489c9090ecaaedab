"""Which hosts are kept from tasks by what others say of them, within bounds; and who asks them again.

Own evidence comes first. Hearsay counts only from live members, while it is fresh, from several, and only
as long as fewer speak for the host; whoever calls most of its hosts bad is set apart, as its own network
is the likelier cause. Hearsay never takes out more than a stated part of the hosts, nor the last of a
zone. Everything here only takes work away from a host; nothing sends to one. No I/O; times are ms of one
clock.
"""

from __future__ import annotations

import zlib
from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass
from typing import Any

from granitedock.outlier_detection.evidence import Evidence, Held, Row
from granitedock.policy.types import EndpointStatus, Host, Outcome

ANSWERS = (Outcome.DONE, Outcome.OVERLOADED)
SILENT = (Outcome.TIMEOUT, Outcome.CANCELLED)


@dataclass(frozen=True, slots=True)
class Weights:
    """Times in ms, and counts."""

    fresh_ms: float = 6000.0  # hearsay older than this counts for nothing
    sure_ms: float = 2000.0  # an own answer no older than this outweighs all hearsay
    failures: int = 3  # of several tellers together, in a row
    tellers: int = 2
    most_out: float = 0.25  # part of the ready hosts that hearsay takes out
    apart: float = 0.5  # who speaks against more of its hosts than this is set apart
    apart_hosts: int = 3
    turn_ms: float = 1000.0  # one in `askers` live members, one at least, asks a host that is out
    askers: int = 20
    judged_ms: float = 100.0  # the verdicts are made anew so often
    tell_ms: float = 200.0
    renew_ms: float = 1000.0  # what still holds is said again so often
    most_rows: int = 20_000


@dataclass(slots=True)
class Notes:
    """What our own forwards to one host came to."""

    started: float = 0.0
    failures: int = 0
    timeouts: int = 0
    full: int = 0
    failed_at: float = -1.0
    answered_at: float = -1.0
    pace: float = 0.0  # of the quoted time, the newest counting for a fifth
    out: int = 0
    said_at: float = float("-inf")
    status: EndpointStatus = EndpointStatus.READY


class Judge:
    """One gateway's judgement. `members` gives the names of the live gateways, ours among them; `place` is a
    named host as the decisions have it (interface.Host)."""

    def __init__(self, teller: str, born: int, weights: Weights, members: Any) -> None:
        self.weights, self.members, self.me = weights, members, teller
        self.evidence = Evidence(teller, born, weights.most_rows, 2 * weights.fresh_ms)
        self.notes: dict[str, Notes] = {}
        self.hosts: dict[str, Host] = {}
        self.out: dict[str, str] = {}  # hosts kept from tasks, and why ("failing", "draining")
        self.apart: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.changes: list[tuple[str, str | None]] = []
        self.number = 0
        self.judged_at = self.told_at = float("-inf")

    # What the decisions say and ask (interface.Judgement).

    def attempt_started(self, host: Host) -> None:
        self.note(host).out += 1

    def attempt_finished(
        self, host: Host, outcome: Outcome, took_ms: float, latency_objective_ms: float, now: float
    ) -> None:
        """A forward of ours there is over. What says nothing of the host is left out."""
        notes = self.note(host)
        notes.out = max(0, notes.out - 1)
        if outcome is Outcome.ABANDONED:
            return
        if outcome in ANSWERS:
            notes.failures = notes.timeouts = 0
            notes.answered_at = now
            notes.full += outcome is Outcome.OVERLOADED
            if outcome is Outcome.DONE:
                notes.pace += (took_ms / latency_objective_ms - notes.pace) / 5.0
        else:
            notes.failures += 1
            notes.timeouts += outcome in SILENT
            notes.failed_at = now
        self.say(host.name, notes, now)

    def is_ejected(self, host: Host, risky: bool, now: float) -> bool:
        """Whether it is kept from a task now by what others say. One that fails is asked by whoever's turn it
        is, but not with a task that could not be sent again."""
        self.judge(now)
        why = self.out.get(host.name)
        if why is None:
            return False
        return risky or why == "draining" or not self.ours(host.name, now)

    def may_probe(self, host: Host, now: float) -> bool:
        """Whether we may ask a host that we set aside: in our turn, or once another had an answer."""
        if self.ours(host.name, now):
            return True
        rows = self.fresh(host.name, set(self.members()), now)
        return any(not row.against() and 0 <= row.answered_ms <= self.weights.fresh_ms for row in rows)

    def ours(self, host: str, now: float) -> bool:
        """Whether it is our turn to ask this host: the live members take turns, by their place in the order
        of names, others first for each host. Views that differ make some more ask, or some fewer, for a turn.
        With some at a time a host that is back is found although each sees few tasks."""
        members = self.members()
        turn = int(now // self.weights.turn_ms) + zlib.crc32(host.encode())
        place = bisect_left(members, self.me)
        return (place + turn) % len(members) < max(1, len(members) // self.weights.askers)

    # The world's side.

    def note(self, host: Host) -> Notes:
        notes = self.notes.get(host.name)
        if notes is None or host.started_at > notes.started:
            # A host that started again is another: nothing said of the one before it holds.
            notes = self.notes[host.name] = Notes(started=host.started_at)
        return notes

    def listed(self, hosts: dict[str, Host], now: float) -> None:
        """Our own list changed. Drains and ends are said at once; those that left are forgotten."""
        self.hosts = hosts
        for name, host in hosts.items():
            notes = self.note(host)
            if notes.status is not host.status:
                notes.status = host.status
                self.say(name, notes, now, True)
        for name in [name for name in self.notes if name not in hosts]:
            del self.notes[name]

    def heard(self, rows: tuple[Row, ...], now: float) -> None:
        for row in rows:
            if self.evidence.merge(row, now) and row.against():
                own = self.notes.get(row.host)
                if (
                    own is not None
                    and own.answered_at >= 0
                    and now - own.answered_at <= self.weights.fresh_ms
                ):
                    self.say(row.host, own, now, True)  # our answers speak for it

    def say(self, name: str, notes: Notes, now: float, tell: bool = False) -> None:
        """Our own row of this host, told while it speaks against it, or when asked for."""
        self.number += 1
        row = Row(
            self.me,
            self.evidence.born,
            self.number,
            name,
            int(notes.started),
            notes.failures,
            int(now - notes.failed_at) if notes.failed_at >= 0 else -1,
            int(now - notes.answered_at) if notes.answered_at >= 0 else -1,
            notes.timeouts,
            min(notes.full, 1000),
            min(int(100 * notes.pace), 10_000),
            notes.out,
            notes.status is not EndpointStatus.READY,
        )
        had = self.evidence.own(name)
        changed = (
            had is not None and (had.row.against() or had.row.drains) and not (row.against() or row.drains)
        )
        self.evidence.say(row, now, tell or row.against() or row.drains or changed)
        notes.said_at = now

    def due(self, now: float, most: int) -> list[Row]:
        """Rows to tell now. What still holds is said again, so that it does not fade; what was refused for
        want of room is forgotten bit by bit."""
        weights = self.weights
        self.evidence.sweep(now)
        for name, notes in self.notes.items():
            holds = notes.status is not EndpointStatus.READY or (
                notes.failures and now - notes.failed_at <= weights.fresh_ms
            )
            if holds and now - notes.said_at >= weights.renew_ms:
                notes.full //= 2
                self.say(name, notes, now)
        if now - self.told_at < weights.tell_ms or not self.evidence.to_tell:
            return []
        self.told_at = now
        return self.evidence.take(most, len(self.members()), now)

    # Judging.

    def judge(self, now: float) -> None:
        """The verdicts, made anew now and then."""
        if now - self.judged_at < self.weights.judged_ms:
            return
        self.judged_at = now
        live = set(self.members())
        self.apart = self.set_apart(live, now)
        ready = [name for name, host in self.hosts.items() if host.status is EndpointStatus.READY]
        weighed = []
        for name in ready:
            why, voices = self.weigh(name, live, now)
            if why:
                weighed.append((voices, name, why))
        out = self.bounded(weighed, ready)
        for name in set(out) ^ set(self.out):
            self.changes.append((name, out.get(name)))
            self.counts["hosts_out" if name in out else "hosts_back"] += 1
        self.out = out

    def fresh(self, host: str, live: set[str], now: float) -> list[Row]:
        """What live others say of the host's present process, while it is fresh."""
        place = self.hosts.get(host)
        rows = []
        for teller, held in self.evidence.rows.get(host, {}).items():
            if teller == self.me or teller not in live or teller in self.apart:
                continue
            if now - held.at <= self.weights.fresh_ms and place and held.row.started >= int(place.started_at):
                rows.append(held.now(now))
        return rows

    def weigh(self, host: str, live: set[str], now: float) -> tuple[str | None, int]:
        """Why hearsay speaks for keeping tasks from this host, if it does, and how many say so."""
        weights, notes = self.weights, self.notes.get(host)
        rows = self.fresh(host, live, now)
        drains = sum(row.drains for row in rows)
        if drains:
            return "draining", drains + len(rows)
        if notes is not None and notes.answered_at >= 0 and now - notes.answered_at <= weights.sure_ms:
            return None, 0
        against = [row for row in rows if row.against() and row.failed_ms <= weights.fresh_ms]
        speak_for = [row for row in rows if not row.against() and 0 <= row.answered_ms <= weights.fresh_ms]
        ours = notes is not None and notes.failures > 0 and now - notes.failed_at <= weights.fresh_ms
        failures = sum(row.failures for row in against) + (notes.failures if ours else 0)
        voices = len(against) + ours
        if self.out.get(host) == "failing":
            # Out already: one fresh failure of whoever asks it keeps it there, unless as many have answers.
            enough = voices >= 1
        else:
            enough = voices >= weights.tellers and failures >= weights.failures
        if enough and voices > len(speak_for):
            return "failing", voices
        return None, 0

    def set_apart(self, live: set[str], now: float) -> set[str]:
        """Tellers whose own network is the likelier cause: they speak against most of the hosts they know."""
        against: Counter[str] = Counter()
        known: Counter[str] = Counter()
        for tellers in self.evidence.rows.values():
            for teller, held in tellers.items():
                if teller in live and teller != self.me and now - held.at <= self.weights.fresh_ms:
                    known[teller] += 1
                    against[teller] += held.row.against()
        weights = self.weights
        most = max(weights.apart_hosts, weights.apart * len(self.hosts))
        return {teller for teller, count in against.items() if count >= most and known[teller]}

    def bounded(self, weighed: list[tuple[int, str, str]], ready: list[str]) -> dict[str, str]:
        """Of those that hearsay would take out, as many as the bounds allow, those with most voices first."""
        most = int(self.weights.most_out * len(ready))
        zones = Counter(self.hosts[name].zone for name in ready)
        out: dict[str, str] = {}
        for _, name, why in sorted(weighed, key=lambda item: (-item[0], item[1])):
            zone = self.hosts[name].zone
            if len(out) >= most or zones[zone] <= 1:
                self.counts["kept_by_bounds"] += 1
                continue
            zones[zone] -= 1
            out[name] = why
        return out

    # Shown.

    def shown(self, now: float) -> dict[str, Any]:
        hosts = {}
        for name, host in sorted(self.hosts.items()):
            told = self.evidence.rows.get(name, {})
            hosts[name] = {
                "status": host.status.value,
                "state": getattr(host.health, "state", None),
                "out": self.out.get(name),
                "ours_to_ask": self.ours(name, now) if name in self.out else None,
                "told": [said(held, now) for _, held in sorted(told.items())],
            }
        return {
            "hosts": hosts,
            "set_apart": sorted(self.apart),
            "counts": dict(self.counts + self.evidence.counts),
        }


def said(held: Held, now: float) -> dict[str, Any]:
    row = held.now(now)
    return {
        "by": row.teller,
        "age_ms": round(now - held.at),
        "failures": row.failures,
        "failed_ms": row.failed_ms,
        "answered_ms": row.answered_ms,
        "timeouts": row.timeouts,
        "full": row.full,
        "pace_pct": row.pace_pct,
        "out": row.out,
        "drains": row.drains,
    }
