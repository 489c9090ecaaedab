"""The day's events at the operators' size: who sends what to whom, the peak, and how long until all is
well."""

from __future__ import annotations

from dataclasses import dataclass
from math import nan

from granitedock.lab.scale.results import Results, slope
from granitedock.lab.scale.sizes import OperatorSize
from granitedock.lab.scale.tables import figure

EVENT_HEADS = ("event", "who sends what to whom", "the peak", "until all is well", "not measured")
RACK_GATEWAYS = 25
CUT_S = 3600.0
HOST_FAILURES = 3  # in a row, then a gateway sets a host aside (`policy/outlier_ejection.py`)
REDIAL_MOST_S, DIAL_S = 1.5, 1.0  # of a follower (`configuration/follower.py`, `link.py`)


@dataclass(frozen=True, slots=True)
class Event:
    what: str
    messages: str
    peak: str
    well: str
    unmeasured: str

    def cells(self) -> tuple[str, ...]:
        return self.what, self.messages, self.peak, self.well, self.unmeasured


class Day:
    """The figures that the events share."""

    def __init__(self, results: Results, size: OperatorSize) -> None:
        self.size = size
        self.list_bytes = slope(results.hosts, "hosts", "list_bytes").at(size.hosts)
        fleet = results.fleets[-1] if results.fleets else None
        self.change_bytes = fleet.change_bytes if fleet else nan
        self.first_list_s = fleet.first_list_s if fleet else nan
        self.change_p99_s = fleet.change_p99_s if fleet else nan
        followed = results.configuration[-1] if results.configuration else None
        self.snapshot_bytes = followed.snapshot_bytes if followed else nan
        self.fresh_s = followed.fresh_s if followed else nan
        self.configuration_bytes = followed.change_bytes if followed else nan
        self.host_bytes = slope(results.hosts, "hosts", "list_bytes").each

    def mb(self, count: float, each: float) -> str:
        return f"{figure(count * each / 1e6)} MB"


def day_events(results: Results, size: OperatorSize) -> list[Event]:
    """Each event at this size."""
    day = Day(results, size)
    return [host_fails(day), restarts(day), rack(day), zone(day), region(day), all_start(day)]


def host_fails(day: Day) -> Event:
    size = day.size
    rate = size.requests_a_second / size.hosts
    return Event(
        f"a host fails ({size.failures_a_day:g} a day)",
        f"nobody to anybody; then discovery tells {size.gateways} gateways {figure(day.change_bytes)} B each",
        f"its {figure(rate)} requests/s fail, {HOST_FAILURES} in a row at each gateway that meets it",
        f"discovery's own time, then p99 {figure(day.change_p99_s)} s to all (hollow gateways)",
        "discovery's own time to notice",
    )


def restarts(day: Day) -> Event:
    size = day.size
    told = day.mb(3 * size.restarts_a_day * size.gateways, day.change_bytes)
    return Event(
        f"{size.restarts_a_day:g} restarts a day; a whole release",
        f"three lists each, to {size.gateways} gateways: {told} a day",
        f"a release in an hour: {figure(3 * size.hosts / 3600.0)} lists/s at each gateway",
        "each host by its drain and the settings' warm-up",
        "drains of real hosts",
    )


def rack(day: Day) -> Event:
    return Event(
        f"a rack of {RACK_GATEWAYS} gateways, or its switch, and back",
        f"whole lists {day.mb(RACK_GATEWAYS, day.list_bytes)} from discovery, "
        f"snapshots {day.mb(RACK_GATEWAYS, day.snapshot_bytes)} from control",
        "16 snapshots at a time from each control process",
        f"less than all {day.size.gateways} at once, {figure(day.fresh_s)} s (below)",
        "what the rack's hosts lose with it: the operators name none",
    )


def zone(day: Day) -> Event:
    size = day.size
    hosts, gateways = size.hosts / size.zones, size.gateways / size.zones
    return Event(
        "a zone is lost, and back cold",
        f"one list of {figure(hosts)} hosts, {figure(hosts * day.host_bytes / 1e3)} KB, to "
        f"{figure(size.gateways - gateways)} gateways; both again at the return",
        f"{day.mb(size.gateways - gateways, hosts * day.host_bytes)} out of discovery at once; "
        f"{size.zones}/{size.zones - 1:g} of the load on the rest",
        "the standing test's zone day holds at 200 gateways; cold hosts by the settings' warm-up",
        "a zone of this size",
    )


def region(day: Day) -> Event:
    size = day.size
    changes = size.changes_a_second * CUT_S
    half = size.gateways / size.regions
    bound = REDIAL_MOST_S + DIAL_S
    return Event(
        "the regions are cut for an hour, and heal",
        f"at the heal {figure(changes)} changes, {day.mb(changes * half, day.configuration_bytes)} over "
        f"{figure(half)} gateways; each region goes on by its own control process's store",
        "the cut region's replicas dial once each 1.5 s",
        f"{bound:g} s at most until a replica is connected again, then as any change",
        "the counter and discovery across regions (question in standing.md)",
    )


def all_start(day: Day) -> Event:
    size = day.size
    lists = day.mb(size.gateways, day.list_bytes)
    snapshots = day.mb(size.gateways, day.snapshot_bytes)
    return Event(
        f"all {size.gateways} gateways start at once",
        f"whole lists {lists}, snapshots {snapshots}",
        "one machine for all parties here",
        f"lists {figure(day.first_list_s)} s, configuration {figure(day.fresh_s)} s (hollow gateways)",
        "a network between them",
    )
