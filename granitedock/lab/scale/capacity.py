"""Compute the tables of docs/CAPACITY.md by role: each figure as slope x count at the operators' size.

A figure is `measured` (by a run of `lab scale`, at the count itself or along the slope), `simulated` (by the
program's own state machines on a simulated network) or `reckoned` (calculated from settings, limits and other
figures). The budgets are the operators' own. The factor is the figure divided by its budget, so a factor
above 1 exceeds the budget.
"""

from __future__ import annotations

from collections.abc import Callable
from math import isinf

from granitedock.lab.scale.control_figures import control_figures
from granitedock.lab.scale.events import EVENT_HEADERS, day_events
from granitedock.lab.scale.figures import (
    FIGURE_HEADERS,
    CapacityFigure,
    CapacityModel,
    format_amount,
    format_factor,
)
from granitedock.lab.scale.gateway_figures import gateway_figures
from granitedock.lab.scale.results import Results
from granitedock.lab.scale.role_figures import (
    client_figures,
    counter_figures,
    discovery_figures,
    host_figures,
)
from granitedock.lab.scale.sizes import OperatorSize
from granitedock.lab.scale.tables import format_value, markdown_table

ROLES: dict[str, Callable[[CapacityModel], list[CapacityFigure]]] = {
    "gateway": gateway_figures,
    "counter": counter_figures,
    "discovery": discovery_figures,
    "control": control_figures,
    "host": host_figures,
    "client": client_figures,
}
OVER_BUDGET_HEADERS = ("figure", "at the size", "budget", "over by", "reached at, in line", "mechanism")


def role_figures(results: Results, size: OperatorSize) -> dict[str, list[CapacityFigure]]:
    """Return the figures of each role."""
    model = CapacityModel(results, size)
    return {role: figures(model) for role, figures in ROLES.items()}


def over_budget(roles: dict[str, list[CapacityFigure]]) -> list[CapacityFigure]:
    """Return the figures that exceed their budget, in descending order of the factor."""
    exceeded = [figure for figures in roles.values() for figure in figures if figure.factor > 1.0]
    return sorted(exceeded, key=lambda figure: -figure.factor)


def budget_reached_at(figure: CapacityFigure) -> str:
    """Return the fraction of the size at which a figure that grows linearly reaches its budget, as text."""
    if isinf(figure.factor):
        return "the first one"
    return f"{format_value(1.0 / figure.factor)} of the size"


def over_budget_cells(figure: CapacityFigure) -> tuple[str, ...]:
    """Return the texts of the columns `OVER_BUDGET_HEADERS`."""
    return (
        figure.name,
        format_amount(figure.total, figure.unit),
        format_amount(figure.budget, figure.unit),
        format_factor(figure.factor),
        budget_reached_at(figure),
        figure.mechanism,
    )


def capacity_sections(results: Results, size: OperatorSize) -> dict[str, str]:
    """Return the page's sections of figures by name: a table per role, events, exceeded budgets."""
    roles = role_figures(results, size)
    sections = {
        f"role-{role}": markdown_table(FIGURE_HEADERS, (figure.cells() for figure in figures))
        for role, figures in roles.items()
    }
    events = (event.cells() for event in day_events(results, size))
    sections["events"] = markdown_table(EVENT_HEADERS, events)
    exceeded = [over_budget_cells(figure) for figure in over_budget(roles)]
    sections["over"] = (
        markdown_table(OVER_BUDGET_HEADERS, exceeded) if exceeded else "Nothing is over its budget.\n"
    )
    return sections
