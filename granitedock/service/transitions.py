"""Helpers for total transition tables: each pair of a state and an event has a row, or a reason for none."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum

Pair = tuple[Enum, Enum]
Ignored = Mapping[str, frozenset[Pair]]  # By the reason why the event has no effect in the state.


def pairs(states: Iterable[Enum], events: Iterable[Enum]) -> frozenset[Pair]:
    """Return each of these states paired with each of these events."""
    all_events = tuple(events)
    return frozenset((state, event) for state in states for event in all_events)
