"""By how many gateways of a customer's subset its quota share is divided, from membership and own probes.

A share is taken over from a gateway only while this gateway itself proves again and again that no process
listens at that gateway's address (the kernel there refuses a connection probe), and once that has stood for
`settle_ms`. Silence proves nothing (the other may be behind a partition, serving its share), and neither does
gossip: so neither a partition nor what others claim ever raises what this gateway sends. Without any such
proof the answer is the whole subset, exactly as without membership. No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitedock.membership.member import ENDED_STATES, LIVE_STATES, Member, MemberChange, MemberState
from granitedock.membership.timers import LONG_AGO
from granitedock.membership.timing import Timing

MAX_PROBES_PER_INPUT = 8  # with more slots vacant than can be proved in a lease, the rest count as held
RENEWALS_PER_LEASE = 4
PROOFS_PER_GATEWAY = 4  # addresses kept with their last refusal


@dataclass(slots=True)
class Vacancy:
    """A slot whose gateway is known to have ended; times in ms."""

    address: str
    since: float
    probed_at: float = LONG_AGO
    proved_at: float = LONG_AGO


class MemberSlots:
    """The slots of the gateways, as this one knows them.

    `gateways` is how many the settings count, `settings_checksum` that of this gateway's own settings.
    """

    def __init__(self, timing: Timing, gateways: int, settings_checksum: int) -> None:
        self.timing = timing
        self.gateways = max(1, gateways)
        self.settings_checksum = settings_checksum
        self.holders: dict[int, set[str]] = {}  # the live members of each slot
        self.other_settings: set[str] = set()  # live members with other settings
        self.vacancies: dict[int, Vacancy] = {}
        self.ended_unannounced: dict[
            int, float
        ] = {}  # slots once held, whose gateway did not announce its end
        self.refused_at: dict[str, float] = {}  # when an address last refused a probe
        self.takeover_suspended_until = LONG_AGO

    def member_changed(self, now: float, change: MemberChange) -> None:
        """A member's record changed."""
        member = change.member
        live = member.state in LIVE_STATES
        if live and member.settings_checksum != self.settings_checksum:
            # Guards against a change of the settings that is under way: slots may be counted otherwise there.
            # Hurts: no share is taken over meanwhile.
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
        """A member of one of the slots is no longer live."""
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
        """After a gap in our own clock, old proofs count for nothing until membership has settled anew."""
        self.takeover_suspended_until = now + self.timing.settle_ms

    def connection_refused(self, now: float, address: str) -> None:
        """A connection probe of this address was refused."""
        if len(self.refused_at) > PROOFS_PER_GATEWAY * self.gateways:
            # Guards the memory, as addresses come and go. Hurts: proofs are looked for anew.
            self.refused_at.clear()
        self.refused_at[address] = now
        for vacancy in self.vacancies.values():
            if vacancy.address == address:
                vacancy.proved_at = now

    def due_probes(self, now: float) -> list[str]:
        """The addresses whose proof is to be renewed now, those probed longest ago first."""
        interval = self.timing.lease_ms / RENEWALS_PER_LEASE
        due = [vacancy for vacancy in self.vacancies.values() if now - vacancy.probed_at >= interval]
        due.sort(key=lambda vacancy: vacancy.probed_at)
        chosen = due[:MAX_PROBES_PER_INPUT]
        for vacancy in chosen:
            vacancy.probed_at = now
        return [vacancy.address for vacancy in chosen]

    def is_vacant(self, now: float, slot: int) -> bool:
        """Whether the slot's share may be taken over."""
        vacancy = self.vacancies.get(slot)
        return (
            vacancy is not None
            and now >= vacancy.since + self.timing.settle_ms
            and now <= vacancy.proved_at + self.timing.lease_ms
        )

    def silent_slots(self, now: float) -> dict[int, float]:
        """Slots whose gateway may be serving where we cannot hear it, and since when it was held dead.

        It did not announce its end, and no fresh probe of ours proves that nobody listens there.
        """
        lease_ms = self.timing.lease_ms
        proved = {slot for slot, vacancy in self.vacancies.items() if now <= vacancy.proved_at + lease_ms}
        return {slot: since for slot, since in self.ended_unannounced.items() if slot not in proved}

    def active_members(self, now: float, subset_start: int, subset_size: int) -> int:
        """How many of the `subset_size` gateways from slot `subset_start` on, wrapping, may be serving."""
        if not self.vacancies or self.other_settings or now < self.takeover_suspended_until:
            return subset_size
        slots = ((subset_start + n) % self.gateways for n in range(min(subset_size, self.gateways)))
        vacant = sum(self.is_vacant(now, slot) for slot in slots)
        return max(1, subset_size - vacant)
