"""Checks a run of load, on a test cluster or on gateways that run already, against the rules."""

from __future__ import annotations

from dataclasses import replace
from math import inf

from granitedock.lab.cluster.cluster import GatewayCluster
from granitedock.lab.cluster.network import CLIENTS_PORT
from granitedock.lab.fault_targets import Party
from granitedock.lab.gateway_settings import IDEMPOTENCY_WINDOW_MS, REQUEST_CLASSES, SLOW_START
from granitedock.lab.load.generator import Interval, LoadGenerator
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
    """Return a load generator that runs the clients of a cluster's scenario against its gateways."""
    return LoadGenerator(
        cluster.scenario,
        [f"{cluster.gateway_host(gateway)}:{CLIENTS_PORT}" for gateway in range(cluster.count)],
        lambda: sum(gateway.is_running() for gateway in cluster.gateways),
        lambda gateway: cluster.gateways[gateway].pauses,
        lambda gateway: cluster.gateways[gateway].kills,
    )


def violations(load: LoadGenerator, cluster: GatewayCluster | None = None) -> list[str]:
    """Return one line per violation of a rule.

    The clients' observations alone allow checking rule 1; with those of a cluster all five rules are checked.
    It may be called from any thread except the reactor's.
    """
    if cluster is None:
        return rule_violations(client_observations(load))
    return rule_violations(on_reactor(cluster_observations, load, cluster))


def paused_seconds(pauses: list[Interval], from_s: float, to_s: float) -> float:
    """Return how long a process was stopped between `from_s` and `to_s`."""
    return sum(max(0.0, min(to_s, pause.ended_s) - max(from_s, pause.began_s)) for pause in pauses)


def client_request(load: LoadGenerator, record: RequestRecord) -> ClientRequest:
    """Return a request as its client observed it.

    A stopped process cannot answer, so the time for which the gateway was paused is not counted against it;
    requests that arrive during a pause are to be answered once the process runs again.
    """
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
    """Return the clients' observations of a run."""
    requests = [client_request(load, record) for record in load.records]
    return Observations(requests, [], load.unexpected_answers)


def cluster_observations(load: LoadGenerator, cluster: GatewayCluster) -> Observations:
    """Return the observations of clients and cluster, with times on the load's clock.

    It must run in the reactor's thread.
    """
    observed = client_observations(load)
    observed.ceilings = ceilings(load)
    observe_hosts(observed, load, cluster)
    for gateway, discovery in enumerate(cluster.discoveries):
        observed.lists[gateway] = [
            WrittenList(written.written_at_s - load.began_s, written.unavailable)
            for written in discovery.written_lists
        ]
    observed.request_classes = {
        entry.name: IdempotencyTerms(entry.idempotency, IDEMPOTENCY_WINDOW_MS) for entry in REQUEST_CLASSES
    }
    return observed


def ceilings(load: LoadGenerator) -> dict[int, Ceiling]:
    """Return the ceilings of the scenario's customers that have one, by customer."""
    plans = {plan.name: plan for plan in load.scenario.plans}
    ceilings_by_customer = {}
    for clients in load.scenario.clients:
        plan = plans[clients.plan]
        if plan.ceiling_rate:
            ceilings_by_customer[clients.customer] = Ceiling(
                plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack
            )
    return ceilings_by_customer


def observe_hosts(observed: Observations, load: LoadGenerator, cluster: GatewayCluster) -> None:
    """Add the attempts that hosts received, and the starts of hosts.

    A gateway abandons an attempt by closing its connection. A host behind a cut link observes the close
    only after the link heals, so the time is taken from the proxies.
    """
    unreported_closes = {
        port: at_s
        for proxy in cluster.tcp_proxies
        if proxy.party.startswith(Party.HOSTS)  # a test may name the link to a single host
        for port, at_s in proxy.unreported_closes.items()
    }
    for host in cluster.hosts:
        for attempt in host.attempts:
            closed_s = unreported_closes.get(attempt.peer_port, inf)
            ended_s = min(attempt.ended_at_s, closed_s if closed_s >= attempt.received_at_s else inf)
            observed.attempts.append(
                replace(
                    attempt,
                    received_at_s=attempt.received_at_s - load.began_s,
                    ended_at_s=ended_s - load.began_s,
                )
            )
        rate = host.zone.slots * 1000.0 / host.zone.service.mean_ms
        for at_s in host.starts:
            observed.starts.append(HostStart(host.name, at_s - load.began_s, rate, SLOW_START))
