"""Digest of a state that does not depend on the path to it: the hash of an object graph in canonical form.

Objects are numbered in the order in which they are visited, so that two graphs of the same shape and values
have the same digest, whatever their identities. EXCLUDED_FIELDS names the fields that are left out because
they only count or refer to objects outside the state.
"""

from __future__ import annotations

import marshal
from collections import deque
from collections.abc import Callable
from enum import Enum
from hashlib import blake2b
from random import Random
from types import FunctionType, MethodType
from typing import Any

from granitedock.policy.types import Plan, RequestClass
from granitedock.rolling_window import RollingWindow

DIGEST_BYTES = 12
MARSHAL_VERSION = 2  # This version has no references to objects, so that equal values give equal bytes.
SCALARS = frozenset({int, float, str, bytes, bool, type(None)})
EXCLUDED_FIELDS = frozenset(
    {
        "counts",
        "event_log",
        "io",
        "limits",
        "effects",
        "log",
        "world",
        "modelled_gateway",
        "policy_timers",
        "wakes",
        "timer_number",
        "made",
        "plans",
        "tracked_hosts",
        "initial_endpoints",
        "permitted",
        "settings",
        "sequence",
    }
)

Values = list[Any]  # The canonical form: scalars, structure marks and tuples of scalars.
Numbers = dict[int, int]  # The number of each visited object, by its id.
Writer = Callable[[Any, Values, Numbers], None]

_slot_names: dict[type, tuple[str, ...]] = {}


def state_digest(*roots: Any) -> bytes:
    """Return the digest of the objects `roots`, in this order, and of all objects that they refer to."""
    values: Values = []
    numbers: Numbers = {}
    for root in roots:
        write(root, values, numbers)
    return blake2b(marshal.dumps(values, MARSHAL_VERSION), digest_size=DIGEST_BYTES).digest()


def write(value: Any, values: Values, numbers: Numbers) -> None:
    """Append the canonical form of a value."""
    value_type = type(value)
    if value_type in SCALARS:
        values.append(value)
        return
    writer = _writers.get(value_type)
    if writer is None:
        writer = _writers[value_type] = writer_of(value_type)
    writer(value, values, numbers)


def writer_of(value_type: type) -> Writer:
    """Return the writer for a type that is not listed in `_writers`."""
    if issubclass(value_type, Enum):
        return write_name
    if issubclass(value_type, tuple):
        return write_named_tuple
    return write_object


def write_sequence(items: Any, values: Values, numbers: Numbers) -> None:
    """Write a list, tuple or deque as its items in order."""
    values.append("[")
    for item in items:
        write(item, values, numbers)
    values.append("]")


def write_named_tuple(items: Any, values: Values, numbers: Numbers) -> None:
    """Write an instance of a subclass of tuple as the plain tuple of its items."""
    write_sequence(tuple(items), values, numbers)


def write_mapping(mapping: dict[Any, Any], values: Values, numbers: Numbers) -> None:
    """Write keys and values in the order of their insertion, which is a part of the state."""
    values.append("{")
    for key, value in mapping.items():
        write(key, values, numbers)
        write(value, values, numbers)
    values.append("}")


def write_name(value: Any, values: Values, _numbers: Numbers) -> None:
    """Write the name of a value that its name identifies: a member of an enum, a plan, a request class."""
    values.append(value.name)


def write_rolling_window(window: RollingWindow, values: Values, _numbers: Numbers) -> None:
    """Write the window's buckets; an empty window writes nothing."""
    if window.newest >= 0:
        values.append((window.newest, tuple(window.bucket_numbers), tuple(window.bucket_sums)))


def write_set(items: Any, values: Values, _numbers: Numbers) -> None:
    """Write the items in sorted order."""
    values.append(sorted(items))


def write_function(function: Any, values: Values, _numbers: Numbers) -> None:
    """Write the qualified name; the object that a method is bound to is left out."""
    values.append(function.__qualname__)


def write_random(random: Random, values: Values, _numbers: Numbers) -> None:
    """Write the hash of the generator's state."""
    values.append(hash(random.getstate()))


def write_object(value: Any, values: Values, numbers: Numbers) -> None:
    """Write an object's type and fields, slots before its dictionary; if visited before, only its number."""
    number = numbers.get(id(value))
    if number is not None:
        values.append("@")
        values.append(number)
        return
    numbers[id(value)] = len(numbers)
    value_type = type(value)
    values.append(value_type.__name__)
    for name in slot_names(value_type):
        write(getattr(value, name, None), values, numbers)
    attributes = getattr(value, "__dict__", None)
    if attributes is not None:
        for name, attribute in attributes.items():
            if name not in EXCLUDED_FIELDS:
                values.append(name)
                write(attribute, values, numbers)


def slot_names(value_type: type) -> tuple[str, ...]:
    """Return the names of a type's slots, those of its bases first, without the excluded ones."""
    cached = _slot_names.get(value_type)
    if cached is None:
        names: list[str] = []
        for base in reversed(value_type.__mro__):
            slots = base.__dict__.get("__slots__", ())
            names += [slots] if isinstance(slots, str) else slots
        cached = _slot_names[value_type] = tuple(
            name for name in names if name not in EXCLUDED_FIELDS and not name.startswith("__")
        )
    return cached


_writers: dict[type, Writer] = {
    list: write_sequence,
    tuple: write_sequence,
    deque: write_sequence,
    dict: write_mapping,
    RequestClass: write_name,
    Plan: write_name,
    RollingWindow: write_rolling_window,
    set: write_set,
    frozenset: write_set,
    MethodType: write_function,
    FunctionType: write_function,
    Random: write_random,
}
