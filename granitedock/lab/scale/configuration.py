"""What the configuration service costs: hollow gateways that follow real control processes on loopback."""

from __future__ import annotations

import time
from dataclasses import dataclass

import orjson

from granitedock.configuration import control_client
from granitedock.lab.hollow.messages import GatewayState
from granitedock.lab.scale.child_processes import ENDPOINT_LIST_EMULATOR, command_process
from granitedock.lab.scale.control_processes import ANSWER_S, CLUSTER, RunningControl, control_processes
from granitedock.lab.scale.hollow_fleet import FleetUsage, HollowFleet, UsageInterval, hollow_fleet
from granitedock.lab.scale.probe import memory_mb, quantile

CONTROLS = 4
CHANGES = 20
CHANGE_EVERY_S = 1.0
REST_S = 5.0


@dataclass(frozen=True, slots=True)
class ConfigurationCost:
    """So many hollow gateways that follow `controls` control processes, with so many plans and hosts.

    `fresh_s`: until all of a fleet that starts at once had a snapshot, from the first one's connecting;
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


@dataclass(frozen=True, slots=True)
class StartMeasurement:
    """A start of all gateways at once: each one's state when all had the first snapshot, seconds until then,
    processor seconds of the busiest control process, bytes of a snapshot at a gateway."""

    states: list[GatewayState]
    elapsed_s: float
    control_cpu_s: float
    snapshot_bytes: float

    @property
    def snapshot_hold_ms(self) -> float:
        """The p99 of the loop's hold-up for the end of a snapshot."""
        return quantile([state.counts["replace_us"] / 1000.0 for state in self.states], 0.99)


@dataclass(frozen=True, slots=True)
class RestMeasurement:
    """While nothing changes: the fleet's part of a core, a gateway's bytes a second, and the part of a core
    of the busiest control process."""

    fleet_core: float
    bytes_a_second: float
    control_core: float


@dataclass(frozen=True, slots=True)
class ChangeMeasurement:
    """Changes a second, seconds until each gateway had each; of one change, a gateway's bytes, processor ms
    and hold-up of its loop (ms), and processor ms of the busiest control process."""

    rate: float
    delays_s: list[float]
    gateway_bytes: float
    cpu_ms: float
    hold_ms: float
    control_cpu_ms: float


class ConfigurationMeasurement:
    """One fleet that follows control processes, measured step by step."""

    def __init__(self, fleet: HollowFleet, running: list[RunningControl]) -> None:
        self.fleet = fleet
        self.running = running

    def watch_bytes(self) -> int:
        """Bytes of the configuration watches of all gateways, both ways."""
        counts = [state.counts for state in self.fleet.gateways()]
        return sum(one.get(f"configuration_bytes_{way}", 0) for one in counts for way in ("in", "out"))

    def control_cpu_s(self) -> list[float]:
        """Processor seconds that each control process has used."""
        return [control.cpu_s() for control in self.running]

    def max_control_cpu_s(self, before: list[float]) -> float:
        """The most processor seconds that one control process used since."""
        return max(control.cpu_s() - cpu_s for control, cpu_s in zip(self.running, before, strict=True))

    def measure_start(self, control_cpu_before: list[float]) -> StartMeasurement:
        """Wait until all gateways have the first snapshot and the endpoint list."""
        self.fleet.wait_until(lambda state: state.version >= 1)
        states = self.fleet.gateways()
        last_snapshot_at = max(state.version_at["1"] for state in states)
        control_cpu_s = self.max_control_cpu_s(control_cpu_before)
        snapshot_bytes = self.watch_bytes() / self.fleet.count
        self.fleet.wait_until(lambda state: state.list_version >= 1)
        first_start = min(state.started_at for state in states)
        return StartMeasurement(states, last_snapshot_at - first_start, control_cpu_s, snapshot_bytes)

    def measure_rest(self) -> RestMeasurement:
        """What is used while nothing changes."""
        time.sleep(REST_S)  # the start's work is over
        before = FleetUsage.take(self.fleet)
        bytes_before = self.watch_bytes()
        control_cpu_before = self.control_cpu_s()
        time.sleep(REST_S)
        usage = UsageInterval(before, FleetUsage.take(self.fleet))
        bytes_after = self.watch_bytes()
        control_cpu_s = self.max_control_cpu_s(control_cpu_before)
        return RestMeasurement(
            fleet_core=usage.cpu_s / usage.elapsed_s,
            bytes_a_second=(bytes_after - bytes_before) / usage.elapsed_s / self.fleet.count,
            control_core=control_cpu_s / usage.elapsed_s,
        )

    def measure_changes(self, rest: RestMeasurement) -> ChangeMeasurement:
        """Changes one after another; what they cost beyond the fleet's rest."""
        before = FleetUsage.take(self.fleet)
        bytes_before = self.watch_bytes()
        control_cpu_before = self.control_cpu_s()
        started_at = time.monotonic()
        delays_s = apply_changes(self.running[0], self.fleet)
        rate = CHANGES / (time.monotonic() - started_at)
        control_cpu_s = self.max_control_cpu_s(control_cpu_before)
        usage = UsageInterval(before, FleetUsage.take(self.fleet))
        bytes_after = self.watch_bytes()
        applications = CHANGES * self.fleet.count
        hold_us = sum(state.counts.get("apply_us", 0) for state in self.fleet.gateways())
        rest_bytes = rest.bytes_a_second * usage.elapsed_s * self.fleet.count
        rest_cpu_s = rest.fleet_core * usage.elapsed_s
        return ChangeMeasurement(
            rate=rate,
            delays_s=delays_s,
            gateway_bytes=(bytes_after - bytes_before - rest_bytes) / applications,
            cpu_ms=max(0.0, usage.cpu_s - rest_cpu_s) * 1000.0 / applications,
            hold_ms=hold_us / 1000.0 / applications,
            control_cpu_ms=control_cpu_s * 1000.0 / CHANGES,
        )


def plan_change_body(base: int, number: int) -> bytes:
    """A change of one tenant's plan, as control's HTTP takes it."""
    plan = {"Name": f"tenant-{number:05d}", "Refill": 30.0 + base % 50, "MostAtOnce": 60.0}
    return orjson.dumps({"base": base, "plans": {"upsert": [plan]}})


def apply_changes(writer: RunningControl, fleet: HollowFleet) -> list[float]:
    """Change one plan after another; the seconds until each gateway had each version."""
    sent_at: dict[str, float] = {}
    version = writer.status()["version"]
    for number in range(CHANGES):
        sent_at[str(version + 1)] = time.monotonic()
        body = plan_change_body(version, number)
        version = control_client.apply(writer.address, body, ANSWER_S)["version"]
        time.sleep(CHANGE_EVERY_S)
    fleet.wait_until(lambda state: state.version >= version)
    return [
        state.version_at[number] - at
        for state in fleet.gateways()
        for number, at in sent_at.items()
        if number in state.version_at
    ]


def measure(gateways: int, plans: int, hosts: int, controls: int = CONTROLS) -> ConfigurationCost:
    """A fleet that starts at once, rests, and follows changes."""
    with (
        command_process(ENDPOINT_LIST_EMULATOR, str(hosts)) as emulator,
        control_processes(plans, controls) as running,
    ):
        addresses = tuple(control.address for control in running)
        control_cpu_before = [control.cpu_s() for control in running]
        with hollow_fleet(gateways, emulator.announcement, False, addresses, CLUSTER) as fleet:
            measurement = ConfigurationMeasurement(fleet, running)
            start = measurement.measure_start(control_cpu_before)
            rest = measurement.measure_rest()
            changes = measurement.measure_changes(rest)
            control_memory_mb = max(memory_mb(control.process.pid) for control in running)
    return ConfigurationCost(
        gateways=gateways,
        controls=controls,
        plans=plans,
        hosts=hosts,
        fresh_s=start.elapsed_s,
        fresh_control_cpu_s=start.control_cpu_s,
        snapshot_bytes=start.snapshot_bytes,
        rest_core=rest.fleet_core / gateways,
        rest_control_core=rest.control_core,
        rest_bytes_a_second=rest.bytes_a_second,
        changes_a_second=changes.rate,
        change_p50_s=quantile(changes.delays_s, 0.5),
        change_p99_s=quantile(changes.delays_s, 0.99),
        change_worst_s=max(changes.delays_s),
        change_bytes=changes.gateway_bytes,
        change_cpu_ms=changes.cpu_ms,
        change_hold_ms=changes.hold_ms,
        snapshot_hold_ms=start.snapshot_hold_ms,
        change_control_cpu_ms=changes.control_cpu_ms,
        control_memory_mb=control_memory_mb,
    )
