"""Connection probes: two consecutive refusals prove that no process listens at a member's address."""

from __future__ import annotations

from granitedock.membership.member import ENDED_STATES, MemberState
from granitedock.membership.member_updater import MemberUpdater
from granitedock.membership.protocol_state import ProtocolState
from granitedock.membership.timers import NEVER, Timer


class ConnectionProbes:
    """Counts refusals: the first causes a second probe, and two at least `knock_ms` / 2 apart are proof."""

    def __init__(self, state: ProtocolState, updater: MemberUpdater) -> None:
        self.state = state
        self.updater = updater
        self.retry_addresses: list[str] = []  # Addresses to probe a second time.

    def reset(self) -> None:
        """Drop the outstanding second probes after a pause of this process."""
        self.retry_addresses = []

    def record_refusal(self, address: str) -> None:
        """Record that a probe of this address was refused, as no process listens there now.

        Two refusals, some time apart and without a message in between, prove that the process has ended. A
        single refusal is no proof, because the process may just be starting.
        """
        state = self.state
        record = state.table.records.get(state.table.by_address.get(address, ""))
        if record is None or record.member.state in ENDED_STATES:
            return
        if record.refusals and state.now - record.refused_at >= state.timing.knock_ms / 2:
            self.updater.apply(record, record.member.with_state(MemberState.GONE))
            state.queue.add(state.update_of(record))
        elif not record.refusals:
            record.refusals = 1
            record.refused_at = state.now
            self.retry_addresses.append(address)
            due = state.now + state.timing.knock_ms
            state.timers[Timer.CONNECTION_RETRY] = min(state.timers[Timer.CONNECTION_RETRY], due)

    def retry(self) -> None:
        """Send the second probes."""
        self.state.timers[Timer.CONNECTION_RETRY] = NEVER
        self.state.connection_probes += self.retry_addresses
        self.retry_addresses = []
