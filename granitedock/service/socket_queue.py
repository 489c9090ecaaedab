"""What the kernel knows of a connection.

Sources: tcp(7), SIOCOUTQ, TCP_INFO; socket(7), SO_ERROR, SO_LINGER; recv(2), MSG_PEEK.
"""

from __future__ import annotations

import errno
import struct
import sys
import termios
from dataclasses import dataclass
from fcntl import ioctl
from socket import IPPROTO_TCP, MSG_DONTWAIT, MSG_PEEK, SO_ERROR, SO_LINGER, SOL_SOCKET, TCP_INFO
from typing import Any

SIOCOUTQ = termios.TIOCOUTQ  # Linux has one number for both.
INT_BYTES = 4
# States of a connection, as the first byte of `struct tcp_info`; in all but the first the peer has closed.
ESTABLISHED = b"\1"
TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING = (bytes([state]) for state in (6, 7, 8, 9, 11))
CLOSED_BY_PEER = frozenset({TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING})
# Errors after which a connection is over. Others may be temporary, as those of an unreachable network.
FINAL_ERRORS = frozenset({errno.ECONNRESET, errno.EPIPE, errno.ECONNABORTED, errno.ETIMEDOUT})
# Errors of a read that say nothing about the connection. Source: recv(2).
TEMPORARY_ERRORS = frozenset({errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
# Fields of `struct tcp_info`.
LAST_DATA_RECEIVED = slice(52, 56)  # `tcpi_last_data_recv`
BYTES_RECEIVED = slice(128, 136)  # `tcpi_bytes_received`
NO_LINGER = struct.pack("ii", 1, 0)  # On, for 0 s.


@dataclass(frozen=True, slots=True)
class InputCounts:
    """What the kernel has counted of a connection's input.

    `received_bytes` is None in a kernel that does not count them. `last_data_ms` is how long ago the latest
    input arrived, in ms.
    """

    received_bytes: int | None
    last_data_ms: int


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


def has_unread_input(transport: Any) -> bool:
    """Return whether the socket has unread bytes, or the peer has closed the connection."""
    try:
        transport.getHandle().recv(1, MSG_PEEK | MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True


def connection_state(transport: Any) -> bytes:
    """Return the state of a connection, the first byte of `struct tcp_info`, or b"" if unknown."""
    try:
        return transport.getHandle().getsockopt(IPPROTO_TCP, TCP_INFO, 1)
    except OSError:
        return b""


def tells_state(transport: Any) -> bool:
    """Return whether the state of a connection that was just accepted is one that it can have.

    A library that leads sockets elsewhere may leave the descriptor in another state for good.
    """
    return connection_state(transport) in (ESTABLISHED, CLOSE_WAIT)


def peer_has_closed(transport: Any) -> bool:
    """Return whether the peer has closed its direction of a connection, or reset it, read or not.

    Unread input hides a close from a read. A socket that cannot say counts as open.
    """
    return connection_state(transport) in CLOSED_BY_PEER


def input_counts(transport: Any) -> InputCounts | None:
    """Return what the kernel has counted of a connection's input, or None for a socket that cannot say."""
    try:
        info = transport.getHandle().getsockopt(IPPROTO_TCP, TCP_INFO, BYTES_RECEIVED.stop)
    except OSError:
        return None
    counts_bytes = len(info) == BYTES_RECEIVED.stop
    return InputCounts(
        int.from_bytes(info[BYTES_RECEIVED], sys.byteorder) if counts_bytes else None,
        int.from_bytes(info[LAST_DATA_RECEIVED], sys.byteorder),
    )


def counted_input_bytes(transport: Any) -> int:
    """Return how many bytes of input the kernel has received on a connection, read or not.

    Returns 0 for a socket that cannot say.
    """
    counts = input_counts(transport)
    return 0 if counts is None else counts.received_bytes or 0


def take_connection_error(transport: Any) -> bool:
    """Return whether an error that ended the connection waits for the next call on it.

    The kernel reports an error once. Unread input does not hide it.
    """
    try:
        return transport.getHandle().getsockopt(SOL_SOCKET, SO_ERROR) in FINAL_ERRORS
    except OSError:
        return False


def ms_since_last_data(transport: Any) -> float:
    """Return how long ago the latest input arrived on a connection, in ms.

    Returns 0 for a connection without input, and for a socket that cannot say.
    """
    counts = input_counts(transport)
    if counts is None or counts.received_bytes == 0:
        return 0.0
    return float(counts.last_data_ms)


def discard_on_close(transport: Any) -> None:
    """Have the kernel reset the connection and discard unsent bytes when it closes, also if the process ends.

    Otherwise the kernel delivers them after the close, for as long as the peer takes to read.
    """
    transport.getHandle().setsockopt(SOL_SOCKET, SO_LINGER, NO_LINGER)
