"""The membership of many gateways on a simulated network and clock, in one process.

Each gateway runs the program's own `granitedock.membership.local_member.LocalMember`. Simulated are the
network (latency, loss, duplicates, partitions), processes that crash, are paused and restart, and the kernel
that refuses a connection where no process listens. The same seed gives the same run. Times are ms of the
simulated clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, NamedTuple

from granitedock.lab.simulators.errors import NotRunningError
from granitedock.lab.simulators.simulated_network import NetworkConditions
from granitedock.membership.broadcast_queue import BroadcastQueue
from granitedock.membership.codec import encode
from granitedock.membership.local_member import LocalMember
from granitedock.membership.member import LIVE_STATES, Member, MemberChange, MemberState, MemberUpdate
from granitedock.membership.messages import NO_PAYLOADS, Message, PayloadTypes
from granitedock.membership.timing import Timing

EPOCH = 1_700_000_000_000  # when the simulated run begins, in Unix ms
START_TIME_STEPS = 7  # processes that start at one moment get start times of so many different ms
CLUSTER = "sim"
SETTINGS_CHECKSUM = 1
CONNECTION_PROBE_MS = 1.0  # until a connection is refused
MIN_TIMER_MS = 0.1


class ScheduledEvent(NamedTuple):
    """A call that is due at a time; of one time, the one that was scheduled first comes first."""

    due: float
    sequence: int
    action: Callable[..., object]
    arguments: tuple[Any, ...]


@dataclass(slots=True)
class SimulatedNode:
    """One gateway's process, with the datagrams that wait while it is paused."""

    number: int
    address: str
    local_member: LocalMember | None = None  # None while the process does not run
    paused_until: float = 0.0
    deferred: list[Message] = field(default_factory=list)
    timer_number: int = 0  # of the newest timer; the older ones have no effect
    sent: int = 0
    sent_bytes: int = 0
    host_down: bool = False  # its machine is gone too: nothing refuses a connection

    @property
    def member(self) -> LocalMember:
        """The member of the running process. Raises NotRunningError."""
        if self.local_member is None:
            raise NotRunningError(self.number)
        return self.local_member


ChangeObserver = Callable[[float, SimulatedNode, MemberChange], object]
DeliveryFilter = Callable[[SimulatedNode, SimulatedNode, Message], bool]


def ignore_change(_now: float, _node: SimulatedNode, _change: MemberChange) -> None:
    """The observer of a simulation that nobody observes."""


def deliver_all(_source: SimulatedNode, _target: SimulatedNode, _message: Message) -> bool:
    """The filter that lets every datagram through."""
    return True


def node_address(number: int) -> str:
    """The address of a gateway."""
    return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7946"


class MembershipSimulation:
    """`count` gateways that join through the first.

    `on_change` is called with the time, the node and the change for each change of membership at a node.
    `delivery_filter` decides of each datagram that arrives whether its target gets it.
    """

    payload_types: PayloadTypes = NO_PAYLOADS

    def __init__(
        self,
        count: int,
        seed: int = 1,
        timing: Timing | None = None,
        network: NetworkConditions | None = None,
        already_joined: bool = False,
    ) -> None:
        """With `already_joined` all know each other from the start, instead of joining one by one."""
        self.timing = timing or Timing()
        self.network = network or NetworkConditions()
        self.random = Random(seed)
        self.now = 0.0
        self.scheduled_count = 0
        self.events: list[ScheduledEvent] = []
        self.nodes = [SimulatedNode(number, node_address(number)) for number in range(count)]
        self.nodes_by_address = {node.address: node for node in self.nodes}
        self.blocked_links: set[tuple[int, int]] = set()  # source and target of links that lose everything
        self.on_change: ChangeObserver = ignore_change
        self.delivery_filter: DeliveryFilter = deliver_all
        for node in self.nodes:
            self.start(node.number)
        if already_joined:
            self.introduce_all()

    def introduce_all(self) -> None:
        """Make every gateway known to every other, with nothing left to broadcast."""
        updates = [MemberUpdate(node.member.membership.local) for node in self.nodes]
        for node in self.nodes:
            membership = node.member.membership
            for update in updates:
                if update.member.name != membership.local.name:
                    membership.updater.add(update, "")
            membership.state.queue = BroadcastQueue()
            self.carry_out_effects(node)

    # Faults of processes and of the network.

    def start(self, number: int, seeds: tuple[str, ...] | None = None) -> None:
        """Start a gateway's process; `seeds` are the addresses that it joins through, else the first's."""
        node = self.nodes[number]
        started_at = EPOCH + int(self.now) + number % START_TIME_STEPS
        member = Member(
            f"g{number:04d}", node.address, started_at, 0, MemberState.ALIVE, number, SETTINGS_CHECKSUM
        )
        if seeds is None:
            seeds = (self.nodes[0].address,)
        random = Random(self.random.random())
        node.local_member = LocalMember(
            member, self.timing, seeds, len(self.nodes), self.now, random, CLUSTER
        )
        node.paused_until = self.now
        node.deferred = []
        node.host_down = False
        self.carry_out_effects(node)

    def crash(self, number: int, host_down: bool = False) -> None:
        """End a process; with `host_down` its machine too, so that nothing refuses connections there."""
        node = self.nodes[number]
        node.local_member = None
        node.host_down = host_down

    def leave(self, number: int) -> None:
        """Shut a process down gracefully. Raises NotRunningError."""
        node = self.nodes[number]
        node.member.leave(self.now)
        self.carry_out_effects(node)
        node.local_member = None

    def pause(self, number: int, for_ms: float) -> None:
        """Pause a process, if it runs; a later end of an earlier pause holds."""
        node = self.nodes[number]
        if node.local_member is not None:
            node.paused_until = max(node.paused_until, self.now + for_ms)
            self.schedule(for_ms, self.resume, node, node.local_member)

    def resume(self, node: SimulatedNode, local_member: LocalMember) -> None:
        """The end of a pause, unless the process has ended or is paused for longer: take what has come."""
        if node.local_member is not local_member or self.now < node.paused_until:
            return
        deferred = node.deferred
        node.deferred = []
        for message in deferred:
            self.receive(node, message)
        self.timer_fired(node, node.timer_number)

    def partition(self, sources: Iterable[int], targets: Iterable[int], both: bool = True) -> None:
        """Block the links from `sources` to `targets`, and back if `both`."""
        for source in sources:
            for target in targets:
                self.blocked_links.add((source, target))
                if both:
                    self.blocked_links.add((target, source))

    def heal(self) -> None:
        """Unblock all links."""
        self.blocked_links.clear()

    # The simulated clock.

    def schedule(self, after_ms: float, action: Callable[..., object], *arguments: Any) -> None:
        """Call `action` with these arguments after so many ms."""
        self.scheduled_count += 1
        event = ScheduledEvent(self.now + after_ms, self.scheduled_count, action, arguments)
        heapq.heappush(self.events, event)

    def run(self, for_ms: float) -> None:
        """Run for so long."""
        ends = self.now + for_ms
        events = self.events
        while events and events[0].due <= ends:
            self.now, _, action, arguments = heapq.heappop(events)
            action(*arguments)
        self.now = ends

    def run_until(self, condition: Callable[[], bool], limit_ms: float, step_ms: float = 50.0) -> float:
        """Run until the condition holds; the ms that took, or `limit_ms` if it never held."""
        began = self.now
        while self.now - began < limit_ms:
            if condition():
                return self.now - began
            self.run(step_ms)
        return limit_ms

    # A process's inputs and effects.

    def timer_fired(self, node: SimulatedNode, number: int) -> None:
        """A timer of the process; a paused one is called again when it resumes."""
        if node.local_member is None or number != node.timer_number or self.now < node.paused_until:
            return
        node.local_member.tick(self.now)
        self.carry_out_effects(node)

    def receive(self, node: SimulatedNode, message: Message) -> None:
        """A datagram reaches a running process."""
        node.member.receive(self.now, message)
        self.carry_out_effects(node)

    def carry_out_effects(self, node: SimulatedNode) -> None:
        """Do what the member's last inputs brought about, and start its timer anew."""
        member = node.member
        effects = member.take_effects(self.now)
        for change in effects.changes:
            self.on_change(self.now, node, change)
        for address, message in effects.sends:
            self.send(node, address, message)
        for address in effects.connection_probes:
            self.schedule(CONNECTION_PROBE_MS, self.connection_probe_ended, node, member, address)
        node.timer_number += 1
        wait_ms = max(MIN_TIMER_MS, member.next_tick_at(self.now) - self.now)
        self.schedule(wait_ms, self.timer_fired, node, node.timer_number)

    # The simulated network.

    def send(self, node: SimulatedNode, address: str, message: Message) -> None:
        """Put a datagram on the network, which may lose or duplicate it."""
        network = self.network
        node.sent += 1
        if network.measure_bytes:
            node.sent_bytes += len(encode(CLUSTER, message, self.payload_types))
        target = self.nodes_by_address.get(address)
        if target is None or self.random.random() < network.loss:
            return
        low, high = network.latency_ms
        for _ in range(1 + (self.random.random() < network.duplication)):
            latency_ms = low + (high - low) * self.random.random()
            self.schedule(latency_ms, self.deliver, node, target, message)

    def deliver(self, source: SimulatedNode, target: SimulatedNode, message: Message) -> None:
        """A datagram arrives where its target runs and the link is not blocked."""
        blocked = (source.number, target.number) in self.blocked_links
        if target.local_member is None or blocked or not self.delivery_filter(source, target, message):
            return
        if self.now < target.paused_until:
            target.deferred.append(message)
        else:
            self.receive(target, message)

    def connection_probe_ended(self, node: SimulatedNode, member: LocalMember, address: str) -> None:
        """Report a refused connection: the target's machine runs without its process, the links are open."""
        target = self.nodes_by_address.get(address)
        if target is None or target.local_member is not None or target.host_down:
            return
        if node.local_member is not member or self.now < node.paused_until:
            return
        there = (node.number, target.number)
        back = (target.number, node.number)
        if there in self.blocked_links or back in self.blocked_links:
            return
        member.connection_refused(self.now, address)
        self.carry_out_effects(node)

    # The state of the cluster.

    def running_nodes(self) -> list[SimulatedNode]:
        """The nodes whose process runs, paused ones among them."""
        return [node for node in self.nodes if node.local_member is not None]

    def live_members(self, node: SimulatedNode) -> dict[str, int]:
        """The start times of the members that this node holds for live, itself among them, by name."""
        table = node.member.membership.state.table
        live = {table.local.name: table.local.started_at}
        for name, record in table.records.items():
            if record.member.state in LIVE_STATES:
                live[name] = record.member.started_at
        return live

    def views_agree(self, among: Iterable[int] | None = None) -> bool:
        """Whether these (all that run) hold exactly each other for live."""
        nodes = self.running_nodes() if among is None else [self.nodes[number] for number in among]
        local_members = [node.member.membership.local for node in nodes]
        expected = {member.name: member.started_at for member in local_members}
        return all(self.live_members(node) == expected for node in nodes)


def without_lifeguard(timing: Timing) -> Timing:
    """The same timing without the extensions after Lifeguard."""
    return replace(timing, careful=False)
