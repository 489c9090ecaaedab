"""Chooses the length of a plan's counting window across changes of the plan. No I/O.

Counter names derive from the window's number, so a plan whose window length changes is counted under new
names, and while gateways have different versions, each part of the fleet counts under its own names. A plan
therefore keeps its window length across a change of rate or burst if the length is one to four refills of
the burst; a new plan gets two (`granitedock.policy`). All gateways then continue with the same totals,
whichever version they have, and the more generous of both versions bounds the sum. Times are in ms.
"""

from __future__ import annotations

from granitedock.configuration.document import Record
from granitedock.policy.quota_account import MAX_NAME_TTL_MS, NAME_TTL_WINDOWS, WINDOW_BURST_FILLS
from granitedock.policy.types import Plan

WINDOW_FIELD = "WindowMs"  # Plan field that the control process sets, never an operator.
MIN_WINDOW_MS = 1000.0
MAX_WINDOW_MS = MAX_NAME_TTL_MS / NAME_TTL_WINDOWS
# Limits of the window length that a plan keeps across a change, in refills of its burst.
MIN_KEPT_WINDOW_BURST_FILLS = 1.0
MAX_KEPT_WINDOW_BURST_FILLS = 4.0


def burst_fill_ms(record: Record) -> float:
    """Return the time in which the rate refills the burst; the maximum window for a rate of 0."""
    rate = float(record.get("Refill") or 0.0) / 1000.0
    return float(record.get("MostAtOnce") or 0.0) / rate if rate > 0 else MAX_WINDOW_MS


def clamp_window_ms(window_ms: float) -> float:
    """Clamp a window length to the permitted range."""
    return min(MAX_WINDOW_MS, max(MIN_WINDOW_MS, window_ms))


def new_window_ms(record: Record) -> float:
    """Return the window length of a plan that has none yet, as the policy would choose it."""
    return clamp_window_ms(WINDOW_BURST_FILLS * burst_fill_ms(record))


def window_ms(record: Record, before: Record | None) -> float:
    """Return the window length of an upserted plan; `before` is the present plan, if there is one."""
    if before is None:
        return new_window_ms(record)
    present = float(before[WINDOW_FIELD])
    fill_ms = burst_fill_ms(record)
    min_kept_ms = clamp_window_ms(MIN_KEPT_WINDOW_BURST_FILLS * fill_ms)
    max_kept_ms = clamp_window_ms(MAX_KEPT_WINDOW_BURST_FILLS * fill_ms)
    return present if min_kept_ms <= present <= max_kept_ms else new_window_ms(record)


def with_window(record: Record, before: Record | None) -> Record:
    """Return the plan's record with its window length, as the document stores it."""
    return record | {WINDOW_FIELD: window_ms(record, before)}


def window_of(plan: Plan) -> float:
    """Return the window length that the policy uses for this plan."""
    if plan.window_ms:
        return plan.window_ms
    return clamp_window_ms(WINDOW_BURST_FILLS * plan.burst / plan.rate if plan.rate > 0 else MAX_WINDOW_MS)
