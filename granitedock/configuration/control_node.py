"""One control process: the document, its store and its followers, as the writer or as a replica.

Carries out changes on the store and the publisher; sockets are those of `control_server.py` (its followers)
and `follower_connection.py` (whom a replica follows).
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

PAGE_ENTRIES = 250  # of a snapshot: some 30 KB, read in about a millisecond
NO_CLASS_LEFT = "classes: none would be left"


class ControlNode:
    """The document at one control process.

    `writer`: it takes changes of operators. `clock()` is monotonic ms, `notify(sessions)` has them written
    to.
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
        self.follower: Follower | None = None  # of a replica
        store.load(self.contents)
        self.publisher = Publisher(store.cluster, self.snapshot_lines)
        self.publisher.load(self.contents.version, self.contents.digest, store.changes(), clock())

    @property
    def contents(self) -> Contents[bytes]:
        """What is in force; values are canonical JSON."""
        return self.document.contents

    def record(self, section: Section, name: str) -> Record | None:
        """The entry's record, or None where there is none."""
        value = self.contents.values[section].get(name)
        return None if value is None else orjson.loads(value)

    def snapshot_lines(self) -> list[bytes]:
        """The lines of the whole document."""
        contents = self.contents
        records = {section: map(orjson.loads, contents.values[section].values()) for section in Section}
        edits = list(split_into_pages(records, PAGE_ENTRIES))
        version = contents.version
        digest = contents.digest
        messages: list[Message] = [SnapshotBegins(self.store.cluster, version, digest, len(edits))]
        messages += [Page(number, edit) for number, edit in enumerate(edits)]
        messages.append(SnapshotEnds(version, digest))
        return [encode(message) for message in messages]

    # The writer.

    def apply(self, change: Change, source: str) -> VersionedChange:
        """Apply the operators' change, stored before it is published; `source` names where it came from.

        Raises ChangeRejectedError, VersionConflictError, NotWriterError or StoreError; then nothing changed.
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
        self.check_class_left(prepared, source)
        made = VersionedChange(contents.version + 1, prepared.digest, time.time() * 1000.0, edit)
        self.store.append(made)
        contents.commit(prepared, made.version)
        self.notify(self.publisher.publish(made, self.clock()))
        return made

    def with_windows(self, edit: Edit) -> Edit:
        """The edit with the windows of the plans that it upserts."""
        plans = edit.upserts.get(Section.PLANS, ())
        completed = tuple(with_window(plan, self.record(Section.PLANS, plan["Name"])) for plan in plans)
        upserts = dict(edit.upserts)
        if completed:
            upserts[Section.PLANS] = completed
        return Edit(upserts, edit.removals)

    def check_class_left(self, prepared: PreparedEdit[bytes], source: str) -> None:
        """Guards gateways against a document without any class, by which no request can be served."""
        left = set(self.contents.values[Section.CLASSES])
        left -= {name for section, name in prepared.removals if section is Section.CLASSES}
        left |= {entry.name for entry in prepared.entries if entry.section is Section.CLASSES}
        if not left:
            raise ChangeRejectedError(source, [NO_CLASS_LEFT])

    def import_settings(self, settings: Record, source: str) -> VersionedChange:
        """Make version 1 out of a platform's file, where the store is empty. Raises ChangeRejectedError."""
        if self.contents.version:
            problem = f"the store is at version {self.contents.version}, not empty"
            raise ChangeRejectedError(source, [problem])
        return self.apply(Change(0, edit_from_platform_settings(settings)), source)

    # `DocumentConsumer` of the replicated document (at a replica).

    @staticmethod
    def make_value(_section: Section, record: Record) -> bytes:
        """The record as canonical JSON."""
        return canonical_json(record)

    def snapshot_started(self) -> None:
        """Nothing is kept of a document on its way but its incoming contents."""

    def apply_change(self, change: VersionedChange, _prepared: PreparedEdit[bytes]) -> None:
        """Store and publish a change of the writer's."""
        self.store.append(change)
        self.notify(self.publisher.publish(change, self.clock()))

    def apply_snapshot(self, _before: Contents[bytes], after: Contents[bytes]) -> None:
        """Store and publish a whole document."""
        entries = (
            (section, orjson.loads(value)) for section in Section for value in after.values[section].values()
        )
        self.store.replace(entries, after.version, after.digest)
        self.notify(self.publisher.publish_snapshot(after.version, after.digest, self.clock()))

    # What it can be asked.

    def document_record(self) -> DocumentRecord:
        """The whole document, in the platform's words."""
        contents = self.contents
        sections = {
            section.value: [orjson.loads(value) for _, value in sorted(contents.values[section].items())]
            for section in Section
        }
        record = {"version": contents.version, "digest": digest_text(contents.digest)} | sections
        return cast(DocumentRecord, record)

    def status(self) -> ControlStatusRecord:
        """Version, digest, entries, followers and counters, as JSON can hold them."""
        contents = self.contents
        now = self.clock()
        followers = [cast(FollowerRecord, asdict(one)) for one in self.publisher.status(now)]
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
