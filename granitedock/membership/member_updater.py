"""Changes of a member's record, with what each brings about."""

from __future__ import annotations

from granitedock.membership.anti_entropy import AntiEntropy
from granitedock.membership.member import LIVE_STATES, Member, MemberChange, MemberState, MemberUpdate
from granitedock.membership.member_table import MemberRecord
from granitedock.membership.probe_order import ProbeOrder
from granitedock.membership.protocol_state import ProtocolState

FALSE_WHEN_ALIVE = (MemberState.DEAD, MemberState.GONE)  # from which no process comes back


class MemberUpdater:
    """Adds members and changes their records."""

    def __init__(self, state: ProtocolState, order: ProbeOrder, anti_entropy: AntiEntropy) -> None:
        self.state = state
        self.order = order
        self.anti_entropy = anti_entropy

    def add(self, update: MemberUpdate, accuser: str) -> None:
        """A member that was not known; `accuser` suspects it where the update names nobody."""
        state, member = self.state, update.member
        record = MemberRecord(member, state.now - update.ended_ms_ago)
        state.table.records[member.name] = record
        if member.state is MemberState.SUSPECT:
            record.accusers = {(update.suspected_by or accuser): None}
            record.suspected_at = state.now
        state.table.stale = True
        state.table.index(record)
        state.changes.append(MemberChange(member, None))
        if member.state in LIVE_STATES:
            state.queue.add(update)
            self.order.insert(member.name)
            self.anti_entropy.member_joined()

    def apply(self, record: MemberRecord, member: Member, ended_ms_ago: float = 0.0) -> None:
        """A known member's record becomes `member`."""
        state, before = self.state, record.member
        record.member = member
        record.since = state.now - ended_ms_ago
        if before.address != member.address:
            state.table.release_address(before)
        state.table.index(record)
        if before.state != member.state or before.started_at != member.started_at:
            self.note_change(before, member)
        if before.state not in LIVE_STATES and member.state in LIVE_STATES:
            self.order.insert(member.name)
            self.anti_entropy.member_returned(member)

    def note_change(self, before: Member, member: Member) -> None:
        """Report and count a change of state or process."""
        state = self.state
        false_death = (
            before.state in FALSE_WHEN_ALIVE
            and member.state in LIVE_STATES
            and before.started_at == member.started_at
        )
        state.table.stale = True
        state.changes.append(MemberChange(member, before.state, false_death))
        if member.state is MemberState.SUSPECT:
            state.counts["suspicions"] += 1
        elif before.state is MemberState.SUSPECT and member.state is MemberState.ALIVE:
            state.counts["false_suspicions"] += 1
        state.counts["false_deaths"] += false_death
