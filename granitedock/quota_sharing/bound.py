"""The bound on what all gateways together let in, stated in advance from the settings and the view's times.

Over any time T, a customer of a plan with rate r and burst b, whose set has s gateways, gets at most

    b + r T + i (b + r D) / s + k (b + r L) / s + c r G / s

where i counts gateways that became cut off from the counter and from the others (each takes its even share
until the others hold it back, D later at most), k those that came back (a fresh process brings its burst's
share; what others hold of it ends within a lease, L), and c those cut off from the counter only (what they
let in is told within G). Derived in docs/shared.md.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from granitedock.membership.timing import Timing
from granitedock.policy.types import Plan

TELLINGS = 5  # rounds in which news reaches all, as measured at up to 1,000 members


def detection_ms(pace: Timing, gateways: int = 40) -> float:
    """D: until a silence is known to all that can hear each other, also that of half of the fleet at once, as
    measured (8.7 s at 40, 13.3 s at 200)."""
    periods = 10 + 5 * max(0.0, math.log2(gateways / 40))
    return periods * pace.period_ms + pace.suspect_most_ms + TELLINGS * pace.gossip_ms


@dataclass(frozen=True, slots=True)
class Excess:
    """Units beyond the plan's own allowance, for each of the bound's terms."""

    each_isolated: float
    each_returned: float
    each_told: float

    def of(self, isolated: int = 0, returned: int = 0, told: int = 0) -> float:
        return isolated * self.each_isolated + returned * self.each_returned + told * self.each_told


def excess(plan: Plan, subset_size: int, pace: Timing, tell_ms: float, gateways: int = 40) -> Excess:
    """The terms for one plan and a set of `spread` in a fleet of `gateways`."""
    burst, rate = plan.burst / subset_size, plan.rate / subset_size
    return Excess(
        burst + rate * detection_ms(pace, gateways), burst + rate * pace.lease_ms, rate * TELLINGS * tell_ms
    )


def told(plans: list[Plan], gateways: int, pace: Timing, tell_ms: float) -> list[dict[str, float | str]]:
    """For each plan with a rate, and the whole fleet as its set: what `granitedock check` prints. The part is
    of a minute's allowance, for half of the set isolated at once."""
    rows = []
    for plan in plans:
        if plan.rate <= 0:
            continue
        terms = excess(plan, gateways, pace, tell_ms, gateways)
        minute = plan.rate * 60_000 + plan.burst
        rows.append(
            {
                "plan": plan.name,
                "minute": minute,
                "each_isolated": round(terms.each_isolated, 3),
                "each_returned": round(terms.each_returned, 3),
                "each_told": round(terms.each_told, 3),
                "half_isolated_part": round(terms.of(isolated=gateways // 2) / minute, 4),
            }
        )
    return rows
