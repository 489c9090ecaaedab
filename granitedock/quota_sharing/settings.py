"""Settings of quota sharing; the keys for operators are under `[shared]` in the fleet file."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuotaSharingSettings:
    """The settings of one gateway's quota sharing; times are in ms."""

    broadcast_interval_ms: float = 100.0  # Between broadcasts of usage rows while any are queued.
    max_reserve_ms: float = 600_000.0  # A reserve for a silent gateway lasts at most this long.
    detection_delay_ms: float = 4500.0  # Between the start of a silence and its declaration by membership.
    presence_interval_ms: float = 2000.0  # Between presence calls to the counter while any member is silent.
    presence_epoch_ms: float = 4000.0  # Each epoch has its own presence names, so that presence expires.
    presence_reads: int = 8  # Silent member slots read from the counter in one interval.
    max_rows: int = 20_000  # Usage rows stored; further ones are dropped.
