"""The document and the log of its changes on disk: one SQLite file, write-ahead log, synchronous.

A change is one transaction: entries, log, version and digest, all or none. At the opening the digest is made
anew from the entries; a file whose entries do not add up to the digest that it states is torn and is not
served."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Iterator
from pathlib import Path

import orjson

from granitedock.configuration.change_form import edit_of, edit_shown
from granitedock.configuration.document import (
    MODULUS,
    ConfigurationError,
    Contents,
    Record,
    Section,
    canonical,
    digest_text,
    entry_digest,
)
from granitedock.configuration.messages import VersionedChange

FORMAT = 1
LOG_KEPT = 4096  # versions; followers further behind get a snapshot
TABLES = """
CREATE TABLE IF NOT EXISTS state (
    one INTEGER PRIMARY KEY CHECK (one = 1), format INTEGER NOT NULL, cluster TEXT NOT NULL,
    version INTEGER NOT NULL, digest TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS entries (
    section TEXT NOT NULL, name TEXT NOT NULL, record BLOB NOT NULL, PRIMARY KEY (section, name));
CREATE TABLE IF NOT EXISTS changes (
    version INTEGER PRIMARY KEY, digest TEXT NOT NULL, at_ms REAL NOT NULL, edit BLOB NOT NULL);
"""
PUT = "INSERT OR REPLACE INTO entries VALUES (?, ?, ?)"
NEWER = "SELECT version, digest, at_ms, edit FROM changes ORDER BY version"


class StoreError(ConfigurationError):
    """A store that cannot be used; its text names the file and why."""


class Store:
    """One control process's copy of the document on disk. All methods raise StoreError."""

    def __init__(self, path: Path, cluster: str) -> None:
        self.path, self.cluster = path, cluster
        try:
            self.link = sqlite3.connect(path, isolation_level=None)
            self.link.execute("PRAGMA journal_mode=WAL")
            self.link.execute("PRAGMA synchronous=FULL")
            self.link.executescript(TABLES)
            self.link.execute(
                "INSERT OR IGNORE INTO state VALUES (1, ?, ?, 0, ?)", (FORMAT, cluster, digest_text(0))
            )
            self.check()
        except sqlite3.Error as fault:
            raise StoreError(f"{path}: cannot be used as a store: {fault}") from None

    def check(self) -> None:
        """Guards against serving another cluster's document, or one that a fault of the disk has changed."""
        format_, cluster = self.link.execute("SELECT format, cluster FROM state").fetchone()
        if format_ != FORMAT:
            raise StoreError(f"{self.path}: format {format_}, and this program writes {FORMAT}")
        if cluster != self.cluster:
            raise StoreError(f"{self.path}: the store of cluster {cluster!r}, not {self.cluster!r}")
        found = self.link.execute("PRAGMA quick_check").fetchone()[0]
        if found != "ok":
            raise StoreError(f"{self.path}: torn: {found}")

    def state(self) -> tuple[int, str]:
        """Version and digest."""
        return self.link.execute("SELECT version, digest FROM state").fetchone()

    def entries(self) -> Iterator[tuple[Section, Record]]:
        for section, _, record in self.link.execute("SELECT section, name, record FROM entries"):
            yield Section(section), orjson.loads(record)

    def load(self, contents: Contents[bytes]) -> None:
        """Fill empty contents with what is stored. A digest that differs says that the file is torn."""
        try:
            version, digest = self.state()
            total = 0
            for section, record in self.entries():
                own, name = entry_digest(section, record), record["Name"]
                contents.values[section][name] = contents.keep(section, record)
                contents.digests[section][name] = own
                total += own
        except (sqlite3.Error, orjson.JSONDecodeError, KeyError, TypeError, ValueError) as fault:
            raise StoreError(f"{self.path}: torn: {type(fault).__name__}: {fault}") from None
        contents.version, contents.digest = version, total % MODULUS
        made = digest_text(contents.digest)
        if made != digest:
            raise StoreError(f"{self.path}: torn: its entries make digest {made}, and it states {digest}")

    def changes(self) -> list[VersionedChange]:
        """The log that is kept, oldest first."""
        return [
            VersionedChange(version, int(digest, 16), at_ms, edit_of(orjson.loads(edit)))
            for version, digest, at_ms, edit in self.link.execute(NEWER)
        ]

    def append(self, change: VersionedChange) -> None:
        """One change on the version before it, whole or not at all."""
        try:
            with Transaction(self.link):
                version = self.state()[0]
                if change.version != version + 1:
                    raise StoreError(f"{self.path}: version {version}, and the change makes {change.version}")
                self.link.executemany(
                    "DELETE FROM entries WHERE section = ? AND name = ?",
                    [(section.value, name) for section, name in change.edit.names()],
                )
                self.put(change.edit.entries())
                self.logged(change)
                self.stated(change.version, change.digest)
        except sqlite3.Error as fault:
            raise StoreError(f"{self.path}: cannot be written: {fault}") from None

    def replace(self, entries: Iterable[tuple[Section, Record]], version: int, digest: int) -> None:
        """A whole snapshot instead of all that was there; the log begins anew."""
        try:
            with Transaction(self.link):
                self.link.execute("DELETE FROM entries")
                self.link.execute("DELETE FROM changes")
                self.put(entries)
                self.stated(version, digest)
        except sqlite3.Error as fault:
            raise StoreError(f"{self.path}: cannot be written: {fault}") from None

    def put(self, entries: Iterable[tuple[Section, Record]]) -> None:
        rows = ((section.value, record["Name"], canonical(record)) for section, record in entries)
        self.link.executemany(PUT, rows)

    def logged(self, change: VersionedChange) -> None:
        edit = orjson.dumps(edit_shown(change.edit))
        row = (change.version, digest_text(change.digest), change.at_ms, edit)
        self.link.execute("INSERT INTO changes VALUES (?, ?, ?, ?)", row)
        self.link.execute("DELETE FROM changes WHERE version <= ?", (change.version - LOG_KEPT,))

    def stated(self, version: int, digest: int) -> None:
        self.link.execute("UPDATE state SET version = ?, digest = ?", (version, digest_text(digest)))

    def close(self) -> None:
        self.link.close()


class Transaction:
    """Begins at once for writing; commits at the end of its block, or rolls all back."""

    def __init__(self, link: sqlite3.Connection) -> None:
        self.link = link

    def __enter__(self) -> None:
        self.link.execute("BEGIN IMMEDIATE")

    def __exit__(self, kind: object, *_: object) -> None:
        self.link.execute("COMMIT" if kind is None else "ROLLBACK")
