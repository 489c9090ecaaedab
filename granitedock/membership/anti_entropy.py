"""Anti-entropy: pages of the member table against lost gossip, and attempts to reach absent members."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque

from granitedock.membership.codec import update_size
from granitedock.membership.member import Member, MemberState, MemberUpdate
from granitedock.membership.messages import Message, MessageKind
from granitedock.membership.protocol_state import ProtocolState
from granitedock.membership.timers import LONG_AGO, NEVER, Timer

MAX_OLD_ADDRESSES = 16  # Addresses of removed members that are tried along with the seeds.
SEEDS_PER_JOIN = 3  # Seeds contacted together while no other member is live.
REMOVALS_PER_FORGET = 10  # Runs of the periodic maintenance within `forget_ms`.


class AntiEntropy:
    """Synchronizes member tables, joins seeds and former partitions, and removes ended members."""

    def __init__(self, state: ProtocolState, seeds: tuple[str, ...]) -> None:
        self.state = state
        self.seeds = tuple(seed for seed in seeds if seed != state.table.local.address)
        self.old_addresses: deque[str] = deque(maxlen=MAX_OLD_ADDRESSES)
        self.join_wait_ms = state.timing.seeds_ms
        self.cursor = ""  # The name after which the next page begins.
        self.pulled_at = LONG_AGO

    # Pages.

    def next_page(self, after: str, budget: float) -> tuple[list[MemberUpdate], str]:
        """Return the members with names after `after`, in up to `budget` bytes, and the name to resume after.

        That name is empty at the end of the table.
        """
        table = self.state.table
        names = table.all_names()
        page: list[MemberUpdate] = []
        used_bytes = 0
        last = ""
        for name in names[bisect_right(names, after) :]:
            if name == table.local.name:
                update = MemberUpdate(table.local)
            else:
                update = self.state.update_of(table.records[name])
            used_bytes += update_size(update)
            if used_bytes > budget:
                return page, last
            page.append(update)
            last = name
        return page, ""

    def sync(self) -> None:
        """Send one page of the member table to a random live member, as a push.

        Over several intervals the whole table is sent. Prevents tables from staying different after an update
        of which a member received no datagram; the cost is half a datagram in each interval, the same with
        forty members as with a thousand.
        """
        state = self.state
        state.timers[Timer.SYNC] = state.now + state.timing.sync_ms * (0.5 + state.random.random())
        others = state.table.live_others()
        if others:
            page, self.cursor = self.next_page(self.cursor, state.update_budget / 2)
            target = state.table.records[state.random.choice(others)].member.address
            state.send(target, MessageKind.PAGE, first=page)

    def on_pull(self, message: Message, sender: Member) -> None:
        """Answer a pull with the requested page."""
        page, resume_after = self.next_page(message.word, self.state.update_budget)
        self.state.send(sender.address, MessageKind.PAGE, 1, resume_after, page)

    def on_page(self, message: Message, sender: Member) -> None:
        """Send back the records that are newer here, and pull the next page of a requested table."""
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

    # Members that are not reachable.

    def join(self) -> None:
        """Contact seeds and old addresses of removed members at which no live member is known.

        Contacts one such address at random while another member is live, and up to SEEDS_PER_JOIN otherwise.
        The attempts are repeated at growing random intervals. Prevents a gateway from staying alone, or on
        one side of a partition, for ever; the cost is an occasional datagram to an address at which no
        process may listen.
        """
        state = self.state
        live = {state.table.records[name].member.address for name in state.table.live_others()}
        candidates = dict.fromkeys((*self.seeds, *self.old_addresses))
        missing = [address for address in candidates if address not in live]
        if not live:
            for address in missing[:SEEDS_PER_JOIN]:
                state.send(address, MessageKind.PULL)
        elif missing:
            state.send(state.random.choice(missing), MessageKind.PULL)
        state.timers[Timer.JOIN] = state.now + self.join_wait_ms * (0.5 + 0.5 * state.random.random())
        self.join_wait_ms = min(state.timing.seeds_most_ms, 2 * self.join_wait_ms)

    def member_joined(self) -> None:
        """Shorten the interval of attempts at seeds: a new live member may be the first of many."""
        self.join_wait_ms = min(self.join_wait_ms, self.state.timing.seeds_most_ms / 4)

    def member_returned(self, member: Member) -> None:
        """Pull the table of a member that is live again.

        It may know of all members on its side of a former partition.
        """
        state = self.state
        if state.now - self.pulled_at > state.timing.sync_ms:
            self.pulled_at = state.now
            state.send(member.address, MessageKind.PULL)

    def revive(self) -> None:
        """Ping one member that is not live, with the claim that it is not live.

        If the member is live after all, it refutes the claim, and both sides of a former partition discover
        each other. A dead member, whose end is not proved, also gets a connection probe; a member that
        announced its shutdown gets neither.
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
        """Remove members that have not been live for `forget_ms`, as periodic maintenance."""
        state = self.state
        state.timers[Timer.MAINTENANCE] = state.now + state.timing.forget_ms / REMOVALS_PER_FORGET
        for name in list(state.table.not_live):
            record = state.table.records[name]
            member = record.member
            if state.now - record.state_since > state.timing.forget_ms:
                if member.state is not MemberState.LEFT and member.address not in self.seeds:
                    self.old_addresses.append(member.address)
                state.table.remove(name)
