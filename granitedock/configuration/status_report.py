"""Combines the status of several control processes for an operator."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from granitedock.configuration import control_client
from granitedock.configuration.document import Record
from granitedock.configuration.errors import ControlRequestError
from granitedock.configuration.http_records import ControlStatusRecord, FollowerRecord

GATEWAY = "gateway"


@dataclass(slots=True)
class ClusterStatus:
    """The status of each control process, or the error of its request, by address."""

    controls: dict[str, ControlStatusRecord] = field(default_factory=dict)
    failed: dict[str, str] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """The newest version at any control process."""
        return max((control["version"] for control in self.controls.values()), default=0)

    def gateways(self) -> list[FollowerRecord]:
        """Return the gateways that follow any of the control processes."""
        return [
            follower
            for control in self.controls.values()
            for follower in control["followers"]
            if follower["role"] == GATEWAY
        ]

    def lagging(self) -> list[FollowerRecord]:
        """Return the gateways whose version is older than the newest."""
        return [gateway for gateway in self.gateways() if gateway["version"] < self.version]

    def healthy(self) -> bool:
        """Return whether all control processes answered and no gateway lags."""
        return not self.failed and not self.lagging()

    def as_json(self) -> Record:
        """Return the whole status as a JSON-compatible record."""
        return {"version": self.version, "controls": self.controls, "failed": self.failed}


def collect(addresses: Iterable[str], timeout_s: float) -> ClusterStatus:
    """Request the status of each address; an address whose request fails is in `failed`."""
    cluster = ClusterStatus()
    for address in addresses:
        try:
            cluster.controls[address] = control_client.status(address, timeout_s)
        except ControlRequestError as fault:
            cluster.failed[address] = str(fault)
    return cluster


def report_lines(cluster: ClusterStatus, all_gateways: bool) -> Iterator[str]:
    """Yield report lines: control processes, gateways by version, and the lagging gateways or all of them."""
    for address, control in cluster.controls.items():
        role = "writer" if control["writer"] else "replica"
        entries = f"{control['plans']} plans, {control['classes']} classes"
        yield f"{address}: {role}, version {control['version']}, {entries}"
    yield from cluster.failed.values()
    gateways = cluster.gateways()
    versions = Counter(gateway["version"] for gateway in gateways)
    counts = ", ".join(f"{count} at version {version}" for version, count in sorted(versions.items()))
    yield f"{len(gateways)} gateways: {counts or 'none'}"
    lagging = cluster.lagging()
    if lagging:
        longest_s = max(gateway["lag_ms"] for gateway in lagging) / 1000.0
        yield f"{len(lagging)} lag, the longest for {longest_s:.1f} s"
    for gateway in sorted(gateways if all_gateways else lagging, key=lambda gateway: gateway["name"]):
        lag_s = gateway["lag_ms"] / 1000.0
        yield f"  {gateway['name']}: version {gateway['version']}, {lag_s:.1f} s behind"
