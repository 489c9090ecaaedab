"""One control process: the document, its store and its followers, as the writer or as a replica.

Carries out changes on the store and the publisher; sockets are the carriers' (`server.py`, `link.py`).
"""

from __future__ import annotations

import time
from collections.abc import Callable

import orjson

from granitedock.configuration.change_form import ChangeRefused, WrongBase, whole_document
from granitedock.configuration.document import (
    Change,
    ConfigurationError,
    Contents,
    Edit,
    Prepared,
    Record,
    Section,
    canonical,
    digest_text,
    pages,
)
from granitedock.configuration.followed import FollowedDocument
from granitedock.configuration.follower import Follower
from granitedock.configuration.messages import (
    PAGE_ENTRIES,
    Page,
    SnapshotBegins,
    SnapshotEnds,
    VersionedChange,
    encoded,
)
from granitedock.configuration.publisher import FollowerRecord, Publisher
from granitedock.configuration.store import Store
from granitedock.configuration.windows import with_window


class NotWriter(ConfigurationError):
    """A change that came to a replica."""


class Control:
    """The document at one control process. `clock()` is steady ms, `wake(followers)` has them written to."""

    def __init__(
        self,
        store: Store,
        writes: bool,
        clock: Callable[[], float],
        wake: Callable[[list[FollowerRecord]], None],
    ) -> None:
        self.store, self.writes, self.clock, self.wake = store, writes, clock, wake
        self.document: FollowedDocument[bytes] = FollowedDocument(self)
        self.follower: Follower | None = None  # of a replica
        store.load(self.contents)
        self.publisher = Publisher(store.cluster, self.snapshot)
        self.publisher.begin(self.contents.version, self.contents.digest, store.changes(), clock())

    @property
    def contents(self) -> Contents[bytes]:
        return self.document.contents

    @staticmethod
    def keep(section: Section, record: Record) -> bytes:
        return canonical(record)

    def record(self, section: Section, name: str) -> Record | None:
        held = self.contents.values[section].get(name)
        return None if held is None else orjson.loads(held)

    def snapshot(self) -> list[bytes]:
        """The lines of the whole document."""
        contents = self.contents
        records = {section: map(orjson.loads, contents.values[section].values()) for section in Section}
        edits = list(pages(records, PAGE_ENTRIES))
        version, digest = contents.version, contents.digest
        begins = SnapshotBegins(self.store.cluster, version, digest, len(edits))
        messages = [begins, *(Page(n, edit) for n, edit in enumerate(edits)), SnapshotEnds(version, digest)]
        return [encoded(message) for message in messages]

    # The writer.

    def apply(self, change: Change, source: str) -> VersionedChange:
        """The operators' change, stored before it is told. Raises ChangeRefused, WrongBase, NotWriter or
        StoreError; then nothing has changed."""
        if not self.writes:
            raise NotWriter(f"{source}: this control process is a replica, and takes no change")
        contents = self.contents
        if change.base != contents.version:
            raise WrongBase(source, change.base, contents.version)
        edit = self.completed(change.edit)
        try:
            prepared = contents.prepare(edit)
        except ConfigurationError as fault:
            raise ChangeRefused(source, [str(fault)]) from None
        self.leaves_a_class(prepared, source)
        made = VersionedChange(contents.version + 1, prepared.digest, time.time() * 1000.0, edit)
        self.store.append(made)
        contents.commit(prepared, made.version)
        self.wake(self.publisher.changed(made, self.clock()))
        return made

    def completed(self, edit: Edit) -> Edit:
        """The edit with the windows of the plans that it puts."""
        plans = edit.upserts.get(Section.PLANS, ())
        whole = tuple(with_window(plan, self.record(Section.PLANS, plan["Name"])) for plan in plans)
        upserts = dict(edit.upserts)
        if whole:
            upserts[Section.PLANS] = whole
        return Edit(upserts, edit.removals)

    def leaves_a_class(self, prepared: Prepared[bytes], source: str) -> None:
        """Guards gateways against a document without any class, by which no request can be served."""
        left = set(self.contents.values[Section.CLASSES])
        left -= {name for section, name in prepared.removals if section is Section.CLASSES}
        left |= {name for section, name, *_ in prepared.values if section is Section.CLASSES}
        if not left:
            raise ChangeRefused(source, ["classes: none would be left"])

    def import_settings(self, settings: Record, source: str) -> VersionedChange:
        """Version 1 out of a platform's file, where the store is empty. Raises ChangeRefused."""
        if self.contents.version:
            raise ChangeRefused(source, [f"the store is at version {self.contents.version}, not empty"])
        return self.apply(Change(0, whole_document(settings)), source)

    # A replica (`Keeper` of its followed document).

    def begin(self) -> None:
        """Nothing is kept of a document on its way but its fresh contents."""

    def change(self, change: VersionedChange, prepared: Prepared[bytes]) -> None:
        self.store.append(change)
        self.wake(self.publisher.changed(change, self.clock()))

    def replace(self, before: Contents[bytes], fresh: Contents[bytes]) -> None:
        entries = ((part, orjson.loads(held)) for part in Section for held in fresh.values[part].values())
        self.store.replace(entries, fresh.version, fresh.digest)
        self.wake(self.publisher.replaced(fresh.version, fresh.digest, self.clock()))

    # What it can be asked.

    def shown(self) -> Record:
        """The whole document, in the platform's words."""
        contents = self.contents
        parts = {
            section.value: [orjson.loads(held) for _, held in sorted(contents.values[section].items())]
            for section in Section
        }
        return {"version": contents.version, "digest": digest_text(contents.digest)} | parts

    def status(self) -> Record:
        """Version, digest, entries, followers and counters, as JSON can hold them."""
        contents, now = self.contents, self.clock()
        followers = [
            {name: getattr(one, name) for name in one.__slots__} for one in self.publisher.status(now)
        ]
        return {
            "cluster": self.store.cluster,
            "writer": self.writes,
            "version": contents.version,
            "digest": digest_text(contents.digest),
            "plans": len(contents.values[Section.PLANS]),
            "classes": len(contents.values[Section.CLASSES]),
            "followers": followers,
            "following": None if self.follower is None else self.follower.status(),
            "counts": dict(self.publisher.counts),
        }
