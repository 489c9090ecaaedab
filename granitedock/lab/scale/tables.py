"""Format the measurements as Markdown tables and insert them into the page that shows them."""

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
    """Format a cell; a number is shown with its significant digits."""
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


def markdown_table(headers: Iterable[str], rows: Iterable[Iterable[object]]) -> str:
    """Return a Markdown table that ends with a line feed."""
    headers = list(headers)
    lines = [f"| {' | '.join(headers)} |", f"|{' --- |' * len(headers)}"]
    lines += [f"| {' | '.join(map(format_value, row))} |" for row in rows]
    return "\n".join(lines) + "\n"


def column_header(field_name: str) -> str:
    """Return the table header of a field."""
    return field_name.replace("_a_second", "/s").replace("_", " ")


def measurement_table(measurements: Sequence[Cost]) -> str:
    """Return a table with one line per measurement, followed by each field's growth with the first field.

    The growth is left out if there are fewer than two measurements or two with the same count.
    """
    if not measurements:
        return "Not measured in this run.\n"
    first = measurements[0]
    names = [cost_field.name for cost_field in fields(first)]
    rows = [[getattr(measurement, name) for name in names] for measurement in measurements]
    table = markdown_table(map(column_header, names), rows)
    count = names[0]
    distinct_counts = {getattr(measurement, count) for measurement in measurements}
    if len(distinct_counts) != len(measurements) or len(measurements) < 2:
        return table
    growth = [
        f"{column_header(name)}: {growth_form(measurements, count, name)}"
        for name in names[1:]
        if is_number(getattr(first, name))
    ]
    return f"{table}\nBy {column_header(count)}: {'; '.join(growth)}.\n"


def is_number(value: object) -> bool:
    """Return whether the value is a number and not a bool."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def machine_text(results: Results) -> str:
    """Describe the machine and its load, the failed measurements and those that were repeated later."""
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
    """Return the page's sections of measurements by name."""
    sections = {"machine": machine_text(results)}
    for kind in SECTION_KINDS:
        sections[kind] = measurement_table(results.measurements(kind))
    return sections


def fill_page(page: str, sections: dict[str, str], file_name: str) -> str:
    """Return the page with the text of each `<!-- scale:NAME -->` section replaced.

    Raises PageError, which names the page's file, for a section that is not in `sections`.
    """
    missing = sorted({name for _, name, _ in SECTION.findall(page)} - sections.keys())
    if missing:
        raise PageError.unknown_sections(file_name, missing)
    return SECTION.sub(lambda match: f"{match[1]}\n{sections[match[2]]}\n{match[3]}", page)
