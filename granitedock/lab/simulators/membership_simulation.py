"""The membership of many gateways on a simulated network and clock, in one process.

Each gateway runs the real `granitedock.membership.local_member.LocalMember`. The network (latency, loss,
duplicates, partitions), the crashes, pauses and restarts of processes, and the kernel that refuses a
connection where no process listens are simulated. The same seed gives the same run. Times are ms of the
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

EPOCH_UNIX_MS = 1_700_000_000_000  # start of the simulated run
DISTINCT_START_TIMES = 7  # processes started at the same time get this many start times, 1 ms apart
CLUSTER = "sim"
SETTINGS_CHECKSUM = 1
CONNECTION_REFUSAL_MS = 1.0  # until the kernel refuses a connection to a port without a process
MIN_TIMER_MS = 0.1


class ScheduledEvent(NamedTuple):
    """A call scheduled for a time; calls of the same time run in the order in which they were scheduled."""

    due: float
    sequence: int
    action: Callable[..., object]
    arguments: tuple[Any, ...]


@dataclass(slots=True)
class SimulatedNode:
    """One gateway's process, and the datagrams that are queued while it is paused."""

    number: int
    address: str
    local_member: LocalMember | None = None  # None while the process does not run
    paused_until: float = 0.0
    deferred: list[Message] = field(default_factory=list)
    timer_number: int = 0  # number of the newest timer; older timers have no effect
    sent: int = 0
    sent_bytes: int = 0
    host_down: bool = False  # the machine is down too, so that connections are not refused

    @property
    def member(self) -> LocalMember:
        """The member of the running process. Raises NotRunningError if the process is not running."""
        if self.local_member is None:
            raise NotRunningError(self.number)
        return self.local_member


ChangeObserver = Callable[[float, SimulatedNode, MemberChange], object]
DeliveryFilter = Callable[[SimulatedNode, SimulatedNode, Message], bool]


def ignore_change(_now: float, _node: SimulatedNode, _change: MemberChange) -> None:
    """Ignore a change of membership; this is the default observer."""


def deliver_all(_source: SimulatedNode, _target: SimulatedNode, _message: Message) -> bool:
    """Return True; this is the default filter, which lets every datagram pass."""
    return True


def node_address(number: int) -> str:
    """Return the address of a gateway."""
    return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7946"


class MembershipSimulation:
    """Simulates `count` gateways that join through the first.

    `on_change` is called with the time, the node and the change for each change of membership at a node.
    `delivery_filter` decides for each datagram that arrives whether it is delivered to its target.
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
        """With `already_joined` all gateways know each other from the start instead of joining one by one."""
        self.timing = timing or Timing()
        self.network = network or NetworkConditions()
        self.random = Random(seed)
        self.now = 0.0
        self.scheduled_count = 0
        self.events: list[ScheduledEvent] = []
        self.nodes = [SimulatedNode(number, node_address(number)) for number in range(count)]
        self.nodes_by_address = {node.address: node for node in self.nodes}
        self.blocked_links: set[tuple[int, int]] = set()  # (source, target) of links that drop all datagrams
        self.on_change: ChangeObserver = ignore_change
        self.delivery_filter: DeliveryFilter = deliver_all
        for node in self.nodes:
            self.start(node.number)
        if already_joined:
            self.introduce_all()

    def introduce_all(self) -> None:
        """Make every gateway known to every other, and leave the broadcast queues empty."""
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
        """Start a gateway's process.

        `seeds` are the addresses that it joins through, by default that of the first gateway.
        """
        node = self.nodes[number]
        started_at = EPOCH_UNIX_MS + int(self.now) + number % DISTINCT_START_TIMES
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
        """Kill a process; with `host_down` its machine fails too, so that connections are not refused."""
        node = self.nodes[number]
        node.local_member = None
        node.host_down = host_down

    def leave(self, number: int) -> None:
        """Shut a process down gracefully. Raises NotRunningError if it is not running."""
        node = self.nodes[number]
        node.member.leave(self.now)
        self.carry_out_effects(node)
        node.local_member = None

    def pause(self, number: int, for_ms: float) -> None:
        """Pause a process if it is running; of overlapping pauses the one that ends last counts."""
        node = self.nodes[number]
        if node.local_member is not None:
            node.paused_until = max(node.paused_until, self.now + for_ms)
            self.schedule(for_ms, self.resume, node, node.local_member)

    def resume(self, node: SimulatedNode, local_member: LocalMember) -> None:
        """End a pause, and process the datagrams that arrived during it.

        Nothing happens if the process has ended or is still paused by another pause.
        """
        if node.local_member is not local_member or self.now < node.paused_until:
            return
        deferred = node.deferred
        node.deferred = []
        for message in deferred:
            self.receive(node, message)
        self.timer_fired(node, node.timer_number)

    def partition(self, sources: Iterable[int], targets: Iterable[int], both: bool = True) -> None:
        """Block the links from `sources` to `targets`, and those in the other direction if `both` is set."""
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
        """Schedule a call of `action` with these arguments after `after_ms`."""
        self.scheduled_count += 1
        event = ScheduledEvent(self.now + after_ms, self.scheduled_count, action, arguments)
        heapq.heappush(self.events, event)

    def run(self, for_ms: float) -> None:
        """Run the simulation for `for_ms`."""
        end_ms = self.now + for_ms
        events = self.events
        while events and events[0].due <= end_ms:
            self.now, _, action, arguments = heapq.heappop(events)
            action(*arguments)
        self.now = end_ms

    def run_until(self, condition: Callable[[], bool], limit_ms: float, step_ms: float = 50.0) -> float:
        """Run until the condition holds, and return the ms until then, or `limit_ms` if it did not hold."""
        started_ms = self.now
        while self.now - started_ms < limit_ms:
            if condition():
                return self.now - started_ms
            self.run(step_ms)
        return limit_ms

    # Inputs and effects of a process.

    def timer_fired(self, node: SimulatedNode, number: int) -> None:
        """Handle a timer of the process; a paused process handles its timer when it resumes."""
        if node.local_member is None or number != node.timer_number or self.now < node.paused_until:
            return
        node.local_member.tick(self.now)
        self.carry_out_effects(node)

    def receive(self, node: SimulatedNode, message: Message) -> None:
        """Deliver a datagram to a running process."""
        node.member.receive(self.now, message)
        self.carry_out_effects(node)

    def carry_out_effects(self, node: SimulatedNode) -> None:
        """Carry out the effects of the member's latest inputs, and restart its timer."""
        member = node.member
        effects = member.take_effects(self.now)
        for change in effects.changes:
            self.on_change(self.now, node, change)
        for address, message in effects.sends:
            self.send(node, address, message)
        for address in effects.connection_probes:
            self.schedule(CONNECTION_REFUSAL_MS, self.connection_probe_ended, node, member, address)
        node.timer_number += 1
        wait_ms = max(MIN_TIMER_MS, member.next_tick_at(self.now) - self.now)
        self.schedule(wait_ms, self.timer_fired, node, node.timer_number)

    # The simulated network.

    def send(self, node: SimulatedNode, address: str, message: Message) -> None:
        """Send a datagram over the network, which may lose or duplicate it."""
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
        """Deliver a datagram if its target runs, the link is not blocked and the filter accepts it."""
        blocked = (source.number, target.number) in self.blocked_links
        if target.local_member is None or blocked or not self.delivery_filter(source, target, message):
            return
        if self.now < target.paused_until:
            target.deferred.append(message)
        else:
            self.receive(target, message)

    def connection_probe_ended(self, node: SimulatedNode, member: LocalMember, address: str) -> None:
        """Report a refused connection.

        That requires a target whose machine runs without its process, and open links in both directions.
        """
        target = self.nodes_by_address.get(address)
        if target is None or target.local_member is not None or target.host_down:
            return
        if node.local_member is not member or self.now < node.paused_until:
            return
        outbound = (node.number, target.number)
        inbound = (target.number, node.number)
        if outbound in self.blocked_links or inbound in self.blocked_links:
            return
        member.connection_refused(self.now, address)
        self.carry_out_effects(node)

    # The state of the cluster.

    def running_nodes(self) -> list[SimulatedNode]:
        """Return the nodes whose process runs, including paused ones."""
        return [node for node in self.nodes if node.local_member is not None]

    def live_members(self, node: SimulatedNode) -> dict[str, int]:
        """Return the start times, by name, of the members that this node considers live, including itself."""
        table = node.member.membership.state.table
        live = {table.local.name: table.local.started_at}
        for name, record in table.records.items():
            if record.member.state in LIVE_STATES:
                live[name] = record.member.started_at
        return live

    def views_agree(self, among: Iterable[int] | None = None) -> bool:
        """Return whether these nodes (default: all running ones) consider exactly each other live."""
        nodes = self.running_nodes() if among is None else [self.nodes[number] for number in among]
        local_members = [node.member.membership.local for node in nodes]
        expected = {member.name: member.started_at for member in local_members}
        return all(self.live_members(node) == expected for node in nodes)


def without_lifeguard(timing: Timing) -> Timing:
    """Return the same timing without the extensions of Lifeguard."""
    return replace(timing, careful=False)
