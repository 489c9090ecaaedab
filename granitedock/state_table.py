"""State machines as transition tables.

A table maps (state, event) to (next state, effect). The effect is the name of a method to call, or None. The
policy, the service and the configuration service share this module; it performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any


class StateEnum(Enum):
    """Base class of states, events and inputs.

    Members hash by identity, because Enum's own hash is slow and every request looks up rows in tables.
    """

    __hash__ = object.__hash__


TransitionTable = Mapping[tuple[Any, Any], tuple[Any, str | None]]


def advance(table: TransitionTable, machine: Any, event: Any, effects: Any) -> None:
    """Apply an event to `machine.state`, then each event that an effect returns, until one returns None.

    `effects` has the methods that the table names; each is called with `machine`. An event without a row for
    the current state is ignored, and ends the sequence.
    """
    while event is not None:
        row = table.get((machine.state, event))
        if row is None:
            return
        machine.state, effect = row
        event = getattr(effects, effect)(machine) if effect else None
