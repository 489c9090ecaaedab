"""Compute the figures of the counter, discovery, hosts and clients at the operators' size."""

from __future__ import annotations

from math import nan

from granitedock.lab.scale.figures import (
    BYTES_PER_MEGABYTE,
    MISSING,
    MS_PER_SECOND_PER_PERCENT,
    SEGMENT_HEADER_BYTES,
    CapacityFigure,
    CapacityModel,
    FigureKind,
    format_product,
)
from granitedock.lab.scale.fleet import FleetCost
from granitedock.lab.scale.tables import format_value

COUNTER_CONNECTIONS = 4  # The most connections of one gateway (`MAX_COUNTER_LINKS` in `service/limits.py`).
COUNTER_WINDOWS = 3  # The windows after which a counter's name expires.
REQUEST_BYTES = 160.0  # A request of the laboratory's load; the operators give no size.
RESPONSE_BYTES = 60.0
MAX_HOST_CONNECTIONS = 400.0  # Rounded from 398, the limit in `service/limits.py` with 1,024 descriptors.


def counter_figures(model: CapacityModel) -> list[CapacityFigure]:
    """Return the figures of calls, connections, bytes and names at one counter."""
    size = model.size
    calls = size.requests_a_second
    max_rate = max((cost.calls_a_second for cost in model.results.calls), default=nan)
    return [
        CapacityFigure(
            name="calls a second to one counter",
            calculation=format_product(size.requests_a_gateway, "calls/s", size.gateways, "gateways"),
            total=calls,
            unit="calls/s",
            source="calls",
            kind=FigureKind.MEASURED,
            mechanism=f"{MISSING}: names spread over several counters",
            budget=max_rate,
        ),
        CapacityFigure(
            name="connections",
            calculation=format_product(COUNTER_CONNECTIONS, "connections", size.gateways, "gateways"),
            total=size.gateways * COUNTER_CONNECTIONS,
            unit="connections",
            source="limits",
            kind=FigureKind.CALCULATED,
            mechanism="`counter_links`, twice as many while they are replaced",
        ),
        counter_bytes_figure(model),
        CapacityFigure(
            name="names alive",
            calculation=format_product(
                COUNTER_WINDOWS, "windows", size.plans, "customers, if each tenant is one"
            ),
            total=float(COUNTER_WINDOWS) * size.plans,
            unit="names",
            source="limits",
            kind=FigureKind.CALCULATED,
            mechanism="a name lives three windows",
        ),
    ]


def counter_bytes_figure(model: CapacityModel) -> CapacityFigure:
    """Return the figure of the bytes of all calls to the counter, including network headers."""
    calls = model.size.requests_a_second
    call = model.results.calls[-1]
    bytes_a_call = call.call_bytes + call.answer_bytes + 2.0 * SEGMENT_HEADER_BYTES
    return CapacityFigure(
        name="bytes in and out",
        calculation=format_product(bytes_a_call, "B", calls, "calls/s"),
        total=bytes_a_call * calls / BYTES_PER_MEGABYTE,
        unit="MB/s",
        source="calls",
        kind=FigureKind.CALCULATED,
        mechanism="one call a request",
    )


def discovery_figures(model: CapacityModel) -> list[CapacityFigure]:
    """Return the figures of watches, updates and a simultaneous start of all gateways.

    The list is empty if no fleet was measured.
    """
    if not model.results.fleets:
        return []
    cost = model.results.fleets[-1]
    return [*watch_figures(model, cost), *simultaneous_start_figures(model, cost)]


def watch_figures(model: CapacityModel, cost: FleetCost) -> list[CapacityFigure]:
    """Return the figures of the watches of all gateways and of the endpoint updates sent to them."""
    size = model.size
    update_ms = cost.discovery_change_cpu_ms / cost.gateways
    updates = size.endpoint_updates_a_second
    return [
        CapacityFigure(
            name="watches",
            calculation=f"1 x {size.gateways} gateways",
            total=size.gateways,
            unit="connections",
            source="hollow",
            kind=FigureKind.MEASURED,
            mechanism="one agent for all; in the field one each machine",
        ),
        CapacityFigure(
            name="changes out, processor",
            calculation=f"{format_value(update_ms)} ms x {size.gateways} watches x {format_value(updates)}/s",
            total=update_ms * size.gateways * updates / MS_PER_SECOND_PER_PERCENT,
            unit="% of a core",
            source="hollow",
            kind=FigureKind.MEASURED,
            mechanism="a change names only what changed",
        ),
    ]


def simultaneous_start_figures(model: CapacityModel, cost: FleetCost) -> list[CapacityFigure]:
    """Return the bytes, and the time until all gateways have the list, when all start at once."""
    size = model.size
    list_bytes = model.value_at("hosts", "hosts", "list_bytes", size.hosts)
    return [
        CapacityFigure(
            name="bytes out when all gateways start at once",
            calculation=format_product(list_bytes, "B", size.gateways, "whole lists"),
            total=list_bytes * size.gateways / BYTES_PER_MEGABYTE,
            unit="MB",
            source="hosts",
            kind=FigureKind.MEASURED,
            mechanism="whole lists on a new watch",
        ),
        CapacityFigure(
            name="until all have the list, after such a start",
            calculation=f"{cost.gateways} gateways, {format_value(cost.hosts)} hosts, "
            "one machine for all of them",
            total=cost.first_list_s,
            unit="s",
            source="hollow",
            kind=FigureKind.MEASURED,
            mechanism="`watch.py`, back-off",
            budget=size.change_within_s,
        ),
    ]


def host_figures(model: CapacityModel) -> list[CapacityFigure]:
    """Return the figures of requests and connections at one host."""
    size = model.size
    with_counting = [cost for cost in model.results.requests if cost.counting]
    connections = float(with_counting[-1].host_connections) if with_counting else nan
    gateways_a_host = f"{size.gateways} gateways / {format_value(size.hosts)} hosts"
    return [
        CapacityFigure(
            name="requests",
            calculation=f"{format_value(size.requests_a_second)}/s / {format_value(size.hosts)} hosts",
            total=size.requests_a_second / size.hosts,
            unit="requests/s",
            source="size",
            kind=FigureKind.CALCULATED,
            mechanism="hosts drawn by registered size",
        ),
        CapacityFigure(
            name="connections kept by all gateways",
            calculation=f"{format_value(connections)} x {gateways_a_host}",
            total=connections * size.gateways / size.hosts,
            unit="connections",
            source="requests",
            kind=FigureKind.MEASURED,
            mechanism="idle ones end at half of the platform's time",
        ),
        CapacityFigure(
            name="connections at most",
            calculation=f"{format_value(MAX_HOST_CONNECTIONS)} x {gateways_a_host}",
            total=MAX_HOST_CONNECTIONS * size.gateways / size.hosts,
            unit="connections",
            source="limits",
            kind=FigureKind.CALCULATED,
            mechanism="`host_links`",
        ),
    ]


def client_figures(model: CapacityModel) -> list[CapacityFigure]:
    """Return the figures of messages and bytes between clients and gateways."""
    rate = model.size.requests_a_gateway
    return [
        CapacityFigure(
            name="messages",
            calculation="1 request and 1 final answer, whatever the size",
            total=2.0,
            unit="messages",
            source="rule 1",
            kind=FigureKind.CALCULATED,
            mechanism="nothing of control reaches a client",
        ),
        CapacityFigure(
            name="bytes at one gateway, both ways",
            calculation=f"({REQUEST_BYTES:g} + {RESPONSE_BYTES:g}) B x {format_value(rate)}/s, twice",
            total=2.0 * (REQUEST_BYTES + RESPONSE_BYTES) * rate,
            unit="B/s",
            source="laboratory's load",
            kind=FigureKind.CALCULATED,
            mechanism="read from the client, sent to the host, and back",
        ),
    ]
