"""The document that configures gateways: plans and request classes under one version and digest.

Records have the form of the platform file (`platform_file.py`). The document's digest is the sum of the
digests of its entries modulo 2^128 (a set hash after Bellare and Micciancio, 1997), so that the cost of a
change is proportional to the entries that it names and not to the whole document. The digest detects faults,
not tampering, because a control process is trusted. No I/O.
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
"""One JSON object: an entry with the platform file's field names, or a part of a message or response."""
Value = TypeVar("Value")
DIGEST_BYTES = 16
DIGEST_MODULUS = 2 ** (8 * DIGEST_BYTES)


class Section(Enum):
    """The kinds of entries; routes and services are planned as further kinds."""

    CLASSES = "classes"
    PLANS = "plans"

    __hash__ = object.__hash__  # Each member is one object; the default hashes the name at each look-up.


DIGEST_PREFIXES = {section: section.value.encode() + b"\0" for section in Section}


def canonical_json(record: Record) -> bytes:
    """Return the record as JSON with sorted keys, the input of digests."""
    return orjson.dumps(record, option=orjson.OPT_SORT_KEYS)


def entry_digest(section: Section, record: Record) -> int:
    """Return the digest of one entry."""
    full_digest = sha256(DIGEST_PREFIXES[section] + canonical_json(record)).digest()
    return int.from_bytes(full_digest[:DIGEST_BYTES], "big")


def digest_text(digest: int) -> str:
    """Return the digest as 32 hex digits."""
    return f"{digest:0{2 * DIGEST_BYTES}x}"


@dataclass(frozen=True, slots=True)
class Edit:
    """Records to upsert and names to remove, by section; other entries remain unchanged."""

    upserts: dict[Section, tuple[Record, ...]] = field(default_factory=dict)
    removals: dict[Section, tuple[str, ...]] = field(default_factory=dict)

    def upserted(self) -> Iterator[tuple[Section, Record]]:
        """Yield each record to upsert, with its section."""
        for section, records in self.upserts.items():
            for record in records:
                yield section, record

    def removed(self) -> Iterator[tuple[Section, str]]:
        """Yield each name to remove, with its section."""
        for section, names in self.removals.items():
            for name in names:
                yield section, name

    def __len__(self) -> int:
        return sum(map(len, self.upserts.values())) + sum(map(len, self.removals.values()))


@dataclass(frozen=True, slots=True)
class Change:
    """An edit based on version `base`; applying it makes the next version."""

    base: int
    edit: Edit


class PreparedEntry(NamedTuple, Generic[Value]):
    """An entry to be upserted: the value made of its record, and its digest."""

    section: Section
    name: str
    value: Value
    digest: int


@dataclass(slots=True)
class PreparedEdit(Generic[Value]):
    """An edit checked against contents and not yet in force; `digest` is the whole document's after it."""

    entries: list[PreparedEntry[Value]]
    removals: list[tuple[Section, str]]
    digest: int


class Contents(Generic[Value]):
    """All entries in one process's memory; each value is the result of `make_value` for its record."""

    def __init__(self, make_value: Callable[[Section, Record], Value]) -> None:
        self.make_value = make_value
        self.version = 0
        self.digest = 0
        self.values: dict[Section, dict[str, Value]] = {section: {} for section in Section}
        self.digests: dict[Section, dict[str, int]] = {section: {} for section in Section}

    def prepare(self, edit: Edit) -> PreparedEdit[Value]:
        """Compute the effect of the edit without applying it.

        Raises ConfigurationError for the removal of an entry that does not exist, or for a record of which
        `make_value` cannot make a value.
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
                record_digest = entry_digest(section, record)
                digest += record_digest - known_digests.get(name, 0)
                entries.append(PreparedEntry(section, name, make_value(section, record), record_digest))
        return PreparedEdit(entries, removals, digest % DIGEST_MODULUS)

    def commit(self, prepared: PreparedEdit[Value], version: int) -> None:
        """Apply a prepared edit as this version."""
        for section, name in prepared.removals:
            del self.values[section][name]
            del self.digests[section][name]
        for section, name, value, digest in prepared.entries:
            self.values[section][name] = value
            self.digests[section][name] = digest
        self.version = version
        self.digest = prepared.digest

    def count(self) -> int:
        """Return the number of entries in all sections."""
        return sum(len(values) for values in self.values.values())


def split_into_pages(records: Mapping[Section, Iterable[Record]], size: int) -> Iterator[Edit]:
    """Yield all records as upserts, in edits of at most `size` entries."""
    page: dict[Section, list[Record]] = {}
    count = 0
    for section, section_records in records.items():
        for record in section_records:
            page.setdefault(section, []).append(record)
            count += 1
            if count == size:
                yield upsert_edit(page)
                page = {}
                count = 0
    if count:
        yield upsert_edit(page)


def upsert_edit(records: Mapping[Section, list[Record]]) -> Edit:
    """Return an edit that upserts these records and removes none."""
    return Edit({section: tuple(section_records) for section, section_records in records.items()})
