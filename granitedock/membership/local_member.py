"""One gateway as a member, without I/O: the protocol, and the member slots that follow from its changes.

The UDP transport and the simulator use this object in the same way: they pass it inputs with the time, take
what is to be sent, probed and logged with `take_effects`, and call `tick` at `next_tick_at`.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from granitedock.membership.member import Member, MemberChange
from granitedock.membership.member_slots import MemberSlots
from granitedock.membership.membership import Membership
from granitedock.membership.messages import Message
from granitedock.membership.timing import Timing

RENEWALS_PER_LEASE = 4  # Renewals of the proof that a slot is vacant.


@dataclass(frozen=True, slots=True)
class Effects:
    """The effects of the inputs since the previous call."""

    sends: list[tuple[str, Message]]  # Each with its address.
    connection_probes: list[str]  # Addresses.
    changes: list[MemberChange]


class LocalMember:
    """Joins the protocol and the member slots of one gateway.

    `gateways` is the number of gateways in the settings, and `seeds` are addresses. Times are ms of one
    steady clock.
    """

    def __init__(  # noqa: PLR0913 - each argument is one part of the member
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
        self.pause_count = 0  # Pauses of this process that were reported to the slots.

    def tick(self, now: float) -> None:
        """Run every timer that has expired by `now`."""
        self.membership.tick(now)

    def receive(self, now: float, message: Message) -> None:
        """Handle a message of this cluster."""
        self.membership.receive(now, message)

    def connection_refused(self, now: float, address: str) -> None:
        """Record that a connection probe of this address was refused."""
        self.slots.connection_refused(now, address)
        self.membership.connection_refused(now, address)

    def leave(self, now: float) -> None:
        """Announce the shutdown of this process."""
        self.membership.leave(now)

    def take_effects(self, now: float) -> Effects:
        """Return the effects of the inputs since the previous call, for the transport to execute."""
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
        """Return the time by which `tick` must be called if there is no input before."""
        due = self.membership.next_tick_at()
        return min(due, now + self.timing.lease_ms / RENEWALS_PER_LEASE) if self.slots.vacancies else due

    def active_members(self, now: float, subset_start: int, subset_size: int) -> int:
        """Return how many gateways of a customer's subset may be serving (policy's `MembershipPort`).

        No share is taken over while the protocol's own timer is overdue. Prevents a takeover by a process
        that was paused and serves requests before the protocol has detected the gap; the cost is a smaller
        share until the next input.
        """
        if now - self.membership.expected_at > self.timing.gap_ms:
            return subset_size
        return self.slots.active_members(now, subset_start, subset_size)
