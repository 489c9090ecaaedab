"""What membership costs and how soon it knows: by simulation, and with real processes on loopback.

    .venv/bin/python benchmarks/fleet_view.py sim     # 10, 40, 200 and 1,000 gateways; minutes, on all cores
    .venv/bin/python benchmarks/fleet_view.py real    # 10 and 40 processes; needs the machine to itself
    .venv/bin/python benchmarks/fleet_view.py cost    # CPU a request with membership off and on

Tables go to standard output as Markdown, plots to docs/plots/. Heartbeats from each to each (`mesh`) are
reckoned beside it, not simulated: one each 500 ms, dead after 4 s without one.
"""

from __future__ import annotations

import math
import os
import random
import statistics
import sys
from collections import defaultdict
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).parent.parent))

import fleet_view_processes as processes  # noqa: E402 - the path is set before
import fleet_view_simulation as simulation  # noqa: E402 - the path is set before
from fleet_view_simulation import DetectionCase, FalseDeathCase, FleetCase  # noqa: E402 - the path is set before

SIZES = (10, 40, 200, 1000)
CRASHES = {10: 60, 40: 60, 200: 30, 1000: 4}  # by fleet size
MAX_PARTITION_SIZE = 200
MAX_HIGH_LOSS_SIZE = 200  # a thousand at 20% loss take an hour to simulate
LOSSES = (0.0, 0.05, 0.2)
HIGH_LOSS = 0.2
MESH_MS = 500.0
MESH_DEAD_MS = 4000.0
MESH_BYTES = 90
MESH_CRASHES = 60
PLOTS = Path(__file__).parent.parent / "docs" / "plots"

Curves = dict[str, list[tuple[int, float]]]  # points (gateways, value) by name


def quantile(values: list[float], fraction: float) -> float:
    """The value that this fraction of the values does not exceed."""
    return sorted(values)[min(len(values) - 1, math.ceil(fraction * len(values)) - 1)]


def mesh_detection_ms(random_source: random.Random) -> list[float]:
    """Without loss: each of the others last heard some part of a period ago, all the same part."""
    return [MESH_DEAD_MS - random_source.random() * MESH_MS + 2.0 for _ in range(MESH_CRASHES)]


@click.group()
def main() -> None:
    """Measurements of membership."""


@main.command()
@click.option("--most", default=1000, show_default=True, help="The largest fleet.")
def sim(most: int) -> None:
    """By simulation on a simulated clock: times, load, heals, false deaths."""
    sizes = [size for size in SIZES if size <= most]
    fleets = [FleetCase(protocol, size) for size in reversed(sizes) for protocol in simulation.TIMINGS]
    small_fleets = [case for case in fleets if case.gateways <= MAX_PARTITION_SIZE]
    detection_cases = [
        DetectionCase(*fleet, silent, CRASHES[fleet.gateways]) for fleet in fleets for silent in (False, True)
    ]
    false_death_cases = [
        FalseDeathCase(*fleet, loss, starved)
        for fleet in fleets
        for loss in LOSSES
        for starved in (False, True)
        if fleet.gateways <= MAX_HIGH_LOSS_SIZE or loss < HIGH_LOSS
    ]
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        partitions = pool.map(simulation.measure_partition, small_fleets)
        detections = pool.map(simulation.measure_detection, detection_cases)
        loads = pool.map(simulation.measure_load, fleets)
        false_deaths = pool.map(simulation.measure_false_deaths, false_death_cases)
    show_detections(detections, sizes)
    show_loads(loads, sizes)
    show_partitions(partitions)
    show_false_deaths(false_deaths, sizes)


def show_detections(results: Iterable[simulation.DetectionResult], sizes: list[int]) -> None:
    """How soon a member's end is known: table and plot."""
    click.echo("\n| machine | gateways | end | known to all p50 | p99 | max | to one p50 | p99 (ms) |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- |")
    curves: Curves = defaultdict(list)
    for result in sorted(results, key=lambda result: result.case):
        case = result.case
        end = "silence" if case.silent else "crash"
        figures = (
            statistics.median(result.to_all_ms),
            quantile(result.to_all_ms, 0.99),
            max(result.to_all_ms),
            statistics.median(result.to_each_ms),
            quantile(result.to_each_ms, 0.99),
        )
        cells = " | ".join(f"{figure:,.0f}" for figure in figures)
        click.echo(f"| {case.protocol} | {case.gateways} | {end} | {cells} |")
        curves[f"{case.protocol}, {end}"].append((case.gateways, max(result.to_all_ms)))
    random_source = random.Random(1)
    for count in sizes:
        times = mesh_detection_ms(random_source)
        curves["mesh, reckoned"].append((count, max(times)))
        mesh_figures = statistics.median(times), quantile(times, 0.99), max(times)
        cells = " | ".join(f"{figure:,.0f}" for figure in mesh_figures)
        click.echo(f"| mesh, reckoned | {count} | either | {cells} | | |")
    plot("fleet-detection.png", "known to all, worst (ms)", curves, logarithmic=False)


def show_loads(results: Iterable[simulation.LoadResult], sizes: list[int]) -> None:
    """Messages and bytes at rest: table and plot."""
    click.echo("\n| machine | gateways | messages a second a member | bytes |\n| --- | --- | --- | --- |")
    curves: Curves = defaultdict(list)
    for result in sorted(results, key=lambda result: result.case):
        protocol, count = result.case
        click.echo(
            f"| {protocol} | {count} | {result.messages_a_second:.2f} | {result.bytes_a_second:,.0f} |"
        )
        curves[protocol].append((count, result.bytes_a_second))
    for count in sizes:
        messages = (count - 1) * 1000 / MESH_MS
        volume = messages * MESH_BYTES
        curves["mesh, reckoned"].append((count, volume))
        click.echo(f"| mesh, reckoned | {count} | {messages:,.0f} | {volume:,.0f} |")
    plot("fleet-load.png", "bytes a second a member, at rest", curves, logarithmic=True)


def show_partitions(results: Iterable[simulation.PartitionResult]) -> None:
    """How soon both sides of a partition settle, and all after its heal."""
    click.echo(
        "\n| machine | gateways | cut in halves settled (ms) | heal settled (ms) |\n| --- | --- | --- | --- |"
    )
    for result in sorted(results, key=lambda result: result.case):
        protocol, count = result.case
        click.echo(f"| {protocol} | {count} | {result.settled_ms:,.0f} | {result.healed_ms:,.0f} |")


def show_false_deaths(results: Iterable[simulation.FalseDeathResult], sizes: list[int]) -> None:
    """Live members declared dead."""
    click.echo(
        "\n| machine | gateways | loss | one in ten starved | healthy called dead an hour | starved ones |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for result in sorted(results, key=lambda result: result.case):
        protocol, count, loss, starved = result.case
        click.echo(
            f"| {protocol} | {count} | {loss:.0%} | {'yes' if starved else 'no'} "
            f"| {result.healthy_an_hour:.0f} | {result.starved_an_hour:.0f} |"
        )
    for count in sizes:
        for loss in LOSSES[1:]:
            beats = MESH_DEAD_MS / MESH_MS
            an_hour = count * (count - 1) * 3600_000 / MESH_MS * loss**beats * (1 - loss)
            click.echo(f"| mesh, reckoned | {count} | {loss:.0%} | no | {an_hour:.3g} (in one view each) | |")


def plot(file_name: str, label: str, curves: Curves, logarithmic: bool) -> None:
    """Draw the curves by the number of gateways, and name the file."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name, points in curves.items():
        axes.plot(*zip(*sorted(points)), marker="o", label=name)
    axes.set_xscale("log")
    if logarithmic:
        axes.set_yscale("log")
    else:
        axes.set_ylim(bottom=0)
    axes.set_xlabel("gateways")
    axes.set_ylabel(label)
    axes.legend(fontsize=8)
    axes.grid(alpha=0.3)
    figure.tight_layout()
    PLOTS.mkdir(exist_ok=True)
    figure.savefig(PLOTS / file_name, dpi=110)
    click.echo(f"plot: docs/plots/{file_name}")


@main.command()
def real() -> None:
    """Real processes on loopback: joins, crashes, silences, a cut and its heal, as seen from the outside."""
    click.echo("| processes | joined | crash p50 | max | silence p50 | max | halves settled | heal (s) |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for count in (10, 40):
        result = processes.measure_cluster(count)
        figures = (
            result.joined_s,
            statistics.median(result.crash_s),
            max(result.crash_s),
            statistics.median(result.silence_s),
            max(result.silence_s),
            result.settled_s,
            result.healed_s,
        )
        click.echo(f"| {count} | " + " | ".join(f"{figure:.2f}" for figure in figures) + " |")


@main.command()
@click.option("--rounds", default=3, show_default=True)
@click.option("--seconds", default=12.0, show_default=True)
def cost(rounds: int, seconds: float) -> None:
    """CPU a request at a gateway of ten with membership off, and of ten with it on, loaded side by side."""
    costs: dict[bool, list[float]] = {False: [], True: []}
    for number in range(rounds):
        order = (False, True) if number % 2 else (True, False)
        for membership, cpu_us in processes.measure_request_cost(order, seconds).items():
            costs[membership].append(cpu_us)
        click.echo(f"off {costs[False][-1]:.0f}, on {costs[True][-1]:.0f} us of CPU a task")
    off = statistics.mean(costs[False])
    on = statistics.mean(costs[True])
    percent = (on - off) * processes.RATE / 1e4
    click.echo(
        f"mean: off {off:.0f} us, on {on:.0f} us a task at {processes.RATE} a second: "
        f"{percent:.2f}% of a core"
    )


if __name__ == "__main__":
    main()
