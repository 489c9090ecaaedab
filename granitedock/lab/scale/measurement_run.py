"""Run the measurements, each case in a process of its own."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from granitedock.lab.scale import calls, configuration, documents, fleet, hosts, plans, requests, view
from granitedock.lab.scale.errors import ScaleError, UnknownKindError
from granitedock.lab.scale.probe import run_in_fresh_process
from granitedock.lab.scale.sizes import OperatorSize, Sizes

Case = Sequence[Any]  # The arguments of one measurement.


@dataclass(frozen=True, slots=True)
class MeasurementPlan:
    """The measuring function of a kind, and its arguments for each case."""

    measure: Callable[..., Any]
    cases: Sequence[Case]


def single_argument_cases(counts: Iterable[int]) -> list[Case]:
    """Return one case per count, with the count as its only argument."""
    return [(count,) for count in counts]


def measurement_plans(sizes: Sizes, operator_size: OperatorSize) -> dict[str, MeasurementPlan]:
    """Return the measurement plan of each kind, in the order of the run."""
    rate = operator_size.requests_a_gateway
    request_cases = [
        (count, counting, rate, sizes.request_seconds)
        for count in sizes.request_hosts
        for counting in (False, True)
    ]
    view_cases = [(count, sizes.view_seconds) for count in sizes.gateways]
    call_cases = [(count, sizes.counter_seconds) for count in sizes.counter_connections]
    fleet_cases = [(count, sizes.hollow_hosts, True) for count in sizes.hollow_gateways]
    return {
        "hosts": MeasurementPlan(hosts.measure, single_argument_cases(sizes.hosts)),
        "plans": MeasurementPlan(plans.measure, single_argument_cases(sizes.plans)),
        "view": MeasurementPlan(view.measure, view_cases),
        "calls": MeasurementPlan(calls.measure, call_cases),
        "requests": MeasurementPlan(requests.measure, request_cases),
        "fleets": MeasurementPlan(fleet.measure, fleet_cases),
        "documents": MeasurementPlan(documents.measure, single_argument_cases(sizes.plans)),
        "configuration": MeasurementPlan(configuration.measure, sizes.configuration),
    }


class MeasurementRun:
    """One run of the measurements.

    A case that fails is listed in `not_taken`, and the run continues with the next case.
    """

    def __init__(self, sizes: Sizes, operator_size: OperatorSize, echo: Callable[[str], None]) -> None:
        self.plans = measurement_plans(sizes, operator_size)
        self.echo = echo
        self.not_taken: list[str] = []

    def measure_all(self) -> dict[str, list[Any]]:
        """Measure all kinds and return the costs by kind."""
        return {kind: self.measure_kind(kind) for kind in self.plans}

    def measure_kind(self, kind: str) -> list[Any]:
        """Measure one kind and return its costs, without the cases that failed.

        Raises UnknownKindError if the kind does not exist.
        """
        if kind not in self.plans:
            raise UnknownKindError.of(kind, self.plans)
        plan = self.plans[kind]
        costs = []
        for case in plan.cases:
            case_text = ", ".join(str(argument) for argument in case)
            self.echo(f"{kind}: {case_text}")
            try:
                costs.append(run_in_fresh_process(plan.measure, *case))
            except (ScaleError, OSError) as error:
                self.not_taken.append(f"{kind} at {case_text} ({error})")
        return costs
