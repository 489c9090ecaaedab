"""The I/O of membership: one datagram socket, connection probes, timers, log and counters.

Owns the socket and the only clock that the protocol sees. It decides nothing about what an observation means.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from twisted.internet.protocol import DatagramProtocol

from granitedock.membership.codec import MAX_BYTES, PROTOCOL_KINDS, decode, encode
from granitedock.membership.connection_prober import ConnectionProber
from granitedock.membership.errors import MalformedMessageError, PayloadKindError
from granitedock.membership.local_member import LocalMember
from granitedock.membership.member import Member, MemberChange, MemberState
from granitedock.membership.messages import Message, PayloadType
from granitedock.membership.settings import MembershipFile, settings_checksum

READS_AT_ONCE = 16  # datagrams read in one turn of the loop, so that requests are served between
MALFORMED_LINES = 1  # log lines a second about malformed datagrams


class Log(Protocol):
    """The gateway's event log and counters."""

    counts: Counter[str]

    def event(self, event: str, /, **fields: Any) -> None:
        """Write one line."""
        ...


class UdpTransport(DatagramProtocol):
    """One gateway's membership on a UDP socket, and the way for the payloads of other services.

    `settings` are the platform's, `started_at` is when the process began (Unix ms), `reactor` is Twisted's.
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
        self.file = file
        self.reactor = reactor
        self.log = log
        self.local_member = self.make_local_member(name, settings, started_at)
        self.live_names: list[str] = [name]  # sorted, the local one among them
        self.payload_types: dict[int, PayloadType] = {}
        self.payload_handlers: dict[int, Callable[[Message], None]] = {}
        own_host = file.listen.rpartition(":")[0]
        wait_s = self.local_member.timing.knock_ms / 2000.0
        self.prober = ConnectionProber(reactor, own_host, wait_s, log.counts, self.connection_refused)
        self.port: Any = None  # Twisted's, while the socket is open
        self.timer: Any = None  # the reactor's call of `tick`
        self.malformed = 0  # since the last line about them
        self.malformed_logged_at = 0.0

    def make_local_member(self, name: str, settings: dict[str, Any], started_at: int) -> LocalMember:
        """The protocol's state, before any datagram."""
        file = self.file
        local = Member(
            name,
            file.advertise or file.listen,
            started_at,
            0,
            MemberState.ALIVE,
            int(settings.get("Me") or 0),
            settings_checksum(settings),
        )
        gateways = int(settings.get("Balancers") or 1)
        random = Random(f"{name}:{started_at}")
        timing = file.protocol_timing()
        return LocalMember(local, timing, tuple(file.seeds), gateways, self.now(), random, file.cluster)

    def now(self) -> float:
        """The protocol's clock, in ms."""
        return self.reactor.seconds() * 1000.0

    # Payloads.

    def register_payload(self, payload_type: PayloadType) -> None:
        """Let messages of this type through. Raises PayloadKindError."""
        if payload_type.kind in PROTOCOL_KINDS or payload_type.kind in self.payload_types:
            why = f"kind {payload_type.kind} is not free"
            raise PayloadKindError(why)
        self.payload_types[payload_type.kind] = payload_type

    def handle_payload(self, payload_type: PayloadType, handler: Callable[[Message], None]) -> None:
        """Call `handler` with each message of a registered type, after the protocol has taken it in."""
        self.payload_handlers[payload_type.kind] = handler

    # The life of the socket.

    def start(self) -> None:
        """Open the socket and begin to probe. Raises Twisted's CannotListenError."""
        host, _, port = self.file.listen.rpartition(":")
        self.port = self.reactor.listenUDP(int(port), self, interface=host, maxPacketSize=MAX_BYTES + 1)
        self.port.maxThroughput = READS_AT_ONCE * MAX_BYTES
        advertised = self.local_member.membership.local.address
        self.log.event("membership listening", address=self.file.listen, advertised=advertised)
        self.tick()

    def is_open(self) -> bool:
        """Whether the socket is open."""
        return self.port is not None

    def leave(self) -> None:
        """The process ends: announce it and close the socket."""
        if self.port is not None:
            self.local_member.leave(self.now())
            self.carry_out_effects()
            self.cancel_timer()
            self.port.stopListening()
            self.port = None

    def tick(self) -> None:
        """The protocol's timer."""
        self.local_member.tick(self.now())
        self.carry_out_effects()

    def cancel_timer(self) -> None:
        """Cancel the call of `tick`, if there is one."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    # Datagrams.

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        """A datagram, or another's connection probe, for which it is enough that it was not refused."""
        if not data:
            self.log.counts["fleet_knocked"] += 1
            return
        try:
            message = decode(self.file.cluster, data, self.payload_types)
        except MalformedMessageError as error:
            self.count_malformed(str(error), addr[0])
            return
        self.log.counts["fleet_heard"] += 1
        self.local_member.receive(self.now(), message)
        handler = self.payload_handlers.get(message.kind)
        if handler is not None:
            handler(message)
        self.carry_out_effects()

    def count_malformed(self, why: str, source: str) -> None:
        """Guards the log against whoever floods the port. Hurts: most of those lines are only counted."""
        self.log.counts["fleet_strange"] += 1
        self.malformed += 1
        if self.now() - self.malformed_logged_at >= 1000.0 / MALFORMED_LINES:
            self.log.event("malformed datagram", why=why, source=source, since_last=self.malformed)
            self.malformed_logged_at = self.now()
            self.malformed = 0

    def send(self, address: str, message: Message) -> None:
        """One datagram; an error is as good as a loss on the way."""
        host, _, port = address.rpartition(":")
        self.log.counts["fleet_sent"] += 1
        try:
            self.port.write(encode(self.file.cluster, message, self.payload_types), (host, int(port)))
        except OSError:
            self.log.counts["fleet_unsent"] += 1

    def connection_refused(self, address: str) -> None:
        """A connection probe was refused."""
        if self.port is not None:
            self.local_member.connection_refused(self.now(), address)
            self.carry_out_effects()

    # Effects.

    def carry_out_effects(self) -> None:
        """Send, log and probe what the protocol asks for, and set its timer."""
        now = self.now()
        effects = self.local_member.take_effects(now)
        self.count_refutations()
        for address, message in effects.sends:
            self.send(address, message)
        if effects.changes:
            self.members_changed()
        for change in effects.changes:
            self.log_change(change)
        for address in effects.connection_probes:
            self.prober.probe(address)
        if self.port is not None:
            self.cancel_timer()
            wait_ms = max(0.0, self.local_member.due(now) - now)
            self.timer = self.reactor.callLater(wait_ms / 1000.0, self.tick)

    def count_refutations(self) -> None:
        """Show the protocol's counter among the gateway's, once there is something to show."""
        refutations = self.local_member.membership.counts["refutations"]
        if refutations:
            self.log.counts["fleet_refutations"] = refutations

    def members_changed(self) -> None:
        """Bring the names of live members and the gateway's counters up to date."""
        membership = self.local_member.membership
        self.live_names = sorted([membership.local.name, *membership.live_others()])
        for name in ("suspicions", "false_suspicions", "false_deaths"):
            self.log.counts["fleet_" + name] = membership.counts[name]

    def log_change(self, change: MemberChange) -> None:
        """One line about a member's change."""
        member = change.member
        self.log.event(
            "member changed",
            member=member.name,
            address=member.address,
            previous=change.previous.name.lower() if change.previous is not None else None,
            state=member.state.name.lower(),
            false_death=change.false_death,
        )

    # Policy's MembershipPort.

    def active_members(self, subset_start: int, subset_size: int) -> int:
        """By how many gateways of a customer's subset its quota share is divided."""
        return self.local_member.active_members(self.now(), subset_start, subset_size)
