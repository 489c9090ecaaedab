"""Immutable objects of a world, kept once in each process and pickled by name.

Limits, request classes and plans are set at a gateway's start and never change. A pickle of a state names
them in place of their contents; a process that meets a name for the first time makes the world it belongs
to, which registers them.
"""

from __future__ import annotations

import copyreg
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple


class ObjectName(NamedTuple):
    """What tells a shared object from all others, in every process."""

    kind: str  # of the world
    shape: Any  # of the world; hashable
    number: int  # of the gateway
    part: str  # of the gateway


_objects: dict[ObjectName, Any] = {}
_names: dict[int, ObjectName] = {}  # by the id of an object
_references: list[
    Any
] = []  # keeps registered objects alive: an id is unique only as long as its object lives
_factories: dict[str, Callable[[Any], object]] = {}


def register_factory(kind: str, factory: Callable[[Any], object]) -> None:
    """For worlds of this kind, `factory(shape)` registers all objects that belong to a shape."""
    _factories[kind] = factory


def register(kind: str, shape: Any, number: int, parts: Iterable[tuple[str, Any]]) -> None:
    """Give objects, with the name of each part, their names; the first of a name stands for all."""
    for part, shared in parts:
        name = ObjectName(kind, shape, number, part)
        _objects.setdefault(name, shared)
        _names[id(shared)] = name
        _references.append(shared)


def resolve(kind: str, shape: Any, number: int, part: str) -> Any:
    """The object of this name, made now if this process has not met it."""
    name = ObjectName(kind, shape, number, part)
    if name not in _objects:
        _factories[kind](shape)
    return _objects[name]


def pickle_by_name(*types: type) -> None:
    """Pickle instances of these types by name, where they have one."""
    for shared_type in types:
        copyreg.pickle(shared_type, _reduce)


def _reduce(shared: Any) -> Any:
    name = _names.get(id(shared))
    return (resolve, tuple(name)) if name is not None else shared.__reduce_ex__(4)
