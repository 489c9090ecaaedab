"""The upper bound on what all gateways together admit, computed from the settings and membership's times.

Over any time T, all gateways together admit for a customer, whose plan has rate r and burst b and whose
subset has s gateways, at most

    b + r T + i (b + r D) / s + k (b + r L) / s + c r G / s

units. i is the number of gateways that became partitioned from the counter and from the others; each admits
its even share until the others reserve it, which takes at most D. k is the number of gateways that returned;
a fresh process adds its share of the burst, and the others' reserve for it ends within a lease, L. c is the
number of gateways partitioned from the counter only; their usage reaches the others within G.
docs/quota-sharing.md has the derivation.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from granitedock.membership.timing import Timing
from granitedock.policy.types import Plan

BROADCAST_ROUNDS = 5  # Gossip reaches all of up to 1,000 members within this many rounds.
MINUTE_MS = 60_000
BASELINE_GATEWAYS = 40  # The fleet size to which DETECTION_PERIODS, in probe periods, applies.
DETECTION_PERIODS = 10
PERIODS_PER_DOUBLING = 5  # Probe periods added for each doubling of the fleet.


def detection_ms(timing: Timing, gateways: int = BASELINE_GATEWAYS) -> float:
    """Return D, in ms: the time until all gateways that reach each other know of a silence.

    It also covers the silence of half of the fleet at once, which takes 8.7 s with 40 gateways and 13.3 s
    with 200.
    """
    doublings = max(0.0, math.log2(gateways / BASELINE_GATEWAYS))
    periods = DETECTION_PERIODS + PERIODS_PER_DOUBLING * doublings
    return periods * timing.period_ms + timing.suspect_most_ms + BROADCAST_ROUNDS * timing.gossip_ms


@dataclass(frozen=True, slots=True)
class Excess:
    """Units beyond the plan's allowance that one gateway adds in each case of the bound."""

    per_isolated: float
    per_returned: float
    per_counter_cut: float

    def total(self, isolated: int = 0, returned: int = 0, counter_cut: int = 0) -> float:
        """Return the units for these numbers of gateways in each case."""
        return (
            isolated * self.per_isolated + returned * self.per_returned + counter_cut * self.per_counter_cut
        )


def excess(
    plan: Plan,
    subset_size: int,
    timing: Timing,
    broadcast_interval_ms: float,
    gateways: int = BASELINE_GATEWAYS,
) -> Excess:
    """Return the units of each case for one plan and a subset of `subset_size` in a fleet of `gateways`."""
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
    """Return the rows that `granitedock check --fleet` prints, one for each plan with a rate.

    The subset is the whole fleet. `half_isolated_part` is the excess with half of the subset isolated at
    once, as a fraction of a minute's allowance.
    """
    rows: list[dict[str, float | str]] = []
    for plan in plans:
        if plan.rate <= 0:
            continue
        terms = excess(plan, gateways, timing, broadcast_interval_ms, gateways)
        minute_allowance = plan.rate * MINUTE_MS + plan.burst
        rows.append(
            {
                "plan": plan.name,
                "minute": minute_allowance,
                "each_isolated": round(terms.per_isolated, 3),
                "each_returned": round(terms.per_returned, 3),
                "each_told": round(terms.per_counter_cut, 3),
                "half_isolated_part": round(terms.total(isolated=gateways // 2) / minute_allowance, 4),
            }
        )
    return rows
