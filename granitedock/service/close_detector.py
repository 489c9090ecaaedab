"""Whether the client of an accepted connection has closed it, also where unread input hides the close.

The descriptor tells of a close in two ways, whatever is unread:

- by the kernel's state of the connection, if at the accept it was that of an open one, and if the kernel has
  counted the input that was read;
- by an error that waits for the next call on the socket. A connection that its client reset before the
  accept has no state of an open connection, but this error.

A library that redirects the sockets of this process may leave the descriptor of a living connection in any
state. Reads go where the library leads them, so a read has the last word: input without an end behind it
shows that the client is there (`ClientProtocol.read_ahead`).
"""

from __future__ import annotations

from enum import Enum, auto
from socket import MSG_DONTWAIT
from typing import Any

from granitedock.service.socket_queue import (
    TEMPORARY_ERRORS,
    counted_input_bytes,
    peer_has_closed,
    take_connection_error,
    tells_state,
)


class ReadAhead(Enum):
    """What reading ahead of the parser has found."""

    END = auto()  # The end of the connection.
    NO_END = auto()  # All that has arrived, and no end.
    MORE = auto()  # More input than may, or can now, be read ahead.


def read_once(transport: Any, max_bytes: int) -> bytes | ReadAhead:
    """Return up to `max_bytes` that have arrived, or what it means that there are none."""
    try:
        data: bytes = transport.getHandle().recv(max_bytes, MSG_DONTWAIT)
    except BlockingIOError:
        return ReadAhead.NO_END
    except OSError as error:
        return ReadAhead.MORE if error.errno in TEMPORARY_ERRORS else ReadAhead.END
    return data or ReadAhead.END


class CloseDetector:
    """What the descriptor of one connection tells of a close."""

    def __init__(self, transport: Any) -> None:
        """Look at a connection that was just accepted."""
        self.transport = transport
        self.uses_state = tells_state(transport)  # If not, a close may be found only by reading.
        self.has_checked_count = False
        self.is_broken = False  # The kernel has reported an error, which it does only once.
        self.has_ended = False  # A read has found the end.

    def check_count(self, read_bytes: int) -> None:
        """Stop using the state if the kernel has not counted the bytes that were read on the connection."""
        if read_bytes and self.uses_state and not self.has_checked_count:
            self.has_checked_count = True
            self.uses_state = counted_input_bytes(self.transport) >= read_bytes

    def tells_close(self) -> bool:
        """Return whether the descriptor tells that the client has closed or reset the connection."""
        if self.uses_state:
            return peer_has_closed(self.transport)
        self.is_broken = self.is_broken or take_connection_error(self.transport)
        return self.is_broken

    def is_closed(self, found: ReadAhead) -> bool:
        """Return whether the connection is over by what reading ahead has found.

        Only if that is open, what the descriptor tells counts.
        """
        if found is ReadAhead.END:
            self.has_ended = True
        elif found is ReadAhead.NO_END:
            self.uses_state = False
            self.is_broken = False
        return self.has_ended or (found is ReadAhead.MORE and self.tells_close())
