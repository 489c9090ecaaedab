"""What gateways lose to a bad host, with what they know told to each other and without, in one run.

    .venv/bin/python benchmarks/judgement.py day   # a bad host, and faults that take no good host out

The decisions are the module's own; hosts, network and clients are simulated (lab/sharesim.py).
"""

from __future__ import annotations

import os
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).parent.parent))

from granitedock.lab.sharesim import Offer, ShareFleet  # noqa: E402
from granitedock.policy.types import Plan  # noqa: E402

PLOTS = Path(__file__).parent.parent / "docs" / "plots"
PLAN = Plan("p", 100, 100_000, 0, 1, 0, 0.5, 0, 0, 0)
SIZES = {4: (8, 30.0), 16: (20, 5.0), 40: (40, 5.0), 200: (50, 2.0)}  # hosts, tasks a second a gateway
SEEDS = {4: 10, 16: 10, 40: 10, 200: 3}
SECONDS = 30


def error(world):
    world.bad["h0"] = "error"


def silent(world):
    world.bad["h0"] = "silent"


def one_wire(world):
    world.unreached.add((0, "h1"))


def own_network(world):
    world.unreached |= {(0, f"h{n}") for n in range(world.hosts)}


def parted(world):
    count = len(world.nodes)
    world.bad["h0"] = "error"
    world.cut(range(count // 2), range(count // 2, count))


def paused(world):
    world.bad["h0"] = "error"
    world.pause(0, 15_000)
    world.later(10_000, world.bad.clear)


FAULTS = {
    "a host errs": error,
    "a host is silent": silent,
    "one gateway has no wire to a host": one_wire,
    "one gateway has none to any host": own_network,
    "a host errs, and the gateways are cut in halves": parted,
    "a host errs for 10 s, one gateway paused over it": paused,
}


def play(what):
    fault, count, judged, seed = what
    hosts, rate = SIZES[count]
    offers = [Offer(key, PLAN, rate * count / 20, count) for key in range(20)]
    world = ShareFleet(
        count, offers, seed, shared=False, viewed=False, hosts=hosts, judged=judged, measured=True
    )
    world.run(6000)
    sent = sum(node.sent_bytes for node in world.nodes)
    FAULTS[fault](world)
    cpu, good_out = time.process_time(), 0
    for _ in range(SECONDS * 4):
        world.run(250)
        if judged:
            good_out += sum(
                name not in world.bad for desk in world.desks.values() for name in desk.judge.ejected
            )
    done, refused = sum(len(offer.done) for offer in offers), sum(offer.refused for offer in offers)
    volume = (sum(node.sent_bytes for node in world.nodes) - sent) / count / SECONDS
    share_out = good_out / (SECONDS * 4) / count / hosts
    cpu = (time.process_time() - cpu) / count / SECONDS
    return what, sum(world.lost.values()), done / (done + refused), share_out, volume, cpu


@click.group()
def main() -> None:
    """Measurements of judgements on hosts."""


@main.command()
@click.option("--most", default=200, show_default=True, help="The largest fleet.")
def day(most: int) -> None:
    """30 s of each fault: forwards lost to the bad host, good hosts out, what is served, and the cost."""
    cases = [
        (fault, count, judged, seed)
        for count in sorted(SIZES, reverse=True)
        if count <= most
        for fault in FAULTS
        for judged in (False, True)
        for seed in range(1, SEEDS[count] + 1)
    ]
    found = {}
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        for what, *figures in pool.map(play, cases):
            found.setdefault(what[:3], []).append(figures)
    heads = (
        "fault",
        "gateways",
        "lost without",
        "with",
        "part",
        "served without",
        "with",
        "good hosts out",
        "bytes",
    )
    click.echo("| " + " | ".join(heads) + " a second | CPU a gateway |")
    click.echo("| --- " * 10 + "|")
    bars = {}
    for fault in FAULTS:
        for count in SIZES:
            if count > most:
                continue
            without, with_ = found[fault, count, False], found[fault, count, True]
            mean = [[statistics.mean(column) for column in zip(*rows)] for rows in (without, with_)]
            part = f"{mean[1][0] / mean[0][0]:.2f}" if mean[0][0] else "-"
            cells = fault, f"{count}", f"{mean[0][0]:.0f}", f"{mean[1][0]:.0f}", part
            cells += f"{mean[0][1]:.4f}", f"{mean[1][1]:.4f}", f"{mean[1][2]:.2%}"
            cells += f"{mean[1][3]:,.0f}", f"{mean[1][4]:.2%}"
            click.echo("| " + " | ".join(cells) + " |")
            if fault == "a host errs":
                bars[count] = mean[0][0], mean[1][0]
    plot(bars)


def plot(bars) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 3.6))
    for at, (without, with_) in enumerate(bars.values()):
        axes.bar(at - 0.2, without, 0.38, color="tab:red", label="each alone" if at == 0 else None)
        axes.bar(at + 0.2, with_, 0.38, color="tab:blue", label="told to each other" if at == 0 else None)
    axes.set_xticks(range(len(bars)), [f"{count} gateways" for count in bars])
    axes.set_ylabel("forwards lost to a host that errs, 30 s")
    axes.legend()
    figure.tight_layout()
    PLOTS.mkdir(exist_ok=True)
    figure.savefig(PLOTS / "judgement-lost.png", dpi=110)
    click.echo("plot: docs/plots/judgement-lost.png")


if __name__ == "__main__":
    main()
