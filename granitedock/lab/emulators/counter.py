"""An emulator of the counter service on loopback, with the faults that a scenario gives it.

It answers the calls that `service/counter_protocol.py` writes: `TALLY name amount life_ms` adds `amount` to
the name's total for `life_ms` and answers the total of what is still alive, as a bulk string; `PING` is
answered `+PONG`. Faults on the target `counter`: `kill` (listener and connections gone for `for_s`, back
empty), `restart_empty` (connections reset and totals forgotten, at once), `partition` (connections stay open
and answers are held for `for_s`, then written), `stale` (for `for_s`, totals as they stood when it began).

Run as `python -m granitedock.lab.emulators.counter SCENARIO`: it prints its address as one JSON line and
serves until SIGTERM. Source: docs/lab-design.md ("The counter and discovery").
"""

from __future__ import annotations

import sys
import time
from collections import defaultdict, deque
from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from granitedock.lab.emulators.process import LOOPBACK, listen_on_loopback, run_until_sigterm, vanish
from granitedock.lab.fault_targets import FaultKind, TargetKind
from granitedock.lab.reactor import REACTOR
from granitedock.lab.resp_connection import RespConnection
from granitedock.lab.scenario import Scenario, load
from granitedock.service.counter_protocol import format_amount
from granitedock.service.resp import encode_bulk_string

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.internet.posixbase import PosixReactorBase

CHECK_EVERY_S = 0.05
TALLY_WORDS = 4  # the call's name, the counter's name, the amount and its life


class Increment(NamedTuple):
    """An amount that counts until `expires_ms` of the run's clock."""

    expires_ms: float
    amount: float


class ExpiringCounts:
    """For each name, the increments that are still alive. Times are ms of the run's clock."""

    def __init__(self) -> None:
        self.increments: defaultdict[bytes, deque[Increment]] = defaultdict(deque)

    def add(self, name: bytes, number: float, life_ms: float, now: float) -> float:
        """Add `number` to a name's total for `life_ms`; returns the total."""
        self.increments[name].append(Increment(now + life_ms, number))
        return self.total(name, now)

    def total(self, name: bytes, now: float) -> float:
        """The sum of a name's increments that are alive."""
        alive = self.increments[name]
        while alive and alive[0].expires_ms <= now:  # lives are the same for a name: the first expires first
            alive.popleft()
        return sum(increment.amount for increment in alive)

    def copy(self) -> ExpiringCounts:
        """The same counts, apart from these."""
        other = ExpiringCounts()
        copied = {name: deque(alive) for name, alive in self.increments.items()}
        other.increments = defaultdict(deque, copied)
        return other


class CounterEmulator:
    """The emulated counter service: its counts, its connections and its faults."""

    def __init__(self, scenario: Scenario, reactor: PosixReactorBase = REACTOR) -> None:
        self.reactor = reactor
        self.started_at = time.monotonic()
        self.faults = [fault for fault in scenario.timeline if fault.target == TargetKind.COUNTER]
        self.counts = ExpiringCounts()
        self.stale_counts: ExpiringCounts | None = None  # answered from while a `stale` fault holds
        self.frozen_counts: ExpiringCounts | None = None  # answered from while a test sets it
        self.connections: set[CounterServerConnection] = set()
        self.port: IListeningPort | None = None
        self.port_number = 0
        self.restarts_done: set[int] = set()  # positions in `faults`
        self.stopped = False

    def now_ms(self) -> float:
        """Time since the timeline began."""
        return (time.monotonic() - self.started_at) * 1000.0

    def is_fault_active(self, kind: FaultKind) -> bool:
        """Whether a fault of this kind holds now."""
        now_s = self.now_ms() / 1000.0
        return any(fault.kind == kind and fault.is_active(now_s) for fault in self.faults)

    def listen(self) -> str:
        """Take connections; returns the address, which stays the same over kills."""
        self.port, self.port_number = listen_on_loopback(
            self.reactor, self.port_number, lambda: CounterServerConnection(self)
        )
        return f"{LOOPBACK}:{self.port_number}"

    def reset_connections(self) -> None:
        """End every connection with a reset."""
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def apply_faults(self) -> None:
        """Begin and end faults, every 50 ms from the first call on."""
        if self.stopped:
            return
        self.apply_kill()
        self.apply_restarts()
        stale = self.is_fault_active(FaultKind.STALE)
        if stale and self.stale_counts is None:
            self.stale_counts = self.counts.copy()
        elif not stale:
            self.stale_counts = None
        if not self.is_fault_active(FaultKind.PARTITION):
            for connection in list(self.connections):
                connection.release_held_replies()
        self.reactor.callLater(CHECK_EVERY_S, self.apply_faults)

    def apply_kill(self) -> None:
        """Be gone while a `kill` holds; a process that dies forgets."""
        killed = self.is_fault_active(FaultKind.KILL)
        if killed and self.port is not None:
            vanish(self.port, self.connections)
            self.port = None
            self.counts = ExpiringCounts()
        elif not killed and self.port is None:
            self.listen()

    def apply_restarts(self) -> None:
        """Carry out each `restart_empty` whose time has come, once."""
        for position, fault in enumerate(self.faults):
            due = fault.kind == FaultKind.RESTART_EMPTY and position not in self.restarts_done
            if due and self.now_ms() >= fault.at_s * 1000:
                self.restarts_done.add(position)
                self.restart(ExpiringCounts())

    def restart(self, counts: ExpiringCounts) -> None:
        """The process is gone and back at once, with these counts."""
        self.reset_connections()
        self.counts = counts

    def stop(self) -> Deferred[None] | None:
        """End it for good; what it returns fires when the listener is closed."""
        self.stopped = True
        return vanish(self.port, self.connections) if self.port is not None else None

    def reply_to(self, words: list[bytes]) -> bytes:
        """The reply to one call, as RESP."""
        if words[:1] == [b"PING"]:
            return b"+PONG\r\n"
        if len(words) != TALLY_WORDS or words[0] != b"TALLY":
            return b"-ERR unknown call\r\n"
        try:
            number, life_ms = float(words[2]), float(words[3])
        except ValueError:
            return b"-ERR not a number\r\n"
        now = self.now_ms()
        total = self.counts.add(words[1], number, life_ms, now)
        stale = self.frozen_counts or self.stale_counts
        if stale is not None:
            total = stale.total(words[1], now)
        return encode_bulk_string(format_amount(total))


class CounterServerConnection(RespConnection):
    """One gateway's connection to the counter emulator."""

    def __init__(self, counter: CounterEmulator) -> None:
        super().__init__()
        self.counter = counter
        self.held_replies: list[bytes] = []

    def connectionMade(self) -> None:
        """It is open."""
        self.transport.setTcpNoDelay(True)
        self.counter.connections.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  Twisted's signature
        """It has ended."""
        self.counter.connections.discard(self)

    def value_received(self, value: Any, parts: list[bytes]) -> None:  # noqa: ARG002  the receiver's signature
        """Answer one call. In a partition it counts all the same: the call was made, its answer is late."""
        words = value if isinstance(value, list) else []
        reply = self.counter.reply_to([word for word in words if isinstance(word, bytes)])
        if self.counter.is_fault_active(FaultKind.PARTITION):
            self.held_replies.append(reply)
        else:
            self.send(reply)

    def release_held_replies(self) -> None:
        """Write what was held in a partition."""
        if self.held_replies:
            held = b"".join(self.held_replies)
            self.held_replies = []
            self.send(held)


def main(argv: list[str]) -> int:
    """Serve as a process; the argument is the scenario file."""
    counter = CounterEmulator(load(argv[1]))
    address = counter.listen()
    counter.apply_faults()
    return run_until_sigterm(address)


if __name__ == "__main__":
    sys.exit(main(sys.argv))
