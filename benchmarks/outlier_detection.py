"""Measures the attempts that gateways lose to an outlier, with and without outlier detection by gossip.

    .venv/bin/python benchmarks/outlier_detection.py faults   # an outlier, and faults that eject no good host

The decisions are those of the real module; hosts, network and clients are simulated (lab/simulators/). The
table is written to standard output as Markdown, the plot to docs/plots/.
"""

from __future__ import annotations

import os
import statistics
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import astuple, dataclass
from pathlib import Path
from typing import NamedTuple

import click

sys.path.insert(0, str(Path(__file__).parent.parent))

from granitedock.lab.simulators.offered_load import OfferedLoad  # noqa: E402
from granitedock.lab.simulators.quota_simulation import GatewayFeatures, QuotaSimulation  # noqa: E402
from granitedock.lab.simulators.simulated_network import NetworkConditions  # noqa: E402
from granitedock.policy.types import Outcome, Plan  # noqa: E402

PLOTS = Path(__file__).parent.parent / "docs" / "plots"
PLAN = Plan("p", 100, 100_000, 0, 1, 0, 0.5, 0, 0, 0)
CUSTOMERS = 20
SEEDS = {4: 10, 16: 10, 40: 10, 200: 3}  # runs by number of gateways
SETTLE_MS = 6000
SECONDS = 30
SAMPLE_MS = 250  # interval at which ejected hosts are counted


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The number of hosts, and the requests per second of each gateway."""

    hosts: int
    rate: float


SIZES = {4: FleetSize(8, 30.0), 16: FleetSize(20, 5.0), 40: FleetSize(40, 5.0), 200: FleetSize(50, 2.0)}


class Case(NamedTuple):
    """One run; with `detection` the gateways share their observations of hosts."""

    fault: str
    gateways: int
    detection: bool
    seed: int


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one run, or the mean of several."""

    lost: float  # attempts that failed at the outlier
    served: float  # share of the requests
    good_ejected: float  # share of the total host time in which hosts without a fault were ejected
    bytes_per_s: float  # sent by each gateway
    cpu: float  # share of a core per gateway, simulation included


def host_fails(simulation: QuotaSimulation) -> None:
    """Let one host answer with errors."""
    simulation.host_faults["h0"] = Outcome.ERROR


def host_is_silent(simulation: QuotaSimulation) -> None:
    """Let one host not answer."""
    simulation.host_faults["h0"] = Outcome.TIMEOUT


def one_connection(simulation: QuotaSimulation) -> None:
    """Cut one gateway off from one host."""
    simulation.unreachable.add((0, "h1"))


def all_connections(simulation: QuotaSimulation) -> None:
    """Cut one gateway off from all hosts."""
    simulation.unreachable |= {(0, f"h{n}") for n in range(simulation.host_count)}


def partitioned(simulation: QuotaSimulation) -> None:
    """Let one host fail, and cut the gateways into two halves."""
    half = len(simulation.nodes) // 2
    simulation.host_faults["h0"] = Outcome.ERROR
    simulation.partition(range(half), range(half, len(simulation.nodes)))


def paused(simulation: QuotaSimulation) -> None:
    """Let one host fail for 10 s, and pause one gateway until after the host's recovery."""
    simulation.host_faults["h0"] = Outcome.ERROR
    simulation.pause(0, 15_000)
    simulation.schedule(10_000, simulation.host_faults.clear)


FAULTS: dict[str, Callable[[QuotaSimulation], None]] = {
    "a host fails": host_fails,
    "a host does not answer": host_is_silent,
    "one gateway has no connection to a host": one_connection,
    "one gateway has no connection to any host": all_connections,
    "a host fails, and the gateways are cut in halves": partitioned,
    "a host fails for 10 s, one gateway is paused meanwhile": paused,
}


def run_case(case: Case) -> tuple[Case, Result]:
    """Run one case, and return it with its result."""
    count, size = case.gateways, SIZES[case.gateways]
    offers = [OfferedLoad(key, PLAN, size.rate * count / CUSTOMERS, count) for key in range(CUSTOMERS)]
    simulation = QuotaSimulation(
        count,
        offers,
        case.seed,
        GatewayFeatures(share_quotas=False, use_membership=False, detect_outliers=case.detection),
        NetworkConditions(measure_bytes=True),
        host_count=size.hosts,
    )
    simulation.run(SETTLE_MS)
    sent_before = sum(node.sent_bytes for node in simulation.nodes)
    FAULTS[case.fault](simulation)
    cpu_before = time.process_time()
    good_ejected = 0
    samples = SECONDS * 1000 // SAMPLE_MS
    for _ in range(samples):
        simulation.run(SAMPLE_MS)
        if case.detection:
            good_ejected += good_hosts_ejected(simulation)
    done = sum(len(offer.completed) for offer in offers)
    rejected = sum(offer.rejected for offer in offers)
    sent = sum(node.sent_bytes for node in simulation.nodes) - sent_before
    return case, Result(
        lost=sum(simulation.failed_attempts.values()),
        served=done / (done + rejected),
        good_ejected=good_ejected / samples / count / size.hosts,
        bytes_per_s=sent / count / SECONDS,
        cpu=(time.process_time() - cpu_before) / count / SECONDS,
    )


def good_hosts_ejected(simulation: QuotaSimulation) -> int:
    """Return the number of ejected hosts that have no fault now, summed over all gateways."""
    detectors = [gateway.detector for gateway in simulation.gateways.values() if gateway.detector is not None]
    return sum(name not in simulation.host_faults for detector in detectors for name in detector.ejected)


def mean(results: list[Result]) -> Result:
    """Return the mean of each figure."""
    return Result(*(statistics.mean(column) for column in zip(*map(astuple, results))))


@click.group()
def main() -> None:
    """Measurements of outlier detection."""


@main.command()
@click.option("--most", default=200, show_default=True, help="The largest number of gateways.")
def faults(most: int) -> None:
    """Run 30 s of each fault: attempts lost to the outlier, good hosts ejected, served share and cost."""
    cases = [
        Case(fault, count, detection, seed)
        for count in sorted(SIZES, reverse=True)
        if count <= most
        for fault in FAULTS
        for detection in (False, True)
        for seed in range(1, SEEDS[count] + 1)
    ]
    results: dict[tuple[str, int, bool], list[Result]] = defaultdict(list)
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        for case, result in pool.map(run_case, cases):
            results[case.fault, case.gateways, case.detection].append(result)
    click.echo(
        "| fault | gateways | lost without | with | ratio | served without | with | good hosts ejected "
        "| bytes per second | CPU per gateway |"
    )
    click.echo("| --- " * 10 + "|")
    lost_by_size = {}
    for fault in FAULTS:
        for count in SIZES:
            if count > most:
                continue
            without = mean(results[fault, count, False])
            with_detection = mean(results[fault, count, True])
            click.echo(table_row(fault, count, without, with_detection))
            if fault == "a host fails":
                lost_by_size[count] = without.lost, with_detection.lost
    plot(lost_by_size)


def table_row(fault: str, gateways: int, without: Result, with_detection: Result) -> str:
    """Return one row of the table."""
    ratio = f"{with_detection.lost / without.lost:.2f}" if without.lost else "-"
    cells = [
        fault,
        f"{gateways}",
        f"{without.lost:.0f}",
        f"{with_detection.lost:.0f}",
        ratio,
        f"{without.served:.4f}",
        f"{with_detection.served:.4f}",
        f"{with_detection.good_ejected:.2%}",
        f"{with_detection.bytes_per_s:,.0f}",
        f"{with_detection.cpu:.2%}",
    ]
    return "| " + " | ".join(cells) + " |"


def plot(lost_by_size: dict[int, tuple[float, float]]) -> None:
    """Draw the attempts lost without and with detection, as bars by number of gateways."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 3.6))
    for index, (without, with_detection) in enumerate(lost_by_size.values()):
        axes.bar(index - 0.2, without, 0.38, color="tab:red", label="each alone" if index == 0 else None)
        axes.bar(
            index + 0.2, with_detection, 0.38, color="tab:blue", label="by gossip" if index == 0 else None
        )
    axes.set_xticks(range(len(lost_by_size)), [f"{count} gateways" for count in lost_by_size])
    axes.set_ylabel("attempts lost to a failing host, 30 s")
    axes.legend()
    figure.tight_layout()
    PLOTS.mkdir(exist_ok=True)
    figure.savefig(PLOTS / "outlier-detection-lost.png", dpi=110)
    click.echo("plot: docs/plots/outlier-detection-lost.png")


if __name__ == "__main__":
    main()
