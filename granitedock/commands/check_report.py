"""The words under which `granitedock check` prints what a gateway would serve with.

Operators' scripts read them, so they stay as they were when fields of the program got other names.
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


def printed(value: Any) -> Any:
    """The value with its dataclasses as objects, their fields under the printed names, in their order."""
    if is_dataclass(value):
        return {
            PRINTED_NAMES.get(field.name, field.name): printed(getattr(value, field.name))
            for field in fields(value)
        }
    if isinstance(value, list):
        return [printed(item) for item in value]
    return value
