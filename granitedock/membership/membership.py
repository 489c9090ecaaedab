"""The membership protocol of one gateway, without I/O: inputs in; messages, probes and changes out.

The protocol is SWIM with suspicion and incarnations, Lifeguard's extensions for slow local members, and
anti-entropy against lost gossip. It also contacts seeds and members that are not live, so that the two sides
of a healed partition discover each other. Every input carries the time (ms, any steady clock), and its
effects are collected in `state` until the transport takes them. Nothing here reads a clock, a socket or a
file. Alternatives and sources: docs/membership-design.md.
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

LEAVE_FANOUT = 8  # Members to which a leaving member announces its shutdown.


class Membership:
    """Keeps one gateway's member table up to date; `local` is the gateway's own record."""

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
        self.expected_at = now  # The time of the next input at the latest.
        state.queue.add(MemberUpdate(local))

    @property
    def local(self) -> Member:
        """The record of the local gateway."""
        return self.state.table.local

    @property
    def counts(self) -> Counter[str]:
        """The counters, under the names that the FLEET command shows."""
        return self.state.counts

    def live_others(self) -> list[str]:
        """Return the names of the live members, without the local one."""
        return self.state.table.live_others()

    def gossip_addresses(self) -> list[str]:
        """Return the addresses of a few live members, chosen at random at each call."""
        state = self.state
        others = state.table.live_others()
        names = state.random.sample(others, min(state.timing.fanout, len(others)))
        return [state.table.records[name].member.address for name in names]

    # Timers.

    def next_tick_at(self) -> float:
        """Return the time by which `tick` must be called if there is no input before."""
        due = min(self.state.timers.values())
        for name in self.state.table.suspects:
            due = min(due, self.suspicion.deadline(self.state.table.records[name]))
        for relay in self.detector.relays.values():
            due = min(due, relay.expires_at)
        return due

    def begin_input(self, now: float) -> None:
        """Set the clock for an input and detect a pause of this process.

        A gap in the local clock means that this process was paused or starved of CPU time. The outstanding
        probes are then dropped, suspicions start again, and for `suspect_ms` this member neither suspects a
        member for an unanswered probe nor declares one dead. Prevents false suspicions of other members by a
        member that was paused; the cost is that failures within that time are detected later.
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
        state.suspicion_suspended_until = now + state.timing.suspect_ms
        for name in state.table.suspects:
            state.table.records[name].suspected_at = now
        for record in state.table.records.values():
            record.refusals = 0
        state.awareness.degrade()

    def end_input(self) -> None:
        """Start the timers that the input requires."""
        state = self.state
        timers, timing = state.timers, state.timing
        if state.queue and timers[Timer.GOSSIP] == NEVER:
            timers[Timer.GOSSIP] = state.now + timing.gossip_ms * (0.5 + 0.5 * state.random.random())
        if state.table.not_live and timers[Timer.REVIVE] == NEVER:
            timers[Timer.REVIVE] = state.now + timing.revive_ms * state.random.random()
        self.expected_at = max(state.now, self.next_tick_at())

    def tick(self, now: float) -> None:
        """Run every timer that has expired by `now`."""
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
        """Handle a message of this cluster."""
        self.begin_input(now)
        sender, local = message.sender, self.local
        if sender.name != local.name:
            self.receive_from(sender, message)
        elif sender.address != local.address or sender.started_at != local.started_at:
            # Another process with the local name, or this gateway's process before a restart.
            self.state.counts["namesakes"] += 1
        self.end_input()

    def receive_from(self, sender: Member, message: Message) -> None:
        """Merge the updates of a message and run the handler of its kind."""
        state = self.state
        self.merging.merge(MemberUpdate(sender), True, sender.name)
        record = state.table.records[sender.name]
        if sender.incarnation() >= record.member.incarnation():
            record.last_message_at = state.now
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
            and message.kind is not MessageKind.PING  # The ack to a ping already carries this update.
        ):
            state.send(sender.address, MessageKind.GOSSIP, first=[state.update_of(record)])

    def connection_refused(self, now: float, address: str) -> None:
        """Record that a connection probe of this address was refused."""
        self.begin_input(now)
        self.connections.record_refusal(address)
        self.end_input()

    def leave(self, now: float) -> None:
        """Announce the shutdown of this process, so that no member has to suspect it first."""
        self.begin_input(now)
        table = self.state.table
        table.local = table.local.with_state(MemberState.LEFT)
        others = table.live_others()
        for name in self.state.random.sample(others, min(LEAVE_FANOUT, len(others))):
            self.state.send(table.records[name].member.address, MessageKind.GOSSIP)

    def gossip(self) -> None:
        """Send queued updates to a few random live members."""
        state = self.state
        state.timers[Timer.GOSSIP] = NEVER
        others = state.table.live_others()
        for name in state.random.sample(others, min(state.timing.fanout, len(others))):
            if not state.queue:
                break
            record = state.table.records[name]
            state.send(record.member.address, MessageKind.GOSSIP, first=state.claims_to_refute(record))


# Methods are looked up at each call, so that a test can replace one of them.
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

# Messages of all other kinds carry only updates, or payloads that the attached services handle.
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
