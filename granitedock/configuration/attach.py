"""The configuration service at one running gateway: the follower, what it acts on, and its copy."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Any

import orjson

from granitedock.configuration.copy_file import CopyFile
from granitedock.configuration.document import (
    ConfigurationError,
    Contents,
    Edit,
    Prepared,
    Record,
    Section,
    digest_text,
)
from granitedock.configuration.followed import FollowedDocument
from granitedock.configuration.follower import Follower, Pace
from granitedock.configuration.gateway import Entry, GatewayConfiguration
from granitedock.configuration.link import FollowerLink
from granitedock.configuration.messages import VersionedChange
from granitedock.configuration.settings import GatewayFile


class ConfigurationLink:
    """A gateway's part. `clock()` is Unix ms; `diary` counts and logs as the service's does."""

    def __init__(
        self, file: GatewayFile, name: str, state_machine: Any, reactor: Any, clock: Any, diary: Any
    ) -> None:
        self.file, self.reactor, self.diary = file, reactor, diary
        self.applied = GatewayConfiguration(state_machine, clock)
        self.copy: CopyFile | None = None
        self.records: list[tuple[Section, Record]] = []  # of a whole document on its way, for the copy
        self.document: FollowedDocument[Entry] = FollowedDocument(self)
        self.carrier = FollowerLink(reactor, "gateway", diary.counts)
        chance = Random(f"{name}:{clock()}")
        self.follower = Follower(
            name,
            file.cluster,
            list(file.control),
            self.document,
            self.carrier,
            chance,
            self.log,
            Pace(),
            self.counted,
        )

    def counted(self, name: str) -> None:
        self.diary.counts["configuration_" + name] += 1

    def log(self, event: str, **figures: Any) -> None:
        self.diary.event(event, **figures)

    def start(self) -> None:
        """Go on by the copy, where there is one, then follow."""
        if self.file.copy_file is not None:
            self.copy = CopyFile(Path(self.file.copy_file), self.file.cluster, self.unwritten)
            self.read_copy()
        self.carrier.start(self.follower)

    def stop(self) -> None:
        self.carrier.stop()
        if self.copy is not None:
            self.copy.stop()

    # The copy.

    def read_copy(self) -> None:
        """Guards against a copy that can't be used: it is named, and neither read nor written."""
        try:
            kept = self.copy.read()
            if kept is not None and kept[1]:
                entries, version, digest = kept
                self.take_whole(entries, version, digest)
                self.diary.event("configuration copy read", file=str(self.copy.path), version=version)
        except ConfigurationError as fault:
            self.diary.counts["configuration_copy_refused"] += 1
            self.diary.event("configuration copy refused", file=str(self.copy.path), why=str(fault))
            self.copy = None
            return
        self.copy.start()

    def take_whole(self, entries: list[tuple[Section, Record]], version: int, digest: int) -> None:
        upserts: dict[Section, list[Record]] = {section: [] for section in Section}
        for section, record in entries:
            upserts[section].append(record)
        self.document.begin()
        self.document.page(Edit({section: tuple(records) for section, records in upserts.items()}))
        self.records = []  # it is kept already
        self.document.end(version, digest)

    def unwritten(self, why: str) -> None:
        """From the copy's thread, which has ended."""
        self.reactor.callFromThread(self.copy_lost, why)

    def copy_lost(self, why: str) -> None:
        """Guards the memory: nobody takes any more what would wait for the copy."""
        self.copy, self.records = None, []
        self.diary.counts["configuration_copy_unwritten"] += 1
        self.diary.event("configuration copy unwritten", why=why)

    # `Keeper` of the followed document: what acts here, and what is kept.

    def keep(self, section: Section, record: Record) -> Entry:
        if self.copy is not None and self.document.fresh is not None:
            self.records.append((section, record))
        return self.applied.keep(section, record)

    def begin(self) -> None:
        """Guards the copy against entries of a snapshot that was cut short and are gone in the next."""
        self.records = []

    def change(self, change: VersionedChange, prepared: Prepared[Entry]) -> None:
        self.applied.change(change, prepared)
        if self.copy is not None:
            self.copy.put(change)

    def replace(self, before: Contents[Entry], fresh: Contents[Entry]) -> None:
        self.applied.replace(before, fresh)
        records, self.records = self.records, []
        if self.copy is not None and records:
            self.copy.put((records, fresh.version, fresh.digest))

    # What it looks like.

    def shown(self) -> bytes:
        """What is in force here and from whom, as JSON."""
        document = self.document
        return orjson.dumps(
            {
                "cluster": self.file.cluster,
                "version": document.version,
                "digest": digest_text(document.digest),
                "plans": len(self.applied.state_machine.requests.plans),
                "classes": len(self.applied.state_machine.requests.request_classes),
            }
            | self.follower.status()
        )
