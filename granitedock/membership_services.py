"""The services that exchange payloads over membership: quota sharing and outlier detection, with their I/O.

In a running gateway, this is the only module that joins membership with these services.
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

PAYLOAD_TYPES: PayloadTypes = {payload.kind: payload for payload in (QUOTA_PAYLOAD, HOST_PAYLOAD)}
HOST_ROWS_PER_DATAGRAM = 10
REFRESH_SPREAD_S = 2.0  # The gateways spread their requests to discovery for a newer list over this time.

Clock = Callable[[], float]  # Returns Unix ms.
InputHandler = Callable[..., None]  # Passes an input and its arguments to the gateway's state machine.


class MembershipServices:
    """The membership of one gateway and the services that are attached to it.

    All payload types are registered, whichever services are enabled. Otherwise a datagram of a service that
    only other gateways run would be rejected as malformed.
    """

    def __init__(  # noqa: PLR0913 - each argument is one object of the gateway process
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

    def share_quotas(self, clock: Clock, handle_input: InputHandler) -> QuotaSharing:
        """Attach quota sharing and return it as the policy's QuotaSharingPort."""
        self.quota_sharing = QuotaSharingService(self.transport, clock, handle_input)
        return self.quota_sharing.sharing

    def detect_outliers(
        self, clock: Clock, handle_input: InputHandler, list_version: Callable[[], int]
    ) -> OutlierDetector:
        """Attach outlier detection and return its detector as the policy's OutlierDetectionPort."""
        self.outlier_detection = OutlierDetectionService(self.transport, clock, handle_input, list_version)
        return self.outlier_detection.detector

    def start(self) -> None:
        """Open the socket and start the attached services."""
        self.transport.start()
        if self.quota_sharing is not None:
            self.quota_sharing.run()
        if self.outlier_detection is not None:
            self.outlier_detection.run()

    def leave(self) -> None:
        """Announce the departure to the other gateways and close the socket, at the end of the process."""
        self.transport.leave()

    def members_json(self) -> bytes:
        """Return the reply to the FLEET command, as JSON."""
        report = status(self.transport.local_member, self.transport.now())
        if self.quota_sharing is not None:
            report["shared"] = self.quota_sharing.report()
        return orjson.dumps(report)

    def hosts_json(self) -> bytes:
        """Return the reply to the HOSTS command, as JSON: observations of hosts, their sources and ages."""
        report = self.outlier_detection.report() if self.outlier_detection is not None else {}
        return orjson.dumps(report)


class QuotaSharingService:
    """Broadcasts the units that this gateway admitted without the counter, timed by the gateway's clock."""

    def __init__(self, transport: UdpTransport, clock: Clock, handle_input: InputHandler) -> None:
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
        """Take in usage rows from another gateway."""
        if message.payload:
            self.sharing.receive(message.payload, self.clock())

    def run(self) -> None:
        """Write the snapshot and send due rows and counter calls; repeats while the socket is open."""
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

    def report(self) -> dict[str, Any]:
        """Return the quota sharing section of the reply to the FLEET command."""
        return quota_sharing_report(self.sharing, self.clock())


class SnapshotFile:
    """The file that preserves over a restart the units that this gateway admitted without the counter."""

    def __init__(self, path: Path, transport: UdpTransport, sharing: QuotaSharing) -> None:
        self.path = path
        self.reactor = transport.reactor
        self.log = transport.log
        self.name = transport.local_member.membership.local.name
        self.sharing = sharing
        self.written_change_count = 0  # The usage's `change_count` at the last write.
        self.is_writing = False

    def read(self, now: float) -> None:
        """Restore the usage rows that were written before the restart.

        A file that is torn, unreadable or of another gateway is logged and ignored. This prevents a failed
        start; the cost is that the units in the file are not counted.
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
        """Write the rows in a separate thread if any have changed and no write is in progress.

        A write to a slow disk may take a tenth of a second or more. A separate thread prevents time-outs of
        counter calls and attempts, which a blocked event loop would cause; the cost is that the file is older
        by the time of the write.
        """
        change_count = self.sharing.usage.change_count
        if self.is_writing or change_count == self.written_change_count:
            return
        self.written_change_count = change_count
        self.is_writing = True
        data = pack(self.name, self.sharing.usage.local_unreconciled_rows())
        Thread(target=self.replace_file, args=(data,), daemon=True).start()

    def replace_file(self, data: bytes) -> None:
        """Replace the file atomically, in the writer thread.

        A process that ends during the write leaves a complete file.
        """
        new_file = self.path.with_name(self.path.name + ".new")
        error_text = ""
        try:
            new_file.write_bytes(data)
            os.replace(new_file, self.path)
        except OSError as error:
            error_text = str(error)
        self.reactor.callFromThread(self.finish_write, error_text)

    def finish_write(self, error_text: str) -> None:
        """Record the end of a write, in the reactor's thread; `error_text` is empty after a success."""
        self.is_writing = False
        if error_text:
            self.log.counts["snapshots_unwritten"] += 1
            self.log.event("snapshot unwritten", file=str(self.path), why=error_text)


class OutlierDetectionService:
    """Broadcasts this gateway's observations of hosts.

    Requests a newer endpoint list from discovery when another gateway has one.
    """

    def __init__(
        self,
        transport: UdpTransport,
        clock: Clock,
        handle_input: InputHandler,
        list_version: Callable[[], int],
    ) -> None:
        settings = transport.file.hosts
        local = transport.local_member.membership.local
        detector_settings = OutlierDetectionSettings(
            observation_ttl_ms=settings.fresh_ms, max_ejection_share=settings.most_out
        )
        self.transport = transport
        self.clock = clock
        self.handle_input = handle_input
        self.list_version = list_version  # Returns the version of this gateway's endpoint list.
        self.requested_version = 0  # The newest version that this gateway has requested from discovery.
        self.detector = OutlierDetector(
            local.name, local.started_at, detector_settings, lambda: transport.live_names
        )
        transport.handle_payload(HOST_PAYLOAD, self.receive)

    def receive(self, message: Message) -> None:
        """Take in observations from another gateway and the version of its endpoint list."""
        self.detector.receive(message.payload, self.clock())
        self.request_newer_list(message.number)

    def request_newer_list(self, version: int) -> None:
        """Request the endpoint list again, once for each version, if another gateway has a newer one.

        The request is sent after a random delay, so that the gateways do not all query discovery at once.
        """
        if version > max(self.requested_version, self.list_version()):
            self.requested_version = version
            delay_s = self.transport.local_member.membership.state.random.random() * REFRESH_SPREAD_S
            self.transport.reactor.callLater(
                delay_s, self.handle_input, Input.NEWER_ENDPOINTS_ELSEWHERE, version
            )

    def run(self) -> None:
        """Update the verdicts on hosts and send due observations; repeats while the socket is open."""
        if not self.transport.is_open():
            return
        now = self.clock()
        self.transport.reactor.callLater(self.detector.settings.broadcast_interval_ms / 1000.0, self.run)
        self.detector.update_verdicts(now)
        for change in self.detector.changes:
            reason = change.reason.value if change.reason is not None else None
            self.transport.log.event("host ejection changed", host=change.host, reason=reason)
        self.detector.changes = []
        rows = tuple(self.detector.broadcasts_due(HOST_ROWS_PER_DATAGRAM, now))
        version = self.list_version()
        if rows:
            membership = self.transport.local_member.membership
            for address in membership.gossip_addresses():
                message = Message(HOST_PAYLOAD.kind, membership.local, version, payload=rows)
                self.transport.send(address, message)

    def report(self) -> dict[str, Any]:
        """Return the content of the reply to the HOSTS command."""
        return outlier_report(self.detector, self.clock())
