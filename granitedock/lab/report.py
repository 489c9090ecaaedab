"""What came of runs: latency percentiles, the outcomes' shares, and plots with the faults drawn in.

Two runs are compared side by side. Latencies are kept by HdrHistogram.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from granitedock.lab.load.observations import RequestOutcome
from granitedock.lab.load.request_record import RequestRecord
from granitedock.lab.run_storage import Run

if TYPE_CHECKING:
    from matplotlib.axes import Axes

PERCENTILES = (50.0, 99.0, 99.9)
PLOTTED_PERCENTILES = (50.0, 99.0)
COLOURS = {
    RequestOutcome.DONE: "tab:green",
    RequestOutcome.REJECTED: "tab:orange",
    RequestOutcome.FAILED: "tab:red",
    RequestOutcome.LOST: "black",
    RequestOutcome.OPEN: "grey",
}
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_FIGURES = 3
PLOT_WIDTH, PLOT_HEIGHT, PLOT_DPI = 7, 6, 100  # inches a run, and dots an inch


def latencies(records: Iterable[RequestRecord]) -> HdrHistogram:
    """The latencies of the requests done, in microseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
    for record in records:
        if record.outcome == RequestOutcome.DONE:
            histogram.record_value(max(1, min(MAX_LATENCY_US, round(record.latency_ms * 1000))))
    return histogram


def report_lines(run: Run) -> list[str]:
    """The report as text: a line for each fault, one for all requests and one for each customer."""
    lines = [f"{run.name}: {len(run.records)} tasks in {run.length_s:g} s"]
    for fault in run.faults:
        length = f" for {fault['for_s']:g} s" if fault["for_s"] else ""
        text = f"  {fault['at_s']:6.1f} s  {fault['what']} {fault['target']} {fault['off']}"
        lines.append(text.rstrip() + length)
    lines.append(outcome_line("all", run.records))
    for customer in sorted({record.customer for record in run.records}):
        own = [record for record in run.records if record.customer == customer]
        lines.append(outcome_line(f"customer {customer}", own))
    return lines


def outcome_line(who: str, records: list[RequestRecord]) -> str:
    """The shares of outcomes, and the percentiles of the latency of the requests done."""
    counts = Counter(record.outcome for record in records)
    shares = "  ".join(
        f"{outcome} {counts[outcome] / len(records):.3f}" for outcome in RequestOutcome if counts[outcome]
    )
    line = f"  {who:14s} {shares}"
    if not counts[RequestOutcome.DONE]:
        return line
    histogram = latencies(records)
    figures = "  ".join(
        f"p{percentile:g} {histogram.get_value_at_percentile(percentile) / 1000:.1f}"
        for percentile in PERCENTILES
    )
    return f"{line}  done in ms: {figures}"


def records_by_second(run: Run) -> dict[int, list[RequestRecord]]:
    """The run's requests by the second in which they were sent."""
    table: dict[int, list[RequestRecord]] = {}
    for record in run.records:
        table.setdefault(int(record.sent_at_s), []).append(record)
    return table


def plot(runs: list[Run], path: Path) -> None:
    """Draw answers a second and latency over time, a column a run, with the faults shaded."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    size = (PLOT_WIDTH * len(runs), PLOT_HEIGHT)
    figure, axes = pyplot.subplots(2, len(runs), figsize=size, sharex="col", squeeze=False)
    for column, run in enumerate(runs):
        plot_run(run, axes[0][column], axes[1][column])
    figure.tight_layout()
    figure.savefig(path, dpi=PLOT_DPI)
    pyplot.close(figure)


def plot_run(run: Run, answers: Axes, latency: Axes) -> None:
    """Draw one run's answers a second and its latency."""
    table = records_by_second(run)
    seconds = sorted(second for second in table if second < run.length_s)
    for outcome in RequestOutcome:
        counts = [sum(record.outcome == outcome for record in table[second]) for second in seconds]
        if any(counts):
            answers.plot(seconds, counts, color=COLOURS[outcome], label=str(outcome))
    for percentile in PLOTTED_PERCENTILES:
        figures = [latencies(table[second]).get_value_at_percentile(percentile) / 1000 for second in seconds]
        latency.plot(seconds, figures, label=f"p{percentile:g} of those done")
    for axis in (answers, latency):
        shade_faults(run, axis)
        axis.legend(fontsize=8)
        axis.grid(alpha=0.3)
    answers.set_title(run.name)
    answers.set_ylabel("answers a second")
    latency.set_ylabel("ms")
    latency.set_xlabel("s")


def shade_faults(run: Run, axis: Axes) -> None:
    """Shade the times in which faults held."""
    for fault in run.faults:
        ends = fault["at_s"] + (fault["for_s"] or run.length_s)
        axis.axvspan(fault["at_s"], min(ends, run.length_s), color="tab:red", alpha=0.1)
