"""What the load generator itself bears, against gateways that answer everything at once.

    .venv/bin/python benchmarks/load_tool.py ceiling   # offered more and more: what is sent in time
    .venv/bin/python benchmarks/load_tool.py cost      # 2,000 requests a second over 1 to 8 gateways

The emulated gateways are processes that answer each request with a value; nothing else is measured. Tables go
to standard output as Markdown.
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
HEADS = "offered a second | left a second | part | p99, ms | CPU of the tool | rule 1 broken |"


@dataclass(frozen=True, slots=True)
class LoadResult:
    """One load: requests sent a second, and as a part of the offered ones; p99 of the answers, ms; the part
    of a core that the generator used; violations of rule 1."""

    sent_a_second: float
    sent_share: float
    p99_ms: float
    core_share: float
    violations: int

    def cells(self) -> str:
        """The columns behind the offered rate."""
        return (
            f"{self.sent_a_second:,.0f} | {self.sent_share:.2f} | {self.p99_ms:.1f} | "
            f"{self.core_share:.0%} | {self.violations}"
        )


def run_gateway(addresses: Queue[str]) -> None:
    """A gateway that answers at once; puts its address into the queue and runs until it is terminated."""
    from twisted.internet.protocol import Factory

    from granitedock.lab.reactor import REACTOR
    from granitedock.service.resp import RespReceiver

    class ImmediateAnswer(RespReceiver):
        """Answers each value."""

        def __init__(self) -> None:
            super().__init__(1024, 64 * 1024, 68 * 1024, 64, 4)

        def value_received(self, _value: object, _parts: object) -> None:
            """Answer."""
            self.send(b"$2\r\nok\r\n")

    port = REACTOR.listenTCP(0, Factory.forProtocol(ImmediateAnswer), interface="127.0.0.1")
    addresses.put(f"127.0.0.1:{port.getHost().port}")
    REACTOR.run()


@contextmanager
def gateway_processes(count: int) -> Iterator[list[str]]:
    """Run so many emulated gateways until the block ends; their addresses."""
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
    """So many requests a second of four customers, each over all gateways."""
    clients = "".join(
        f'[[clients]]\ncustomer = {customer}\nproduct = "read"\nplan = "p"\nrate = {rate / CUSTOMERS}\n'
        f"spread = {gateways}\nleft_ms = 1000\n"
        for customer in range(CUSTOMERS)
    )
    hosts = '[[fleet.zones]]\nname = "east"\nhosts = 1\n'
    return parse(f"length_s = {SECONDS}\n[fleet]\ngateways = {gateways}\n{hosts}{clients}")


def measure(rate: float, gateways: int) -> LoadResult:
    """One load of `SECONDS`."""
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
            sent_a_second=sent / elapsed_s,
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
    """One gateway, more and more requests."""
    click.echo(f"| {HEADS}\n| --- | --- | --- | --- | --- | --- |")
    for rate in CEILING_RATES:
        click.echo(f"| {rate:,} | {measure(rate, 1).cells()} |")


@main.command()
def cost() -> None:
    """The same requests over more gateways."""
    click.echo(f"| gateways | {HEADS}\n| --- | --- | --- | --- | --- | --- | --- |")
    for gateways in COST_GATEWAYS:
        click.echo(f"| {gateways} | {COST_RATE:,} | {measure(COST_RATE, gateways).cells()} |")


if __name__ == "__main__":
    main()
