"""The number of gateways by which a customer's quota share is divided, from membership and local probes.

A gateway's share is taken over only while this gateway itself keeps proving that no process listens at that
gateway's address (the kernel there refuses a connection probe), and once this has been so for `settle_ms`.
Missing messages prove nothing, because the other gateway may be behind a partition and serving its share;
gossip proves nothing either. Therefore neither a partition nor the claims of other members ever raise the
amount that this gateway sends. Without such a proof the result is the whole subset, exactly as without
membership. No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitedock.membership.member import ENDED_STATES, LIVE_STATES, Member, MemberChange, MemberState
from granitedock.membership.timers import LONG_AGO
from granitedock.membership.timing import Timing

# If more slots are vacant than can be proved within a lease, the rest count as occupied.
MAX_PROBES_PER_INPUT = 8
RENEWALS_PER_LEASE = 4
PROOFS_PER_GATEWAY = 4  # Addresses stored with their last refusal.


@dataclass(slots=True)
class Vacancy:
    """A slot whose gateway is known to have ended; times in ms."""

    address: str
    since: float
    probed_at: float = LONG_AGO
    proved_at: float = LONG_AGO


class MemberSlots:
    """The slots of the gateways, as this gateway knows them.

    `gateways` is the number of gateways in the settings, and `settings_checksum` is that of this gateway's
    own settings.
    """

    def __init__(self, timing: Timing, gateways: int, settings_checksum: int) -> None:
        self.timing = timing
        self.gateways = max(1, gateways)
        self.settings_checksum = settings_checksum
        self.holders: dict[int, set[str]] = {}  # The live members of each slot.
        self.other_settings: set[str] = set()  # Live members with other settings.
        self.vacancies: dict[int, Vacancy] = {}
        # Slots once occupied whose gateway did not announce its end, with the time of the end.
        self.ended_unannounced: dict[int, float] = {}
        self.refused_at: dict[str, float] = {}  # When each address last refused a probe.
        self.takeover_suspended_until = LONG_AGO

    def member_changed(self, now: float, change: MemberChange) -> None:
        """Update the slots after a change of a member's record."""
        member = change.member
        live = member.state in LIVE_STATES
        if live and member.settings_checksum != self.settings_checksum:
            # Prevents takeovers during a change of the settings, because the other gateway may number the
            # slots differently; the cost is that no share is taken over in that time.
            self.other_settings.add(member.name)
        else:
            self.other_settings.discard(member.name)
        if not 0 <= member.slot < self.gateways:
            return
        if live:
            self.holders.setdefault(member.slot, set()).add(member.name)
            self.vacancies.pop(member.slot, None)
            self.ended_unannounced.pop(member.slot, None)
        else:
            self.member_ended(now, member)

    def member_ended(self, now: float, member: Member) -> None:
        """Update the slot of a member that is no longer live."""
        holders = self.holders.setdefault(member.slot, set())
        was_holder = member.name in holders
        holders.discard(member.name)
        if holders:
            return
        if member.state is MemberState.LEFT:
            self.ended_unannounced.pop(member.slot, None)
        elif was_holder:
            self.ended_unannounced[member.slot] = now
        if member.state in ENDED_STATES and member.settings_checksum == self.settings_checksum:
            proved_at = self.refused_at.get(member.address, LONG_AGO)
            self.vacancies.setdefault(member.slot, Vacancy(member.address, now, proved_at=proved_at))

    def process_paused(self, now: float) -> None:
        """Suspend takeovers after a gap in the local clock, until membership has settled again.

        Proofs from before the gap are no longer valid.
        """
        self.takeover_suspended_until = now + self.timing.settle_ms

    def connection_refused(self, now: float, address: str) -> None:
        """Record that a connection probe of this address was refused."""
        if len(self.refused_at) > PROOFS_PER_GATEWAY * self.gateways:
            # Prevents unbounded growth as addresses change; the cost is that proofs must be obtained again.
            self.refused_at.clear()
        self.refused_at[address] = now
        for vacancy in self.vacancies.values():
            if vacancy.address == address:
                vacancy.proved_at = now

    def due_probes(self, now: float) -> list[str]:
        """Return the addresses whose proofs are to be renewed now, the least recently probed first."""
        interval = self.timing.lease_ms / RENEWALS_PER_LEASE
        due = [vacancy for vacancy in self.vacancies.values() if now - vacancy.probed_at >= interval]
        due.sort(key=lambda vacancy: vacancy.probed_at)
        chosen = due[:MAX_PROBES_PER_INPUT]
        for vacancy in chosen:
            vacancy.probed_at = now
        return [vacancy.address for vacancy in chosen]

    def is_vacant(self, now: float, slot: int) -> bool:
        """Return whether the slot's share may be taken over."""
        vacancy = self.vacancies.get(slot)
        return (
            vacancy is not None
            and now >= vacancy.since + self.timing.settle_ms
            and now <= vacancy.proved_at + self.timing.lease_ms
        )

    def silent_slots(self, now: float) -> dict[int, float]:
        """Return the slots whose gateway may be serving unseen, with the time when its end was recorded.

        The gateway did not announce its end, and no fresh connection probe from here proves that no process
        listens at its address.
        """
        lease_ms = self.timing.lease_ms
        proved = {slot for slot, vacancy in self.vacancies.items() if now <= vacancy.proved_at + lease_ms}
        return {slot: since for slot, since in self.ended_unannounced.items() if slot not in proved}

    def active_members(self, now: float, subset_start: int, subset_size: int) -> int:
        """Return how many of the `subset_size` gateways from slot `subset_start` on may be serving.

        The subset continues with slot 0 after the last slot.
        """
        if not self.vacancies or self.other_settings or now < self.takeover_suspended_until:
            return subset_size
        slots = ((subset_start + n) % self.gateways for n in range(min(subset_size, self.gateways)))
        vacant = sum(self.is_vacant(now, slot) for slot in slots)
        return max(1, subset_size - vacant)
