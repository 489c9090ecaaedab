"""The results of one run of the scale measurements, and their JSON format."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import orjson

from granitedock.lab.scale.calls import CallCost
from granitedock.lab.scale.configuration import ConfigurationCost
from granitedock.lab.scale.documents import DocumentCost
from granitedock.lab.scale.errors import ResultsFileError
from granitedock.lab.scale.fleet import FleetCost
from granitedock.lab.scale.hosts import HostCost
from granitedock.lab.scale.plans import PlanCost
from granitedock.lab.scale.requests import RequestCost
from granitedock.lab.scale.view import ViewCost

# One measurement of any kind.
Cost = HostCost | PlanCost | ViewCost | RequestCost | CallCost | FleetCost | DocumentCost | ConfigurationCost


@dataclass(frozen=True, slots=True)
class Machine:
    """The machine of the measurements, and its load averages before and after them."""

    cores: int
    python: str
    load_before: float
    load_after: float


@dataclass(slots=True)
class Results:
    """All measurements of one run by kind, each kind in ascending order of its count.

    The field names of this class and of the costs are the keys of the stored JSON.
    """

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
    not_taken: list[str] = field(default_factory=list)  # Failed measurements with the reason.
    taken_later: list[str] = field(default_factory=list)  # Kinds measured again on their own, in a later run.

    def measurements(self, kind: str) -> Sequence[Cost]:
        """Return the measurements of a kind, which is a key of `COST_TYPES`."""
        costs: Sequence[Cost] = getattr(self, kind)
        return costs

    def write(self, path: Path) -> None:
        """Write the results as JSON, replacing the file's content."""
        path.write_bytes(orjson.dumps(asdict(self), option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))


COST_TYPES: dict[str, type[Any]] = {
    "hosts": HostCost,
    "plans": PlanCost,
    "view": ViewCost,
    "requests": RequestCost,
    "calls": CallCost,
    "fleets": FleetCost,
    "documents": DocumentCost,
    "configuration": ConfigurationCost,
}


def read_results(path: Path) -> Results:
    """Read results from a file that `Results.write` created.

    Raises ResultsFileError if the file cannot be read or has another format.
    """
    try:
        return decode_results(orjson.loads(path.read_bytes()))
    except OSError as error:
        raise ResultsFileError.unreadable(path, error) from None
    except (orjson.JSONDecodeError, TypeError, KeyError, AttributeError) as error:
        raise ResultsFileError.malformed(path, error) from None


def decode_results(record: dict[str, Any]) -> Results:
    """Decode results from their JSON object. Raises TypeError or KeyError for another format."""
    machine = Machine(**record.pop("machine"))
    costs: dict[str, Any] = {
        kind: [cost_type(**cost_record) for cost_record in record.pop(kind)]
        for kind, cost_type in COST_TYPES.items()
    }
    return Results(machine=machine, **costs, **record)
