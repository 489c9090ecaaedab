"""What the configuration's document costs a gateway and a control process per plan; in one process, no
sockets."""

from __future__ import annotations

import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from granitedock.configuration.change_codec import change_from_record
from granitedock.configuration.control_node import ControlNode
from granitedock.configuration.document import Contents
from granitedock.configuration.document_store import DocumentStore
from granitedock.configuration.gateway_applier import GatewayApplier
from granitedock.configuration.message_codec import decode
from granitedock.configuration.messages import Page, SnapshotBegins
from granitedock.configuration.replicated_document import ReplicatedDocument
from granitedock.lab.scale.hosts import state_machine
from granitedock.lab.scale.platform import platform_file, settings
from granitedock.lab.scale.probe import MIB, allocated_bytes, cpu_ms

NOW_MS = 1e12


@dataclass(frozen=True, slots=True)
class DocumentCost:
    """At so many plans: bytes of a whole snapshot; processor ms to make it at control, and to take it in at a
    gateway; the longest turn of the gateway's loop for one of its lines, ms; MiB of the document at a
    gateway; ms to open the store, to apply one change at control (with its disk), and to apply it at a
    gateway."""

    plans: int
    snapshot_bytes: int
    make_ms: float
    take_in_ms: float
    longest_turn_ms: float
    memory_mb: float
    open_ms: float
    control_change_ms: float
    gateway_change_ms: float


def fresh_document() -> ReplicatedDocument:
    """A gateway that has only the platform's file."""
    return ReplicatedDocument(GatewayApplier(state_machine(platform_file()), lambda: NOW_MS))


def taken_in(document: ReplicatedDocument, lines: list[bytes]) -> float:
    """All lines of a snapshot; the ms of the longest."""
    longest = 0.0
    for line in lines:
        began = time.perf_counter()
        message = decode(line)
        if isinstance(message, SnapshotBegins):
            document.begin_snapshot()
        elif isinstance(message, Page):
            document.add_page(message.edit)
        else:
            document.end_snapshot(message.version, message.digest)
        longest = max(longest, time.perf_counter() - began)
    return longest * 1000.0


def held(lines: list[bytes]) -> ReplicatedDocument:
    document = fresh_document()
    taken_in(document, lines)
    return document


def measure(count: int) -> DocumentCost:
    """One document of `count` plans."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "control.db"
        control = ControlNode(DocumentStore(path, "lab"), True, lambda: 0.0, lambda followers: None)
        control.import_settings(settings(count), "made up")
        lines = control.snapshot_lines()
        make_ms = cpu_ms(control.snapshot_lines)
        take_in_ms = cpu_ms(lambda: held(lines))
        longest = min(taken_in(fresh_document(), lines) for _ in range(3))
        empty = allocated_bytes(fresh_document)
        memory = (allocated_bytes(lambda: held(lines)) - empty) / MIB
        document = held(lines)
        plan = {"Name": "tenant-00000", "Refill": 33, "MostAtOnce": 66}
        change = change_from_record({"base": 1, "plans": {"upsert": [plan]}}, "made up")
        began = time.perf_counter()
        made = control.apply(change, "made up")
        control_change_ms = (time.perf_counter() - began) * 1000.0
        began = time.perf_counter()
        document.apply_change(made)
        gateway_change_ms = (time.perf_counter() - began) * 1000.0
        control.store.close()
        again: Contents[bytes] = Contents(ControlNode.make_value)
        store = DocumentStore(path, "lab")
        open_ms = cpu_ms(lambda: store.load(again), 1)
        store.close()
    return DocumentCost(
        plans=count,
        snapshot_bytes=sum(map(len, lines)),
        make_ms=make_ms,
        take_in_ms=take_in_ms,
        longest_turn_ms=longest,
        memory_mb=memory,
        open_ms=open_ms,
        control_change_ms=control_change_ms,
        gateway_change_ms=gateway_change_ms,
    )
