"""The member table: the gateway's own record, the records of the other members, and indexes over them."""

from __future__ import annotations

from dataclasses import dataclass, field

from granitedock.membership.member import LIVE_STATES, Member, MemberState
from granitedock.membership.timers import LONG_AGO


@dataclass(slots=True)
class MemberRecord:
    """Another member and the direct observations of it; times are ms of the protocol's clock."""

    member: Member
    state_since: float  # When the member entered its state.
    last_message_at: float = LONG_AGO  # When its newest message arrived.
    suspicion_sources: dict[str, None] = field(default_factory=dict)  # Members that suspect it, in order.
    suspected_at: float = 0.0
    refusals: int = 0  # Consecutive refused connection probes since its last message.
    refused_at: float = LONG_AGO


class MemberTable:
    """All members by name.

    `live` and `names` are computed again when `stale` is set: read them through the methods.
    """

    def __init__(self, local: Member) -> None:
        self.local = local
        self.records: dict[str, MemberRecord] = {}
        self.by_address: dict[str, str] = {}
        self.suspects: dict[str, None] = {}
        self.not_live: dict[str, None] = {}  # In the states dead, gone and left.
        self.live: list[str] = []
        self.names: list[str] = []
        self.stale = True

    def refresh(self) -> None:
        """Compute the lists of names again if a member was added, removed or changed its state."""
        if self.stale:
            self.stale = False
            self.live = [name for name, record in self.records.items() if record.member.state in LIVE_STATES]
            self.names = sorted([self.local.name, *self.records])

    def live_others(self) -> list[str]:
        """Return the names of the live members, without the local one."""
        self.refresh()
        return self.live

    def all_names(self) -> list[str]:
        """Return the sorted names of all known members, with the local one."""
        self.refresh()
        return self.names

    def index(self, record: MemberRecord) -> None:
        """Update the indexes for a record that is new or changed."""
        member = record.member
        self.by_address[member.address] = member.name
        self.suspects.pop(member.name, None)
        self.not_live.pop(member.name, None)
        if member.state is MemberState.SUSPECT:
            self.suspects[member.name] = None
        elif member.state is not MemberState.ALIVE:
            self.not_live[member.name] = None

    def release_address(self, member: Member) -> None:
        """Remove the index entry of an address that a member no longer has."""
        if self.by_address.get(member.address) == member.name:
            del self.by_address[member.address]

    def remove(self, name: str) -> None:
        """Remove a member that is not live."""
        member = self.records[name].member
        del self.records[name], self.not_live[name]
        self.release_address(member)
        self.stale = True
