"""Reports of runs: latency percentiles, shares of outcomes, and plots that mark the times of faults.

A plot shows several runs side by side. HdrHistogram records the latencies.
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
PLOT_WIDTH, PLOT_HEIGHT, PLOT_DPI = 7, 6, 100  # inches for each run, and dots per inch


def latencies(records: Iterable[RequestRecord]) -> HdrHistogram:
    """Return the latencies of the requests done, in microseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
    for record in records:
        if record.outcome == RequestOutcome.DONE:
            histogram.record_value(max(1, min(MAX_LATENCY_US, round(record.latency_ms * 1000))))
    return histogram


def report_lines(run: Run) -> list[str]:
    """Return the report as text: a line for each fault, one for all requests, one for each customer."""
    lines = [f"{run.name}: {len(run.records)} tasks in {run.length_s:g} s"]
    for fault in run.faults:
        length = f" for {fault['for_s']:g} s" if fault["for_s"] else ""
        text = f"  {fault['at_s']:6.1f} s  {fault['what']} {fault['target']} {fault['off']}"
        lines.append(text.rstrip() + length)
    lines.append(outcome_line("all", run.records))
    for customer in sorted({record.customer for record in run.records}):
        customer_records = [record for record in run.records if record.customer == customer]
        lines.append(outcome_line(f"customer {customer}", customer_records))
    return lines


def outcome_line(label: str, records: list[RequestRecord]) -> str:
    """Return the shares of outcomes, and latency percentiles of the requests done, after `label`."""
    counts = Counter(record.outcome for record in records)
    shares = "  ".join(
        f"{outcome} {counts[outcome] / len(records):.3f}" for outcome in RequestOutcome if counts[outcome]
    )
    line = f"  {label:14s} {shares}"
    if not counts[RequestOutcome.DONE]:
        return line
    histogram = latencies(records)
    figures = "  ".join(
        f"p{percentile:g} {histogram.get_value_at_percentile(percentile) / 1000:.1f}"
        for percentile in PERCENTILES
    )
    return f"{line}  done in ms: {figures}"


def records_by_second(run: Run) -> dict[int, list[RequestRecord]]:
    """Group the run's requests by the second in which they are sent."""
    table: dict[int, list[RequestRecord]] = {}
    for record in run.records:
        table.setdefault(int(record.sent_at_s), []).append(record)
    return table


def plot(runs: list[Run], path: Path) -> None:
    """Draw replies per second and latency over time, one column for each run, with shaded faults."""
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


def plot_run(run: Run, replies: Axes, latency: Axes) -> None:
    """Draw the replies per second and the latency of one run."""
    table = records_by_second(run)
    seconds = sorted(second for second in table if second < run.length_s)
    for outcome in RequestOutcome:
        counts = [sum(record.outcome == outcome for record in table[second]) for second in seconds]
        if any(counts):
            replies.plot(seconds, counts, color=COLOURS[outcome], label=str(outcome))
    for percentile in PLOTTED_PERCENTILES:
        figures = [latencies(table[second]).get_value_at_percentile(percentile) / 1000 for second in seconds]
        latency.plot(seconds, figures, label=f"p{percentile:g} of those done")
    for axis in (replies, latency):
        shade_faults(run, axis)
        axis.legend(fontsize=8)
        axis.grid(alpha=0.3)
    replies.set_title(run.name)
    replies.set_ylabel("replies per second")
    latency.set_ylabel("ms")
    latency.set_xlabel("s")


def shade_faults(run: Run, axis: Axes) -> None:
    """Shade the time spans in which faults are active."""
    for fault in run.faults:
        end_s = fault["at_s"] + (fault["for_s"] or run.length_s)
        axis.axvspan(fault["at_s"], min(end_s, run.length_s), color="tab:red", alpha=0.1)
