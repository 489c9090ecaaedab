"""The membership protocol of one gateway, without I/O: inputs in; messages, probes and changes out.

SWIM with suspicion and incarnations, Lifeguard's extensions for members that are slow themselves,
anti-entropy against lost gossip, and attempts at seeds and at members that are not live, so that the sides
of a healed partition find each other. Every input comes with the time (ms, any steady clock); what it brings
about stands in `state` until the transport takes it. Nothing here reads a clock, a socket or a file. Options
weighed and sources: docs/membership-design.md.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from granitedock.membership.anti_entropy import REMOVALS_PER_FORGET, AntiEntropy
from granitedock.membership.connection_probe import ConnectionProbes
from granitedock.membership.member import Member, MemberState, MemberUpdate
from granitedock.membership.member_updater import MemberUpdater
from granitedock.membership.merge import Merge
from granitedock.membership.messages import Message, MessageKind
from granitedock.membership.probe import FailureDetector
from granitedock.membership.probe_order import ProbeOrder
from granitedock.membership.protocol_state import ProtocolState
from granitedock.membership.suspicion import Suspicion
from granitedock.membership.timers import NEVER, Timer
from granitedock.membership.timing import Timing

TOLD_OF_LEAVING = 8  # members


class Membership:
    """One gateway's member table, kept up to date by the protocol. `local` is its own record."""

    def __init__(
        self,
        local: Member,
        timing: Timing,
        seeds: tuple[str, ...],
        now: float,
        random: Random,
        cluster: str = "",
    ) -> None:
        self.state = state = ProtocolState(local, timing, now, random, cluster)
        state.sequence_number = random.randrange(2**16)
        self.order = ProbeOrder(state.table, random, random.randrange(2))
        self.anti_entropy = AntiEntropy(state, seeds)
        self.updater = MemberUpdater(state, self.order, self.anti_entropy)
        self.suspicion = Suspicion(state, self.updater)
        self.detector = FailureDetector(state, self.order, self.suspicion)
        self.connections = ConnectionProbes(state, self.updater)
        self.merging = Merge(state, self.order, self.updater, self.suspicion)
        state.timers.update(
            {
                Timer.PROBE: now + timing.period_ms * random.random(),
                Timer.PROBE_TIMEOUT: NEVER,
                Timer.CONNECTION_RETRY: NEVER,
                Timer.GOSSIP: NEVER,
                Timer.SYNC: now + timing.sync_ms * random.random(),
                Timer.JOIN: now,
                Timer.REVIVE: NEVER,
                Timer.MAINTENANCE: now + timing.forget_ms / REMOVALS_PER_FORGET,
            }
        )
        self.expected_at = now  # when the next input is due at the latest
        state.queue.add(MemberUpdate(local))

    @property
    def local(self) -> Member:
        """The record of this gateway itself."""
        return self.state.table.local

    @property
    def counts(self) -> Counter[str]:
        """Counters, by the names that the FLEET command shows."""
        return self.state.counts

    def live_others(self) -> list[str]:
        """The names of the live members, without the local one."""
        return self.state.table.live_others()

    def gossip_addresses(self) -> list[str]:
        """The addresses of a few live members, drawn anew at each call."""
        state = self.state
        others = state.table.live_others()
        names = state.random.sample(others, min(state.timing.fanout, len(others)))
        return [state.table.records[name].member.address for name in names]

    # Time.

    def due(self) -> float:
        """When `tick` is due, if no input comes before."""
        due = min(self.state.timers.values())
        for name in self.state.table.suspects:
            due = min(due, self.suspicion.deadline(self.state.table.records[name]))
        for relay in self.detector.relays.values():
            due = min(due, relay.expires_at)
        return due

    def begin_input(self, now: float) -> None:
        """The clock of an input.

        Guards the others against a member that was paused or starved: a gap in its own clock is distrusted
        before anybody's silence. Whom it was probing is not blamed, suspicions begin anew, and for a while
        nobody is accused or declared dead. Hurts: ends in that time are known later.
        """
        state = self.state
        gap = now - self.expected_at
        state.now = now
        if gap <= state.timing.gap_ms:
            return
        state.counts["slept"] += 1
        self.detector.reset()
        self.connections.reset()
        state.timers[Timer.PROBE_TIMEOUT] = NEVER
        state.timers[Timer.CONNECTION_RETRY] = NEVER
        state.timers[Timer.PROBE] = now + state.timing.period_ms * state.random.random()
        state.suspend_until = now + state.timing.suspect_ms
        for name in state.table.suspects:
            state.table.records[name].suspected_at = now
        for record in state.table.records.values():
            record.refusals = 0
        state.awareness.degrade()

    def end_input(self) -> None:
        """Start the timers that the input calls for."""
        state = self.state
        timers, timing = state.timers, state.timing
        if state.queue and timers[Timer.GOSSIP] == NEVER:
            timers[Timer.GOSSIP] = state.now + timing.gossip_ms * (0.5 + 0.5 * state.random.random())
        if state.table.not_live and timers[Timer.REVIVE] == NEVER:
            timers[Timer.REVIVE] = state.now + timing.revive_ms * state.random.random()
        self.expected_at = max(state.now, self.due())

    def tick(self, now: float) -> None:
        """Whatever is due by now."""
        self.begin_input(now)
        for timer, due in self.state.timers.items():
            if due <= now:
                TIMER_HANDLERS[timer](self)
        self.detector.expire_relays()
        for name in list(self.state.table.suspects):
            self.suspicion.check(name)
        self.end_input()

    # Inputs.

    def receive(self, now: float, message: Message) -> None:
        """A message of this cluster came."""
        self.begin_input(now)
        sender, local = message.sender, self.local
        if sender.name != local.name:
            self.receive_from(sender, message)
        elif sender.address != local.address or sender.started_at != local.started_at:
            self.state.counts["namesakes"] += 1  # another process of our name, or ours before a restart
        self.end_input()

    def receive_from(self, sender: Member, message: Message) -> None:
        """Merge a message's claims and do what it asks for."""
        state = self.state
        self.merging.merge(MemberUpdate(sender), True, sender.name)
        record = state.table.records[sender.name]
        if sender.incarnation() >= record.member.incarnation():
            record.heard_at = state.now
            record.refusals = 0
        for update in message.updates:
            self.merging.merge(update, message.kind is MessageKind.PAGE, sender.name)
        handler = MESSAGE_HANDLERS.get(message.kind)
        if handler is not None:
            handler(self, message, sender)
        if (
            record.member.state is not MemberState.ALIVE
            and sender.state is MemberState.ALIVE
            and record.member.incarnation() >= sender.incarnation()
            and message.kind is not MessageKind.PING  # the answer to that one says it already
        ):
            state.send(sender.address, MessageKind.GOSSIP, first=[state.update_of(record)])

    def connection_refused(self, now: float, address: str) -> None:
        """A connection probe of this address was refused."""
        self.begin_input(now)
        self.connections.refused(address)
        self.end_input()

    def leave(self, now: float) -> None:
        """Announce the end of this process, so that nobody has to suspect it."""
        self.begin_input(now)
        table = self.state.table
        table.local = table.local.with_state(MemberState.LEFT)
        others = table.live_others()
        for name in self.state.random.sample(others, min(TOLD_OF_LEAVING, len(others))):
            self.state.send(table.records[name].member.address, MessageKind.GOSSIP)

    def gossip(self) -> None:
        """Send queued updates to a few random members."""
        state = self.state
        state.timers[Timer.GOSSIP] = NEVER
        others = state.table.live_others()
        for name in state.random.sample(others, min(state.timing.fanout, len(others))):
            if not state.queue:
                break
            record = state.table.records[name]
            state.send(record.member.address, MessageKind.GOSSIP, first=state.claims_against(record))


# By name, so that a test may put another method in the place of one.
TIMER_HANDLERS: dict[Timer, Callable[[Membership], None]] = {
    Timer.PROBE: lambda membership: membership.detector.probe(),
    Timer.PROBE_TIMEOUT: lambda membership: membership.detector.probe_timed_out(),
    Timer.CONNECTION_RETRY: lambda membership: membership.connections.retry(),
    Timer.GOSSIP: lambda membership: membership.gossip(),
    Timer.SYNC: lambda membership: membership.anti_entropy.sync(),
    Timer.JOIN: lambda membership: membership.anti_entropy.join(),
    Timer.REVIVE: lambda membership: membership.anti_entropy.revive(),
    Timer.MAINTENANCE: lambda membership: membership.anti_entropy.remove_expired(),
}

# Kinds that are not here carry only updates, or payloads that others handle.
MESSAGE_HANDLERS: dict[int, Callable[[Membership, Message, Member], None]] = {
    MessageKind.PING: lambda membership, message, sender: membership.detector.on_ping(message, sender),
    MessageKind.ACK: lambda membership, message, sender: membership.detector.on_ack(message, sender),
    MessageKind.PING_REQ: lambda membership, message, sender: membership.detector.on_ping_req(
        message, sender
    ),
    MessageKind.NACK: lambda membership, message, sender: membership.detector.on_nack(message, sender),
    MessageKind.PULL: lambda membership, message, sender: membership.anti_entropy.on_pull(message, sender),
    MessageKind.PAGE: lambda membership, message, sender: membership.anti_entropy.on_page(message, sender),
}
