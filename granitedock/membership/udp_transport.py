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

from granitedock.membership.codec import MAX_BYTES, decode, encode
from granitedock.membership.errors import MalformedMessageError
from granitedock.membership.local_member import LocalMember
from granitedock.membership.member import LIVE_STATES, Member, MemberState
from granitedock.membership.messages import Message, MessageKind
from granitedock.membership.settings import FleetFile, settings_checksum
from granitedock.outlier_detection.judge import Judge, Weights
from granitedock.quota_sharing.snapshot import Refused, pack, unpack
from granitedock.quota_sharing.state import Bounds, Shared

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
        number = settings_checksum(born)
        at = told.advertise or told.listen
        me = Member(name, at, born_ms, 0, MemberState.ALIVE, int(born.get("Me") or 0), number)
        self.pace = told.protocol_timing()
        chance = Random(f"{name}:{born_ms}")
        gateways = int(born.get("Balancers") or 1)
        self.part = LocalMember(me, self.pace, tuple(told.seeds), gateways, self.now(), chance, told.cluster)
        self.shared: Shared | None = None
        self.file: Path | None = None
        self.snapped = 0
        self.judge: Judge | None = None
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

    def share(self, clock: Any, tell: Any) -> Shared:
        """Units let in uncounted are told from now on, on the service's own clock."""
        bounds = Bounds(reserve_ms=self.told.shared.reserve_ms, most_rows=self.told.shared.most_rows)
        self.shared, self.clock, self.tell = Shared(self.part, bounds), clock, tell
        if self.told.shared.snapshot is not None:
            self.file = Path(self.told.shared.snapshot)
            self.read_snapshot()
        return self.shared

    def read_snapshot(self) -> None:
        """Guards against a file that is torn, another's or unreadable: a line, and a start without it."""
        try:
            rows = unpack(self.part.membership.local.name, self.file.read_bytes())
        except FileNotFoundError:
            return
        except (OSError, Refused) as why:
            self.diary.event("snapshot refused", file=str(self.file), why=str(why))
            return
        used = self.shared.rescue(rows, self.clock())
        self.diary.event("snapshot read", file=str(self.file), rows=len(rows), of_use=used)

    def write_snapshot(self) -> None:
        """In a thread of its own, one at a time. Guards requests against a slow disk: it may take a tenth
        of a second and more, in which calls to the counter and attempts ran out of time."""
        made = self.shared.counts.made
        if self.file is None or self.saving or made == self.snapped:
            return
        self.snapped, self.saving = made, True
        data = pack(self.part.membership.local.name, self.shared.counts.mine())
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

    def judgement(self, clock: Any, tell: Any, list_version: Any) -> Judge:
        """What is known of hosts is told from now on."""
        weights = Weights(fresh_ms=self.told.hosts.fresh_ms, most_out=self.told.hosts.most_out)
        me = self.part.membership.local
        self.judge = Judge(me.name, me.started_at, weights, lambda: self.names)
        self.clock, self.tell, self.list_version = clock, tell, list_version
        return self.judge

    def now(self) -> float:
        return self.reactor.seconds() * 1000.0

    # The life of the socket.

    def start(self) -> None:
        host, _, port = self.told.listen.rpartition(":")
        self.port = self.reactor.listenUDP(int(port), self, interface=host, maxPacketSize=MAX_BYTES + 1)
        self.port.maxThroughput = SENDS_AT_ONCE * MAX_BYTES
        self.diary.event(
            "fleet listening", address=self.told.listen, known_as=self.part.membership.local.address
        )
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
        except MalformedMessageError as why:
            self.counted_strange(str(why), addr[0])
            return
        self.diary.counts["fleet_heard"] += 1
        self.part.receive(self.now(), message)
        if message.rows and self.shared is not None:
            self.shared.heard(message.rows, self.clock())
        if message.kind is MessageKind.EVIDENCE and self.judge is not None:
            self.judge.heard(message.evidence, self.clock())
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
        effects = self.part.take_effects(now)
        sends, knocks, changes = effects.sends, effects.connection_probes, effects.changes
        if self.part.membership.counts["refutations"]:
            self.diary.counts["fleet_refutations"] = self.part.membership.counts["refutations"]
        for address, message in sends:
            self.write(address, message)
        if changes:
            live = [
                row
                for row, entry in self.part.membership.state.table.records.items()
                if entry.member.state in LIVE_STATES
            ]
            self.names = sorted([self.part.membership.local.name, *live])
            for name in ("suspicions", "false_suspicions", "false_deaths"):
                self.diary.counts["fleet_" + name] = self.part.membership.counts[name]
        for change in changes:
            member = change.member
            self.diary.event(
                "fleet member",
                member=member.name,
                address=member.address,
                was=change.previous.name.lower() if change.previous is not None else None,
                now=member.state.name.lower(),
                false=change.false_death,
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
        self.reactor.callLater(self.shared.bounds.tell_ms / 1000.0, self.tell_rows)
        self.write_snapshot()
        sends, calls = self.shared.tick(self.clock(), self.now())
        for address, rows in sends:
            self.write(address, Message(MessageKind.ROWS, self.part.membership.local, rows=rows))
        if calls:
            self.tell("calls", calls)

    def tell_evidence(self) -> None:
        """Again and again while the socket is open."""
        if self.port is None:
            return
        weights, view, now = self.judge.weights, self.part.membership, self.clock()
        self.reactor.callLater(weights.tell_ms / 1000.0, self.tell_evidence)
        self.judge.judge(now)
        for name, why in self.judge.changes:
            self.diary.event("fleet host", host=name, out=why)
        self.judge.changes = []
        rows = tuple(self.judge.due(now, EVIDENCE_A_DATAGRAM))
        version = self.list_version()
        for address in view.gossip_addresses() if rows else ():
            self.write(address, Message(MessageKind.EVIDENCE, view.local, version, evidence=rows))

    def newer_list(self, version: int) -> None:
        """Another's list is newer: ours is asked for again, once for each version, at a random time, so that
        the fleet does not ask discovery at one moment."""
        if version > max(self.asked_version, self.list_version()):
            self.asked_version = version
            wait = self.part.membership.state.random.random() * ASK_AGAIN_S
            self.reactor.callLater(wait, self.tell, "newer list", version)

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
            self.part.connection_refused(self.now(), address)
            self.carry()

    # What it is asked for.

    def active_members(self, first: int, spread: int) -> int:
        return self.part.active_members(self.now(), first, spread)

    def shown(self) -> bytes:
        """The view as JSON: this gateway, the members it knows of, and its counters."""
        now, view = self.now(), self.part.membership
        rows = [
            {
                "name": entry.member.name,
                "address": entry.member.address,
                "state": entry.member.state.name.lower(),
                "born_ms": entry.member.started_at,
                "bump": entry.member.refutations,
                "seat": entry.member.slot,
                "settings": entry.member.settings_checksum,
                "since_ms": round(now - entry.since),
                "share_taken_over": self.part.slots.is_vacant(now, entry.member.slot),
            }
            for _, entry in sorted(view.state.table.records.items())
        ]
        me = view.local
        said = {
            "name": me.name,
            "address": me.address,
            "born_ms": me.started_at,
            "bump": me.refutations,
            "seat": me.slot,
            "settings": me.settings_checksum,
            "live": 1 + sum(entry.member.state in LIVE_STATES for entry in view.state.table.records.values()),
            "unwell": view.state.awareness.score,
            "members": rows,
            "counts": dict(view.counts),
        }
        if self.shared is not None:
            said["shared"] = self.shared.shown(self.clock())
        return orjson.dumps(said)

    def shown_hosts(self) -> bytes:
        """What is known of hosts, from whom and how old, as JSON."""
        return orjson.dumps(self.judge.shown(self.clock()))
