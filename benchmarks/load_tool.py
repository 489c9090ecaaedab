"""Measures the capacity of the load generator itself, against gateways that answer at once.

    .venv/bin/python benchmarks/load_tool.py ceiling   # increasing rates: the share that is sent in time
    .venv/bin/python benchmarks/load_tool.py cost      # 2,000 requests per second over 1 to 8 gateways

The emulated gateways are processes that answer each request with a value; nothing else is measured. Tables
are written to standard output as Markdown.
"""

from __future__ import annotations

import multiprocessing
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import click

sys.path.insert(0, str(Path(__file__).parent.parent))

from granitedock.lab.load.generator import LoadGenerator  # noqa: E402 - the path is set before
from granitedock.lab.load.observations import RequestOutcome  # noqa: E402 - the path is set before
from granitedock.lab.load.verification import violations  # noqa: E402 - the path is set before
from granitedock.lab.scenario import Scenario, parse  # noqa: E402 - the path is set before

if TYPE_CHECKING:
    from multiprocessing.queues import Queue

SECONDS = 5.0
START_S = 20.0
CUSTOMERS = 4
CEILING_RATES = (1000, 2000, 4000, 5000, 6000, 8000, 10_000, 12_000)
COST_RATE = 2000
COST_GATEWAYS = (1, 2, 4, 8)
HEADINGS = (
    "offered per second | sent per second | share | p99, ms | CPU of the generator | violations of rule 1 |"
)


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The result of one load.

    `sent_share` is the share of the offered requests that were sent, `p99_ms` the 99th percentile of the
    latencies, `core_share` the share of a core that the generator used, and `violations` the number of
    violations of rule 1.
    """

    sent_per_s: float
    sent_share: float
    p99_ms: float
    core_share: float
    violations: int

    def cells(self) -> str:
        """Return the columns after the offered rate."""
        return (
            f"{self.sent_per_s:,.0f} | {self.sent_share:.2f} | {self.p99_ms:.1f} | "
            f"{self.core_share:.0%} | {self.violations}"
        )


def run_gateway(addresses: Queue[str]) -> None:
    """Run a gateway that answers at once until it is terminated, and put its address into the queue."""
    from twisted.internet.protocol import Factory

    from granitedock.lab.reactor import REACTOR
    from granitedock.service.resp_receiver import RespReceiver

    class ImmediateAnswer(RespReceiver):
        """Answers each request at once."""

        def __init__(self) -> None:
            super().__init__(1024, 64 * 1024, 68 * 1024, 64, 4)

        def value_received(self, _value: object, _parts: object) -> None:
            """Answer a request."""
            self.send(b"$2\r\nok\r\n")

    port = REACTOR.listenTCP(0, Factory.forProtocol(ImmediateAnswer), interface="127.0.0.1")
    addresses.put(f"127.0.0.1:{port.getHost().port}")
    REACTOR.run()


@contextmanager
def gateway_processes(count: int) -> Iterator[list[str]]:
    """Run `count` emulated gateways until the block ends, and yield their addresses."""
    context = multiprocessing.get_context("spawn")
    addresses: Queue[str] = context.Queue()
    processes = [context.Process(target=run_gateway, args=(addresses,), daemon=True) for _ in range(count)]
    for process in processes:
        process.start()
    try:
        yield [addresses.get(timeout=START_S) for _ in processes]
    finally:
        for process in processes:
            process.terminate()
            process.join()


def load_scenario(rate: float, gateways: int) -> Scenario:
    """Return a scenario of `rate` requests per second of four customers, each using all gateways."""
    clients = "".join(
        f'[[clients]]\ncustomer = {customer}\nproduct = "read"\nplan = "p"\nrate = {rate / CUSTOMERS}\n'
        f"spread = {gateways}\nleft_ms = 1000\n"
        for customer in range(CUSTOMERS)
    )
    hosts = '[[fleet.zones]]\nname = "east"\nhosts = 1\n'
    return parse(f"length_s = {SECONDS}\n[fleet]\ngateways = {gateways}\n{hosts}{clients}")


def measure(rate: float, gateways: int) -> LoadResult:
    """Run one load for `SECONDS`, and return its result."""
    with gateway_processes(gateways) as addresses:
        load = LoadGenerator(load_scenario(rate, gateways), addresses)
        load.start()
        cpu_before = time.process_time()
        started_at = time.monotonic()
        time.sleep(SECONDS)
        cpu_s = time.process_time() - cpu_before
        elapsed_s = time.monotonic() - started_at
        sent = len(load.records)
        load.stop()
        latencies = sorted(
            record.latency_ms for record in load.records if record.outcome == RequestOutcome.DONE
        )
        return LoadResult(
            sent_per_s=sent / elapsed_s,
            sent_share=sent / elapsed_s / rate,
            p99_ms=latencies[int(len(latencies) * 0.99)],
            core_share=cpu_s / elapsed_s,
            violations=len(violations(load)),
        )


@click.group()
def main() -> None:
    """Measurements of the load generator."""


@main.command()
def ceiling() -> None:
    """Measure one gateway at increasing rates."""
    click.echo(f"| {HEADINGS}\n| --- | --- | --- | --- | --- | --- |")
    for rate in CEILING_RATES:
        click.echo(f"| {rate:,} | {measure(rate, 1).cells()} |")


@main.command()
def cost() -> None:
    """Measure the same rate over increasing numbers of gateways."""
    click.echo(f"| gateways | {HEADINGS}\n| --- | --- | --- | --- | --- | --- | --- |")
    for gateways in COST_GATEWAYS:
        click.echo(f"| {gateways} | {COST_RATE:,} | {measure(COST_RATE, gateways).cells()} |")


if __name__ == "__main__":
    main()
