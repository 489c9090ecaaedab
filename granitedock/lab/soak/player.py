"""Plays a story with real gateway processes, and checks rules and limits from outside."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson

from granitedock.lab.cluster.cluster import GatewayCluster
from granitedock.lab.cluster.network import CLIENTS_PORT
from granitedock.lab.load.generator import LoadGenerator
from granitedock.lab.load.observations import Observations
from granitedock.lab.load.rule_checks import rule_violations
from granitedock.lab.load.verification import cluster_load, cluster_observations
from granitedock.lab.reactor import on_reactor
from granitedock.lab.soak.memory_watch import MemoryPeak, MemoryWatch
from granitedock.lab.soak.story import LENGTH_S, AbuseRun, Story

MIB = 1024 * 1024
# The platform's pages: up to half a second after its time an answer only earns nothing; later it is lost. On
# sockets each time limit is 50 ms longer.
LOST_AFTER_MS = 550.0
# The platform's terms: an attempt that begins more than 0.1 s after its client has closed is a lost request;
# a gateway may be held up for 0.15 s between reading its clock and writing.
DEPARTED_S = 0.1 + 0.05 + 0.15
REPORT_TIMEOUT_S = 10.0
POLL_S = 0.01


@dataclass
class SoakResult:
    """What was observed in one story."""

    seed: int
    violations: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    late: int = 0  # Answers after their time that are not lost.
    memory: list[MemoryPeak] = field(default_factory=list)  # Of each process.

    def line(self) -> str:
        """Return one line for a report."""
        private_mib = max(peak.private for peak in self.memory) / MIB
        outcomes = ", ".join(f"{outcome} {count}" for outcome, count in sorted(self.outcomes.items()))
        verdict = "held" if not self.violations else "BROKEN " + "; ".join(self.violations[:3])
        return f"seed {self.seed}: {outcomes}, late {self.late}, memory {private_mib:.1f} MiB: {verdict}"


class StoryPlayer:
    """One run of a story."""

    def __init__(self, story: Story, cluster: GatewayCluster) -> None:
        self.story = story
        self.cluster = cluster
        self.result = SoakResult(story.seed)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.reports: list[dict[str, Any]] = []
        self.watches = ExitStack()

    def play(self) -> SoakResult:
        """Play the story and return the result."""
        self.cluster.wait_until_ready()
        load = cluster_load(self.cluster)
        with self.watches:
            for gateway in range(self.cluster.count):
                self.watch_memory(gateway)
            load.start()
            try:
                self.run_events(load)
            finally:
                self.end_abuses()
            load.stop()
        self.check(load)
        return self.result

    def watch_memory(self, gateway: int) -> None:
        """Sample the memory of a gateway's process until the end."""
        process = self.cluster.gateways[gateway].process
        assert process is not None
        watch = self.watches.enter_context(MemoryWatch(process.pid))
        self.result.memory.append(watch.peak)

    def run_events(self, load: LoadGenerator) -> None:
        """Start the abuses and send the signals at their times."""
        events: list[tuple[float, Any]] = [(run.at_s, run) for run in self.story.abuses]
        events += [(entry.at_s, entry) for entry in self.story.signals]
        for at_s, event in sorted(events, key=lambda pair: pair[0]):
            time.sleep(max(0.0, at_s - load.now_s()))
            if isinstance(event, AbuseRun):
                self.start_abuse(event, len(self.processes) + 1)
            elif event.number == signal.SIGKILL:
                self.cluster.kill(event.gateway)
                self.cluster.start(event.gateway)
                self.watch_memory(event.gateway)
            else:
                self.cluster.gateways[event.gateway].signal(event.number)
        time.sleep(max(0.0, LENGTH_S - load.now_s()))

    def start_abuse(self, run: AbuseRun, number: int) -> None:
        """Start a process of abusive clients."""
        address = f"{self.cluster.gateway_host(run.gateway)}:{CLIENTS_PORT}"
        arguments = [address, run.abuse.value, run.connections, run.for_s, number, self.story.seed]
        command = [sys.executable, "-m", "granitedock.lab.soak.abusive_process", *map(str, arguments)]
        self.processes.append(subprocess.Popen(command, stdout=subprocess.PIPE))

    def end_abuses(self) -> None:
        """Wait for the processes of abusive clients, and read their reports."""
        for process in self.processes:
            try:
                output, _ = process.communicate(timeout=REPORT_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                output, _ = process.communicate()
            self.reports.append(orjson.loads(output) if output else {"closed_at_s": {}})

    # Checks.

    def check(self, load: LoadGenerator) -> None:
        """Check the rules, the limits and the processes."""
        observed = on_reactor(cluster_observations, load, self.cluster)
        self.result.outcomes.update(record.outcome.value for record in load.records)
        self.result.violations += rule_violations(self.without_worthless_answers(observed))
        self.check_departures(observed, load.began_s)
        limit = self.story.scenario.fleet.memory_mb * MIB
        self.result.violations += [
            f"memory {peak.private / MIB:.1f} MiB of {limit / MIB:.0f}"
            for peak in self.result.memory
            if peak.private > limit
        ]
        for gateway in self.cluster.gateways:
            if not gateway.is_running():
                self.result.violations.append(f"{gateway.name} has ended")
            faults = [event for event in gateway.events() if event["event"] == "fault"]
            self.result.violations += [f"{gateway.name}: {fault['trace'][-200:]}" for fault in faults[:1]]

    def without_worthless_answers(self, observed: Observations) -> Observations:
        """Return the observations with answers that come late but not lost as though in time; counts them."""
        in_time = []
        for request in observed.requests:
            late_ms = request.latency_ms - request.deadline_ms
            worthless = 0.0 < late_ms <= LOST_AFTER_MS
            self.result.late += worthless
            latency_ms = request.deadline_ms if worthless else request.latency_ms
            in_time.append(replace(request, latency_ms=latency_ms))
        return replace(observed, requests=in_time)

    def check_departures(self, observed: Observations, began_s: float) -> None:
        """Check that no attempt begins long after its client has closed its connection."""
        closed_at_s = {
            int(request_id, 16): at_s - began_s
            for report in self.reports
            for request_id, at_s in report["closed_at_s"].items()
        }
        late_s = [
            attempt.received_at_s - closed_at_s[attempt.request_id]
            for attempt in observed.attempts
            if attempt.request_id in closed_at_s
        ]
        late_s = [seconds for seconds in late_s if seconds > DEPARTED_S]
        if late_s:
            self.result.violations.append(
                f"{len(late_s)} attempts for departed clients, {max(late_s):.2f} s after"
            )


def play_story(story: Story, directory: Path) -> SoakResult:
    """Play a story; logs and platform files stay in the directory."""
    with GatewayCluster(story.scenario, directory) as cluster:
        return StoryPlayer(story, cluster).play()
