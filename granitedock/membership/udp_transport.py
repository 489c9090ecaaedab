"""The I/O of membership: one datagram socket, connection probes, timers, log and counters.

This module owns the socket and the only clock that the protocol uses. The decisions of the
protocol are made elsewhere.
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

MAX_READS_PER_TURN = 16  # Datagrams read per turn of the event loop, so that requests are served in between.
MALFORMED_LINES_PER_S = 1  # Limit of the log lines about malformed datagrams.


class Log(Protocol):
    """The gateway's event log and counters."""

    counts: Counter[str]

    def event(self, event: str, /, **fields: Any) -> None:
        """Write one line."""
        ...


class UdpTransport(DatagramProtocol):
    """Runs one gateway's membership on a UDP socket, and carries the payloads of other services.

    `settings` are the platform's, `started_at` is the start time of the process (Unix ms), and `reactor` is
    Twisted's.
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
        self.file = file
        self.reactor = reactor
        self.log = log
        self.local_member = self.make_local_member(name, settings, started_at)
        self.live_names: list[str] = [name]  # Sorted, with the local one.
        self.payload_types: dict[int, PayloadType] = {}
        self.payload_handlers: dict[int, Callable[[Message], None]] = {}
        local_host = file.listen.rpartition(":")[0]
        wait_s = self.local_member.timing.knock_ms / 2000.0
        self.prober = ConnectionProber(reactor, local_host, wait_s, log.counts, self.connection_refused)
        self.port: Any = None  # Twisted's port, while the socket is open.
        self.timer: Any = None  # The reactor's scheduled call of `tick`.
        self.unlogged_malformed = 0  # Malformed datagrams since the last log line about them.
        self.malformed_logged_at = 0.0

    def make_local_member(self, name: str, settings: dict[str, Any], started_at: int) -> LocalMember:
        """Return the initial state of the protocol."""
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
        """Return the time of the protocol's clock, in ms."""
        return self.reactor.seconds() * 1000.0

    # Payloads.

    def register_payload(self, payload_type: PayloadType) -> None:
        """Accept messages of this payload type; raises PayloadKindError if its kind is in use."""
        if payload_type.kind in PROTOCOL_KINDS or payload_type.kind in self.payload_types:
            reason = f"payload kind {payload_type.kind} is already in use"
            raise PayloadKindError(reason)
        self.payload_types[payload_type.kind] = payload_type

    def handle_payload(self, payload_type: PayloadType, handler: Callable[[Message], None]) -> None:
        """Call `handler` with each message of a registered type, after the protocol has handled it."""
        self.payload_handlers[payload_type.kind] = handler

    # Start and shutdown.

    def start(self) -> None:
        """Open the socket and start probing; raises Twisted's CannotListenError."""
        host, _, port = self.file.listen.rpartition(":")
        self.port = self.reactor.listenUDP(int(port), self, interface=host, maxPacketSize=MAX_BYTES + 1)
        self.port.maxThroughput = MAX_READS_PER_TURN * MAX_BYTES
        advertised = self.local_member.membership.local.address
        self.log.event("membership listening", address=self.file.listen, advertised=advertised)
        self.tick()

    def is_open(self) -> bool:
        """Return whether the socket is open."""
        return self.port is not None

    def leave(self) -> None:
        """Announce the shutdown of the process and close the socket."""
        if self.port is not None:
            self.local_member.leave(self.now())
            self.carry_out_effects()
            self.cancel_timer()
            self.port.stopListening()
            self.port = None

    def tick(self) -> None:
        """Run the protocol's expired timers."""
        self.local_member.tick(self.now())
        self.carry_out_effects()

    def cancel_timer(self) -> None:
        """Cancel the scheduled call of `tick`, if there is one."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    # Datagrams.

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        """Handle a datagram; an empty one is a connection probe of another member.

        A connection probe needs no answer: that the kernel accepts it is enough.
        """
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

    def count_malformed(self, reason: str, source: str) -> None:
        """Count a malformed datagram, and log at most `MALFORMED_LINES_PER_S` lines a second.

        Prevents a flood of the port from flooding the log; the cost is that most malformed datagrams are only
        counted.
        """
        self.log.counts["fleet_strange"] += 1
        self.unlogged_malformed += 1
        if self.now() - self.malformed_logged_at >= 1000.0 / MALFORMED_LINES_PER_S:
            self.log.event(
                "malformed datagram", why=reason, source=source, since_last=self.unlogged_malformed
            )
            self.malformed_logged_at = self.now()
            self.unlogged_malformed = 0

    def send(self, address: str, message: Message) -> None:
        """Send one datagram; an error counts as a datagram lost in the network."""
        host, _, port = address.rpartition(":")
        self.log.counts["fleet_sent"] += 1
        try:
            self.port.write(encode(self.file.cluster, message, self.payload_types), (host, int(port)))
        except OSError:
            self.log.counts["fleet_unsent"] += 1

    def connection_refused(self, address: str) -> None:
        """Handle the refusal of a connection probe."""
        if self.port is not None:
            self.local_member.connection_refused(self.now(), address)
            self.carry_out_effects()

    # Effects.

    def carry_out_effects(self) -> None:
        """Send, log and probe as the protocol requires, and schedule the next `tick`."""
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
            wait_ms = max(0.0, self.local_member.next_tick_at(now) - now)
            self.timer = self.reactor.callLater(wait_ms / 1000.0, self.tick)

    def count_refutations(self) -> None:
        """Copy the refutation count to the gateway's counters once it is not zero."""
        refutations = self.local_member.membership.counts["refutations"]
        if refutations:
            self.log.counts["fleet_refutations"] = refutations

    def members_changed(self) -> None:
        """Update the names of live members and the gateway's counters."""
        membership = self.local_member.membership
        self.live_names = sorted([membership.local.name, *membership.live_others()])
        for name in ("suspicions", "false_suspicions", "false_deaths"):
            self.log.counts["fleet_" + name] = membership.counts[name]

    def log_change(self, change: MemberChange) -> None:
        """Log a member's change."""
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
        """Return the number of gateways by which the quota share of a customer's subset is divided."""
        return self.local_member.active_members(self.now(), subset_start, subset_size)
