"""How a measured cost grows with a count: a straight line by least squares, and the growth's form."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import log

FLAT_BELOW = 0.2  # a growth exponent below it counts as flat
LINEAR_BELOW = 1.25  # and up to this one as linear


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A straight line by least squares: cost = intercept + slope x count."""

    slope: float
    intercept: float

    def at(self, count: float) -> float:
        """The line's cost at this count."""
        return self.intercept + self.slope * count


def fit_line(measurements: Sequence[object], count: str, cost: str) -> LinearFit:
    """The line through the field `cost` by the field `count`: flat where there is one measurement, nan where
    there is none."""
    points = [(float(getattr(one, count)), float(getattr(one, cost))) for one in measurements]
    if not points:
        return LinearFit(float("nan"), float("nan"))
    mean_count = sum(x for x, _ in points) / len(points)
    mean_cost = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_count) ** 2 for x, _ in points)
    if spread <= 0:
        return LinearFit(0.0, mean_cost)
    slope = sum((x - mean_count) * (y - mean_cost) for x, y in points) / spread
    return LinearFit(slope, mean_cost - slope * mean_count)


def growth_exponent(measurements: Sequence[object], count: str, cost: str) -> float:
    """By which power of the count the cost grows from the first measurement to the last."""
    first = measurements[0]
    last = measurements[-1]
    cost_ratio = getattr(last, cost) / getattr(first, cost)
    count_ratio = getattr(last, count) / getattr(first, count)
    return log(cost_ratio) / log(count_ratio)


def growth_form(measurements: Sequence[object], count: str, cost: str) -> str:
    """`flat`, `linear` or `more than linear` by the growth exponent; `not told` where there is none."""
    if len(measurements) < 2 or getattr(measurements[0], cost) <= 0 or getattr(measurements[-1], cost) <= 0:
        return "not told"
    power = growth_exponent(measurements, count, cost)
    if power < FLAT_BELOW:
        return "flat"
    return "linear" if power < LINEAR_BELOW else "more than linear"
