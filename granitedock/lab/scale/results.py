"""What the scale measurements gave, as one record that is kept as JSON, and the slopes read off it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from math import log
from pathlib import Path
from typing import Any

import orjson

from granitedock.lab.scale.calls import CallCost
from granitedock.lab.scale.configuration import ConfigurationCost
from granitedock.lab.scale.documents import DocumentCost
from granitedock.lab.scale.fleet import FleetCost
from granitedock.lab.scale.hosts import HostCost
from granitedock.lab.scale.plans import PlanCost
from granitedock.lab.scale.probe import ScaleError
from granitedock.lab.scale.requests import RequestCost
from granitedock.lab.scale.view import ViewCost

FLAT_BELOW = 0.2  # a growth exponent below it counts as flat
LINEAR_BELOW = 1.25  # and up to this one as linear


@dataclass(frozen=True, slots=True)
class Machine:
    """Where the figures were taken, and the load it had then (processes that ran, at begin and end)."""

    cores: int
    python: str
    load_before: float
    load_after: float


@dataclass(slots=True)
class Results:
    """All measurements of one run, by kind, each by rising count."""

    quick: bool
    machine: Machine
    hosts: list[HostCost] = field(default_factory=list)
    plans: list[PlanCost] = field(default_factory=list)
    view: list[ViewCost] = field(default_factory=list)
    requests: list[RequestCost] = field(default_factory=list)
    calls: list[CallCost] = field(default_factory=list)
    fleets: list[FleetCost] = field(default_factory=list)
    documents: list[DocumentCost] = field(default_factory=list)
    configuration: list[ConfigurationCost] = field(default_factory=list)
    not_taken: list[str] = field(default_factory=list)  # measurements that failed, and why
    taken_later: list[str] = field(default_factory=list)  # kinds measured again by themselves, in a later run

    def write(self, path: Path) -> None:
        path.write_bytes(orjson.dumps(asdict(self), option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))


KINDS = {
    "hosts": HostCost,
    "plans": PlanCost,
    "view": ViewCost,
    "requests": RequestCost,
    "calls": CallCost,
    "fleets": FleetCost,
    "documents": DocumentCost,
    "configuration": ConfigurationCost,
}


def read(path: Path) -> Results:
    """Results that were kept. Raises ScaleError, which names the file and what is wrong."""
    try:
        told = orjson.loads(path.read_bytes())
        machine = Machine(**told.pop("machine"))
        made = {kind: [row(**one) for one in told.pop(kind)] for kind, row in KINDS.items()}
        return Results(machine=machine, **made, **told)
    except OSError as fault:
        raise ScaleError(f"{path}: cannot be read: {fault.strerror}") from None
    except (orjson.JSONDecodeError, TypeError, KeyError, AttributeError) as fault:
        raise ScaleError(f"{path}: no results of lab scale: {type(fault).__name__}: {fault}") from None


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line by least squares: so much for each one more, and so much besides."""

    each: float
    besides: float

    def at(self, count: float) -> float:
        return self.besides + self.each * count


def slope(rows: Sequence[Any], count: str, cost: str) -> Slope:
    """The line through the rows' costs by their counts; flat at the one value where there is one row."""
    points = [(float(getattr(row, count)), float(getattr(row, cost))) for row in rows]
    if not points:
        return Slope(float("nan"), float("nan"))
    mean_count = sum(x for x, _ in points) / len(points)
    mean_cost = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_count) ** 2 for x, _ in points)
    if spread <= 0:
        return Slope(0.0, mean_cost)
    each = sum((x - mean_count) * (y - mean_cost) for x, y in points) / spread
    return Slope(each, mean_cost - each * mean_count)


def exponent(rows: Sequence[Any], count: str, cost: str) -> float:
    """By which power of the count the cost grows from the first row to the last."""
    first, last = rows[0], rows[-1]
    grown, more = getattr(last, cost) / getattr(first, cost), getattr(last, count) / getattr(first, count)
    return log(grown) / log(more)


def form(rows: Sequence[Any], count: str, cost: str) -> str:
    """`flat`, `linear` or `more than linear`, by the growth exponent."""
    if len(rows) < 2 or getattr(rows[0], cost) <= 0 or getattr(rows[-1], cost) <= 0:
        return "not told"
    power = exponent(rows, count, cost)
    if power < FLAT_BELOW:
        return "flat"
    return "linear" if power < LINEAR_BELOW else "more than linear"
