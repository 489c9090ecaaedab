"""Compute the figures of the control processes and the configuration service at the operators' size."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from granitedock.lab.scale.configuration import ConfigurationCost
from granitedock.lab.scale.figures import (
    MISSING,
    MS_PER_SECOND_PER_PERCENT,
    CapacityFigure,
    CapacityModel,
    FigureKind,
)
from granitedock.lab.scale.sizes import OperatorSize
from granitedock.lab.scale.tables import format_value

# The configuration service has to stay within its budgets at this multiple of the day's rate of changes.
CHANGE_RATE_MULTIPLE = 10.0
MECHANISM = "`configuration/`, off in `run`"
# Budgets of the configuration service.
CHANGE_P99_BUDGET_S = 2.0
BUDGET_BYTES_PER_SECOND = 2000.0
CORE_BUDGET_PERCENT = 0.3
DOCUMENT_BUDGET_MB = 10.0
CHANGE_HOLD_BUDGET_MS = 2.0
CONTROL_CORE_BUDGET_PERCENT = 50.0


def control_figures(model: CapacityModel) -> list[CapacityFigure]:
    """Return the figures without the configuration service, and those with it if it was measured."""
    size = model.size
    without_service = CapacityFigure(
        name="a change in force while gateways run, with the configuration service off",
        calculation=f"0 of {format_value(size.changes_a_day)} a day",
        total=inf,
        unit="s",
        source="code",
        kind=FigureKind.CALCULATED,
        mechanism=f"{MISSING} in `run`: a change needs a new file and a restart of each gateway",
        budget=size.change_within_s,
    )
    if not model.results.configuration:
        return [without_service]
    case = MeasuredCase(model, model.results.configuration[-1])
    return [
        without_service,
        *propagation_figures(case),
        *gateway_cost_figures(case),
        *event_loop_figures(case),
        *control_process_figures(case),
    ]


@dataclass(frozen=True, slots=True)
class MeasuredCase:
    """The largest measured fleet that follows control processes, and the model of its run."""

    model: CapacityModel
    cost: ConfigurationCost

    @property
    def size(self) -> OperatorSize:
        """The operators' size."""
        return self.model.size

    @property
    def change_rate(self) -> float:
        """Changes per second that the configuration service has to sustain."""
        return CHANGE_RATE_MULTIPLE * self.size.changes_a_second

    @property
    def change_rate_text(self) -> str:
        """The rate of changes as text."""
        return f"{CHANGE_RATE_MULTIPLE:g} times {format_value(self.size.changes_a_day)} a day"

    @property
    def setting(self) -> str:
        """The measured sizes as text."""
        cost = self.cost
        return (
            f"{cost.gateways} hollow gateways, {format_value(cost.plans)} plans, "
            f"{cost.controls} control processes"
        )


def propagation_figures(case: MeasuredCase) -> list[CapacityFigure]:
    """Return the figures of the time until a change is in force at all gateways."""
    return [
        CapacityFigure(
            name="a change in force everywhere, p99",
            calculation=case.setting,
            total=case.cost.change_p99_s,
            unit="s",
            source="configuration",
            kind=FigureKind.MEASURED,
            mechanism=MECHANISM,
            budget=CHANGE_P99_BUDGET_S,
        ),
        CapacityFigure(
            name="a change in force everywhere, worst",
            calculation=case.setting,
            total=case.cost.change_worst_s,
            unit="s",
            source="configuration",
            kind=FigureKind.MEASURED,
            mechanism=MECHANISM,
            budget=case.size.change_within_s,
        ),
    ]


def gateway_cost_figures(case: MeasuredCase) -> list[CapacityFigure]:
    """Return the figures of a gateway's bytes, processor time and memory for the configuration."""
    cost = case.cost
    plans = case.size.plans
    return [
        CapacityFigure(
            name="a gateway's bytes for configuration",
            calculation=f"{format_value(cost.rest_bytes_a_second)} B/s + "
            f"{format_value(cost.change_bytes)} B x {case.change_rate_text}",
            total=cost.rest_bytes_a_second + cost.change_bytes * case.change_rate,
            unit="B/s",
            source="configuration",
            kind=FigureKind.MEASURED,
            mechanism=MECHANISM,
            budget=BUDGET_BYTES_PER_SECOND,
        ),
        CapacityFigure(
            name="a gateway's processor for configuration",
            calculation=f"{format_value(cost.change_cpu_ms)} ms x {case.change_rate_text}",
            total=cost.change_cpu_ms * case.change_rate / MS_PER_SECOND_PER_PERCENT,
            unit="% of a core",
            source="configuration",
            kind=FigureKind.MEASURED,
            mechanism=MECHANISM,
            budget=CORE_BUDGET_PERCENT,
        ),
        CapacityFigure(
            name="the document at a gateway, memory",
            calculation=f"{format_value(plans)} plans",
            total=case.model.value_at("documents", "plans", "memory_mb", plans),
            unit="MB",
            source="documents",
            kind=FigureKind.MEASURED,
            mechanism=MECHANISM,
            budget=DOCUMENT_BUDGET_MB,
        ),
    ]


def event_loop_figures(case: MeasuredCase) -> list[CapacityFigure]:
    """Return the figures of how long a gateway's event loop is blocked, and of a simultaneous start.

    A change and the end of a snapshot block the event loop. A simultaneous start is that of all gateways.
    """
    return [
        CapacityFigure(
            name="the loop's hold-up for a change",
            calculation=case.setting,
            total=case.cost.change_hold_ms,
            unit="ms",
            source="configuration",
            kind=FigureKind.MEASURED,
            mechanism=MECHANISM,
            budget=CHANGE_HOLD_BUDGET_MS,
        ),
        CapacityFigure(
            name="the loop's hold-up for the end of a whole snapshot",
            calculation=case.setting,
            total=case.cost.snapshot_hold_ms,
            unit="ms",
            source="configuration",
            kind=FigureKind.MEASURED,
            mechanism=f"{MECHANISM}; at a start, or once after a gap",
        ),
        CapacityFigure(
            name="all gateways start at once: until all have a snapshot",
            calculation=case.setting,
            total=case.cost.fresh_s,
            unit="s",
            source="configuration",
            kind=FigureKind.MEASURED,
            mechanism=f"{MECHANISM}, 16 at a time from each control process",
            budget=case.size.change_within_s,
        ),
    ]


def control_process_figures(case: MeasuredCase) -> list[CapacityFigure]:
    """Return the figures of a control process's processor time and memory."""
    cost = case.cost
    return [
        CapacityFigure(
            name="a control process at rest",
            calculation=f"{cost.gateways / cost.controls:g} followers each",
            total=100.0 * cost.rest_control_core,
            unit="% of a core",
            source="configuration",
            kind=FigureKind.MEASURED,
            mechanism=MECHANISM,
            budget=CONTROL_CORE_BUDGET_PERCENT,
        ),
        CapacityFigure(
            name="a control process's memory",
            calculation=case.setting,
            total=cost.control_memory_mb,
            unit="MB",
            source="configuration",
            kind=FigureKind.MEASURED,
            mechanism=MECHANISM,
        ),
    ]
