"""The tables of docs/CAPACITY.md by role: each figure as slope x count at the operators' size.

A figure is `measured` (by a run of `lab scale`, at the count itself or along its slope), `simulated` (by the
program's own machines on a simulated wire) or `reckoned` (from settings, limits and other figures). A budget
is the operators' own; the factor is figure over budget, so above 1 is over."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf, nan

from granitedock.lab.scale.events import EVENT_HEADS, day_events
from granitedock.lab.scale.results import Results, slope
from granitedock.lab.scale.sizes import SECONDS_A_DAY, OperatorSize
from granitedock.lab.scale.tables import figure, table

MEASURED, SIMULATED, RECKONED = "measured", "simulated", "reckoned"
MISSING = "**missing**"
KIB = 1024.0
SEGMENT_BYTES = 52.0  # headers of IP and TCP with time stamps, each way
STATES_A_RESTART = 3  # lists a restart makes: drains, gone, back
COUNTER_CONNECTIONS = 4  # of a gateway, as `service/limits.py` has it
WATCH_LINE_BYTES = 6.0  # an empty line as a chunk
RELEASE_S = 3600.0
TIMES_THE_DAY = 10.0  # the rate of changes at which the configuration service is to hold
SWEEPS_A_SECOND = 10.0
ROUNDS_A_SECOND = 1.0
REQUEST_BYTES, ANSWER_BYTES = 160.0, 60.0  # of the laboratory's load; the operators name none
HOST_CONNECTIONS_MOST = 400.0  # of a gateway with 1,024 descriptors, as `service/limits.py` has it
BOOK_LIFE_S = 40.0  # how long a book at rest is kept at most, where no ceiling holds it


@dataclass(frozen=True, slots=True)
class Row:
    """One line of a role's table. `total` and `budget` are in `unit`; no budget is not a number."""

    what: str
    reckoning: str
    total: float
    unit: str
    source: str
    kind: str
    mechanism: str
    budget: float = nan

    @property
    def factor(self) -> float:
        return self.total / self.budget

    def cells(self) -> tuple:
        budget = f"{figure(float(self.budget))} {self.unit}" if self.budget == self.budget else ""
        factor = f"{figure(self.factor)}x" if self.budget == self.budget else ""
        total = f"{figure(float(self.total))} {self.unit}"
        return self.what, self.reckoning, total, self.kind, self.source, budget, factor, self.mechanism


HEADS = ("figure", "slope x count", "at the size", "kind", "source", "budget", "factor", "mechanism")


def times(each: float, unit: str, count: float, of: str) -> str:
    return f"{figure(float(each))} {unit} x {figure(float(count))} {of}"


class Capacity:
    """All roles' figures, from one run's results."""

    def __init__(self, results: Results, size: OperatorSize) -> None:
        self.results, self.size = results, size

    def line(self, kind: str, count: str, cost: str):
        return slope(getattr(self.results, kind), count, cost)

    def at(self, kind: str, count: str, cost: str, number: float) -> float:
        """The measured value at this count where there is one, else along the slope."""
        for row in getattr(self.results, kind):
            if getattr(row, count) == number:
                return float(getattr(row, cost))
        return self.line(kind, count, cost).at(number)

    # A gateway.

    def gateway(self) -> list[Row]:
        return [*self.gateway_lists(), *self.gateway_plans(), *self.gateway_view(), *self.gateway_requests()]

    def gateway_lists(self) -> list[Row]:
        size = self.size
        hosts = size.hosts
        memory = self.line("hosts", "hosts", "memory_mb")
        sweep = self.at("hosts", "hosts", "sweep_ms", hosts)
        look = self.at("hosts", "hosts", "look_round_ms", hosts)
        change = self.at("hosts", "hosts", "change_ms", hosts)
        whole = self.at("hosts", "hosts", "take_in_ms", hosts) + self.at("hosts", "hosts", "read_ms", hosts)
        changes = size.restarts_a_day * STATES_A_RESTART / SECONDS_A_DAY
        share = size.restarts_a_day * STATES_A_RESTART
        return [
            Row(
                "list of hosts, memory",
                times(memory.each * KIB, "KiB", hosts, "hosts"),
                self.at("hosts", "hosts", "memory_mb", hosts),
                "MB",
                "hosts",
                MEASURED,
                "`Reducer.places`, `Fleet.known`",
                size.control_memory_mb,
            ),
            Row(
                "list of hosts, look round and sweep",
                f"{figure(look)} ms x {ROUNDS_A_SECOND:g}/s + {figure(sweep)} ms x {SWEEPS_A_SECOND:g}/s",
                (look * ROUNDS_A_SECOND + sweep * SWEEPS_A_SECOND) / 10.0,
                "% of a core",
                "hosts",
                MEASURED,
                "`Fleet.look_round`, `Reducer.sweep`, whole list each time",
                100.0 * size.control_core,
            ),
            Row(
                "changes of hosts",
                times(change, "ms", share, "changes a day"),
                change * changes / 10.0,
                "% of a core",
                "hosts",
                MEASURED,
                "watch, `Fleet.roster`",
                100.0 * size.control_core,
            ),
            Row(
                f"changes of hosts in a release of all within {RELEASE_S / 60:g} minutes",
                f"{figure(change)} ms x {figure(STATES_A_RESTART)} lists x {figure(hosts)} hosts",
                change * STATES_A_RESTART * hosts / RELEASE_S / 10.0,
                "% of a core",
                "hosts",
                MEASURED,
                "each change goes over all hosts (`Fleet.roster`); lists that name several at once cost one",
                100.0 * size.control_core,
            ),
            Row(
                "whole list, one turn of the loop",
                times(whole / hosts, "ms", hosts, "hosts"),
                whole,
                "ms",
                "hosts",
                MEASURED,
                "only at a start or where the watch is reset",
            ),
            Row(
                "watch on discovery, bytes",
                f"{WATCH_LINE_BYTES:g} B/s + {figure(self.change_bytes())} B x {figure(share)} a day",
                WATCH_LINE_BYTES + self.change_bytes() * changes,
                "B/s",
                "fleets",
                MEASURED,
                "changes only",
                size.control_bytes_a_second,
            ),
        ]

    def change_bytes(self) -> float:
        rows = self.results.fleets
        return rows[-1].change_bytes if rows else nan

    def gateway_plans(self) -> list[Row]:
        size = self.size
        plans = size.plans
        read_ms = self.at("plans", "plans", "read_ms", plans)
        file_bytes = self.at("plans", "plans", "file_bytes", plans)
        books = self.at("plans", "plans", "book_bytes", plans)
        in_use = size.requests_a_gateway * BOOK_LIFE_S
        memory = self.line("plans", "plans", "memory_mb")
        return [
            Row(
                "plans, memory",
                times(memory.each * KIB, "KiB", plans, "plans"),
                self.at("plans", "plans", "memory_mb", plans),
                "MB",
                "plans",
                MEASURED,
                "`Reducer.plans`",
                size.control_memory_mb,
            ),
            Row(
                "books of customers in use, memory",
                times(books, "B", in_use, "books, if each request is another customer's"),
                books * in_use / KIB**2,
                "MB",
                "plans",
                RECKONED,
                "`Gateway.book`, dropped at rest",
                size.control_memory_mb,
            ),
            Row(
                "the platform's file, read whole at each change",
                times(read_ms, "ms", size.changes_a_day, "a day"),
                read_ms * size.changes_a_second / 10.0,
                "% of a core",
                "plans",
                MEASURED,
                "SIGHUP takes addresses only; a change needs a restart",
                100.0 * size.control_core,
            ),
            Row(
                "the platform's file, one turn of the loop",
                times(read_ms / plans, "ms", plans, "plans"),
                read_ms,
                "ms",
                "plans",
                MEASURED,
                "at a start",
            ),
            Row(
                "the platform's file, bytes if sent at each change",
                times(file_bytes, "B", size.changes_a_day, "a day"),
                file_bytes * size.changes_a_second,
                "B/s",
                "plans",
                MEASURED,
                "none",
                size.control_bytes_a_second,
            ),
        ]

    def gateway_view(self) -> list[Row]:
        size = self.size
        count = size.gateways
        sent = self.at("view", "gateways", "bytes_a_second", count)
        cpu = self.at("view", "gateways", "cpu_ms_a_second", count)
        messages = self.at("view", "gateways", "messages_a_second", count)
        return [
            Row(
                "view of the fleet, bytes sent and received",
                f"2 x {figure(messages)} datagrams/s of {figure(sent / messages)} B, whatever the count",
                2.0 * sent,
                "B/s",
                "view",
                SIMULATED,
                "`fleet/`, off in `run`",
                size.control_bytes_a_second,
            ),
            Row(
                "view of the fleet, processor",
                times(cpu, "ms/s", 1, "gateway"),
                cpu / 10.0,
                "% of a core",
                "view",
                SIMULATED,
                "`fleet/`, off in `run`",
                100.0 * size.control_core,
            ),
        ]

    def gateway_requests(self) -> list[Row]:
        size = self.size
        rows = [row for row in self.results.requests if row.counting]
        if not rows:
            return []
        row, rate = rows[-1], size.requests_a_gateway
        plain = [other for other in self.results.requests if other.hosts == row.hosts and not other.counting]
        counting_us = row.cpu_us - plain[0].cpu_us if plain else nan
        call = self.results.calls[-1]
        call_bytes = call.call_bytes + call.answer_bytes + 2.0 * SEGMENT_BYTES
        return [
            Row(
                "requests, processor",
                times(row.cpu_us, "us", rate, "requests/s"),
                row.cpu_us * rate / 1e4,
                "% of a core",
                "requests",
                MEASURED,
                "one process on one core",
                100.0,
            ),
            Row(
                "added to a request, p99",
                f"p99 {figure(row.p99_ms)} ms through, {figure(row.direct_p99_ms)} ms direct, "
                f"{figure(row.hosts)} hosts, {figure(rate)}/s",
                row.p99_ms - row.direct_p99_ms,
                "ms",
                "requests",
                MEASURED,
                "counter's budget, connections kept",
                size.added_p99_ms,
            ),
            Row(
                "calls to the counter, processor, if they are control",
                times(counting_us, "us", rate, "calls/s"),
                counting_us * rate / 1e4,
                "% of a core",
                "requests",
                MEASURED,
                "one call a request",
                100.0 * size.control_core,
            ),
            Row(
                "calls to the counter, bytes, if they are control",
                times(call_bytes, "B", rate, "calls/s, a segment each way"),
                call_bytes * rate,
                "B/s",
                "calls",
                RECKONED,
                "one call a request",
                size.control_bytes_a_second,
            ),
        ]

    # The other roles.

    def counter(self) -> list[Row]:
        size = self.size
        best = max((row.calls_a_second for row in self.results.calls), default=nan)
        calls = size.requests_a_second
        call = self.results.calls[-1]
        connections = size.gateways * COUNTER_CONNECTIONS
        wire = call.call_bytes + call.answer_bytes + 2.0 * SEGMENT_BYTES
        return [
            Row(
                "calls a second to one counter",
                times(size.requests_a_gateway, "calls/s", size.gateways, "gateways"),
                calls,
                "calls/s",
                "calls",
                MEASURED,
                f"{MISSING}: names spread over several counters",
                best,
            ),
            Row(
                "connections",
                times(COUNTER_CONNECTIONS, "connections", size.gateways, "gateways"),
                connections,
                "connections",
                "limits",
                RECKONED,
                "`counter_links`, twice as many while they are replaced",
            ),
            Row(
                "bytes in and out",
                times(wire, "B", calls, "calls/s"),
                wire * calls / 1e6,
                "MB/s",
                "calls",
                RECKONED,
                "one call a request",
            ),
            Row(
                "names alive",
                times(3, "windows", size.plans, "customers, if each tenant is one"),
                3.0 * size.plans,
                "names",
                "limits",
                RECKONED,
                "a name lives three windows",
            ),
        ]

    def discovery(self) -> list[Row]:
        size = self.size
        rows = self.results.fleets
        if not rows:
            return []
        row = rows[-1]
        list_bytes = self.at("hosts", "hosts", "list_bytes", size.hosts)
        changes = size.restarts_a_day * STATES_A_RESTART / SECONDS_A_DAY
        change_ms = row.discovery_change_cpu_ms / row.gateways
        return [
            Row(
                "watches",
                f"1 x {size.gateways} gateways",
                size.gateways,
                "connections",
                "hollow",
                MEASURED,
                "one agent for all; in the field one each machine",
            ),
            Row(
                "changes out, processor",
                f"{figure(change_ms)} ms x {size.gateways} watches x {figure(changes)}/s",
                change_ms * size.gateways * changes / 10.0,
                "% of a core",
                "hollow",
                MEASURED,
                "a change names only what changed",
            ),
            Row(
                "bytes out when all gateways start at once",
                times(list_bytes, "B", size.gateways, "whole lists"),
                list_bytes * size.gateways / 1e6,
                "MB",
                "hosts",
                MEASURED,
                "whole lists on a new watch",
            ),
            Row(
                "until all have the list, after such a start",
                f"{row.gateways} gateways, {figure(row.hosts)} hosts, one machine for all of them",
                row.first_list_s,
                "s",
                "hollow",
                MEASURED,
                "`watch.py`, back-off",
                size.change_within_s,
            ),
        ]

    def control(self) -> list[Row]:
        size = self.size
        without = Row(
            "a change in force while gateways run, with the configuration service off",
            f"0 of {figure(size.changes_a_day)} a day",
            inf,
            "s",
            "code",
            RECKONED,
            f"{MISSING} in `run`: a change needs a new file and a restart of each gateway",
            size.change_within_s,
        )
        return [without, *self.control_measured()]

    def control_measured(self) -> list[Row]:
        """The service on, at ten times the day's rate of changes."""
        if not self.results.configuration:
            return []
        size, row = self.size, self.results.configuration[-1]
        rate = TIMES_THE_DAY * size.changes_a_second
        at = f"{row.gateways} hollow gateways, {figure(row.plans)} plans, {row.controls} control processes"
        ten = f"{TIMES_THE_DAY:g} times {figure(size.changes_a_day)} a day"
        by = "`configuration/`, off in `run`"
        return [
            Row(
                "a change in force everywhere, p99",
                at,
                row.change_p99_s,
                "s",
                "configuration",
                MEASURED,
                by,
                2.0,
            ),
            Row(
                "a change in force everywhere, worst",
                at,
                row.change_worst_s,
                "s",
                "configuration",
                MEASURED,
                by,
                size.change_within_s,
            ),
            Row(
                "a gateway's bytes for configuration",
                f"{figure(row.rest_bytes_a_second)} B/s + {figure(row.change_bytes)} B x {ten}",
                row.rest_bytes_a_second + row.change_bytes * rate,
                "B/s",
                "configuration",
                MEASURED,
                by,
                2000.0,
            ),
            Row(
                "a gateway's processor for configuration",
                f"{figure(row.change_cpu_ms)} ms x {ten}",
                row.change_cpu_ms * rate / 10.0,
                "% of a core",
                "configuration",
                MEASURED,
                by,
                0.3,
            ),
            Row(
                "the loop's hold-up for a change",
                at,
                row.change_hold_ms,
                "ms",
                "configuration",
                MEASURED,
                by,
                2.0,
            ),
            Row(
                "the loop's hold-up for the end of a whole snapshot",
                at,
                row.snapshot_hold_ms,
                "ms",
                "configuration",
                MEASURED,
                f"{by}; at a start, or once after a gap",
            ),
            Row(
                "all gateways start at once: until all have a snapshot",
                at,
                row.fresh_s,
                "s",
                "configuration",
                MEASURED,
                f"{by}, 16 at a time from each control process",
                size.change_within_s,
            ),
            Row(
                "a control process at rest",
                f"{row.gateways / row.controls:g} followers each",
                100.0 * row.rest_control_core,
                "% of a core",
                "configuration",
                MEASURED,
                by,
                50.0,
            ),
            Row(
                "a control process's memory",
                at,
                row.control_memory_mb,
                "MB",
                "configuration",
                MEASURED,
                by,
            ),
        ]

    def host(self) -> list[Row]:
        size = self.size
        rows = [row for row in self.results.requests if row.counting]
        kept = float(rows[-1].host_connections) if rows else nan
        return [
            Row(
                "requests",
                f"{figure(size.requests_a_second)}/s / {figure(size.hosts)} hosts",
                size.requests_a_second / size.hosts,
                "requests/s",
                "size",
                RECKONED,
                "hosts drawn by registered size",
            ),
            Row(
                "connections kept by all gateways",
                f"{figure(kept)} x {size.gateways} gateways / {figure(size.hosts)} hosts",
                kept * size.gateways / size.hosts,
                "connections",
                "requests",
                MEASURED,
                "idle ones end at half of the platform's time",
            ),
            Row(
                "connections at most",
                f"{figure(HOST_CONNECTIONS_MOST)} x {size.gateways} gateways / {figure(size.hosts)} hosts",
                HOST_CONNECTIONS_MOST * size.gateways / size.hosts,
                "connections",
                "limits",
                RECKONED,
                "`host_links`",
            ),
        ]

    def client(self) -> list[Row]:
        size = self.size
        return [
            Row(
                "messages",
                "1 request and 1 final answer, whatever the size",
                2.0,
                "messages",
                "rule 1",
                RECKONED,
                "nothing of control reaches a client",
            ),
            Row(
                "bytes at one gateway, both ways",
                f"({REQUEST_BYTES:g} + {ANSWER_BYTES:g}) B x {figure(size.requests_a_gateway)}/s, twice",
                2.0 * (REQUEST_BYTES + ANSWER_BYTES) * size.requests_a_gateway,
                "B/s",
                "laboratory's load",
                RECKONED,
                "read from the client, sent to the host, and back",
            ),
        ]

    # What is over, first what is over by most.

    def over(self) -> list[Row]:
        rows = [row for role in self.roles().values() for row in role]
        return sorted((row for row in rows if row.factor > 1.0), key=lambda row: -row.factor)

    def roles(self) -> dict[str, list[Row]]:
        return {
            "gateway": self.gateway(),
            "counter": self.counter(),
            "discovery": self.discovery(),
            "control": self.control(),
            "host": self.host(),
            "client": self.client(),
        }


def shown(rows: Iterable[Row]) -> str:
    return table(HEADS, (row.cells() for row in rows))


def breaking_part(row: Row) -> str:
    """By what part of the size the budget is already reached, if the figure grows in line with the count."""
    if row.factor == inf:
        return "the first one"
    return f"{figure(1.0 / row.factor)} of the size"


def capacity_sections(results: Results, size: OperatorSize) -> dict[str, str]:
    """The page's generated parts: a table a role, and what is over its budget."""
    capacity = Capacity(results, size)
    made = {f"role-{name}": shown(rows) for name, rows in capacity.roles().items()}
    heads = ("figure", "at the size", "budget", "over by", "reached at, in line", "mechanism")
    rows = [
        (
            row.what,
            f"{figure(float(row.total))} {row.unit}",
            f"{figure(float(row.budget))} {row.unit}",
            f"{figure(row.factor)}x",
            breaking_part(row),
            row.mechanism,
        )
        for row in capacity.over()
    ]
    made["events"] = table(EVENT_HEADS, (event.cells() for event in day_events(results, size)))
    made["over"] = table(heads, rows) if rows else "Nothing is over its budget.\n"
    return made
