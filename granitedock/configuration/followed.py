"""A follower's document: changes and whole snapshots taken in, whole or not at all. No I/O."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from granitedock.configuration.document import (
    Contents,
    DigestDiffers,
    Edit,
    Prepared,
    Record,
    Section,
    digest_text,
)
from granitedock.configuration.messages import VersionedChange

Value = TypeVar("Value")


class Keeper(Protocol[Value]):
    """Where a followed document acts: a gateway, or a replica's store and followers."""

    def keep(self, section: Section, record: Record) -> Value:
        """What is kept of a record. Raises ConfigurationError."""
        ...

    def begin(self) -> None:
        """A whole document is to come; one that was on its way is not."""
        ...

    def change(self, change: VersionedChange, prepared: Prepared[Value]) -> None:
        """The change is about to be in force; an exception keeps it out."""
        ...

    def replace(self, before: Contents[Value], fresh: Contents[Value]) -> None:
        """A whole document is about to take the place of the one before; an exception keeps it out."""
        ...


class FollowedDocument(Generic[Value]):
    """The document of `follower.py`, kept as contents."""

    def __init__(self, keeper: Keeper[Value]) -> None:
        self.keeper = keeper
        self.contents: Contents[Value] = Contents(keeper.keep)
        self.fresh: Contents[Value] | None = None

    @property
    def version(self) -> int:
        return self.contents.version

    @property
    def digest(self) -> int:
        return self.contents.digest

    def change(self, change: VersionedChange) -> None:
        """Raises DigestDiffers where it does not lead to the digest that it states."""
        prepared = self.contents.prepare(change.edit)
        self.same(change.digest, prepared.digest, change.version)
        self.keeper.change(change, prepared)
        self.contents.commit(prepared, change.version)

    def begin(self) -> None:
        self.fresh = Contents(self.keeper.keep)
        self.keeper.begin()

    def page(self, edit: Edit) -> None:
        self.fresh.commit(self.fresh.prepare(edit), 0)

    def end(self, version: int, digest: int) -> None:
        """What did not change keeps its value, so that nothing is begun anew for it."""
        fresh, self.fresh = self.fresh, None
        self.same(digest, fresh.digest, version)
        for section in Section:
            before, known = self.contents.values[section], self.contents.digests[section]
            for name, own in fresh.digests[section].items():
                if known.get(name) == own:
                    fresh.values[section][name] = before[name]
        fresh.version = version
        self.keeper.replace(self.contents, fresh)
        self.contents = fresh

    @staticmethod
    def same(stated: int, made: int, version: int) -> None:
        if stated != made:
            stated_text, made_text = digest_text(stated), digest_text(made)
            raise DigestDiffers(f"version {version}: digest {made_text}, and {stated_text} is stated")
