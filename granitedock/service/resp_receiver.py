"""RESP2 framing on Twisted's LineReceiver.

Buffers the bytes of one connection until they form a complete value, and keeps them as received. Does not
interpret values, and never buffers more than its limits, whatever the peer sends. Each byte is parsed once.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.protocols.basic import LineReceiver

from granitedock.service.input_scheduler import InputScheduler
from granitedock.service.memory_budget import MemoryBudget
from granitedock.service.resp import LINE_END, ErrorReply, join_parts, parse_length
from granitedock.service.simple_values import parse_simple_values

# Bytes in which the fast path looks for values before it hands them on; a pipelined command has some hundred.
PARSE_WINDOW_BYTES = 2048
STEPS_PER_LOOK_AT_CLOCK = 16  # Lines, of at most a KiB each, or texts.
UNRESERVED_BYTES = 1024  # Of each value, which the budget does not count.
NULL_LENGTH = b"-1"

# Reasons, sent to the peer or logged.
LINE_TOO_LONG = "line too long"
VALUE_TOO_LONG = "value too long"
ARRAY_TOO_LONG = "array too long"
BULK_STRING_NOT_ENDED = "bulk string not ended"
NOT_RESP2 = "not a RESP2 value"


class RespReceiver(LineReceiver):
    """Calls `value_received` for each complete value, and `malformed` once, after which input is ignored.

    A value comes with the parts of its bytes, which line ends separate. With a scheduler, input that takes
    longer than a slice of time is parsed in further slices; reading is paused meanwhile.
    """

    transport: Any
    scheduler: InputScheduler | None = None  # None: all input is parsed when it is received.
    # Whether input may wait before its first slice, when a poll reports much input on other connections.
    shares_read_time = False
    is_preferred = True
    budget: MemoryBudget | None = None  # Bounds incomplete values of all connections; None: no bound.

    def __init__(
        self, max_line_bytes: int, max_value_bytes: int, max_total_bytes: int, max_items: int, max_depth: int
    ) -> None:
        """Set the limits: bytes of a line, a bulk string and a whole value; items and nesting of arrays.

        A whole value includes its nested values and the framing.
        """
        self.MAX_LENGTH = max_line_bytes
        self.max_value_bytes = max_value_bytes
        self.max_total_bytes = max_total_bytes
        self.max_items = max_items
        self.max_depth = max_depth
        self.parts: list[bytes] = []  # Parts of the current value received so far.
        # Size of the current value, with the announced bytes of a bulk string that are not yet received.
        self.size_bytes = 0
        self.open_arrays: list[tuple[list[Any], int]] = []  # Incomplete arrays with their announced lengths.
        self.remaining_bytes = 0  # Missing bytes of the current bulk string and its line end.
        self.text = bytearray()  # Received bytes of the current bulk string.
        self.reserved_bytes = 0  # Of the budget, for the current value.
        self.is_shed = False  # The budget has no room for the current value: its contents are dropped.
        self.parsing = False
        self.collected_output: list[bytes] = []  # Replies to input that is being parsed.
        self.waits_for_slice = False  # Input is buffered, and the scheduler will continue.
        self.ignoring_input = False
        self.received_bytes = 0  # All bytes received on the connection so far.

    def value_received(self, value: Any, parts: list[bytes]) -> None:
        """Handle a complete value (`RespValue`)."""
        raise NotImplementedError

    def malformed(self, reason: str) -> None:
        """Handle input that is not RESP2 or exceeds the limits."""
        raise NotImplementedError

    def input_parsed(self) -> None:
        """Handle the end of the input received so far: all complete values are handled."""

    def send(self, data: bytes) -> None:
        """Write now instead of in the next iteration of the event loop.

        Bytes that the socket does not accept now are written then. While input of this connection is parsed,
        its replies are collected and written together.
        """
        if self.parsing:
            self.collected_output.append(data)
        else:
            self.write(data)

    def write(self, data: bytes) -> None:
        """Write bytes, as many as the socket takes now."""
        self.transport.write(data)
        self.write_now()

    def write_collected(self) -> None:
        """Write the replies that were collected."""
        if self.collected_output:
            data = b"".join(self.collected_output)
            self.collected_output = []
            self.write(data)

    def write_now(self) -> Exception | None:
        """Write what the transport buffers, and half-close the connection if that is to follow.

        Returns why the connection is over, or None if it is open; the transport reports it later.
        """
        return self.transport.doWrite() if self.transport.connected else None

    def has_partial_message(self) -> bool:
        """Return whether a value is partly received, or input waits to be parsed."""
        return bool(self.parts or self._buffer)

    def reject_input(self, reason: str) -> None:
        """Drop and ignore all input of a peer that sends invalid RESP2 or too much; call `malformed`."""
        self.ignoring_input = True
        self.parts = []
        self.open_arrays = []
        self.text = bytearray()
        self.clearLineBuffer()
        self.release_budget()
        self.malformed(reason)

    # Received input, in slices of time.

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes, in a time that is linear in their number however they are cut.

        Replaces the loop of `LineReceiver`, which copies all bytes after a line, or after a bulk string, for
        each one. With thousands of short values in one read, that copying held the event loop for seconds.
        """
        self.received_bytes += len(data)
        if self.ignoring_input:
            return
        if self.parsing or self.waits_for_slice or not self.accepts_input():
            self._buffer += data
        elif self.receive_single_value(data):
            self.input_parsed()
        elif self.scheduler is None:
            self.parse_input(data, None)
            self.input_parsed()
        elif self.shares_read_time and not self.scheduler.has_time_for_reads():
            self._buffer += data
            self.wait_for_slice(self.scheduler.add_new)
        elif self.parse_input(data, self.scheduler.read_deadline(self)):
            self.wait_for_slice(self.scheduler.add_backlogged)
        else:
            self.input_parsed()

    def receive_single_value(self, data: bytes) -> bool:
        """Handle the data if it is one simple value and nothing else, which is the usual case.

        Returns whether it was. Spares the usual case the work for slices.
        """
        if self.parts or self._buffer or len(data) > PARSE_WINDOW_BYTES:
            return False
        if self.shares_read_time and self.scheduler and not self.scheduler.has_time_for_reads():
            return False
        values, rest = parse_simple_values(data, self.max_items, self.max_value_bytes)
        if rest or len(values) != 1:
            return False
        self.parsing = True
        try:
            self.value_received(*values[0])
        finally:
            self.parsing = False
        self.write_collected()
        return True

    def wait_for_slice(self, queue: Callable[[RespReceiver], None]) -> None:
        """Pause reading, and queue this connection at the scheduler by `queue`, unless it waits already."""
        if not self.waits_for_slice:
            self.waits_for_slice = True
            self.transport.pauseProducing()
            queue(self)

    def continue_parsing(self, deadline: float) -> None:
        """Parse buffered input until `deadline`, one value at least, and wait again if more is left.

        Called by the scheduler.
        """
        self.waits_for_slice = False
        if not self.transport.connected:
            return
        if self.accepts_input() and self.parse_input(b"", deadline) and self.scheduler is not None:
            self.wait_for_slice(self.scheduler.add_backlogged)
        else:
            self.resume_reading()
            self.input_parsed()

    def resume_reading(self) -> None:
        """Read further input, unless earlier input is not parsed yet."""
        if self.ignoring_input or (self.accepts_input() and not self.waits_for_slice):
            self.transport.resumeProducing()

    def resumeProducing(self) -> None:
        """Parse further input after a pause."""
        self.paused = False
        self.resume_input()

    def resume_input(self) -> None:
        """Parse input that was buffered while none was accepted, then read further input."""
        if not self._buffer or not self.accepts_input():
            self.resume_reading()
        elif self.scheduler is not None:
            self.wait_for_slice(self.scheduler.add_backlogged)
        else:
            self.transport.resumeProducing()
            self.dataReceived(b"")

    def discard_input(self) -> None:
        """Reset the connection, as parsing failed with an error. Called by the scheduler."""
        self.ignoring_input = True
        self.transport.abortConnection()

    def parse_input(self, data: bytes, deadline: float | None) -> bool:
        """Parse the buffered bytes and the data, and buffer what is left.

        Returns whether the deadline has passed with input left that may be complete.
        """
        received = self._buffer + data if self._buffer else data
        self._buffer = b""
        self.parsing = True
        try:
            position = self.receive_values(received, deadline)
        finally:
            self.parsing = False
        if not self.ignoring_input:
            # While values were handled, further bytes may have been buffered.
            self._buffer = received[position:] + self._buffer
        self.write_collected()
        return bool(self._buffer) and self.accepts_input() and self.is_past(deadline)

    def is_past(self, deadline: float | None) -> bool:
        """Return whether this time of the scheduler's clock has come."""
        return deadline is not None and self.scheduler is not None and self.scheduler.clock() >= deadline

    def accepts_input(self) -> bool:
        """Return whether further input is parsed now."""
        return not (self.paused or self.ignoring_input or self.transport.disconnecting)

    def receive_values(self, received: bytes, deadline: float | None) -> int:
        """Handle values until the input is incomplete, is no longer accepted, or the deadline has passed.

        Returns the position of the first byte that is not handled. The fast path is tried at the boundary of
        values until it fails.
        """
        position = 0
        if not self.parts:
            while position < len(received) and self.accepts_input():
                used_bytes = self.receive_simple_values(received, position, deadline)
                position += used_bytes
                if not used_bytes:
                    break
                if self.is_past(deadline):
                    return position
        return self.receive_lines(received, position, deadline)

    def receive_simple_values(self, received: bytes, start: int, deadline: float | None) -> int:
        """Handle the complete, simple values from `start` on; returns the number of their bytes.

        This fast path covers nearly all input. A long value is looked for if the first bytes have none.
        """
        window = received[start : start + PARSE_WINDOW_BYTES]
        values, rest = parse_simple_values(window, self.max_items, self.max_value_bytes)
        if not values and len(received) - start > len(window):
            window = received[start : start + self.max_total_bytes]
            values, rest = parse_simple_values(window, self.max_items, self.max_value_bytes)
        for number, (value, parts) in enumerate(values):
            if not self.accepts_input() or (number and self.is_past(deadline)):
                unhandled_bytes = sum(len(join_parts(later)) for _, later in values[number:])
                return len(window) - len(rest) - unhandled_bytes
            self.value_received(value, parts)
        return len(window) - len(rest)

    # The slow path: line by line.

    def receive_lines(self, received: bytes, position: int, deadline: float | None) -> int:
        """Handle lines and texts from `position` on; returns the position of the first unhandled byte."""
        steps = 0
        while position < len(received) and self.accepts_input():
            steps += 1
            if steps % STEPS_PER_LOOK_AT_CLOCK == 0 and self.is_past(deadline):
                break
            if not self.line_mode:
                text = received[position : position + self.remaining_bytes]
                position += len(text)
                self.rawDataReceived(text)
                continue
            line_end = received.find(LINE_END, position, position + self.MAX_LENGTH + len(LINE_END))
            if line_end >= 0:
                line = received[position:line_end]
                position = line_end + len(LINE_END)
                self.lineReceived(line)
            elif len(received) - position >= self.MAX_LENGTH + len(LINE_END):
                self.lineLengthExceeded(received[position:])
            else:
                break
        return position

    def lineLengthExceeded(self, _line: bytes) -> None:
        """Reject a line that is too long."""
        self.reject_input(LINE_TOO_LONG)

    def lineReceived(self, line: bytes) -> None:
        """Handle a line outside a bulk string, by its type byte."""
        type_byte = line[:1]
        payload = line[1:]
        self.size_bytes += len(line) + len(LINE_END)
        if self.size_bytes > self.max_total_bytes:
            self.reject_input(VALUE_TOO_LONG)
            return
        self.reserve_budget()
        if not self.is_shed:
            self.parts.append(line)
        if type_byte in (b"$", b"*"):
            self.length_received(type_byte, payload)
        elif type_byte == b"+":
            self.add_value(None if self.is_shed else payload.decode("latin-1"))
        elif type_byte == b"-":
            self.add_value(None if self.is_shed else ErrorReply(payload))
        elif type_byte == b":" and payload.removeprefix(b"-").isdigit():
            self.add_value(int(payload))
        else:
            self.reject_input(NOT_RESP2)

    def length_received(self, type_byte: bytes, digits: bytes) -> None:
        """Handle the header line of a bulk string or an array."""
        length = parse_length(digits)
        if digits == NULL_LENGTH:
            self.add_value(None)
        elif length < 0:
            self.reject_input(NOT_RESP2)
        elif type_byte == b"$":
            self.begin_bulk_string(length)
        else:
            self.begin_array(length)

    def begin_bulk_string(self, length: int) -> None:
        """Begin a bulk string of `length` bytes, if it is within the limits."""
        self.remaining_bytes = length + len(LINE_END)
        self.size_bytes += self.remaining_bytes
        if length > self.max_value_bytes or self.size_bytes > self.max_total_bytes:
            self.reject_input(VALUE_TOO_LONG)
        else:
            self.reserve_budget()
            self.setRawMode()

    def begin_array(self, count: int) -> None:
        """Begin an array of `count` items, if it is within the limits."""
        if count > self.max_items or len(self.open_arrays) >= self.max_depth:
            self.reject_input(ARRAY_TOO_LONG)
        elif count:
            self.open_arrays.append(([], count))
        else:
            self.add_value([])

    def rawDataReceived(self, data: bytes) -> None:
        """Handle bytes of the current bulk string and its line end, at most `remaining_bytes`.

        Of a value that is shed, only the last bytes are kept, which hold the line end.
        """
        received_bytes = len(data)
        if self.is_shed:
            data = data[-len(LINE_END) :]
            del self.text[: len(self.text) + len(data) - len(LINE_END)]
        self.text += data
        self.remaining_bytes -= received_bytes
        if self.remaining_bytes:
            return
        text = bytes(self.text)
        self.text = bytearray()
        if not text.endswith(LINE_END):
            self.reject_input(BULK_STRING_NOT_ENDED)
            return
        text = text[: -len(LINE_END)]
        if not self.is_shed:
            self.parts.append(text)
        self.setLineMode()
        self.add_value(text)

    def add_value(self, value: Any) -> None:
        """Add a complete value to the innermost incomplete array, or pass it to `value_received`."""
        while self.open_arrays:
            array, count = self.open_arrays[-1]
            array.append(value)
            if len(array) < count:
                return
            self.open_arrays.pop()
            value = array
        parts = self.parts
        self.parts = []
        self.size_bytes = 0
        if self.is_shed:
            self.is_shed = False
            self.value_shed()
        else:
            self.value_received(value, parts)
        self.release_budget()

    # The memory of values that arrive in several reads.

    def value_shed(self) -> None:
        """Handle the end of a value whose contents were dropped for want of memory."""
        raise NotImplementedError

    def reserve_budget(self) -> None:
        """Reserve the announced bytes of the current value, or shed it if all connections hold too many.

        The first bytes of each value are free.
        """
        missing_bytes = self.size_bytes - self.reserved_bytes
        if self.budget is None or self.is_shed or self.size_bytes <= UNRESERVED_BYTES:
            return
        if self.budget.take(missing_bytes):
            self.reserved_bytes += missing_bytes
        else:
            self.is_shed = True
            self.parts = [b""]  # Not empty, as the value is not complete.
            self.open_arrays = [([None] * len(array), count) for array, count in self.open_arrays]
            self.release_budget()

    def release_budget(self) -> None:
        """Free the bytes that are reserved for the current value."""
        if self.budget is not None:
            self.budget.give_back(self.reserved_bytes)
        self.reserved_bytes = 0
