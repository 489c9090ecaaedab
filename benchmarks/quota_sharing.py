"""Measures the share of a quota that is served while gateways are cut off, with and without quota sharing.

    .venv/bin/python benchmarks/quota_sharing.py faults   # 2 to 16 gateways, each kind of fault, 20 seeds
    .venv/bin/python benchmarks/quota_sharing.py scale    # 40 and 200 gateways with 10,000 customers

The decisions are those of the real module; counter, network, hosts and clients are simulated
(lab/simulators/). `without` is the same program without membership and quota sharing, in the same run. Tables
are written to standard output as Markdown, the plot to docs/plots/.
"""

from __future__ import annotations

import os
import statistics
import sys
import time
import tracemalloc
from collections import defaultdict
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

import click

sys.path.insert(0, str(Path(__file__).parent.parent))

from granitedock.lab.simulators.offered_load import OfferedLoad, admitted, peak_share  # noqa: E402
from granitedock.lab.simulators.quota_simulation import GatewayFeatures, QuotaSimulation  # noqa: E402
from granitedock.lab.simulators.simulated_network import NetworkConditions  # noqa: E402
from granitedock.policy.types import Plan  # noqa: E402
from granitedock.quota_sharing.uncounted_usage import UncountedUsage  # noqa: E402

PLOTS = Path(__file__).parent.parent / "docs" / "plots"
RATE, BURST = 40.0, 40.0  # units per second, units
PLAN = Plan("p", RATE / 1000, BURST, 0, 1, 0, 0.5, 0, 0, 0)
SEEDS = 20
JOIN_MS = 6000
FAULT_MS = 70_000
TRANSIENT_MS = 10_000
MINUTE_MS = 60_000
GATEWAYS = (2, 4, 8, 16)


def halves(simulation: QuotaSimulation) -> tuple[range, range]:
    """Return the second half of the gateways and the first half."""
    count = len(simulation.nodes)
    return range(count // 2, count), range(count // 2)


def no_fault(_: QuotaSimulation) -> None:
    """Cause no fault."""


def counter_half(simulation: QuotaSimulation) -> None:
    """Cut half of the gateways off from the counter."""
    simulation.disconnect_counter(*halves(simulation)[0])


def counter_three_quarters(simulation: QuotaSimulation) -> None:
    """Cut three quarters of the gateways off from the counter."""
    simulation.disconnect_counter(*range(max(1, len(simulation.nodes) // 4), len(simulation.nodes)))


def counter_all(simulation: QuotaSimulation) -> None:
    """Cut all gateways off from the counter."""
    simulation.disconnect_counter(*range(len(simulation.nodes)))


def both_half(simulation: QuotaSimulation) -> None:
    """Cut half of the gateways off from the counter and from the others."""
    simulation.disconnect_counter(*halves(simulation)[0])
    simulation.partition(*halves(simulation))


def both_one(simulation: QuotaSimulation) -> None:
    """Cut one gateway off from the counter and from the others."""
    last = len(simulation.nodes) - 1
    simulation.disconnect_counter(last)
    simulation.partition([last], range(last))


def partitioned(simulation: QuotaSimulation) -> None:
    """Cut the two halves off from each other."""
    simulation.partition(*halves(simulation))


def one_way(simulation: QuotaSimulation) -> None:
    """Cut half of the gateways off from the counter, and one of them from one other in one direction."""
    simulation.disconnect_counter(*halves(simulation)[0])
    simulation.partition([halves(simulation)[0][0]], [0], both=False)


def killed(simulation: QuotaSimulation) -> None:
    """Cut all gateways off from the counter, and kill half of them."""
    simulation.disconnect_counter(*range(len(simulation.nodes)))
    for n in halves(simulation)[0]:
        simulation.crash(n)


def restarted(simulation: QuotaSimulation) -> None:
    """Cut half of the gateways off from the counter and from the others, and restart them."""
    simulation.disconnect_counter(*halves(simulation)[0])
    simulation.partition(*halves(simulation))
    for n in halves(simulation)[0]:
        simulation.crash(n)
        simulation.start(n, tuple(node.address for node in simulation.nodes))


FAULTS: dict[str, Callable[[QuotaSimulation], None]] = {
    "none": no_fault,
    "half cut off from the counter": counter_half,
    "three quarters cut off from the counter": counter_three_quarters,
    "all cut off from the counter": counter_all,
    "half cut off from counter and others": both_half,
    "one cut off from counter and others": both_one,
    "halves cut off from each other only": partitioned,
    "half cut off from the counter, one connection one-way": one_way,
    "all cut off from the counter, half killed": killed,
    "half restarted while cut off from both": restarted,
}


class Case(NamedTuple):
    """One run; with `sharing` the gateways share quotas."""

    fault: str
    gateways: int
    sharing: bool
    seed: int


@dataclass(frozen=True, slots=True)
class Result:
    """Served shares of the quota."""

    transient: float  # in the 10 s after the fault
    settled: float  # in the minute after the transient
    worst_minute: float  # highest share of rate x time + burst in any minute


Results = dict[tuple[str, int, bool], list[Result]]


def run_case(case: Case) -> tuple[Case, Result]:
    """Run one case, and return it with its result."""
    offer = OfferedLoad(161, PLAN, 4 * RATE, case.gateways)
    simulation = QuotaSimulation(
        case.gateways,
        [offer],
        case.seed,
        GatewayFeatures(share_quotas=case.sharing, use_membership=case.sharing),
        NetworkConditions(loss=0.01),
    )
    simulation.run(JOIN_MS)
    started_at = simulation.now
    FAULTS[case.fault](simulation)
    simulation.run(FAULT_MS)
    settled_at = started_at + TRANSIENT_MS
    return case, Result(
        transient=admitted(offer, started_at, settled_at) / (RATE * TRANSIENT_MS / 1000),
        settled=admitted(offer, settled_at, simulation.now) / (RATE * (simulation.now - settled_at) / 1000),
        worst_minute=peak_share(offer, started_at, simulation.now, MINUTE_MS),
    )


@click.group()
def main() -> None:
    """Measurements of quota sharing."""


@main.command()
def faults() -> None:
    """Run each kind of fault with 20 seeds, and show the served share of the quota."""
    cases = [
        Case(fault, count, sharing, seed)
        for count in sorted(GATEWAYS, reverse=True)
        for fault in FAULTS
        for sharing in (True, False)
        for seed in range(1, SEEDS + 1)
    ]
    results: Results = defaultdict(list)
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        for case, result in pool.map(run_case, cases, chunksize=4):
            results[case.fault, case.gateways, case.sharing].append(result)
    click.echo(
        "| fault | gateways | without: mean, max | with: mean, min, max | worst minute without | with |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for fault in FAULTS:
        for count in GATEWAYS:
            click.echo(table_row(fault, count, results[fault, count, False], results[fault, count, True]))
    plot(results)


def table_row(fault: str, gateways: int, without: list[Result], with_sharing: list[Result]) -> str:
    """Return one row of the table of faults."""
    settled = [result.settled for result in with_sharing]
    settled_without = [result.settled for result in without]
    return (
        f"| {fault} | {gateways} | {statistics.mean(settled_without):.2f}, {max(settled_without):.2f} "
        f"| {statistics.mean(settled):.3f}, {min(settled):.3f}, {max(settled):.3f} "
        f"| {max(result.worst_minute for result in without):.3f} "
        f"| {max(result.worst_minute for result in with_sharing):.3f} |"
    )


def plot(results: Results) -> None:
    """Draw the settled share of the quota at four gateways, as bars by fault."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for index, fault in enumerate(FAULTS):
        for sharing, shift, colour in ((False, 0.2, "tab:red"), (True, -0.2, "tab:blue")):
            shares = [result.settled for result in results[fault, 4, sharing]]
            mean = statistics.mean(shares)
            spread = [[mean - min(shares)], [max(shares) - mean]]
            label = ("with" if sharing else "without") if index == 0 else None
            axes.barh(index + shift, mean, 0.36, xerr=spread, color=colour, label=label)
    axes.axvline(1.0, color="black", linewidth=0.8)
    axes.axvspan(0.9, 1.05, color="tab:green", alpha=0.15)
    axes.set_yticks(range(len(FAULTS)), list(FAULTS), fontsize=8)
    axes.invert_yaxis()
    axes.set_xlabel("settled share of the quota; four gateways, four times the quota offered, 20 seeds")
    axes.legend()
    figure.tight_layout()
    PLOTS.mkdir(exist_ok=True)
    figure.savefig(PLOTS / "quota-sharing-faults.png", dpi=110)
    click.echo("plot: docs/plots/quota-sharing-faults.png")


def bytes_per_row() -> float:
    """Return the memory of one row of uncounted usage in bytes, as the mean of 10,000 rows."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    usage = UncountedUsage("g", 1, 100_000)
    for customer in range(10_000):
        usage.record_uncounted(customer, 1, 2000, 1)
    usage.queue.clear()
    size = (tracemalloc.get_traced_memory()[0] - before) / 10_000
    tracemalloc.stop()
    return size


@main.command()
@click.option("--customers", default=10_000, show_default=True)
def scale(customers: int) -> None:
    """Cut half of 40 and of 200 gateways off from the counter, with many customers."""
    click.echo(
        "| gateways | customers | done, uncounted | rows, max | memory | bytes per second per gateway "
        "| merges | CPU per gateway, simulated |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- |")
    row_bytes = bytes_per_row()
    for count in (40, 200):
        click.echo(scale_row(count, customers, row_bytes))


def scale_row(count: int, customers: int, row_bytes: float) -> str:
    """Run one fleet, and return its row of the table."""
    plan = Plan("p", 0.0005, 5, 0, 1, 0, 0.5, 0, 0, 0)
    offers = [OfferedLoad(key, plan, 0.2, 4, key % count) for key in range(customers)]
    simulation = QuotaSimulation(count, offers, 3, network=NetworkConditions(measure_bytes=True))
    simulation.run(5000)
    simulation.disconnect_counter(*halves(simulation)[0])
    simulation.run(5000)
    for node in simulation.nodes:
        node.sent_bytes = 0
    changes_before = row_changes(simulation)
    started_at, cpu_before = simulation.now, time.process_time()
    simulation.run(10_000)
    seconds = (simulation.now - started_at) / 1000
    max_rows = max(usage.row_count for usage in usages(simulation))
    bytes_per_s = sum(node.sent_bytes for node in simulation.nodes) / count / seconds
    merges = (row_changes(simulation) - changes_before) / count / seconds
    done = sum(admitted(offer, started_at, simulation.now) for offer in offers)
    uncounted = sum(
        sum(
            request.sent_at >= started_at and request.gateway in simulation.counter.disconnected_since
            for request in offer.completed
        )
        for offer in offers
    )
    cpu = (time.process_time() - cpu_before) / count / seconds
    cells = [
        f"{count}",
        f"{customers:,}",
        f"{done / seconds:,.0f} per second, {uncounted / max(1, done):.0%}",
        f"{max_rows:,}",
        f"{max_rows * row_bytes / 1e6:.1f} MB",
        f"{bytes_per_s:,.0f}",
        f"{merges:,.0f} per second",
        f"{cpu:.1%}",
    ]
    return "| " + " | ".join(cells) + " |"


def usages(simulation: QuotaSimulation) -> list[UncountedUsage]:
    """Return the uncounted usage that each gateway records."""
    return [
        gateway.quota_sharing.usage
        for gateway in simulation.gateways.values()
        if gateway.quota_sharing is not None
    ]


def row_changes(simulation: QuotaSimulation) -> int:
    """Return the number of row changes at all gateways since their start."""
    return sum(usage.change_count for usage in usages(simulation))


if __name__ == "__main__":
    main()
