"""Reserves held back for gateways that fell silent: they may be alive behind a cut, using their even share.

No I/O; times are Unix ms.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from granitedock.policy.types import SharedQuota
from granitedock.quota_sharing.settings import QuotaSharingSettings


def reserve(quota: SharedQuota, window: int, silent_since: float, now: float) -> float:
    """Units that a silent gateway of the subset may have admitted of this window.

    That is its even share of the rate since it was last heard, and of the burst if it fell silent within the
    window.
    """
    window_start = window * quota.window_ms
    window_end = window_start + quota.window_ms
    silent_ms = max(0.0, min(now, window_end) - max(silent_since, window_start))
    burst = quota.plan.burst if window_start <= silent_since < window_end else 0.0
    return (quota.plan.rate * silent_ms + burst) / quota.subset_size


class SilentMembers:
    """Member slots whose gateway is silent, and for which of them a reserve is held back."""

    def __init__(self, settings: QuotaSharingSettings) -> None:
        self.settings = settings
        self.since: dict[int, float] = {}  # by member slot
        self.present_until: dict[int, float] = {}  # silent slots that showed at the counter

    def refresh(self, silent_slots: Mapping[int, float], now: float, steady_now: float) -> None:
        """Take over who is silent now.

        `silent_slots` gives since when, on the steady clock of the membership: slots that were held live by
        this gateway, and neither are live, nor left by their own message, nor were proved empty by a fresh
        connection probe of this gateway.
        """
        for slot in [slot for slot in self.since if slot not in silent_slots]:
            del self.since[slot]
            self.present_until.pop(slot, None)
        for slot, declared_at in silent_slots.items():
            began = now - (steady_now - declared_at) - self.settings.detection_delay_ms
            if now - began <= self.settings.max_reserve_ms:
                self.since.setdefault(slot, began)
            else:
                self.since.pop(slot, None)

    def reserves(self, quota: SharedQuota, window: int, slot_count: int, now: float) -> Iterator[float]:
        """Units of this window held back for each silent one of the quota's subset, of `slot_count` slots.

        Nothing is held back for one that shows at the counter: its use is in the counter's total.
        """
        for n in range(min(quota.subset_size, slot_count)):
            slot = (quota.subset_start + n) % slot_count
            silent_since = self.since.get(slot)
            if silent_since is not None and now > self.present_until.get(slot, 0.0):
                yield reserve(quota, window, silent_since, now)
