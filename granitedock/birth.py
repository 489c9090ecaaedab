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


def products(born: dict[str, Any]) -> list[Product]:
    return [
        Product(
            name=lane["Name"],
            kind=KINDS[lane["Repeat"]],
            group=Group(lane.get("DedupScope") or "all"),
            group_ms=number(lane, "WindowMs"),
            quoted_ms=number(lane, "TargetMs"),
            cutoff_ms=number(lane, "GiveUpMs"),
            benefit=number(lane, "Worth"),
            late_benefit=number(lane, "LateWorth"),
            stream=bool(lane.get("Stream")),
        )
        for lane in born["Lanes"]
    ]


def plans(born: dict[str, Any]) -> list[Plan]:
    return [
        Plan(
            name=tariff["Name"],
            rate=number(tariff, "Refill") * PER_MS,
            burst=number(tariff, "MostAtOnce"),
            most_out=int(number(tariff, "Concurrency")),
            benefit_factor=number(tariff, "WorthFactor"),
            over_benefit=number(tariff, "OverWorth"),
            over_cost=number(tariff, "ExcessCost"),
            ceiling_rate=number(tariff, "CeilingRate") * PER_MS,
            ceiling_burst=number(tariff, "CeilingBurst"),
            ceiling_slack=number(tariff, "Tolerance"),
        )
        for tariff in born["Tariffs"]
    ]


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
