"""News on its way through the fleet: each is told a bounded number of times, the least told first."""

from __future__ import annotations

import heapq
import math

from granitedock.membership.member import News

TOLD = 8  # and the natural logarithm of the fleet's size


def most_told(members: int) -> int:
    """How often one member passes a piece of news on: if each tells it T times at random, a member misses it
    by a chance of e^-T, so that one in e^8 misses anybody, whatever the fleet's size; the pages mend that."""
    return math.ceil(TOLD + math.log(members + 1))


class NewsQueue:
    """What a member still has to tell. A newer thing about a member takes the place of all older ones; the
    voices of several that suspect the same incarnation stand beside each other."""

    def __init__(self) -> None:
        self.items: dict[str, list[list]] = {}  # by name: [times told, order, news]
        self.made = 0

    def __len__(self) -> int:
        return len(self.items)

    def add(self, news: News) -> None:
        self.made += 1
        rank, mine = news.member.rank(), [0, self.made, news]
        kept = [item for item in self.items.get(news.member.name, ()) if item[2].member.rank() == rank]
        kept = [item for item in kept if item[2].by != news.by]
        self.items[news.member.name] = [*kept, mine]

    def take(self, room: int, members: int, cost) -> list[News]:
        """As much as fits into `room` bytes, each counted as told once more."""
        chosen, limit, spent = [], most_told(members), 0
        waiting = (item for items in self.items.values() for item in items)
        for item in heapq.nsmallest(40, waiting, key=lambda item: item[:2]):
            price = cost(item[2])
            if spent + price > room:
                break
            spent += price
            chosen.append(item[2])
            item[0] += 1
            if item[0] >= limit:
                name = item[2].member.name
                self.items[name].remove(item)
                if not self.items[name]:
                    del self.items[name]
        return chosen
