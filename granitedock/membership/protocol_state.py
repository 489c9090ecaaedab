"""The state that the parts of the protocol share, and how each of them sends."""

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
    """Member table, broadcast queue, timers and the effects that the transport is still to carry out.

    `now` is the time of the input at hand, in ms of any steady clock. `sends`, `connection_probes`
    (addresses) and `changes` are emptied by whoever carries them out.
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
        self.suspend_until = (
            LONG_AGO  # after a pause of this process nobody is accused or declared dead before
        )
        self.sequence_number = 0

    def next_sequence_number(self) -> int:
        """The number of the next ping, which its answer repeats."""
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
        """A message with the updates `first`, and as many of the queue as there is space for."""
        spent = sum(update_size(update) for update in first)
        queued: list[MemberUpdate] = []
        if kind != MessageKind.PAGE:
            members = len(self.table.live_others()) + 1
            queued = self.queue.take(self.update_budget - spent, members, update_size)
        self.sends.append((address, Message(kind, self.table.local, number, word, (*first, *queued))))

    def ping(self, record: MemberRecord, number: int) -> None:
        """Ping a member directly."""
        member = record.member
        self.send(member.address, MessageKind.PING, number, member.name, self.claims_against(record))

    def claims_against(self, record: MemberRecord) -> list[MemberUpdate]:
        """A claim against a member goes to it first, so that it can refute it at once (Lifeguard)."""
        if record.member.state is MemberState.ALIVE or not self.timing.careful:
            return []
        return [self.update_of(record)]

    def update_of(self, record: MemberRecord, accuser: str = "") -> MemberUpdate:
        """What this member claims of another; a suspicion names `accuser`, or the first that is known."""
        state = record.member.state
        if state is MemberState.SUSPECT:
            accuser = accuser or next(iter(record.accusers), self.table.local.name)
            return MemberUpdate(record.member, suspected_by=accuser)
        age = max(1.0, self.now - record.since) if state not in LIVE_STATES else 0.0
        return MemberUpdate(record.member, ended_ms_ago=age)
