"""A small cluster with the program's own membership and member slots, and every placement of a few faults.

The network and the clock are those of `lab/simulators/`, without random behaviour. While faults are left and
the window lasts, each datagram may be lost, duplicated or delayed, and before each event a gateway may crash,
lose its machine, restart, be paused or be partitioned. After that, one move heals all partitions and plays
the simulation to its end.

Two properties are checked after each event: no running gateway counts as GONE, which is proof of its end, and
no quota share is divided among fewer members than are serving. One is checked at the end: all gateways agree
on the live members within CONVERGENCE_MS. Times are ms of the simulation.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from granitedock.lab.simulators.membership_simulation import MembershipSimulation, SimulatedNode
from granitedock.lab.simulators.simulated_network import NetworkConditions
from granitedock.membership.member import MemberChange, MemberState
from granitedock.membership.messages import Message
from granitedock.membership.timing import Timing
from granitedock.model_checking.explore import Digest, Move
from granitedock.model_checking.state_digest import state_digest

SEED = 3
LATENCY_MS = 1.0
DUPLICATE_LATENCY_MS = 2.0  # Latency of the second copy of a duplicated datagram.
DELAYED_LATENCY_MS = 1000.0  # Longer than every probe timeout.
PAUSE_MS = 3000.0  # Longer than a protocol period, a gap and the shortest suspicion timeout.
CONVERGENCE_MS = 13_300.0  # Within this time all learn of many silent gateways, and all agree again.

# Moves, as trace files contain them. Moves for the datagram that is being sent:
DELIVER = "pass"
LOSE = "lose"
DUPLICATE = "twice"
DELAY = "late"
# Moves between events, most with the number of a gateway:
NEXT_EVENT = "event"
CRASH = "crash"
VANISH = "vanish"
START = "start"
PAUSE = "pause"
PARTITION = "part"
HEAL = "mend"
SETTLE = "settle"

ARRIVALS_MS: dict[str, tuple[float, ...]] = {
    DELIVER: (LATENCY_MS,),
    LOSE: (),
    DUPLICATE: (LATENCY_MS, DUPLICATE_LATENCY_MS),
    DELAY: (DELAYED_LATENCY_MS,),
}
FREE_MOVES = frozenset({DELIVER, NEXT_EVENT, SETTLE})  # Every other move costs a fault.


@dataclass(frozen=True, slots=True)
class MembershipWorldShape:
    """The size of the world: `gateways` that know each other, and `faults` that occur within `window_ms`."""

    gateways: int = 3
    faults: int = 1
    window_ms: float = 1200.0


class Datagram(NamedTuple):
    """A message that a gateway sends to an address."""

    source: SimulatedNode
    address: str
    message: Message


class MembershipWorld(MembershipSimulation):
    """The world of memberships (`explore.World`).

    While a datagram is being sent, a move is one of the names in ARRIVALS_MS. Otherwise it is (NEXT_EVENT,),
    (HEAL,), (SETTLE,), or CRASH, VANISH, START, PAUSE or PARTITION with the number of a gateway.
    """

    def __init__(self, shape: MembershipWorldShape) -> None:
        self.shape = shape
        self.faults_left = shape.faults
        self.outgoing: list[Datagram] = []
        self.recorded_violations: list[str] = []
        self.settled = False
        self.intercepting = False  # Whether moves decide on the delivery of datagrams.
        self.started_at: dict[int, float] = {}  # By the number of a gateway: its last start.
        network = NetworkConditions(latency_ms=(LATENCY_MS, LATENCY_MS))
        super().__init__(shape.gateways, SEED, Timing(), network, already_joined=True)
        self.on_change = self.member_changed
        self.delivery_filter = self.allows_delivery
        self.intercepting = True
        self.faults_end_at = self.now + shape.window_ms

    # Callbacks of the simulation.

    def allows_delivery(self, _source: SimulatedNode, _target: SimulatedNode, _message: Message) -> bool:
        """Return True: only moves lose datagrams."""
        return True

    def start(self, number: int, seeds: tuple[str, ...] | None = None) -> None:
        """Start a gateway's process; without `seeds` it joins through all gateways."""
        if seeds is None:
            seeds = tuple(node.address for node in self.nodes)
        super().start(number, seeds)
        self.started_at[number] = self.now

    def member_changed(self, _now: float, node: SimulatedNode, change: MemberChange) -> None:
        """Check property 1: a member is never GONE while its gateway runs with the same incarnation.

        GONE is proof that the member has ended.
        """
        member = change.member
        subject = self.nodes_by_address.get(member.address)
        if member.state is not MemberState.GONE or subject is None or subject.local_member is None:
            return
        if subject.local_member.membership.local.started_at == member.started_at:
            self.recorded_violations.append(f"g{node.number} holds g{subject.number} for gone, which runs")

    def send(self, node: SimulatedNode, address: str, message: Message) -> None:
        """Send a datagram; while faults are placed, keep it until a move decides on it."""
        if self.intercepting and not self.settled:
            self.outgoing.append(Datagram(node, address, message))
        else:
            super().send(node, address, message)

    # Possible moves.

    def moves(self) -> list[Move]:
        """Return all moves that are possible next; an end state has none."""
        if self.recorded_violations or self.settled:
            return []
        if not self.faults_left or self.now >= self.faults_end_at:
            return [(SETTLE,)]
        if self.outgoing:
            return [(name,) for name in ARRIVALS_MS]
        moves: list[Move] = [(NEXT_EVENT,)]
        for node in self.nodes:
            if node.local_member is None:
                moves.append((START, node.number))
            else:
                moves += [(name, node.number) for name in (CRASH, VANISH, PAUSE, PARTITION)]
        if self.blocked_links:
            moves.append((HEAL,))
        return moves

    def play(self, move: Move) -> None:
        """Carry out one of the possible moves."""
        name = str(move[0])
        if name not in FREE_MOVES:
            self.faults_left -= 1
        if name in ARRIVALS_MS:
            self._send_next(ARRIVALS_MS[name])
        elif name in CLUSTER_MOVES:
            CLUSTER_MOVES[name](self)
        else:
            GATEWAY_FAULTS[name](self, int(move[1]))

    def _send_next(self, arrivals_ms: tuple[float, ...]) -> None:
        """Schedule the arrivals of the first outgoing datagram, one after each of these times."""
        datagram = self.outgoing.pop(0)
        target = self.nodes_by_address[datagram.address]
        for latency_ms in arrivals_ms:
            self.schedule(latency_ms, self.deliver, datagram.source, target, datagram.message)

    def next_event(self) -> None:
        """Advance to the next event of the simulation, run it and check property 2."""
        self.now, _, action, arguments = heapq.heappop(self.events)
        action(*arguments)
        self._check_shares()

    def vanish(self, number: int) -> None:
        """Crash a gateway together with its machine: connection probes time out instead of being refused."""
        self.crash(number, host_down=True)

    def pause_long(self, number: int) -> None:
        """Pause a gateway's process for PAUSE_MS."""
        self.pause(number, PAUSE_MS)

    def isolate(self, number: int) -> None:
        """Partition a gateway from all others."""
        self.partition([number], [other for other in range(len(self.nodes)) if other != number])

    def settle(self) -> None:
        """End the faults, and run the simulation to its end.

        Partitions last for another CONVERGENCE_MS; the simulation runs for as long again after they heal.
        """
        while self.outgoing:
            self._send_next(ARRIVALS_MS[DELIVER])
        self.settled = True
        self._run_checked(CONVERGENCE_MS)
        self.heal()
        self._run_checked(CONVERGENCE_MS)
        if not self.recorded_violations and not self.views_agree():
            views = {node.number: sorted(self.live_members(node)) for node in self.running_nodes()}
            seconds = f"{CONVERGENCE_MS / 1000:.1f} s"
            self.recorded_violations.append(f"views differ {seconds} after the last fault: {views}")

    def _run_checked(self, duration_ms: float) -> None:
        """Run all events of the next `duration_ms`, or until the first violation."""
        ends_at = self.now + duration_ms
        while self.events and self.events[0][0] <= ends_at and not self.recorded_violations:
            self.next_event()
        self.now = ends_at

    def _check_shares(self) -> None:
        """Check property 2: no member counts fewer active members than have run for longer than a lease."""
        count = len(self.nodes)
        lease_ms = self.timing.lease_ms
        serving = sum(
            1 for node in self.running_nodes() if self.now > self.started_at[node.number] + lease_ms
        )
        for node in self.running_nodes():
            if node.local_member is None or self.now < node.paused_until:
                continue  # A paused gateway makes no decisions.
            counted = node.local_member.active_members(self.now, 0, count)
            if counted < serving:
                self.recorded_violations.append(
                    f"g{node.number} divides by {counted} while {serving} of {count} serve, "
                    f"at {self.now:.0f} ms"
                )

    # Queries of a search.

    def violations(self) -> list[str]:
        """Return the properties that do not hold."""
        return self.recorded_violations

    def digest(self) -> Digest:
        """Return the state's digest, which is equal for states with the same possible continuations.

        The sequence numbers of events are left out; they only order events that are due at the same time.
        """
        events = [
            (due, action.__name__, arguments)
            for due, _, action, arguments in sorted(self.events, key=event_order)
        ]
        state = [
            self.now,
            self.faults_left,
            self.settled,
            sorted(self.blocked_links),
            self.started_at,
            self.outgoing,
        ]
        return state_digest(state, self.nodes, events)


def event_order(event: tuple[Any, ...]) -> tuple[Any, ...]:
    """Return an event's due time and its sequence number."""
    return event[:2]


CLUSTER_MOVES: dict[str, Callable[[MembershipWorld], None]] = {
    NEXT_EVENT: MembershipWorld.next_event,
    HEAL: MembershipWorld.heal,
    SETTLE: MembershipWorld.settle,
}
GATEWAY_FAULTS: dict[str, Callable[[MembershipWorld, int], None]] = {
    CRASH: MembershipWorld.crash,
    VANISH: MembershipWorld.vanish,
    START: MembershipWorld.start,
    PAUSE: MembershipWorld.pause_long,
    PARTITION: MembershipWorld.isolate,
}
