"""The thin part of the view that does I/O: one datagram socket, knocks, timers, the view as it is asked for.

Owns the socket and the only clock the view sees. It must never decide what an observation means.
"""

from __future__ import annotations

import errno
import os
import socket
from pathlib import Path
from random import Random
from threading import Thread
from typing import Any

import orjson
from twisted.internet.protocol import DatagramProtocol

from granitedock.membership.member import LIVE, Member, State
from granitedock.membership.part import Part
from granitedock.membership.settings import FleetFile, settings_number
from granitedock.membership.wire import MOST_BYTES, Kind, Malformed, Message, decode, encode
from granitedock.outlier_detection.detector import OutlierDetector
from granitedock.outlier_detection.report import outlier_report
from granitedock.outlier_detection.settings import OutlierDetectionSettings
from granitedock.quota_sharing.report import quota_sharing_report
from granitedock.quota_sharing.settings import QuotaSharingSettings
from granitedock.quota_sharing.sharing import QuotaSharing
from granitedock.quota_sharing.snapshot import SnapshotError, pack, unpack
from granitedock.service.inputs import Input

SENDS_AT_ONCE = 16  # datagrams read in one turn of the loop, so that tasks are served between
EVIDENCE_A_DATAGRAM = 10
ASK_AGAIN_S = 2.0
STRANGE_LINES = 1  # log lines a second about datagrams that are no messages of ours


class FleetLink(DatagramProtocol):
    """One gateway's part in the fleet. `diary` counts and logs as the service's does."""

    def __init__(
        self, told: FleetFile, name: str, born: dict[str, Any], born_ms: int, reactor: Any, diary: Any
    ) -> None:
        self.told, self.reactor, self.diary = told, reactor, diary
        number = settings_number(born)
        at = told.advertise or told.listen
        me = Member(name, at, born_ms, 0, State.ALIVE, int(born.get("Me") or 0), number)
        self.pace = told.pace()
        chance = Random(f"{name}:{born_ms}")
        gateways = int(born.get("Balancers") or 1)
        self.part = Part(me, self.pace, tuple(told.seeds), gateways, self.now(), chance, told.cluster)
        self.shared: QuotaSharing | None = None
        self.file: Path | None = None
        self.snapped = 0
        self.judge: OutlierDetector | None = None
        self.list_version: Any = None  # asks for the version of our own list of hosts
        self.asked_version = 0
        self.names: list[str] = [name]  # of the live ones, ours among them
        self.tell: Any = None  # the service's inputs, where units are shared
        self.clock: Any = None  # Unix ms, as the decisions see it
        self.port: Any = None
        self.call: Any = None
        self.saving = False  # a snapshot is being written
        self.strange_at = 0.0
        self.strange = 0

    def share(self, clock: Any, tell: Any) -> QuotaSharing:
        """Units let in uncounted are told from now on, on the service's own clock."""
        settings = QuotaSharingSettings(
            max_reserve_ms=self.told.shared.reserve_ms, max_rows=self.told.shared.most_rows
        )
        self.shared, self.clock, self.tell = QuotaSharing(self.part, settings), clock, tell
        if self.told.shared.snapshot is not None:
            self.file = Path(self.told.shared.snapshot)
            self.read_snapshot()
        return self.shared

    def read_snapshot(self) -> None:
        """Guards against a file that is torn, another's or unreadable: a line, and a start without it."""
        try:
            rows = unpack(self.part.view.me.name, self.file.read_bytes())
        except FileNotFoundError:
            return
        except (OSError, SnapshotError) as why:
            self.diary.event("snapshot refused", file=str(self.file), why=str(why))
            return
        used = self.shared.restore(rows, self.clock())
        self.diary.event("snapshot read", file=str(self.file), rows=len(rows), of_use=used)

    def write_snapshot(self) -> None:
        """In a thread of its own, one at a time. Guards requests against a slow disk: it may take a tenth
        of a second and more, in which calls to the counter and attempts ran out of time."""
        made = self.shared.usage.change_count
        if self.file is None or self.saving or made == self.snapped:
            return
        self.snapped, self.saving = made, True
        data = pack(self.part.view.me.name, self.shared.usage.own_unreconciled_rows())
        Thread(target=self.save, args=(data,), daemon=True).start()

    def save(self, data: bytes) -> None:
        """By an atomic replace, so that a process that ends meanwhile leaves the old one or the new one."""
        new, why = self.file.with_name(self.file.name + ".new"), ""
        try:
            new.write_bytes(data)
            os.replace(new, self.file)
        except OSError as fault:
            why = str(fault)
        self.reactor.callFromThread(self.saved, why)

    def saved(self, why: str) -> None:
        self.saving = False
        if why:
            self.diary.counts["snapshots_unwritten"] += 1
            self.diary.event("snapshot unwritten", file=str(self.file), why=why)

    def judgement(self, clock: Any, tell: Any, list_version: Any) -> OutlierDetector:
        """What is known of hosts is told from now on."""
        settings = OutlierDetectionSettings(
            observation_ttl_ms=self.told.hosts.fresh_ms, max_ejection_share=self.told.hosts.most_out
        )
        me = self.part.view.me
        self.judge = OutlierDetector(me.name, me.born, settings, lambda: self.names)
        self.clock, self.tell, self.list_version = clock, tell, list_version
        return self.judge

    def now(self) -> float:
        return self.reactor.seconds() * 1000.0

    # The life of the socket.

    def start(self) -> None:
        host, _, port = self.told.listen.rpartition(":")
        self.port = self.reactor.listenUDP(int(port), self, interface=host, maxPacketSize=MOST_BYTES + 1)
        self.port.maxThroughput = SENDS_AT_ONCE * MOST_BYTES
        self.diary.event("fleet listening", address=self.told.listen, known_as=self.part.view.me.address)
        self.wake()
        if self.shared is not None:
            self.tell_rows()
        if self.judge is not None:
            self.tell_evidence()

    def leave(self) -> None:
        """The process ends: the others are told."""
        if self.port is not None:
            self.part.leave(self.now())
            self.carry()
            if self.call is not None and self.call.active():
                self.call.cancel()
            self.port.stopListening()
            self.port = None

    def wake(self) -> None:
        self.part.tick(self.now())
        self.carry()

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        if not data:
            self.diary.counts["fleet_knocked"] += 1  # another's knock: that it was not refused is the answer
            return
        try:
            message = decode(self.told.cluster, data)
        except Malformed as why:
            self.counted_strange(str(why), addr[0])
            return
        self.diary.counts["fleet_heard"] += 1
        self.part.heard(self.now(), message)
        if message.rows and self.shared is not None:
            self.shared.receive(message.rows, self.clock())
        if message.kind is Kind.EVIDENCE and self.judge is not None:
            self.judge.receive(message.evidence, self.clock())
            self.newer_list(message.number)
        self.carry()

    def counted_strange(self, why: str, source: str) -> None:
        """Guards the log against whoever floods the port."""
        self.diary.counts["fleet_strange"] += 1
        self.strange += 1
        if self.now() - self.strange_at >= 1000.0 / STRANGE_LINES:
            self.diary.event("fleet strange datagram", why=why, source=source, since_last=self.strange)
            self.strange_at, self.strange = self.now(), 0

    # What the view asks for.

    def carry(self) -> None:
        now = self.now()
        sends, knocks, changes = self.part.taken(now)
        if self.part.view.counts["refutations"]:
            self.diary.counts["fleet_refutations"] = self.part.view.counts["refutations"]
        for address, message in sends:
            self.write(address, message)
        if changes:
            live = [row for row, entry in self.part.view.entries.items() if entry.member.state in LIVE]
            self.names = sorted([self.part.view.me.name, *live])
            for name in ("suspicions", "false_suspicions", "false_deaths"):
                self.diary.counts["fleet_" + name] = self.part.view.counts[name]
        for change in changes:
            member = change.member
            self.diary.event(
                "fleet member",
                member=member.name,
                address=member.address,
                was=change.was.name.lower() if change.was is not None else None,
                now=member.state.name.lower(),
                false=change.false,
            )
        for address in knocks:
            self.knock(address)
        if self.port is not None:
            if self.call is not None and self.call.active():
                self.call.cancel()
            self.call = self.reactor.callLater(max(0.0, self.part.due(now) - now) / 1000.0, self.wake)

    def write(self, address: str, message: Message) -> None:
        host, _, port = address.rpartition(":")
        self.diary.counts["fleet_sent"] += 1
        try:
            self.port.write(encode(self.told.cluster, message), (host, int(port)))
        except OSError:
            self.diary.counts["fleet_unsent"] += 1  # as good as lost on the way

    def tell_rows(self) -> None:
        """Again and again while the socket is open."""
        if self.port is None:
            return
        self.reactor.callLater(self.shared.settings.broadcast_interval_ms / 1000.0, self.tell_rows)
        self.write_snapshot()
        due = self.shared.run_maintenance(self.clock(), self.now())
        for broadcast in due.broadcasts:
            self.write(broadcast.address, Message(Kind.ROWS, self.part.view.me, rows=broadcast.rows))
        if due.counter_calls:
            self.tell(Input.COUNTER_CALLS, due.counter_calls)

    def tell_evidence(self) -> None:
        """Again and again while the socket is open."""
        if self.port is None:
            return
        settings, view, now = self.judge.settings, self.part.view, self.clock()
        self.reactor.callLater(settings.broadcast_interval_ms / 1000.0, self.tell_evidence)
        self.judge.update_verdicts(now)
        for change in self.judge.changes:
            out = change.reason.value if change.reason is not None else None
            self.diary.event("fleet host", host=change.host, out=out)
        self.judge.changes = []
        rows = tuple(self.judge.broadcasts_due(EVIDENCE_A_DATAGRAM, now))
        version, others = self.list_version(), view.others()
        if rows and others:
            for name in view.chance.sample(others, min(view.pace.fanout, len(others))):
                message = Message(Kind.EVIDENCE, view.me, version, evidence=rows)
                self.write(view.entries[name].member.address, message)

    def newer_list(self, version: int) -> None:
        """Another's list is newer: ours is asked for again, once for each version, at a random time, so that
        the fleet does not ask discovery at one moment."""
        if version > max(self.asked_version, self.list_version()):
            self.asked_version = version
            wait = self.part.view.chance.random() * ASK_AGAIN_S
            self.reactor.callLater(wait, self.tell, Input.NEWER_ENDPOINTS_ELSEWHERE, version)

    def knock(self, address: str) -> None:
        """One empty datagram from a socket that is connected there, so that the kernel tells this process if
        the other machine refuses it, which it does for a port that nobody listens at."""
        host, _, port = address.rpartition(":")
        own = self.told.listen.rpartition(":")[0]
        try:
            line = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        except OSError:
            return  # no descriptor left: no proof, and nothing lost
        try:
            line.setblocking(False)
            line.bind((own, 0))
            line.connect((host, int(port)))
            line.send(b"")
        except OSError as fault:
            line.close()
            if fault.errno == errno.ECONNREFUSED:
                self.refused(address)
            return
        self.diary.counts["fleet_knocks"] += 1
        self.reactor.callLater(self.pace.knock_ms / 2000.0, self.look, line, address)

    def look(self, line: socket.socket, address: str) -> None:
        with line:
            fault = line.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if fault == errno.ECONNREFUSED:
            self.refused(address)

    def refused(self, address: str) -> None:
        if self.port is not None:
            self.part.refused(self.now(), address)
            self.carry()

    # What it is asked for.

    def active_members(self, first: int, spread: int) -> int:
        return self.part.active_members(self.now(), first, spread)

    def shown(self) -> bytes:
        """The view as JSON: this gateway, the members it knows of, and its counters."""
        now, view = self.now(), self.part.view
        rows = [
            {
                "name": entry.member.name,
                "address": entry.member.address,
                "state": entry.member.state.name.lower(),
                "born_ms": entry.member.born,
                "bump": entry.member.bump,
                "seat": entry.member.seat,
                "settings": entry.member.settings,
                "since_ms": round(now - entry.since),
                "share_taken_over": self.part.seats.vacant(now, entry.member.seat),
            }
            for _, entry in sorted(view.entries.items())
        ]
        me = view.me
        said = {
            "name": me.name,
            "address": me.address,
            "born_ms": me.born,
            "bump": me.bump,
            "seat": me.seat,
            "settings": me.settings,
            "live": 1 + sum(entry.member.state in LIVE for entry in view.entries.values()),
            "unwell": view.slow,
            "members": rows,
            "counts": dict(view.counts),
        }
        if self.shared is not None:
            said["shared"] = quota_sharing_report(self.shared, self.clock())
        return orjson.dumps(said)

    def shown_hosts(self) -> bytes:
        """What is known of hosts, from whom and how old, as JSON."""
        return orjson.dumps(outlier_report(self.judge, self.clock()))
