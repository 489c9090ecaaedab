"""Measure one gateway's cost per plan: the platform file, memory, and a customer's quota account."""

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

ACCOUNTS = 10_000


@dataclass(frozen=True, slots=True)
class PlanCost:
    """The cost of a platform file with `plans` plans.

    `file_bytes` is the file's size, `read_ms` the processor ms to read and validate it and `decode_ms` those
    to decode its plans. `memory_mb` is the memory of the plans in MiB, and `book_bytes` the memory of one
    customer's quota account.
    """

    plans: int
    file_bytes: int
    read_ms: float
    decode_ms: float
    memory_mb: float
    book_bytes: float


def measure(count: int) -> PlanCost:
    """Measure how one gateway reads a platform file of `count` plans."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "gateway.json"
        path.write_bytes(orjson.dumps(platform_file(count)))
        file_bytes = path.stat().st_size
        read_ms = cpu_ms(lambda: load(path), 2)
        settings = load(path)["settings"]
    decode_ms = cpu_ms(lambda: platform_settings.plans(settings))
    plans_bytes = allocated_bytes(lambda: {plan.name: plan for plan in platform_settings.plans(settings)})
    plan = platform_settings.plans(settings)[0]
    accounts_bytes = allocated_bytes(
        lambda: [Customer(number, QuotaAccount(plan, 3, 0.0)) for number in range(ACCOUNTS)]
    )
    return PlanCost(
        plans=count,
        file_bytes=file_bytes,
        read_ms=read_ms,
        decode_ms=decode_ms,
        memory_mb=plans_bytes / MIB,
        book_bytes=accounts_bytes / ACCOUNTS,
    )
