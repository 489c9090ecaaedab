"""Faults of links between processes: what befalls the data of each directed pair of names now.

Every gateway has an address of its own and one of its proxy, at which the others know it, so each directed
pair (from, to) can be given a fault of its own: loss, delay, reordering, duplication, truncation, or a cut in
one direction only. TCP links lead from one gateway to one party (the counter, discovery, a host) in the same
way. Chance is seeded; nothing here needs a privilege. Source: docs/lab-design.md ("Links that fail").
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

Link = tuple[str, str]  # source and target, by name


@dataclass(frozen=True, slots=True)
class LinkFault:
    """What befalls data in one direction.

    `cut` loses all datagrams, and holds a TCP stream until it heals, as retransmission would. The shares are
    of datagrams; the times are ms, `jitter_ms` being added at random up to this, so that datagrams overtake
    each other.
    """

    cut: bool = False
    lost: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    duplicated: float = 0.0
    truncated: float = 0.0


NO_FAULT = LinkFault()
CUT = LinkFault(cut=True)


class Delivery(NamedTuple):
    """A datagram that arrives `after_ms` from now."""

    after_ms: float
    data: bytes


def deliveries(fault: LinkFault, data: bytes, random: Random) -> list[Delivery]:
    """How a datagram arrives: not at all, once, or twice."""
    if fault.cut or random.random() < fault.lost:
        return []
    if random.random() < fault.truncated:
        data = data[: len(data) // 2]
    copies = 2 if random.random() < fault.duplicated else 1
    return [Delivery(fault.delay_ms + fault.jitter_ms * random.random(), data) for _ in range(copies)]


class LinkFaults:
    """The fault of each directed link now; a link that is not named has none."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.faults: dict[Link, LinkFault] = {}
        self.listeners: list[Callable[[], None]] = []  # called after each change

    def on(self, source: str, target: str) -> LinkFault:
        """The fault from `source` to `target`."""
        return self.faults.get((source, target), NO_FAULT)

    def set(self, fault: LinkFault, links: Iterable[Link]) -> None:
        """The fault of these links from now on; NO_FAULT heals them."""
        for link in links:
            if fault == NO_FAULT:
                self.faults.pop(link, None)
            else:
                self.faults[link] = fault
        for listener in self.listeners:
            listener()

    def heal(self) -> None:
        """No link has a fault any more."""
        self.set(NO_FAULT, list(self.faults))
