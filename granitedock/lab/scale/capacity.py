"""The tables of docs/CAPACITY.md by role: each figure as slope x count at the operators' size.

A figure is `measured` (by a run of `lab scale`, at the count itself or along its slope), `simulated` (by the
program's own machines on a simulated wire) or `reckoned` (from settings, limits and other figures). A budget
is the operators' own; the factor is figure over budget, so above 1 is over."""

from __future__ import annotations

from collections.abc import Iterable
from math import isinf

from granitedock.lab.scale.events import EVENT_HEADS, day_events
from granitedock.lab.scale.gateway_rows import gateway
from granitedock.lab.scale.party_rows import client, control, counter, discovery, host
from granitedock.lab.scale.results import Results
from granitedock.lab.scale.rows import HEADS, Row, Slopes, amount, over_by
from granitedock.lab.scale.sizes import OperatorSize
from granitedock.lab.scale.tables import figure, table

ROLES = {
    "gateway": gateway,
    "counter": counter,
    "discovery": discovery,
    "control": control,
    "host": host,
    "client": client,
}


def role_rows(results: Results, size: OperatorSize) -> dict[str, list[Row]]:
    """Each role's figures."""
    slopes = Slopes(results, size)
    return {name: rows(slopes) for name, rows in ROLES.items()}


def over_budget(roles: dict[str, list[Row]]) -> list[Row]:
    """What is over its budget, first what is over by most."""
    rows = [row for role in roles.values() for row in role if row.factor > 1.0]
    return sorted(rows, key=lambda row: -row.factor)


def shown(rows: Iterable[Row]) -> str:
    return table(HEADS, (row.cells() for row in rows))


def breaking_part(row: Row) -> str:
    """By what part of the size the budget is already reached, if the figure grows in line with the count."""
    if isinf(row.factor):
        return "the first one"
    return f"{figure(1.0 / row.factor)} of the size"


def capacity_sections(results: Results, size: OperatorSize) -> dict[str, str]:
    """The page's generated parts: a table a role, and what is over its budget."""
    roles = role_rows(results, size)
    made = {f"role-{name}": shown(rows) for name, rows in roles.items()}
    heads = ("figure", "at the size", "budget", "over by", "reached at, in line", "mechanism")
    rows = [
        (
            row.what,
            amount(row.total, row.unit),
            amount(row.budget, row.unit),
            over_by(row.factor),
            breaking_part(row),
            row.mechanism,
        )
        for row in over_budget(roles)
    ]
    made["events"] = table(EVENT_HEADS, (event.cells() for event in day_events(results, size)))
    made["over"] = table(heads, rows) if rows else "Nothing is over its budget.\n"
    return made
