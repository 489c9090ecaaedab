"""What the configuration service costs: hollow gateways that follow real control processes on loopback.

One writer and replicas of it, each a process of its own; the gateways spread over all of them."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path

import orjson

from granitedock.configuration import control_client
from granitedock.configuration.http_records import ControlStatusRecord
from granitedock.lab.scale.errors import ScaleError
from granitedock.lab.scale.fleet import HollowFleet, Usage, commanded, hollow_fleet
from granitedock.lab.scale.platform import platform_file
from granitedock.lab.scale.probe import memory_mb, process_cpu_s, quantile

CLUSTER = "lab"
CONTROLS = 4
CHANGES, CHANGE_EVERY_S = 20, 1.0
REST_S = 5.0
START_S = 60.0
ANSWER_S = 20.0


@dataclass(slots=True)
class ControlRunning:
    """One control process of a measurement."""

    process: subprocess.Popen
    address: str
    folder: Path
    name: str

    def cpu_s(self) -> float:
        return process_cpu_s(self.process.pid)

    def status(self) -> ControlStatusRecord:
        return control_client.status(self.address, ANSWER_S)


def started(folder: Path, name: str, follow: list[str], platform: Path | None) -> ControlRunning:
    """A control process that listens. Raises ScaleError."""
    file = folder / f"{name}.toml"
    lines = {"name": name, "cluster": CLUSTER, "listen": "127.0.0.1:0", "store": str(folder / f"{name}.db")}
    told = [f"{key} = {orjson.dumps(value).decode()}" for key, value in lines.items()]
    file.write_text("\n".join([*told, f"follow = {orjson.dumps(follow).decode()}"]))
    command = [sys.executable, "-m", "granitedock", "control", "--config", str(file)]
    if platform is not None:
        command += ["--import", str(platform)]
    with open(folder / f"{name}.log", "wb") as log:
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log)
    address = process.stdout.readline().decode().strip()
    if not address:
        process.wait()
        raise ScaleError(f"control {name} did not start: {(folder / f'{name}.log').read_text()[-500:]}")
    return ControlRunning(process, address, folder, name)


@contextmanager
def controls(plans: int, count: int) -> Iterator[list[ControlRunning]]:
    """A writer with so many plans, and `count - 1` replicas that have them too."""
    with tempfile.TemporaryDirectory() as made, ExitStack() as ends:
        folder = Path(made)
        platform = folder / "platform.json"
        platform.write_bytes(orjson.dumps(platform_file(plans)))
        running = [started(folder, "writer", [], platform)]
        ends.callback(ended, running)
        for n in range(1, count):
            running.append(started(folder, f"replica-{n}", [running[0].address], None))
        wait_version(running, running[0].status()["version"])
        yield running


def ended(running: list[ControlRunning]) -> None:
    for one in running:
        one.process.kill()
        one.process.wait()
        one.process.stdout.close()


def wait_version(running: list[ControlRunning], version: int) -> None:
    """Until all control processes have this version. Raises ScaleError."""
    ends = time.monotonic() + START_S
    while any(one.status()["version"] < version for one in running):
        if time.monotonic() > ends:
            raise ScaleError(f"not all control processes had version {version} in {START_S:g} s")
        time.sleep(0.05)


def plan_change(base: int, number: int) -> bytes:
    """A change of one tenant's plan."""
    plan = {"Name": f"tenant-{number:05d}", "Refill": 30.0 + base % 50, "MostAtOnce": 60.0}
    return orjson.dumps({"base": base, "plans": {"upsert": [plan]}})


def applied(writer: ControlRunning, fleet: HollowFleet, count: int, every_s: float) -> list[float]:
    """Change one plan after another; the seconds until each gateway had each version."""
    told_at: dict[str, float] = {}
    version = writer.status()["version"]
    for n in range(count):
        told_at[str(version + 1)] = time.monotonic()
        version = control_client.apply(writer.address, plan_change(version, n), ANSWER_S)["version"]
        time.sleep(every_s)
    fleet.wait(lambda state: state.version >= version)
    return [
        state.version_at[number] - at
        for state in fleet.gateways()
        for number, at in told_at.items()
        if number in state.version_at
    ]


@dataclass(frozen=True, slots=True)
class ConfigurationCost:
    """So many hollow gateways that follow `controls` control processes, with so many plans and hosts.

    `fresh_s`: until all of a fleet that starts at once had a whole snapshot, from the first one's dial;
    `rest`: a gateway's part of a core and of a control process's, and bytes a second, while nothing changes;
    changes of one plan each at `changes_a_second`: seconds until each gateway had them, bytes and processor
    ms of a gateway a change, the loop's hold-up for one change and for the end of a snapshot (ms); processor
    ms of the busiest control process a change; MiB of a control process."""

    gateways: int
    controls: int
    plans: int
    hosts: int
    fresh_s: float
    fresh_control_cpu_s: float
    snapshot_bytes: float
    rest_core: float
    rest_control_core: float
    rest_bytes_a_second: float
    changes_a_second: float
    change_p50_s: float
    change_p99_s: float
    change_worst_s: float
    change_bytes: float
    change_cpu_ms: float
    change_hold_ms: float
    snapshot_hold_ms: float
    change_control_cpu_ms: float
    control_memory_mb: float


def watch_bytes(fleet: HollowFleet) -> int:
    """Bytes of the configuration watches of all gateways, both ways."""
    counts = [state.counts for state in fleet.gateways()]
    return sum(one.get(f"configuration_bytes_{way}", 0) for one in counts for way in ("in", "out"))


def busiest(running: list[ControlRunning], before: list[float]) -> float:
    """The most processor seconds that one control process used since."""
    return max(one.cpu_s() - cpu for one, cpu in zip(running, before, strict=True))


def measure(gateways: int, plans: int, hosts: int, count: int = CONTROLS) -> ConfigurationCost:
    """A fleet that starts at once, rests, and hears of changes."""
    with (
        commanded("granitedock.lab.scale.roster", str(hosts)) as roster,
        controls(plans, count) as running,
    ):
        addresses = tuple(one.address for one in running)
        cpu_before = [one.cpu_s() for one in running]
        with hollow_fleet(gateways, roster.said, False, addresses, CLUSTER) as fleet:
            fleet.wait(lambda state: state.version >= 1)
            states = fleet.gateways()
            had = [state.version_at["1"] for state in states]
            fresh_cpu = busiest(running, cpu_before)
            snapshot_bytes = watch_bytes(fleet) / gateways
            fleet.wait(lambda state: state.list_version >= 1)
            time.sleep(REST_S)  # the start's work is over
            rest_before, bytes_before = Usage.of(fleet.statuses()), watch_bytes(fleet)
            control_before = [one.cpu_s() for one in running]
            time.sleep(REST_S)
            rest_after, bytes_after = Usage.of(fleet.statuses()), watch_bytes(fleet)
            control_rest = busiest(running, control_before)
            lasted = rest_after.at - rest_before.at
            rest_bytes = (bytes_after - bytes_before) / lasted / gateways
            rest_cpu = (rest_after.cpu_s - rest_before.cpu_s) / lasted
            waits, change = changed(running, fleet, rest_cpu, rest_bytes)
            began = min(state.started_at for state in states)
            return ConfigurationCost(
                gateways=gateways,
                controls=count,
                plans=plans,
                hosts=hosts,
                fresh_s=max(had) - began,
                fresh_control_cpu_s=fresh_cpu,
                snapshot_bytes=snapshot_bytes,
                rest_core=rest_cpu / gateways,
                rest_control_core=control_rest / lasted,
                rest_bytes_a_second=rest_bytes,
                changes_a_second=change.rate,
                change_p50_s=quantile(waits, 0.5),
                change_p99_s=quantile(waits, 0.99),
                change_worst_s=max(waits),
                change_bytes=change.bytes,
                change_cpu_ms=change.cpu_ms,
                change_hold_ms=change.hold_ms,
                snapshot_hold_ms=quantile([state.counts["replace_us"] / 1000.0 for state in states], 0.99),
                change_control_cpu_ms=change.control_cpu_ms,
                control_memory_mb=max(memory_mb(one.process.pid) for one in running),
            )


@dataclass(frozen=True, slots=True)
class ChangeCost:
    """Of one change: a gateway's bytes, processor ms and hold-up of its loop, and control's processor ms."""

    rate: float
    bytes: float
    cpu_ms: float
    hold_ms: float
    control_cpu_ms: float


def changed(
    running: list[ControlRunning], fleet: HollowFleet, rest_cpu: float, rest_bytes: float
) -> tuple[list[float], ChangeCost]:
    """Changes one after another; what they took beyond the fleet's rest (processor s and bytes a second)."""
    gateways = fleet.count
    before, bytes_before = Usage.of(fleet.statuses()), watch_bytes(fleet)
    control_before = [one.cpu_s() for one in running]
    began = time.monotonic()
    waits = applied(running[0], fleet, CHANGES, CHANGE_EVERY_S)
    rate = CHANGES / (time.monotonic() - began)
    control_cpu = busiest(running, control_before)
    after, bytes_after = Usage.of(fleet.statuses()), watch_bytes(fleet)
    lasted, many = after.at - before.at, CHANGES * gateways
    held = sum(state.counts.get("apply_us", 0) for state in fleet.gateways())
    return waits, ChangeCost(
        rate=rate,
        bytes=(bytes_after - bytes_before - rest_bytes * lasted * gateways) / many,
        cpu_ms=max(0.0, after.cpu_s - before.cpu_s - rest_cpu * lasted) * 1000.0 / many,
        hold_ms=held / 1000.0 / many,
        control_cpu_ms=control_cpu * 1000.0 / CHANGES,
    )
