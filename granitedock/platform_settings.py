"""What a gateway is born with, decoded into our words, for the simulator's adapter and for the service."""

from __future__ import annotations

from typing import Any

from granitedock.policy.decisions import Gateway
from granitedock.policy.ports import EffectHandler
from granitedock.policy.types import (
    GatewayIdentity,
    Idempotency,
    IdempotencyScope,
    PermittedFeatures,
    Plan,
    RequestClass,
    SlowStart,
)

KINDS = {"safe": Idempotency.IDEMPOTENT, "keyed": Idempotency.KEYED, "unsafe": Idempotency.NON_IDEMPOTENT}
PER_MS = 0.001


def number(record: dict[str, Any], key: str) -> float:
    """A number of the record; absent and null read as nought."""
    value = record.get(key)
    return 0.0 if value is None else float(value)


def request_class(record: dict[str, Any]) -> RequestClass:
    """A request class of the settings."""
    return RequestClass(
        name=record["Name"],
        kind=KINDS[record["Repeat"]],
        group=IdempotencyScope(record.get("DedupScope") or "all"),
        idempotency_window_ms=number(record, "WindowMs"),
        latency_objective_ms=number(record, "TargetMs"),
        deadline_ms=number(record, "GiveUpMs"),
        priority_weight=number(record, "Worth"),
        late_priority_weight=number(record, "LateWorth"),
        stream=bool(record.get("Stream")),
    )


def request_classes(born: dict[str, Any]) -> list[RequestClass]:
    return [request_class(record) for record in born["Lanes"]]


def plan(record: dict[str, Any], window_ms: float = 0.0) -> Plan:
    """A plan of the settings; numbers that are absent or null read as nought. Said without further calls, as
    a deployment has some ten thousands. `window_ms` as in `Plan`."""
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


def plans(born: dict[str, Any]) -> list[Plan]:
    return [plan(record) for record in born["Tariffs"]]


def leave(born: dict[str, Any]) -> PermittedFeatures:
    allowed = born["Allowed"]
    return PermittedFeatures(
        max_attempts=int(number(allowed, "MaxAttempts")),
        hedged_requests=bool(allowed.get("SecondCopies")),
        withdraw=bool(allowed.get("Cancel")),
        retry_after=bool(allowed.get("RetryAfter")),
        max_retry_after_ms=number(allowed, "MaxRetryAfterMs"),
    )


def cold(born: dict[str, Any]) -> SlowStart:
    safety = born["Safety"]
    return SlowStart(
        initial_capacity_share=number(safety, "ColdFrom"),
        warm_up_ms=number(safety, "ColdMs"),
        overload_factor=number(safety, "OverloadFactor"),
        overload_interval_ms=number(safety, "TipAfterMs"),
    )


def seat(seed: int, born: dict[str, Any]) -> GatewayIdentity:
    return GatewayIdentity(seed, int(number(born, "Me")), max(1, int(number(born, "Balancers"))))


def has_counter(born: dict[str, Any]) -> bool:
    return bool((born.get("Specifics") or {}).get("Counter"))


def gateway(
    door: EffectHandler, now: float, seed: int, born: dict[str, Any], goods: list[RequestClass]
) -> Gateway:
    """The decisions of one gateway."""
    return Gateway(door, now, seat(seed, born), goods, leave(born), cold(born), has_counter(born))
