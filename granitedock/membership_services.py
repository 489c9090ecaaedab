"""What rides on membership in a gateway process: quota sharing and outlier detection, with their I/O.

Only this module knows both membership and the services that send payloads through it.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from threading import Thread
from typing import Any

import orjson

from granitedock.membership.messages import Message, PayloadTypes
from granitedock.membership.settings import MembershipFile
from granitedock.membership.status import status
from granitedock.membership.udp_transport import Log, UdpTransport
from granitedock.outlier_detection.detector import OutlierDetector
from granitedock.outlier_detection.payload import HOST_PAYLOAD
from granitedock.outlier_detection.report import outlier_report
from granitedock.outlier_detection.settings import OutlierDetectionSettings
from granitedock.quota_sharing.payload import QUOTA_PAYLOAD
from granitedock.quota_sharing.report import quota_sharing_report
from granitedock.quota_sharing.settings import QuotaSharingSettings
from granitedock.quota_sharing.sharing import QuotaSharing
from granitedock.quota_sharing.snapshot import SnapshotError, pack, unpack
from granitedock.service.inputs import Input

PAYLOAD_TYPES: PayloadTypes = {kind.kind: kind for kind in (QUOTA_PAYLOAD, HOST_PAYLOAD)}
HOST_ROWS_A_DATAGRAM = 10
REFRESH_SPREAD_S = 2.0  # within which gateways ask discovery for a newer list

Clock = Callable[[], float]  # Unix ms
Tell = Callable[..., None]  # gives the gateway's core an input


class MembershipServices:
    """The membership of one gateway, and the services that are attached to it.

    All payload types are registered, whichever services run: datagrams of the others stay well-formed.
    """

    def __init__(  # noqa: PLR0913 - what a gateway process has, each once
        self,
        file: MembershipFile,
        name: str,
        settings: dict[str, Any],
        started_at: int,
        reactor: Any,
        log: Log,
    ) -> None:
        self.transport = UdpTransport(file, name, settings, started_at, reactor, log)
        for payload_type in PAYLOAD_TYPES.values():
            self.transport.register_payload(payload_type)
        self.quota_sharing: QuotaSharingService | None = None
        self.outlier_detection: OutlierDetectionService | None = None

    def share_quotas(self, clock: Clock, handle_input: Tell) -> QuotaSharing:
        """Attach quota sharing; the result is policy's QuotaSharingPort."""
        self.quota_sharing = QuotaSharingService(self.transport, clock, handle_input)
        return self.quota_sharing.sharing

    def detect_outliers(
        self, clock: Clock, handle_input: Tell, list_version: Callable[[], int]
    ) -> OutlierDetector:
        """Attach outlier detection; the result is policy's OutlierDetectionPort."""
        self.outlier_detection = OutlierDetectionService(self.transport, clock, handle_input, list_version)
        return self.outlier_detection.detector

    def start(self) -> None:
        """Open the socket, and start what is attached."""
        self.transport.start()
        if self.quota_sharing is not None:
            self.quota_sharing.run()
        if self.outlier_detection is not None:
            self.outlier_detection.run()

    def leave(self) -> None:
        """The process ends."""
        self.transport.leave()

    def show_members(self) -> bytes:
        """The answer to the FLEET command, as JSON."""
        shown = status(self.transport.local_member, self.transport.now())
        if self.quota_sharing is not None:
            shown["shared"] = self.quota_sharing.shown()
        return orjson.dumps(shown)

    def show_hosts(self) -> bytes:
        """The answer to the HOSTS command, as JSON: what is known of hosts, from whom and how old."""
        shown = self.outlier_detection.shown() if self.outlier_detection is not None else {}
        return orjson.dumps(shown)


class QuotaSharingService:
    """Sends what this gateway admitted uncounted to the others, on the gateway's own clock."""

    def __init__(self, transport: UdpTransport, clock: Clock, handle_input: Tell) -> None:
        settings = transport.file.shared
        self.transport = transport
        self.clock = clock
        self.handle_input = handle_input
        self.sharing = QuotaSharing(
            transport.local_member,
            QuotaSharingSettings(max_reserve_ms=settings.reserve_ms, max_rows=settings.most_rows),
        )
        self.snapshot: SnapshotFile | None = None
        if settings.snapshot is not None:
            self.snapshot = SnapshotFile(Path(settings.snapshot), transport, self.sharing)
            self.snapshot.read(clock())
        transport.handle_payload(QUOTA_PAYLOAD, self.receive)

    def receive(self, message: Message) -> None:
        """Rows of another gateway."""
        if message.payload:
            self.sharing.receive(message.payload, self.clock())

    def run(self) -> None:
        """Send rows that are due, again and again while the socket is open."""
        if not self.transport.is_open():
            return
        self.transport.reactor.callLater(self.sharing.settings.broadcast_interval_ms / 1000.0, self.run)
        if self.snapshot is not None:
            self.snapshot.write()
        due = self.sharing.run_maintenance(self.clock(), self.transport.now())
        local = self.transport.local_member.membership.local
        for broadcast in due.broadcasts:
            message = Message(QUOTA_PAYLOAD.kind, local, payload=broadcast.rows)
            self.transport.send(broadcast.address, message)
        if due.counter_calls:
            self.handle_input(Input.COUNTER_CALLS, due.counter_calls)

    def shown(self) -> dict[str, Any]:
        """For the FLEET command."""
        return quota_sharing_report(self.sharing, self.clock())


class SnapshotFile:
    """A file that keeps over a restart what this gateway admitted uncounted."""

    def __init__(self, path: Path, transport: UdpTransport, sharing: QuotaSharing) -> None:
        self.path = path
        self.reactor = transport.reactor
        self.log = transport.log
        self.name = transport.local_member.membership.local.name
        self.sharing = sharing
        self.written = 0  # the number of the newest row in the file
        self.is_writing = False

    def read(self, now: float) -> None:
        """Take in the file of before the restart.

        Guards against one that is torn, another gateway's or unreadable: a line, and a start without it.
        Hurts: what it held is not counted.
        """
        try:
            rows = unpack(self.name, self.path.read_bytes())
        except FileNotFoundError:
            return
        except (OSError, SnapshotError) as error:
            self.log.event("snapshot refused", file=str(self.path), why=str(error))
            return
        used = self.sharing.restore(rows, now)
        self.log.event("snapshot read", file=str(self.path), rows=len(rows), of_use=used)

    def write(self) -> None:
        """Write what is new, in a thread of its own, one at a time.

        Guards requests against a slow disk: a write may take a tenth of a second and more, in which calls to
        the counter and attempts ran out of time. Hurts: the file is as much older.
        """
        made = self.sharing.usage.change_count
        if self.is_writing or made == self.written:
            return
        self.written = made
        self.is_writing = True
        data = pack(self.name, self.sharing.usage.own_unreconciled_rows())
        Thread(target=self.replace, args=(data,), daemon=True).start()

    def replace(self, data: bytes) -> None:
        """In the thread: an atomic replace, so that a process that ends meanwhile leaves a whole file."""
        new = self.path.with_name(self.path.name + ".new")
        why = ""
        try:
            new.write_bytes(data)
            os.replace(new, self.path)
        except OSError as error:
            why = str(error)
        self.reactor.callFromThread(self.finish, why)

    def finish(self, why: str) -> None:
        """In the reactor's thread; `why` is what went wrong, or empty."""
        self.is_writing = False
        if why:
            self.log.counts["snapshots_unwritten"] += 1
            self.log.event("snapshot unwritten", file=str(self.path), why=why)


class OutlierDetectionService:
    """Sends what this gateway observes of hosts to the others, and asks for a newer list when one has it."""

    def __init__(
        self, transport: UdpTransport, clock: Clock, handle_input: Tell, list_version: Callable[[], int]
    ) -> None:
        settings = transport.file.hosts
        local = transport.local_member.membership.local
        detector_settings = OutlierDetectionSettings(
            observation_ttl_ms=settings.fresh_ms, max_ejection_share=settings.most_out
        )
        self.transport = transport
        self.clock = clock
        self.handle_input = handle_input
        self.list_version = list_version  # of our own endpoint list
        self.refreshed_version = 0  # the newest that discovery was asked for
        self.detector = OutlierDetector(
            local.name, local.started_at, detector_settings, lambda: transport.live_names
        )
        transport.handle_payload(HOST_PAYLOAD, self.receive)

    def receive(self, message: Message) -> None:
        """Rows of another gateway, and the version of its list."""
        self.detector.receive(message.payload, self.clock())
        self.refresh_list(message.number)

    def refresh_list(self, version: int) -> None:
        """Another's list is newer: ours is asked for again, once for each version.

        At a random time, so that the gateways do not all ask discovery at one moment.
        """
        if version > max(self.refreshed_version, self.list_version()):
            self.refreshed_version = version
            wait_s = self.transport.local_member.membership.state.random.random() * REFRESH_SPREAD_S
            self.transport.reactor.callLater(
                wait_s, self.handle_input, Input.NEWER_ENDPOINTS_ELSEWHERE, version
            )

    def run(self) -> None:
        """Update the verdicts on hosts and send what is due, again and again while the socket is open."""
        if not self.transport.is_open():
            return
        now = self.clock()
        self.transport.reactor.callLater(self.detector.settings.broadcast_interval_ms / 1000.0, self.run)
        self.detector.update_verdicts(now)
        for change in self.detector.changes:
            reason = change.reason.value if change.reason is not None else None
            self.transport.log.event("host ejection changed", host=change.host, reason=reason)
        self.detector.changes = []
        rows = tuple(self.detector.broadcasts_due(HOST_ROWS_A_DATAGRAM, now))
        version = self.list_version()
        if rows:
            membership = self.transport.local_member.membership
            for address in membership.gossip_addresses():
                message = Message(HOST_PAYLOAD.kind, membership.local, version, payload=rows)
                self.transport.send(address, message)

    def shown(self) -> dict[str, Any]:
        """For the HOSTS command."""
        return outlier_report(self.detector, self.clock())
