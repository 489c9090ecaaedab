"""The counter's side: calls written one behind another, and their answers in the same order.

Owns the wording of a call and of its answer. It must never call again by itself, nor decide what a
call that got no answer means.
"""

from __future__ import annotations

import re
from typing import Any

from granitedock.policy.types import Outcome
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.service.resp import Fault, RespReceiver, command

PING = command(b"PING")
TOTAL = re.compile(rb"-?[0-9]{1,15}(\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?").fullmatch


def amount(number: float) -> bytes:
    """Units as the counter reads them: six decimals at most, no nought that says nothing."""
    text = b"%.6f" % number
    text = text.rstrip(b"0").rstrip(b".")
    return b"0" if text in (b"-0", b"") else text


def tally(name: int, number: float, ttl_ms: float) -> bytes:
    return command(b"TALLY", b"%d" % name, amount(number), b"%d" % max(1, round(ttl_ms)))


class CounterLink(RespReceiver):
    record: Any = None

    def __init__(self, tell, limits: Limits) -> None:
        super().__init__(limits.line, limits.value, limits.whole, limits.items, limits.depth)
        self.tell = tell

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.tell(Input.COUNTER_CONNECTED, self.record, self)

    def connectionLost(self, reason=None) -> None:
        self.tell(Input.COUNTER_DISCONNECTED, self.record)

    def dataReceived(self, data: bytes) -> None:
        super().dataReceived(data)
        if not self.deaf and self.half():
            self.tell(Input.COUNTER_REPLY_STARTED, self.record)

    def received(self, value: Any, parts: list[bytes]) -> None:
        word = value.text.split(b" ", 1)[0] if type(value) is Fault else b""
        if type(value) is bytes and TOTAL(value):
            self.tell(Input.COUNTER_REPLY, self.record, Outcome.DONE, float(value))
        elif value == "PONG":
            self.tell(Input.COUNTER_REPLY, self.record, Outcome.DONE, None)
        elif word == b"BUSY":
            self.tell(Input.COUNTER_REPLY, self.record, Outcome.OVERLOADED, 0.0)
        elif word == b"ERR":
            self.tell(
                Input.COUNTER_REPLY, self.record, Outcome.CONNECTION_FAILED, 0.0
            )  # no such call: nothing added
        else:
            self.spoil("no answer to a call")

    def malformed(self, why: str) -> None:
        self.tell(Input.COUNTER_MALFORMED, self.record, why)

    # What the state machine asks for.

    def abort(self) -> None:
        self.deaf = True
        self.transport.abortConnection()
