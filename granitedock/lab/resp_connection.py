"""A RESP connection for the laboratory's emulators and clients, with the service's framing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from granitedock.service.resp_receiver import RespReceiver

if TYPE_CHECKING:
    from twisted.internet.tcp import Connection

# Limits of one value: bytes of a line, a bulk string and the whole value, array items and array depth.
MAX_LINE_BYTES = 1024
MAX_BULK_BYTES = 64 * 1024
MAX_VALUE_BYTES = 68 * 1024
MAX_ARRAY_ITEMS = 64
MAX_ARRAY_DEPTH = 4


class RespConnection(RespReceiver):
    """A connection that is reset on malformed RESP. Subclasses define `value_received`."""

    transport: Connection

    def __init__(self) -> None:
        super().__init__(MAX_LINE_BYTES, MAX_BULK_BYTES, MAX_VALUE_BYTES, MAX_ARRAY_ITEMS, MAX_ARRAY_DEPTH)

    def malformed(self, why: str) -> None:  # noqa: ARG002  the receiver's signature
        """Reset the connection."""
        self.transport.abortConnection()
