"""The figures of a gateway at the operators' size."""

from __future__ import annotations

from math import nan

from granitedock.lab.scale.rows import (
    KIB,
    MEASURED,
    RECKONED,
    SEGMENT_BYTES,
    SIMULATED,
    STATES_A_RESTART,
    Row,
    Slopes,
    times,
)
from granitedock.lab.scale.sizes import SECONDS_A_DAY
from granitedock.lab.scale.tables import figure

RELEASE_S = 3600.0
WATCH_LINE_BYTES = 6.0  # an empty line as a chunk
SWEEPS_A_SECOND = 10.0
ROUNDS_A_SECOND = 1.0
BOOK_LIFE_S = 40.0  # how long a book at rest is kept at most, where no ceiling holds it


def gateway(slopes: Slopes) -> list[Row]:
    return [*gateway_lists(slopes), *gateway_plans(slopes), *gateway_view(slopes), *gateway_requests(slopes)]


def gateway_lists(slopes: Slopes) -> list[Row]:
    size = slopes.size
    hosts = size.hosts
    memory = slopes.line("hosts", "hosts", "memory_mb")
    sweep = slopes.at("hosts", "hosts", "sweep_ms", hosts)
    look = slopes.at("hosts", "hosts", "look_round_ms", hosts)
    change = slopes.at("hosts", "hosts", "change_ms", hosts)
    whole = slopes.at("hosts", "hosts", "take_in_ms", hosts) + slopes.at("hosts", "hosts", "read_ms", hosts)
    changes = size.restarts_a_day * STATES_A_RESTART / SECONDS_A_DAY
    share = size.restarts_a_day * STATES_A_RESTART
    return [
        Row(
            "list of hosts, memory",
            times(memory.each * KIB, "KiB", hosts, "hosts"),
            slopes.at("hosts", "hosts", "memory_mb", hosts),
            "MB",
            "hosts",
            MEASURED,
            "`EndpointList.by_name`, `Fleet.known`",
            size.control_memory_mb,
        ),
        Row(
            "list of hosts, look round and sweep",
            f"{figure(look)} ms x {ROUNDS_A_SECOND:g}/s + {figure(sweep)} ms x {SWEEPS_A_SECOND:g}/s",
            (look * ROUNDS_A_SECOND + sweep * SWEEPS_A_SECOND) / 10.0,
            "% of a core",
            "hosts",
            MEASURED,
            "`Fleet.look_round`, `GatewayStateMachine.maintain`, whole list each time",
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
            f"{WATCH_LINE_BYTES:g} B/s + {figure(change_bytes(slopes))} B x {figure(share)} a day",
            WATCH_LINE_BYTES + change_bytes(slopes) * changes,
            "B/s",
            "fleets",
            MEASURED,
            "changes only",
            size.control_bytes_a_second,
        ),
    ]


def change_bytes(slopes: Slopes) -> float:
    rows = slopes.results.fleets
    return rows[-1].change_bytes if rows else nan


def gateway_plans(slopes: Slopes) -> list[Row]:
    size = slopes.size
    plans = size.plans
    read_ms = slopes.at("plans", "plans", "read_ms", plans)
    file_bytes = slopes.at("plans", "plans", "file_bytes", plans)
    books = slopes.at("plans", "plans", "book_bytes", plans)
    in_use = size.requests_a_gateway * BOOK_LIFE_S
    memory = slopes.line("plans", "plans", "memory_mb")
    return [
        Row(
            "plans, memory",
            times(memory.each * KIB, "KiB", plans, "plans"),
            slopes.at("plans", "plans", "memory_mb", plans),
            "MB",
            "plans",
            MEASURED,
            "`InFlightRequests.plans`",
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


def gateway_view(slopes: Slopes) -> list[Row]:
    size = slopes.size
    count = size.gateways
    sent = slopes.at("view", "gateways", "bytes_a_second", count)
    cpu = slopes.at("view", "gateways", "cpu_ms_a_second", count)
    messages = slopes.at("view", "gateways", "messages_a_second", count)
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


def gateway_requests(slopes: Slopes) -> list[Row]:
    size = slopes.size
    rows = [row for row in slopes.results.requests if row.counting]
    if not rows:
        return []
    row, rate = rows[-1], size.requests_a_gateway
    counting = counting_us(slopes)
    call = slopes.results.calls[-1]
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
            f"{times(counting, 'us', rate, 'calls/s')} (with less without counting, mean over hosts)",
            counting * rate / 1e4,
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


def counting_us(slopes: Slopes) -> float:
    """What counting costs a request, us: with it less without it, the mean over all counts of hosts."""
    costs: dict[bool, list[float]] = {True: [], False: []}
    for row in slopes.results.requests:
        costs[row.counting].append(row.cpu_us)
    if not costs[True] or not costs[False]:
        return nan
    return sum(costs[True]) / len(costs[True]) - sum(costs[False]) / len(costs[False])
