"""What a process of hollow gateways is told and answers, each as a line of JSON."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class HollowOrder:
    """The gateways `first` to `first + count - 1` of `gateways`, to be started by one process.

    `discovery` is an address, `control` are those of control processes. With a `membership_net` the gateways
    are members of one cluster on the loopback net 127.`membership_net`.
    """

    first: int
    count: int
    gateways: int
    discovery: str
    membership_net: int = 0
    control: list[str] = field(default_factory=list)
    cluster: str = "lab"


@dataclass(slots=True)
class GatewayState:
    """One hollow gateway.

    Times are monotonic seconds, the same clock in all processes of a machine: of its start, and of the first
    moment at which it had each version of the endpoint list and of the configuration. `live` is the number of
    members that it holds for live.
    """

    name: str
    started_at: float = 0.0
    list_version: int = 0
    list_at: dict[str, float] = field(default_factory=dict)
    version: int = 0
    digest: str = ""
    version_at: dict[str, float] = field(default_factory=dict)
    live: int = 0
    counts: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class HollowStatus:
    """One process of hollow gateways; processor time in s, resident memory in MiB."""

    cpu_s: float
    memory_mb: float
    gateways: list[GatewayState]
