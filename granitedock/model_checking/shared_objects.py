"""Immutable objects of a world, stored once in each process and pickled by name.

Limits, request classes and plans are set at a gateway's start and never change. A pickle of a state contains
their names instead of their contents. A process that unpickles a name for the first time creates the world to
which it belongs, which registers them.
"""

from __future__ import annotations

import copyreg
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple


class ObjectName(NamedTuple):
    """The unique name of a shared object, the same in every process."""

    kind: str  # The world's kind.
    shape: Any  # The world's shape; hashable.
    number: int  # The gateway's number.
    part: str  # The object's name within the gateway.


_objects: dict[ObjectName, Any] = {}
_names: dict[int, ObjectName] = {}  # By the id of an object.
_references: list[Any] = []  # Keeps registered objects alive: an id is unique only while its object exists.
_factories: dict[str, Callable[[Any], object]] = {}


def register_factory(kind: str, factory: Callable[[Any], object]) -> None:
    """Register a factory for a kind of world: `factory(shape)` registers all objects of a shape."""
    _factories[kind] = factory


def register(kind: str, shape: Any, number: int, parts: Iterable[tuple[str, Any]]) -> None:
    """Register pairs of a part's name and its object; the first object of a name represents all others."""
    for part, shared in parts:
        name = ObjectName(kind, shape, number, part)
        _objects.setdefault(name, shared)
        _names[id(shared)] = name
        _references.append(shared)


def resolve(kind: str, shape: Any, number: int, part: str) -> Any:
    """Return the object of this name; it is created if this process does not have it yet."""
    name = ObjectName(kind, shape, number, part)
    if name not in _objects:
        _factories[kind](shape)
    return _objects[name]


def pickle_by_name(*types: type) -> None:
    """Pickle registered instances of these types by name, and others by value."""
    for shared_type in types:
        copyreg.pickle(shared_type, _reduce)


def _reduce(shared: Any) -> Any:
    name = _names.get(id(shared))
    return (resolve, tuple(name)) if name is not None else shared.__reduce_ex__(4)
