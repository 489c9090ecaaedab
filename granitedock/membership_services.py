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
from granitedock.membership.settings import FleetFile
from granitedock.membership.status import status
from granitedock.membership.udp_transport import Log, UdpTransport
from granitedock.outlier_detection.judge import Judge, Weights
from granitedock.outlier_detection.payload import HOST_PAYLOAD
from granitedock.quota_sharing.payload import QUOTA_PAYLOAD
from granitedock.quota_sharing.snapshot import Refused, pack, unpack
from granitedock.quota_sharing.state import Bounds, Shared

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
        self, file: FleetFile, name: str, settings: dict[str, Any], started_at: int, reactor: Any, log: Log
    ) -> None:
        self.transport = UdpTransport(file, name, settings, started_at, reactor, log)
        for payload_type in PAYLOAD_TYPES.values():
            self.transport.register_payload(payload_type)
        self.quota_sharing: QuotaSharingService | None = None
        self.outlier_detection: OutlierDetectionService | None = None

    def share_quotas(self, clock: Clock, tell: Tell) -> Shared:
        """Attach quota sharing; the result is policy's QuotaSharingPort."""
        self.quota_sharing = QuotaSharingService(self.transport, clock, tell)
        return self.quota_sharing.shared

    def detect_outliers(self, clock: Clock, tell: Tell, list_version: Callable[[], int]) -> Judge:
        """Attach outlier detection; the result is policy's OutlierDetectionPort."""
        self.outlier_detection = OutlierDetectionService(self.transport, clock, tell, list_version)
        return self.outlier_detection.judge

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

    def __init__(self, transport: UdpTransport, clock: Clock, tell: Tell) -> None:
        settings = transport.file.shared
        self.transport = transport
        self.clock = clock
        self.tell = tell
        self.shared = Shared(
            transport.local_member, Bounds(reserve_ms=settings.reserve_ms, most_rows=settings.most_rows)
        )
        self.snapshot: SnapshotFile | None = None
        if settings.snapshot is not None:
            self.snapshot = SnapshotFile(Path(settings.snapshot), transport, self.shared)
            self.snapshot.read(clock())
        transport.handle_payload(QUOTA_PAYLOAD, self.receive)

    def receive(self, message: Message) -> None:
        """Rows of another gateway."""
        if message.payload:
            self.shared.heard(message.payload, self.clock())

    def run(self) -> None:
        """Send rows that are due, again and again while the socket is open."""
        if not self.transport.is_open():
            return
        self.transport.reactor.callLater(self.shared.bounds.tell_ms / 1000.0, self.run)
        if self.snapshot is not None:
            self.snapshot.write()
        sends, calls = self.shared.tick(self.clock(), self.transport.now())
        local = self.transport.local_member.membership.local
        for address, rows in sends:
            self.transport.send(address, Message(QUOTA_PAYLOAD.kind, local, payload=rows))
        if calls:
            self.tell("calls", calls)

    def shown(self) -> dict[str, Any]:
        """For the FLEET command."""
        return self.shared.shown(self.clock())


class SnapshotFile:
    """A file that keeps over a restart what this gateway admitted uncounted."""

    def __init__(self, path: Path, transport: UdpTransport, shared: Shared) -> None:
        self.path = path
        self.reactor = transport.reactor
        self.log = transport.log
        self.name = transport.local_member.membership.local.name
        self.shared = shared
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
        except (OSError, Refused) as error:
            self.log.event("snapshot refused", file=str(self.path), why=str(error))
            return
        used = self.shared.rescue(rows, now)
        self.log.event("snapshot read", file=str(self.path), rows=len(rows), of_use=used)

    def write(self) -> None:
        """Write what is new, in a thread of its own, one at a time.

        Guards requests against a slow disk: a write may take a tenth of a second and more, in which calls to
        the counter and attempts ran out of time. Hurts: the file is as much older.
        """
        made = self.shared.counts.made
        if self.is_writing or made == self.written:
            return
        self.written = made
        self.is_writing = True
        data = pack(self.name, self.shared.counts.mine())
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
        self, transport: UdpTransport, clock: Clock, tell: Tell, list_version: Callable[[], int]
    ) -> None:
        settings = transport.file.hosts
        local = transport.local_member.membership.local
        weights = Weights(fresh_ms=settings.fresh_ms, most_out=settings.most_out)
        self.transport = transport
        self.clock = clock
        self.tell = tell
        self.list_version = list_version  # of our own endpoint list
        self.refreshed_version = 0  # the newest that discovery was asked for
        self.judge = Judge(local.name, local.started_at, weights, lambda: transport.live_names)
        transport.handle_payload(HOST_PAYLOAD, self.receive)

    def receive(self, message: Message) -> None:
        """Rows of another gateway, and the version of its list."""
        self.judge.heard(message.payload, self.clock())
        self.refresh_list(message.number)

    def refresh_list(self, version: int) -> None:
        """Another's list is newer: ours is asked for again, once for each version.

        At a random time, so that the gateways do not all ask discovery at one moment.
        """
        if version > max(self.refreshed_version, self.list_version()):
            self.refreshed_version = version
            wait_s = self.transport.local_member.membership.state.random.random() * REFRESH_SPREAD_S
            self.transport.reactor.callLater(wait_s, self.tell, "newer list", version)

    def run(self) -> None:
        """Judge hosts and send rows that are due, again and again while the socket is open."""
        if not self.transport.is_open():
            return
        now = self.clock()
        self.transport.reactor.callLater(self.judge.weights.tell_ms / 1000.0, self.run)
        self.judge.judge(now)
        for host, reason in self.judge.changes:
            self.transport.log.event("host ejection changed", host=host, reason=reason)
        self.judge.changes = []
        rows = tuple(self.judge.due(now, HOST_ROWS_A_DATAGRAM))
        version = self.list_version()
        if rows:
            membership = self.transport.local_member.membership
            for address in membership.gossip_addresses():
                message = Message(HOST_PAYLOAD.kind, membership.local, version, payload=rows)
                self.transport.send(address, message)

    def shown(self) -> dict[str, Any]:
        """For the HOSTS command."""
        return self.judge.shown(self.clock())
