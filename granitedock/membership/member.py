"""What is known of one gateway of the fleet, and which of two things said of it is the newer."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum


class State(IntEnum):
    """In rising order: of two things said of the same incarnation, the higher holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # silent for longer than the suspicion lasts: dead, or behind a cut
    GONE = 3  # dead, and proved: its address refused twice, so no process listens there
    LEFT = 4  # it said so itself


LIVE = frozenset({State.ALIVE, State.SUSPECT})
OVER = frozenset({State.GONE, State.LEFT})  # known to serve no more, not only unheard


@dataclass(frozen=True, slots=True)
class Member:
    """One gateway. Its incarnation is (born, bump): when its process began, in Unix ms, and how often it has
    had to contradict what was said of it since. `seat` is its number among the gateways as the settings
    count them (-1: none), `settings` a number made of its settings, the same for all told the same."""

    name: str
    address: str  # "ip:port", as the others reach it
    born: int
    bump: int
    state: State
    seat: int = -1
    settings: int = 0

    def rank(self) -> tuple[int, int, int]:
        return (self.born, self.bump, self.state)

    def incarnation(self) -> tuple[int, int]:
        return (self.born, self.bump)

    def said(self, state: State) -> Member:
        return replace(self, state=state)

    def against(self, said: Member) -> Member:
        """Its own answer to what was said of it: alive, and newer than that. Guards also against a clock set
        back before a restart: an incarnation that others know as later is taken over and passed."""
        if said.incarnation() < self.incarnation():
            return self
        return replace(self, born=said.born, bump=said.bump + 1)


@dataclass(frozen=True, slots=True)
class News:
    """Something to tell of a member: who suspects it, and how long ago it ended (ms), where that applies."""

    member: Member
    by: str = ""
    age_ms: float = 0.0
