"""What is let in beside an allowance when a part of the fleet hears nothing, with shared counts and without.

    .venv/bin/python benchmarks/shared_counts.py faults   # 2 to 16 gateways, each kind of fault, 20 seeds
    .venv/bin/python benchmarks/shared_counts.py scale    # 40 and 200 gateways with 10,000 customers

The decisions are the module's own; counter, network, hosts and clients are simulated (lab/sharesim.py).
`before` is the same program without view and shared counts, in the same run. Tables are Markdown.
"""

from __future__ import annotations

import os
import statistics
import sys
import time
import tracemalloc
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).parent.parent))

from granitedock.lab.sharesim import Offer, ShareFleet, admitted, worst_over  # noqa: E402
from granitedock.policy.types import Plan  # noqa: E402
from granitedock.quota_sharing.uncounted_usage import UncountedUsage  # noqa: E402

PLOTS = Path(__file__).parent.parent / "docs" / "plots"
RATE, BURST = 40.0, 40.0
PLAN = Plan("p", RATE / 1000, BURST, 0, 1, 0, 0.5, 0, 0, 0)
SEEDS = 20


def half(world):
    count = len(world.nodes)
    return range(count // 2, count), range(count // 2)


def counter_half(world):
    world.counter_cut(*half(world)[0])


def counter_most(world):
    world.counter_cut(*range(max(1, len(world.nodes) // 4), len(world.nodes)))


def counter_all(world):
    world.counter_cut(*range(len(world.nodes)))


def both_half(world):
    world.counter_cut(*half(world)[0])
    world.cut(*half(world))


def both_one(world):
    last = len(world.nodes) - 1
    world.counter_cut(last)
    world.cut([last], range(last))


def apart(world):
    world.cut(*half(world))


def one_way(world):
    world.counter_cut(*half(world)[0])
    world.cut([half(world)[0][0]], [0], both=False)


def killed(world):
    world.counter_cut(*range(len(world.nodes)))
    for n in half(world)[0]:
        world.crash(n)


def restarted(world):
    world.counter_cut(*half(world)[0])
    world.cut(*half(world))
    for n in half(world)[0]:
        world.crash(n)
        world.start(n, tuple(node.address for node in world.nodes))


FAULTS = {
    "none": lambda world: None,
    "half cut off from the counter": counter_half,
    "three quarters cut off from the counter": counter_most,
    "all cut off from the counter": counter_all,
    "half cut off from counter and others": both_half,
    "one cut off from counter and others": both_one,
    "halves cut off from each other only": apart,
    "half cut off from the counter, one wire one-way": one_way,
    "all cut off from the counter, half killed": killed,
    "half restarted while cut off from both": restarted,
}


def case(what):
    """(fault, gateways, with) and the parts of the allowance: in the 10 s after the fault, the minute after
    those, and the worst minute of rate x time + burst."""
    fault, count, on, seed = what
    offer = Offer(161, PLAN, 4 * RATE, count)
    world = ShareFleet(count, [offer], seed, shared=on, viewed=on, loss=0.01)
    world.run(6000)
    began = world.now
    FAULTS[fault](world)
    world.run(70_000)
    settled = began + 10_000
    transient = admitted(offer, began, settled) / (RATE * 10)
    after = admitted(offer, settled, world.now) / (RATE * (world.now - settled) / 1000)
    return what, transient, after, worst_over(offer, began, world.now, 60_000)


@click.group()
def main() -> None:
    """Measurements of shared counts."""


@main.command()
def faults() -> None:
    """Each kind of fault, 20 seeds: what is done of the allowance."""
    cases = [
        (fault, count, on, seed)
        for count in (16, 8, 4, 2)
        for fault in FAULTS
        for on in (True, False)
        for seed in range(1, SEEDS + 1)
    ]
    found = {}
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        for what, *parts in pool.map(case, cases, chunksize=4):
            found.setdefault(what[:3], []).append(parts)
    click.echo(
        "| fault | gateways | before: mean, worst | now: mean, least, most | worst minute before | now |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for fault in FAULTS:
        for count in (2, 4, 8, 16):
            was, now = found[fault, count, False], found[fault, count, True]
            settled = [parts[1] for parts in now]
            before = [parts[1] for parts in was]
            click.echo(
                f"| {fault} | {count} | {statistics.mean(before):.2f}, {max(before):.2f} "
                f"| {statistics.mean(settled):.3f}, {min(settled):.3f}, {max(settled):.3f} "
                f"| {max(parts[2] for parts in was):.3f} | {max(parts[2] for parts in now):.3f} |"
            )
    plot(found)


def plot(found) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for at, fault in enumerate(FAULTS):
        for on, shift, colour in ((False, 0.2, "tab:red"), (True, -0.2, "tab:blue")):
            parts = [parts[1] for parts in found[fault, 4, on]]
            mean = statistics.mean(parts)
            spread = [[mean - min(parts)], [max(parts) - mean]]
            label = ("now" if on else "before") if at == 0 else None
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
    figure.savefig(PLOTS / "shared-faults.png", dpi=110)
    click.echo("plot: docs/plots/shared-faults.png")


def bytes_a_row() -> float:
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
    heads = (
        "gateways",
        "customers",
        "done, uncounted",
        "rows held, most",
        "memory",
        "bytes a second a gateway",
    )
    click.echo("| " + " | ".join(heads) + " | merges | CPU a gateway, simulated |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- |")
    each = bytes_a_row()
    for count in (40, 200):
        plan = Plan("p", 0.0005, 5, 0, 1, 0, 0.5, 0, 0, 0)
        offers = [Offer(key, plan, 0.2, 4, key % count) for key in range(customers)]
        world = ShareFleet(count, offers, 3, measured=True)
        world.run(5000)
        world.counter_cut(*half(world)[0])
        world.run(5000)
        for node in world.nodes:
            node.sent_bytes = 0
        made = sum(desk.shared.usage.change_count for desk in world.desks.values())
        began, cpu = world.now, time.process_time()
        world.run(10_000)
        seconds = (world.now - began) / 1000
        held = max(desk.shared.usage.row_count for desk in world.desks.values())
        volume = sum(node.sent_bytes for node in world.nodes) / count / seconds
        merges = (
            (sum(desk.shared.usage.change_count for desk in world.desks.values()) - made) / count / seconds
        )
        done = sum(admitted(offer, began, world.now) for offer in offers)
        uncounted = sum(
            sum(1 for at, by, _ in offer.done if at >= began and by in world.counter_cuts) for offer in offers
        )
        cpu = (time.process_time() - cpu) / count / seconds
        cells = (
            f"{count}",
            f"{customers:,}",
            f"{done / seconds:,.0f} a second, {uncounted / max(1, done):.0%}",
        )
        cells += f"{held:,}", f"{held * each / 1e6:.1f} MB", f"{volume:,.0f}"
        cells += f"{merges:,.0f} a second", f"{cpu:.1%}"
        click.echo("| " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
