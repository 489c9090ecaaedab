"""Decoding of the platform's settings into the policy's types, for the service and the simulator's adapter.

The keys of the records are the platform's names; the policy uses none of them.
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

Record = dict[str, Any]  # A JSON object of the platform's settings.

IDEMPOTENCY = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.KEYED,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
SECONDS_PER_MS = 0.001


def number_or_zero(record: Record, key: str) -> float:
    """Return the number at a key of the record, or 0 if it is absent or null."""
    value = record.get(key)
    return 0.0 if value is None else float(value)


def request_class(record: Record) -> RequestClass:
    """Decode one request class."""
    return RequestClass(
        name=record["Name"],
        idempotency=IDEMPOTENCY[record["Repeat"]],
        idempotency_scope=IdempotencyScope(record.get("DedupScope") or "all"),
        idempotency_window_ms=number_or_zero(record, "WindowMs"),
        latency_objective_ms=number_or_zero(record, "TargetMs"),
        deadline_ms=number_or_zero(record, "GiveUpMs"),
        priority_weight=number_or_zero(record, "Worth"),
        late_priority_weight=number_or_zero(record, "LateWorth"),
        stream=bool(record.get("Stream")),
    )


def request_classes(settings: Record) -> list[RequestClass]:
    """Decode all request classes of the settings."""
    return [request_class(record) for record in settings["Lanes"]]


def plan(record: Record, window_ms: float = 0.0) -> Plan:
    """Decode one plan; a number that is absent or null is read as 0.

    `window_ms` has the meaning it has in `Plan`. The fields are read without a call of `number_or_zero` for
    each, because a deployment has tens of thousands of plans.
    """
    field = record.get
    return Plan(
        name=record["Name"],
        rate=float(field("Refill") or 0.0) * SECONDS_PER_MS,
        burst=float(field("MostAtOnce") or 0.0),
        max_in_flight=int(field("Concurrency") or 0.0),
        priority_factor=float(field("WorthFactor") or 0.0),
        over_quota_weight=float(field("OverWorth") or 0.0),
        over_quota_cost=float(field("ExcessCost") or 0.0),
        ceiling_rate=float(field("CeilingRate") or 0.0) * SECONDS_PER_MS,
        ceiling_burst=float(field("CeilingBurst") or 0.0),
        ceiling_slack=float(field("Tolerance") or 0.0),
        window_ms=window_ms,
    )


def plans(settings: Record) -> list[Plan]:
    """Decode all plans of the settings."""
    return [plan(record) for record in settings["Tariffs"]]


def permitted_features(settings: Record) -> PermittedFeatures:
    """Decode the features that the deployment permits a gateway to use."""
    allowed = settings["Allowed"]
    return PermittedFeatures(
        max_attempts=int(number_or_zero(allowed, "MaxAttempts")),
        hedged_requests=bool(allowed.get("SecondCopies")),
        cancel=bool(allowed.get("Cancel")),
        retry_after=bool(allowed.get("RetryAfter")),
        max_retry_after_ms=number_or_zero(allowed, "MaxRetryAfterMs"),
    )


def slow_start(settings: Record) -> SlowStart:
    """Decode the capacity of hosts that have just started, and what overloads them."""
    safety = settings["Safety"]
    return SlowStart(
        initial_capacity_share=number_or_zero(safety, "ColdFrom"),
        warm_up_ms=number_or_zero(safety, "ColdMs"),
        overload_factor=number_or_zero(safety, "OverloadFactor"),
        overload_interval_ms=number_or_zero(safety, "TipAfterMs"),
    )


def identity(seed: int, settings: Record) -> GatewayIdentity:
    """Return the gateway's identity: its seed, its number, and the number of gateways, at least 1."""
    return GatewayIdentity(
        seed, int(number_or_zero(settings, "Me")), max(1, int(number_or_zero(settings, "Balancers")))
    )


def has_counter(settings: Record) -> bool:
    """Return whether the deployment has a counter."""
    return bool((settings.get("Specifics") or {}).get("Counter"))


def gateway(
    effects: EffectHandler, now: float, seed: int, settings: Record, classes: list[RequestClass]
) -> Gateway:
    """Create the policy of one gateway, which keeps a reference to the list of request classes."""
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
