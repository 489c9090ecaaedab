"""Slow start: hosts that have just started get the part of the work that their age proves they can do.

Answered work of warm hosts proves what hosts can do. For each such answer this gateway gains credit for the
warming hosts, in mean requests, and once a whole one is due a request goes to one of them. Summed over any
number of gateways that is the part of what a warm host did, without turns or clocks in common.
"""

from __future__ import annotations

import zlib
from bisect import bisect
from itertools import accumulate

from granitedock.policy.load_estimates import LoadEstimates
from granitedock.policy.types import GatewaySettings, Host, Request
from granitedock.random_source import RandomSource

UNPROVEN_SHARE = 0.25  # of what the settings allow a fleet that is warming up as a whole, sent without credit
MAX_CREDIT = 2.0  # mean requests
MIN_HOST_SIZE = 1e-9


class SlowStartCredit:
    """Which ready hosts are warming up, and the credit for them."""

    def __init__(self, settings: GatewaySettings, estimates: LoadEstimates, random: RandomSource) -> None:
        self.settings = settings.slow_start
        self.estimates = estimates
        self.random = random
        self.warming: list[Host] = []
        self.shares: list[float] = []  # the warming hosts' capacity, added up
        self.warm_size = 0.0  # registered sizes of the others
        # Each gateway begins at another part of a request, so that not all send their first at once.
        identity = settings.identity
        self.credit = zlib.crc32(b"%d/%d" % (identity.seed, identity.number)) / 2**32

    def capacity_share(self, host: Host, now: float) -> float:
        """The part of a host's capacity that its age proves, to 1. One back from silence may have restarted
        unheard, and counts from its trial."""
        began = max(host.started_at, host.health.reinstated_at)
        if not began or self.settings.warm_up_ms <= 0:
            return 1.0
        age = max(0.0, now - began) / self.settings.warm_up_ms
        return min(
            1.0, self.settings.initial_capacity_share + (1.0 - self.settings.initial_capacity_share) * age
        )

    def refresh(self, ready: list[Host], now: float) -> None:
        """Look at all ready hosts."""
        self.warming = [host for host in ready if self.capacity_share(host, now) < 1.0]
        self.credit = self.credit if self.warming else self.credit % 1.0
        capacities = (self.capacity_share(host, now) * max(host.size, MIN_HOST_SIZE) for host in self.warming)
        self.shares = list(accumulate(capacities))
        warm = (host for host in ready if self.capacity_share(host, now) >= 1.0)
        self.warm_size = sum(max(host.size, MIN_HOST_SIZE) for host in warm)

    def answered(self, host: Host, work: float, now: float) -> None:
        """An answer of a warm host gains credit by the parts of the warming ones; where none is warm, their
        own answers do."""
        if self.shares and (not self.warm_size or self.capacity_share(host, now) >= 1.0):
            part = self.shares[-1] / self.warm_size if self.warm_size else 1.0
            self.credit = min(MAX_CREDIT, self.credit + work * part)

    def next_host(self, request: Request, ready_size: float, now: float) -> Host | None:
        """The warming host that is due this request, if any; `ready_size` is of all ready hosts. Guards
        against overloading warming hosts by the sum of all gateways. Hurts a fleet that is warming up as a
        whole, of whose requests most have to wait: there a few go without credit, to begin and to grow."""
        if not self.warm_size and self.shares:
            self.credit += UNPROVEN_SHARE * self.settings.overload_factor * self.shares[-1] / ready_size
        if self.credit < 1.0 or not self.shares:
            return None
        self.credit -= self.estimates.request_work(request, now)
        return self.warming[bisect(self.shares, self.random.fraction() * self.shares[-1])]
