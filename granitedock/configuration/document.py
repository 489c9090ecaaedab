"""The document that gateways are configured by: plans and request classes under one version and digest.

Records have the form of the platform's file (`service/told.py`). The digest is the sum of each entry's own,
modulo 2^128 (a set hash after Bellare and Micciancio, 1997), so that a change costs what it names and not the
whole document. It tells differences by fault, not by intent: a control process is trusted. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from hashlib import sha256
from typing import Any, Generic, TypeVar

import orjson

Record = dict[str, Any]
Value = TypeVar("Value")
DIGEST_BYTES = 16
MODULUS = 2 ** (8 * DIGEST_BYTES)


class Section(Enum):
    """The kinds of entries. Routes and services are to be further ones."""

    CLASSES = "classes"
    PLANS = "plans"

    __hash__ = object.__hash__  # one object a member; the default hashes the name at each look-up


PREFIXES = {section: section.value.encode() + b"\0" for section in Section}


class ConfigurationError(ValueError):
    """Something of the configuration that cannot be used; its text names where and what."""


class DigestDiffers(ConfigurationError):
    """What came leads to another digest than it says."""


def canonical(record: Record) -> bytes:
    """The one wording of a record, by which digests are made."""
    return orjson.dumps(record, option=orjson.OPT_SORT_KEYS)


def entry_digest(section: Section, record: Record) -> int:
    """The digest of one entry."""
    made = sha256(PREFIXES[section] + canonical(record)).digest()
    return int.from_bytes(made[:DIGEST_BYTES], "big")


def digest_text(digest: int) -> str:
    return f"{digest:0{2 * DIGEST_BYTES}x}"


@dataclass(frozen=True, slots=True)
class Edit:
    """Entries to be put and names to be removed, by section; nothing is said of the rest."""

    upserts: dict[Section, tuple[Record, ...]] = field(default_factory=dict)
    removals: dict[Section, tuple[str, ...]] = field(default_factory=dict)

    def entries(self) -> Iterator[tuple[Section, Record]]:
        for section, records in self.upserts.items():
            for record in records:
                yield section, record

    def names(self) -> Iterator[tuple[Section, str]]:
        for section, names in self.removals.items():
            for name in names:
                yield section, name

    def __len__(self) -> int:
        return sum(map(len, self.upserts.values())) + sum(map(len, self.removals.values()))


@dataclass(frozen=True, slots=True)
class Change:
    """An edit on a base version; it makes the version after it."""

    base: int
    edit: Edit


@dataclass(slots=True)
class Prepared(Generic[Value]):
    """An edit worked out against contents and not yet in force."""

    values: list[tuple[Section, str, Value, int]]
    removals: list[tuple[Section, str]]
    digest: int


class Contents(Generic[Value]):
    """All entries as one process keeps them: each value is what `keep` makes of its record."""

    def __init__(self, keep: Callable[[Section, Record], Value]) -> None:
        self.keep, self.version, self.digest = keep, 0, 0
        self.values: dict[Section, dict[str, Value]] = {section: {} for section in Section}
        self.digests: dict[Section, dict[str, int]] = {section: {} for section in Section}

    def prepare(self, edit: Edit) -> Prepared[Value]:
        """What the edit would do; changes nothing. Raises ConfigurationError for a removal of what is not
        there."""
        digest, values, removals = self.digest, [], []
        for section, name in edit.names():
            if name not in self.digests[section]:
                raise ConfigurationError(f"{section.value}.remove: {name!r} is not there")
            digest -= self.digests[section][name]
            removals.append((section, name))
        for section, records in edit.upserts.items():
            known, keep = self.digests[section], self.keep
            for record in records:
                name, own = record["Name"], entry_digest(section, record)
                digest += own - known.get(name, 0)
                values.append((section, name, keep(section, record), own))
        return Prepared(values, removals, digest % MODULUS)

    def commit(self, prepared: Prepared[Value], version: int) -> None:
        """The edit is in force, as this version."""
        for section, name in prepared.removals:
            del self.values[section][name], self.digests[section][name]
        for section, name, value, own in prepared.values:
            self.values[section][name], self.digests[section][name] = value, own
        self.version, self.digest = version, prepared.digest

    def count(self) -> int:
        return sum(len(values) for values in self.values.values())


def pages(records: dict[Section, Iterable[Record]], size: int) -> Iterator[Edit]:
    """All records in edits of at most `size` entries."""
    waiting: dict[Section, list[Record]] = {}
    held = 0
    for section, ones in records.items():
        for record in ones:
            waiting.setdefault(section, []).append(record)
            held += 1
            if held == size:
                yield Edit({part: tuple(some) for part, some in waiting.items()})
                waiting, held = {}, 0
    if held:
        yield Edit({part: tuple(some) for part, some in waiting.items()})
