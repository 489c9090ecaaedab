"""SWIM's failure detection: direct probes, indirect probes through other members, and relaying for them."""

from __future__ import annotations

from dataclasses import dataclass

from granitedock.membership.member import LIVE_STATES, Member, MemberState, MemberUpdate
from granitedock.membership.member_table import MemberRecord
from granitedock.membership.messages import Message, MessageKind
from granitedock.membership.probe_order import ProbeOrder
from granitedock.membership.protocol_state import ProtocolState
from granitedock.membership.suspicion import Suspicion
from granitedock.membership.timers import NEVER, Timer

RELAY_TIMEOUT_MULTIPLE = 1.5  # Time for the target of an indirect probe to answer, in probe timeouts.


@dataclass(slots=True)
class Probe:
    """The direct probe of the current period."""

    target: str
    number: int
    indirect_probes: int = 0  # Members asked to probe indirectly.
    nacks: int = 0
    acked: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """An indirect probe for another member; `requester_number` is the number of that member's probe."""

    requester_address: str
    requester_number: int
    target: str
    expires_at: float


class FailureDetector:
    """Probes one member in each period and answers the probes of other members."""

    def __init__(self, state: ProtocolState, order: ProbeOrder, suspicion: Suspicion) -> None:
        self.state = state
        self.order = order
        self.suspicion = suspicion
        self.current: Probe | None = None
        self.relays: dict[int, Relay] = {}  # By the number of the ping that this member sent.

    def reset(self) -> None:
        """Drop all outstanding probes after a pause of this process, so that none counts as failed."""
        self.current = None
        self.relays.clear()

    # Probing.

    def probe(self) -> None:
        """End the current probe period and begin the next one."""
        state = self.state
        state.timers[Timer.PROBE] = state.now + state.awareness.scaled(state.timing.period_ms)
        self.conclude()
        others = state.table.live_others()
        if not others:
            return
        target = self.order.next_target(others)
        record = state.table.records.get(target)
        if record is None or record.member.state not in LIVE_STATES:
            return
        self.current = Probe(target, state.next_sequence_number())
        state.ping(record, self.current.number)
        state.timers[Timer.PROBE_TIMEOUT] = state.now + state.awareness.scaled(state.timing.timeout_ms)

    def probe_timed_out(self) -> None:
        """After a timeout of the direct probe, probe indirectly, ping again and send a connection probe.

        The connection probe shows whether a process listens at the target's address.
        """
        state, probe = self.state, self.current
        state.timers[Timer.PROBE_TIMEOUT] = NEVER
        record = state.table.records.get(probe.target) if probe else None
        if probe is None or probe.acked or record is None:
            return
        self.probe_indirectly(probe, record)
        state.ping(record, probe.number)
        state.connection_probes.append(record.member.address)

    def probe_indirectly(self, probe: Probe, record: MemberRecord) -> None:
        """Ask a few random members to ping the target."""
        state = self.state
        candidates = [name for name in state.table.live_others() if name != probe.target]
        helpers = state.random.sample(candidates, min(state.timing.helpers, len(candidates)))
        probe.indirect_probes = len(helpers)
        for name in helpers:
            target = [MemberUpdate(record.member.with_state(MemberState.ALIVE))]
            address = state.table.records[name].member.address
            state.send(address, MessageKind.PING_REQ, probe.number, probe.target, target)

    def conclude(self) -> None:
        """End the probe period: suspect the target if neither a direct nor a relayed ack arrived."""
        state, probe = self.state, self.current
        self.current = None
        if probe is None or probe.acked:
            return
        record = state.table.records.get(probe.target)
        if not probe.nacks:
            # If no helper answers either, the local member may be the slow one. A nack shows that the local
            # network works, even if a partition separates this member from the others.
            state.awareness.degrade()
        if (
            record is not None
            and record.member.state in LIVE_STATES
            and state.now >= state.suspicion_suspended_until
        ):
            self.suspicion.suspect(record, state.table.local.name)

    # Relaying for others.

    def expire_relays(self) -> None:
        """Send a nack for each relayed probe whose target did not answer in time."""
        for number, relay in list(self.relays.items()):
            if relay.expires_at <= self.state.now:
                del self.relays[number]
                self.state.send(relay.requester_address, MessageKind.NACK, relay.requester_number)

    # Message handlers.

    def on_ping(self, message: Message, sender: Member) -> None:
        """Answer a ping."""
        state = self.state
        if message.word != state.table.local.name:
            # The ping is for a member that had this address before. The answer carries the local record as
            # its sender, which shows which member has the address now.
            state.send(sender.address, MessageKind.GOSSIP)
            return
        claims = state.claims_to_refute(state.table.records[sender.name])
        state.send(sender.address, MessageKind.ACK, message.number, state.table.local.name, claims)

    def on_ack(self, message: Message, sender: Member) -> None:
        """Handle the ack to the probe of this period, or to a ping relayed for another member."""
        state, probe = self.state, self.current
        if probe and probe.number == message.number and probe.target == message.word:
            if not probe.acked:
                state.awareness.recover()
            probe.acked = True
            state.timers[Timer.PROBE_TIMEOUT] = NEVER
        relay = self.relays.get(message.number)
        if relay is not None and relay.target == message.word == sender.name:
            del self.relays[message.number]
            target = [MemberUpdate(sender)] if sender.state in LIVE_STATES else []
            state.send(relay.requester_address, MessageKind.ACK, relay.requester_number, message.word, target)

    def on_ping_req(self, message: Message, sender: Member) -> None:
        """Ping a member for another member."""
        state = self.state
        target = next(
            (update.member for update in message.updates if update.member.name == message.word), None
        )
        if target is None or target.name == state.table.local.name:
            return
        number = state.next_sequence_number()
        expires_at = state.now + state.timing.timeout_ms * RELAY_TIMEOUT_MULTIPLE
        self.relays[number] = Relay(sender.address, message.number, target.name, expires_at)
        record = state.table.records.get(target.name)
        claims = state.claims_to_refute(record) if record is not None else []
        state.send(target.address, MessageKind.PING, number, target.name, claims)

    def on_nack(self, message: Message, _sender: Member) -> None:
        """Count a nack: the indirect probe through this sender had no answer either."""
        probe = self.current
        if probe and probe.number == message.number:
            probe.nacks += 1
