"""Many views of a fleet on a simulated wire, in one process and on a simulated clock.

The machine under test is `granitedock.membership.membership.Membership` itself; simulated are the network
(latency, loss, doubles, cuts), processes that crash, vanish, are paused or starved and restart, and the
kernel that refuses a knock where no process listens. The same seed gives the same run. Times are in ms.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from granitedock.membership.broadcast_queue import BroadcastQueue
from granitedock.membership.codec import encode
from granitedock.membership.local_member import LocalMember
from granitedock.membership.member import LIVE_STATES, Member, MemberChange, MemberState, MemberUpdate
from granitedock.membership.messages import NO_PAYLOADS, Message, PayloadTypes
from granitedock.membership.timing import Timing

EPOCH = 1_700_000_000_000  # when the simulated run begins, in Unix ms


@dataclass(slots=True)
class Node:
    """One gateway: its view while it runs, and what waits while it is paused."""

    number: int
    address: str
    part: LocalMember | None = None
    paused_until: float = 0.0
    waiting: list[tuple] = field(default_factory=list)
    wakes: int = 0  # numbers its wakes, so that only the newest counts
    sent: int = 0
    sent_bytes: int = 0
    vanished: bool = False  # its machine is gone too: knocks meet silence


class World:
    """`count` gateways that join through the first; `watch` is told each change: (now, node, change)."""

    payload_types: PayloadTypes = NO_PAYLOADS

    def __init__(
        self,
        count: int,
        seed: int = 1,
        pace: Timing | None = None,
        loss: float = 0.0,
        latency_ms: tuple[float, float] = (0.2, 2.0),
        twice: float = 0.0,
        start: bool = True,
        measured: bool = False,
        known: bool = False,
    ) -> None:
        """`known`: all know each other from the start, instead of joining one by one."""
        self.pace, self.loss, self.latency, self.twice = pace or Timing(), loss, latency_ms, twice
        self.chance, self.now, self.made, self.measured = Random(seed), 0.0, 0, measured
        self.events: list[tuple] = []
        self.nodes = [Node(n, f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}:7946") for n in range(count)]
        self.at = {node.address: node for node in self.nodes}
        self.cuts: set[tuple[int, int]] = set()  # directed pairs that nothing gets through
        self.watch: Callable[[float, Node, MemberChange], None] = lambda *_: None
        self.passes: Callable[[Node, Node, Message], bool] = lambda *_: True
        if start:
            for node in self.nodes:
                self.start(node.number)
        if known:
            everybody = [MemberUpdate(node.part.membership.local) for node in self.nodes]
            for node in self.nodes:
                for news in everybody:
                    if news.member.name != node.part.membership.local.name:
                        node.part.membership.updater.add(news, "")
                node.part.membership.state.queue = BroadcastQueue()
                self.carry(node)

    # What happens to processes and wires.

    def start(self, n: int, seeds: tuple[str, ...] | None = None) -> None:
        node = self.nodes[n]
        born = EPOCH + int(self.now) + n % 7
        me = Member(f"g{n:04d}", node.address, born, 0, MemberState.ALIVE, n, 1)
        seeds = (self.nodes[0].address,) if seeds is None else seeds
        chance = Random(self.chance.random())
        node.part = LocalMember(me, self.pace, seeds, len(self.nodes), self.now, chance, "sim")
        node.paused_until, node.waiting, node.vanished = self.now, [], False
        self.carry(node)

    def crash(self, n: int, vanish: bool = False) -> None:
        self.nodes[n].part, self.nodes[n].vanished = None, vanish

    def leave(self, n: int) -> None:
        node = self.nodes[n]
        node.part.leave(self.now)
        self.carry(node)
        node.part = None

    def pause(self, n: int, for_ms: float) -> None:
        node = self.nodes[n]
        if node.part is not None:
            node.paused_until = max(node.paused_until, self.now + for_ms)
            self.later(for_ms, self.woken, node, node.part)

    def woken(self, node: Node, part: LocalMember) -> None:
        if node.part is not part or self.now < node.paused_until:
            return
        waiting, node.waiting = node.waiting, []
        for act, *what in waiting:
            act(node, *what)
        self.wake(node, node.wakes)

    def cut(self, ones: Iterable[int], others: Iterable[int], both: bool = True) -> None:
        for a in ones:
            for b in others:
                self.cuts.add((a, b))
                if both:
                    self.cuts.add((b, a))

    def heal(self) -> None:
        self.cuts.clear()

    # The run.

    def later(self, after_ms: float, act: Any, *what: Any) -> None:
        self.made += 1
        heapq.heappush(self.events, (self.now + after_ms, self.made, act, what))

    def run(self, for_ms: float) -> None:
        ends = self.now + for_ms
        events = self.events
        while events and events[0][0] <= ends:
            self.now, _, act, what = heapq.heappop(events)
            act(*what)
        self.now = ends

    def run_until(self, true: Callable[[], bool], most_ms: float, step_ms: float = 50.0) -> float:
        """Run until it is true; the ms that took, or `most_ms` if it never was."""
        began = self.now
        while self.now - began < most_ms:
            if true():
                return self.now - began
            self.run(step_ms)
        return most_ms

    def wake(self, node: Node, number: int) -> None:
        if node.part is None or number != node.wakes:
            return
        if self.now < node.paused_until:
            return  # `woken` comes back to it
        node.part.tick(self.now)
        self.carry(node)

    def carry(self, node: Node) -> None:
        part = node.part
        effects = part.take_effects(self.now)
        for change in effects.changes:
            self.watch(self.now, node, change)
        for address, message in effects.sends:
            self.post(node, address, message)
        for address in effects.connection_probes:
            self.later(1.0, self.knocked, node, part, address)
        node.wakes += 1
        self.later(max(0.1, part.due(self.now) - self.now), self.wake, node, node.wakes)

    def post(self, node: Node, address: str, message: Message) -> None:
        """A datagram on its way."""
        node.sent += 1
        if self.measured:
            node.sent_bytes += len(encode("sim", message, self.payload_types))
        target, (low, high) = self.at.get(address), self.latency
        if target is None or self.chance.random() < self.loss:
            return
        for _ in range(1 + (self.chance.random() < self.twice)):
            self.later(low + (high - low) * self.chance.random(), self.come, node, target, message)

    def come(self, source: Node, target: Node, message: Message) -> None:
        cut = (source.number, target.number) in self.cuts
        if target.part is None or cut or not self.passes(source, target, message):
            return
        if self.now < target.paused_until:
            target.waiting.append((self.hear, message))
        else:
            self.hear(target, message)

    def hear(self, node: Node, message: Message) -> None:
        node.part.receive(self.now, message)
        self.carry(node)

    def knocked(self, node: Node, part: LocalMember, address: str) -> None:
        target = self.at.get(address)
        pair = (node.number, target.number) if target else None
        back = (target.number, node.number) if target else None
        if target is None or target.part is not None or target.vanished or node.part is not part:
            return
        if pair in self.cuts or back in self.cuts or self.now < node.paused_until:
            return
        part.connection_refused(self.now, address)
        self.carry(node)

    # What it looks like.

    def running(self) -> list[Node]:
        return [node for node in self.nodes if node.part is not None]

    def live_of(self, node: Node) -> dict[str, int]:
        """Who this one holds for live, itself too, by the time their processes began."""
        table = node.part.membership.state.table
        held = {table.local.name: table.local.started_at}
        for name, record in table.records.items():
            if record.member.state in LIVE_STATES:
                held[name] = record.member.started_at
        return held

    def agree(self, among: Iterable[int] | None = None) -> bool:
        """Whether these (all that run) hold exactly each other for live."""
        nodes = self.running() if among is None else [self.nodes[n] for n in among]
        truth = {node.part.membership.local.name: node.part.membership.local.started_at for node in nodes}
        return all(self.live_of(node) == truth for node in nodes)


def plain(pace: Timing) -> Timing:
    """The same machine without its Lifeguard-like parts."""
    return replace(pace, careful=False)
