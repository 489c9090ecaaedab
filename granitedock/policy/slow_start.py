"""Slow start: a host that has just started gets the share of requests that its age shows it can serve.

The work that warm hosts answer shows what a host can serve. Each such answer earns this gateway credit, in
mean requests, for the warming hosts; a whole mean request of credit sends one request to one of them. Summed
over any number of gateways, a warming host gets its capacity share of the work of a warm host, and the
gateways need neither turns nor synchronized clocks.
"""

from __future__ import annotations

import zlib
from bisect import bisect
from itertools import accumulate

from granitedock.policy.load_estimates import LoadEstimates
from granitedock.policy.types import GatewaySettings, Host, Request
from granitedock.random_source import RandomSource

# While no host is warm, this share of the load that the settings allow is sent without earned credit.
UNPROVEN_SHARE = 0.25
MAX_CREDIT_REQUESTS = 2.0  # In mean requests.
MIN_HOST_SIZE = 1e-9


class SlowStartCredit:
    """Tracks which ready hosts are warming up and the credit for sending requests to them."""

    def __init__(self, settings: GatewaySettings, estimates: LoadEstimates, random: RandomSource) -> None:
        self.settings = settings.slow_start
        self.estimates = estimates
        self.random = random
        self.warming: list[Host] = []
        self.cumulative_capacities: list[float] = []  # Running sums of the present capacities of `warming`.
        self.warm_size = 0.0  # Sum of the registered sizes of the warm hosts.
        # Each gateway starts with a different fraction of a request, so that they do not all send their first
        # request to a warming host at once.
        identity = settings.identity
        self.credit = zlib.crc32(b"%d/%d" % (identity.seed, identity.number)) / 2**32

    def capacity_share(self, host: Host, now: float) -> float:
        """Return the share of a host's capacity that its age shows it can serve, at most 1.

        A host that answers again after its ejection may have restarted without an update of the endpoint
        list, so its age counts from the end of its probation.
        """
        warm_up_began_at = max(host.started_at, host.health.reinstated_at)
        if not warm_up_began_at or self.settings.warm_up_ms <= 0:
            return 1.0
        age = max(0.0, now - warm_up_began_at) / self.settings.warm_up_ms
        return min(
            1.0, self.settings.initial_capacity_share + (1.0 - self.settings.initial_capacity_share) * age
        )

    def refresh(self, ready: list[Host], now: float) -> None:
        """Recompute from all ready hosts which are warming up, and their capacities."""
        self.warming = [host for host in ready if self.capacity_share(host, now) < 1.0]
        self.credit = self.credit if self.warming else self.credit % 1.0
        capacities = (self.capacity_share(host, now) * max(host.size, MIN_HOST_SIZE) for host in self.warming)
        self.cumulative_capacities = list(accumulate(capacities))
        warm_hosts = (host for host in ready if self.capacity_share(host, now) >= 1.0)
        self.warm_size = sum(max(host.size, MIN_HOST_SIZE) for host in warm_hosts)

    def record_answer(self, host: Host, work: float, now: float) -> None:
        """Earn credit from an answer that took `work` mean requests.

        An answer of a warm host earns its work times the ratio of warming to warm capacity. Where no host is
        warm, each answer of a warming host earns its full work.
        """
        if self.cumulative_capacities and (not self.warm_size or self.capacity_share(host, now) >= 1.0):
            credit_ratio = self.cumulative_capacities[-1] / self.warm_size if self.warm_size else 1.0
            self.credit = min(MAX_CREDIT_REQUESTS, self.credit + work * credit_ratio)

    def next_warming_host(self, request: Request, ready_size: float, now: float) -> Host | None:
        """Spend credit on this request and return a warming host for it, or None without enough credit.

        `ready_size` is the registered size of all ready hosts. Prevents the sum of all gateways from
        overloading warming hosts; the cost is that, in a fleet that warms up as a whole, most requests must
        wait. There a few requests are sent without earned credit, so that answers begin and the load can
        grow.
        """
        if not self.warm_size and self.cumulative_capacities:
            self.credit += (
                UNPROVEN_SHARE * self.settings.overload_factor * self.cumulative_capacities[-1] / ready_size
            )
        if self.credit < 1.0 or not self.cumulative_capacities:
            return None
        self.credit -= self.estimates.request_work(request, now)
        return self.warming[
            bisect(self.cumulative_capacities, self.random.fraction() * self.cumulative_capacities[-1])
        ]
