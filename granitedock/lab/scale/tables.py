"""The measurements as Markdown tables, and their places in the page that shows them."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import fields

from granitedock.lab.scale.errors import PageError
from granitedock.lab.scale.growth import growth_form
from granitedock.lab.scale.results import Cost, Results

SECTION = re.compile(r"(<!-- scale:([a-z-]+) -->\n).*?(<!-- /scale -->)", re.DOTALL)
SECTION_KINDS = ("hosts", "plans", "view", "requests", "calls", "fleets", "documents", "configuration")


def format_value(value: object) -> str:
    """A cell's text; a number has the digits that are significant."""
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


def markdown_table(heads: Iterable[str], rows: Iterable[Iterable[object]]) -> str:
    """A Markdown table with its closing line feed."""
    heads = list(heads)
    lines = [f"| {' | '.join(heads)} |", f"|{' --- |' * len(heads)}"]
    lines += [f"| {' | '.join(map(format_value, row))} |" for row in rows]
    return "\n".join(lines) + "\n"


def column_head(field_name: str) -> str:
    """A field's name as a table's head."""
    return field_name.replace("_a_second", "/s").replace("_", " ")


def measurement_table(measurements: Sequence[Cost]) -> str:
    """All fields of the measurements, a line each, followed by how each grows with the first field."""
    if not measurements:
        return "Not measured in this run.\n"
    first = measurements[0]
    names = [one.name for one in fields(first)]
    rows = [[getattr(one, name) for name in names] for one in measurements]
    table = markdown_table(map(column_head, names), rows)
    count = names[0]
    distinct_counts = {getattr(one, count) for one in measurements}
    if len(distinct_counts) != len(measurements) or len(measurements) < 2:
        return table
    growth = [
        f"{column_head(name)}: {growth_form(measurements, count, name)}"
        for name in names[1:]
        if is_number(getattr(first, name))
    ]
    return f"{table}\nBy {column_head(count)}: {'; '.join(growth)}.\n"


def is_number(value: object) -> bool:
    """Whether this is a number and no flag."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def machine_text(results: Results) -> str:
    """Where and when the measurements were taken, and which are missing."""
    machine = results.machine
    text = (
        f"{machine.cores} cores, Python {machine.python}; load {machine.load_before:.1f} before and "
        f"{machine.load_after:.1f} after{', quick sizes' if results.quick else ''}.\n"
    )
    if results.not_taken:
        text += "\nNot taken in that run: " + "; ".join(results.not_taken) + ".\n"
    if results.taken_later:
        text += "\nMeasured again by themselves after it: " + ", ".join(results.taken_later) + ".\n"
    return text


def measurement_sections(results: Results) -> dict[str, str]:
    """The page's sections of measurements by name."""
    sections = {"machine": machine_text(results)}
    for kind in SECTION_KINDS:
        sections[kind] = measurement_table(results.measurements(kind))
    return sections


def fill_page(page: str, sections: dict[str, str], file_name: str) -> str:
    """The page with the text of each `<!-- scale:NAME -->` section replaced. Raises PageError, naming the
    page's file, for a section that is not in `sections`."""
    missing = sorted({name for _, name, _ in SECTION.findall(page)} - sections.keys())
    if missing:
        raise PageError.unknown_sections(file_name, missing)
    return SECTION.sub(lambda match: f"{match[1]}\n{sections[match[2]]}\n{match[3]}", page)
