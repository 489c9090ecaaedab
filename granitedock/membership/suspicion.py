"""Suspicion: the sources of each suspicion, its timeout, and the declaration of a suspect as dead."""

from __future__ import annotations

import math

from granitedock.membership.member import MemberState
from granitedock.membership.member_table import MemberRecord
from granitedock.membership.member_updater import MemberUpdater
from granitedock.membership.protocol_state import ProtocolState


class Suspicion:
    """Declares suspects dead after a timeout that shrinks with the number of sources (Lifeguard)."""

    def __init__(self, state: ProtocolState, updater: MemberUpdater) -> None:
        self.state = state
        self.updater = updater

    def suspect(self, record: MemberRecord, source: str) -> None:
        """Record that `source`, the local or another member, suspects a live member."""
        state = self.state
        if record.member.state is MemberState.ALIVE:
            self.begin(record, source)
            self.updater.apply(record, record.member.with_state(MemberState.SUSPECT))
            state.queue.add(state.update_of(record, source))
        elif (
            source not in record.suspicion_sources
            and len(record.suspicion_sources) <= state.timing.confirmations
        ):
            record.suspicion_sources[source] = None
            state.queue.add(state.update_of(record, source))

    def begin(self, record: MemberRecord, source: str) -> None:
        """Start the suspicion of an incarnation, with its first source."""
        record.suspicion_sources = {source: None}
        record.suspected_at = self.state.now

    def timeout_ms(self, record: MemberRecord) -> float:
        """Return the suspicion timeout, which is longer the fewer sources a suspicion has (Lifeguard).

        A single source may itself be the slow member.
        """
        timing = self.state.timing
        max_confirmations = min(timing.confirmations, len(self.state.table.live_others()) - 1)
        if max_confirmations <= 0 or not timing.careful:
            return timing.suspect_ms
        confirmed_share = min(1.0, math.log(len(record.suspicion_sources)) / math.log(max_confirmations + 1))
        return timing.suspect_most_ms - (timing.suspect_most_ms - timing.suspect_ms) * confirmed_share

    def deadline(self, record: MemberRecord) -> float:
        """Return the time at which the suspect is declared dead."""
        return max(self.state.suspicion_suspended_until, record.suspected_at + self.timeout_ms(record))

    def check(self, name: str) -> None:
        """Declare a suspect dead if its suspicion timeout has expired."""
        state = self.state
        record = state.table.records[name]
        if state.now < self.deadline(record):
            return
        if record.last_message_at > record.suspected_at:
            # Prevents the declaration of a member as dead whose messages still arrive here while its
            # refutation is in transit; the cost is that a real failure is detected one timeout later.
            record.suspected_at = state.now
            state.ping(record, state.next_sequence_number())
            return
        self.updater.apply(record, record.member.with_state(MemberState.DEAD))
        state.queue.add(state.update_of(record))
