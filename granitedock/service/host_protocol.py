"""The protocol towards hosts: one attempt at a time on a connection, and what its answer means.

Owns the bytes of one attempt from its first to its answer, and reports when the last of them was written. It
never sends an attempt again, holds two, chooses a host, or takes a malformed answer for a good one.
"""

from __future__ import annotations

import re
from contextlib import suppress
from socket import SHUT_WR
from typing import Any, NamedTuple

from twisted.python.failure import Failure

from granitedock.policy.types import Outcome
from granitedock.service.callbacks import InputHandler
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.service.resp import ErrorReply, RespReceiver, has_unread_input, join_parts

OVERLOADED = re.compile(rb"BUSY( [!-~]*)?").fullmatch
FAILED = re.compile(rb"ERR failed( [!-~]*)?").fullmatch
TRUE_COST = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?").fullmatch
QUOTA_USED = re.compile(rb"[0-9]{1,9}").fullmatch
ANSWER_ITEMS = 3  # the body, then two that a host may leave null
SECOND_ANSWER = "more than one answer"
NOT_AN_ANSWER = "no answer to a task"


class HostAnswer(NamedTuple):
    """What a host's answer means."""

    outcome: Outcome
    data: bytes  # for the client; empty without a body
    true_units: float  # what the request really cost; 0 where it is not stated
    quota_used: int  # the customer's; 0 where it is not stated


OVERLOADED_ANSWER = HostAnswer(Outcome.OVERLOADED, b"", 0.0, 0)
FAILED_ANSWER = HostAnswer(Outcome.ERROR, b"", 0.0, 0)


def parse_usage(value: Any, max_units: float) -> tuple[float, int]:
    """The true units and the customer's use, where an answer states them, else zeros.

    Guards the decisions against figures that can't be read, are no numbers, or more than a request may take:
    the answer is good without them.
    """
    if type(value) is int:
        value = b"used=%d" % value
    named = dict(pair.partition(b"=")[::2] for pair in value.split(b",")) if type(value) is bytes else {}
    cost = named.get(b"cost", b"")
    used = named.get(b"used", b"")
    units = float(cost) if TRUE_COST(cost) else 0.0
    return units if units <= max_units else 0.0, int(used) if QUOTA_USED(used) else 0


class HostProtocol(RespReceiver):
    """One connection to a host. It is its own pull producer: it is asked for more once all is written."""

    record: Any = None  # the state machine's record of the connection

    def __init__(self, handle_input: InputHandler, limits: Limits) -> None:
        super().__init__(limits.line, limits.value, limits.whole, limits.items, limits.depth)
        self.handle_input = handle_input
        self.max_units = limits.true_units
        self.data: bytes | None = None  # of the attempt, until it is handed to the transport
        self.answer: HostAnswer | None = None
        self.malformed_because = ""  # empty while all is in form
        self.answer_begun = False

    def connectionMade(self) -> None:
        """The connection is up."""
        self.transport.setTcpNoDelay(True)
        self.handle_input(Input.HOST_CONNECTED, self.record, self)

    def connectionLost(self, _reason: Failure | None = None) -> None:
        """The connection ended."""
        self.handle_input(Input.HOST_DISCONNECTED, self.record)

    def dataReceived(self, data: bytes) -> None:
        """Guards against answers that bring more than is theirs: one is handed on once all that came with it
        has been looked at, with whether the connection may be used again."""
        if self.ignoring_input:
            return
        super().dataReceived(data)
        if self.answer is not None:
            answer = self.answer
            self.answer = None
            self.answer_begun = False
            clean = not (
                self.malformed_because or self.has_partial_message() or has_unread_input(self.transport)
            )
            self.handle_input(Input.HOST_RESPONSE, self.record, clean, *answer)
        elif self.malformed_because:
            self.handle_input(Input.HOST_MALFORMED, self.record, self.malformed_because)
        elif not self.answer_begun and self.has_partial_message():
            self.answer_begun = True
            self.handle_input(Input.HOST_RESPONSE_STARTED, self.record)

    def value_received(self, value: Any, parts: list[bytes]) -> None:
        """An answer came."""
        if self.answer is not None:
            self.reject_input(SECOND_ANSWER)
        elif type(value) is list and len(value) == ANSWER_ITEMS and type(value[0]) is bytes:
            units, used = parse_usage(value[1], self.max_units)
            self.answer = HostAnswer(Outcome.DONE, join_parts(parts), units, used)
        elif type(value) is ErrorReply and OVERLOADED(value.text):
            self.answer = OVERLOADED_ANSWER
        elif type(value) is ErrorReply and FAILED(value.text):
            self.answer = FAILED_ANSWER
        else:
            self.reject_input(NOT_AN_ANSWER)

    def malformed(self, why: str) -> None:
        """The host sent what is no answer; `dataReceived` hands it on."""
        self.malformed_because = why

    # Effects of the state machine.

    def send(self, data: bytes, at_once: bool = True) -> None:
        """Write an attempt; not `at_once`, a turn of the event loop later, behind the end of the connection
        before it. Guards against what has come since the last answer here: it would be taken for the next
        one."""
        if self.has_partial_message() or has_unread_input(self.transport):
            self.handle_input(Input.HOST_STALE, self.record)
            return
        self.data = data
        self.transport.registerProducer(self, False)
        if at_once and self.transport.connected:
            self.transport.doWrite()

    def abort(self) -> None:
        """Reset the connection at once, before anything else is written: the host may then drop what it has
        of the attempt."""
        self.ignoring_input = True
        with suppress(OSError):
            self.transport.getHandle().shutdown(SHUT_WR)
        self.transport.abortConnection()

    # The pull producer, called by the transport.

    def resumeProducing(self) -> None:
        """First it asks for the bytes, then for more, when the last of them are written."""
        if self.data is not None:
            data = self.data
            self.data = None
            self.transport.write(data)
        else:
            self.transport.unregisterProducer()
            self.handle_input(Input.HOST_REQUEST_WRITTEN, self.record)

    def pauseProducing(self) -> None:
        """Nothing to do: nothing more ever comes behind one attempt."""

    def stopProducing(self) -> None:
        """Nothing to do: the connection's end has an input of its own."""
