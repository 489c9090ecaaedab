"""A gateway's settings, decoded into the policy's types, for the simulator's adapter and for the service.

The record's keys are the platform's words; they stay here.
"""

from __future__ import annotations

from typing import Any

from granitedock.policy.gateway import Gateway
from granitedock.policy.ports import EffectHandler
from granitedock.policy.types import (
    GatewayIdentity,
    GatewaySettings,
    Idempotency,
    IdempotencyScope,
    PermittedFeatures,
    Plan,
    RequestClass,
    SlowStart,
)

Record = dict[str, Any]  # a JSON object of the platform's

IDEMPOTENCY = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.KEYED,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
PER_MS = 0.001


def number(record: Record, key: str) -> float:
    """A number of the record; absent and null read as 0."""
    value = record.get(key)
    return 0.0 if value is None else float(value)


def request_class(record: Record) -> RequestClass:
    """A request class of the settings."""
    return RequestClass(
        name=record["Name"],
        idempotency=IDEMPOTENCY[record["Repeat"]],
        idempotency_scope=IdempotencyScope(record.get("DedupScope") or "all"),
        idempotency_window_ms=number(record, "WindowMs"),
        latency_objective_ms=number(record, "TargetMs"),
        deadline_ms=number(record, "GiveUpMs"),
        priority_weight=number(record, "Worth"),
        late_priority_weight=number(record, "LateWorth"),
        stream=bool(record.get("Stream")),
    )


def request_classes(settings: Record) -> list[RequestClass]:
    """All request classes of the settings."""
    return [request_class(record) for record in settings["Lanes"]]


def plan(record: Record, window_ms: float = 0.0) -> Plan:
    """A plan of the settings; numbers that are absent or null read as 0. Written without further calls, as a
    deployment has some ten thousands. `window_ms` as in `Plan`."""
    field = record.get
    return Plan(
        name=record["Name"],
        rate=float(field("Refill") or 0.0) * PER_MS,
        burst=float(field("MostAtOnce") or 0.0),
        max_in_flight=int(field("Concurrency") or 0.0),
        priority_factor=float(field("WorthFactor") or 0.0),
        over_quota_weight=float(field("OverWorth") or 0.0),
        over_quota_cost=float(field("ExcessCost") or 0.0),
        ceiling_rate=float(field("CeilingRate") or 0.0) * PER_MS,
        ceiling_burst=float(field("CeilingBurst") or 0.0),
        ceiling_slack=float(field("Tolerance") or 0.0),
        window_ms=window_ms,
    )


def plans(settings: Record) -> list[Plan]:
    """All plans of the settings."""
    return [plan(record) for record in settings["Tariffs"]]


def permitted_features(settings: Record) -> PermittedFeatures:
    """What the deployment allows a gateway to do."""
    allowed = settings["Allowed"]
    return PermittedFeatures(
        max_attempts=int(number(allowed, "MaxAttempts")),
        hedged_requests=bool(allowed.get("SecondCopies")),
        cancel=bool(allowed.get("Cancel")),
        retry_after=bool(allowed.get("RetryAfter")),
        max_retry_after_ms=number(allowed, "MaxRetryAfterMs"),
    )


def slow_start(settings: Record) -> SlowStart:
    """What hosts that have just started can do."""
    safety = settings["Safety"]
    return SlowStart(
        initial_capacity_share=number(safety, "ColdFrom"),
        warm_up_ms=number(safety, "ColdMs"),
        overload_factor=number(safety, "OverloadFactor"),
        overload_interval_ms=number(safety, "TipAfterMs"),
    )


def identity(seed: int, settings: Record) -> GatewayIdentity:
    """The gateway's own number, among how many."""
    return GatewayIdentity(seed, int(number(settings, "Me")), max(1, int(number(settings, "Balancers"))))


def has_counter(settings: Record) -> bool:
    """Whether the deployment has a counter."""
    return bool((settings.get("Specifics") or {}).get("Counter"))


def gateway(
    effects: EffectHandler, now: float, seed: int, settings: Record, classes: list[RequestClass]
) -> Gateway:
    """The decisions of one gateway; it keeps the list of request classes."""
    return Gateway(
        effects,
        now,
        GatewaySettings(
            identity=identity(seed, settings),
            request_classes=classes,
            permitted=permitted_features(settings),
            slow_start=slow_start(settings),
            has_counter=has_counter(settings),
        ),
    )
