"""A follower's document: changes and whole snapshots applied, each whole or not at all. No I/O."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from granitedock.configuration.document import Contents, Edit, PreparedEdit, Record, Section, digest_text
from granitedock.configuration.errors import DigestMismatchError
from granitedock.configuration.messages import VersionedChange

Value = TypeVar("Value")


class DocumentConsumer(Protocol[Value]):
    """What a replicated document takes effect on: a gateway, or a replica's store and followers."""

    def make_value(self, section: Section, record: Record, /) -> Value:
        """What is kept of a record. Raises ConfigurationError."""
        ...

    def snapshot_started(self) -> None:
        """A whole document is to come; one that was on its way will not be completed."""
        ...

    def apply_change(self, change: VersionedChange, prepared: PreparedEdit[Value], /) -> None:
        """The change is about to be in force; an exception keeps it out."""
        ...

    def apply_snapshot(self, before: Contents[Value], after: Contents[Value], /) -> None:
        """A whole document is about to replace the one before; an exception keeps it out."""
        ...


class ReplicatedDocument(Generic[Value]):
    """The contents that a follower has in force, and those of a snapshot on its way (`incoming`)."""

    def __init__(self, consumer: DocumentConsumer[Value]) -> None:
        self.consumer = consumer
        self.contents: Contents[Value] = Contents(consumer.make_value)
        self.incoming: Contents[Value] | None = None

    @property
    def version(self) -> int:
        """The version in force; 0 where there is none yet."""
        return self.contents.version

    @property
    def digest(self) -> int:
        """The digest of the version in force."""
        return self.contents.digest

    def apply_change(self, change: VersionedChange) -> None:
        """Put a change of the version in force.

        Raises DigestMismatchError where it does not lead to the digest that it states, ConfigurationError
        where it cannot be applied; then nothing has changed.
        """
        prepared = self.contents.prepare(change.edit)
        check_digest(change.version, change.digest, prepared.digest)
        self.consumer.apply_change(change, prepared)
        self.contents.commit(prepared, change.version)

    def begin_snapshot(self) -> None:
        """A whole document is to come; what is in force stays until its end."""
        self.incoming = Contents(self.consumer.make_value)
        self.consumer.snapshot_started()

    def add_page(self, edit: Edit) -> None:
        """Take some entries of the snapshot on its way. Raises ConfigurationError."""
        incoming = self.snapshot_on_its_way()
        incoming.commit(incoming.prepare(edit), 0)

    def end_snapshot(self, version: int, digest: int) -> None:
        """Put the snapshot in force. Raises DigestMismatchError; then nothing has changed.

        An entry that did not change keeps its value, so that its state goes on.
        """
        incoming = self.snapshot_on_its_way()
        self.incoming = None
        check_digest(version, digest, incoming.digest)
        for section in Section:
            present_values = self.contents.values[section]
            present_digests = self.contents.digests[section]
            for name, own_digest in incoming.digests[section].items():
                if present_digests.get(name) == own_digest:
                    incoming.values[section][name] = present_values[name]
        incoming.version = version
        self.consumer.apply_snapshot(self.contents, incoming)
        self.contents = incoming

    def snapshot_on_its_way(self) -> Contents[Value]:
        """The contents of the snapshot that has begun; the follower sees to it that one has."""
        assert self.incoming is not None
        return self.incoming


def check_digest(version: int, stated: int, computed: int) -> None:
    """Raise DigestMismatchError unless both digests are the same."""
    if stated != computed:
        problem = f"version {version}: digest {digest_text(computed)}, and {digest_text(stated)} is stated"
        raise DigestMismatchError(problem)
