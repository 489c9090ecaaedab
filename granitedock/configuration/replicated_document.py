"""A follower's document, to which changes and snapshots are applied atomically. No I/O."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from granitedock.configuration.document import Contents, Edit, PreparedEdit, Record, Section, digest_text
from granitedock.configuration.errors import DigestMismatchError
from granitedock.configuration.messages import VersionedChange

Value = TypeVar("Value")


class DocumentConsumer(Protocol[Value]):
    """Consumer of a replicated document: a gateway, or a replica's store and followers."""

    def make_value(self, section: Section, record: Record, /) -> Value:
        """Return the value kept for a record. Raises ConfigurationError."""
        ...

    def snapshot_started(self) -> None:
        """Handle the start of a snapshot; an earlier incomplete one is discarded."""
        ...

    def apply_change(self, change: VersionedChange, prepared: PreparedEdit[Value], /) -> None:
        """Apply a change before it is committed; an exception prevents the commit."""
        ...

    def apply_snapshot(self, before: Contents[Value], after: Contents[Value], /) -> None:
        """Apply a whole document before it replaces `before`; an exception prevents the replacement."""
        ...


class ReplicatedDocument(Generic[Value]):
    """The contents that a follower has in force, and those of a snapshot being received (`incoming`)."""

    def __init__(self, consumer: DocumentConsumer[Value]) -> None:
        self.consumer = consumer
        self.contents: Contents[Value] = Contents(consumer.make_value)
        self.incoming: Contents[Value] | None = None

    @property
    def version(self) -> int:
        """Return the version in force, or 0 if there is none yet."""
        return self.contents.version

    @property
    def digest(self) -> int:
        """Return the digest of the version in force."""
        return self.contents.digest

    def apply_change(self, change: VersionedChange) -> None:
        """Apply a change to the version in force.

        Raises DigestMismatchError if the result does not have the digest that the change states, and
        ConfigurationError if the change cannot be applied. Either leaves the document unchanged.
        """
        prepared = self.contents.prepare(change.edit)
        check_digest(change.version, change.digest, prepared.digest)
        self.consumer.apply_change(change, prepared)
        self.contents.commit(prepared, change.version)

    def begin_snapshot(self) -> None:
        """Start receiving a snapshot; the version in force stays until the snapshot ends."""
        self.incoming = Contents(self.consumer.make_value)
        self.consumer.snapshot_started()

    def add_page(self, edit: Edit) -> None:
        """Add some entries to the incoming snapshot. Raises ConfigurationError."""
        incoming = self.incoming_snapshot()
        incoming.commit(incoming.prepare(edit), 0)

    def end_snapshot(self, version: int, digest: int) -> None:
        """Put the snapshot in force.

        An unchanged entry keeps its present value, and with it the state of that value. Raises
        DigestMismatchError, which leaves the version in force unchanged.
        """
        incoming = self.incoming_snapshot()
        self.incoming = None
        check_digest(version, digest, incoming.digest)
        for section in Section:
            present_values = self.contents.values[section]
            present_digests = self.contents.digests[section]
            for name, record_digest in incoming.digests[section].items():
                if present_digests.get(name) == record_digest:
                    incoming.values[section][name] = present_values[name]
        incoming.version = version
        self.consumer.apply_snapshot(self.contents, incoming)
        self.contents = incoming

    def incoming_snapshot(self) -> Contents[Value]:
        """Return the contents of the incoming snapshot; the follower ensures that one has started."""
        assert self.incoming is not None
        return self.incoming


def check_digest(version: int, stated: int, computed: int) -> None:
    """Check that both digests are equal. Raises DigestMismatchError."""
    if stated != computed:
        problem = f"version {version}: got digest {digest_text(computed)}, expected {digest_text(stated)}"
        raise DigestMismatchError(problem)
