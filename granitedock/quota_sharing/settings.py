"""Settings of quota sharing; the operators' keys for them are those of `[shared]` in the fleet file."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuotaSharingSettings:
    """Times in ms, and counts."""

    broadcast_interval_ms: float = 100.0  # between broadcasts of usage rows, while any are queued
    max_reserve_ms: float = 600_000.0  # the share of a silent gateway is held back at most so long
    detection_delay_ms: float = 4500.0  # a silence began so long before membership declared it
    presence_interval_ms: float = 2000.0  # between presence calls to the counter, while anybody is silent
    presence_epoch_ms: float = 4000.0  # presence names are made for one epoch, so that they expire
    presence_reads: int = 8  # silent member slots looked up at the counter at a time
    max_rows: int = 20_000
