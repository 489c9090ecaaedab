"""What the load tool itself bears, against gateways that answer everything at once.

    .venv/bin/python benchmarks/load_tool.py ceiling   # offered more and more: what leaves in time
    .venv/bin/python benchmarks/load_tool.py cost      # 2,000 tasks a second over 1 to 8 gateways

The stand-in gateways are processes that answer each task with a value; nothing else is measured. Late is how
long after its drawn time a task left, so that a tool that cannot keep up shows it. Tables are Markdown.
"""

from __future__ import annotations

import multiprocessing
import sys
import time
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).parent.parent))

from granitedock.lab.load.generator import LoadGenerator  # noqa: E402
from granitedock.lab.load.verification import violations  # noqa: E402
from granitedock.lab.scenario import parse  # noqa: E402

SECONDS = 5.0


def echo(said) -> None:
    """A gateway that answers at once."""
    from twisted.internet import reactor
    from twisted.internet.protocol import Factory

    from granitedock.service.resp import RespReceiver

    class Link(RespReceiver):
        def __init__(self) -> None:
            super().__init__(1024, 64 * 1024, 68 * 1024, 64, 4)

        def value_received(self, value, parts) -> None:
            self.send(b"$2\r\nok\r\n")

    port = reactor.listenTCP(0, Factory.forProtocol(Link), interface="127.0.0.1")
    said.put(f"127.0.0.1:{port.getHost().port}")
    reactor.run()


def scenario(rate: float, gateways: int):
    clients = "".join(
        f'[[clients]]\ncustomer = {n}\nproduct = "read"\nplan = "p"\nrate = {rate / 4}\n'
        f"spread = {gateways}\nleft_ms = 1000\n"
        for n in range(4)
    )
    hosts = '[[fleet.zones]]\nname = "east"\nhosts = 1\n'
    return parse(f"length_s = {SECONDS}\n[fleet]\ngateways = {gateways}\n{hosts}{clients}")


def measured(rate: float, gateways: int):
    """(tasks left a second, of those offered, p99 of the answer in ms, CPU of this process, broken)."""
    context = multiprocessing.get_context("spawn")
    said = context.Queue()
    doubles = [context.Process(target=echo, args=(said,), daemon=True) for _ in range(gateways)]
    for double in doubles:
        double.start()
    try:
        load = LoadGenerator(scenario(rate, gateways), [said.get(timeout=20) for _ in doubles])
        load.start()
        cpu, began = time.process_time(), time.monotonic()
        time.sleep(SECONDS)
        cpu, lasted = time.process_time() - cpu, time.monotonic() - began
        left = len(load.records)
        load.stop()
        waits = sorted(row.latency_ms for row in load.records if row.outcome == "done")
        return (
            left / lasted,
            left / lasted / rate,
            waits[int(len(waits) * 0.99)],
            cpu / lasted,
            len(violations(load)),
        )
    finally:
        for double in doubles:
            double.terminate()
            double.join()


@click.group()
def main() -> None:
    """Measurements of the load tool."""


HEADS = "offered a second | left a second | part | p99, ms | CPU of the tool | rule 1 broken |"


@main.command()
def ceiling() -> None:
    """One gateway, more and more tasks."""
    click.echo(f"| {HEADS}\n| --- | --- | --- | --- | --- | --- |")
    for rate in (1000, 2000, 4000, 5000, 6000, 8000, 10_000, 12_000):
        left, part, p99, cpu, wrong = measured(rate, 1)
        click.echo(f"| {rate:,} | {left:,.0f} | {part:.2f} | {p99:.1f} | {cpu:.0%} | {wrong} |")


@main.command()
def cost() -> None:
    """The same tasks over more gateways."""
    click.echo(f"| gateways | {HEADS}\n| --- | --- | --- | --- | --- | --- | --- |")
    for gateways in (1, 2, 4, 8):
        left, part, p99, cpu, wrong = measured(2000, gateways)
        click.echo(f"| {gateways} | 2,000 | {left:,.0f} | {part:.2f} | {p99:.1f} | {cpu:.0%} | {wrong} |")


if __name__ == "__main__":
    main()
