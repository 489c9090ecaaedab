"""Faults of the links between processes, set for each directed pair of names.

Every gateway has its own address and a proxy address through which the others reach it, so each directed pair
(source, target) can have its own fault: loss, delay, reordering, duplication, truncation, or a cut in one
direction only. A TCP link connects one gateway with one party (the counter, discovery, a host) in the same
way. Random draws are seeded. Nothing here needs special privileges. Source: docs/lab-design.md ("Links that
fail").
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

Link = tuple[str, str]  # source and target, by name


@dataclass(frozen=True, slots=True)
class LinkFault:
    """The fault of one direction of a link.

    `cut` drops all datagrams, and buffers a TCP stream until the link heals, as retransmission does. `lost`,
    `duplicated` and `truncated` are shares of the datagrams. Each datagram is delayed by `delay_ms` plus a
    random time of at most `jitter_ms`, so that datagrams overtake each other. If `delay_ms` is not 0, the
    data of a TCP stream is delayed by the same times and stays in order.
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
    """A datagram that arrives `delay_ms` from now."""

    delay_ms: float
    data: bytes


def deliveries(fault: LinkFault, data: bytes, random: Random) -> list[Delivery]:
    """Draw the deliveries of a datagram under a fault: none, one or two."""
    if fault.cut or random.random() < fault.lost:
        return []
    if random.random() < fault.truncated:
        data = data[: len(data) // 2]
    copies = 2 if random.random() < fault.duplicated else 1
    return [Delivery(fault.delay_ms + fault.jitter_ms * random.random(), data) for _ in range(copies)]


class LinkFaults:
    """The current fault of each directed link; a link without an entry has no fault."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.faults: dict[Link, LinkFault] = {}
        self.listeners: list[Callable[[], None]] = []  # called after each change

    def on(self, source: str, target: str) -> LinkFault:
        """Return the fault of the link from `source` to `target`."""
        return self.faults.get((source, target), NO_FAULT)

    def set(self, fault: LinkFault, links: Iterable[Link]) -> None:
        """Set the fault of these links and call the listeners; NO_FAULT heals the links."""
        for link in links:
            if fault == NO_FAULT:
                self.faults.pop(link, None)
            else:
                self.faults[link] = fault
        for listener in self.listeners:
            listener()

    def heal(self) -> None:
        """Remove the faults of all links."""
        self.set(NO_FAULT, list(self.faults))
