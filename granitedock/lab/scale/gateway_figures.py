"""Compute the figures of a gateway at the operators' size."""

from __future__ import annotations

from math import nan

from granitedock.lab.scale.figures import (
    KIB,
    MS_PER_SECOND_PER_PERCENT,
    CapacityFigure,
    CapacityModel,
    FigureKind,
    format_product,
)
from granitedock.lab.scale.request_figures import request_figures
from granitedock.lab.scale.sizes import UPDATES_PER_RESTART
from granitedock.lab.scale.tables import format_value

RELEASE_S = 3600.0
WATCH_LINE_BYTES = 6.0  # An empty line, sent as an HTTP chunk.
MAINTENANCES_PER_SECOND = 10.0
REFRESHES_PER_SECOND = 1.0
MAX_IDLE_ACCOUNT_S = 40.0  # The longest time that an idle quota account without a ceiling is kept.


def gateway_figures(model: CapacityModel) -> list[CapacityFigure]:
    """Return all figures of a gateway."""
    return [
        *endpoint_list_figures(model),
        *endpoint_update_figures(model),
        *plan_figures(model),
        *platform_file_figures(model),
        *membership_figures(model),
        *request_figures(model),
    ]


def endpoint_list_figures(model: CapacityModel) -> list[CapacityFigure]:
    """Return the figures of the endpoint list's memory and periodic work."""
    size = model.size
    memory = model.fit("hosts", "hosts", "memory_mb")
    maintenance_ms = model.value_at("hosts", "hosts", "sweep_ms", size.hosts)
    refresh_ms = model.value_at("hosts", "hosts", "look_round_ms", size.hosts)
    periodic_ms = refresh_ms * REFRESHES_PER_SECOND + maintenance_ms * MAINTENANCES_PER_SECOND
    return [
        CapacityFigure(
            name="list of hosts, memory",
            calculation=format_product(memory.slope * KIB, "KiB", size.hosts, "hosts"),
            total=model.value_at("hosts", "hosts", "memory_mb", size.hosts),
            unit="MB",
            source="hosts",
            kind=FigureKind.MEASURED,
            mechanism="`EndpointList.by_name`, `Fleet.known`",
            budget=size.control_memory_mb,
        ),
        CapacityFigure(
            name="list of hosts, look round and sweep",
            calculation=f"{format_value(refresh_ms)} ms x {REFRESHES_PER_SECOND:g}/s + "
            f"{format_value(maintenance_ms)} ms x {MAINTENANCES_PER_SECOND:g}/s",
            total=periodic_ms / MS_PER_SECOND_PER_PERCENT,
            unit="% of a core",
            source="hosts",
            kind=FigureKind.MEASURED,
            mechanism="`Fleet.look_round`, `GatewayStateMachine.maintain`, whole list each time",
            budget=size.control_core_percent,
        ),
    ]


def endpoint_update_figures(model: CapacityModel) -> list[CapacityFigure]:
    """Return the figures of endpoint updates on an ordinary day and in a release, full list and watch."""
    size = model.size
    update_ms = model.value_at("hosts", "hosts", "change_ms", size.hosts)
    return [
        CapacityFigure(
            name="changes of hosts",
            calculation=format_product(update_ms, "ms", size.endpoint_updates_a_day, "changes a day"),
            total=update_ms * size.endpoint_updates_a_second / MS_PER_SECOND_PER_PERCENT,
            unit="% of a core",
            source="hosts",
            kind=FigureKind.MEASURED,
            mechanism="watch, `Fleet.roster`",
            budget=size.control_core_percent,
        ),
        CapacityFigure(
            name=f"changes of hosts in a release of all within {RELEASE_S / 60:g} minutes",
            calculation=f"{format_value(update_ms)} ms x {format_value(UPDATES_PER_RESTART)} lists x "
            f"{format_value(size.hosts)} hosts",
            total=update_ms * UPDATES_PER_RESTART * size.hosts / RELEASE_S / MS_PER_SECOND_PER_PERCENT,
            unit="% of a core",
            source="hosts",
            kind=FigureKind.MEASURED,
            mechanism="each change goes over all hosts (`Fleet.roster`); "
            "lists that name several at once cost one",
            budget=size.control_core_percent,
        ),
        full_list_figure(model),
        watch_bytes_figure(model),
    ]


def full_list_figure(model: CapacityModel) -> CapacityFigure:
    """Return the figure of the one turn of the event loop that a full list takes."""
    hosts = model.size.hosts
    apply_ms = model.value_at("hosts", "hosts", "take_in_ms", hosts)
    full_list_ms = apply_ms + model.value_at("hosts", "hosts", "read_ms", hosts)
    return CapacityFigure(
        name="whole list, one turn of the loop",
        calculation=format_product(full_list_ms / hosts, "ms", hosts, "hosts"),
        total=full_list_ms,
        unit="ms",
        source="hosts",
        kind=FigureKind.MEASURED,
        mechanism="only at a start or where the watch is reset",
    )


def watch_bytes_figure(model: CapacityModel) -> CapacityFigure:
    """Return the figure of the bytes of a gateway's watch on discovery: heartbeats and updates."""
    size = model.size
    fleets = model.results.fleets
    update_bytes = fleets[-1].change_bytes if fleets else nan
    return CapacityFigure(
        name="watch on discovery, bytes",
        calculation=f"{WATCH_LINE_BYTES:g} B/s + {format_value(update_bytes)} B x "
        f"{format_value(size.endpoint_updates_a_day)} a day",
        total=WATCH_LINE_BYTES + update_bytes * size.endpoint_updates_a_second,
        unit="B/s",
        source="fleets",
        kind=FigureKind.MEASURED,
        mechanism="changes only",
        budget=size.control_bytes_a_second,
    )


def plan_figures(model: CapacityModel) -> list[CapacityFigure]:
    """Return the figures of the memory of the plans and of the quota accounts in use."""
    size = model.size
    memory = model.fit("plans", "plans", "memory_mb")
    account_bytes = model.value_at("plans", "plans", "book_bytes", size.plans)
    accounts = size.requests_a_gateway * MAX_IDLE_ACCOUNT_S
    return [
        CapacityFigure(
            name="plans, memory",
            calculation=format_product(memory.slope * KIB, "KiB", size.plans, "plans"),
            total=model.value_at("plans", "plans", "memory_mb", size.plans),
            unit="MB",
            source="plans",
            kind=FigureKind.MEASURED,
            mechanism="`InFlightRequests.plans`",
            budget=size.control_memory_mb,
        ),
        CapacityFigure(
            name="books of customers in use, memory",
            calculation=format_product(
                account_bytes, "B", accounts, "books, if each request is another customer's"
            ),
            total=account_bytes * accounts / KIB**2,
            unit="MB",
            source="plans",
            kind=FigureKind.CALCULATED,
            mechanism="`Gateway.book`, dropped at rest",
            budget=size.control_memory_mb,
        ),
    ]


def platform_file_figures(model: CapacityModel) -> list[CapacityFigure]:
    """Return the figures of the platform file if it were read completely at each change."""
    size = model.size
    read_ms = model.value_at("plans", "plans", "read_ms", size.plans)
    file_bytes = model.value_at("plans", "plans", "file_bytes", size.plans)
    return [
        CapacityFigure(
            name="the platform's file, read whole at each change",
            calculation=format_product(read_ms, "ms", size.changes_a_day, "a day"),
            total=read_ms * size.changes_a_second / MS_PER_SECOND_PER_PERCENT,
            unit="% of a core",
            source="plans",
            kind=FigureKind.MEASURED,
            mechanism="SIGHUP takes addresses only; a change needs a restart",
            budget=size.control_core_percent,
        ),
        CapacityFigure(
            name="the platform's file, one turn of the loop",
            calculation=format_product(read_ms / size.plans, "ms", size.plans, "plans"),
            total=read_ms,
            unit="ms",
            source="plans",
            kind=FigureKind.MEASURED,
            mechanism="at a start",
        ),
        CapacityFigure(
            name="the platform's file, bytes if sent at each change",
            calculation=format_product(file_bytes, "B", size.changes_a_day, "a day"),
            total=file_bytes * size.changes_a_second,
            unit="B/s",
            source="plans",
            kind=FigureKind.MEASURED,
            mechanism="none",
            budget=size.control_bytes_a_second,
        ),
    ]


def membership_figures(model: CapacityModel) -> list[CapacityFigure]:
    """Return the figures of the membership protocol's bytes and processor time."""
    size = model.size
    sent_bytes = model.value_at("view", "gateways", "bytes_a_second", size.gateways)
    cpu_ms = model.value_at("view", "gateways", "cpu_ms_a_second", size.gateways)
    messages = model.value_at("view", "gateways", "messages_a_second", size.gateways)
    return [
        CapacityFigure(
            name="view of the fleet, bytes sent and received",
            calculation=f"2 x {format_value(messages)} datagrams/s of "
            f"{format_value(sent_bytes / messages)} B, whatever the count",
            total=2.0 * sent_bytes,
            unit="B/s",
            source="view",
            kind=FigureKind.SIMULATED,
            mechanism="`fleet/`, off in `run`",
            budget=size.control_bytes_a_second,
        ),
        CapacityFigure(
            name="view of the fleet, processor",
            calculation=format_product(cpu_ms, "ms/s", 1, "gateway"),
            total=cpu_ms / MS_PER_SECOND_PER_PERCENT,
            unit="% of a core",
            source="view",
            kind=FigureKind.SIMULATED,
            mechanism="`fleet/`, off in `run`",
            budget=size.control_core_percent,
        ),
    ]
