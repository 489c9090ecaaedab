"""What the view of the fleet costs and how soon it knows: by simulation, and with real processes on loopback.

    .venv/bin/python benchmarks/fleet_view.py sim     # 10, 40, 200 and 1,000 gateways; minutes, on all cores
    .venv/bin/python benchmarks/fleet_view.py real    # 10 and 40 processes; needs the machine to itself
    .venv/bin/python benchmarks/fleet_view.py cost    # CPU a task with the view off and on

Tables go to standard output as Markdown, plots to docs/plots/. Heartbeats from each to each (`mesh`) are
reckoned beside it, not simulated: one each 500 ms, dead after 4 s without one.
"""

from __future__ import annotations

import math
import os
import random
import statistics
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).parent.parent))

from granitedock.lab.simulators.membership_simulation import (  # noqa: E402
    MembershipSimulation,
    without_lifeguard,
)
from granitedock.lab.simulators.simulated_network import NetworkConditions  # noqa: E402
from granitedock.membership.member import LIVE_STATES  # noqa: E402
from granitedock.membership.timing import Timing  # noqa: E402

SIZES = (10, 40, 200, 1000)
PACES = {"view": Timing(), "view without Lifeguard's parts": without_lifeguard(Timing())}
MESH_MS, MESH_DEAD_MS, MESH_BYTES = 500.0, 4000.0, 90
PLOTS = Path(__file__).parent.parent / "docs" / "plots"


def at(times: list[float], part: float) -> float:
    return sorted(times)[min(len(times) - 1, math.ceil(part * len(times)) - 1)]


def detection(case: tuple[str, int, bool, int]) -> tuple[str, int, bool, list[float], list[float]]:
    """Crashes (or silences) one after another: the ms until all others know, and until each does."""
    name, count, vanish, crashes = case
    world = MembershipSimulation(count, count + vanish, PACES[name], already_joined=True)
    world.run(3000)
    to_all, to_each = [], []
    for n in range(crashes):
        number = 1 + n % (count - 1)
        knows: dict[int, float] = {}
        began = world.now

        def see(now, node, change, name=f"g{number:04d}", knows=knows, began=began):
            if change.member.name == name and change.member.state not in LIVE_STATES:
                knows.setdefault(node.number, now - began)

        world.on_change = see
        world.crash(number, vanish)
        world.run_until(lambda knows=knows: len(knows) >= count - 1, 30_000, 25.0)
        to_all.append(max(knows.values()) if len(knows) >= count - 1 else 30_000)
        to_each += knows.values()
        world.on_change = lambda *_: None
        world.start(number)
        world.run(5000)
    return name, count, vanish, to_all, to_each


def load(case: tuple[str, int]) -> tuple[str, int, float, float]:
    """Messages and bytes a second a member, while nothing happens."""
    name, count = case
    world = MembershipSimulation(
        count, 3, PACES[name], NetworkConditions(measure_bytes=True), already_joined=True
    )
    world.run(3000)
    for node in world.nodes:
        node.sent = node.sent_bytes = 0
    seconds = 10 if count > 500 else 60
    world.run(seconds * 1000)
    sent, volume = (sum(getattr(node, kind) for node in world.nodes) for kind in ("sent", "sent_bytes"))
    return name, count, sent / count / seconds, volume / count / seconds


def heal(case: tuple[str, int]) -> tuple[str, int, float, float]:
    """A cut into halves for 20 s: ms until both sides have settled, and until all agree after its end."""
    name, count = case
    world = MembershipSimulation(count, 5, PACES[name], already_joined=True)
    world.run(2000)
    half = range(count // 2), range(count // 2, count)
    world.partition(*half)
    settled = world.run_until(lambda: all(world.views_agree(side) for side in half), 20_000, 100.0)
    world.run(20_000 - settled)
    world.heal()
    return name, count, settled, world.run_until(world.views_agree, 60_000, 100.0)


def false_deaths(case: tuple[str, int, float, bool]) -> tuple[str, int, float, bool, float, float]:
    """Healthy members called dead, an hour over the whole fleet, and starved ones; one in ten is starved for
    0.5 to 1.5 s again and again, where that is asked for. A death counts once, however many hold it."""
    name, count, loss, starved = case
    chance = random.Random(7)
    world = MembershipSimulation(count, 11, PACES[name], NetworkConditions(loss=loss), already_joined=True)
    called: dict[tuple[str, int], None] = {}

    def see(now, node, change):
        if change.member.state not in LIVE_STATES:
            called[(change.member.name, change.member.refutations)] = None

    world.on_change = see
    slow = set(range(0, count, 10)) if starved else set()
    seconds = {10: 1800, 40: 900, 200: 120, 1000: 15}[count]
    for _ in range(seconds):
        for n in slow:
            if chance.random() < 0.3:
                world.pause(n, chance.uniform(500, 1500))
        world.run(1000)
    healthy = sum(int(name[1:]) not in slow for name, _ in called)
    return name, count, loss, starved, healthy * 3600 / seconds, (len(called) - healthy) * 3600 / seconds


def mesh_detection(count: int, crashes: int, chance: random.Random) -> list[float]:
    """Without loss: each of the others last heard some part of a period ago, all the same part."""
    return [MESH_DEAD_MS - chance.random() * MESH_MS + 2.0 for _ in range(crashes)]


@click.group()
def main() -> None:
    """Measurements of the view of the fleet."""


@main.command()
@click.option("--most", default=1000, show_default=True, help="The largest fleet.")
def sim(most: int) -> None:
    """By simulation on a simulated clock: times, load, heals, false deaths."""
    sizes = [size for size in SIZES if size <= most]
    crashes = {10: 60, 40: 60, 200: 30, 1000: 4}
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        heals = pool.map(heal, [(name, size) for size in reversed(sizes) for name in PACES if size <= 200])
        cases = [(n, s, v, crashes[s]) for s in reversed(sizes) for n in PACES for v in (False, True)]
        found = pool.map(detection, cases)
        loads = pool.map(load, [(name, size) for size in reversed(sizes) for name in PACES])
        falses = pool.map(
            false_deaths,
            [
                (name, size, loss, starved)
                for size in reversed(sizes)
                for name in PACES
                for loss in (0.0, 0.05, 0.2)
                for starved in (False, True)
                if size <= 200 or loss < 0.2  # a thousand at 20% loss take an hour to simulate
            ],
        )
        found, loads, heals, falses = list(found), list(loads), list(heals), list(falses)
    click.echo("\n| machine | gateways | end | known to all p50 | p99 | max | to one p50 | p99 (ms) |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- |")
    curves = {}
    for name, count, vanish, to_all, to_each in sorted(found, key=lambda row: (row[0], row[1], row[2])):
        end = "silence" if vanish else "crash"
        figures = (
            statistics.median(to_all),
            at(to_all, 0.99),
            max(to_all),
            statistics.median(to_each),
            at(to_each, 0.99),
        )
        click.echo(
            f"| {name} | {count} | {end} | " + " | ".join(f"{figure:,.0f}" for figure in figures) + " |"
        )
        curves.setdefault(f"{name}, {end}", []).append((count, max(to_all)))
    chance = random.Random(1)
    for count in sizes:
        times = mesh_detection(count, 60, chance)
        curves.setdefault("mesh, reckoned", []).append((count, max(times)))
        figures = statistics.median(times), at(times, 0.99), max(times)
        row = " | ".join(f"{figure:,.0f}" for figure in figures)
        click.echo(f"| mesh, reckoned | {count} | either | {row} | | |")
    plot("fleet-detection.png", "known to all, worst (ms)", curves, False)
    click.echo("\n| machine | gateways | messages a second a member | bytes |\n| --- | --- | --- | --- |")
    curves = {}
    for name, count, messages, volume in sorted(loads, key=lambda row: (row[0], row[1])):
        click.echo(f"| {name} | {count} | {messages:.2f} | {volume:,.0f} |")
        curves.setdefault(name, []).append((count, volume))
    for count in sizes:
        messages = (count - 1) * 1000 / MESH_MS
        curves.setdefault("mesh, reckoned", []).append((count, messages * MESH_BYTES))
        click.echo(f"| mesh, reckoned | {count} | {messages:,.0f} | {messages * MESH_BYTES:,.0f} |")
    plot("fleet-load.png", "bytes a second a member, at rest", curves, True)
    click.echo(
        "\n| machine | gateways | cut in halves settled (ms) | heal settled (ms) |\n| --- | --- | --- | --- |"
    )
    for name, count, settled, healed in sorted(heals, key=lambda row: (row[0], row[1])):
        click.echo(f"| {name} | {count} | {settled:,.0f} | {healed:,.0f} |")
    click.echo(
        "\n| machine | gateways | loss | one in ten starved | healthy called dead an hour | starved ones |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for name, count, loss, starved, healthy, others in sorted(
        falses, key=lambda row: (row[0], row[1], row[2], row[3])
    ):
        click.echo(
            f"| {name} | {count} | {loss:.0%} | {'yes' if starved else 'no'} | {healthy:.0f} | {others:.0f} |"
        )
    for count in sizes:
        for loss in (0.05, 0.2):
            beats = MESH_DEAD_MS / MESH_MS
            hour = count * (count - 1) * 3600_000 / MESH_MS * loss**beats * (1 - loss)
            click.echo(f"| mesh, reckoned | {count} | {loss:.0%} | no | {hour:.3g} (in one view each) | |")


def plot(file: str, label: str, curves: dict[str, list[tuple[int, float]]], log: bool) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name, points in curves.items():
        axes.plot(*zip(*sorted(points)), marker="o", label=name)
    axes.set_xscale("log")
    if log:
        axes.set_yscale("log")
    else:
        axes.set_ylim(bottom=0)
    axes.set_xlabel("gateways")
    axes.set_ylabel(label)
    axes.legend(fontsize=8)
    axes.grid(alpha=0.3)
    figure.tight_layout()
    PLOTS.mkdir(exist_ok=True)
    figure.savefig(PLOTS / file, dpi=110)
    click.echo(f"plot: docs/plots/{file}")


WORLD = """
seed = 5
length_s = 60
[fleet]
gateways = %d
talk = true
view = %s
[[plans]]
rate = 1000000
burst = 1000000
[[fleet.zones]]
name = "east"
hosts = 4
slots = 1000
service = { kind = "fixed", mean_ms = 1 }
[[clients]]
customer = 161
product = "read"
plan = "p"
rate = %d
spread = %d
left_ms = 2000
"""


@main.command()
def real() -> None:
    """Real processes on loopback: joins, crashes, silences, a cut and its heal, as told from the outside."""
    from granitedock.lab.cluster.cluster import GatewayCluster
    from granitedock.lab.scenario import parse

    click.echo("| processes | joined | crash p50 | max | silence p50 | max | halves settled | heal (s) |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for count in (10, 40):
        with (
            tempfile.TemporaryDirectory() as folder,
            GatewayCluster(parse(WORLD % (count, "true", 1, 1)), Path(folder)) as rig,
        ):
            rig.wait_until_ready(within_s=60)
            joined = rig.wait_for_agreement(range(count), 30)
            crash, silence = [], []
            for n in range(1, 6):
                rest = set(range(count)) - {n}
                rig.kill(n)
                crash.append(rig.wait_for_agreement(rest, 30))
                rig.start(n)
                rig.wait_for_agreement(range(count), 30)
                rig.pause(n)
                silence.append(rig.wait_for_agreement(rest, 30))
                rig.resume(n)
                rig.wait_for_agreement(range(count), 30)
            half = range(count // 2), range(count // 2, count)
            rig.cut(*half)
            settled = max(rig.wait_for_agreement(side, 60) for side in half)
            rig.heal()
            healed = rig.wait_for_agreement(range(count), 60)
        figures = (
            joined,
            statistics.median(crash),
            max(crash),
            statistics.median(silence),
            max(silence),
            settled,
            healed,
        )
        click.echo(f"| {count} | " + " | ".join(f"{figure:.2f}" for figure in figures) + " |")


@main.command()
@click.option("--rounds", default=3, show_default=True)
@click.option("--seconds", default=12.0, show_default=True)
def cost(rounds: int, seconds: float) -> None:
    """CPU a task at a gateway of ten with the view off, and of ten with it on, loaded side by side."""
    from granitedock.lab.cluster.cluster import GatewayCluster
    from granitedock.lab.load.verification import cluster_load
    from granitedock.lab.scenario import parse

    spent: dict[str, list[float]] = {"false": [], "true": []}
    for number in range(rounds):
        views = ("false", "true") if number % 2 else ("true", "false")
        with tempfile.TemporaryDirectory() as one, tempfile.TemporaryDirectory() as other:
            worlds = [parse(WORLD % (10, view, 250, 1)) for view in views]
            clusters = GatewayCluster(worlds[0], Path(one)), GatewayCluster(worlds[1], Path(other))
            with clusters[0] as first, clusters[1] as second:
                rigs = dict(zip(views, (first, second), strict=True))
                loads = {}
                for view, rig in rigs.items():
                    rig.wait_until_ready()
                    loads[view] = cluster_load(rig)
                    loads[view].start()
                time.sleep(4)
                pids = {view: rig.gateways[0].process.pid for view, rig in rigs.items()}
                before = {view: (cpu_s(pids[view]), len(loads[view].records)) for view in views}
                time.sleep(seconds)
                for view in views:
                    used, tasks = cpu_s(pids[view]), len(loads[view].records)
                    used, tasks = used - before[view][0], tasks - before[view][1]
                    spent[view].append(used / tasks * 1e6)
                for load in loads.values():
                    load.stop()
        click.echo(f"off {spent['false'][-1]:.0f}, on {spent['true'][-1]:.0f} us of CPU a task")
    off, on = (statistics.mean(spent[view]) for view in ("false", "true"))
    part = (on - off) * 250 / 1e4
    click.echo(f"mean: off {off:.0f} us, on {on:.0f} us a task at 250 a second: {part:.2f}% of a core")


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


if __name__ == "__main__":
    main()
