"""The record of one member, and the order that decides which of two claims about it is newer."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum


class MemberState(IntEnum):
    """In ascending order: of two claims about the same incarnation, the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # Suspicion timeout expired: the process has ended, or a partition separates it.
    GONE = 3  # Proved dead: its address refused two connection probes, so no process listens there.
    LEFT = 4  # Announced its own shutdown.


LIVE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})
# The process is known to have ended; DEAD only means that no messages arrive.
ENDED_STATES = frozenset({MemberState.GONE, MemberState.LEFT})


@dataclass(frozen=True, slots=True)
class Member:
    """One gateway. Its incarnation is the pair of `started_at` and `refutations`.

    `started_at` is the start time of its process (Unix ms), and `refutations` counts the claims about itself
    that it has refuted since. `slot` is its number among the gateways in the settings (-1: none).
    `settings_checksum` is equal for all gateways with the same settings.
    """

    name: str
    address: str  # "ip:port" at which other members reach it.
    started_at: int
    refutations: int
    state: MemberState
    slot: int = -1
    settings_checksum: int = 0

    def precedence(self) -> tuple[int, int, int]:
        """Return the sort key of claims: of two claims about a member, the greater one wins."""
        return (self.started_at, self.refutations, self.state)

    def incarnation(self) -> tuple[int, int]:
        """Return the incarnation, which a later process or a refutation makes greater."""
        return (self.started_at, self.refutations)

    def with_state(self, state: MemberState) -> Member:
        """Return the same incarnation in another state."""
        return replace(self, state=state)

    def refute(self, claim: Member) -> Member:
        """Refute a claim about this member by an incarnation newer than the claim's.

        Prevents a restarted process from remaining dead after its clock was set back: the later incarnation
        that other members know is adopted and exceeded. This has no cost, because an older claim changes
        nothing.
        """
        if claim.incarnation() < self.incarnation():
            return self
        return replace(self, started_at=claim.started_at, refutations=claim.refutations + 1)


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """A claim about a member, as gossip carries it.

    `suspected_by` names the source of a suspicion, and `ended_ms_ago` is the age of an end; each is set only
    where it applies.
    """

    member: Member
    suspected_by: str = ""
    ended_ms_ago: float = 0.0


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of a member's local record; `previous` is None for a new member.

    With `false_death` the member was recorded as dead or gone although it was live.
    """

    member: Member
    previous: MemberState | None
    false_death: bool = False
