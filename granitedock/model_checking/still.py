"""Parts of a world that never change, kept once in each process instead of in every state's pickle.

Limits, products and plans are told at a start and stand for the whole life of a gateway. A pickle of a state
names them; a process that meets the name for the first time makes such a gateway and takes them from it.
"""

from __future__ import annotations

import copyreg
from collections.abc import Callable, Iterable
from typing import Any

Name = tuple[Any, ...]
_kept: dict[Name, Any] = {}
_names: dict[int, Name] = {}
_held: list[Any] = []
_makers: dict[str, Callable[[Any], None]] = {}


def maker(kind: str, make: Callable[[Any], None]) -> None:
    """`make(shape)` leads to `keep` for all that belongs to the shape of this kind."""
    _makers[kind] = make


def keep(kind: str, shape: Any, number: int, things: Iterable[tuple[str, Any]]) -> None:
    for what, thing in things:
        name = (kind, shape, number, what)
        _kept.setdefault(name, thing)
        _names[id(thing)] = name
        _held.append(thing)  # an id tells it only as long as it lives


def kept(*name: Any) -> Any:
    if name not in _kept:
        _makers[name[0]](name[1])
    return _kept[name]


def reduced(thing: Any) -> Any:
    name = _names.get(id(thing))
    return (kept, name) if name is not None else thing.__reduce_ex__(4)


def still(*kinds: type) -> None:
    """Instances of these types are pickled by their names, where they have one."""
    for kind in kinds:
        copyreg.pickle(kind, reduced)
