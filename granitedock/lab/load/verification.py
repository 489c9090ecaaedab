"""The observations of a run of load, on a test cluster or on gateways that run anyway, held to the rules."""

from __future__ import annotations

from dataclasses import replace
from math import inf

from granitedock.lab.cluster.cluster import GatewayCluster
from granitedock.lab.cluster.network import CLIENTS_PORT
from granitedock.lab.fault_targets import Party
from granitedock.lab.gateway_settings import IDEMPOTENCY_WINDOW_MS, REQUEST_CLASSES, SLOW_START
from granitedock.lab.load.generator import LoadGenerator, Pause
from granitedock.lab.load.observations import (
    Ceiling,
    ClientRequest,
    HostStart,
    IdempotencyTerms,
    Observations,
    RequestOutcome,
    WrittenList,
)
from granitedock.lab.load.request_record import NO_GATEWAY, RequestRecord
from granitedock.lab.load.rule_checks import rule_violations
from granitedock.lab.reactor import on_reactor

UNANSWERED = (RequestOutcome.OPEN, RequestOutcome.LOST)


def cluster_load(cluster: GatewayCluster) -> LoadGenerator:
    """The clients of a cluster's scenario against its gateways."""
    return LoadGenerator(
        cluster.scenario,
        [f"{cluster.gateway_host(gateway)}:{CLIENTS_PORT}" for gateway in range(cluster.count)],
        lambda: sum(gateway.is_running() for gateway in cluster.gateways),
        lambda gateway: cluster.gateways[gateway].pauses,
    )


def violations(load: LoadGenerator, cluster: GatewayCluster | None = None) -> list[str]:
    """What is wrong by the rules, a line each: rule 1 by the clients alone, all five with the cluster's side.
    To be called from any thread but the reactor's."""
    if cluster is None:
        return rule_violations(client_observations(load))
    return rule_violations(on_reactor(cluster_observations, load, cluster))


def paused_seconds(pauses: list[Pause], from_s: float, to_s: float) -> float:
    """How much of this time a process was stopped."""
    return sum(max(0.0, min(to_s, pause.ended_s) - max(from_s, pause.began_s)) for pause in pauses)


def client_request(load: LoadGenerator, record: RequestRecord) -> ClientRequest:
    """A request as its client saw it. A process that is stopped can answer nobody: such time is not counted,
    and what came in it is due once it runs."""
    sent_s = load.began_s + record.sent_at_s
    until_s = sent_s + (record.latency_ms or record.deadline_ms) / 1000.0
    paused_s = 0.0
    if record.gateway != NO_GATEWAY:
        paused_s = paused_seconds(load.pauses_of(record.gateway), sent_s, until_s)
    return ClientRequest(
        request_id=record.request_id,
        gateway=record.gateway,
        customer=record.customer,
        request_class=record.request_class,
        units=record.units,
        sent_at_s=record.sent_at_s,
        deadline_ms=record.deadline_ms,
        outcome=record.outcome,
        latency_ms=record.latency_ms,
        paused_s=paused_s,
        gateway_ended=record.gateway_ended or (record.outcome in UNANSWERED and paused_s > 0),
    )


def client_observations(load: LoadGenerator) -> Observations:
    """The clients' side of a run."""
    requests = [client_request(load, record) for record in load.records]
    return Observations(requests, [], load.unexpected_answers)


def cluster_observations(load: LoadGenerator, cluster: GatewayCluster) -> Observations:
    """Both sides of a run on a cluster; times by the load's clock. In the reactor's thread."""
    found = client_observations(load)
    found.ceilings = ceilings(load)
    observe_hosts(found, load, cluster)
    for gateway, discovery in enumerate(cluster.discoveries):
        found.lists[gateway] = [
            WrittenList(written.written_at_s - load.began_s, written.unavailable)
            for written in discovery.written_lists
        ]
    found.request_classes = {
        one.name: IdempotencyTerms(one.idempotency, IDEMPOTENCY_WINDOW_MS) for one in REQUEST_CLASSES
    }
    return found


def ceilings(load: LoadGenerator) -> dict[int, Ceiling]:
    """The ceilings of the scenario's customers that have one."""
    plans = {plan.name: plan for plan in load.scenario.plans}
    found = {}
    for clients in load.scenario.clients:
        plan = plans[clients.plan]
        if plan.ceiling_rate:
            found[clients.customer] = Ceiling(plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack)
    return found


def observe_hosts(found: Observations, load: LoadGenerator, cluster: GatewayCluster) -> None:
    """Add what the hosts received, and when they started. A gateway abandons an attempt by ending its
    connection, which a host behind a cut notices only later: the proxies know when that was."""
    unheard_ends = {
        port: at_s
        for proxy in cluster.tcp_proxies
        if proxy.party.startswith(Party.HOSTS)  # a test may name the link to one host
        for port, at_s in proxy.unreported_closes.items()
    }
    for host in cluster.hosts:
        for attempt in host.attempts:
            unheard_s = unheard_ends.get(attempt.peer_port, inf)
            ended_s = min(attempt.ended_at_s, unheard_s if unheard_s >= attempt.received_at_s else inf)
            found.attempts.append(
                replace(
                    attempt,
                    received_at_s=attempt.received_at_s - load.began_s,
                    ended_at_s=ended_s - load.began_s,
                )
            )
        rate = host.zone.slots * 1000.0 / host.zone.service.mean_ms
        for at_s in host.starts:
            found.starts.append(HostStart(host.name, at_s - load.began_s, rate, SLOW_START))
