"""Compute the figures of a gateway's requests and their counter calls at the operators' size."""

from __future__ import annotations

from math import nan

from granitedock.lab.scale.figures import (
    SEGMENT_HEADER_BYTES,
    US_PER_SECOND_PER_PERCENT,
    CapacityFigure,
    CapacityModel,
    FigureKind,
    format_product,
)
from granitedock.lab.scale.tables import format_value


def request_figures(model: CapacityModel) -> list[CapacityFigure]:
    """Return the figures of processor time and latency of requests, and of their counter calls.

    The list is empty if no load with counting was measured.
    """
    size = model.size
    with_counting = [cost for cost in model.results.requests if cost.counting]
    if not with_counting:
        return []
    cost = with_counting[-1]
    rate = size.requests_a_gateway
    return [
        CapacityFigure(
            name="requests, processor",
            calculation=format_product(cost.cpu_us, "us", rate, "requests/s"),
            total=cost.cpu_us * rate / US_PER_SECOND_PER_PERCENT,
            unit="% of a core",
            source="requests",
            kind=FigureKind.MEASURED,
            mechanism="one process on one core",
            budget=100.0,
        ),
        CapacityFigure(
            name="added to a request, p99",
            calculation=f"p99 {format_value(cost.p99_ms)} ms through, "
            f"{format_value(cost.direct_p99_ms)} ms direct, "
            f"{format_value(cost.hosts)} hosts, {format_value(rate)}/s",
            total=cost.p99_ms - cost.direct_p99_ms,
            unit="ms",
            source="requests",
            kind=FigureKind.MEASURED,
            mechanism="counter's budget, connections kept",
            budget=size.added_p99_ms,
        ),
        *counter_call_figures(model),
    ]


def counter_call_figures(model: CapacityModel) -> list[CapacityFigure]:
    """Return the processor time and bytes of the calls to the counter, if they count as control traffic."""
    size = model.size
    rate = size.requests_a_gateway
    counting_us = mean_counting_us(model)
    call = model.results.calls[-1]
    call_bytes = call.call_bytes + call.answer_bytes + 2.0 * SEGMENT_HEADER_BYTES
    return [
        CapacityFigure(
            name="calls to the counter, processor, if they are control",
            calculation=f"{format_product(counting_us, 'us', rate, 'calls/s')} "
            "(with less without counting, mean over hosts)",
            total=counting_us * rate / US_PER_SECOND_PER_PERCENT,
            unit="% of a core",
            source="requests",
            kind=FigureKind.MEASURED,
            mechanism="one call a request",
            budget=size.control_core_percent,
        ),
        CapacityFigure(
            name="calls to the counter, bytes, if they are control",
            calculation=format_product(call_bytes, "B", rate, "calls/s, a segment each way"),
            total=call_bytes * rate,
            unit="B/s",
            source="calls",
            kind=FigureKind.CALCULATED,
            mechanism="one call a request",
            budget=size.control_bytes_a_second,
        ),
    ]


def mean_counting_us(model: CapacityModel) -> float:
    """Return the processor time that counting adds to a request, in us, as the mean over all host counts.

    Returns nan unless loads both with and without counting were measured.
    """
    counted = [cost.cpu_us for cost in model.results.requests if cost.counting]
    uncounted = [cost.cpu_us for cost in model.results.requests if not cost.counting]
    if not counted or not uncounted:
        return nan
    return sum(counted) / len(counted) - sum(uncounted) / len(uncounted)
