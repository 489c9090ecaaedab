"""Playing a scenario: real gateways, its clients' load and its timeline, then what came of it.

What is expected of the run stands in the scenario itself (`[[expect]]`); rule 1 is checked from the outside
on every answer. The rows and logs stay in the folder given, one JSON line a task in `rows.jsonl`.
"""

from __future__ import annotations

import heapq
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from granitedock.lab import report
from granitedock.lab.cluster.cluster import Rig, RigError
from granitedock.lab.load.generator import Load, Row, broken, done_units, load_on
from granitedock.lab.scenario import FAULTS, Scenario, load, numbers

JOIN_S = 20.0


DEFAULT = Path(__file__).parent / "default.toml"


def play(path: str | Path, out: str | None, say: Callable[[str], None]) -> int:
    """Play the scenario file; 0 if it showed what it expects, else 1. Raises ScenarioError. The run is kept
    in `out`, or in `lab-runs/` under the scenario's name."""
    scenario = load(path)
    folder = Path(out) if out is not None else Path("lab-runs") / scenario.name
    folder.mkdir(parents=True, exist_ok=True)
    code = played(scenario, folder, say)
    run = report.read(folder)
    for line in report.lines(run):
        say(line)
    report.plot([run], folder / "report.png")
    say(f"kept in {folder}, plots in {folder / 'report.png'}")
    return code


def played(scenario: Scenario, folder: Path, say: Callable[[str], None]) -> int:
    with Rig(scenario, folder) as rig:
        rig.ready()
        if scenario.fleet.view:
            say(f"views agree after {rig.agreed(range(rig.count), JOIN_S):.1f} s")
        clients = load_on(rig)
        rig.zero()
        clients.start()
        timeline(rig, clients, say)
        rows = clients.stop()
        faults = [fault.model_dump() for fault in scenario.timeline]
        report.keep(folder, scenario.name, scenario.length_s, faults, rows)
        for line in seconds(rows):
            say(line)
        wrong = broken(clients, rig) + short(scenario, rows, say)
    for line in wrong:
        say(f"NOT MET {line}")
    return 1 if wrong else 0


def loaded(
    path: str, addresses: list[str], seconds: float | None, out: str | None, say: Callable[[str], None]
) -> int:
    """The scenario's clients against gateways that run at these addresses; 0 if each task got its one answer
    in time. Raises ScenarioError, TimeoutError, ValueError."""
    scenario = load(path)
    widest = max(clients.spread for clients in scenario.clients)
    if widest > len(addresses):
        raise ValueError(f"{path}: a customer's set has {widest} gateways, and {len(addresses)} are named")
    for address in addresses:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(f"no address: {address!r}")
    length_s = seconds or scenario.length_s
    clients = Load(scenario, addresses)
    rows = clients.run(length_s)
    run = report.Run(scenario.name, length_s, [], rows)
    for line in report.lines(run):
        say(line)
    if out is not None:
        folder = Path(out)
        folder.mkdir(parents=True, exist_ok=True)
        report.keep(folder, scenario.name, length_s, [], rows)
        report.plot([run], folder / "report.png")
    wrong = broken(clients)
    for line in wrong:
        say(f"NOT MET {line}")
    return 1 if wrong else 0


def timeline(rig: Rig, clients: Load, say: Callable[[str], None]) -> None:
    """The faults that take gateways, at their times; those of the stand-ins are theirs to keep."""
    due: list[tuple] = []
    for n, fault in enumerate(rig.scenario.timeline):
        if numbers(fault.target, rig.count) and "gateway" in FAULTS[fault.what]:
            heapq.heappush(due, (fault.at_s, n, "begins", fault))
            if fault.for_s:
                heapq.heappush(due, (fault.at_s + fault.for_s, n, "ends", fault))
    while due and due[0][0] < rig.scenario.length_s:
        at_s, _, step, fault = heapq.heappop(due)
        time.sleep(max(0.0, at_s - clients.now()))
        say(f"{clients.now():6.1f} s  {fault.what} {fault.target} {fault.off} {step}")
        (rig.strike if step == "begins" else rig.relieve)(fault)
        if rig.scenario.fleet.view and fault.what in ("kill", "stop") and step == "begins":
            try:
                live = [
                    gateway.number for gateway in rig.gateways if gateway.running() and not gateway.paused
                ]
                say(f"{clients.now():6.1f} s  known to all after {rig.agreed(live, 10.0):.1f} s")
            except RigError as fault:
                say(f"{clients.now():6.1f} s  views differ: {fault}")
    time.sleep(max(0.0, rig.scenario.length_s - clients.now()))


def seconds(rows: list[Row]) -> list[str]:
    """What was answered, five seconds a line."""
    table: dict[int, Counter[str]] = {}
    for row in rows:
        table.setdefault(int(row.sent_s // 5) * 5, Counter())[row.kind] += 1
    return [
        f"{at:4d} s  " + "  ".join(f"{kind} {count}" for kind, count in sorted(counts.items()))
        for at, counts in sorted(table.items())
    ]


def short(scenario: Scenario, rows: list[Row], say: Callable[[str], None]) -> list[str]:
    """What is expected and did not come."""
    rates = {plan.name: plan.rate for plan in scenario.plans}
    plans = {clients.customer: clients.plan for clients in scenario.clients}
    wrong = []
    for expect in scenario.expect:
        allowed = rates[plans[expect.customer]] * (expect.to_s - expect.from_s)
        part = done_units(rows, expect.customer, expect.from_s, expect.to_s) / allowed
        line = (
            f"customer {expect.customer}, {expect.from_s:g} to {expect.to_s:g} s: {part:.3f} of the allowance"
        )
        say(line)
        if not expect.least <= part <= expect.most:
            wrong.append(f"{line}, not {expect.least:g} to {expect.most:g}")
    return wrong
