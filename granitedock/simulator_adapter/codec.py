"""The words of the simulator's wire: a batch's form, and the values of its fields and commands. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

import orjson

from granitedock.policy.types import EndpointStatus, Outcome
from granitedock.simulator_adapter.errors import MalformedBatchError

Event = list[Any]  # the event's name, then its fields by position
Command = list[Any]  # the command's name, then its fields by position
EndpointRecord = list[Any]  # size, make, start time in ms, address, zone, cell, status
Value = TypeVar("Value")

# Outcomes of attempts and of counter calls, by the numbers that the wire gives them.
OUTCOMES = {
    0: Outcome.DONE,
    5: Outcome.ERROR,
    11: Outcome.OVERLOADED,
    110: Outcome.TIMEOUT,
    111: Outcome.CONNECTION_FAILED,
    104: Outcome.RESET,
    125: Outcome.CANCELLED,
    114: Outcome.ABANDONED,
}
ENDPOINT_STATUSES = {"IN": EndpointStatus.READY, "LAME": EndpointStatus.DRAINING, "OUT": EndpointStatus.GONE}
LIST_IS_COMPLETE = {"FULL": True, "SAVED": True, "INCREMENTAL": False}  # by the form of an endpoint list
LIST_FAILED = "FAILED"  # the form of a list that could not be fetched

# Events of an instance's life and of the process; the others are in `batches.SESSION_EVENTS`.
HELLO = "Hello"
STOP = "Stop"
LIST = "List"
LIST_CHANGED = "RosterChange"

# Commands.
SEND = "Send"
REJECT = "TurnAway"
FAIL = "DropRequest"
CANCEL = "Withdraw"
COUNT = "Count"
START_TIMER = "Defer"
LOG = "Emit"
GIVE_UP = "BailOut"


@dataclass(slots=True)
class InstanceEvents:
    """What happened to one instance, in order."""

    instance: str
    events: list[Event]


@dataclass(slots=True)
class Batch:
    """What happened at one moment, `now` in Unix ms."""

    now: float
    groups: list[InstanceEvents]


def decode_batch(line: bytes) -> Batch:
    """The batch in a line of JSON. Raises MalformedBatchError."""
    try:
        batch = orjson.loads(line)
        now = float(batch["MomentMs"])
        groups = [InstanceEvents(group["Who"], group["happened"]) for group in batch["groups"]]
    except (ValueError, KeyError, TypeError) as error:
        message = f"not a batch: {error}"
        raise MalformedBatchError(message) from None
    return Batch(now, groups)


def encode_replies(replies: list[tuple[str, list[Command]]]) -> bytes:
    """A line of JSON with the commands of each instance."""
    groups = [{"Who": instance, "cmds": commands} for instance, commands in replies]
    return orjson.dumps({"groups": groups}) + b"\n"


def lookup(table: Mapping[Any, Value], key: Any, kind: str) -> Value:
    """The table's entry; `kind` names it in the error. Raises MalformedBatchError, never guesses."""
    try:
        return table[key]
    except (KeyError, TypeError):
        message = f"unknown {kind}: {key!r}"
        raise MalformedBatchError(message) from None
