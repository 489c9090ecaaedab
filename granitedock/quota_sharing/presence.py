"""Presence at the counter: gateways that do not hear each other find out who still reaches the counter.

Guards against a cut between gateways that all still reach the counter: each side would hold back the other's
shares although the totals hold all that it admits. Hurts nobody but the counter, by two calls and two reads
for each silent slot in each interval, and only while somebody is silent. No I/O; times are Unix ms.
"""

from __future__ import annotations

from collections.abc import Collection

from granitedock.policy.types import CounterCall, Customer
from granitedock.quota_sharing.settings import QuotaSharingSettings

PRESENCE_CUSTOMER = Customer(-1)  # marks the calls made here; no customer has this key
SUSPECTED_INTERVALS = 15  # presence goes on so many intervals after others held this gateway for silent
EPOCHS_VALID = 2  # how long a presence that was seen holds
EPOCHS_KEPT = 3  # how long the counter keeps a presence name
# Odd 64-bit constants of integer hash functions; they spread slots and epochs over the counter's names.
SLOT_MULTIPLIER = 0x9E3779B97F4A7C15
EPOCH_MULTIPLIER = 0xD6E8FEB86659FD93
NAME_OFFSET = 0x5E47
NAME_SPACE = 2**63


class Presence:
    """The presence calls of the gateway in `own_slot`."""

    def __init__(self, own_slot: int, settings: QuotaSharingSettings) -> None:
        self.own_slot = own_slot
        self.settings = settings
        self.called_at = float("-inf")
        self.suspected_at = float("-inf")
        self.refutations = 0
        self.reads_made = 0

    def calls_due(self, silent_slots: Collection[int], refutations: int, now: float) -> list[CounterCall]:
        """The calls that are due: one that shows this gateway, and reads of some silent slots in turn.

        They are made while anybody is silent to this gateway, and while others hold it for silent, which it
        hears as suspicions that it has to refute (`refutations`, so far).
        """
        settings = self.settings
        if refutations != self.refutations:
            self.refutations = refutations
            self.suspected_at = now
        suspected = now - self.suspected_at < SUSPECTED_INTERVALS * settings.presence_interval_ms
        if not silent_slots and not suspected:
            return []
        if now - self.called_at < settings.presence_interval_ms:
            return []
        self.called_at = now
        epoch = int(now // settings.presence_epoch_ms)
        calls = [self._call(self.own_slot, epoch, 1.0, now)]
        slots = sorted(silent_slots)
        for _ in range(min(settings.presence_reads, len(slots))):
            slot = slots[self.reads_made % len(slots)]
            self.reads_made += 1
            calls.append(self._call(slot, epoch, 0.0, now))
            calls.append(self._call(slot, epoch - 1, 0.0, now))
        return calls

    def shown_until(self, call: CounterCall, total: float) -> float | None:
        """Until when the slot of a finished call (its `window`) holds as present; None if it does not."""
        if call.customer is not PRESENCE_CUSTOMER or total <= 0 or call.window == self.own_slot:
            return None
        return call.sent_at + EPOCHS_VALID * self.settings.presence_epoch_ms

    def _call(self, slot: int, epoch: int, amount: float, now: float) -> CounterCall:
        """An add to the presence name of a slot and epoch, which is apart from those of customers' windows.

        The call's `window` holds the slot.
        """
        name = (slot * SLOT_MULTIPLIER + epoch * EPOCH_MULTIPLIER + NAME_OFFSET) % NAME_SPACE
        ttl_ms = EPOCHS_KEPT * self.settings.presence_epoch_ms
        return CounterCall(PRESENCE_CUSTOMER, name, slot, amount, ttl_ms, now)
