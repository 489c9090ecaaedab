"""The length of a plan's counting windows over changes of the plan. No I/O.

Names of counts follow from the window's number, so a plan whose window's length changes is counted under
other names from then on, and while versions differ half of the fleet counts under each. So a plan keeps its
window over a change of rate or burst as long as the window fits: between one and four fillings of the burst,
where a new plan gets two (`granitedock.policy`). Then all gateways go on with the same totals, whichever
version they have, and the more generous of both versions bounds the sum. Times in ms.
"""

from __future__ import annotations

from granitedock.configuration.document import Record
from granitedock.policy.quota_account import MAX_NAME_TTL_MS, NAME_TTL_WINDOWS, WINDOW_BURST_FILLS
from granitedock.policy.types import Plan

WINDOW_FIELD = "WindowMs"  # of a plan: set by control, never by operators
SHORTEST_WINDOW_MS = 1000.0
LONGEST_WINDOW_MS = MAX_NAME_TTL_MS / NAME_TTL_WINDOWS
# Of the burst, in a window that is kept:
FEWEST_FILLINGS = 1.0
MOST_FILLINGS = 4.0


def filling_ms(record: Record) -> float:
    """In how long the rate fills the burst; the longest window where the rate is nothing."""
    rate = float(record.get("Refill") or 0.0) / 1000.0
    return float(record.get("MostAtOnce") or 0.0) / rate if rate > 0 else LONGEST_WINDOW_MS


def bounded(window_ms: float) -> float:
    """The window within the shortest and the longest that there may be."""
    return min(LONGEST_WINDOW_MS, max(SHORTEST_WINDOW_MS, window_ms))


def new_window_ms(record: Record) -> float:
    """The window of a plan that has none yet, as the policy would choose it."""
    return bounded(WINDOW_BURST_FILLS * filling_ms(record))


def window_ms(record: Record, before: Record | None) -> float:
    """The window of a plan that is put, `before` being the plan as it was."""
    if before is None:
        return new_window_ms(record)
    present = float(before[WINDOW_FIELD])
    filling = filling_ms(record)
    shortest = bounded(FEWEST_FILLINGS * filling)
    longest = bounded(MOST_FILLINGS * filling)
    return present if shortest <= present <= longest else new_window_ms(record)


def with_window(record: Record, before: Record | None) -> Record:
    """The plan's record as the document holds it, with its window."""
    return record | {WINDOW_FIELD: window_ms(record, before)}


def window_of(plan: Plan) -> float:
    """The window that the policy gives this plan."""
    if plan.window_ms:
        return plan.window_ms
    return bounded(WINDOW_BURST_FILLS * plan.burst / plan.rate if plan.rate > 0 else LONGEST_WINDOW_MS)
