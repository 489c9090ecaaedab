"""The state that the parts of the protocol share, and the sending of messages."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from granitedock.membership.awareness import Awareness
from granitedock.membership.broadcast_queue import BroadcastQueue
from granitedock.membership.codec import update_budget, update_size
from granitedock.membership.member import LIVE_STATES, Member, MemberChange, MemberState, MemberUpdate
from granitedock.membership.member_table import MemberRecord, MemberTable
from granitedock.membership.messages import Message, MessageKind
from granitedock.membership.timers import LONG_AGO, Timer
from granitedock.membership.timing import Timing


class ProtocolState:
    """The member table, broadcast queue, timers, and the effects that the transport has yet to execute.

    `now` is the time of the current input, in ms of any steady clock. `sends`, `connection_probes`
    (addresses) and `changes` are emptied by the code that executes them.
    """

    def __init__(self, local: Member, timing: Timing, now: float, random: Random, cluster: str) -> None:
        self.timing = timing
        self.random = random
        self.now = now
        self.cluster = cluster
        self.table = MemberTable(local)
        self.queue = BroadcastQueue()
        self.awareness = Awareness(timing.careful)
        self.timers: dict[Timer, float] = {}
        self.update_budget = update_budget(cluster, local)
        self.sends: list[tuple[str, Message]] = []
        self.connection_probes: list[str] = []
        self.changes: list[MemberChange] = []
        self.counts: Counter[str] = Counter()
        # After a pause of this process, it neither suspects a member for an unanswered probe nor declares one
        # dead before this time.
        self.suspicion_suspended_until = LONG_AGO
        self.sequence_number = 0

    def next_sequence_number(self) -> int:
        """Return the number of the next ping, which its ack repeats."""
        self.sequence_number = (self.sequence_number + 1) % 2**32
        return self.sequence_number

    def send(
        self,
        address: str,
        kind: MessageKind,
        number: int = 0,
        word: str = "",
        first: Sequence[MemberUpdate] = (),
    ) -> None:
        """Send a message with the updates `first` and, except in a page, as many queued updates as fit."""
        used_bytes = sum(update_size(update) for update in first)
        queued: list[MemberUpdate] = []
        if kind != MessageKind.PAGE:
            members = len(self.table.live_others()) + 1
            queued = self.queue.take(self.update_budget - used_bytes, members, update_size)
        self.sends.append((address, Message(kind, self.table.local, number, word, (*first, *queued))))

    def ping(self, record: MemberRecord, number: int) -> None:
        """Ping a member directly."""
        member = record.member
        self.send(member.address, MessageKind.PING, number, member.name, self.claims_to_refute(record))

    def claims_to_refute(self, record: MemberRecord) -> list[MemberUpdate]:
        """Return the claim that a member is not alive, to be sent to that member.

        The member can then refute the claim at once (Lifeguard).
        """
        if record.member.state is MemberState.ALIVE or not self.timing.careful:
            return []
        return [self.update_of(record)]

    def update_of(self, record: MemberRecord, source: str = "") -> MemberUpdate:
        """Return the update that states what is recorded about a member.

        A suspicion names `source`, or its first recorded source.
        """
        state = record.member.state
        if state is MemberState.SUSPECT:
            source = source or next(iter(record.suspicion_sources), self.table.local.name)
            return MemberUpdate(record.member, suspected_by=source)
        age = max(1.0, self.now - record.state_since) if state not in LIVE_STATES else 0.0
        return MemberUpdate(record.member, ended_ms_ago=age)
