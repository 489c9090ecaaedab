"""Measure endpoint lists and their updates at a whole fleet of hollow gateways on one machine."""

from __future__ import annotations

import time
from dataclasses import dataclass

from granitedock.lab.scale.child_processes import ENDPOINT_LIST_EMULATOR, CommandProcess, command_process
from granitedock.lab.scale.hollow_fleet import FleetUsage, HollowFleet, UsageInterval, hollow_fleet
from granitedock.lab.scale.probe import quantile

REST_S = 5.0
CHANGES = 8
CHANGE_INTERVAL_S = 1.0
# Share of the fleet that each member must see as live. On a busy machine some members are always suspected.
MIN_LIVE_SHARE = 0.98


@dataclass(frozen=True, slots=True)
class FleetCost:
    """The cost of endpoint lists at `gateways` hollow gateways and `hosts` hosts.

    `first_list_s` is the time until all gateways have the full list, `memory_mb` a gateway's memory in MiB.

    The `rest_` fields hold while nothing changes: one gateway's share of a core, the bytes per second of its
    watch on discovery and its membership messages per second.

    The `change_` fields are for updates of one host each: the seconds until a gateway has an update (p50,
    p99, worst), and a gateway's bytes and processor ms per update. `discovery_change_cpu_ms` is discovery's
    processor time per update. `view` is true if the gateways were members of a cluster.
    """

    gateways: int
    hosts: int
    view: bool
    first_list_s: float
    memory_mb: float
    rest_core: float
    rest_watch_bytes_a_second: float
    rest_view_messages_a_second: float
    change_p50_s: float
    change_p99_s: float
    change_worst_s: float
    change_bytes: float
    change_cpu_ms: float
    discovery_change_cpu_ms: float


@dataclass(frozen=True, slots=True)
class UpdateMeasurement:
    """A series of updates.

    `delays_s` has the seconds until each gateway has each update, `usage` is the fleet's usage during the
    series, and `emulator_cpu_s` the processor seconds of the discovery emulator.
    """

    delays_s: list[float]
    usage: UsageInterval
    emulator_cpu_s: float


def measure_rest(fleet: HollowFleet) -> UsageInterval:
    """Measure the fleet's usage during `REST_S` seconds in which nothing changes."""
    time.sleep(REST_S)  # The work of the start has to end before the measurement.
    before = FleetUsage.take(fleet)
    time.sleep(REST_S)
    return UsageInterval(before, FleetUsage.take(fleet))


def measure_updates(emulator: CommandProcess, fleet: HollowFleet, version: int) -> UpdateMeasurement:
    """Measure `CHANGES` updates of one host each, starting from this version of the endpoint list."""
    before = FleetUsage.take(fleet)
    emulator_cpu_before = emulator.query({})["cpu_s"]
    sent_at: dict[str, float] = {}
    for _ in range(CHANGES):
        version += 1
        sent_at[str(version)] = time.monotonic()
        emulator.query({"change": 1})
        time.sleep(CHANGE_INTERVAL_S)
    fleet.wait_until(lambda state: state.list_version >= version)
    emulator_cpu_s = emulator.query({})["cpu_s"] - emulator_cpu_before
    usage = UsageInterval(before, FleetUsage.take(fleet))
    delays_s = [
        state.list_at[number] - update_sent_at
        for state in fleet.gateways()
        for number, update_sent_at in sent_at.items()
        if number in state.list_at
    ]
    return UpdateMeasurement(delays_s, usage, emulator_cpu_s)


def measure(gateways: int, hosts: int, membership: bool) -> FleetCost:
    """Measure a fleet of hollow gateways that follows one discovery emulator."""
    with command_process(ENDPOINT_LIST_EMULATOR, str(hosts)) as emulator:
        started_at = time.monotonic()
        with hollow_fleet(gateways, emulator.announcement, membership) as fleet:
            fleet.wait_until(lambda state: state.list_version >= 1)
            first_list_s = max(state.list_at["1"] - started_at for state in fleet.gateways())
            if membership:
                fleet.wait_until(lambda state: state.live >= MIN_LIVE_SHARE * gateways)
            rest = measure_rest(fleet)
            updates = measure_updates(emulator, fleet, 1)
    rest_gateway_seconds = rest.elapsed_s * gateways
    rest_cpu_s = rest.cpu_s / rest.elapsed_s * updates.usage.elapsed_s
    update_count = CHANGES * gateways
    return FleetCost(
        gateways=gateways,
        hosts=hosts,
        view=membership,
        first_list_s=first_list_s,
        memory_mb=rest.after.memory_mb / gateways,
        rest_core=rest.cpu_s / rest_gateway_seconds,
        rest_watch_bytes_a_second=rest.watch_bytes / rest_gateway_seconds,
        rest_view_messages_a_second=rest.membership_messages / rest_gateway_seconds,
        change_p50_s=quantile(updates.delays_s, 0.5),
        change_p99_s=quantile(updates.delays_s, 0.99),
        change_worst_s=max(updates.delays_s),
        change_bytes=updates.usage.watch_bytes / update_count,
        change_cpu_ms=max(0.0, updates.usage.cpu_s - rest_cpu_s) * 1000.0 / update_count,
        discovery_change_cpu_ms=updates.emulator_cpu_s * 1000.0 / CHANGES,
    )
