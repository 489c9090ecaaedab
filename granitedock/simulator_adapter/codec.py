"""The simulator's wire protocol: the encoding of batches, and the values of fields and commands.

This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

import orjson

from granitedock.policy.types import EndpointStatus, Outcome
from granitedock.simulator_adapter.errors import MalformedBatchError

Event = list[Any]  # The event's name, followed by its fields by position.
Command = list[Any]  # The command's name, followed by its fields by position.
# Size, machine type, start time in Unix ms, address, zone, cell and status, by position.
EndpointRecord = list[Any]
Value = TypeVar("Value")

# Outcomes of attempts and counter calls, by their numbers on the wire.
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
# Whether an endpoint list names all hosts, by the form of the list.
IS_COMPLETE_BY_LIST_FORM = {"FULL": True, "SAVED": True, "INCREMENTAL": False}
ENDPOINT_LIST_FAILED = "FAILED"  # The form of a list that could not be fetched.

# Events of an instance's lifecycle and of the process. `batches.SESSION_EVENTS` has the other events.
HELLO = "Hello"
STOP = "Stop"
ENDPOINT_LIST = "List"
ENDPOINT_LIST_CHANGED = "RosterChange"

# Commands.
SEND = "Send"
REJECT = "TurnAway"
FAIL = "DropRequest"
CANCEL = "Withdraw"
CALL_COUNTER = "Count"
START_TIMER = "Defer"
LOG = "Emit"
ABORT_INSTANCE = "BailOut"


@dataclass(slots=True)
class InstanceEvents:
    """The events of one instance, in order."""

    instance: str
    events: list[Event]


@dataclass(slots=True)
class Batch:
    """The events of all instances at one point in time, `now`, in Unix ms."""

    now: float
    groups: list[InstanceEvents]


def decode_batch(line: bytes) -> Batch:
    """Decode a batch from a line of JSON.

    Raises MalformedBatchError if the line is not a batch.
    """
    try:
        batch = orjson.loads(line)
        now = float(batch["MomentMs"])
        groups = [InstanceEvents(group["Who"], group["happened"]) for group in batch["groups"]]
    except (ValueError, KeyError, TypeError) as error:
        message = f"expected a batch as a line of JSON: {error}"
        raise MalformedBatchError(message) from None
    return Batch(now, groups)


def encode_replies(replies: list[tuple[str, list[Command]]]) -> bytes:
    """Encode the commands of each instance as a line of JSON."""
    groups = [{"Who": instance, "cmds": commands} for instance, commands in replies]
    return orjson.dumps({"groups": groups}) + b"\n"


def lookup(table: Mapping[Any, Value], key: Any, kind: str) -> Value:
    """Return the entry of the table at a key.

    Raises MalformedBatchError if there is none, and never substitutes a default. `kind` describes the key in
    the error.
    """
    try:
        return table[key]
    except (KeyError, TypeError):
        message = f"unknown {kind}: {key!r}"
        raise MalformedBatchError(message) from None
