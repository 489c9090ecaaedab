"""The send queue of a connection in the kernel. Source: tcp(7), SIOCOUTQ."""

from __future__ import annotations

import sys
import termios
from fcntl import ioctl
from typing import Any

SIOCOUTQ = termios.TIOCOUTQ  # Linux has one number for both.
INT_BYTES = 4


def unacknowledged_bytes(transport: Any) -> int | None:
    """Return how many written bytes the peer's machine has not acknowledged, or None if the kernel can't say.

    Bytes that the transport itself still buffers are not included.
    """
    try:
        queued = ioctl(transport.getHandle().fileno(), SIOCOUTQ, bytes(INT_BYTES))
    except OSError:
        return None
    return int.from_bytes(queued, sys.byteorder)
