"""Plots of the scale measurements, for docs/plots/."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from granitedock.lab.scale.results import Results  # noqa: E402

SHAPE = (8.0, 5.0)


def drawn(path: Path, rows: Sequence[Any], count: str, costs: Sequence[str], unit: str) -> Path:
    """Costs by count, both axes logarithmic, so that a straight line of slope one is linear growth."""
    figure, axes = pyplot.subplots(figsize=SHAPE)
    for cost in costs:
        points = [(getattr(row, count), getattr(row, cost)) for row in rows if getattr(row, cost) > 0]
        axes.plot(*zip(*points, strict=True), marker="o", label=cost.replace("_", " "))
    axes.set(xscale="log", yscale="log", xlabel=count.replace("_", " "), ylabel=unit)
    axes.grid(True, which="both", alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)
    return path


def draw(results: Results, folder: Path) -> list[Path]:
    """All plots that the results have rows for; the files made."""
    folder.mkdir(parents=True, exist_ok=True)
    cases = [
        ("hosts", results.hosts, "hosts", ("read_ms", "take_in_ms", "change_ms", "look_round_ms"), "ms"),
        ("plans", results.plans, "plans", ("read_ms", "decode_ms"), "ms"),
        ("view", results.view, "gateways", ("messages_a_second", "bytes_a_second"), "a second"),
        ("fleet", results.fleets, "gateways", ("first_list_s", "change_p50_s", "change_worst_s"), "s"),
    ]
    return [
        drawn(folder / f"scale-{name}.png", rows, count, costs, unit)
        for name, rows, count, costs, unit in cases
        if len(rows) > 1
    ]
