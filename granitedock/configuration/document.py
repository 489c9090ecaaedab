"""The document that gateways are configured by: plans and request classes under one version and digest.

Records have the form of the platform's file (`platform_file.py`). The digest is the sum of each entry's own,
modulo 2^128 (a set hash after Bellare and Micciancio, 1997), so that a change costs what it names and not the
whole document. It detects faults, not tampering: a control process is trusted. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from hashlib import sha256
from typing import Any, Generic, NamedTuple, TypeVar

import orjson

from granitedock.configuration.errors import ConfigurationError

Record = dict[str, Any]
"""One JSON object: an entry in the platform's words, or a part of a message or answer."""
Value = TypeVar("Value")
DIGEST_BYTES = 16
MODULUS = 2 ** (8 * DIGEST_BYTES)


class Section(Enum):
    """The kinds of entries. Routes and services are to be further ones."""

    CLASSES = "classes"
    PLANS = "plans"

    __hash__ = object.__hash__  # one object a member; the default hashes the name at each look-up


DIGEST_PREFIXES = {section: section.value.encode() + b"\0" for section in Section}


def canonical_json(record: Record) -> bytes:
    """The record as JSON with sorted keys, from which digests are made."""
    return orjson.dumps(record, option=orjson.OPT_SORT_KEYS)


def entry_digest(section: Section, record: Record) -> int:
    """The digest of one entry."""
    full_digest = sha256(DIGEST_PREFIXES[section] + canonical_json(record)).digest()
    return int.from_bytes(full_digest[:DIGEST_BYTES], "big")


def digest_text(digest: int) -> str:
    """The digest as 32 hex digits."""
    return f"{digest:0{2 * DIGEST_BYTES}x}"


@dataclass(frozen=True, slots=True)
class Edit:
    """Records to upsert and names to remove, by section; other entries stay as they are."""

    upserts: dict[Section, tuple[Record, ...]] = field(default_factory=dict)
    removals: dict[Section, tuple[str, ...]] = field(default_factory=dict)

    def upserted(self) -> Iterator[tuple[Section, Record]]:
        """Each record to upsert, with its section."""
        for section, records in self.upserts.items():
            for record in records:
                yield section, record

    def removed(self) -> Iterator[tuple[Section, str]]:
        """Each name to remove, with its section."""
        for section, names in self.removals.items():
            for name in names:
                yield section, name

    def __len__(self) -> int:
        return sum(map(len, self.upserts.values())) + sum(map(len, self.removals.values()))


@dataclass(frozen=True, slots=True)
class Change:
    """An edit of the version `base`; it makes the version after it."""

    base: int
    edit: Edit


class PreparedEntry(NamedTuple, Generic[Value]):
    """An entry that is about to be put: what is kept of its record, and its digest."""

    section: Section
    name: str
    value: Value
    digest: int


@dataclass(slots=True)
class PreparedEdit(Generic[Value]):
    """An edit worked out against contents and not yet in force; `digest` is the whole document's after it."""

    entries: list[PreparedEntry[Value]]
    removals: list[tuple[Section, str]]
    digest: int


class Contents(Generic[Value]):
    """All entries as one process keeps them: each value is what `make_value` makes of its record."""

    def __init__(self, make_value: Callable[[Section, Record], Value]) -> None:
        self.make_value = make_value
        self.version = 0
        self.digest = 0
        self.values: dict[Section, dict[str, Value]] = {section: {} for section in Section}
        self.digests: dict[Section, dict[str, int]] = {section: {} for section in Section}

    def prepare(self, edit: Edit) -> PreparedEdit[Value]:
        """Work out what the edit would do, without doing it.

        Raises ConfigurationError for the removal of an entry that does not exist.
        """
        digest = self.digest
        entries: list[PreparedEntry[Value]] = []
        removals: list[tuple[Section, str]] = []
        for section, name in edit.removed():
            if name not in self.digests[section]:
                problem = f"{section.value}.remove: {name!r} is not there"
                raise ConfigurationError(problem)
            digest -= self.digests[section][name]
            removals.append((section, name))
        for section, records in edit.upserts.items():
            known_digests = self.digests[section]
            make_value = self.make_value
            for record in records:
                name = record["Name"]
                own_digest = entry_digest(section, record)
                digest += own_digest - known_digests.get(name, 0)
                entries.append(PreparedEntry(section, name, make_value(section, record), own_digest))
        return PreparedEdit(entries, removals, digest % MODULUS)

    def commit(self, prepared: PreparedEdit[Value], version: int) -> None:
        """Put a prepared edit in force, as this version."""
        for section, name in prepared.removals:
            del self.values[section][name]
            del self.digests[section][name]
        for section, name, value, digest in prepared.entries:
            self.values[section][name] = value
            self.digests[section][name] = digest
        self.version = version
        self.digest = prepared.digest

    def count(self) -> int:
        """The number of entries of all sections."""
        return sum(len(values) for values in self.values.values())


def split_into_pages(records: Mapping[Section, Iterable[Record]], size: int) -> Iterator[Edit]:
    """All records as upserts, in edits of at most `size` entries."""
    page: dict[Section, list[Record]] = {}
    count = 0
    for section, section_records in records.items():
        for record in section_records:
            page.setdefault(section, []).append(record)
            count += 1
            if count == size:
                yield upserting(page)
                page = {}
                count = 0
    if count:
        yield upserting(page)


def upserting(records: Mapping[Section, list[Record]]) -> Edit:
    """An edit that upserts these records and removes none."""
    return Edit({section: tuple(section_records) for section, section_records in records.items()})
