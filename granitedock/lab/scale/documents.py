"""Measure the configuration document per plan, at a gateway and a control process, without sockets."""

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
from granitedock.configuration.messages import Page, SnapshotBegins, SnapshotEnds
from granitedock.configuration.replicated_document import ReplicatedDocument
from granitedock.lab.scale.hosts import build_state_machine
from granitedock.lab.scale.platform import platform_file, platform_settings
from granitedock.lab.scale.probe import MIB, allocated_bytes, cpu_ms

NOW_MS = 1e12
CLUSTER = "lab"
SOURCE = "made up"  # Source of the changes in the document's history.


@dataclass(frozen=True, slots=True)
class DocumentCost:
    """The cost of a document with `plans` plans.

    `snapshot_bytes` is the size of a snapshot, `make_ms` the processor time to create it at the control
    process and `take_in_ms` that to apply it at a gateway. `longest_turn_ms` is the longest time that one of
    its lines blocks the gateway's event loop. `memory_mb` is the document's memory at a gateway in MiB.
    `open_ms` is the processor time to load the store. `control_change_ms` is the elapsed time to apply one
    change at the control process, disk included, and `gateway_change_ms` that at a gateway.
    """

    plans: int
    snapshot_bytes: int
    make_ms: float
    take_in_ms: float
    longest_turn_ms: float
    memory_mb: float
    open_ms: float
    control_change_ms: float
    gateway_change_ms: float


@dataclass(frozen=True, slots=True)
class ChangeTimes:
    """Elapsed ms to apply one change at the control process, disk included, and at a gateway."""

    control_ms: float
    gateway_ms: float


def new_document() -> ReplicatedDocument:
    """Return the document of a gateway that has only the platform file."""
    return ReplicatedDocument(GatewayApplier(build_state_machine(platform_file()), lambda: NOW_MS))


def apply_snapshot(document: ReplicatedDocument, lines: list[bytes]) -> float:
    """Apply all lines of a snapshot and return the elapsed ms of the slowest line."""
    longest_s = 0.0
    for line in lines:
        started_at = time.perf_counter()
        apply_snapshot_line(document, line)
        longest_s = max(longest_s, time.perf_counter() - started_at)
    return longest_s * 1000.0


def apply_snapshot_line(document: ReplicatedDocument, line: bytes) -> None:
    """Apply one line of a snapshot. Raises TypeError if the message is not part of a snapshot."""
    message = decode(line)
    if isinstance(message, SnapshotBegins):
        document.begin_snapshot()
    elif isinstance(message, Page):
        document.add_page(message.edit)
    elif isinstance(message, SnapshotEnds):
        document.end_snapshot(message.version, message.digest)
    else:
        raise TypeError(message)


def document_from_snapshot(lines: list[bytes]) -> ReplicatedDocument:
    """Return a gateway's document that has applied this snapshot."""
    document = new_document()
    apply_snapshot(document, lines)
    return document


def measure_change(control: ControlNode, document: ReplicatedDocument) -> ChangeTimes:
    """Apply a change of one plan at the control process, then at a gateway, and return both times."""
    plan = {"Name": "tenant-00000", "Refill": 33, "MostAtOnce": 66}
    change = change_from_record({"base": 1, "plans": {"upsert": [plan]}}, SOURCE)
    started_at = time.perf_counter()
    versioned_change = control.apply(change, SOURCE)
    control_ms = (time.perf_counter() - started_at) * 1000.0
    started_at = time.perf_counter()
    document.apply_change(versioned_change)
    gateway_ms = (time.perf_counter() - started_at) * 1000.0
    return ChangeTimes(control_ms, gateway_ms)


def measure_open_ms(path: Path) -> float:
    """Return the processor ms to load the document from its store."""
    contents: Contents[bytes] = Contents(ControlNode.make_value)
    store = DocumentStore(path, CLUSTER)
    open_ms = cpu_ms(lambda: store.load(contents), 1)
    store.close()
    return open_ms


def measure(count: int) -> DocumentCost:
    """Measure one document of `count` plans."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "control.db"
        control = ControlNode(DocumentStore(path, CLUSTER), True, lambda: 0.0, lambda _followers: None)
        control.import_settings(platform_settings(count), SOURCE)
        lines = control.snapshot_lines()
        make_ms = cpu_ms(control.snapshot_lines)
        apply_ms = cpu_ms(lambda: document_from_snapshot(lines))
        longest_turn_ms = min(apply_snapshot(new_document(), lines) for _ in range(3))
        empty_bytes = allocated_bytes(new_document)
        document_bytes = allocated_bytes(lambda: document_from_snapshot(lines)) - empty_bytes
        change_times = measure_change(control, document_from_snapshot(lines))
        control.store.close()
        open_ms = measure_open_ms(path)
    return DocumentCost(
        plans=count,
        snapshot_bytes=sum(map(len, lines)),
        make_ms=make_ms,
        take_in_ms=apply_ms,
        longest_turn_ms=longest_turn_ms,
        memory_mb=document_bytes / MIB,
        open_ms=open_ms,
        control_change_ms=change_times.control_ms,
        gateway_change_ms=change_times.gateway_ms,
    )
