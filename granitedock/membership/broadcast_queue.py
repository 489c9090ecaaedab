"""The queue of updates to gossip: each is sent a limited number of times, the least sent first."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass

from granitedock.membership.member import MemberUpdate

BASE_TRANSMITS = 8  # The natural logarithm of the number of members is added to this.
MAX_UPDATES_PER_DATAGRAM = 40  # Updates considered for one datagram.


def transmit_limit(members: int) -> int:
    """Return how often one member sends an update in a cluster of `members`.

    If each member sends an update T times to random targets, a member misses it with probability e^-T. The
    limit thus lets one update in e^8 miss any member, whatever the size of the cluster; anti-entropy repairs
    that.
    """
    return math.ceil(BASE_TRANSMITS + math.log(members + 1))


@dataclass(slots=True)
class Broadcast:
    """A queued update and the number of its transmissions; `order` is its position in the queue."""

    transmits: int
    order: int
    update: MemberUpdate


def least_sent_first(broadcast: Broadcast) -> tuple[int, int]:
    """Return the sort key of the queue."""
    return (broadcast.transmits, broadcast.order)


class BroadcastQueue:
    """The updates that a member still has to send.

    A newer update of a member replaces all its older ones. Suspicions of the same incarnation from several
    sources are queued side by side.
    """

    def __init__(self) -> None:
        self.broadcasts: dict[str, list[Broadcast]] = {}  # By member name.
        self.sequence = 0

    def __len__(self) -> int:
        """Return the number of members with queued updates."""
        return len(self.broadcasts)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update and drop those that it supersedes."""
        self.sequence += 1
        precedence = update.member.precedence()
        kept = [
            broadcast
            for broadcast in self.broadcasts.get(update.member.name, ())
            if broadcast.update.member.precedence() == precedence
            and broadcast.update.suspected_by != update.suspected_by
        ]
        self.broadcasts[update.member.name] = [*kept, Broadcast(0, self.sequence, update)]

    def take(self, budget: float, members: int, size: Callable[[MemberUpdate], int]) -> list[MemberUpdate]:
        """Return as many updates as fit into `budget` bytes, with their sizes from `size`.

        Each returned update counts as sent once more.
        """
        chosen: list[MemberUpdate] = []
        limit = transmit_limit(members)
        used_bytes = 0
        waiting = (broadcast for queued in self.broadcasts.values() for broadcast in queued)
        for broadcast in heapq.nsmallest(MAX_UPDATES_PER_DATAGRAM, waiting, key=least_sent_first):
            used_bytes += size(broadcast.update)
            if used_bytes > budget:
                break
            chosen.append(broadcast.update)
            broadcast.transmits += 1
            if broadcast.transmits >= limit:
                self.remove(broadcast)
        return chosen

    def remove(self, broadcast: Broadcast) -> None:
        """Remove an update that has reached its transmit limit."""
        name = broadcast.update.member.name
        queued = self.broadcasts[name]
        queued.remove(broadcast)
        if not queued:
            del self.broadcasts[name]
