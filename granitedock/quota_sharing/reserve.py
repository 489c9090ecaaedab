"""Reserves for silent gateways, which may be alive behind a partition and admit their even share.

No I/O; times are Unix ms.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from granitedock.policy.types import SharedQuota
from granitedock.quota_sharing.settings import QuotaSharingSettings


def reserve(quota: SharedQuota, window: int, silent_since: float, now: float) -> float:
    """Return the units of this window that a silent gateway of the subset may have admitted.

    The reserve is the gateway's even share of the rate for the part of the window from `silent_since` to
    `now`, plus its even share of the burst if the silence began within the window.
    """
    window_start = window * quota.window_ms
    window_end = window_start + quota.window_ms
    silent_ms = max(0.0, min(now, window_end) - max(silent_since, window_start))
    burst = quota.plan.burst if window_start <= silent_since < window_end else 0.0
    return (quota.plan.rate * silent_ms + burst) / quota.subset_size


class SilentMembers:
    """The member slots whose gateway is silent, and which of them need a reserve."""

    def __init__(self, settings: QuotaSharingSettings) -> None:
        self.settings = settings
        self.silent_since: dict[int, float] = {}  # By member slot.
        self.present_until: dict[int, float] = {}  # By silent slot whose presence was confirmed.

    def refresh(self, silent_slots: Mapping[int, float], now: float, steady_now: float) -> None:
        """Replace the set of silent members.

        `silent_slots` gives the time at which each slot was declared silent, on the steady clock of the
        membership. It contains the slots that this gateway has known as live, and that are no longer live,
        whose gateway neither announced its departure nor was proved stopped by a recent connection probe of
        this gateway. A slot that has been silent for more than `max_reserve_ms` gets no reserve.
        """
        for slot in [slot for slot in self.silent_since if slot not in silent_slots]:
            del self.silent_since[slot]
            self.present_until.pop(slot, None)
        for slot, declared_at in silent_slots.items():
            silent_since = now - (steady_now - declared_at) - self.settings.detection_delay_ms
            if now - silent_since <= self.settings.max_reserve_ms:
                self.silent_since.setdefault(slot, silent_since)
            else:
                self.silent_since.pop(slot, None)

    def reserves(self, quota: SharedQuota, window: int, slot_count: int, now: float) -> Iterator[float]:
        """Yield the reserve, in units of this window, of each silent gateway in the quota's subset.

        `slot_count` is the number of member slots. A gateway whose presence at the counter is confirmed needs
        no reserve, because the counter's total includes its usage.
        """
        for offset in range(min(quota.subset_size, slot_count)):
            slot = (quota.subset_start + offset) % slot_count
            silent_since = self.silent_since.get(slot)
            if silent_since is not None and now > self.present_until.get(slot, 0.0):
                yield reserve(quota, window, silent_since, now)
