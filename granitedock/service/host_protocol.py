"""The protocol of connections to hosts: one attempt at a time, and the parsing of its response.

Owns the bytes of one attempt from the request to the response, and reports when the last byte of the request
is written. It never repeats an attempt, carries two at once, chooses a host, or accepts a malformed response.
"""

from __future__ import annotations

import re
from contextlib import suppress
from socket import SHUT_WR
from typing import Any, NamedTuple

from twisted.python.failure import Failure

from granitedock.policy.types import Outcome
from granitedock.service.callbacks import InputHandler
from granitedock.service.input_scheduler import InputScheduler
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.service.resp import ErrorReply, join_parts
from granitedock.service.resp_receiver import RespReceiver
from granitedock.service.socket_queue import discard_on_close, has_unread_input, unacknowledged_bytes

# Each of the following is a `fullmatch` function, called as a predicate on the bytes of a reply.
IS_OVERLOADED_ERROR = re.compile(rb"BUSY( [!-~]*)?").fullmatch
IS_FAILED_ERROR = re.compile(rb"ERR failed( [!-~]*)?").fullmatch
IS_TRUE_COST = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?").fullmatch
IS_QUOTA_USED = re.compile(rb"[0-9]{1,9}").fullmatch
RESPONSE_ITEMS = 3  # The body, then two items that a host may leave null.
EXTRA_RESPONSE = "more than one response to an attempt"
INVALID_RESPONSE = "no answer to a task"


class HostResponse(NamedTuple):
    """A parsed response of a host."""

    outcome: Outcome
    data: bytes  # The reply to the client; empty without a body.
    true_units: float  # The actual cost of the request; 0 if not stated.
    quota_used: int  # The quota units that the customer has used; 0 if not stated.


OVERLOADED_RESPONSE = HostResponse(Outcome.OVERLOADED, b"", 0.0, 0)
FAILED_RESPONSE = HostResponse(Outcome.ERROR, b"", 0.0, 0)


def parse_usage(value: Any, max_units: float) -> tuple[float, int]:
    """Return the true units and the customer's quota use that a response states, or zeros.

    Prevents decisions based on unreadable figures, on values that are not numbers, or on more units than a
    request may use: such a figure counts as 0, and the response itself stays valid.
    """
    if type(value) is int:
        value = b"used=%d" % value
    fields = dict(pair.partition(b"=")[::2] for pair in value.split(b",")) if type(value) is bytes else {}
    cost = fields.get(b"cost", b"")
    used = fields.get(b"used", b"")
    units = float(cost) if IS_TRUE_COST(cost) else 0.0
    return units if units <= max_units else 0.0, int(used) if IS_QUOTA_USED(used) else 0


class HostProtocol(RespReceiver):
    """One connection to a host.

    It registers itself as a pull producer, so that the transport calls it again once all bytes are written.
    """

    record: Any = None  # The state machine's `HostConnection`.

    def __init__(
        self, handle_input: InputHandler, limits: Limits, scheduler: InputScheduler | None = None
    ) -> None:
        super().__init__(limits.line, limits.value, limits.whole, limits.items, limits.depth)
        self.scheduler = scheduler
        self.handle_input = handle_input
        self.max_units = limits.true_units
        self.unsent_request: bytes | None = None  # Set until the transport takes the bytes of the request.
        self.response: HostResponse | None = None
        self.malformed_reason = ""  # Empty while the input is valid.
        self.response_started = False

    def connectionMade(self) -> None:
        """Report the established connection.

        Prevents a host that reads slowly from receiving a request after the process that sent it has ended.
        """
        self.transport.setTcpNoDelay(True)
        discard_on_close(self.transport)
        self.handle_input(Input.HOST_CONNECTED, self.record, self)

    def connectionLost(self, _reason: Failure | None = None) -> None:
        """Report the closed connection."""
        self.handle_input(Input.HOST_DISCONNECTED, self.record)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes, unless the connection is closing."""
        if not self.ignoring_input:
            super().dataReceived(data)

    def input_parsed(self) -> None:
        """Report a response after all bytes received with it are parsed.

        Prevents the reuse of a connection on which further bytes follow the response: the report states
        whether the connection is clean.
        """
        if self.response is not None:
            response = self.response
            self.response = None
            self.response_started = False
            clean = not (
                self.malformed_reason or self.has_partial_message() or has_unread_input(self.transport)
            )
            self.handle_input(Input.HOST_RESPONSE, self.record, clean, *response)
        elif self.malformed_reason:
            self.handle_input(Input.HOST_MALFORMED, self.record, self.malformed_reason)
        elif not self.response_started and self.has_partial_message():
            self.response_started = True
            self.handle_input(Input.HOST_RESPONSE_STARTED, self.record)

    def value_received(self, value: Any, parts: list[bytes]) -> None:
        """Parse a RESP value as the response to the attempt."""
        if self.response is not None:
            self.reject_input(EXTRA_RESPONSE)
        elif type(value) is list and len(value) == RESPONSE_ITEMS and type(value[0]) is bytes:
            units, used = parse_usage(value[1], self.max_units)
            self.response = HostResponse(Outcome.DONE, join_parts(parts), units, used)
        elif type(value) is ErrorReply and IS_OVERLOADED_ERROR(value.text):
            self.response = OVERLOADED_RESPONSE
        elif type(value) is ErrorReply and IS_FAILED_ERROR(value.text):
            self.response = FAILED_RESPONSE
        else:
            self.reject_input(INVALID_RESPONSE)

    def malformed(self, reason: str) -> None:
        """Record why the input is not a valid response; `input_parsed` reports it."""
        self.malformed_reason = reason

    # Effects of the state machine.

    def send(self, data: bytes, at_once: bool = True) -> None:
        """Write the request of an attempt.

        Without `at_once` it is written in the next iteration of the event loop, after the previous attempt's
        connection is closed. Prevents bytes that have arrived here since the last response from being parsed
        as the next one: the connection is then reported as stale, and nothing is written.
        """
        if self.has_partial_message() or has_unread_input(self.transport):
            self.handle_input(Input.HOST_STALE, self.record)
            return
        self.unsent_request = data
        self.transport.registerProducer(self, False)
        if at_once and self.transport.connected:
            self.transport.doWrite()

    def unacknowledged_bytes(self) -> int | None:
        """Return how many written bytes the host's machine has not acknowledged, or None if unknown."""
        return unacknowledged_bytes(self.transport)

    def abort(self) -> None:
        """Reset the connection immediately, before any further byte is written.

        The host can then discard the part of the request that it has received.
        """
        self.ignoring_input = True
        with suppress(OSError):
            self.transport.getHandle().shutdown(SHUT_WR)
        self.transport.abortConnection()

    # Methods of the pull producer, called by the transport.

    def resumeProducing(self) -> None:
        """Write the request at the first call, and report it as written at the second.

        The transport calls a second time once the last byte is written.
        """
        if self.unsent_request is not None:
            data = self.unsent_request
            self.unsent_request = None
            self.transport.write(data)
        else:
            self.transport.unregisterProducer()
            self.handle_input(Input.HOST_REQUEST_WRITTEN, self.record)

    def pauseProducing(self) -> None:
        """Do nothing: no further bytes follow the request of an attempt."""

    def stopProducing(self) -> None:
        """Do nothing: `connectionLost` reports the closed connection."""
