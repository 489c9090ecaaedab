"""Attaches the configuration service to a running gateway: the follower, the applier and the local copy."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any, Protocol

import orjson

from granitedock.configuration.document import Contents, Edit, PreparedEdit, Record, Section, digest_text
from granitedock.configuration.errors import ConfigurationError
from granitedock.configuration.follower import Follower, FollowerSettings
from granitedock.configuration.follower_connection import FollowerTransport
from granitedock.configuration.gateway_applier import Entry, GatewayApplier
from granitedock.configuration.gateway_state import GatewayState
from granitedock.configuration.local_copy import CopiedDocument, LocalCopy
from granitedock.configuration.messages import VersionedChange
from granitedock.configuration.replicated_document import ReplicatedDocument
from granitedock.configuration.settings import GatewayFile

ROLE = "gateway"


class GatewayEventLog(Protocol):
    """The gateway's event log and counters (`granitedock/event_log.py`)."""

    counts: Counter[str]

    def event(self, event: str, /, **figures: Any) -> None:
        """Log one event."""
        ...


class GatewayAttachment:
    """The configuration follower of one gateway; `clock()` returns Unix ms."""

    def __init__(
        self,
        file: GatewayFile,
        name: str,
        state: GatewayState,
        reactor: Any,
        clock: Callable[[], float],
        event_log: GatewayEventLog,
    ) -> None:
        self.file = file
        self.reactor = reactor
        self.event_log = event_log
        self.applier = GatewayApplier(state, clock)
        self.copy: LocalCopy | None = None  # None without a copy file, or if it cannot be used.
        # Records of the incoming snapshot, for the copy.
        self.snapshot_records: list[tuple[Section, Record]] = []
        self.document: ReplicatedDocument[Entry] = ReplicatedDocument(self)
        self.transport = FollowerTransport(reactor, ROLE, event_log.counts)
        self.follower = Follower(
            FollowerSettings(name, file.cluster, list(file.control)),
            self.document,
            self.transport,
            Random(f"{name}:{clock()}"),
            self.log,
            self.count,
        )

    def count(self, name: str) -> None:
        """Count an event among the gateway's counters."""
        self.event_log.counts["configuration_" + name] += 1

    def log(self, event: str, /, **figures: Any) -> None:
        """Log an event in the gateway's log."""
        self.event_log.event(event, **figures)

    def start(self) -> None:
        """Apply the local copy, if there is one, and start following."""
        if self.file.copy_file is not None:
            self.copy = LocalCopy(Path(self.file.copy_file), self.file.cluster, self.copy_write_failed)
            self.read_copy(self.copy)
        self.transport.start(self.follower)

    def stop(self) -> None:
        """Stop following, and write the queued part of the copy within its time limit."""
        self.transport.stop()
        if self.copy is not None:
            self.copy.stop()

    # The local copy.

    def read_copy(self, copy: LocalCopy) -> None:
        """Apply the contents of the copy, and start the thread that writes it.

        A copy that cannot be used is logged with its path, and neither read nor written.
        """
        try:
            copied = copy.read()
            if copied is not None and copied.version:
                self.restore(copied)
                self.log("configuration copy read", file=str(copy.path), version=copied.version)
        except ConfigurationError as error:
            self.count("copy_refused")
            self.log("configuration copy rejected", file=str(copy.path), why=str(error))
            self.copy = None
            return
        copy.start()

    def restore(self, copied: CopiedDocument) -> None:
        """Apply a copied document. Raises ConfigurationError."""
        upserts: dict[Section, list[Record]] = {section: [] for section in Section}
        for section, record in copied.entries:
            upserts[section].append(record)
        self.document.begin_snapshot()
        self.document.add_page(Edit({section: tuple(records) for section, records in upserts.items()}))
        self.snapshot_records = []  # The copy already contains these records.
        self.document.end_snapshot(copied.version, copied.digest)

    def copy_write_failed(self, reason: str) -> None:
        """Drop the copy on the reactor's thread; called from the copy's thread, which ends after it."""
        self.reactor.callFromThread(self.drop_copy, reason)

    def drop_copy(self, reason: str) -> None:
        """Drop the copy; the gateway continues without it.

        Prevents the copy's queue from growing without limit, because its thread has ended.
        """
        self.copy = None
        self.snapshot_records = []
        self.count("copy_unwritten")
        self.log("configuration copy write failed", why=reason)

    # Implements `DocumentConsumer`: applies the replicated document at this gateway and copies it.

    def make_value(self, section: Section, record: Record) -> Entry:
        """Return the plan or class of a record; keep the record for the copy. Raises ConfigurationError."""
        if self.copy is not None and self.document.incoming is not None:
            self.snapshot_records.append((section, record))
        return self.applier.make_value(section, record)

    def snapshot_started(self) -> None:
        """Discard the records of an incomplete snapshot, which may be absent from the next one."""
        self.snapshot_records = []

    def apply_change(self, change: VersionedChange, prepared: PreparedEdit[Entry]) -> None:
        """Apply a change and copy it."""
        self.applier.apply_change(change, prepared)
        if self.copy is not None:
            self.copy.put(change)

    def apply_snapshot(self, before: Contents[Entry], after: Contents[Entry]) -> None:
        """Apply a whole document and copy it."""
        self.applier.apply_snapshot(before, after)
        records = self.snapshot_records
        self.snapshot_records = []
        if self.copy is not None and records:
            self.copy.put(CopiedDocument(records, after.version, after.digest))

    # Queries.

    def status_json(self) -> bytes:
        """Return the configuration in force and the control process that is followed, as JSON."""
        document = self.document
        requests = self.applier.state.requests
        in_force = {
            "cluster": self.file.cluster,
            "version": document.version,
            "digest": digest_text(document.digest),
            "plans": len(requests.plans),
            "classes": len(requests.request_classes),
        }
        return orjson.dumps(in_force | self.follower.status())
