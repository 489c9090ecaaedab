"""Draw the plots of the scale measurements for docs/plots/."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402 - the backend is chosen before

from granitedock.lab.scale.results import Cost, Results  # noqa: E402 - the backend is chosen before

FIGURE_INCHES = (8.0, 5.0)
DOTS_PER_INCH = 90


@dataclass(frozen=True, slots=True)
class Plot:
    """One plot: costs of a kind over its count; `unit` is the unit of the costs' axis."""

    name: str
    kind: str
    count: str
    costs: tuple[str, ...]
    unit: str


PLOTS = (
    Plot("hosts", "hosts", "hosts", ("read_ms", "take_in_ms", "change_ms", "look_round_ms"), "ms"),
    Plot("plans", "plans", "plans", ("read_ms", "decode_ms"), "ms"),
    Plot("view", "view", "gateways", ("messages_a_second", "bytes_a_second"), "a second"),
    Plot("fleet", "fleets", "gateways", ("first_list_s", "change_p50_s", "change_worst_s"), "s"),
)


def draw_plot(path: Path, plot: Plot, measurements: Sequence[Cost]) -> None:
    """Draw costs over the count. Both axes are logarithmic: a straight line of slope one is linear growth."""
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    for cost in plot.costs:
        points = [
            (getattr(measurement, plot.count), getattr(measurement, cost))
            for measurement in measurements
            if getattr(measurement, cost) > 0
        ]
        axes.plot(*zip(*points, strict=True), marker="o", label=cost.replace("_", " "))
    axes.set(xscale="log", yscale="log", xlabel=plot.count.replace("_", " "), ylabel=plot.unit)
    axes.grid(True, which="both", alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def draw_plots(results: Results, folder: Path) -> list[Path]:
    """Draw each plot that has at least two measurements and return the files written."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for plot in PLOTS:
        measurements = results.measurements(plot.kind)
        if len(measurements) > 1:
            path = folder / f"scale-{plot.name}.png"
            draw_plot(path, plot, measurements)
            paths.append(path)
    return paths
