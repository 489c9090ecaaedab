"""One gateway as a member, without I/O: the protocol, and the member slots that are counted by it.

The UDP transport and the simulator drive this one object in the same way: an input with the time, then
`take_effects` gives what is to be sent, probed and logged, and `due` says when to call again.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from granitedock.membership.member import Member, MemberChange
from granitedock.membership.member_slots import MemberSlots
from granitedock.membership.membership import Membership
from granitedock.membership.messages import Message
from granitedock.membership.timing import Timing

RENEWALS_PER_LEASE = 4  # proofs of empty slots are renewed so often


@dataclass(frozen=True, slots=True)
class Effects:
    """What the inputs since the last call brought about."""

    sends: list[tuple[str, Message]]  # with the address
    connection_probes: list[str]  # addresses
    changes: list[MemberChange]


class LocalMember:
    """`gateways` is how many the settings count, `seeds` are addresses. Times are ms of one steady clock."""

    def __init__(  # noqa: PLR0913 - what a member is made of, each once
        self,
        local: Member,
        timing: Timing,
        seeds: tuple[str, ...],
        gateways: int,
        now: float,
        random: Random,
        cluster: str,
    ) -> None:
        self.timing = timing
        self.membership = Membership(local, timing, seeds, now, random, cluster)
        self.slots = MemberSlots(timing, gateways, local.settings_checksum)
        self.pause_count = 0  # of this process, as far as the slots know

    def tick(self, now: float) -> None:
        """Whatever is due by now."""
        self.membership.tick(now)

    def receive(self, now: float, message: Message) -> None:
        """A message of this cluster came."""
        self.membership.receive(now, message)

    def connection_refused(self, now: float, address: str) -> None:
        """A connection probe of this address was refused."""
        self.slots.connection_refused(now, address)
        self.membership.connection_refused(now, address)

    def leave(self, now: float) -> None:
        """Announce the end of this process."""
        self.membership.leave(now)

    def take_effects(self, now: float) -> Effects:
        """What the inputs since the last call brought about, for the transport to carry out."""
        state = self.membership.state
        if state.counts["slept"] != self.pause_count:
            self.pause_count = state.counts["slept"]
            self.slots.process_paused(now)
        for change in state.changes:
            self.slots.member_changed(now, change)
        addresses = dict.fromkeys((*state.connection_probes, *self.slots.due_probes(now)))
        effects = Effects(state.sends, list(addresses), state.changes)
        state.sends = []
        state.connection_probes = []
        state.changes = []
        return effects

    def next_tick_at(self, now: float) -> float:
        """When `tick` is due, if no input comes before."""
        due = self.membership.next_tick_at()
        return min(due, now + self.timing.lease_ms / RENEWALS_PER_LEASE) if self.slots.vacancies else due

    def active_members(self, now: float, subset_start: int, subset_size: int) -> int:
        """How many gateways of a customer's subset may be serving (policy's `MembershipPort`).

        Guards against a process that was paused and serves before the protocol has seen the gap: where its
        own timer is overdue, no share is taken over. Hurts: a smaller share for one input's time.
        """
        if now - self.membership.expected_at > self.timing.gap_ms:
            return subset_size
        return self.slots.active_members(now, subset_start, subset_size)
