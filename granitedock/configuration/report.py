"""What several control processes say of the versions in force, put together for an operator."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from granitedock.configuration import client


@dataclass(slots=True)
class FleetStatus:
    """Each control process's own status, by address, and what those said that gave none."""

    controls: dict[str, dict[str, Any]] = field(default_factory=dict)
    failed: dict[str, str] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """The newest version that any control process has."""
        return max((one["version"] for one in self.controls.values()), default=0)

    def followers(self, role: str) -> list[dict[str, Any]]:
        return [
            follower
            for control in self.controls.values()
            for follower in control["followers"]
            if follower["role"] == role
        ]

    def lagging(self) -> list[dict[str, Any]]:
        return [one for one in self.followers("gateway") if one["version"] < self.version]

    def well(self) -> bool:
        return not self.failed and not self.lagging()

    def as_json(self) -> dict[str, Any]:
        return {"version": self.version, "controls": self.controls, "failed": self.failed}


def gathered(addresses: Iterable[str], within_s: float) -> FleetStatus:
    """Ask each address; one that does not answer is named."""
    found = FleetStatus()
    for address in addresses:
        try:
            found.controls[address] = client.status(address, within_s)
        except client.ControlError as fault:
            found.failed[address] = str(fault)
    return found


def lines(found: FleetStatus, every: bool) -> Iterator[str]:
    """A line for each control process, the gateways by version, and those that lag."""
    for address, one in found.controls.items():
        part = "writer" if one["writer"] else "replica"
        yield f"{address}: {part}, version {one['version']}, {one['plans']} plans, {one['classes']} classes"
    yield from found.failed.values()
    gateways = found.followers("gateway")
    versions = Counter(one["version"] for one in gateways)
    shares = ", ".join(f"{count} at version {version}" for version, count in sorted(versions.items()))
    yield f"{len(gateways)} gateways: {shares or 'none'}"
    lagging = found.lagging()
    if lagging:
        longest = max(one["lag_ms"] for one in lagging) / 1000.0
        yield f"{len(lagging)} lag, the longest for {longest:.1f} s"
    for one in sorted(gateways if every else lagging, key=lambda one: one["name"]):
        yield f"  {one['name']}: version {one['version']}, {one['lag_ms'] / 1000.0:.1f} s behind"
