"""Merges claims of other members, and refutes claims about the local member."""

from __future__ import annotations

from granitedock.membership.member import LIVE_STATES, Member, MemberState, MemberUpdate
from granitedock.membership.member_table import MemberRecord
from granitedock.membership.member_updater import MemberUpdater
from granitedock.membership.probe_order import ProbeOrder
from granitedock.membership.protocol_state import ProtocolState
from granitedock.membership.suspicion import Suspicion
from granitedock.membership.timers import Timer

UNANNOUNCED_END_STATES = (MemberState.DEAD, MemberState.GONE)  # The member did not announce these itself.


class Merge:
    """Merges the claims of other members into the member table."""

    def __init__(
        self, state: ProtocolState, order: ProbeOrder, updater: MemberUpdater, suspicion: Suspicion
    ) -> None:
        self.state = state
        self.order = order
        self.updater = updater
        self.suspicion = suspicion

    def merge(self, update: MemberUpdate, from_page: bool, sender: str) -> None:
        """Merge a claim of `sender` if it is newer than the local record.

        In a page, an end that the member did not announce itself counts only as a suspicion. Prevents live
        members from being declared dead by the other side of a healed partition; the cost is that such an end
        is known one suspicion timeout later.
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
        known = record.member
        if claim.state is MemberState.SUSPECT and known.incarnation() == claim.incarnation():
            self.merge_suspicion(record, update.suspected_by or sender)
        elif claim.precedence() <= known.precedence():
            return
        elif from_page and claim.state in UNANNOUNCED_END_STATES and known.state in LIVE_STATES:
            if claim.incarnation() > known.incarnation():
                self.updater.apply(record, claim.with_state(MemberState.ALIVE))
            self.suspicion.suspect(record, sender)
        else:
            if claim.state is MemberState.SUSPECT:
                self.suspicion.begin(record, update.suspected_by or sender)
            self.updater.apply(record, claim, update.ended_ms_ago)
            state.queue.add(update if claim.state is not MemberState.ALIVE else MemberUpdate(claim))

    def merge_suspicion(self, record: MemberRecord, source: str) -> None:
        """Merge a suspicion of the incarnation that the local table has."""
        known = record.member
        if known.state in LIVE_STATES:
            if known.state is MemberState.ALIVE:
                self.probe_suspect(known.name)
            self.suspicion.suspect(record, source)

    def probe_suspect(self, name: str) -> None:
        """Probe a suspect out of turn, at a few of the members that receive the suspicion.

        A true suspicion is thus confirmed by enough sources to end it soon, and a false one is refuted by its
        target. The load does not grow with the size of the cluster.
        """
        state = self.state
        members = len(state.table.live_others())
        if state.random.random() * members < 2 * state.timing.confirmations:
            self.order.urgent.append(name)

    def refute(self, claim: Member) -> None:
        """Refute a false claim about the local member at once, under a newer incarnation."""
        state, local = self.state, self.state.table.local
        if local.state is MemberState.LEFT or claim.precedence() <= local.precedence():
            return
        # A claim of the alive state is this gateway's own from before a restart, if the clock was set back.
        if claim.state is not MemberState.ALIVE:
            state.counts["refutations"] += 1
            state.awareness.degrade()
        state.table.local = local.refute(claim)
        state.queue.add(MemberUpdate(state.table.local))
        # Without delay: a process that lacks CPU time may be paused before the next gossip interval.
        state.timers[Timer.GOSSIP] = state.now
