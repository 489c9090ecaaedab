"""The document and its change log on disk: one SQLite file with a write-ahead log and synchronous commits.

A change is one transaction over entries, log, version and digest. On loading, the digest is recomputed from
the entries. A file whose entries do not add up to the stored digest is corrupt (`torn` in its errors) and is
not served.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Iterator
from pathlib import Path

import orjson

from granitedock.configuration.change_codec import edit_from_record, edit_to_record
from granitedock.configuration.document import (
    DIGEST_MODULUS,
    Contents,
    Record,
    Section,
    canonical_json,
    digest_text,
    entry_digest,
)
from granitedock.configuration.errors import StoreError
from granitedock.configuration.messages import VersionedChange

FORMAT = 1
MAX_LOGGED_VERSIONS = 4096  # A follower that is further behind gets a snapshot.
CREATE_TABLES = """
CREATE TABLE IF NOT EXISTS state (
    one INTEGER PRIMARY KEY CHECK (one = 1), format INTEGER NOT NULL, cluster TEXT NOT NULL,
    version INTEGER NOT NULL, digest TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS entries (
    section TEXT NOT NULL, name TEXT NOT NULL, record BLOB NOT NULL, PRIMARY KEY (section, name));
CREATE TABLE IF NOT EXISTS changes (
    version INTEGER PRIMARY KEY, digest TEXT NOT NULL, at_ms REAL NOT NULL, edit BLOB NOT NULL);
"""
INSERT_STATE = "INSERT OR IGNORE INTO state VALUES (1, ?, ?, 0, ?)"
SELECT_FORMAT = "SELECT format, cluster FROM state"
SELECT_STATE = "SELECT version, digest FROM state"
SELECT_ENTRIES = "SELECT section, name, record FROM entries"
SELECT_CHANGES = "SELECT version, digest, at_ms, edit FROM changes ORDER BY version"
UPSERT_ENTRY = "INSERT OR REPLACE INTO entries VALUES (?, ?, ?)"
DELETE_ENTRY = "DELETE FROM entries WHERE section = ? AND name = ?"
INSERT_CHANGE = "INSERT INTO changes VALUES (?, ?, ?, ?)"
DELETE_OLD_CHANGES = "DELETE FROM changes WHERE version <= ?"
UPDATE_STATE = "UPDATE state SET version = ?, digest = ?"


class DocumentStore:
    """One process's copy of the document on disk.

    Opening, loading and writing raise StoreError.
    """

    def __init__(self, path: Path, cluster: str) -> None:
        self.path = path
        self.cluster = cluster
        try:
            self.database = sqlite3.connect(path, isolation_level=None)
            self.database.execute("PRAGMA journal_mode=WAL")
            self.database.execute("PRAGMA synchronous=FULL")
            self.database.executescript(CREATE_TABLES)
            self.database.execute(INSERT_STATE, (FORMAT, cluster, digest_text(0)))
            self.check_integrity()
        except sqlite3.Error as fault:
            raise StoreError(path, f"cannot be used as a store: {fault}") from None

    def check_integrity(self) -> None:
        """Raise StoreError for a file of another format or cluster, or a corrupt one.

        Prevents serving another cluster's document, or one that a disk fault has changed.
        """
        stored_format, cluster = self.database.execute(SELECT_FORMAT).fetchone()
        if stored_format != FORMAT:
            raise StoreError(self.path, f"format {stored_format}; this program writes format {FORMAT}")
        if cluster != self.cluster:
            raise StoreError(self.path, f"the store of cluster {cluster!r}, not {self.cluster!r}")
        result = self.database.execute("PRAGMA quick_check").fetchone()[0]
        if result != "ok":
            raise StoreError(self.path, f"torn: {result}")

    # Read operations.

    def state(self) -> tuple[int, str]:
        """Return the version, and the digest as text."""
        return self.database.execute(SELECT_STATE).fetchone()

    def entries(self) -> Iterator[tuple[Section, Record]]:
        """Yield all entries, each with its section."""
        for section, _, record in self.database.execute(SELECT_ENTRIES):
            yield Section(section), orjson.loads(record)

    def load(self, contents: Contents[bytes]) -> None:
        """Fill empty contents with the stored entries, version and digest.

        Raises StoreError if the file is unreadable or the computed digest differs from the stored one.
        """
        try:
            version, stated_digest = self.state()
            total = 0
            for section, record in self.entries():
                record_digest = entry_digest(section, record)
                name = record["Name"]
                contents.values[section][name] = contents.make_value(section, record)
                contents.digests[section][name] = record_digest
                total += record_digest
        except (sqlite3.Error, orjson.JSONDecodeError, KeyError, TypeError, ValueError) as fault:
            raise StoreError(self.path, f"torn: {type(fault).__name__}: {fault}") from None
        contents.version = version
        contents.digest = total % DIGEST_MODULUS
        computed = digest_text(contents.digest)
        if computed != stated_digest:
            problem = f"torn: its entries make digest {computed}, and it states {stated_digest}"
            raise StoreError(self.path, problem)

    def changes(self) -> list[VersionedChange]:
        """Return the retained changes, oldest first."""
        return [
            VersionedChange(version, int(digest, 16), at_ms, edit_from_record(orjson.loads(edit)))
            for version, digest, at_ms, edit in self.database.execute(SELECT_CHANGES)
        ]

    # Write operations.

    def append(self, change: VersionedChange) -> None:
        """Store the change that makes the next version, atomically."""
        try:
            with Transaction(self.database):
                version = self.state()[0]
                if change.version != version + 1:
                    problem = f"stored version is {version}, cannot append version {change.version}"
                    raise StoreError(self.path, problem)
                removed = [(section.value, name) for section, name in change.edit.removed()]
                self.database.executemany(DELETE_ENTRY, removed)
                self.upsert_entries(change.edit.upserted())
                self.log_change(change)
                self.update_state(change.version, change.digest)
        except sqlite3.Error as fault:
            raise StoreError(self.path, f"cannot be written: {fault}") from None

    def replace(self, entries: Iterable[tuple[Section, Record]], version: int, digest: int) -> None:
        """Replace the whole document by a snapshot, atomically, and clear the log."""
        try:
            with Transaction(self.database):
                self.database.execute("DELETE FROM entries")
                self.database.execute("DELETE FROM changes")
                self.upsert_entries(entries)
                self.update_state(version, digest)
        except sqlite3.Error as fault:
            raise StoreError(self.path, f"cannot be written: {fault}") from None

    def upsert_entries(self, entries: Iterable[tuple[Section, Record]]) -> None:
        """Upsert entries within a transaction."""
        rows = ((section.value, record["Name"], canonical_json(record)) for section, record in entries)
        self.database.executemany(UPSERT_ENTRY, rows)

    def log_change(self, change: VersionedChange) -> None:
        """Append a change to the log and delete versions beyond the limit, within a transaction."""
        edit = orjson.dumps(edit_to_record(change.edit))
        row = (change.version, digest_text(change.digest), change.at_ms, edit)
        self.database.execute(INSERT_CHANGE, row)
        self.database.execute(DELETE_OLD_CHANGES, (change.version - MAX_LOGGED_VERSIONS,))

    def update_state(self, version: int, digest: int) -> None:
        """Store version and digest within a transaction."""
        self.database.execute(UPDATE_STATE, (version, digest_text(digest)))

    def close(self) -> None:
        """Close the file."""
        self.database.close()


class Transaction:
    """A write transaction, begun on entry; commits at the end of its block, or rolls back on an exception."""

    def __init__(self, database: sqlite3.Connection) -> None:
        self.database = database

    def __enter__(self) -> None:
        self.database.execute("BEGIN IMMEDIATE")

    def __exit__(self, exception_type: object, *_: object) -> None:
        self.database.execute("COMMIT" if exception_type is None else "ROLLBACK")
