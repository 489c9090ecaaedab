"""Running a scenario: real gateways, its clients' load and its timeline, then what came of it.

What is expected of the run stands in the scenario itself (`[[expect]]`); the five rules are checked from the
outside. Records and logs stay in the folder given (`run_storage`).
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
from granitedock.lab.load.generator import LoadGenerator
from granitedock.lab.load.request_record import RequestRecord, served_units
from granitedock.lab.load.verification import cluster_load, violations
from granitedock.lab.run_storage import Run
from granitedock.lab.scenario import Expect, Fault, Scenario, load

Say = Callable[[str], None]  # shows the user a line

DEFAULT_SCENARIO = Path(__file__).parent / "default.toml"
DEFAULT_FOLDER = Path("lab-runs")
PLOT_FILE = "report.png"
JOIN_WITHIN_S = 20.0
NOTICE_WITHIN_S = 10.0
SUMMARY_S = 5  # seconds a line
OK, NOT_MET = 0, 1  # exit codes


class GatewayAddressError(GranitedockError, ValueError):
    """The addresses of gateways cannot be used."""


class Step(StrEnum):
    """What happens to a fault of the timeline, as it is shown to the user."""

    BEGINS = "begins"
    ENDS = "ends"


@dataclass(frozen=True, slots=True, order=True)
class TimelineStep:
    """A fault that begins or ends at `at_s`; `position` is the fault's in the scenario file."""

    at_s: float
    position: int
    step: Step


def run_scenario(path: str | Path, out: str | None, say: Say) -> int:
    """Run a scenario file; 0 if it showed what it expects, else 1. Raises ScenarioError. The run is kept in
    `out`, or in `lab-runs/` under the scenario's name."""
    scenario = load(path)
    folder = Path(out) if out is not None else DEFAULT_FOLDER / scenario.name
    folder.mkdir(parents=True, exist_ok=True)
    code = run_on_cluster(scenario, folder, say)
    run = run_storage.read(folder)
    for line in report.report_lines(run):
        say(line)
    report.plot([run], folder / PLOT_FILE)
    say(f"kept in {folder}, plots in {folder / PLOT_FILE}")
    return code


def run_on_cluster(scenario: Scenario, folder: Path, say: Say) -> int:
    """Run a scenario on a cluster of its own and keep the run in the folder; the exit code."""
    with GatewayCluster(scenario, folder) as cluster:
        cluster.wait_until_ready()
        if scenario.fleet.membership:
            took_s = cluster.wait_for_agreement(range(cluster.count), JOIN_WITHIN_S)
            say(f"views agree after {took_s:.1f} s")
        clients = cluster_load(cluster)
        cluster.restart_timeline()
        clients.start()
        run_timeline(cluster, clients, say)
        records = clients.stop()
        faults = [fault.model_dump(by_alias=True) for fault in scenario.timeline]
        run_storage.keep(Run(scenario.name, scenario.length_s, faults, records), folder)
        for line in summary(records):
            say(line)
        wrong = violations(clients, cluster) + unmet_expectations(scenario, records, say)
    return verdict(wrong, say)


def run_load(path: str, addresses: list[str], seconds: float | None, out: str | None, say: Say) -> int:
    """The scenario's clients against gateways that run at these addresses; 0 if each request got its one
    answer in time. Raises ScenarioError, LoadTimeoutError, GatewayAddressError."""
    scenario = load(path)
    check_addresses(path, scenario, addresses)
    length_s = seconds or scenario.length_s
    clients = LoadGenerator(scenario, addresses)
    run = Run(scenario.name, length_s, [], clients.run(length_s))
    for line in report.report_lines(run):
        say(line)
    if out is not None:
        folder = Path(out)
        folder.mkdir(parents=True, exist_ok=True)
        run_storage.keep(run, folder)
        report.plot([run], folder / PLOT_FILE)
    return verdict(violations(clients), say)


def check_addresses(path: str, scenario: Scenario, addresses: list[str]) -> None:
    """Check that the addresses are such, and enough for the scenario. Raises GatewayAddressError."""
    widest = max(clients.subset_size for clients in scenario.clients)
    if widest > len(addresses):
        problem = f"{path}: a customer's set has {widest} gateways, and {len(addresses)} are named"
        raise GatewayAddressError(problem)
    for address in addresses:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            problem = f"no address: {address!r}"
            raise GatewayAddressError(problem)


def verdict(wrong: list[str], say: Say) -> int:
    """Show what was not met; the exit code."""
    for line in wrong:
        say(f"NOT MET {line}")
    return NOT_MET if wrong else OK


def run_timeline(cluster: GatewayCluster, clients: LoadGenerator, say: Say) -> None:
    """Put the faults on gateways, at their times, until the scenario's length is over. Those of the emulators
    are begun and ended by the emulators."""
    scenario = cluster.scenario
    for step in timeline_steps(scenario):
        fault = scenario.timeline[step.position]
        time.sleep(max(0.0, step.at_s - clients.now_s()))
        what = f"{fault.kind} {fault.target} {fault.other_side} {step.step}"
        say(f"{clients.now_s():6.1f} s  {what}")
        if step.step == Step.ENDS:
            cluster.end_fault(fault)
            continue
        cluster.begin_fault(fault)
        if scenario.fleet.membership and fault.kind in (FaultKind.KILL, FaultKind.STOP):
            say_when_noticed(cluster, clients, say)
    time.sleep(max(0.0, scenario.length_s - clients.now_s()))


def timeline_steps(scenario: Scenario) -> Iterator[TimelineStep]:
    """What happens to the faults that are put on gateways, in order, within the scenario's length."""
    due: list[TimelineStep] = []
    for position, fault in enumerate(scenario.timeline):
        if is_on_gateways(fault, scenario.fleet.gateways):
            heapq.heappush(due, TimelineStep(fault.at_s, position, Step.BEGINS))
            if fault.for_s:
                heapq.heappush(due, TimelineStep(fault.at_s + fault.for_s, position, Step.ENDS))
    while due and due[0].at_s < scenario.length_s:
        yield heapq.heappop(due)


def is_on_gateways(fault: Fault, gateways: int) -> bool:
    """Whether a fault is put on gateways."""
    return bool(gateway_numbers(fault.target, gateways)) and TargetKind.GATEWAY in TARGETS[fault.kind]


def say_when_noticed(cluster: GatewayCluster, clients: LoadGenerator, say: Say) -> None:
    """Wait until the gateways that run hold just themselves live, and show how long it took."""
    live = [gateway.number for gateway in cluster.gateways if gateway.is_running() and not gateway.paused]
    began_s = clients.now_s()
    try:
        took_s = cluster.wait_for_agreement(live, NOTICE_WITHIN_S)
    except ClusterError as error:
        say(f"{clients.now_s():6.1f} s  views differ: {error}")
    else:
        say(f"{began_s:6.1f} s  known to all after {took_s:.1f} s")


def summary(records: list[RequestRecord]) -> list[str]:
    """What was answered, five seconds a line."""
    table: dict[int, Counter[str]] = {}
    for record in records:
        begins = int(record.sent_at_s // SUMMARY_S) * SUMMARY_S
        table.setdefault(begins, Counter())[record.outcome] += 1
    return [
        f"{at:4d} s  " + "  ".join(f"{outcome} {count}" for outcome, count in sorted(counts.items()))
        for at, counts in sorted(table.items())
    ]


def unmet_expectations(scenario: Scenario, records: list[RequestRecord], say: Say) -> list[str]:
    """What is expected and did not come; shows each expectation's figure."""
    wrong = []
    for expect in scenario.expect:
        part = served_part(scenario, records, expect)
        span = f"{expect.from_s:g} to {expect.to_s:g} s"
        line = f"customer {expect.customer}, {span}: {part:.3f} of the allowance"
        say(line)
        if not expect.least <= part <= expect.most:
            wrong.append(f"{line}, not {expect.least:g} to {expect.most:g}")
    return wrong


def served_part(scenario: Scenario, records: list[RequestRecord], expect: Expect) -> float:
    """The customer's units served in the expectation's time, as a part of what its plan's rate allows."""
    rates = {plan.name: plan.rate for plan in scenario.plans}
    plans = {clients.customer: clients.plan for clients in scenario.clients}
    allowed = rates[plans[expect.customer]] * (expect.to_s - expect.from_s)
    return served_units(records, expect.customer, expect.from_s, expect.to_s) / allowed
