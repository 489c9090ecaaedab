"""One figure of a role's table in docs/CAPACITY.md, and what the figures are read off."""

from __future__ import annotations

from dataclasses import dataclass
from math import isinf, isnan, nan

from granitedock.lab.scale.results import Results, Slope, slope
from granitedock.lab.scale.sizes import OperatorSize
from granitedock.lab.scale.tables import figure

MEASURED, SIMULATED, RECKONED = "measured", "simulated", "reckoned"
MISSING = "**missing**"
KIB = 1024.0
SEGMENT_BYTES = 52.0  # headers of IP and TCP with time stamps, each way
STATES_A_RESTART = 3  # lists a restart makes: drains, gone, back


@dataclass(frozen=True, slots=True)
class Row:
    """One line of a role's table. `total` and `budget` are in `unit`; no budget is not a number."""

    what: str
    reckoning: str
    total: float
    unit: str
    source: str
    kind: str
    mechanism: str
    budget: float = nan

    @property
    def factor(self) -> float:
        return self.total / self.budget

    def cells(self) -> tuple:
        budgeted = not isnan(self.budget)
        budget = amount(self.budget, self.unit) if budgeted else ""
        factor = over_by(self.factor) if budgeted else ""
        total = amount(self.total, self.unit)
        return self.what, self.reckoning, total, self.kind, self.source, budget, factor, self.mechanism


HEADS = ("figure", "slope x count", "at the size", "kind", "source", "budget", "factor", "mechanism")


def amount(value: float, unit: str) -> str:
    """A figure with its unit; one without end never happens."""
    return "never" if isinf(value) else f"{figure(float(value))} {unit}"


def over_by(factor: float) -> str:
    return "without end" if isinf(factor) else f"{figure(factor)}x"


def times(each: float, unit: str, count: float, of: str) -> str:
    return f"{figure(float(each))} {unit} x {figure(float(count))} {of}"


class Slopes:
    """One run's results at the operators' size."""

    def __init__(self, results: Results, size: OperatorSize) -> None:
        self.results, self.size = results, size

    def line(self, kind: str, count: str, cost: str) -> Slope:
        return slope(getattr(self.results, kind), count, cost)

    def at(self, kind: str, count: str, cost: str, number: float) -> float:
        """The measured value at this count where there is one, else along the slope."""
        for row in getattr(self.results, kind):
            if getattr(row, count) == number:
                return float(getattr(row, cost))
        return self.line(kind, count, cost).at(number)
