"""Sends connection probes, which a kernel refuses if no process listens at the target port."""

from __future__ import annotations

import errno
import socket
from collections import Counter
from collections.abc import Callable
from typing import Any


class ConnectionProber:
    """Sends probes from `host` and calls `on_refused` with each address that refuses one.

    The result is checked `wait_s` after the probe. `counts` are the gateway's counters.
    """

    def __init__(
        self,
        reactor: Any,  # Twisted's reactor; its interfaces for time and sockets have no common type.
        host: str,
        wait_s: float,
        counts: Counter[str],
        on_refused: Callable[[str], None],
    ) -> None:
        self.reactor = reactor
        self.host = host
        self.wait_s = wait_s
        self.counts = counts
        self.on_refused = on_refused

    def probe(self, address: str) -> None:
        """Send one empty datagram from a connected socket.

        For a port at which no process listens, the target's kernel refuses the datagram; on a connected
        socket the local kernel reports the refusal to this process.
        """
        host, _, port = address.rpartition(":")
        try:
            probe_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        except OSError:
            return  # No file descriptor is free: this gives no proof and does no harm.
        try:
            probe_socket.setblocking(False)
            probe_socket.bind((self.host, 0))
            probe_socket.connect((host, int(port)))
            probe_socket.send(b"")
        except OSError as error:
            probe_socket.close()
            if error.errno == errno.ECONNREFUSED:
                self.on_refused(address)
            return
        self.counts["fleet_knocks"] += 1
        self.reactor.callLater(self.wait_s, self.conclude, probe_socket, address)

    def conclude(self, probe_socket: socket.socket, address: str) -> None:
        """Check for a refusal and close the socket."""
        with probe_socket:
            error = probe_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error == errno.ECONNREFUSED:
            self.on_refused(address)
