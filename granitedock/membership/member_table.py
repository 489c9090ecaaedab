"""The table of members: this gateway's own record, those of the others, and indexes over them."""

from __future__ import annotations

from dataclasses import dataclass, field

from granitedock.membership.member import LIVE_STATES, Member, MemberState
from granitedock.membership.timers import LONG_AGO


@dataclass(slots=True)
class MemberRecord:
    """Another member, and what this one observed of it directly; times are ms of the protocol's clock."""

    member: Member
    since: float  # when it entered its state
    heard_at: float = LONG_AGO  # its newest message
    accusers: dict[str, None] = field(default_factory=dict)  # members that suspect it, in order
    suspected_at: float = 0.0
    refusals: int = 0  # connection probes refused in a row since it was last heard
    refused_at: float = LONG_AGO


class MemberTable:
    """All members by name. `live` and `names` are made anew when `stale`: use the methods."""

    def __init__(self, local: Member) -> None:
        self.local = local
        self.records: dict[str, MemberRecord] = {}
        self.by_address: dict[str, str] = {}
        self.suspects: dict[str, None] = {}
        self.not_live: dict[str, None] = {}  # dead, gone and left
        self.live: list[str] = []
        self.names: list[str] = []
        self.stale = True

    def refresh(self) -> None:
        """Make the lists of names anew, if a member came, went or changed its state."""
        if self.stale:
            self.stale = False
            self.live = [name for name, record in self.records.items() if record.member.state in LIVE_STATES]
            self.names = sorted([self.local.name, *self.records])

    def live_others(self) -> list[str]:
        """The names of the live members, without the local one."""
        self.refresh()
        return self.live

    def all_names(self) -> list[str]:
        """The names of all known members, the local one among them, sorted."""
        self.refresh()
        return self.names

    def index(self, record: MemberRecord) -> None:
        """Bring the indexes up to a record that is new or changed."""
        member = record.member
        self.by_address[member.address] = member.name
        self.suspects.pop(member.name, None)
        self.not_live.pop(member.name, None)
        if member.state is MemberState.SUSPECT:
            self.suspects[member.name] = None
        elif member.state is not MemberState.ALIVE:
            self.not_live[member.name] = None

    def release_address(self, member: Member) -> None:
        """The member is no longer at its address."""
        if self.by_address.get(member.address) == member.name:
            del self.by_address[member.address]

    def remove(self, name: str) -> None:
        """Forget a member that is not live."""
        member = self.records[name].member
        del self.records[name], self.not_live[name]
        self.release_address(member)
        self.stale = True
