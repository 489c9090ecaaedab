"""What is known of one member, and which of two claims about it is the newer."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum


class MemberState(IntEnum):
    """In rising order: of two claims about the same incarnation, the higher state holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # silent for longer than the suspicion timeout: dead, or behind a partition
    GONE = 3  # dead, and proved: its address refused two connection probes, so no process listens there
    LEFT = 4  # it announced its own shutdown


LIVE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})
ENDED_STATES = frozenset({MemberState.GONE, MemberState.LEFT})  # known to serve no more, not only unheard


@dataclass(frozen=True, slots=True)
class Member:
    """One gateway. Its incarnation is the pair of `started_at` and `refutations`.

    `started_at` is when its process began (Unix ms), `refutations` how many claims about itself it has had to
    refute since. `slot` is its number among the gateways as the settings count them (-1: none),
    `settings_checksum` the same for all gateways with the same settings.
    """

    name: str
    address: str  # "ip:port", as the others reach it
    started_at: int
    refutations: int
    state: MemberState
    slot: int = -1
    settings_checksum: int = 0

    def precedence(self) -> tuple[int, int, int]:
        """Of two claims about a member, the one with the greater precedence holds."""
        return (self.started_at, self.refutations, self.state)

    def incarnation(self) -> tuple[int, int]:
        """Ordered: a later process, or a refutation, is a newer incarnation."""
        return (self.started_at, self.refutations)

    def with_state(self, state: MemberState) -> Member:
        """The same incarnation in another state."""
        return replace(self, state=state)

    def refute(self, claim: Member) -> Member:
        """Answer a claim about this member itself by an incarnation newer than the claim's.

        Guards against a clock set back before a restart: an incarnation that others know as later is taken
        over and passed. Hurts nothing else: an older claim changes nothing.
        """
        if claim.incarnation() < self.incarnation():
            return self
        return replace(self, started_at=claim.started_at, refutations=claim.refutations + 1)


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """A claim about a member that is gossiped; who suspects it or how long ago it ended, where it applies."""

    member: Member
    suspected_by: str = ""
    ended_ms_ago: float = 0.0


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A member's record changed locally. `previous` is None for one not known before.

    `false_death`: it had been held for dead or gone and was not.
    """

    member: Member
    previous: MemberState | None
    false_death: bool = False
