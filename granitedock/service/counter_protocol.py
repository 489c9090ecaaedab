"""The protocol of connections to the counter: pipelined calls, and replies in the order of the calls.

Owns the wire format of a call and of its reply. It never repeats a call, nor decides what a call without a
reply means.
"""

from __future__ import annotations

import re
from typing import Any

from twisted.python.failure import Failure

from granitedock.policy.types import Outcome
from granitedock.service.callbacks import InputHandler
from granitedock.service.input_scheduler import InputScheduler
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.service.resp import ErrorReply, encode_command
from granitedock.service.resp_receiver import RespReceiver

PING = encode_command(b"PING")
PONG = "PONG"
OVERLOADED_CODE = b"BUSY"
ERROR_CODE = b"ERR"
# A `fullmatch` function, called as a predicate on the bytes of a reply.
IS_TOTAL = re.compile(rb"-?[0-9]{1,15}(\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?").fullmatch
INVALID_REPLY = "no answer to a call"


def format_amount(units: float) -> bytes:
    """Format units for the counter, with at most six decimals and without trailing zeros."""
    text = b"%.6f" % units
    text = text.rstrip(b"0").rstrip(b".")
    return b"0" if text in (b"-0", b"") else text


def encode_call(name: int, units: float, ttl_ms: float) -> bytes:
    """Encode a call that adds `units` to the count of this name, which expires `ttl_ms` after the call."""
    return encode_command(b"TALLY", b"%d" % name, format_amount(units), b"%d" % max(1, round(ttl_ms)))


class CounterProtocol(RespReceiver):
    """One connection to the counter."""

    record: Any = None  # The state machine's `CounterConnection`.

    def __init__(
        self, handle_input: InputHandler, limits: Limits, scheduler: InputScheduler | None = None
    ) -> None:
        super().__init__(limits.line, limits.value, limits.whole, limits.items, limits.depth)
        self.scheduler = scheduler
        self.handle_input = handle_input

    def connectionMade(self) -> None:
        """Report the established connection."""
        self.transport.setTcpNoDelay(True)
        self.handle_input(Input.COUNTER_CONNECTED, self.record, self)

    def connectionLost(self, _reason: Failure | None = None) -> None:
        """Report the closed connection."""
        self.handle_input(Input.COUNTER_DISCONNECTED, self.record)

    def input_parsed(self) -> None:
        """Report a reply that has started and is incomplete."""
        if not self.ignoring_input and self.has_partial_message():
            self.handle_input(Input.COUNTER_REPLY_STARTED, self.record)

    def value_received(self, value: Any, parts: list[bytes]) -> None:  # noqa: ARG002 - The signature is the base class's.
        """Parse a RESP value as the reply to the oldest call."""
        error_code = value.text.split(b" ", 1)[0] if type(value) is ErrorReply else b""
        if type(value) is bytes and IS_TOTAL(value):
            self.report_reply(Outcome.DONE, float(value))
        elif value == PONG:
            self.report_reply(Outcome.DONE, None)
        elif error_code == OVERLOADED_CODE:
            self.report_reply(Outcome.OVERLOADED, 0.0)
        elif error_code == ERROR_CODE:
            self.report_reply(Outcome.CONNECTION_FAILED, 0.0)  # An unknown call: nothing was added.
        else:
            self.reject_input(INVALID_REPLY)

    def report_reply(self, outcome: Outcome, total: float | None) -> None:
        """Report the reply to the oldest call; `total` is None for a PING."""
        self.handle_input(Input.COUNTER_REPLY, self.record, outcome, total)

    def malformed(self, reason: str) -> None:
        """Report input that is not a valid reply."""
        self.handle_input(Input.COUNTER_MALFORMED, self.record, reason)

    # Effects of the state machine.

    def abort(self) -> None:
        """Reset the connection immediately."""
        self.ignoring_input = True
        self.transport.abortConnection()
