"""The names under which `granitedock check` prints the settings that a gateway would use.

Operators' scripts read these names, so they stay the same when a field of the program is renamed.
"""

from __future__ import annotations

from dataclasses import fields, is_dataclass
from typing import Any

PRINTED_NAMES = {
    "requests": "tasks",
    "max_attempts": "most_forwards",
    "hedged_requests": "second_copies",
    "max_retry_after_ms": "most_retry_after_ms",
    "initial_capacity_share": "start_share",
    "warm_up_ms": "warm_after_ms",
    "overload_interval_ms": "tip_after_ms",
    "cancel": "withdraw",
    "idempotency": "kind",
    "idempotency_scope": "group",
    "idempotency_window_ms": "group_ms",
    "latency_objective_ms": "quoted_ms",
    "deadline_ms": "cutoff_ms",
    "priority_weight": "benefit",
    "late_priority_weight": "late_benefit",
    "max_in_flight": "most_out",
    "priority_factor": "benefit_factor",
    "over_quota_weight": "over_benefit",
    "over_quota_cost": "over_cost",
}


def printable(value: Any) -> Any:
    """Return the value with each dataclass as a dict of its fields, in order, under the printed names."""
    if is_dataclass(value):
        return {
            PRINTED_NAMES.get(field.name, field.name): printable(getattr(value, field.name))
            for field in fields(value)
        }
    if isinstance(value, list):
        return [printable(item) for item in value]
    return value
