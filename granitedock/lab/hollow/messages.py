"""Commands to a process of hollow gateways and its answers, each one line of JSON."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class HollowOrder:
    """An order to start the gateways `first` to `first + count - 1` of `gateways` in one process.

    `discovery` is an address, `control` the addresses of control processes. With a `membership_net` other
    than 0 the gateways are members of one cluster on the loopback net 127.`membership_net`.
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
    """The state of one hollow gateway.

    Times are seconds of the monotonic clock, which all processes of a machine share: the start of the
    gateway, and when it first had each version of the endpoint list (`list_at`) and of the configuration
    (`version_at`). `live` is the number of members that it considers live.
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
    """The state of one process of hollow gateways; `memory_mb` is its resident memory in MiB."""

    cpu_s: float  # processor time
    memory_mb: float
    gateways: list[GatewayState]
