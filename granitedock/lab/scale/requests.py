"""Measure one gateway's cost per request and the latency that it adds, with real processes on loopback.

The gateway and its emulators are separate processes; the measuring process generates the load. The latency
that the gateway adds is the difference to the same load sent directly to the hosts.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

from granitedock.lab.load.generator import LoadGenerator
from granitedock.lab.load.request_record import RequestOutcome, RequestRecord
from granitedock.lab.scale.gateway_process import RunningGateway, read_counters, running_gateway
from granitedock.lab.scale.load_scenarios import load_scenario
from granitedock.lab.scale.probe import memory_mb, process_cpu_s, quantile
from granitedock.lab.scenario import Scenario

SETTLE_S = 3.0
DIRECT_SETTLE_S = 1.0
MAX_DIRECT_HOSTS = 20


@dataclass(frozen=True, slots=True)
class RequestCost:
    """The cost of one gateway at `rate` requests per second.

    `cpu_us` is the processor time per request (us). The latencies are in ms: those through the gateway, and
    as `direct_` those of the same load sent directly to the hosts. `host_connections` and `memory_mb` (MiB)
    are read at the end of the load.
    """

    hosts: int
    counting: bool
    rate: float
    served: int
    failed: int
    cpu_us: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    direct_p50_ms: float
    direct_p99_ms: float
    direct_p999_ms: float
    host_connections: int
    memory_mb: float


@dataclass(frozen=True, slots=True)
class GatewayLoad:
    """A load through the gateway: the requests sent after it settled, and the gateway's usage."""

    records: list[RequestRecord]
    cpu_s: float
    host_connections: int
    memory_mb: float


def latencies(records: list[RequestRecord], earliest_s: float) -> list[float]:
    """Return the latencies, in ms, of the served requests that were sent at `earliest_s` or later."""
    return [
        record.latency_ms
        for record in records
        if record.outcome == RequestOutcome.DONE and record.sent_at_s >= earliest_s
    ]


def load_gateway(scenario: Scenario, gateway: RunningGateway, seconds: float) -> GatewayLoad:
    """Send the scenario's load to the gateway and measure it for `seconds` after it has settled."""
    load = LoadGenerator(scenario, [gateway.address])
    load.start()
    time.sleep(SETTLE_S)
    cpu_before = process_cpu_s(gateway.pid)
    time.sleep(seconds)
    cpu_s = process_cpu_s(gateway.pid) - cpu_before
    counters = read_counters(gateway.address)
    resident_mb = memory_mb(gateway.pid)
    records = [record for record in load.stop() if record.sent_at_s >= SETTLE_S]
    return GatewayLoad(records, cpu_s, counters["host_links_now"], resident_mb)


def load_hosts(rate: float, addresses: list[str], seconds: float) -> list[float]:
    """Send the load directly to these hosts and return its latencies in ms.

    Only requests of the `seconds` after `DIRECT_SETTLE_S` count.
    """
    length_s = seconds + DIRECT_SETTLE_S
    load = LoadGenerator(load_scenario(1, rate, len(addresses), length_s), addresses)
    load.start()
    time.sleep(length_s)
    return latencies(load.stop(), DIRECT_SETTLE_S)


def measure(hosts: int, counting: bool, rate: float, seconds: float) -> RequestCost:
    """Measure one gateway with `hosts` hosts at `rate` requests per second."""
    scenario = load_scenario(hosts, rate, 1, SETTLE_S + seconds)
    with running_gateway(hosts, counting) as gateway:
        through = load_gateway(scenario, gateway, seconds)
        offered_rate = sum(clients.rate for clients in scenario.clients)
        direct_ms = load_hosts(offered_rate, gateway.hosts[:MAX_DIRECT_HOSTS], seconds)
    through_ms = latencies(through.records, SETTLE_S)
    return RequestCost(
        hosts=len(gateway.hosts),
        counting=counting,
        rate=offered_rate,
        served=len(through_ms),
        failed=len(through.records) - len(through_ms),
        cpu_us=1e6 * through.cpu_s / max(1, len(through.records)),
        p50_ms=quantile(through_ms, 0.5),
        p99_ms=quantile(through_ms, 0.99),
        p999_ms=quantile(through_ms, 0.999),
        direct_p50_ms=quantile(direct_ms, 0.5),
        direct_p99_ms=quantile(direct_ms, 0.99),
        direct_p999_ms=quantile(direct_ms, 0.999),
        host_connections=through.host_connections,
        memory_mb=through.memory_mb,
    )
