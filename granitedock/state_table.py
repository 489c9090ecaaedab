"""State machines as tables: a state and an event give the next state and the effect to run.

A table maps (state, event) to (next state, effect); the effect is the name of a method, or None. Used by the
policy, the service and the configuration service. No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any


class StateEnum(Enum):
    """States and events. Members hash by identity: Enum's own hash is slow, and each request reads tables."""

    __hash__ = object.__hash__


Table = Mapping[tuple[Any, Any], tuple[Any, str | None]]


def advance(table: Table, machine: Any, event: Any, effects: Any) -> None:
    """Apply `event` to `machine.state`, and each event that an effect returns, until one returns None.

    `effects` has the methods that the table names; each is called with `machine`. An event that has no row
    in the present state is ignored.
    """
    while event is not None:
        row = table.get((machine.state, event))
        if row is None:
            return
        machine.state, effect = row
        event = getattr(effects, effect)(machine) if effect else None
