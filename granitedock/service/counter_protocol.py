"""The protocol towards the counter: calls written one behind another, and their answers in the same order.

Owns the wire form of a call and of its answer. It never calls again by itself, nor decides what a call that
got no answer means.
"""

from __future__ import annotations

import re
from typing import Any

from twisted.python.failure import Failure

from granitedock.policy.types import Outcome
from granitedock.service.callbacks import InputHandler
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.service.resp import ErrorReply, RespReceiver, encode_command

PING = encode_command(b"PING")
PONG = "PONG"
OVERLOADED_WORD = b"BUSY"
ERROR_WORD = b"ERR"
TOTAL = re.compile(rb"-?[0-9]{1,15}(\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?").fullmatch
NOT_AN_ANSWER = "no answer to a call"


def format_amount(units: float) -> bytes:
    """Units as the counter reads them: six decimals at most, without zeros at their end."""
    text = b"%.6f" % units
    text = text.rstrip(b"0").rstrip(b".")
    return b"0" if text in (b"-0", b"") else text


def encode_call(name: int, units: float, ttl_ms: float) -> bytes:
    """The call that adds `units` to the count of this name, which lives `ttl_ms` from then on."""
    return encode_command(b"TALLY", b"%d" % name, format_amount(units), b"%d" % max(1, round(ttl_ms)))


class CounterProtocol(RespReceiver):
    """One connection to the counter."""

    record: Any = None  # the state machine's record of the connection

    def __init__(self, handle_input: InputHandler, limits: Limits) -> None:
        super().__init__(limits.line, limits.value, limits.whole, limits.items, limits.depth)
        self.handle_input = handle_input

    def connectionMade(self) -> None:
        """The connection is up."""
        self.transport.setTcpNoDelay(True)
        self.handle_input(Input.COUNTER_CONNECTED, self.record, self)

    def connectionLost(self, _reason: Failure | None = None) -> None:
        """The connection ended."""
        self.handle_input(Input.COUNTER_DISCONNECTED, self.record)

    def dataReceived(self, data: bytes) -> None:
        """Bytes came."""
        super().dataReceived(data)
        if not self.ignoring_input and self.has_partial_message():
            self.handle_input(Input.COUNTER_REPLY_STARTED, self.record)

    def value_received(self, value: Any, parts: list[bytes]) -> None:  # noqa: ARG002 - the base's signature
        """An answer came."""
        word = value.text.split(b" ", 1)[0] if type(value) is ErrorReply else b""
        if type(value) is bytes and TOTAL(value):
            self.answer(Outcome.DONE, float(value))
        elif value == PONG:
            self.answer(Outcome.DONE, None)
        elif word == OVERLOADED_WORD:
            self.answer(Outcome.OVERLOADED, 0.0)
        elif word == ERROR_WORD:
            self.answer(Outcome.CONNECTION_FAILED, 0.0)  # no such call: nothing was added
        else:
            self.reject_input(NOT_AN_ANSWER)

    def answer(self, outcome: Outcome, total: float | None) -> None:
        """The oldest call has its answer; a PING has no total."""
        self.handle_input(Input.COUNTER_REPLY, self.record, outcome, total)

    def malformed(self, why: str) -> None:
        """The counter sent what is no answer."""
        self.handle_input(Input.COUNTER_MALFORMED, self.record, why)

    # Effects of the state machine.

    def abort(self) -> None:
        """Reset the connection."""
        self.ignoring_input = True
        self.transport.abortConnection()
