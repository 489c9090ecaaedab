"""Measure the configuration service: hollow gateways that follow real control processes on loopback."""

from __future__ import annotations

import time
from dataclasses import dataclass

import orjson

from granitedock.configuration import control_client
from granitedock.lab.hollow.messages import GatewayState
from granitedock.lab.scale.child_processes import ENDPOINT_LIST_EMULATOR, command_process
from granitedock.lab.scale.control_processes import (
    ANSWER_TIMEOUT_S,
    CLUSTER,
    RunningControl,
    control_processes,
)
from granitedock.lab.scale.hollow_fleet import FleetUsage, HollowFleet, UsageInterval, hollow_fleet
from granitedock.lab.scale.probe import memory_mb, quantile

CONTROL_PROCESSES = 4
CHANGES = 20
CHANGE_INTERVAL_S = 1.0
REST_S = 5.0


@dataclass(frozen=True, slots=True)
class ConfigurationCost:
    """The cost of `gateways` hollow gateways that follow `controls` control processes.

    `fresh_s` is the time from the start of the first gateway until all gateways of a fleet that starts at
    once have a snapshot. `fresh_control_cpu_s` is the processor time that this costs the busiest control
    process, `snapshot_bytes` are the bytes that each gateway exchanges for its snapshot.

    The `rest_` fields hold while nothing changes: the share of a core of one gateway and of the busiest
    control process, and a gateway's bytes per second.

    The `change_` fields are for changes of one plan each at `changes_a_second`: the seconds until a gateway
    has a change (p50, p99, worst), and per change a gateway's bytes and processor ms, the time that it blocks
    a gateway's event loop (`change_hold_ms`) and the processor ms of the busiest control process.
    `snapshot_hold_ms` is the time that the end of a snapshot blocks the event loop. `control_memory_mb` is
    the memory of a control process in MiB.
    """

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
    """A start of all gateways at once.

    `states` are the gateways' states when all have the first snapshot, `elapsed_s` the seconds from the start
    of the first gateway until then, `control_cpu_s` the processor seconds of the busiest control process, and
    `snapshot_bytes` the bytes of a snapshot per gateway.
    """

    states: list[GatewayState]
    elapsed_s: float
    control_cpu_s: float
    snapshot_bytes: float

    @property
    def snapshot_hold_ms(self) -> float:
        """The p99 of the time that the end of a snapshot blocks the event loop, in ms."""
        return quantile([state.counts["replace_us"] / 1000.0 for state in self.states], 0.99)


@dataclass(frozen=True, slots=True)
class RestMeasurement:
    """The load while nothing changes.

    `fleet_core` is the whole fleet's use of processor cores, `bytes_a_second` are one gateway's bytes per
    second, and `control_core` is the share of a core that the busiest control process uses.
    """

    fleet_core: float
    bytes_a_second: float
    control_core: float


@dataclass(frozen=True, slots=True)
class ChangeMeasurement:
    """A series of changes.

    `rate` is in changes per second and `delays_s` has the seconds until each gateway has each change. Per
    change: a gateway's bytes, its processor ms, the ms that its event loop is blocked, and the processor ms
    of the busiest control process.
    """

    rate: float
    delays_s: list[float]
    gateway_bytes: float
    cpu_ms: float
    hold_ms: float
    control_cpu_ms: float


class ConfigurationMeasurement:
    """The measurements of one fleet that follows control processes: start, rest and changes."""

    def __init__(self, fleet: HollowFleet, running: list[RunningControl]) -> None:
        self.fleet = fleet
        self.running = running

    def watch_bytes(self) -> int:
        """Return the bytes of the configuration watches of all gateways, in both directions."""
        counts = [state.counts for state in self.fleet.gateways()]
        return sum(
            gateway_counts.get(f"configuration_bytes_{direction}", 0)
            for gateway_counts in counts
            for direction in ("in", "out")
        )

    def control_cpu_s(self) -> list[float]:
        """Return the processor seconds that each control process has used."""
        return [control.cpu_s() for control in self.running]

    def max_control_cpu_s_since(self, before: list[float]) -> float:
        """Return the processor seconds that the busiest control process has used since `before`."""
        return max(control.cpu_s() - cpu_s for control, cpu_s in zip(self.running, before, strict=True))

    def measure_start(self, control_cpu_before: list[float]) -> StartMeasurement:
        """Wait until all gateways have the first snapshot and the endpoint list."""
        self.fleet.wait_until(lambda state: state.version >= 1)
        states = self.fleet.gateways()
        last_snapshot_at = max(state.version_at["1"] for state in states)
        control_cpu_s = self.max_control_cpu_s_since(control_cpu_before)
        snapshot_bytes = self.watch_bytes() / self.fleet.count
        self.fleet.wait_until(lambda state: state.list_version >= 1)
        first_start = min(state.started_at for state in states)
        return StartMeasurement(states, last_snapshot_at - first_start, control_cpu_s, snapshot_bytes)

    def measure_rest(self) -> RestMeasurement:
        """Measure the load while nothing changes."""
        time.sleep(REST_S)  # The work of the start has to end before the measurement.
        before = FleetUsage.take(self.fleet)
        bytes_before = self.watch_bytes()
        control_cpu_before = self.control_cpu_s()
        time.sleep(REST_S)
        usage = UsageInterval(before, FleetUsage.take(self.fleet))
        bytes_after = self.watch_bytes()
        control_cpu_s = self.max_control_cpu_s_since(control_cpu_before)
        return RestMeasurement(
            fleet_core=usage.cpu_s / usage.elapsed_s,
            bytes_a_second=(bytes_after - bytes_before) / usage.elapsed_s / self.fleet.count,
            control_core=control_cpu_s / usage.elapsed_s,
        )

    def measure_changes(self, rest: RestMeasurement) -> ChangeMeasurement:
        """Apply changes one after another and measure their cost.

        A gateway's bytes and processor time at rest are subtracted; the processor time of the control process
        includes its load at rest.
        """
        before = FleetUsage.take(self.fleet)
        bytes_before = self.watch_bytes()
        control_cpu_before = self.control_cpu_s()
        started_at = time.monotonic()
        delays_s = apply_changes(self.running[0], self.fleet)
        rate = CHANGES / (time.monotonic() - started_at)
        control_cpu_s = self.max_control_cpu_s_since(control_cpu_before)
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
    """Return a change of one tenant's plan as the body of a request to the control process."""
    plan = {"Name": f"tenant-{number:05d}", "Refill": 30.0 + base % 50, "MostAtOnce": 60.0}
    return orjson.dumps({"base": base, "plans": {"upsert": [plan]}})


def apply_changes(writer: RunningControl, fleet: HollowFleet) -> list[float]:
    """Change one plan after another and return the seconds until each gateway has each version."""
    sent_at: dict[str, float] = {}
    version = writer.status()["version"]
    for number in range(CHANGES):
        sent_at[str(version + 1)] = time.monotonic()
        body = plan_change_body(version, number)
        version = control_client.apply(writer.address, body, ANSWER_TIMEOUT_S)["version"]
        time.sleep(CHANGE_INTERVAL_S)
    fleet.wait_until(lambda state: state.version >= version)
    return [
        state.version_at[number] - change_sent_at
        for state in fleet.gateways()
        for number, change_sent_at in sent_at.items()
        if number in state.version_at
    ]


def measure(gateways: int, plans: int, hosts: int, controls: int = CONTROL_PROCESSES) -> ConfigurationCost:
    """Measure a fleet whose gateways start at once, stay idle for a while and then follow changes."""
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
