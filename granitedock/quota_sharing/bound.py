"""The bound on what all gateways together admit, stated in advance from the settings and the view's times.

Over any time T, a customer of a plan with rate r and burst b, whose subset has s gateways, gets at most

    b + r T + i (b + r D) / s + k (b + r L) / s + c r G / s

where i counts gateways that became cut off from the counter and from the others (each takes its even share
until the others hold it back, D later at most), k those that came back (a fresh process brings its burst's
share; what others hold of it ends within a lease, L), and c those cut off from the counter only (the others
hear of what they admit within G). Derived in docs/quota-sharing.md.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from granitedock.membership.timing import Timing
from granitedock.policy.types import Plan

BROADCAST_ROUNDS = 5  # in which gossip reaches all, as measured at up to 1,000 members
MINUTE_MS = 60_000
MEASURED_GATEWAYS = 40  # the fleet whose detection time was measured, in probe periods
DETECTION_PERIODS = 10
PERIODS_PER_DOUBLING = 5


def detection_ms(timing: Timing, gateways: int = MEASURED_GATEWAYS) -> float:
    """D, in ms: until a silence is known to all that can hear each other.

    Holds also for the silence of half of the fleet at once, as measured (8.7 s at 40, 13.3 s at 200).
    """
    doublings = max(0.0, math.log2(gateways / MEASURED_GATEWAYS))
    periods = DETECTION_PERIODS + PERIODS_PER_DOUBLING * doublings
    return periods * timing.period_ms + timing.suspect_most_ms + BROADCAST_ROUNDS * timing.gossip_ms


@dataclass(frozen=True, slots=True)
class Excess:
    """Units beyond the plan's own allowance, for one gateway in each of the bound's cases."""

    per_isolated: float
    per_returned: float
    per_counter_cut: float

    def total(self, isolated: int = 0, returned: int = 0, counter_cut: int = 0) -> float:
        """The units for so many gateways in each case."""
        return (
            isolated * self.per_isolated + returned * self.per_returned + counter_cut * self.per_counter_cut
        )


def excess(
    plan: Plan,
    subset_size: int,
    timing: Timing,
    broadcast_interval_ms: float,
    gateways: int = MEASURED_GATEWAYS,
) -> Excess:
    """The terms for one plan and a subset of `subset_size` in a fleet of `gateways`."""
    burst = plan.burst / subset_size
    rate = plan.rate / subset_size
    return Excess(
        per_isolated=burst + rate * detection_ms(timing, gateways),
        per_returned=burst + rate * timing.lease_ms,
        per_counter_cut=rate * BROADCAST_ROUNDS * broadcast_interval_ms,
    )


def bound_report(
    plans: list[Plan], gateways: int, timing: Timing, broadcast_interval_ms: float
) -> list[dict[str, float | str]]:
    """What `granitedock check --fleet` prints: a row for each plan with a rate, its subset the whole fleet.

    `half_isolated_part` is a part of a minute's allowance, for half of the subset isolated at once.
    """
    rows: list[dict[str, float | str]] = []
    for plan in plans:
        if plan.rate <= 0:
            continue
        terms = excess(plan, gateways, timing, broadcast_interval_ms, gateways)
        minute = plan.rate * MINUTE_MS + plan.burst
        rows.append(
            {
                "plan": plan.name,
                "minute": minute,
                "each_isolated": round(terms.per_isolated, 3),
                "each_returned": round(terms.per_returned, 3),
                "each_told": round(terms.per_counter_cut, 3),
                "half_isolated_part": round(terms.total(isolated=gateways // 2) / minute, 4),
            }
        )
    return rows
