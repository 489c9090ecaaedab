"""Anti-entropy: pages of the member table against lost gossip, and attempts to reach absent members."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque

from granitedock.membership.codec import update_size
from granitedock.membership.member import Member, MemberState, MemberUpdate
from granitedock.membership.messages import Message, MessageKind
from granitedock.membership.protocol_state import ProtocolState
from granitedock.membership.timers import LONG_AGO, NEVER, Timer

OLD_ADDRESSES = 16  # of removed members, tried among the seeds
JOIN_AT_ONCE = 3  # seeds tried together while no other member is live
REMOVALS_PER_FORGET = 10  # how often the periodic maintenance runs within `forget_ms`


class AntiEntropy:
    """Keeps tables alike and partitions joinable: sync, join, revival and removal of members."""

    def __init__(self, state: ProtocolState, seeds: tuple[str, ...]) -> None:
        self.state = state
        self.seeds = tuple(seed for seed in seeds if seed != state.table.local.address)
        self.old_addresses: deque[str] = deque(maxlen=OLD_ADDRESSES)
        self.join_wait_ms = state.timing.seeds_ms
        self.cursor = ""  # the name after which the next page begins
        self.pulled_at = LONG_AGO

    # Pages.

    def page(self, after: str, budget: float) -> tuple[list[MemberUpdate], str]:
        """The members with names after `after`, in up to `budget` bytes, and where to go on (empty: end)."""
        table = self.state.table
        names = table.all_names()
        page: list[MemberUpdate] = []
        spent = 0
        last = ""
        for name in names[bisect_right(names, after) :]:
            if name == table.local.name:
                update = MemberUpdate(table.local)
            else:
                update = self.state.update_of(table.records[name])
            spent += update_size(update)
            if spent > budget:
                return page, last
            page.append(update)
            last = name
        return page, ""

    def sync(self) -> None:
        """Guards against gossip that all senders lost: the whole table goes round, a page at a time.

        Hurts: half a datagram each interval, the same among forty members as among a thousand.
        """
        state = self.state
        state.timers[Timer.SYNC] = state.now + state.timing.sync_ms * (0.5 + state.random.random())
        others = state.table.live_others()
        if others:
            page, self.cursor = self.page(self.cursor, state.update_budget / 2)
            target = state.table.records[state.random.choice(others)].member.address
            state.send(target, MessageKind.PAGE, first=page)

    def on_pull(self, message: Message, sender: Member) -> None:
        """Answer with the page that was asked for."""
        page, resume_after = self.page(message.word, self.state.update_budget)
        self.state.send(sender.address, MessageKind.PAGE, 1, resume_after, page)

    def on_page(self, message: Message, sender: Member) -> None:
        """Send back what is newer here; pull the next page of a table that we asked for."""
        state = self.state
        newer = []
        for update in message.updates:
            record = state.table.records.get(update.member.name)
            if record is not None and record.member.precedence() > update.member.precedence():
                newer.append(state.update_of(record))
            elif (
                update.member.name == state.table.local.name
                and state.table.local.precedence() > update.member.precedence()
            ):
                newer.append(MemberUpdate(state.table.local))
        if newer:
            state.send(sender.address, MessageKind.GOSSIP, first=newer)
        if message.word and message.number:
            state.send(sender.address, MessageKind.PULL, 0, message.word)

    # Members out of reach.

    def join(self) -> None:
        """Guards against standing alone, or on one side of a partition, for ever.

        Seeds that are not among the live members, and old addresses of removed ones, are tried again and
        again at growing random waits. Hurts: a datagram now and then to an address where nobody may be.
        """
        state = self.state
        live = {state.table.records[name].member.address for name in state.table.live_others()}
        candidates = dict.fromkeys((*self.seeds, *self.old_addresses))
        missing = [address for address in candidates if address not in live]
        if not live:
            for address in missing[:JOIN_AT_ONCE]:
                state.send(address, MessageKind.PULL)
        elif missing:
            state.send(state.random.choice(missing), MessageKind.PULL)
        state.timers[Timer.JOIN] = state.now + self.join_wait_ms * (0.5 + 0.5 * state.random.random())
        self.join_wait_ms = min(state.timing.seeds_most_ms, 2 * self.join_wait_ms)

    def member_joined(self) -> None:
        """A new live member may be the first of many: seeds are tried sooner."""
        self.join_wait_ms = min(self.join_wait_ms, self.state.timing.seeds_most_ms / 4)

    def member_returned(self, member: Member) -> None:
        """One that was not live is again: pull its table, as it may know a whole side of a partition."""
        state = self.state
        if state.now - self.pulled_at > state.timing.sync_ms:
            self.pulled_at = state.now
            state.send(member.address, MessageKind.PULL)

    def revive(self) -> None:
        """One of those that are not live is told so.

        If it lives after all, it refutes, and both sides of what was a partition learn of each other.
        """
        state = self.state
        state.timers[Timer.REVIVE] = NEVER
        records = [state.table.records[name] for name in state.table.not_live]
        names = [record.member.name for record in records if record.member.state is not MemberState.LEFT]
        if names:
            record = state.table.records[state.random.choice(names)]
            member = record.member
            number = state.next_sequence_number()
            state.send(member.address, MessageKind.PING, number, member.name, [state.update_of(record)])
            if member.state is MemberState.DEAD:
                state.connection_probes.append(member.address)

    def remove_expired(self) -> None:
        """Periodic maintenance: members that have not been live for long are forgotten."""
        state = self.state
        state.timers[Timer.MAINTENANCE] = state.now + state.timing.forget_ms / REMOVALS_PER_FORGET
        for name in list(state.table.not_live):
            record = state.table.records[name]
            member = record.member
            if state.now - record.since > state.timing.forget_ms:
                if member.state is not MemberState.LEFT and member.address not in self.seeds:
                    self.old_addresses.append(member.address)
                state.table.remove(name)
