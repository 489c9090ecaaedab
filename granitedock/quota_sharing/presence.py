"""Presence at the counter: shows which of the gateways that cannot reach each other still reach the counter.

Prevents unused quota after a partition between gateways that all still reach the counter: each side would
reserve the other's shares although the counter's totals include all that it admits. The cost is load on the
counter alone: in each interval one increment, and two reads for each of at most `presence_reads` silent
slots. These calls are made only while a member is silent to this gateway or others suspect this gateway. No
I/O; times are Unix ms.
"""

from __future__ import annotations

from collections.abc import Collection

from granitedock.policy.types import CounterCall, Customer
from granitedock.quota_sharing.settings import QuotaSharingSettings

PRESENCE_CUSTOMER = Customer(-1)  # Marks presence calls; no customer has this key.
SUSPECTED_INTERVALS = 15  # Presence calls continue for this many intervals after a suspicion.
PRESENCE_VALID_EPOCHS = 2  # A confirmed presence is valid for this many epochs.
PRESENCE_RETENTION_EPOCHS = 3  # The counter keeps a presence name for this many epochs.
# Odd 64-bit constants of integer hash functions; they spread slots and epochs over the counter's names.
SLOT_MULTIPLIER = 0x9E3779B97F4A7C15
EPOCH_MULTIPLIER = 0xD6E8FEB86659FD93
NAME_OFFSET = 0x5E47
NAME_SPACE = 2**63


class Presence:
    """The presence calls of the gateway in `local_slot`."""

    def __init__(self, local_slot: int, settings: QuotaSharingSettings) -> None:
        self.local_slot = local_slot
        self.settings = settings
        self.called_at = float("-inf")
        self.suspected_at = float("-inf")
        self.refutations = 0
        self.read_count = 0

    def calls_due(self, silent_slots: Collection[int], refutations: int, now: float) -> list[CounterCall]:
        """Return the calls to send now: an increment for this gateway, and reads of silent slots in turn.

        Calls are made while any member is silent to this gateway, and while other members suspect this one.
        A suspicion shows as a refutation that this gateway had to send; `refutations` is their number so far.
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
        calls = [self._call(self.local_slot, epoch, 1.0, now)]
        slots = sorted(silent_slots)
        for _ in range(min(settings.presence_reads, len(slots))):
            slot = slots[self.read_count % len(slots)]
            self.read_count += 1
            calls.append(self._call(slot, epoch, 0.0, now))
            calls.append(self._call(slot, epoch - 1, 0.0, now))
        return calls

    def valid_until(self, call: CounterCall, total: float) -> float | None:
        """Return the time until which the slot of a finished call (its `window`) counts as present.

        Returns None if the call shows no presence of another slot.
        """
        if call.customer is not PRESENCE_CUSTOMER or total <= 0 or call.window == self.local_slot:
            return None
        return call.sent_at + PRESENCE_VALID_EPOCHS * self.settings.presence_epoch_ms

    def _call(self, slot: int, epoch: int, amount: float, now: float) -> CounterCall:
        """Return a counter call on the presence name of a slot and epoch; an `amount` of 0 only reads it.

        The name coincides with the name of a customer's window only by chance. The call's `window` is the
        slot.
        """
        name = (slot * SLOT_MULTIPLIER + epoch * EPOCH_MULTIPLIER + NAME_OFFSET) % NAME_SPACE
        ttl_ms = PRESENCE_RETENTION_EPOCHS * self.settings.presence_epoch_ms
        return CounterCall(PRESENCE_CUSTOMER, name, slot, amount, ttl_ms, now)
