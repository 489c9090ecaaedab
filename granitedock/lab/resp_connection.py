"""A RESP connection as the laboratory's emulators and clients hold it, on the service's own framing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from granitedock.service.resp import RespReceiver

if TYPE_CHECKING:
    from twisted.internet.tcp import Connection

# Limits: bytes of a line, of a bulk string and of a whole value, items of an array and depth of arrays.
LINE_BYTES = 1024
BULK_BYTES = 64 * 1024
VALUE_BYTES = 68 * 1024
ARRAY_ITEMS = 64
ARRAY_DEPTH = 4


class RespConnection(RespReceiver):
    """A connection that is reset where what comes is no RESP. Subclasses define `value_received`."""

    transport: Connection

    def __init__(self) -> None:
        super().__init__(LINE_BYTES, BULK_BYTES, VALUE_BYTES, ARRAY_ITEMS, ARRAY_DEPTH)

    def malformed(self, why: str) -> None:  # noqa: ARG002  the receiver's signature
        """Reset it."""
        self.transport.abortConnection()
