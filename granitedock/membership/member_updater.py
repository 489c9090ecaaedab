"""Changes to member records, with their effects on the queue, the probe order and the counters."""

from __future__ import annotations

from granitedock.membership.anti_entropy import AntiEntropy
from granitedock.membership.member import LIVE_STATES, Member, MemberChange, MemberState, MemberUpdate
from granitedock.membership.member_table import MemberRecord
from granitedock.membership.probe_order import ProbeOrder
from granitedock.membership.protocol_state import ProtocolState

# An ended process never becomes live again: a change of the same process from one of these states to a live
# state shows that the declaration of death was false.
FALSE_DEATH_STATES = (MemberState.DEAD, MemberState.GONE)


class MemberUpdater:
    """Adds members and changes their records."""

    def __init__(self, state: ProtocolState, order: ProbeOrder, anti_entropy: AntiEntropy) -> None:
        self.state = state
        self.order = order
        self.anti_entropy = anti_entropy

    def add(self, update: MemberUpdate, source: str) -> None:
        """Add a member that is not in the table.

        `source` is recorded as the source of a suspicion whose update names none.
        """
        state, member = self.state, update.member
        record = MemberRecord(member, state.now - update.ended_ms_ago)
        state.table.records[member.name] = record
        if member.state is MemberState.SUSPECT:
            record.suspicion_sources = {(update.suspected_by or source): None}
            record.suspected_at = state.now
        state.table.stale = True
        state.table.index(record)
        state.changes.append(MemberChange(member, None))
        if member.state in LIVE_STATES:
            state.queue.add(update)
            self.order.insert(member.name)
            self.anti_entropy.member_joined()

    def apply(self, record: MemberRecord, member: Member, ended_ms_ago: float = 0.0) -> None:
        """Replace the record of a known member by `member`."""
        state, before = self.state, record.member
        record.member = member
        record.state_since = state.now - ended_ms_ago
        if before.address != member.address:
            state.table.release_address(before)
        state.table.index(record)
        if before.state != member.state or before.started_at != member.started_at:
            self.report_change(before, member)
        if before.state not in LIVE_STATES and member.state in LIVE_STATES:
            self.order.insert(member.name)
            self.anti_entropy.member_returned(member)

    def report_change(self, before: Member, member: Member) -> None:
        """Report and count a change of a member's state or process."""
        state = self.state
        false_death = (
            before.state in FALSE_DEATH_STATES
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
