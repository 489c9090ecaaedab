"""The counter's side: calls written one behind another, and their answers in the same order.

Owns the wording of a call and of its answer. It must never call again by itself, nor decide what a
call that got no answer means.
"""

from __future__ import annotations

from typing import Any

from granitedock.policy.interface import Ending
from granitedock.service.limits import Limits
from granitedock.service.resp import Fault, RespReceiver, command

PING = command(b"PING")


def amount(number: float) -> bytes:
    """
    >>> amount(2.0), amount(-2.5), amount(1e-9), amount(0.1 + 0.2)
    (b'2', b'-2.5', b'0', b'0.3')
    """
    text = b"%.6f" % number
    text = text.rstrip(b"0").rstrip(b".")
    return b"0" if text in (b"-0", b"") else text


def tally(name: int, number: float, life_ms: float) -> bytes:
    return command(b"TALLY", b"%d" % name, amount(number), b"%d" % max(1, round(life_ms)))


class CounterLink(RespReceiver):
    record: Any = None

    def __init__(self, tell, limits: Limits) -> None:
        super().__init__(limits.line, limits.value, limits.whole, limits.items, limits.depth)
        self.tell = tell

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.tell("counter up", self.record, self)

    def connectionLost(self, reason=None) -> None:
        self.tell("counter down", self.record)

    def received(self, value: Any, parts: list[bytes]) -> None:
        if type(value) is bytes:
            try:
                self.tell("counter answered", self.record, Ending.DONE, float(value))
                return
            except ValueError:
                pass
        if type(value) is Fault and value.text.split(b" ", 1)[0] == b"BUSY":
            self.tell("counter answered", self.record, Ending.FULL, 0.0)
        else:
            self.tell("counter answered", self.record, Ending.ERROR, 0.0)

    def malformed(self, why: str) -> None:
        self.transport.abortConnection()

    # What the reducer asks for.

    def abort(self) -> None:
        self.deaf = True
        self.transport.abortConnection()
