"""Fair shares of the event loop for connections that have more input than fits into one turn.

A connection that has just been read parses its input at once, for at most a slice of time. What is left waits
in its receive buffer, and the connection waits here for further slices, in turn with the others (round
robin). Between two turns the event loop polls and runs its timers, so that other connections are not held up.
Reading from a waiting connection is paused, which bounds the buffers. Source: deficit round robin with a list
of new flows that goes first, as in RFC 8290, with time in place of bytes.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.python import log


@dataclass(frozen=True, slots=True, kw_only=True)
class TurnLimits:
    """The time that input may take, in seconds of the monotonic clock."""

    slice_s: float = 0.001  # One connection, before the next has its turn.
    # New input of a connection that has sent no request so far: hundreds that flood at once with other
    # commands then delay a request of another by less.
    short_slice_s: float = 0.0002
    turn_s: float = 0.004  # All waiting connections, before the event loop polls again.
    reads_s: float = 0.008  # All connections that one poll reports; the others wait for the next turn.
    # Connections whose input exceeds a slice get at most this share of the time in all: a process that may
    # use only a part of a core would spend it on them, and be stopped in the middle of other requests.
    backlog_share: float = 0.6


class PollTimes(Protocol):
    """When the event loop polled, in Unix ms."""

    earliest_arrival_ms: float  # Data that the last poll reported arrived no earlier, if it was read always.
    last_poll_ended_ms: float

    def ms_since_last_data(self, transport: Any) -> float:
        """Return how long ago the latest data of this connection arrived, in ms."""
        ...


class InputReceiver(Protocol):
    """A connection with input that waits to be parsed."""

    is_preferred: bool  # Its input carries work, as requests or their responses do.

    def continue_parsing(self, deadline: float) -> None:
        """Parse input until `deadline` (monotonic, s), one value at least, and wait again if more is left."""
        ...

    def discard_input(self) -> None:
        """Reset the connection, as parsing failed with an error."""
        ...


class InputScheduler:
    """The connections whose input waits for a slice of time."""

    def __init__(
        self, polls: PollTimes, limits: TurnLimits | None = None, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """`clock` returns the monotonic time in seconds."""
        self.polls = polls
        self.limits = limits or TurnLimits()
        self.clock = clock
        self.new: deque[InputReceiver] = deque()  # Have not used a slice since their last input.
        # Have used up a slice; those that carry work go first.
        self.preferred: deque[InputReceiver] = deque()
        self.others: deque[InputReceiver] = deque()
        # The time until which input is parsed when it is read; None before the first read after a poll.
        self.reads_end: float | None = None
        self.backlog_may_run_at = 0.0

    # Input that has just been read.

    def poll_ended(self) -> None:
        """Begin a new budget for the input that this poll reports."""
        self.reads_end = None

    def read_deadline(self, receiver: InputReceiver) -> float:
        """Return the time until which a connection that has just been read may parse."""
        return self.clock() + self._first_slice_s(receiver)

    def _first_slice_s(self, receiver: InputReceiver) -> float:
        return self.limits.slice_s if receiver.is_preferred else self.limits.short_slice_s

    def has_time_for_reads(self) -> bool:
        """Return whether a connection that has just been read may parse at once."""
        now = self.clock()
        if self.reads_end is None:
            self.reads_end = now + self.limits.reads_s
        return now < self.reads_end

    # Input that waits.

    def add_new(self, receiver: InputReceiver) -> None:
        """Queue a connection that has not used a slice; it has its turn before those with a backlog."""
        self.new.append(receiver)

    def add_backlogged(self, receiver: InputReceiver) -> None:
        """Queue a connection that has used up a slice."""
        (self.preferred if receiver.is_preferred else self.others).append(receiver)

    def has_backlog(self) -> bool:
        """Return whether a connection waits that has used up a slice."""
        return bool(self.preferred or self.others)

    def seconds_until_turn(self) -> float | None:
        """Return the time until `run_turn` has work to do, or None if no connection waits."""
        if self.new:
            return 0.0
        if self.has_backlog():
            return max(0.0, self.backlog_may_run_at - self.clock())
        return None

    def run_turn(self) -> None:
        """Let waiting connections parse, each for a slice, until the turn is over or none waits."""
        if not (self.new or self.has_backlog()):
            return
        now = self.clock()
        turn_ends_at = now + self.limits.turn_s
        while self.new and now < turn_ends_at:
            receiver = self.new.popleft()
            self._run_slice(receiver, now + self._first_slice_s(receiver))
            now = self.clock()
        self._run_backlog(now, turn_ends_at)

    def _run_backlog(self, began_at: float, turn_ends_at: float) -> None:
        now = began_at
        if now < self.backlog_may_run_at:
            return
        others_waiting = len(self.others)
        while self.has_backlog() and now < turn_ends_at:
            self._run_slice((self.preferred or self.others).popleft(), now + self.limits.slice_s)
            now = self.clock()
        if others_waiting and len(self.others) >= others_waiting and self.preferred:
            self._run_slice(self.others.popleft(), now + self.limits.slice_s)  # None waits for ever.
            now = self.clock()
        pause_per_second = 1.0 / self.limits.backlog_share - 1.0
        self.backlog_may_run_at = now + (now - began_at) * pause_per_second

    def _run_slice(self, receiver: InputReceiver, deadline: float) -> None:
        try:
            receiver.continue_parsing(deadline)
        except Exception:  # noqa: BLE001 - An error with one connection must not affect the others.
            log.err()
            receiver.discard_input()
