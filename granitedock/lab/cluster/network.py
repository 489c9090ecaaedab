"""Loopback addresses of a test cluster.

Each cluster has a network of its own, 127.A.B.0, so that a gateway that comes back finds its port free: ports
that the kernel lends to outgoing connections lie on 127.0.0.1 only. A network is claimed by a listening
socket, so that clusters of several processes can run side by side.
"""

from __future__ import annotations

import os
import socket

from granitedock.lab.cluster.errors import NoNetworkError

CLIENTS_PORT = 6379
MEMBERSHIP_PORT = 7946
NETWORKS = 60 * 256
NETWORKS_A_BYTE = 256
NETWORK_STEP = 37  # apart for neighbouring process ids
CLAIM_HOST = 250
FIRST_GATEWAY_HOST = 1
FIRST_PROXY_HOST = 101


class LoopbackNetwork:
    """A network that no other cluster of this machine has, until it is released."""

    def __init__(self) -> None:
        """Raises NoNetworkError."""
        for turn in range(NETWORKS):
            number = (os.getpid() * NETWORK_STEP + turn) % NETWORKS
            prefix = f"127.{1 + number // NETWORKS_A_BYTE}.{number % NETWORKS_A_BYTE}."
            try:
                self.claim = socket.create_server((f"{prefix}{CLAIM_HOST}", CLIENTS_PORT))
            except OSError:
                continue  # another cluster's
            self.prefix = prefix
            return
        raise NoNetworkError

    def gateway_host(self, gateway: int) -> str:
        """The address at which a gateway listens."""
        return f"{self.prefix}{FIRST_GATEWAY_HOST + gateway}"

    def proxy_host(self, gateway: int) -> str:
        """The address that stands for a gateway towards the others, and leads it to its parties."""
        return f"{self.prefix}{FIRST_PROXY_HOST + gateway}"

    def release(self) -> None:
        """Let others claim it."""
        self.claim.close()
