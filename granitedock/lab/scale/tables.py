"""The measurements as Markdown tables, and their places in the page that shows them."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import fields
from typing import Any

from granitedock.lab.scale.probe import ScaleError
from granitedock.lab.scale.results import Results, form

SECTION = re.compile(r"(<!-- scale:([a-z-]+) -->\n).*?(<!-- /scale -->)", re.DOTALL)
TITLES = {
    "hosts": "per host, one gateway",
    "plans": "per plan, one gateway",
    "view": "the view of the fleet, simulated wire",
    "requests": "requests at one gateway",
    "calls": "calls to one counter stand-in",
    "fleets": "hollow gateways on one machine",
    "documents": "the configuration's document",
    "configuration": "hollow gateways that follow control processes",
}


def figure(value: Any) -> str:
    """A number with the digits that mean something."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if not isinstance(value, float):
        return f"{value:,}" if isinstance(value, int) else str(value)
    if value != value:
        return "not measured"
    size = abs(value)
    if size >= 1000:
        return f"{value:,.0f}"
    if size >= 10:
        return f"{value:.1f}"
    return f"{value:.3g}" if size else "0"


def table(heads: Iterable[str], rows: Iterable[Iterable[Any]]) -> str:
    """A Markdown table."""
    heads = list(heads)
    lines = [f"| {' | '.join(heads)} |", f"|{' --- |' * len(heads)}"]
    lines += [f"| {' | '.join(map(figure, row))} |" for row in rows]
    return "\n".join(lines) + "\n"


def words(name: str) -> str:
    """A field's name as a table's head."""
    return name.replace("_a_second", "/s").replace("_", " ")


def measured(rows: Sequence[Any]) -> str:
    """All fields of the rows, a line each, with how each grows by the first field behind."""
    if not rows:
        return "Not measured in this run.\n"
    names = [one.name for one in fields(rows[0])]
    body = [[getattr(row, name) for name in names] for row in rows]
    shown = table(map(words, names), body)
    count = names[0]
    if len({getattr(row, count) for row in rows}) != len(rows) or len(rows) < 2:
        return shown
    grows = [f"{words(name)}: {form(rows, count, name)}" for name in names[1:] if numeric(rows[0], name)]
    return shown + "\nBy " + words(count) + ": " + "; ".join(grows) + ".\n"


def numeric(row: Any, name: str) -> bool:
    value = getattr(row, name)
    return isinstance(value, int | float) and not isinstance(value, bool)


def sections(results: Results) -> dict[str, str]:
    """The measured tables by name."""
    machine = results.machine
    said = (
        f"{machine.cores} cores, Python {machine.python}; load {machine.load_before:.1f} before and "
        f"{machine.load_after:.1f} after{', quick sizes' if results.quick else ''}.\n"
    )
    if results.not_taken:
        said += "\nNot taken in that run: " + "; ".join(results.not_taken) + ".\n"
    if results.taken_later:
        said += "\nMeasured again by themselves after it: " + ", ".join(results.taken_later) + ".\n"
    return {"machine": said} | {kind: measured(getattr(results, kind)) for kind in TITLES}


def filled(page: str, made: dict[str, str], name: str) -> str:
    """The page with each `<!-- scale:NAME -->` section made anew. Raises ScaleError for a name that is not
    made, `name` being the page's file."""
    missing = sorted({found for _, found, _ in SECTION.findall(page)} - made.keys())
    if missing:
        raise ScaleError(f"{name}: no such section of figures: {', '.join(missing)}")
    return SECTION.sub(lambda found: f"{found[1]}\n{made[found[2]]}\n{found[3]}", page)
