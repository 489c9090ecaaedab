"""Measures the cost and the detection times of membership, by simulation and with processes on loopback.

    .venv/bin/python benchmarks/fleet_view.py sim     # 10, 40, 200, 1,000 gateways; minutes on all cores
    .venv/bin/python benchmarks/fleet_view.py real    # 10 and 40 processes; needs the machine to itself
    .venv/bin/python benchmarks/fleet_view.py cost    # CPU per request with membership off and on

Tables are written to standard output as Markdown, plots to docs/plots/. For comparison, heartbeats from each
member to each other (`mesh`) are calculated and not simulated: one every 500 ms, and a member is dead after
4 s without one.
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
MAX_HIGH_LOSS_SIZE = 200  # 1,000 gateways at 20% loss take an hour to simulate
LOSSES = (0.0, 0.05, 0.2)
HIGH_LOSS = 0.2
MESH_PERIOD_MS = 500.0
MESH_DEAD_MS = 4000.0
MESH_BYTES = 90  # size of a heartbeat
MESH_CRASHES = 60
PLOTS = Path(__file__).parent.parent / "docs" / "plots"

Curves = dict[str, list[tuple[int, float]]]  # points (gateways, value) by name


def quantile(values: list[float], fraction: float) -> float:
    """Return the smallest of the values that at least this fraction of them does not exceed."""
    return sorted(values)[min(len(values) - 1, math.ceil(fraction * len(values)) - 1)]


def mesh_detection_ms(random_source: random.Random) -> list[float]:
    """Return detection times of a mesh without loss.

    All other members received the last heartbeat at the same time, a random part of a period ago.
    """
    return [MESH_DEAD_MS - random_source.random() * MESH_PERIOD_MS + 2.0 for _ in range(MESH_CRASHES)]


@click.group()
def main() -> None:
    """Measurements of membership."""


@main.command()
@click.option("--most", default=1000, show_default=True, help="The largest number of gateways.")
def sim(most: int) -> None:
    """Simulate detection times, load, healed partitions and false deaths."""
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
    """Write the table and the plot of the times until a member's end is detected."""
    click.echo("\n| protocol | gateways | end | detected by all p50 | p99 | max | by each p50 | p99 (ms) |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- |")
    curves: Curves = defaultdict(list)
    for result in sorted(results, key=lambda result: result.case):
        case = result.case
        end = "host failure" if case.silent else "crash"
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
        curves["mesh, calculated"].append((count, max(times)))
        mesh_figures = statistics.median(times), quantile(times, 0.99), max(times)
        cells = " | ".join(f"{figure:,.0f}" for figure in mesh_figures)
        click.echo(f"| mesh, calculated | {count} | either | {cells} | | |")
    plot("fleet-detection.png", "detected by all, maximum (ms)", curves, logarithmic=False)


def show_loads(results: Iterable[simulation.LoadResult], sizes: list[int]) -> None:
    """Write the table and the plot of the messages and bytes of an idle fleet."""
    click.echo(
        "\n| protocol | gateways | messages per second per member | bytes |\n| --- | --- | --- | --- |"
    )
    curves: Curves = defaultdict(list)
    for result in sorted(results, key=lambda result: result.case):
        protocol, count = result.case
        click.echo(f"| {protocol} | {count} | {result.messages_per_s:.2f} | {result.bytes_per_s:,.0f} |")
        curves[protocol].append((count, result.bytes_per_s))
    for count in sizes:
        messages = (count - 1) * 1000 / MESH_PERIOD_MS
        bytes_per_s = messages * MESH_BYTES
        curves["mesh, calculated"].append((count, bytes_per_s))
        click.echo(f"| mesh, calculated | {count} | {messages:,.0f} | {bytes_per_s:,.0f} |")
    plot("fleet-load.png", "bytes per second per member, idle", curves, logarithmic=True)


def show_partitions(results: Iterable[simulation.PartitionResult]) -> None:
    """Write the table of the times until each half of a partition agrees, and all after its heal."""
    click.echo(
        "\n| protocol | gateways | halves agree (ms) | all agree after heal (ms) |\n| --- | --- | --- | --- |"
    )
    for result in sorted(results, key=lambda result: result.case):
        protocol, count = result.case
        click.echo(f"| {protocol} | {count} | {result.halves_agreed_ms:,.0f} | {result.healed_ms:,.0f} |")


def show_false_deaths(results: Iterable[simulation.FalseDeathResult], sizes: list[int]) -> None:
    """Write the table of live members that are declared dead."""
    click.echo(
        "\n| protocol | gateways | loss | one in ten starved | healthy declared dead per hour | starved |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for result in sorted(results, key=lambda result: result.case):
        protocol, count, loss, starved = result.case
        click.echo(
            f"| {protocol} | {count} | {loss:.0%} | {'yes' if starved else 'no'} "
            f"| {result.healthy_per_hour:.0f} | {result.starved_per_hour:.0f} |"
        )
    for count in sizes:
        for loss in LOSSES[1:]:
            beats = MESH_DEAD_MS / MESH_PERIOD_MS
            per_hour = count * (count - 1) * 3600_000 / MESH_PERIOD_MS * loss**beats * (1 - loss)
            click.echo(
                f"| mesh, calculated | {count} | {loss:.0%} | no | {per_hour:.3g} (each in one view) | |"
            )


def plot(file_name: str, label: str, curves: Curves, logarithmic: bool) -> None:
    """Draw the curves over the number of gateways, and print the file's name."""
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
    """Measure joins, crashes, pauses, a partition and its heal with processes on loopback."""
    click.echo("| processes | joined | crash p50 | max | pause p50 | max | halves agree | heal (s) |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for count in (10, 40):
        result = processes.measure_cluster(count)
        figures = (
            result.joined_s,
            statistics.median(result.crash_s),
            max(result.crash_s),
            statistics.median(result.pause_s),
            max(result.pause_s),
            result.halves_agreed_s,
            result.healed_s,
        )
        click.echo(f"| {count} | " + " | ".join(f"{figure:.2f}" for figure in figures) + " |")


@main.command()
@click.option("--rounds", default=3, show_default=True)
@click.option("--seconds", default=12.0, show_default=True)
def cost(rounds: int, seconds: float) -> None:
    """Measure the CPU per request with membership off and on, in two loaded clusters of ten side by side."""
    costs: dict[bool, list[float]] = {False: [], True: []}
    for number in range(rounds):
        order = (False, True) if number % 2 else (True, False)
        for membership, cpu_us in processes.measure_request_cost(order, seconds).items():
            costs[membership].append(cpu_us)
        click.echo(f"off {costs[False][-1]:.0f}, on {costs[True][-1]:.0f} us of CPU per request")
    off = statistics.mean(costs[False])
    on = statistics.mean(costs[True])
    percent = (on - off) * processes.RATE / 1e4
    click.echo(
        f"mean: off {off:.0f} us, on {on:.0f} us per request at {processes.RATE} per second: "
        f"{percent:.2f}% of a core"
    )


if __name__ == "__main__":
    main()
