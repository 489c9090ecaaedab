"""Suspicion: who is suspected by whom, for how long, and when a suspect is declared dead."""

from __future__ import annotations

import math

from granitedock.membership.member import MemberState
from granitedock.membership.member_table import MemberRecord
from granitedock.membership.member_updater import MemberUpdater
from granitedock.membership.protocol_state import ProtocolState


class Suspicion:
    """Suspects are declared dead after a timeout that shrinks with the number of accusers (Lifeguard)."""

    def __init__(self, state: ProtocolState, updater: MemberUpdater) -> None:
        self.state = state
        self.updater = updater

    def accuse(self, record: MemberRecord, accuser: str) -> None:
        """A live member is suspected by `accuser`, this one or another."""
        state = self.state
        if record.member.state is MemberState.ALIVE:
            self.begin(record, accuser)
            self.updater.apply(record, record.member.with_state(MemberState.SUSPECT))
            state.queue.add(state.update_of(record, accuser))
        elif accuser not in record.accusers and len(record.accusers) <= state.timing.confirmations:
            record.accusers[accuser] = None
            state.queue.add(state.update_of(record, accuser))

    def begin(self, record: MemberRecord, accuser: str) -> None:
        """The first accusation of this incarnation."""
        record.accusers = {accuser: None}
        record.suspected_at = self.state.now

    def timeout_ms(self, record: MemberRecord) -> float:
        """How long this suspicion lasts: the fewer accusers, the longer (Lifeguard).

        A single accuser may itself be the one that is unwell.
        """
        timing = self.state.timing
        most = min(timing.confirmations, len(self.state.table.live_others()) - 1)
        if most <= 0 or not timing.careful:
            return timing.suspect_ms
        shared = min(1.0, math.log(len(record.accusers)) / math.log(most + 1))
        return timing.suspect_most_ms - (timing.suspect_most_ms - timing.suspect_ms) * shared

    def deadline(self, record: MemberRecord) -> float:
        """When the suspect is declared dead."""
        return max(self.state.suspend_until, record.suspected_at + self.timeout_ms(record))

    def check(self, name: str) -> None:
        """Declare a suspect dead if its timeout is over."""
        state = self.state
        record = state.table.records[name]
        if state.now < self.deadline(record):
            return
        if record.heard_at > record.suspected_at:
            # Guards against declaring a member dead that sends to us while its refutation is on its way.
            # Hurts: its end is known a timeout later.
            record.suspected_at = state.now
            state.ping(record, state.next_sequence_number())
            return
        self.updater.apply(record, record.member.with_state(MemberState.DEAD))
        state.queue.add(state.update_of(record))
