"""Loopback addresses of a test cluster.

Each cluster has its own network, 127.A.B.0, so that the port of a gateway is still free when the gateway
restarts: the kernel assigns ephemeral ports of outgoing connections on 127.0.0.1 only. A listening socket
claims a network, so that clusters of several processes can run at the same time.
"""

from __future__ import annotations

import os
import socket

from granitedock.lab.cluster.errors import NoNetworkError

CLIENTS_PORT = 6379
MEMBERSHIP_PORT = 7946
NETWORKS = 60 * 256
NETWORKS_PER_SECOND_OCTET = 256
NETWORK_STEP = 37  # keeps the first choices of consecutive process ids apart
CLAIM_HOST = 250
FIRST_GATEWAY_HOST = 1
FIRST_PROXY_HOST = 101


class LoopbackNetwork:
    """A network that is reserved for one cluster of this machine until it is released."""

    def __init__(self) -> None:
        """Claim the first free network. Raises NoNetworkError."""
        for offset in range(NETWORKS):
            number = (os.getpid() * NETWORK_STEP + offset) % NETWORKS
            prefix = f"127.{1 + number // NETWORKS_PER_SECOND_OCTET}.{number % NETWORKS_PER_SECOND_OCTET}."
            try:
                self.claim = socket.create_server((f"{prefix}{CLAIM_HOST}", CLIENTS_PORT))
            except OSError:
                continue  # Another cluster has claimed this network.
            self.prefix = prefix
            return
        raise NoNetworkError

    def gateway_host(self, gateway: int) -> str:
        """Return the address at which a gateway listens."""
        return f"{self.prefix}{FIRST_GATEWAY_HOST + gateway}"

    def proxy_host(self, gateway: int) -> str:
        """Return the address of a gateway's proxies, for traffic from other gateways and to its parties."""
        return f"{self.prefix}{FIRST_PROXY_HOST + gateway}"

    def release(self) -> None:
        """Release the network, so that other clusters can claim it."""
        self.claim.close()
