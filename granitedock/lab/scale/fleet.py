"""What endpoint lists and their updates cost a whole fleet of hollow gateways on one machine."""

from __future__ import annotations

import time
from dataclasses import dataclass

from granitedock.lab.scale.child_processes import ENDPOINT_LIST_EMULATOR, CommandProcess, command_process
from granitedock.lab.scale.hollow_fleet import FleetUsage, HollowFleet, UsageInterval, hollow_fleet
from granitedock.lab.scale.probe import quantile

REST_S = 5.0
CHANGES = 8
CHANGE_EVERY_S = 1.0
MIN_LIVE_SHARE = 0.98  # of the fleet held live by each member: on a busy machine some are always suspected


@dataclass(frozen=True, slots=True)
class FleetCost:
    """So many hollow gateways before so many hosts: seconds until all had the full list, a gateway's MiB;
    at rest, a gateway's part of a core and bytes a second (watch and membership); updates of one host each:
    seconds until each gateway had them, bytes and processor ms of a gateway an update, and of discovery an
    update. `view` says whether the gateways were members of a fleet."""

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
    """Updates one after another: the seconds until each gateway had each, the fleet's usage meanwhile, and
    the processor seconds of the emulator."""

    delays_s: list[float]
    usage: UsageInterval
    emulator_cpu_s: float


def measure_rest(fleet: HollowFleet) -> UsageInterval:
    """What the fleet uses in `REST_S` while nothing changes."""
    time.sleep(REST_S)  # the start's work is over
    before = FleetUsage.take(fleet)
    time.sleep(REST_S)
    return UsageInterval(before, FleetUsage.take(fleet))


def measure_updates(emulator: CommandProcess, fleet: HollowFleet, version: int) -> UpdateMeasurement:
    """One host changes again and again, from this version of the list on."""
    before = FleetUsage.take(fleet)
    emulator_cpu_before = emulator.query({})["cpu_s"]
    sent_at: dict[str, float] = {}
    for _ in range(CHANGES):
        version += 1
        sent_at[str(version)] = time.monotonic()
        emulator.query({"change": 1})
        time.sleep(CHANGE_EVERY_S)
    fleet.wait_until(lambda state: state.list_version >= version)
    emulator_cpu_s = emulator.query({})["cpu_s"] - emulator_cpu_before
    usage = UsageInterval(before, FleetUsage.take(fleet))
    delays_s = [
        state.list_at[number] - at
        for state in fleet.gateways()
        for number, at in sent_at.items()
        if number in state.list_at
    ]
    return UpdateMeasurement(delays_s, usage, emulator_cpu_s)


def measure(gateways: int, hosts: int, membership: bool) -> FleetCost:
    """A fleet of hollow gateways that follows one discovery emulator."""
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
