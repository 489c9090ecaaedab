"""A small fleet, with the program's own view and seats, and every placing of a few faults early on.

The wire and the clock are those of `lab/simulators/`, without chance of their own. While faults are left and
the window lasts, each datagram may be lost, doubled or late, and before each event a gateway may crash,
vanish, restart, be paused or cut off; then all is healed and the rest is played to its end in one step.
Checked all along: nobody who runs is held for ended by proof, and nobody's share is divided among others
while it runs; at the end: all views agree within the stated time.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import Any

from granitedock.lab.simulators.membership_simulation import MembershipSimulation, SimulatedNode
from granitedock.lab.simulators.simulated_network import NetworkConditions
from granitedock.membership.member import MemberState
from granitedock.membership.timing import Timing
from granitedock.model_checking.explore import Move
from granitedock.model_checking.state_digest import state_digest

LATE_MS = 1000.0  # past every time-out of a probe
PAUSE_MS = 3000.0  # longer than a period, a gap and the shortest suspicion
SETTLES_MS = 13_300.0  # the stated time: a silence of many is known to all, and views agree again


@dataclass(frozen=True, slots=True)
class Fleet:
    """`gateways` that know each other; `faults` placed within `window_ms`."""

    gateways: int = 3
    faults: int = 1
    window_ms: float = 1200.0


class Views(MembershipSimulation):
    """Moves: ("pass",), ("lose",), ("twice",), ("late",) for the datagram that leaves now; ("event",),
    ("crash", n), ("vanish", n), ("start", n), ("pause", n), ("part", n), ("mend",), ("settle",) between."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.left, self.leaving = fleet, fleet.faults, []
        self.wrong: list[str] = []
        self.settled = False
        self.since: dict[int, float] = {}  # when each that runs was started
        network = NetworkConditions(latency_ms=(1.0, 1.0))
        super().__init__(fleet.gateways, 3, Timing(), network, already_joined=True)
        self.on_change, self.delivery_filter = self.changed, self.always
        self.leaving.clear()
        self.ends = self.now + fleet.window_ms

    def always(self, *_: Any) -> bool:
        return True

    def start(self, n: int, seeds: tuple[str, ...] | None = None) -> None:
        if seeds is None:
            seeds = tuple(node.address for node in self.nodes)
        super().start(n, seeds)
        self.since[n] = self.now

    def changed(self, now: float, node: SimulatedNode, change: Any) -> None:
        """Property 1: `gone` is proof, and a proof is never of one that runs, under its own incarnation."""
        at = self.nodes_by_address.get(change.member.address)
        if change.member.state is MemberState.GONE and at is not None and at.local_member is not None:
            if at.local_member.membership.local.started_at == change.member.started_at:
                self.wrong.append(f"g{node.number} holds g{at.number} for gone, which runs")

    def send(self, node: SimulatedNode, address: str, message: Any) -> None:
        if self.settled or not hasattr(self, "ends"):
            super().send(node, address, message)
        else:
            self.leaving.append((node, address, message))

    def moves(self) -> list[Move]:
        if self.wrong or self.settled:
            return []
        if not self.left or self.now >= self.ends:
            return [("settle",)]
        if self.leaving:
            return [("pass",), ("lose",), ("twice",), ("late",)]
        found: list[Move] = [("event",)]
        for node in self.nodes:
            if node.local_member is None:
                found.append(("start", node.number))
            else:
                found += [(what, node.number) for what in ("crash", "vanish", "pause", "part")]
        return found + [("mend",)] * bool(self.blocked_links)

    def play(self, move: Move) -> None:
        what, *which = move
        self.left -= what not in ("pass", "event", "settle")
        if what in ("pass", "lose", "twice", "late"):
            node, address, message = self.leaving.pop(0)
            target = self.nodes_by_address[address]
            after = {"pass": (1.0,), "lose": (), "twice": (1.0, 2.0), "late": (LATE_MS,)}[what]
            for ms in after:
                self.schedule(ms, self.deliver, node, target, message)
        elif what == "event":
            self.now, _, act, how = heapq.heappop(self.events)
            act(*how)
            self.shares()
        elif what == "settle":
            self.settle()
        elif what == "pause":
            self.pause(which[0], PAUSE_MS)
        elif what == "part":
            self.partition(which, [n for n in range(len(self.nodes)) if n not in which])
        elif what == "mend":
            self.heal()
        elif what == "vanish":
            self.crash(which[0], host_down=True)
        else:
            getattr(self, what)(which[0])

    def settle(self) -> None:
        """No more faults: what was cut stays so for half of the stated time, then all is healed."""
        while self.leaving:
            self.play(("pass",))
        self.settled = True
        for cut in (True, False):
            if not cut:
                self.heal()
            ends = self.now + SETTLES_MS
            while self.events and self.events[0][0] <= ends and not self.wrong:
                self.now, _, act, how = heapq.heappop(self.events)
                act(*how)
                self.shares()
            self.now = ends
        if not self.wrong and not self.views_agree():
            held = {node.number: sorted(self.live_members(node)) for node in self.running_nodes()}
            self.wrong.append(f"views differ {SETTLES_MS / 1000:.1f} s after the last fault: {held}")

    def shares(self) -> None:
        """Property 2: whoever has run for a lease is counted by everybody among those who may be serving."""
        count, lease = len(self.nodes), self.timing.lease_ms
        serving = sum(1 for node in self.running_nodes() if self.now > self.since[node.number] + lease)
        for node in self.running_nodes():
            if self.now < node.paused_until:
                continue  # it decides nothing
            counted = node.local_member.active_members(self.now, 0, count)
            if counted < serving:
                who = f"g{node.number} divides by {counted} while {serving} of {count} serve"
                self.wrong.append(f"{who}, at {self.now:.0f} ms")

    def violations(self) -> list[str]:
        return self.wrong

    def digest(self) -> bytes:
        """What was made when is left out; events of one moment keep their order."""
        events = [(due, act.__name__, what) for due, _, act, what in sorted(self.events, key=order)]
        state = [self.now, self.left, self.settled, sorted(self.blocked_links), self.since, self.leaving]
        return state_digest(state, self.nodes, events)


def order(event: tuple) -> tuple:
    return event[:2]
