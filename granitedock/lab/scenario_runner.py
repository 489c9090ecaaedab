"""Runs a scenario with real gateways, its clients' load and its timeline, and evaluates the results.

The scenario itself states the expectations of the run (`[[expect]]`). The five rules are checked from outside
the gateways. Records and logs are stored in the given folder (`run_storage`).
"""

from __future__ import annotations

import heapq
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from granitedock.errors import GranitedockError
from granitedock.lab import report, run_storage
from granitedock.lab.cluster.cluster import GatewayCluster
from granitedock.lab.cluster.errors import ClusterError
from granitedock.lab.fault_targets import TARGETS, FaultKind, TargetKind, gateway_numbers
from granitedock.lab.load.flood_clients import (
    REPLY_TIMEOUT_S,
    FloodClients,
    FloodRecord,
    unserved_floods,
)
from granitedock.lab.load.generator import POLL_S, LoadGenerator
from granitedock.lab.load.request_record import RequestRecord, served_units
from granitedock.lab.load.verification import cluster_load, violations
from granitedock.lab.reactor import on_reactor
from granitedock.lab.run_storage import Run
from granitedock.lab.scenario import Expect, Fault, Scenario, load, with_overrides
from granitedock.metrics import parse_counters
from granitedock.service.counter_names import SLOW_ITERATIONS

ShowLine = Callable[[str], None]  # shows one line to the user

DEFAULT_SCENARIO = Path(__file__).parent / "default.toml"
DEFAULT_FOLDER = Path("lab-runs")
PLOT_FILE = "report.png"
JOIN_TIMEOUT_S = 20.0
DETECTION_TIMEOUT_S = 10.0
SUMMARY_INTERVAL_S = 5  # the time span of each line of the summary
OK, NOT_MET = 0, 1  # exit codes


class GatewayAddressError(GranitedockError, ValueError):
    """The given gateway addresses are malformed or too few."""


class Step(StrEnum):
    """A transition of a fault of the timeline; the value is shown to the user."""

    BEGINS = "begins"
    ENDS = "ends"


@dataclass(frozen=True, slots=True, order=True)
class TimelineStep:
    """The start or end of a fault at `at_s`; `position` is the index of the fault in the scenario file."""

    at_s: float
    position: int
    step: Step


def run_scenario(
    path: str | Path,
    out: str | None,
    show_line: ShowLine,
    length_s: float | None = None,
    seed: int | None = None,
) -> int:
    """Run a scenario file; returns the exit code 0 if its expectations are met, else 1.

    The run is stored in `out`, by default in `lab-runs/` under the scenario's name. A length and a seed
    replace the scenario's. Raises ScenarioError.
    """
    scenario = with_overrides(load(path), str(path), length_s, seed)
    folder = Path(out) if out is not None else DEFAULT_FOLDER / scenario.name
    folder.mkdir(parents=True, exist_ok=True)
    code = run_on_cluster(scenario, folder, show_line)
    run = run_storage.read(folder)
    for line in report.report_lines(run):
        show_line(line)
    report.plot([run], folder / PLOT_FILE)
    show_line(f"run stored in {folder}, plots in {folder / PLOT_FILE}")
    return code


def run_on_cluster(scenario: Scenario, folder: Path, show_line: ShowLine) -> int:
    """Run a scenario on a new cluster and store the run in the folder; returns the exit code."""
    with GatewayCluster(scenario, folder) as cluster:
        cluster.wait_until_ready()
        if scenario.fleet.membership:
            elapsed_s = cluster.wait_for_agreement(range(cluster.count), JOIN_TIMEOUT_S)
            show_line(f"views agree after {elapsed_s:.1f} s")
        generator = cluster_load(cluster)
        cluster.restart_timeline()
        generator.start()
        floods = start_floods(scenario, generator)
        run_timeline(cluster, generator, show_line)
        flood_records = stop_floods(floods)
        records = generator.stop()
        faults = [fault.model_dump(by_alias=True) for fault in scenario.timeline]
        run_storage.save(Run(scenario.name, scenario.length_s, faults, records), folder)
        for line in summary(records):
            show_line(line)
        if floods:
            show_line(f"floods {len(flood_records)}, {slow_iterations(cluster)}")
        unmet = violations(generator, cluster) + unmet_expectations(scenario, records, show_line)
        unmet += unserved_floods(flood_records)
    return show_unmet(unmet, show_line)


def start_floods(scenario: Scenario, generator: LoadGenerator) -> list[FloodClients]:
    """Start the scenario's floods, and return their clients."""
    floods = [
        FloodClients(table, f"{scenario.seed}:floods:{number}", generator.addresses[table.gateway])
        for number, table in enumerate(scenario.floods)
    ]
    for clients in floods:
        on_reactor(clients.start)
    return floods


def stop_floods(floods: list[FloodClients]) -> list[FloodRecord]:
    """Stop the floods, wait for those that were sent, and return all records."""
    for clients in floods:
        on_reactor(clients.stop)
    records = [record for clients in floods for record in clients.records]
    deadline_s = time.monotonic() + REPLY_TIMEOUT_S
    while time.monotonic() < deadline_s and not all(record.finished for record in records):
        time.sleep(POLL_S)
    return records


def slow_iterations(cluster: GatewayCluster) -> str:
    """Return how many iterations of each running gateway's event loop were slow, by its own counter."""
    counts = [
        parse_counters(cluster.ask(gateway.number, b"INFO")).get(SLOW_ITERATIONS, 0)
        for gateway in cluster.gateways
        if gateway.is_running()
    ]
    return f"slow iterations of the gateways' event loops: {counts}"


def run_load(
    path: str, addresses: list[str], seconds: float | None, out: str | None, show_line: ShowLine
) -> int:
    """Run the scenario's clients against running gateways at these addresses.

    Returns the exit code 0 if each request receives exactly one reply in time. Raises ScenarioError,
    LoadTimeoutError and GatewayAddressError.
    """
    scenario = load(path)
    check_addresses(path, scenario, addresses)
    length_s = seconds or scenario.length_s
    generator = LoadGenerator(scenario, addresses)
    run = Run(scenario.name, length_s, [], generator.run(length_s))
    for line in report.report_lines(run):
        show_line(line)
    if out is not None:
        folder = Path(out)
        folder.mkdir(parents=True, exist_ok=True)
        run_storage.save(run, folder)
        report.plot([run], folder / PLOT_FILE)
    return show_unmet(violations(generator), show_line)


def check_addresses(path: str, scenario: Scenario, addresses: list[str]) -> None:
    """Check that the addresses are valid and sufficient for the scenario. Raises GatewayAddressError."""
    largest_subset = max(clients.subset_size for clients in scenario.clients)
    if largest_subset > len(addresses):
        problem = f"{path}: a customer uses {largest_subset} gateways, got {len(addresses)} addresses"
        raise GatewayAddressError(problem)
    for address in addresses:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            problem = f"expected a gateway address HOST:PORT, got {address!r}"
            raise GatewayAddressError(problem)


def show_unmet(unmet: list[str], show_line: ShowLine) -> int:
    """Show the checks and expectations that are not met; returns the exit code."""
    for line in unmet:
        show_line(f"NOT MET {line}")
    return NOT_MET if unmet else OK


def run_timeline(cluster: GatewayCluster, generator: LoadGenerator, show_line: ShowLine) -> None:
    """Begin and end the faults of gateways at their times, until the end of the scenario.

    The emulators begin and end their own faults.
    """
    scenario = cluster.scenario
    for step in timeline_steps(scenario):
        fault = scenario.timeline[step.position]
        time.sleep(max(0.0, step.at_s - generator.now_s()))
        description = f"{fault.kind} {fault.target} {fault.other_side} {step.step}"
        show_line(f"{generator.now_s():6.1f} s  {description}")
        if step.step == Step.ENDS:
            cluster.end_fault(fault)
            continue
        cluster.begin_fault(fault)
        if scenario.fleet.membership and fault.kind in (FaultKind.KILL, FaultKind.STOP):
            show_detection_time(cluster, generator, show_line)
    time.sleep(max(0.0, scenario.length_s - generator.now_s()))


def timeline_steps(scenario: Scenario) -> Iterator[TimelineStep]:
    """Yield the starts and ends of faults of gateways in order of time, within the scenario's length."""
    steps: list[TimelineStep] = []
    for position, fault in enumerate(scenario.timeline):
        if targets_gateways(fault, scenario.fleet.gateways):
            heapq.heappush(steps, TimelineStep(fault.at_s, position, Step.BEGINS))
            if fault.for_s:
                heapq.heappush(steps, TimelineStep(fault.at_s + fault.for_s, position, Step.ENDS))
    while steps and steps[0].at_s < scenario.length_s:
        yield heapq.heappop(steps)


def targets_gateways(fault: Fault, gateways: int) -> bool:
    """Return whether the target of a fault is gateways."""
    return bool(gateway_numbers(fault.target, gateways)) and TargetKind.GATEWAY in TARGETS[fault.kind]


def show_detection_time(cluster: GatewayCluster, generator: LoadGenerator, show_line: ShowLine) -> None:
    """Wait until the running gateways see exactly themselves as live, and show the elapsed time."""
    live = [gateway.number for gateway in cluster.gateways if gateway.is_running() and not gateway.paused]
    began_s = generator.now_s()
    try:
        elapsed_s = cluster.wait_for_agreement(live, DETECTION_TIMEOUT_S)
    except ClusterError as error:
        show_line(f"{generator.now_s():6.1f} s  views differ: {error}")
    else:
        show_line(f"{began_s:6.1f} s  all views agree after {elapsed_s:.1f} s")


def summary(records: list[RequestRecord]) -> list[str]:
    """Return the numbers of outcomes, with one line for each SUMMARY_INTERVAL_S seconds."""
    table: dict[int, Counter[str]] = {}
    for record in records:
        start_s = int(record.sent_at_s // SUMMARY_INTERVAL_S) * SUMMARY_INTERVAL_S
        table.setdefault(start_s, Counter())[record.outcome] += 1
    return [
        f"{start_s:4d} s  " + "  ".join(f"{outcome} {count}" for outcome, count in sorted(counts.items()))
        for start_s, counts in sorted(table.items())
    ]


def unmet_expectations(scenario: Scenario, records: list[RequestRecord], show_line: ShowLine) -> list[str]:
    """Return the expectations that are not met, and show the measured value of each."""
    unmet = []
    for expect in scenario.expect:
        share = served_share(scenario, records, expect)
        span = f"{expect.from_s:g} to {expect.to_s:g} s"
        line = f"customer {expect.customer}, {span}: {share:.3f} of the allowance"
        show_line(line)
        if not expect.least <= share <= expect.most:
            unmet.append(f"{line}, expected {expect.least:g} to {expect.most:g}")
    return unmet


def served_share(scenario: Scenario, records: list[RequestRecord], expect: Expect) -> float:
    """Return the customer's units served in the expectation's time, as a share of its plan's allowance."""
    rates = {plan.name: plan.rate for plan in scenario.plans}
    plans = {clients.customer: clients.plan for clients in scenario.clients}
    allowed_units = rates[plans[expect.customer]] * (expect.to_s - expect.from_s)
    return served_units(records, expect.customer, expect.from_s, expect.to_s) / allowed_units
