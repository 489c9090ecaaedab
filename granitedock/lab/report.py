"""What came of a run: latency percentiles, the answers' shares, and plots with the faults drawn in.

A run is a folder that `granitedock lab run` left: `run.json` (the scenario's name, length and faults), and
`rows.jsonl`, a line a task. Two runs are compared side by side. Latencies are kept by HdrHistogram.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import orjson
from hdrh.histogram import HdrHistogram

from granitedock.lab.load.generator import Row

PERCENTILES = (50.0, 99.0, 99.9)
KINDS = ("done", "deferred", "errored", "lost", "open")
COLOURS = {
    "done": "tab:green",
    "deferred": "tab:orange",
    "errored": "tab:red",
    "lost": "black",
    "open": "grey",
}
MOST_US = 60_000_000


class ReportError(ValueError):
    """A folder that holds no run."""


@dataclass(frozen=True, slots=True)
class Run:
    name: str
    length_s: float
    faults: list[dict]
    rows: list[Row]


def keep(folder: Path, name: str, length_s: float, faults: list[dict], rows: list[Row]) -> None:
    """Leave a run in its folder."""
    told = {"name": name, "length_s": length_s, "faults": faults}
    (folder / "run.json").write_bytes(orjson.dumps(told, option=orjson.OPT_INDENT_2))
    (folder / "rows.jsonl").write_bytes(b"".join(orjson.dumps(row) + b"\n" for row in rows))


def read(folder: str | Path) -> Run:
    """A run as it was kept. Raises ReportError, naming the file and the line at fault."""
    folder, line = Path(folder), 0
    try:
        told = orjson.loads((folder / "run.json").read_bytes())
        rows = []
        for text in (folder / "rows.jsonl").read_bytes().splitlines():
            line += 1
            rows.append(Row(**orjson.loads(text)))
        return Run(told["name"], float(told["length_s"]), told["faults"], rows)
    except OSError as fault:
        raise ReportError(f"{folder}: no run: {fault}") from None
    except (ValueError, KeyError, TypeError) as fault:
        at = f"{folder}/rows.jsonl:{line}" if line else f"{folder}/run.json"
        raise ReportError(f"{at}: {type(fault).__name__}: {fault}") from None


def latencies(rows: list[Row]) -> HdrHistogram:
    """Of the tasks done, in microseconds."""
    histogram = HdrHistogram(1, MOST_US, 3)
    for row in rows:
        if row.kind == "done":
            histogram.record_value(max(1, min(MOST_US, round(row.took_ms * 1000))))
    return histogram


def lines(run: Run) -> list[str]:
    """The report as text: a line for all, and one for each customer."""
    said = [f"{run.name}: {len(run.rows)} tasks in {run.length_s:g} s"]
    for fault in run.faults:
        ends = f" for {fault['for_s']:g} s" if fault["for_s"] else ""
        said.append(
            f"  {fault['at_s']:6.1f} s  {fault['what']} {fault['target']} {fault['off']}".rstrip() + ends
        )
    customers = sorted({row.customer for row in run.rows})
    for customer in [None, *customers]:
        rows = [row for row in run.rows if customer in (None, row.customer)]
        kinds, histogram = Counter(row.kind for row in rows), latencies(rows)
        shares = "  ".join(f"{kind} {kinds[kind] / len(rows):.3f}" for kind in KINDS if kinds[kind])
        took = "  ".join(
            f"p{part:g} {histogram.get_value_at_percentile(part) / 1000:.1f}" for part in PERCENTILES
        )
        who = "all" if customer is None else f"customer {customer}"
        said.append(f"  {who:14s} {shares}  done in ms: {took}" if kinds["done"] else f"  {who:14s} {shares}")
    return said


def by_second(run: Run) -> dict[int, list[Row]]:
    table: dict[int, list[Row]] = {}
    for row in run.rows:
        table.setdefault(int(row.sent_s), []).append(row)
    return table


def plot(runs: list[Run], path: Path) -> None:
    """Answers a second and latency over time, a column a run, with the faults shaded."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, len(runs), figsize=(7 * len(runs), 6), sharex="col", squeeze=False)
    for column, run in enumerate(runs):
        table = by_second(run)
        seconds = sorted(second for second in table if second < run.length_s)
        answers, waits = axes[0][column], axes[1][column]
        for kind in KINDS:
            counts = [sum(row.kind == kind for row in table[second]) for second in seconds]
            if any(counts):
                answers.plot(seconds, counts, color=COLOURS[kind], label=kind)
        for part in (50.0, 99.0):
            figures = [latencies(table[second]).get_value_at_percentile(part) / 1000 for second in seconds]
            waits.plot(seconds, figures, label=f"p{part:g} of those done")
        for axis in (answers, waits):
            for fault in run.faults:
                ends = fault["at_s"] + (fault["for_s"] or run.length_s)
                axis.axvspan(fault["at_s"], min(ends, run.length_s), color="tab:red", alpha=0.1)
            axis.legend(fontsize=8)
            axis.grid(alpha=0.3)
        answers.set_title(run.name)
        answers.set_ylabel("answers a second")
        waits.set_ylabel("ms")
        waits.set_xlabel("s")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
