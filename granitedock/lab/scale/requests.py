"""What one gateway pays per request, and what it adds to the time of an answer: a real process on loopback.

The gateway, the emulated hosts, the counter and discovery are processes of their own; the load comes from the
measuring process. The same load goes to the hosts directly for the time that the gateway adds.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from granitedock.commands.queries import query_gateway
from granitedock.lab.load.generator import LoadGenerator
from granitedock.lab.load.request_record import RequestRecord
from granitedock.lab.scale.errors import ScaleError
from granitedock.lab.scale.platform import platform_settings
from granitedock.lab.scale.probe import memory_mb, process_cpu_s, quantile
from granitedock.lab.scenario import Scenario, parse

ZONE_HOSTS = 500  # of one zone in a scenario at most
SERVICE_MS = 2.0
CUSTOMERS = 40
SETTLE_S = 3.0
START_S = 30.0
LISTEN = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class RequestCost:
    """One gateway at `rate` requests a second: its processor time a request (us), the answers' times (ms),
    and those of the same load on the hosts directly; connections to hosts and MiB held at the end."""

    hosts: int
    counting: bool
    rate: float
    served: int
    failed: int
    cpu_us: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    direct_p50_ms: float
    direct_p99_ms: float
    direct_p999_ms: float
    host_connections: int
    memory_mb: float


def zones(hosts: int) -> list[str]:
    """So many hosts of a fixed time, in zones of a scenario's file."""
    lines = []
    for zone, first in enumerate(range(0, hosts, ZONE_HOSTS)):
        lines.append(f'[[fleet.zones]]\nname = "z{zone}"\nhosts = {min(ZONE_HOSTS, hosts - first)}')
        lines.append(f'service = {{ kind = "fixed", mean_ms = {SERVICE_MS} }}')
    return lines


def scenario(hosts: int, rate: float, gateways: int, seconds: float) -> Scenario:
    """A world of so many hosts, and customers whose plan never refuses."""
    lines = [f"length_s = {seconds}\n[fleet]\ngateways = {gateways}"]
    lines.append('[[plans]]\nname = "p"\nrate = 1000000\nburst = 1000000')
    lines += zones(hosts)
    for customer in range(CUSTOMERS):
        lines.append(f'[[clients]]\ncustomer = {customer}\nproduct = "read"\nplan = "p"')
        lines.append(f"rate = {rate / CUSTOMERS}\nspread = {gateways}")
    return parse("\n".join(lines))


@contextmanager
def process(*words: str) -> Iterator[tuple[subprocess.Popen, Any]]:
    """A stand-in's process and what it said of itself; ended with the block."""
    made = subprocess.Popen([sys.executable, "-m", *words], stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    try:
        said = made.stdout.readline()
        if not said:
            raise ScaleError(f"{words[0]} did not start: {made.stderr.read()[-500:].decode()}")
        yield made, orjson.loads(said)
    finally:
        made.kill()
        made.wait()
        made.stdout.close()
        made.stderr.close()


@contextmanager
def gateway(folder: Path, told: dict[str, Any]) -> Iterator[subprocess.Popen]:
    """One real gateway process that answers PING, ended with the block."""
    path = folder / "gateway.json"
    path.write_bytes(orjson.dumps(told))
    with open(folder / "gateway.log", "wb") as log:
        made = subprocess.Popen(
            [sys.executable, "-m", "granitedock", "serve", "--told", str(path)], stdout=log, stderr=log
        )
    try:
        wait_ready(made, told["listen"])
        yield made
    finally:
        made.kill()
        made.wait()


def figures(address: str) -> dict[str, int]:
    """The counters of a running gateway."""
    lines = query_gateway(address, b"INFO", 3.0).decode().split()
    return {name: int(value) for name, _, value in (line.partition(":") for line in lines)}


def wait_ready(made: subprocess.Popen, address: str) -> None:
    """Until it has taken a list in. Raises ScaleError."""
    ends = time.monotonic() + START_S
    while time.monotonic() < ends and made.poll() is None:
        try:
            if figures(address).get("lists"):
                return
        except Exception:  # noqa: BLE001  a process that does not listen yet
            pass
        time.sleep(0.05)
    raise ScaleError(f"the gateway at {address} did not get ready in {START_S:g} s")


def free_port() -> int:
    """A port of loopback that nobody listened at just now."""
    import socket

    with socket.create_server((LISTEN, 0)) as server:
        return server.getsockname()[1]


def played(world: Scenario, addresses: list[str], seconds: float) -> tuple[list[RequestRecord], float]:
    """The load of a scenario on these addresses: its rows after it has settled, and their sum of seconds."""
    load = LoadGenerator(world, addresses)
    load.start()
    time.sleep(seconds)
    return load.stop(), seconds


def times(rows: list[RequestRecord], from_s: float) -> list[float]:
    """The answers' times in ms, of the requests sent from then on and served."""
    return [row.latency_ms for row in rows if row.outcome == "done" and row.sent_at_s >= from_s]


def measure(hosts: int, counting: bool, rate: float, seconds: float) -> RequestCost:
    """One gateway before so many hosts, at `rate` requests a second."""
    world = scenario(hosts, rate, 1, SETTLE_S + seconds)
    with tempfile.TemporaryDirectory() as made:
        folder = Path(made)
        scene, list_file = folder / "scenario.toml", folder / "hosts.json"
        scene.write_text(worded(hosts))
        with (
            process("granitedock.lab.emulators.hosts", str(scene)) as (_, addresses),
            process("granitedock.lab.emulators.counter", str(scene)) as (_, counter),
        ):
            list_file.write_bytes(orjson.dumps(addresses))
            with process("granitedock.lab.emulators.discovery", str(scene), str(list_file)) as (_, discovery):
                told = {
                    "name": "g0",
                    "listen": f"{LISTEN}:{free_port()}",
                    "discovery": discovery,
                    "counter": counter,
                    "seed": "07",
                    "settings": platform_settings(counting=counting),
                }
                with gateway(folder, told) as running:
                    return costs(world, running, told["listen"], list(addresses.values()), counting, seconds)


def worded(hosts: int) -> str:
    """The same hosts as a scenario file, for the stand-ins' processes."""
    client = '[[clients]]\ncustomer = 1\nproduct = "read"\nplan = "p"\nrate = 1'
    return "\n".join(["[fleet]\ngateways = 1", *zones(hosts), client])


def costs(
    world: Scenario,
    running: subprocess.Popen,
    address: str,
    hosts: list[str],
    counting: bool,
    seconds: float,
) -> RequestCost:
    """The load through the gateway, then on some of the hosts directly."""
    load = LoadGenerator(world, [address])
    load.start()
    time.sleep(SETTLE_S)
    cpu_before = process_cpu_s(running.pid)
    time.sleep(seconds)
    cpu_s = process_cpu_s(running.pid) - cpu_before
    held = figures(address)
    memory = memory_mb(running.pid)
    rows = [row for row in load.stop() if row.sent_at_s >= SETTLE_S]
    through = times(rows, SETTLE_S)
    few = hosts[: min(len(hosts), 20)]
    rate = sum(clients.rate for clients in world.clients)
    direct_rows, _ = played(scenario(1, rate, len(few), seconds + 1.0), few, seconds + 1.0)
    direct = times(direct_rows, 1.0)
    return RequestCost(
        hosts=len(hosts),
        counting=counting,
        rate=rate,
        served=len(through),
        failed=len(rows) - len(through),
        cpu_us=1e6 * cpu_s / max(1, len(rows)),
        p50_ms=quantile(through, 0.5),
        p99_ms=quantile(through, 0.99),
        p999_ms=quantile(through, 0.999),
        direct_p50_ms=quantile(direct, 0.5),
        direct_p99_ms=quantile(direct, 0.99),
        direct_p999_ms=quantile(direct, 0.999),
        host_connections=held["host_links_now"],
        memory_mb=memory,
    )
