"""An emulator of the counter service on loopback, with the faults of a scenario.

The emulator answers the calls that `service/counter_protocol.py` writes. `TALLY name amount life_ms` adds
`amount` to the name's total for `life_ms` and returns the total of all unexpired increments as a bulk string.
`PING` returns `+PONG`. Faults with the target `counter`:

- `kill`: the listener and the connections are closed for `for_s`; all totals are lost.
- `restart_empty`: the connections are reset and all totals are lost, while the listener stays open.
- `partition`: the connections stay open, and replies are delayed until `for_s` is over.
- `stale`: for `for_s`, replies contain the totals from the start of the fault.

`python -m granitedock.lab.emulators.counter SCENARIO` prints the emulator's address as one JSON line and
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

from granitedock.lab.emulators.process import LOOPBACK, close_abruptly, listen_on_loopback, run_until_sigterm
from granitedock.lab.fault_targets import FaultKind, TargetKind
from granitedock.lab.reactor import REACTOR
from granitedock.lab.resp_connection import RespConnection
from granitedock.lab.scenario import Scenario, load
from granitedock.service.counter_protocol import format_amount
from granitedock.service.resp import encode_bulk_string

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.internet.posixbase import PosixReactorBase

CHECK_INTERVAL_S = 0.05
TALLY_WORDS = 4  # the call's name, the counter's name, the amount and its lifetime


class Increment(NamedTuple):
    """An amount that counts until `expires_ms` on the run's clock."""

    expires_ms: float
    amount: float


class ExpiringCounts:
    """The unexpired increments of each name. Times are in ms on the run's clock."""

    def __init__(self) -> None:
        self.increments: defaultdict[bytes, deque[Increment]] = defaultdict(deque)

    def add(self, name: bytes, amount: float, life_ms: float, now_ms: float) -> float:
        """Add `amount` to a name's total for `life_ms`; returns the total."""
        self.increments[name].append(Increment(now_ms + life_ms, amount))
        return self.total(name, now_ms)

    def total(self, name: bytes, now_ms: float) -> float:
        """Return the sum of a name's unexpired increments, and evict expired ones."""
        unexpired = self.increments[name]
        # All increments of a name have the same lifetime, so the first expires first.
        while unexpired and unexpired[0].expires_ms <= now_ms:
            unexpired.popleft()
        return sum(increment.amount for increment in unexpired)

    def copy(self) -> ExpiringCounts:
        """Return an independent copy of the counts."""
        duplicate = ExpiringCounts()
        copied = {name: deque(unexpired) for name, unexpired in self.increments.items()}
        duplicate.increments = defaultdict(deque, copied)
        return duplicate


class CounterEmulator:
    """The emulated counter service: its counts, its connections and its faults."""

    def __init__(self, scenario: Scenario, reactor: PosixReactorBase = REACTOR) -> None:
        self.reactor = reactor
        self.started_at = time.monotonic()
        self.faults = [fault for fault in scenario.timeline if fault.target == TargetKind.COUNTER]
        self.counts = ExpiringCounts()
        self.stale_counts: ExpiringCounts | None = None  # source of replies while a `stale` fault is active
        self.frozen_counts: ExpiringCounts | None = None  # source of replies while a test sets it
        self.connections: set[CounterServerConnection] = set()
        self.port: IListeningPort | None = None
        self.port_number = 0
        self.applied_restarts: set[int] = set()  # positions in `faults` of the applied restarts
        self.stopped = False

    def now_ms(self) -> float:
        """Return the time since the timeline started, in ms."""
        return (time.monotonic() - self.started_at) * 1000.0

    def is_fault_active(self, kind: FaultKind) -> bool:
        """Return whether a fault of this kind is active now."""
        now_s = self.now_ms() / 1000.0
        return any(fault.kind == kind and fault.is_active(now_s) for fault in self.faults)

    def listen(self) -> str:
        """Listen for connections; returns the address, which stays the same after a kill."""
        self.port, self.port_number = listen_on_loopback(
            self.reactor, self.port_number, lambda: CounterServerConnection(self)
        )
        return f"{LOOPBACK}:{self.port_number}"

    def reset_connections(self) -> None:
        """Reset every connection."""
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def apply_faults(self) -> None:
        """Begin and end faults, and schedule the next call in CHECK_INTERVAL_S."""
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
                connection.send_delayed_replies()
        self.reactor.callLater(CHECK_INTERVAL_S, self.apply_faults)

    def apply_kill(self) -> None:
        """Be down during a `kill` fault; all counts are lost, as a killed process loses its memory."""
        killed = self.is_fault_active(FaultKind.KILL)
        if killed and self.port is not None:
            close_abruptly(self.port, self.connections)
            self.port = None
            self.counts = ExpiringCounts()
        elif not killed and self.port is None:
            self.listen()

    def apply_restarts(self) -> None:
        """Apply each `restart_empty` fault once, when its start time is reached."""
        for position, fault in enumerate(self.faults):
            pending = fault.kind == FaultKind.RESTART_EMPTY and position not in self.applied_restarts
            if pending and self.now_ms() >= fault.at_s * 1000:
                self.applied_restarts.add(position)
                self.restart(ExpiringCounts())

    def restart(self, counts: ExpiringCounts) -> None:
        """Emulate a crash and immediate restart of the process, which then has these counts."""
        self.reset_connections()
        self.counts = counts

    def stop(self) -> Deferred[None] | None:
        """Stop permanently; returns a Deferred that fires when the listener is closed, or None."""
        self.stopped = True
        return close_abruptly(self.port, self.connections) if self.port is not None else None

    def reply_to(self, words: list[bytes]) -> bytes:
        """Return the reply to one call, encoded as RESP."""
        if words[:1] == [b"PING"]:
            return b"+PONG\r\n"
        if len(words) != TALLY_WORDS or words[0] != b"TALLY":
            return b"-ERR unknown call\r\n"
        try:
            amount, life_ms = float(words[2]), float(words[3])
        except ValueError:
            return b"-ERR not a number\r\n"
        now_ms = self.now_ms()
        total = self.counts.add(words[1], amount, life_ms, now_ms)
        stale = self.frozen_counts or self.stale_counts
        if stale is not None:
            total = stale.total(words[1], now_ms)
        return encode_bulk_string(format_amount(total))


class CounterServerConnection(RespConnection):
    """One gateway's connection to the counter emulator."""

    def __init__(self, counter: CounterEmulator) -> None:
        super().__init__()
        self.counter = counter
        self.delayed_replies: list[bytes] = []

    def connectionMade(self) -> None:
        """Register the connection."""
        self.transport.setTcpNoDelay(True)
        self.counter.connections.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  Twisted's signature
        """Unregister the connection."""
        self.counter.connections.discard(self)

    def value_received(self, value: Any, parts: list[bytes]) -> None:  # noqa: ARG002  the receiver's signature
        """Reply to one call. During a partition the call is counted too, and only its reply is delayed."""
        words = value if isinstance(value, list) else []
        reply = self.counter.reply_to([word for word in words if isinstance(word, bytes)])
        if self.counter.is_fault_active(FaultKind.PARTITION):
            self.delayed_replies.append(reply)
        else:
            self.send(reply)

    def send_delayed_replies(self) -> None:
        """Send the replies that were delayed during a partition."""
        if self.delayed_replies:
            data = b"".join(self.delayed_replies)
            self.delayed_replies = []
            self.send(data)


def main(argv: list[str]) -> int:
    """Run the emulator as a process; the argument is the scenario file."""
    counter = CounterEmulator(load(argv[1]))
    address = counter.listen()
    counter.apply_faults()
    return run_until_sigterm(address)


if __name__ == "__main__":
    sys.exit(main(sys.argv))
