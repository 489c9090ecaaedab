"""The core of one control process, a writer or a replica: the document, its store and its followers.

It applies changes to the store and the publisher and opens no socket. `control_server.py` serves its
followers, and `follower_connection.py` connects a replica to the control process that it follows.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import asdict
from typing import cast

import orjson

from granitedock.configuration.change_codec import edit_from_platform_settings
from granitedock.configuration.document import (
    Change,
    Contents,
    Edit,
    PreparedEdit,
    Record,
    Section,
    canonical_json,
    digest_text,
    split_into_pages,
)
from granitedock.configuration.document_store import DocumentStore
from granitedock.configuration.errors import (
    ChangeRejectedError,
    ConfigurationError,
    NotWriterError,
    VersionConflictError,
)
from granitedock.configuration.follower import Follower
from granitedock.configuration.follower_session import FollowerSession
from granitedock.configuration.http_records import ControlStatusRecord, DocumentRecord, FollowerRecord
from granitedock.configuration.message_codec import encode
from granitedock.configuration.messages import Message, Page, SnapshotBegins, SnapshotEnds, VersionedChange
from granitedock.configuration.publisher import Publisher
from granitedock.configuration.quota_windows import with_window
from granitedock.configuration.replicated_document import ReplicatedDocument

PAGE_ENTRIES = 250  # A snapshot page of 250 entries is about 30 KB and is read in about 1 ms.
NO_CLASS_REMAINS = "classes: none would be left"


class ControlNode:
    """The document at one control process, in memory and in its store.

    `writer` states whether the process accepts operators' changes. `clock()` returns monotonic ms, and
    `notify(sessions)` writes pending lines to these followers.
    """

    def __init__(
        self,
        store: DocumentStore,
        writer: bool,
        clock: Callable[[], float],
        notify: Callable[[list[FollowerSession]], None],
    ) -> None:
        self.store = store
        self.writer = writer
        self.clock = clock
        self.notify = notify
        self.document: ReplicatedDocument[bytes] = ReplicatedDocument(self)
        self.follower: Follower | None = None  # Set at a replica.
        store.load(self.contents)
        self.publisher = Publisher(store.cluster, self.snapshot_lines)
        self.publisher.load(self.contents.version, self.contents.digest, store.changes(), clock())

    @property
    def contents(self) -> Contents[bytes]:
        """The contents in force; each value is the record as canonical JSON."""
        return self.document.contents

    def record(self, section: Section, name: str) -> Record | None:
        """Return the entry's record, or None if there is no such entry."""
        value = self.contents.values[section].get(name)
        return None if value is None else orjson.loads(value)

    def snapshot_lines(self) -> list[bytes]:
        """Return the encoded lines of a snapshot of the whole document."""
        contents = self.contents
        records = {section: map(orjson.loads, contents.values[section].values()) for section in Section}
        edits = list(split_into_pages(records, PAGE_ENTRIES))
        version = contents.version
        digest = contents.digest
        messages: list[Message] = [SnapshotBegins(self.store.cluster, version, digest, len(edits))]
        messages += [Page(number, edit) for number, edit in enumerate(edits)]
        messages.append(SnapshotEnds(version, digest))
        return [encode(message) for message in messages]

    # Changes at the writer.

    def apply(self, change: Change, source: str) -> VersionedChange:
        """Apply an operator's change: store it, put it in force, and publish it to the followers.

        `source` names the file or address that the change came from. Returns the change with its version.
        Raises ChangeRejectedError, VersionConflictError, NotWriterError or StoreError; the document is then
        unchanged.
        """
        if not self.writer:
            raise NotWriterError(source)
        contents = self.contents
        if change.base != contents.version:
            raise VersionConflictError(source, change.base, contents.version)
        edit = self.with_windows(change.edit)
        try:
            prepared = contents.prepare(edit)
        except ConfigurationError as fault:
            raise ChangeRejectedError(source, [str(fault)]) from None
        self.check_class_remains(prepared, source)
        versioned_change = VersionedChange(contents.version + 1, prepared.digest, time.time() * 1000.0, edit)
        self.store.append(versioned_change)
        contents.commit(prepared, versioned_change.version)
        self.notify(self.publisher.publish(versioned_change, self.clock()))
        return versioned_change

    def with_windows(self, edit: Edit) -> Edit:
        """Return the edit with a window length in each plan that it upserts."""
        plans = edit.upserts.get(Section.PLANS, ())
        completed = tuple(with_window(plan, self.record(Section.PLANS, plan["Name"])) for plan in plans)
        upserts = dict(edit.upserts)
        if completed:
            upserts[Section.PLANS] = completed
        return Edit(upserts, edit.removals)

    def check_class_remains(self, prepared: PreparedEdit[bytes], source: str) -> None:
        """Raise ChangeRejectedError if the document would have no request class after the prepared edit.

        Prevents gateways from receiving a document without any class, with which they can serve no request.
        """
        remaining = set(self.contents.values[Section.CLASSES])
        remaining -= {name for section, name in prepared.removals if section is Section.CLASSES}
        remaining |= {entry.name for entry in prepared.entries if entry.section is Section.CLASSES}
        if not remaining:
            raise ChangeRejectedError(source, [NO_CLASS_REMAINS])

    def import_settings(self, settings: Record, source: str) -> VersionedChange:
        """Apply a platform file's settings as version 1 of an empty store.

        Raises ChangeRejectedError if the store already has a version.
        """
        if self.contents.version:
            problem = f"expected an empty store to import into, got one at version {self.contents.version}"
            raise ChangeRejectedError(source, [problem])
        return self.apply(Change(0, edit_from_platform_settings(settings)), source)

    # Methods of `DocumentConsumer`. The writer uses `make_value` only, a replica all of them.

    @staticmethod
    def make_value(_section: Section, record: Record) -> bytes:
        """Return the record as canonical JSON."""
        return canonical_json(record)

    def snapshot_started(self) -> None:
        """Do nothing: the replicated document itself keeps the contents of an incomplete snapshot."""

    def apply_change(self, change: VersionedChange, _prepared: PreparedEdit[bytes]) -> None:
        """Store and publish a change that the writer made."""
        self.store.append(change)
        self.notify(self.publisher.publish(change, self.clock()))

    def apply_snapshot(self, _before: Contents[bytes], after: Contents[bytes]) -> None:
        """Store and publish a whole document received as a snapshot."""
        entries = (
            (section, orjson.loads(value)) for section in Section for value in after.values[section].values()
        )
        self.store.replace(entries, after.version, after.digest)
        self.notify(self.publisher.publish_snapshot(after.version, after.digest, self.clock()))

    # Records of the HTTP interface.

    def document_record(self) -> DocumentRecord:
        """Return the whole document, with the field names of the platform file."""
        contents = self.contents
        sections = {
            section.value: [orjson.loads(value) for _, value in sorted(contents.values[section].items())]
            for section in Section
        }
        record = {"version": contents.version, "digest": digest_text(contents.digest)} | sections
        return cast(DocumentRecord, record)

    def status(self) -> ControlStatusRecord:
        """Return version, digest, numbers of entries, followers and counters as a JSON-compatible record."""
        contents = self.contents
        now = self.clock()
        followers = [cast(FollowerRecord, asdict(follower)) for follower in self.publisher.status(now)]
        return {
            "cluster": self.store.cluster,
            "writer": self.writer,
            "version": contents.version,
            "digest": digest_text(contents.digest),
            "plans": len(contents.values[Section.PLANS]),
            "classes": len(contents.values[Section.CLASSES]),
            "followers": followers,
            "following": None if self.follower is None else self.follower.status(),
            "counts": dict(self.publisher.counts),
        }
