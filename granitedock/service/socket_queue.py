"""The send queue of a connection in the kernel. Sources: tcp(7), SIOCOUTQ; socket(7), SO_LINGER."""

from __future__ import annotations

import struct
import sys
import termios
from fcntl import ioctl
from socket import SO_LINGER, SOL_SOCKET
from typing import Any

SIOCOUTQ = termios.TIOCOUTQ  # Linux has one number for both.
INT_BYTES = 4
NO_LINGER = struct.pack("ii", 1, 0)  # On, for 0 s.


def unsent_bytes(transport: Any) -> int:
    """Return how many written bytes a Twisted transport buffers, because its socket did not take them."""
    return len(transport.dataBuffer) - transport.offset + transport._tempDataLen


def unacknowledged_bytes(transport: Any) -> int | None:
    """Return how many written bytes the peer's machine has not acknowledged, or None if the kernel can't say.

    Bytes that the transport itself still buffers are not included.
    """
    try:
        queued = ioctl(transport.getHandle().fileno(), SIOCOUTQ, bytes(INT_BYTES))
    except OSError:
        return None
    return int.from_bytes(queued, sys.byteorder)


def discard_on_close(transport: Any) -> None:
    """Have the kernel reset the connection and discard unsent bytes when it closes, also if the process ends.

    Otherwise the kernel delivers them after the close, for as long as the peer takes to read.
    """
    transport.getHandle().setsockopt(SOL_SOCKET, SO_LINGER, NO_LINGER)
