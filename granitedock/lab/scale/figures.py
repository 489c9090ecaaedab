"""Define a figure of a role's table in docs/CAPACITY.md, and the model that the figures are derived from."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import isinf, isnan, nan

from granitedock.lab.scale.growth import LinearFit, fit_line
from granitedock.lab.scale.results import Results
from granitedock.lab.scale.sizes import OperatorSize
from granitedock.lab.scale.tables import format_value

MISSING = "**missing**"
KIB = 1024.0
BYTES_PER_MEGABYTE = 1e6
MS_PER_SECOND_PER_PERCENT = 10.0  # Processor ms per second that equal 1 % of a core.
US_PER_SECOND_PER_PERCENT = 1e4
# IP and TCP headers of a segment, with the timestamp option. Each direction sends one segment.
SEGMENT_HEADER_BYTES = 52.0
FIGURE_HEADERS = ("figure", "slope x count", "at the size", "kind", "source", "budget", "factor", "mechanism")


class FigureKind(Enum):
    """How a figure is obtained; the values are the texts on the page."""

    MEASURED = "measured"
    SIMULATED = "simulated"
    CALCULATED = "reckoned"


@dataclass(frozen=True, slots=True)
class CapacityFigure:
    """One line of a role's table. `total` and `budget` are in `unit`; the budget is nan if none is set."""

    name: str
    calculation: str
    total: float
    unit: str
    source: str
    kind: FigureKind
    mechanism: str
    budget: float = nan

    @property
    def factor(self) -> float:
        """The total divided by the budget: above 1 exceeds the budget, nan without a budget."""
        return self.total / self.budget

    def cells(self) -> tuple[str, ...]:
        """Return the texts of the table's columns, in the order of `FIGURE_HEADERS`."""
        has_budget = not isnan(self.budget)
        return (
            self.name,
            self.calculation,
            format_amount(self.total, self.unit),
            self.kind.value,
            self.source,
            format_amount(self.budget, self.unit) if has_budget else "",
            format_factor(self.factor) if has_budget else "",
            self.mechanism,
        )


def format_amount(value: float, unit: str) -> str:
    """Format a value with its unit; an infinite value, such as a time that is never reached, is `never`."""
    return "never" if isinf(value) else f"{format_value(float(value))} {unit}"


def format_factor(factor: float) -> str:
    """Format the total divided by the budget; an infinite factor is `without end`."""
    return "without end" if isinf(factor) else f"{format_value(factor)}x"


def format_product(each: float, unit: str, count: float, counted: str) -> str:
    """Format a figure's calculation: the cost of each item, times the count of the items `counted`."""
    return f"{format_value(float(each))} {unit} x {format_value(float(count))} {counted}"


class CapacityModel:
    """The results of one run, extrapolated to the operators' size."""

    def __init__(self, results: Results, size: OperatorSize) -> None:
        self.results = results
        self.size = size

    def fit(self, kind: str, count: str, cost: str) -> LinearFit:
        """Fit a line to the field `cost` over the field `count` of a kind's measurements."""
        return fit_line(self.results.measurements(kind), count, cost)

    def value_at(self, kind: str, count: str, cost: str, number: float) -> float:
        """Return the value measured at the count `number`, or the fitted line's value if there is none."""
        for measurement in self.results.measurements(kind):
            if getattr(measurement, count) == number:
                return float(getattr(measurement, cost))
        return self.fit(kind, count, cost).at(number)
