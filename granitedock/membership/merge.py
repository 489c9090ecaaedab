"""Merging claims of others: which are newer, what they change, and how those about ourselves are refuted."""

from __future__ import annotations

from granitedock.membership.member import LIVE_STATES, Member, MemberState, MemberUpdate
from granitedock.membership.member_table import MemberRecord
from granitedock.membership.member_updater import MemberUpdater
from granitedock.membership.probe_order import ProbeOrder
from granitedock.membership.protocol_state import ProtocolState
from granitedock.membership.suspicion import Suspicion
from granitedock.membership.timers import Timer

UNPROVED_ENDS = (MemberState.DEAD, MemberState.GONE)  # not announced by the member itself


class Merge:
    """Merges what others claim into the member table."""

    def __init__(
        self, state: ProtocolState, order: ProbeOrder, updater: MemberUpdater, suspicion: Suspicion
    ) -> None:
        self.state = state
        self.order = order
        self.updater = updater
        self.suspicion = suspicion

    def merge(self, update: MemberUpdate, from_page: bool, sender: str) -> None:
        """Take in a claim of `sender`, if it is newer than what is held.

        Guards, for a claim of a page, against the other side of a healed partition that would take our live
        members for dead: an end that the member did not announce itself is only a suspicion. Hurts: such an
        end is known a suspicion timeout later.
        """
        claim, state = update.member, self.state
        if claim.name == state.table.local.name:
            self.refute(claim)
            return
        record = state.table.records.get(claim.name)
        if record is None:
            if claim.state in LIVE_STATES or update.ended_ms_ago < state.timing.forget_ms:
                self.updater.add(update, sender)
            return
        held = record.member
        if claim.state is MemberState.SUSPECT and held.incarnation() == claim.incarnation():
            self.merge_suspicion(record, update.suspected_by or sender)
        elif claim.precedence() <= held.precedence():
            return
        elif from_page and claim.state in UNPROVED_ENDS and held.state in LIVE_STATES:
            if claim.incarnation() > held.incarnation():
                self.updater.apply(record, claim.with_state(MemberState.ALIVE))
            self.suspicion.accuse(record, sender)
        else:
            if claim.state is MemberState.SUSPECT:
                self.suspicion.begin(record, update.suspected_by or sender)
            self.updater.apply(record, claim, update.ended_ms_ago)
            state.queue.add(update if claim.state is not MemberState.ALIVE else MemberUpdate(claim))

    def merge_suspicion(self, record: MemberRecord, accuser: str) -> None:
        """Another suspects the incarnation that is held."""
        held = record.member
        if held.state in LIVE_STATES:
            if held.state is MemberState.ALIVE:
                self.probe_suspect(held.name)
            self.suspicion.accuse(record, accuser)

    def probe_suspect(self, name: str) -> None:
        """A few of those that hear of a suspicion probe the suspect out of turn.

        So a true suspicion is shared by enough to end it soon, and a false one is refuted by its target, at a
        load that does not grow with the group.
        """
        state = self.state
        members = len(state.table.live_others())
        if state.random.random() * members < 2 * state.timing.confirmations:
            self.order.urgent.append(name)

    def refute(self, claim: Member) -> None:
        """A claim about the local member: what is not so is refuted at once, under a newer incarnation."""
        state, local = self.state, self.state.table.local
        if local.state is MemberState.LEFT or claim.precedence() <= local.precedence():
            return
        if claim.state is not MemberState.ALIVE:  # else our own of before a restart, by a clock set back
            state.counts["refutations"] += 1
            state.awareness.degrade()
        state.table.local = local.refute(claim)
        state.queue.add(MemberUpdate(state.table.local))
        state.timers[Timer.GOSSIP] = state.now  # at once: a starved process may be paused before its turn
