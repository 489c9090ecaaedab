"""Helpers for transition tables that are total: each pair of a state and an event has a row or a reason."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum

Pair = tuple[Enum, Enum]
Ignored = Mapping[str, frozenset[Pair]]  # by the reason why the event changes nothing in the state


def pairs(states: Iterable[Enum], events: Iterable[Enum]) -> frozenset[Pair]:
    """Each of these states with each of these events."""
    wanted = tuple(events)
    return frozenset((state, event) for state in states for event in wanted)
