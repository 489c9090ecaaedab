"""Define the operators' size in two years, and the sizes at which slopes are measured.

The counts and budgets of the operators' size are the operators' own figures (docs/CAPACITY.md), not results
of a measurement.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

SECONDS_PER_DAY = 86_400.0
UPDATES_PER_RESTART = 3  # Endpoint updates of a host's restart: it drains, is removed and is added again.


@dataclass(frozen=True, slots=True)
class OperatorSize:
    """The operators' deployment: its counts and rates, and the budgets of a gateway.

    Rates are per second unless the name gives another unit.
    """

    gateways: int = 500
    hosts: int = 7_900
    services: int = 360
    requests_a_second: float = 80_000.0
    routes: int = 12_000
    plans: int = 21_000  # One plan per tenant.
    regions: int = 2
    zones: int = 5
    added_p99_ms: float = 5.8
    changes_a_day: float = 1_100.0
    change_within_s: float = 10.0
    control_core: float = 0.017  # Share of one core, per gateway.
    control_memory_mb: float = 64.0
    control_bytes_a_second: float = 13_000.0
    control_machines: int = 4
    failures_a_day: float = 28.0
    restarts_a_day: float = 820.0

    @property
    def requests_a_gateway(self) -> float:
        """Requests per second at one gateway."""
        return self.requests_a_second / self.gateways

    @property
    def changes_a_second(self) -> float:
        """Configuration changes per second, as the mean of a day."""
        return self.changes_a_day / SECONDS_PER_DAY

    @property
    def endpoint_updates_a_day(self) -> float:
        """Endpoint updates per day that result from restarts of hosts."""
        return self.restarts_a_day * UPDATES_PER_RESTART

    @property
    def endpoint_updates_a_second(self) -> float:
        """Endpoint updates per second, as the mean of a day."""
        return self.endpoint_updates_a_day / SECONDS_PER_DAY

    @property
    def control_core_percent(self) -> float:
        """A gateway's budget of processor time for control traffic, in % of a core."""
        return 100.0 * self.control_core


class ConfigurationCase(NamedTuple):
    """The sizes of one measurement of the configuration service."""

    gateways: int
    plans: int
    hosts: int
    control_processes: int


@dataclass(frozen=True, slots=True)
class Sizes:
    """The counts at which each measurement is taken."""

    hosts: tuple[int, ...]
    plans: tuple[int, ...]
    gateways: tuple[int, ...]
    request_hosts: tuple[int, ...]
    counter_connections: tuple[int, ...]
    request_seconds: float
    counter_seconds: float
    view_seconds: float
    hollow_gateways: tuple[int, ...]
    hollow_hosts: int
    configuration: tuple[ConfigurationCase, ...]


FULL = Sizes(
    hosts=(500, 2_000, 4_000, 7_900),
    plans=(1_000, 4_000, 8_000, 21_000),
    gateways=(40, 200, 500, 1_000),
    request_hosts=(20, 500, 2_000, 7_900),
    counter_connections=(4, 100, 1_000, 4_000),
    request_seconds=10.0,
    counter_seconds=4.0,
    view_seconds=10.0,
    hollow_gateways=(50, 125, 250, 500),
    hollow_hosts=7_900,
    configuration=(
        ConfigurationCase(gateways=125, plans=21_000, hosts=7_900, control_processes=4),
        ConfigurationCase(gateways=250, plans=21_000, hosts=7_900, control_processes=1),
        ConfigurationCase(gateways=500, plans=21_000, hosts=7_900, control_processes=4),
    ),
)
QUICK = Sizes(
    hosts=(500, 2_000, 4_000, 7_900),
    plans=(1_000, 4_000, 8_000, 21_000),
    gateways=(40, 200),
    request_hosts=(20,),
    counter_connections=(4, 100),
    request_seconds=4.0,
    counter_seconds=1.0,
    view_seconds=3.0,
    hollow_gateways=(50,),
    hollow_hosts=500,
    configuration=(ConfigurationCase(gateways=20, plans=1_000, hosts=50, control_processes=2),),
)
