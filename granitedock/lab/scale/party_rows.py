"""The figures of the counter, discovery, control, hosts and clients at the operators' size."""

from __future__ import annotations

from math import inf, nan

from granitedock.lab.scale.rows import (
    MEASURED,
    MISSING,
    RECKONED,
    SEGMENT_BYTES,
    STATES_A_RESTART,
    Row,
    Slopes,
    times,
)
from granitedock.lab.scale.sizes import SECONDS_A_DAY
from granitedock.lab.scale.tables import figure

COUNTER_CONNECTIONS = 4  # of a gateway, as `service/limits.py` has it
TIMES_THE_DAY = 10.0  # the rate of changes at which the configuration service is to hold
REQUEST_BYTES, ANSWER_BYTES = 160.0, 60.0  # of the laboratory's load; the operators name none
HOST_CONNECTIONS_MOST = 400.0  # of a gateway with 1,024 descriptors, as `service/limits.py` has it


def counter(slopes: Slopes) -> list[Row]:
    size = slopes.size
    best = max((row.calls_a_second for row in slopes.results.calls), default=nan)
    calls = size.requests_a_second
    call = slopes.results.calls[-1]
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


def discovery(slopes: Slopes) -> list[Row]:
    size = slopes.size
    rows = slopes.results.fleets
    if not rows:
        return []
    row = rows[-1]
    list_bytes = slopes.at("hosts", "hosts", "list_bytes", size.hosts)
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


def control(slopes: Slopes) -> list[Row]:
    size = slopes.size
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
    return [without, *control_measured(slopes)]


def control_measured(slopes: Slopes) -> list[Row]:
    """The service on, at ten times the day's rate of changes."""
    if not slopes.results.configuration:
        return []
    size, row = slopes.size, slopes.results.configuration[-1]
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
            "the document at a gateway, memory",
            f"{figure(size.plans)} plans",
            slopes.at("documents", "plans", "memory_mb", size.plans),
            "MB",
            "documents",
            MEASURED,
            by,
            10.0,
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


def host(slopes: Slopes) -> list[Row]:
    size = slopes.size
    rows = [row for row in slopes.results.requests if row.counting]
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


def client(slopes: Slopes) -> list[Row]:
    size = slopes.size
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
