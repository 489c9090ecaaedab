"""What is admitted beside an allowance when a part of the fleet is cut off, with quota sharing and without.

    .venv/bin/python benchmarks/quota_sharing.py faults   # 2 to 16 gateways, each kind of fault, 20 seeds
    .venv/bin/python benchmarks/quota_sharing.py scale    # 40 and 200 gateways with 10,000 customers

The decisions are the module's own; counter, network, hosts and clients are simulated (lab/simulators/).
`before` is the same program without membership and quota sharing, in the same run. Tables go to standard
output as Markdown, the plot to docs/plots/.
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
RATE, BURST = 40.0, 40.0  # units a second, units
PLAN = Plan("p", RATE / 1000, BURST, 0, 1, 0, 0.5, 0, 0, 0)
SEEDS = 20
JOIN_MS = 6000
FAULT_MS = 70_000
TRANSIENT_MS = 10_000
MINUTE_MS = 60_000
GATEWAYS = (2, 4, 8, 16)


def halves(world: QuotaSimulation) -> tuple[range, range]:
    """The second half of the gateways, and the first."""
    count = len(world.nodes)
    return range(count // 2, count), range(count // 2)


def no_fault(_: QuotaSimulation) -> None:
    """Nothing fails."""


def counter_half(world: QuotaSimulation) -> None:
    """Half are cut off from the counter."""
    world.disconnect_counter(*halves(world)[0])


def counter_most(world: QuotaSimulation) -> None:
    """Three quarters are cut off from the counter."""
    world.disconnect_counter(*range(max(1, len(world.nodes) // 4), len(world.nodes)))


def counter_all(world: QuotaSimulation) -> None:
    """All are cut off from the counter."""
    world.disconnect_counter(*range(len(world.nodes)))


def both_half(world: QuotaSimulation) -> None:
    """Half are cut off from the counter and from the others."""
    world.disconnect_counter(*halves(world)[0])
    world.partition(*halves(world))


def both_one(world: QuotaSimulation) -> None:
    """One is cut off from the counter and from the others."""
    last = len(world.nodes) - 1
    world.disconnect_counter(last)
    world.partition([last], range(last))


def partitioned(world: QuotaSimulation) -> None:
    """The halves are cut off from each other."""
    world.partition(*halves(world))


def one_way(world: QuotaSimulation) -> None:
    """Half are cut off from the counter, and one of them from one other in one direction."""
    world.disconnect_counter(*halves(world)[0])
    world.partition([halves(world)[0][0]], [0], both=False)


def killed(world: QuotaSimulation) -> None:
    """All are cut off from the counter, and half are killed."""
    world.disconnect_counter(*range(len(world.nodes)))
    for n in halves(world)[0]:
        world.crash(n)


def restarted(world: QuotaSimulation) -> None:
    """Half are cut off from the counter and from the others, and restart."""
    world.disconnect_counter(*halves(world)[0])
    world.partition(*halves(world))
    for n in halves(world)[0]:
        world.crash(n)
        world.start(n, tuple(node.address for node in world.nodes))


FAULTS: dict[str, Callable[[QuotaSimulation], None]] = {
    "none": no_fault,
    "half cut off from the counter": counter_half,
    "three quarters cut off from the counter": counter_most,
    "all cut off from the counter": counter_all,
    "half cut off from counter and others": both_half,
    "one cut off from counter and others": both_one,
    "halves cut off from each other only": partitioned,
    "half cut off from the counter, one connection one-way": one_way,
    "all cut off from the counter, half killed": killed,
    "half restarted while cut off from both": restarted,
}


class Case(NamedTuple):
    """One run: the fault by name, gateways, whether they share quotas, and the seed."""

    fault: str
    gateways: int
    sharing: bool
    seed: int


@dataclass(frozen=True, slots=True)
class Result:
    """Parts of the allowance that were done."""

    transient: float  # in the 10 s after the fault
    settled: float  # in the minute after those
    worst_minute: float  # of rate x time + burst


Results = dict[tuple[str, int, bool], list[Result]]


def play(case: Case) -> tuple[Case, Result]:
    """Run one case."""
    offer = OfferedLoad(161, PLAN, 4 * RATE, case.gateways)
    world = QuotaSimulation(
        case.gateways,
        [offer],
        case.seed,
        GatewayFeatures(share_quotas=case.sharing, use_membership=case.sharing),
        NetworkConditions(loss=0.01),
    )
    world.run(JOIN_MS)
    began = world.now
    FAULTS[case.fault](world)
    world.run(FAULT_MS)
    settled_at = began + TRANSIENT_MS
    return case, Result(
        transient=admitted(offer, began, settled_at) / (RATE * TRANSIENT_MS / 1000),
        settled=admitted(offer, settled_at, world.now) / (RATE * (world.now - settled_at) / 1000),
        worst_minute=peak_share(offer, began, world.now, MINUTE_MS),
    )


@click.group()
def main() -> None:
    """Measurements of quota sharing."""


@main.command()
def faults() -> None:
    """Each kind of fault, 20 seeds: what is done of the allowance."""
    cases = [
        Case(fault, count, sharing, seed)
        for count in sorted(GATEWAYS, reverse=True)
        for fault in FAULTS
        for sharing in (True, False)
        for seed in range(1, SEEDS + 1)
    ]
    results: Results = defaultdict(list)
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        for case, result in pool.map(play, cases, chunksize=4):
            results[case.fault, case.gateways, case.sharing].append(result)
    click.echo(
        "| fault | gateways | before: mean, worst | now: mean, least, most | worst minute before | now |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for fault in FAULTS:
        for count in GATEWAYS:
            click.echo(table_row(fault, count, results[fault, count, False], results[fault, count, True]))
    plot(results)


def table_row(fault: str, gateways: int, before: list[Result], now: list[Result]) -> str:
    """One row of the table of faults."""
    settled = [result.settled for result in now]
    settled_before = [result.settled for result in before]
    return (
        f"| {fault} | {gateways} | {statistics.mean(settled_before):.2f}, {max(settled_before):.2f} "
        f"| {statistics.mean(settled):.3f}, {min(settled):.3f}, {max(settled):.3f} "
        f"| {max(result.worst_minute for result in before):.3f} "
        f"| {max(result.worst_minute for result in now):.3f} |"
    )


def plot(results: Results) -> None:
    """The settled part of the allowance at four gateways, as bars by fault."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for at, fault in enumerate(FAULTS):
        for sharing, shift, colour in ((False, 0.2, "tab:red"), (True, -0.2, "tab:blue")):
            parts = [result.settled for result in results[fault, 4, sharing]]
            mean = statistics.mean(parts)
            spread = [[mean - min(parts)], [max(parts) - mean]]
            label = ("now" if sharing else "before") if at == 0 else None
            axes.barh(at + shift, mean, 0.36, xerr=spread, color=colour, label=label)
    axes.axvline(1.0, color="black", linewidth=0.8)
    axes.axvspan(0.9, 1.05, color="tab:green", alpha=0.15)
    axes.set_yticks(range(len(FAULTS)), list(FAULTS), fontsize=8)
    axes.invert_yaxis()
    axes.set_xlabel(
        "part of the allowance done, settled; four gateways, four times the quota offered, 20 seeds"
    )
    axes.legend()
    figure.tight_layout()
    PLOTS.mkdir(exist_ok=True)
    figure.savefig(PLOTS / "quota-sharing-faults.png", dpi=110)
    click.echo("plot: docs/plots/quota-sharing-faults.png")


def bytes_per_row() -> float:
    """The memory that one row of uncounted usage takes, of 10,000."""
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
    """Half of 40 and of 200 gateways cut off from the counter, many customers."""
    click.echo(
        "| gateways | customers | done, uncounted | rows held, most | memory | bytes a second a gateway "
        "| merges | CPU a gateway, simulated |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- |")
    row_bytes = bytes_per_row()
    for count in (40, 200):
        click.echo(scale_row(count, customers, row_bytes))


def scale_row(count: int, customers: int, row_bytes: float) -> str:
    """Run one fleet; its row of the table."""
    plan = Plan("p", 0.0005, 5, 0, 1, 0, 0.5, 0, 0, 0)
    offers = [OfferedLoad(key, plan, 0.2, 4, key % count) for key in range(customers)]
    world = QuotaSimulation(count, offers, 3, network=NetworkConditions(measure_bytes=True))
    world.run(5000)
    world.disconnect_counter(*halves(world)[0])
    world.run(5000)
    for node in world.nodes:
        node.sent_bytes = 0
    changes_before = row_changes(world)
    began, cpu_before = world.now, time.process_time()
    world.run(10_000)
    seconds = (world.now - began) / 1000
    held = max(usage.row_count for usage in usages(world))
    volume = sum(node.sent_bytes for node in world.nodes) / count / seconds
    merges = (row_changes(world) - changes_before) / count / seconds
    done = sum(admitted(offer, began, world.now) for offer in offers)
    uncounted = sum(
        sum(
            request.sent_at >= began and request.gateway in world.counter.disconnected_since
            for request in offer.completed
        )
        for offer in offers
    )
    cpu = (time.process_time() - cpu_before) / count / seconds
    cells = [
        f"{count}",
        f"{customers:,}",
        f"{done / seconds:,.0f} a second, {uncounted / max(1, done):.0%}",
        f"{held:,}",
        f"{held * row_bytes / 1e6:.1f} MB",
        f"{volume:,.0f}",
        f"{merges:,.0f} a second",
        f"{cpu:.1%}",
    ]
    return "| " + " | ".join(cells) + " |"


def usages(world: QuotaSimulation) -> list[UncountedUsage]:
    """What each gateway knows of uncounted usage."""
    return [
        gateway.quota_sharing.usage
        for gateway in world.gateways.values()
        if gateway.quota_sharing is not None
    ]


def row_changes(world: QuotaSimulation) -> int:
    """Rows changed so far, at all gateways."""
    return sum(usage.change_count for usage in usages(world))


if __name__ == "__main__":
    main()
