"""Describe a day's events at the operators' size: their messages, peak load and recovery time."""

from __future__ import annotations

from dataclasses import dataclass
from math import nan

from granitedock.lab.scale.figures import BYTES_PER_MEGABYTE
from granitedock.lab.scale.growth import fit_line
from granitedock.lab.scale.results import Results
from granitedock.lab.scale.sizes import UPDATES_PER_RESTART, OperatorSize
from granitedock.lab.scale.tables import format_value

EVENT_HEADERS = ("event", "who sends what to whom", "the peak", "until all is well", "not measured")
RACK_GATEWAYS = 25
PARTITION_S = 3600.0
RELEASE_S = 3600.0
CONSECUTIVE_FAILURES = 3  # A gateway ejects a host after this many (`policy/outlier_ejection.py`).
# The longest backoff of a follower before it reconnects (`configuration/follower_timing.py`).
MAX_RECONNECT_S = 1.5
CONNECT_S = 1.0


@dataclass(frozen=True, slots=True)
class DayEvent:
    """One line of the table of events, as texts."""

    name: str
    messages: str
    peak: str
    recovery: str
    unmeasured: str

    def cells(self) -> tuple[str, ...]:
        """Return the texts of the columns `EVENT_HEADERS`."""
        return self.name, self.messages, self.peak, self.recovery, self.unmeasured


class EventCosts:
    """The measured costs that several events use; a cost that was not measured is nan."""

    def __init__(self, results: Results, size: OperatorSize) -> None:
        self.size = size
        list_fit = fit_line(results.hosts, "hosts", "list_bytes")
        self.list_bytes = list_fit.at(size.hosts)
        self.host_bytes = list_fit.slope
        fleet = results.fleets[-1] if results.fleets else None
        self.update_bytes = fleet.change_bytes if fleet else nan
        self.first_list_s = fleet.first_list_s if fleet else nan
        self.update_p99_s = fleet.change_p99_s if fleet else nan
        configuration = results.configuration[-1] if results.configuration else None
        self.snapshot_bytes = configuration.snapshot_bytes if configuration else nan
        self.first_snapshot_s = configuration.fresh_s if configuration else nan
        self.configuration_bytes = configuration.change_bytes if configuration else nan


def format_megabytes(count: float, each: float) -> str:
    """Format `count` times `each` bytes in MB."""
    return f"{format_value(count * each / BYTES_PER_MEGABYTE)} MB"


def day_events(results: Results, size: OperatorSize) -> list[DayEvent]:
    """Return all events at this size."""
    costs = EventCosts(results, size)
    return [
        host_failure(costs),
        host_restarts(costs),
        rack_loss(costs),
        zone_loss(costs),
        region_partition(costs),
        simultaneous_start(costs),
    ]


def host_failure(costs: EventCosts) -> DayEvent:
    """Describe the failure of one host."""
    size = costs.size
    rate = size.requests_a_second / size.hosts
    return DayEvent(
        name=f"a host fails ({size.failures_a_day:g} a day)",
        messages=f"nobody to anybody; then discovery tells {size.gateways} gateways "
        f"{format_value(costs.update_bytes)} B each",
        peak=f"its {format_value(rate)} requests/s fail, {CONSECUTIVE_FAILURES} in a row at each gateway "
        "that meets it",
        recovery=f"discovery's own time, then p99 {format_value(costs.update_p99_s)} s to all "
        "(hollow gateways)",
        unmeasured="discovery's own time to notice",
    )


def host_restarts(costs: EventCosts) -> DayEvent:
    """Describe a day's restarts of hosts, and a release on all hosts."""
    size = costs.size
    updates = UPDATES_PER_RESTART * size.restarts_a_day * size.gateways
    updates_per_second = UPDATES_PER_RESTART * size.hosts / RELEASE_S
    return DayEvent(
        name=f"{size.restarts_a_day:g} restarts a day; a whole release",
        messages=f"three lists each, to {size.gateways} gateways: "
        f"{format_megabytes(updates, costs.update_bytes)} a day",
        peak=f"a release in an hour: {format_value(updates_per_second)} lists/s at each gateway",
        recovery="each host by its drain and the settings' warm-up",
        unmeasured="drains of real hosts",
    )


def rack_loss(costs: EventCosts) -> DayEvent:
    """Describe the loss of a rack of gateways and its return."""
    return DayEvent(
        name=f"a rack of {RACK_GATEWAYS} gateways, or its switch, and back",
        messages=f"whole lists {format_megabytes(RACK_GATEWAYS, costs.list_bytes)} from discovery, "
        f"snapshots {format_megabytes(RACK_GATEWAYS, costs.snapshot_bytes)} from control",
        peak="16 snapshots at a time from each control process",
        recovery=f"less than all {costs.size.gateways} at once, "
        f"{format_value(costs.first_snapshot_s)} s (below)",
        unmeasured="what the rack's hosts lose with it: the operators name none",
    )


def zone_loss(costs: EventCosts) -> DayEvent:
    """Describe the loss of a zone and its return with hosts that warm up."""
    size = costs.size
    hosts = size.hosts / size.zones
    other_gateways = size.gateways - size.gateways / size.zones
    update_bytes = hosts * costs.host_bytes
    return DayEvent(
        name="a zone is lost, and back cold",
        messages=f"one list of {format_value(hosts)} hosts, {format_value(update_bytes / 1e3)} KB, to "
        f"{format_value(other_gateways)} gateways; both again at the return",
        peak=f"{format_megabytes(other_gateways, update_bytes)} out of discovery at once; "
        f"{size.zones}/{size.zones - 1:g} of the load on the rest",
        recovery="the standing test's zone day holds at 200 gateways; cold hosts by the settings' warm-up",
        unmeasured="a zone of this size",
    )


def region_partition(costs: EventCosts) -> DayEvent:
    """Describe a network partition between the regions that heals after `PARTITION_S` seconds."""
    size = costs.size
    changes = size.changes_a_second * PARTITION_S
    gateways = size.gateways / size.regions
    bound_s = MAX_RECONNECT_S + CONNECT_S
    return DayEvent(
        name="the regions are cut for an hour, and heal",
        messages=f"at the heal {format_value(changes)} changes, "
        f"{format_megabytes(changes * gateways, costs.configuration_bytes)} over "
        f"{format_value(gateways)} gateways; each region goes on by its own control process's store",
        peak="the cut region's replicas dial once each 1.5 s",
        recovery=f"{bound_s:g} s at most until a replica is connected again, then as any change",
        unmeasured="the counter and discovery across regions (question in standing.md)",
    )


def simultaneous_start(costs: EventCosts) -> DayEvent:
    """Describe a simultaneous start of all gateways."""
    gateways = costs.size.gateways
    return DayEvent(
        name=f"all {gateways} gateways start at once",
        messages=f"whole lists {format_megabytes(gateways, costs.list_bytes)}, "
        f"snapshots {format_megabytes(gateways, costs.snapshot_bytes)}",
        peak="one machine for all parties here",
        recovery=f"lists {format_value(costs.first_list_s)} s, "
        f"configuration {format_value(costs.first_snapshot_s)} s (hollow gateways)",
        unmeasured="a network between them",
    )
