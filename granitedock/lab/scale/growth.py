"""Fit how a measured cost grows with a count: a least-squares line, and the form of the growth."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import log

FLAT_BELOW_EXPONENT = 0.2  # Growth with a smaller exponent is classed as flat.
LINEAR_BELOW_EXPONENT = 1.25  # Growth with a smaller exponent that is not flat is classed as linear.


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A least-squares line: cost = intercept + slope x count."""

    slope: float
    intercept: float

    def at(self, count: float) -> float:
        """Return the cost that the line gives for this count."""
        return self.intercept + self.slope * count


def fit_line(measurements: Sequence[object], count: str, cost: str) -> LinearFit:
    """Fit a line to the field `cost` over the field `count`.

    The line is flat if there is only one measurement, and nan if there is none.
    """
    points = [
        (float(getattr(measurement, count)), float(getattr(measurement, cost)))
        for measurement in measurements
    ]
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
    """Return the power of the count by which the cost grows from the first to the last measurement."""
    first = measurements[0]
    last = measurements[-1]
    cost_ratio = getattr(last, cost) / getattr(first, cost)
    count_ratio = getattr(last, count) / getattr(first, count)
    return log(cost_ratio) / log(count_ratio)


def growth_form(measurements: Sequence[object], count: str, cost: str) -> str:
    """Classify the growth as `flat`, `linear` or `more than linear` by its exponent.

    Returns `not told` if there is no exponent: fewer than two measurements, or a cost that is not positive.
    """
    if len(measurements) < 2 or getattr(measurements[0], cost) <= 0 or getattr(measurements[-1], cost) <= 0:
        return "not told"
    power = growth_exponent(measurements, count, cost)
    if power < FLAT_BELOW_EXPONENT:
        return "flat"
    return "linear" if power < LINEAR_BELOW_EXPONENT else "more than linear"
