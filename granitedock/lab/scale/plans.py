"""What one gateway pays per plan: the platform's file, memory, and a customer's book in use."""

from __future__ import annotations

import tempfile
from dataclasses import dataclass
from pathlib import Path

import orjson

from granitedock import platform_settings
from granitedock.lab.scale.platform import platform_file
from granitedock.lab.scale.probe import MIB, allocated_bytes, cpu_ms
from granitedock.platform_file import load
from granitedock.policy.quota_account import QuotaAccount
from granitedock.policy.types import Customer

BOOKS = 10_000


@dataclass(frozen=True, slots=True)
class PlanCost:
    """At so many plans: bytes of the platform's file, processor ms to read and check it, MiB of the plans,
    and bytes of one customer's book."""

    plans: int
    file_bytes: int
    read_ms: float
    decode_ms: float
    memory_mb: float
    book_bytes: float


def measure(count: int) -> PlanCost:
    """One gateway's reading of a platform file of `count` plans."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "gateway.json"
        path.write_bytes(orjson.dumps(platform_file(count)))
        size = path.stat().st_size
        read_ms = cpu_ms(lambda: load(path), 2)
        told = load(path)
    decode_ms = cpu_ms(lambda: platform_settings.plans(told["settings"]))
    kept = allocated_bytes(lambda: {plan.name: plan for plan in platform_settings.plans(told["settings"])})
    plan = platform_settings.plans(told["settings"])[0]
    accounts = allocated_bytes(lambda: [Customer(n, QuotaAccount(plan, 3, 0.0)) for n in range(BOOKS)])
    return PlanCost(count, size, read_ms, decode_ms, kept / MIB, accounts / BOOKS)
