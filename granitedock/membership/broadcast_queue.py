"""Updates that wait to be gossiped: each is sent a bounded number of times, the least sent first."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass

from granitedock.membership.member import MemberUpdate

BASE_TRANSMITS = 8  # to which the natural logarithm of the number of members is added
MAX_UPDATES = 40  # looked at for one datagram


def transmit_limit(members: int) -> int:
    """How often one member sends an update, in a group of `members`.

    If each sends it T times at random, a member misses it with probability e^-T, so that one in e^8 misses
    any, whatever the group's size; anti-entropy repairs that.
    """
    return math.ceil(BASE_TRANSMITS + math.log(members + 1))


@dataclass(slots=True)
class Broadcast:
    """An update in the queue, with how often it was sent; `order` is that of queueing."""

    transmits: int
    order: int
    update: MemberUpdate


def least_sent_first(broadcast: Broadcast) -> tuple[int, int]:
    """The sort key of the queue."""
    return (broadcast.transmits, broadcast.order)


class BroadcastQueue:
    """The updates that a member has still to send.

    A newer update of a member replaces all older ones; those of several accusers of the same incarnation
    stand beside each other.
    """

    def __init__(self) -> None:
        self.broadcasts: dict[str, list[Broadcast]] = {}  # by member
        self.sequence = 0

    def __len__(self) -> int:
        """The number of members that updates wait of."""
        return len(self.broadcasts)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update, in place of those that it supersedes."""
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
        """As many updates as fit into `budget` bytes by `size`, each counted as sent once more."""
        chosen: list[MemberUpdate] = []
        limit = transmit_limit(members)
        spent = 0
        waiting = (broadcast for queued in self.broadcasts.values() for broadcast in queued)
        for broadcast in heapq.nsmallest(MAX_UPDATES, waiting, key=least_sent_first):
            spent += size(broadcast.update)
            if spent > budget:
                break
            chosen.append(broadcast.update)
            broadcast.transmits += 1
            if broadcast.transmits >= limit:
                self.remove(broadcast)
        return chosen

    def remove(self, broadcast: Broadcast) -> None:
        """Drop one that was sent often enough."""
        name = broadcast.update.member.name
        queued = self.broadcasts[name]
        queued.remove(broadcast)
        if not queued:
            del self.broadcasts[name]
