"""One digest for all ways to the same state: an object graph written out by its content, then hashed.

Objects are numbered in the order in which they are met, so that two graphs of the same shape and figures have
the same digest, whatever their identities. Fields that only count or lead outside are left out by name.
"""

from __future__ import annotations

import marshal
from collections import deque
from enum import Enum
from hashlib import blake2b
from random import Random
from types import FunctionType, MethodType
from typing import Any

from granitedock.policy.types import Plan, RequestClass
from granitedock.rolling_window import RollingWindow

BY_NAME = frozenset({RequestClass, Plan})
PLAIN = frozenset({int, float, str, bytes, bool, type(None)})
LISTS = frozenset({list, tuple, deque})
LEFT_OUT = frozenset(
    "counts diary doors limits leave cold seat effects log world gate wakes made products plans known "
    "sequence".split()
)
_fields: dict[type, tuple[str, ...]] = {}


def fields(kind: type) -> tuple[str, ...]:
    """The names of a type's slots, without those left out; an object's own dictionary is written besides."""
    found = _fields.get(kind)
    if found is None:
        names: list[str] = []
        for base in reversed(kind.__mro__):
            slots = base.__dict__.get("__slots__", ())
            names += [slots] if isinstance(slots, str) else slots
        found = _fields[kind] = tuple(
            name for name in names if name not in LEFT_OUT and not name.startswith("__")
        )
    return found


def write(thing: Any, out: list[Any], met: dict[int, int]) -> None:
    kind = type(thing)
    if kind in PLAIN:
        out.append(thing)
    elif kind in LISTS:
        out.append("[")
        for item in thing:
            write(item, out, met)
        out.append("]")
    elif kind is dict:
        out.append("{")
        for key, value in thing.items():
            write(key, out, met)
            write(value, out, met)
        out.append("}")
    elif kind in BY_NAME:
        out.append(thing.name)
    elif kind is RollingWindow:
        if thing.newest >= 0:
            out.append((thing.newest, tuple(thing.stamps), tuple(thing.cells)))
    elif isinstance(thing, Enum):
        out.append(thing.name)
    elif kind is set or kind is frozenset:
        out.append(sorted(thing))
    elif kind is MethodType or kind is FunctionType:
        out.append(thing.__qualname__)
    elif kind is Random:
        out.append(hash(thing.getstate()))
    elif isinstance(thing, tuple):
        write(tuple(thing), out, met)
    else:
        number = met.get(id(thing))
        if number is not None:
            out.append("@")
            out.append(number)
            return
        met[id(thing)] = len(met)
        out.append(kind.__name__)
        for name in fields(kind):
            write(getattr(thing, name, None), out, met)
        own = getattr(thing, "__dict__", None)
        if own is not None:
            for name, value in own.items():
                if name not in LEFT_OUT:
                    out.append(name)
                    write(value, out, met)


def digest(*things: Any) -> bytes:
    """Of these, in this order."""
    out: list[Any] = []
    met: dict[int, int] = {}
    for thing in things:
        write(thing, out, met)
    return blake2b(marshal.dumps(out, 2), digest_size=12).digest()
