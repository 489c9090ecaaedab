"""The protocol spoken with clients, on one connection each.

It never replies by itself, stores a request or changes a state: it passes inputs to the state machine.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IAddress, IHalfCloseableProtocol
from twisted.internet.protocol import ServerFactory
from twisted.python.failure import Failure
from zope.interface import implementer

from granitedock.service.callbacks import InputHandler
from granitedock.service.close_detector import CloseDetector, ReadAhead, read_once
from granitedock.service.errors import RequestFormatError
from granitedock.service.input_scheduler import InputScheduler, PollTimes
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.service.memory_budget import MemoryBudget
from granitedock.service.parsed_request import REQUEST_COMMANDS, parse_request
from granitedock.service.resp_receiver import RespReceiver
from granitedock.service.socket_queue import has_unread_input, unsent_bytes

# Input that is read from a client that leaves replies unread; a read may exceed it.
MAX_PAUSED_INPUT_BYTES = 4096
# Of the budget for commands in part, what may be used up for input that is read ahead of the parser.
MAX_AHEAD_SHARE = 0.5
NOT_A_COMMAND = "not a command"  # A reason, sent to the client in an error reply.


@implementer(IHalfCloseableProtocol)
class ClientProtocol(RespReceiver):
    """A client's connection. Parses no further input while the client leaves replies unread."""

    record: Any = None  # The state machine's `ClientConnection`.

    shares_read_time = True
    is_preferred = False  # Until the first request.

    def __init__(
        self,
        handle_input: InputHandler,
        limits: Limits,
        scheduler: InputScheduler | None = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Create the protocol; `budget` bounds the commands that all connections have received in part."""
        super().__init__(limits.line, limits.value, limits.whole, limits.items, 1)
        self.scheduler = scheduler
        self.budget = budget
        self.handle_input = handle_input
        self.limits = limits
        # The earliest time at which input that is parsed now may have arrived, Unix ms.
        self.earliest_arrival_ms = inf
        self.may_wait_in_kernel = True  # Input may have arrived that no read has found.
        self.kernel_drained_at_ms = inf  # When a read last found all input, Unix ms.
        self.close_detector: CloseDetector | None = None  # Set at the accept; without a scheduler, None.
        self.ahead_bytes = 0  # Of the budget, for buffered input that was read ahead.
        self.input_held = False  # Until earlier commands have their replies.
        self.dropped_bytes = 0  # Bytes dropped since `drain_input` last resumed reading.

    def connectionMade(self) -> None:
        """Set up the accepted connection and pass it to the state machine."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = self.limits.write_buffer  # Of output; reads have a size of their own.
        self.transport.registerProducer(self, True)
        if self.scheduler is not None:
            self.close_detector = CloseDetector(self.transport)
            if self.close_detector.uses_state:
                polls = self.scheduler.polls
                waited_ms = polls.ms_since_last_data(self.transport)  # In the listener's backlog.
                self.kernel_drained_at_ms = polls.last_poll_ended_ms - waited_ms
            elif self.has_closed(look_ahead=False):
                self.handle_input(Input.CLIENT_RESET_IN_BACKLOG)
                self.abort()
                return
        self.handle_input(Input.CLIENT_CONNECTED, self)

    def connectionLost(self, _reason: Failure | None = None) -> None:
        """Notify the state machine that the connection is lost, if it knows it."""
        self.release_budget()
        self.clearLineBuffer()
        self.release_ahead_bytes()
        record = self.record
        self.record = None  # Breaks a reference cycle that otherwise lives until a garbage collection.
        if record is not None:
            self.handle_input(Input.CLIENT_DISCONNECTED, record)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes, and bound the input that is read and dropped.

        Prevents peers that keep sending to a closing connection from using up the processor: between two runs
        of the maintenance a bounded amount is read and dropped, then reading pauses; outstanding replies can
        still be sent and read.
        """
        if self.ignoring_input:
            self.received_bytes += len(data)
            self.dropped_bytes += len(data)
            if self.dropped_bytes > self.limits.unread:
                self.transport.pauseProducing()
            return
        if self.scheduler is not None and data:
            self.record_arrival(len(data), self.scheduler.polls)
        if self.scheduler is not None and len(data) >= self.limits.read and self.is_told_of_close():
            self.wait_for_slice(self.scheduler.add_new)  # `continue_parsing` looks for the close.
        super().dataReceived(data)
        if self.paused and len(self._buffer) > MAX_PAUSED_INPUT_BYTES:
            self.may_wait_in_kernel = True
            self.transport.pauseProducing()

    def record_arrival(self, read_bytes: int, polls: PollTimes) -> None:
        """Record when the bytes that were just read may have arrived at the earliest.

        While a connection is not read, its input waits in the kernel, and no poll tells since when.
        """
        arrival_ms = polls.earliest_arrival_ms
        if self.may_wait_in_kernel:
            arrival_ms = min(arrival_ms, self.kernel_drained_at_ms)
        has_earlier_input = self._buffer or self.parsing
        self.earliest_arrival_ms = (
            min(self.earliest_arrival_ms, arrival_ms) if has_earlier_input else arrival_ms
        )
        self.may_wait_in_kernel = read_bytes >= self.limits.read
        if not self.may_wait_in_kernel:
            self.kernel_drained_at_ms = polls.last_poll_ended_ms

    def wait_for_slice(self, queue: Callable[[RespReceiver], None]) -> None:
        """Pause reading, and queue this connection at the scheduler by `queue`, unless it waits already."""
        self.may_wait_in_kernel = True
        super().wait_for_slice(queue)

    def continue_parsing(self, deadline: float) -> None:
        """Parse buffered input, unless the client has closed the connection since it was read."""
        if not self.check_peer(look_ahead=False):
            super().continue_parsing(deadline)

    def value_received(self, value: Any, parts: list[bytes]) -> None:
        """Pass a request or another command to the state machine, or reject the input."""
        if type(value) is not list or not value or type(value[0]) is not bytes:
            self.reject_input(NOT_A_COMMAND)
            return
        if value[0] in REQUEST_COMMANDS:
            try:
                request = parse_request(value, parts, self.limits)
            except RequestFormatError as error:
                self.reject_input(str(error))
            else:
                self.is_preferred = True
                self.handle_input(Input.REQUEST_RECEIVED, self.record, request)
        else:
            self.handle_input(Input.COMMAND_RECEIVED, self.record, value[0].upper())

    def value_shed(self) -> None:
        """Pass on that a command was dropped for want of memory."""
        self.handle_input(Input.COMMAND_SHED, self.record)

    def malformed(self, reason: str) -> None:
        """Notify the state machine of malformed input."""
        self.handle_input(Input.CLIENT_MALFORMED, self.record, reason)

    def pauseProducing(self) -> None:
        """Stop parsing while the client leaves replies unread; some input is still read, and buffered.

        Prevents a close from going undetected: without any reading, a disconnected client looks like a slow
        one. A close behind more input is detected by `check_peer`.
        """
        self.paused = True
        self.handle_input(Input.CLIENT_WRITE_PAUSED, self.record)

    def resumeProducing(self) -> None:
        """Resume parsing, as the client reads its replies again."""
        self.handle_input(Input.CLIENT_WRITE_RESUMED, self.record)
        super().resumeProducing()

    # Effects of the state machine.

    def write(self, data: bytes) -> None:
        """Write bytes; the transport of a client passes them to the socket at once."""
        self.transport.write(data)

    def close(self) -> None:
        """Half-close the connection: close the sending direction once all output is written.

        A client whose command crosses the close can tell from the half-close that the command was not read; a
        full close would reset the connection and destroy output written before.
        """
        self.ignoring_input = True
        self.write_collected()
        self.transport.unregisterProducer()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()
        self.write_now()

    def close_both_sides(self) -> None:
        """Close both directions at once, without waiting for the next iteration of the event loop.

        Intended for an idle client, which has read all replies long before: its file descriptor is freed.
        Prevents a decision to close from taking effect only after the input of other connections, while
        requests arrive that the close then resets.
        """
        self.ignoring_input = True
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        if (reason := self.write_now()) is not None:
            self.transport.stopWriting()
            self.transport.connectionLost(Failure(reason))

    def abort(self) -> None:
        """Reset the connection."""
        self.ignoring_input = True
        self.transport.abortConnection()

    def drain_input(self) -> None:
        """Resume reading and dropping input if it is paused, so that the close by the client is detected."""
        if self.dropped_bytes > self.limits.unread:
            self.dropped_bytes = 0
            self.transport.resumeProducing()

    def unsent_bytes(self) -> int:
        """Return how many bytes of replies wait in this process because the client does not read them."""
        return unsent_bytes(self.transport)

    def input_waits(self) -> bool:
        """Return whether received input waits for the scheduler, or for replies to earlier commands."""
        return self.waits_for_slice or self.input_held

    def accepts_input(self) -> bool:
        """Return whether further input is parsed now."""
        return not (self.paused or self.input_held or self.ignoring_input or self.transport.disconnecting)

    def hold_input(self) -> None:
        """Stop reading and parsing, as too many commands wait for their replies."""
        self.input_held = True
        self.may_wait_in_kernel = True
        self.transport.pauseProducing()

    def release_input(self) -> None:
        """Go on reading and parsing."""
        self.input_held = False
        self.resume_input()

    def check_peer(self, look_ahead: bool = True) -> bool:
        """Return whether the client has closed the connection; if so, end it.

        Needed where the close may be unread behind other input. `look_ahead` is whether to read ahead where
        the descriptor does not tell of a close, which takes memory from a common budget.
        """
        if not self.transport.connected:
            return True
        if not self.has_closed(look_ahead):
            return False
        self.ignoring_input = True
        self.transport.stopReading()
        self.transport.stopWriting()
        self.transport.reactor.callLater(0, self.end_connection)
        return True

    def end_connection(self) -> None:
        """End a connection that the client has closed."""
        if self.transport.connected:
            self.transport.connectionLost(Failure(ConnectionDone()))

    def is_told_of_close(self) -> bool:
        """Return whether the descriptor tells of a close, which reading ahead has to confirm."""
        detector = self.close_detector
        if detector is None:
            return False
        detector.check_count(self.received_bytes)
        return detector.tells_close()

    def has_closed(self, look_ahead: bool) -> bool:
        """Return whether the client has closed the connection, read or not."""
        detector = self.close_detector
        if detector is None:
            return False
        is_told = self.is_told_of_close()
        if not is_told and (detector.uses_state or not look_ahead):
            return False
        return detector.is_closed(self.read_ahead())

    def read_ahead(self) -> ReadAhead:
        """Buffer what has arrived, up to the length of a command, to find a close.

        Beyond what one read takes, the input counts against the budget.
        """
        if self.ignoring_input or self.budget is None:
            return ReadAhead.MORE
        while len(self._buffer) < self.limits.whole:
            if len(self._buffer) < self.limits.read:
                found = read_once(self.transport, self.limits.read)
            else:
                found = self.read_within_budget(self.budget)
            if isinstance(found, ReadAhead):
                return found
            self.buffer_input(found)
        return ReadAhead.MORE

    def read_within_budget(self, budget: MemoryBudget) -> bytes | ReadAhead:
        """Read what counts against the budget, if it has room."""
        max_bytes = self.limits.read
        if not budget.take(max_bytes, MAX_AHEAD_SHARE):
            return ReadAhead.MORE
        found = read_once(self.transport, max_bytes)
        read_bytes = 0 if isinstance(found, ReadAhead) else len(found)
        budget.give_back(max_bytes - read_bytes)
        self.ahead_bytes += read_bytes
        return found

    def buffer_input(self, data: bytes) -> None:
        """Buffer received bytes until a slice of time in which they are parsed."""
        if self.scheduler is not None:
            self.record_arrival(len(data), self.scheduler.polls)
            if self.accepts_input():
                self.wait_for_slice(self.scheduler.add_backlogged)
        super().dataReceived(data)

    def parse_input(self, data: bytes, deadline: float | None) -> bool:
        """Parse the buffered bytes and the data; what is parsed leaves the budget."""
        try:
            return super().parse_input(data, deadline)
        finally:
            self.release_ahead_bytes()

    def release_ahead_bytes(self) -> None:
        """Free what the budget counts beyond the buffered input."""
        if self.budget is not None and self.ahead_bytes > len(self._buffer):
            self.budget.give_back(self.ahead_bytes - len(self._buffer))
            self.ahead_bytes = len(self._buffer)

    def check_unread(self, then: str) -> None:
        """Handle the input `then` if no received byte is unread or unparsed, and all output is sent.

        Prevents closing the connection over commands that arrived while this process was slow, and the loss
        of replies by the reset that the kernel sends when a socket with unread bytes is closed. A connection
        with unsent output could not be closed at once, and commands that arrive until then would be lost.
        """
        self.write_collected()
        is_settled = not (self.input_waits() or self.unsent_bytes())
        if self.transport.connected and is_settled and not has_unread_input(self.transport):
            self.handle_input(then, self.record)

    # Half-closes, called by the transport.

    def writeConnectionLost(self) -> None:
        """Notify the state machine that all output is written and the sending direction closed."""
        self.handle_input(Input.CLIENT_WRITE_CLOSED, self.record)

    def readConnectionLost(self) -> None:
        """Treat the close of the client's direction as the end of the connection."""
        self.transport.connectionLost(Failure(ConnectionDone()))


class ClientProtocolFactory(ServerFactory):
    """Creates a protocol for each accepted connection."""

    noisy = False

    def __init__(
        self, handle_input: InputHandler, limits: Limits, scheduler: InputScheduler | None = None
    ) -> None:
        self.handle_input = handle_input
        self.limits = limits
        self.scheduler = scheduler
        self.budget = MemoryBudget(limits.partial)

    def buildProtocol(self, addr: IAddress | None) -> ClientProtocol:  # noqa: ARG002 - The signature is Twisted's.
        """Return the protocol for a new connection."""
        return ClientProtocol(self.handle_input, self.limits, self.scheduler, self.budget)
