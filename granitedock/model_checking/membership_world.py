"""A small cluster with the program's own membership and member slots, and every placing of a few faults.

The network and the clock are those of `lab/simulators/`, without chance of their own. While faults are left
and the window lasts, each datagram may be lost, doubled or late, and before each event a gateway may crash,
vanish, restart, be paused or partitioned; then all is healed and the rest is played to its end in one move.
Checked all along: no gateway that runs is held for ended by proof, and no quota share is divided among fewer
than are serving; at the end: all agree on who is live within the stated time. Times are ms of the simulation.
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
DUPLICATE_MS = 2.0  # after which the second of a doubled datagram arrives
LATE_MS = 1000.0  # past every time-out of a probe
PAUSE_MS = 3000.0  # longer than a period, a gap and the shortest suspicion
CONVERGENCE_MS = 13_300.0  # the stated time: a silence of many is known to all, and all agree again

# Moves, as trace files hold them. For the datagram that leaves now:
DELIVER = "pass"
LOSE = "lose"
DUPLICATE = "twice"
DELAY = "late"
# between events, most with the number of a gateway:
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
    DUPLICATE: (LATENCY_MS, DUPLICATE_MS),
    DELAY: (LATE_MS,),
}
FREE_MOVES = frozenset({DELIVER, NEXT_EVENT, SETTLE})  # all others cost a fault


@dataclass(frozen=True, slots=True)
class MembershipWorldShape:
    """`gateways` that know each other; `faults` placed within `window_ms`."""

    gateways: int = 3
    faults: int = 1
    window_ms: float = 1200.0


class Datagram(NamedTuple):
    """A message that leaves a gateway for an address."""

    source: SimulatedNode
    address: str
    message: Message


class MembershipWorld(MembershipSimulation):
    """The world (`explore.World`).

    Moves: one of ARRIVALS_MS alone for the datagram that leaves now, else (NEXT_EVENT,), (HEAL,), (SETTLE,),
    or CRASH, VANISH, START, PAUSE or PARTITION with the number of a gateway.
    """

    def __init__(self, shape: MembershipWorldShape) -> None:
        self.shape = shape
        self.faults_left = shape.faults
        self.outgoing: list[Datagram] = []
        self.found_violations: list[str] = []
        self.settled = False
        self.intercepting = False  # datagrams, for moves to decide on
        self.started_at: dict[int, float] = {}  # by the number of a gateway that has run
        network = NetworkConditions(latency_ms=(LATENCY_MS, LATENCY_MS))
        super().__init__(shape.gateways, SEED, Timing(), network, already_joined=True)
        self.on_change = self.member_changed
        self.delivery_filter = self.lets_through
        self.intercepting = True
        self.faults_end_at = self.now + shape.window_ms

    # What the simulation calls.

    def lets_through(self, _source: SimulatedNode, _target: SimulatedNode, _message: Message) -> bool:
        """Always: only moves lose datagrams."""
        return True

    def start(self, n: int, seeds: tuple[str, ...] | None = None) -> None:
        """Start a gateway's process; without seeds it joins through all gateways."""
        if seeds is None:
            seeds = tuple(node.address for node in self.nodes)
        super().start(n, seeds)
        self.started_at[n] = self.now

    def member_changed(self, _now: float, node: SimulatedNode, change: MemberChange) -> None:
        """Property 1: GONE is proof, and never of one that runs under the same incarnation."""
        member = change.member
        subject = self.nodes_by_address.get(member.address)
        if member.state is not MemberState.GONE or subject is None or subject.local_member is None:
            return
        if subject.local_member.membership.local.started_at == member.started_at:
            self.found_violations.append(f"g{node.number} holds g{subject.number} for gone, which runs")

    def send(self, node: SimulatedNode, address: str, message: Message) -> None:
        """A datagram leaves; while faults are placed, it waits for a move."""
        if self.intercepting and not self.settled:
            self.outgoing.append(Datagram(node, address, message))
        else:
            super().send(node, address, message)

    # What may happen.

    def moves(self) -> list[Move]:
        """All that may happen next; none at an end."""
        if self.found_violations or self.settled:
            return []
        if not self.faults_left or self.now >= self.faults_end_at:
            return [(SETTLE,)]
        if self.outgoing:
            return [(name,) for name in ARRIVALS_MS]
        found: list[Move] = [(NEXT_EVENT,)]
        for node in self.nodes:
            if node.local_member is None:
                found.append((START, node.number))
            else:
                found += [(name, node.number) for name in (CRASH, VANISH, PAUSE, PARTITION)]
        if self.blocked_links:
            found.append((HEAL,))
        return found

    def play(self, move: Move) -> None:
        """Make one of the moves happen."""
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
        """The datagram that leaves now arrives after each of these times."""
        datagram = self.outgoing.pop(0)
        target = self.nodes_by_address[datagram.address]
        for after_ms in arrivals_ms:
            self.schedule(after_ms, self.deliver, datagram.source, target, datagram.message)

    def next_event(self) -> None:
        """Go to the next event of the simulation."""
        self.now, _, act, arguments = heapq.heappop(self.events)
        act(*arguments)
        self._check_shares()

    def vanish(self, number: int) -> None:
        """End a gateway and its machine: connection probes meet silence."""
        self.crash(number, host_down=True)

    def pause_long(self, number: int) -> None:
        """Pause a gateway's process for PAUSE_MS."""
        self.pause(number, PAUSE_MS)

    def isolate(self, number: int) -> None:
        """Cut a gateway off from all others."""
        self.partition([number], [other for other in range(len(self.nodes)) if other != number])

    def settle(self) -> None:
        """No more faults: what was cut stays so for the stated time, then all is healed for as long."""
        while self.outgoing:
            self._send_next(ARRIVALS_MS[DELIVER])
        self.settled = True
        self._run_checked(CONVERGENCE_MS)
        self.heal()
        self._run_checked(CONVERGENCE_MS)
        if not self.found_violations and not self.views_agree():
            held = {node.number: sorted(self.live_members(node)) for node in self.running_nodes()}
            seconds = f"{CONVERGENCE_MS / 1000:.1f} s"
            self.found_violations.append(f"views differ {seconds} after the last fault: {held}")

    def _run_checked(self, for_ms: float) -> None:
        """Play all events of the next ms, or up to the first violation."""
        ends_at = self.now + for_ms
        while self.events and self.events[0][0] <= ends_at and not self.found_violations:
            self.next_event()
        self.now = ends_at

    def _check_shares(self) -> None:
        """Property 2: all count whoever has run for a lease among those that may be serving."""
        count = len(self.nodes)
        lease_ms = self.timing.lease_ms
        serving = sum(
            1 for node in self.running_nodes() if self.now > self.started_at[node.number] + lease_ms
        )
        for node in self.running_nodes():
            if node.local_member is None or self.now < node.paused_until:
                continue  # a paused one decides nothing
            counted = node.local_member.active_members(self.now, 0, count)
            if counted < serving:
                self.found_violations.append(
                    f"g{node.number} divides by {counted} while {serving} of {count} serve, "
                    f"at {self.now:.0f} ms"
                )

    # What a search asks.

    def violations(self) -> list[str]:
        """What does not hold."""
        return self.found_violations

    def digest(self) -> Digest:
        """Equal for states that go on in the same ways.

        The order in which events were made is left out; events of one moment keep it.
        """
        events = [
            (due, act.__name__, arguments)
            for due, _, act, arguments in sorted(self.events, key=due_and_number)
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


def due_and_number(event: tuple[Any, ...]) -> tuple[Any, ...]:
    """When an event is due, and its number."""
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
