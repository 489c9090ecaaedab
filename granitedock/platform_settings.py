"""What a gateway is born with, decoded into our words, for the simulator's adapter and for the service."""

from __future__ import annotations

from typing import Any

from granitedock.policy.decisions import Gateway
from granitedock.policy.interface import Cold, Door, Group, Kind, Leave, Plan, Product, Seat

KINDS = {"safe": Kind.HARMLESS, "keyed": Kind.STAMPED, "unsafe": Kind.ONE_SHOT}
PER_MS = 0.001


def number(record: dict[str, Any], key: str) -> float:
    """A number of the record; absent and null read as nought."""
    value = record.get(key)
    return 0.0 if value is None else float(value)


def product(record: dict[str, Any]) -> Product:
    """A request class of the settings."""
    return Product(
        name=record["Name"],
        kind=KINDS[record["Repeat"]],
        group=Group(record.get("DedupScope") or "all"),
        group_ms=number(record, "WindowMs"),
        quoted_ms=number(record, "TargetMs"),
        cutoff_ms=number(record, "GiveUpMs"),
        benefit=number(record, "Worth"),
        late_benefit=number(record, "LateWorth"),
        stream=bool(record.get("Stream")),
    )


def products(born: dict[str, Any]) -> list[Product]:
    return [product(record) for record in born["Lanes"]]


def plan(record: dict[str, Any], window_ms: float = 0.0) -> Plan:
    """A plan of the settings; numbers that are absent or null read as nought. Said without further calls, as
    a deployment has some ten thousands. `window_ms` as in `Plan`."""
    field = record.get
    return Plan(
        name=record["Name"],
        rate=float(field("Refill") or 0.0) * PER_MS,
        burst=float(field("MostAtOnce") or 0.0),
        most_out=int(field("Concurrency") or 0.0),
        benefit_factor=float(field("WorthFactor") or 0.0),
        over_benefit=float(field("OverWorth") or 0.0),
        over_cost=float(field("ExcessCost") or 0.0),
        ceiling_rate=float(field("CeilingRate") or 0.0) * PER_MS,
        ceiling_burst=float(field("CeilingBurst") or 0.0),
        ceiling_slack=float(field("Tolerance") or 0.0),
        window_ms=window_ms,
    )


def plans(born: dict[str, Any]) -> list[Plan]:
    return [plan(record) for record in born["Tariffs"]]


def leave(born: dict[str, Any]) -> Leave:
    allowed = born["Allowed"]
    return Leave(
        most_forwards=int(number(allowed, "MaxAttempts")),
        second_copies=bool(allowed.get("SecondCopies")),
        withdraw=bool(allowed.get("Cancel")),
        retry_after=bool(allowed.get("RetryAfter")),
        most_retry_after_ms=number(allowed, "MaxRetryAfterMs"),
    )


def cold(born: dict[str, Any]) -> Cold:
    safety = born["Safety"]
    return Cold(
        start_share=number(safety, "ColdFrom"),
        warm_after_ms=number(safety, "ColdMs"),
        overload_factor=number(safety, "OverloadFactor"),
        tip_after_ms=number(safety, "TipAfterMs"),
    )


def seat(seed: int, born: dict[str, Any]) -> Seat:
    return Seat(seed, int(number(born, "Me")), max(1, int(number(born, "Balancers"))))


def has_counter(born: dict[str, Any]) -> bool:
    return bool((born.get("Specifics") or {}).get("Counter"))


def gateway(door: Door, now: float, seed: int, born: dict[str, Any], goods: list[Product]) -> Gateway:
    """The decisions of one gateway."""
    return Gateway(door, now, seat(seed, born), goods, leave(born), cold(born), has_counter(born))
