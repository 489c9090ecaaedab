"""Run one real gateway process with emulated hosts, counter and discovery, each in its own process."""

from __future__ import annotations

import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import orjson

from granitedock.gateway_query import query_gateway
from granitedock.lab.emulators.process import LOOPBACK
from granitedock.lab.scale.child_processes import emulator_process, stop
from granitedock.lab.scale.errors import MeasurementTimeoutError
from granitedock.lab.scale.load_scenarios import emulator_scenario_text
from granitedock.lab.scale.platform import platform_settings

START_TIMEOUT_S = 30.0
CHECK_INTERVAL_S = 0.05
ANSWER_TIMEOUT_S = 3.0
COUNTER_EMULATOR = "granitedock.lab.emulators.counter"
DISCOVERY_EMULATOR = "granitedock.lab.emulators.discovery"
HOST_EMULATOR = "granitedock.lab.emulators.hosts"


@dataclass(frozen=True, slots=True)
class RunningGateway:
    """A gateway that has applied an endpoint list: its process id, its address and its hosts' addresses."""

    pid: int
    address: str
    hosts: list[str]


@contextmanager
def running_gateway(hosts: int, counting: bool) -> Iterator[RunningGateway]:
    """Run a gateway with its emulators until the block ends.

    With `counting`, the gateway calls the counter for each request. Raises ProcessError if an emulator does
    not start and MeasurementTimeoutError if the gateway does not get ready.
    """
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        scenario_path = folder / "scenario.toml"
        hosts_path = folder / "hosts.json"
        scenario_path.write_text(emulator_scenario_text(hosts))
        with (
            emulator_process(HOST_EMULATOR, str(scenario_path)) as host_emulator,
            emulator_process(COUNTER_EMULATOR, str(scenario_path)) as counter,
        ):
            host_addresses = host_emulator.announcement
            hosts_path.write_bytes(orjson.dumps(host_addresses))
            with emulator_process(DISCOVERY_EMULATOR, str(scenario_path), str(hosts_path)) as discovery:
                platform_record = {
                    "name": "g0",
                    "listen": f"{LOOPBACK}:{free_port()}",
                    "discovery": discovery.announcement,
                    "counter": counter.announcement,
                    "seed": "07",
                    "settings": platform_settings(counting=counting),
                }
                with gateway_process(folder, platform_record) as process:
                    yield RunningGateway(
                        process.pid, platform_record["listen"], list(host_addresses.values())
                    )


@contextmanager
def gateway_process(folder: Path, platform_record: dict[str, Any]) -> Iterator[subprocess.Popen[bytes]]:
    """Run one gateway with this platform file until the block ends.

    The block starts when the gateway has applied an endpoint list.
    """
    path = folder / "gateway.json"
    path.write_bytes(orjson.dumps(platform_record))
    with (folder / "gateway.log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "granitedock", "serve", "--told", str(path)], stdout=log, stderr=log
        )
    try:
        wait_until_ready(process, platform_record["listen"])
        yield process
    finally:
        stop(process)


def read_counters(address: str) -> dict[str, int]:
    """Return the counters of a running gateway.

    Raises click.ClickException if the gateway does not answer.
    """
    lines = query_gateway(address, b"INFO", ANSWER_TIMEOUT_S).decode().split()
    return {name: int(value) for name, _, value in (line.partition(":") for line in lines)}


def has_endpoint_list(address: str) -> bool:
    """Return whether the gateway answers and has applied an endpoint list."""
    try:
        return bool(read_counters(address).get("lists"))
    except (click.ClickException, ValueError):
        return False  # The process does not listen yet.


def wait_until_ready(process: subprocess.Popen[bytes], address: str) -> None:
    """Wait until the gateway has applied an endpoint list.

    Raises MeasurementTimeoutError after `START_TIMEOUT_S` seconds, and at once if the process ends.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline and process.poll() is None:
        if has_endpoint_list(address):
            return
        time.sleep(CHECK_INTERVAL_S)
    raise MeasurementTimeoutError.gateway(address, START_TIMEOUT_S)


def free_port() -> int:
    """Return a loopback port that is free at the time of the call."""
    with socket.create_server((LOOPBACK, 0)) as server:
        port: int = server.getsockname()[1]
        return port
