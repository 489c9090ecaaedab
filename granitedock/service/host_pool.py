"""The pool of idle connections to hosts, kept for reuse by later attempts.

Owns the idle connections of each endpoint. The state of a connection is owned by `host_connections`.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from granitedock.policy.types import EndpointStatus
from granitedock.service.lifecycle import LifecycleState

if TYPE_CHECKING:
    from granitedock.service.context import Context
    from granitedock.service.endpoints import EndpointList
    from granitedock.service.host_connection import Endpoint, HostConnection
    from granitedock.service.lifecycle import Lifecycle

# Bound once for the request path: Python 3.11 takes 0.2 us to look up a member of an enum.
ENDED = LifecycleState.ENDED


class HostConnectionPool:
    """The idle connections of all endpoints of one gateway."""

    endpoints: EndpointList
    lifecycle: Lifecycle

    def __init__(self, context: Context) -> None:
        self.context = context

    def attach(self, endpoints: EndpointList, lifecycle: Lifecycle) -> None:
        """Set the state machines that this one reads."""
        self.endpoints = endpoints
        self.lifecycle = lifecycle

    def take(self, endpoint: Endpoint) -> HostConnection | None:
        """Remove and return a connection that an attempt at this endpoint may reuse, or None.

        The longest idle connection is taken first: a host that closes a connection does so soon after a
        response.
        """
        now = self.context.now
        limits = self.context.limits
        for connection in endpoint.idle:
            if limits.settle_ms <= now - connection.idle_since < limits.host_idle_ms:
                endpoint.idle.remove(connection)
                return connection
        return None

    def put(self, connection: HostConnection) -> bool:
        """Keep a connection that has just become idle, or return False if it cannot be reused."""
        connection.idle_since = self.context.now
        endpoint = connection.endpoint
        if endpoint.status is EndpointStatus.READY and self.lifecycle.state is not ENDED:
            endpoint.idle.append(connection)
            return True
        return False

    def remove(self, connection: HostConnection) -> None:
        """Remove a connection from the idle ones, if it is there."""
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)

    def take_all(self, endpoint: Endpoint) -> list[HostConnection]:
        """Remove and return all idle connections of an endpoint."""
        idle, endpoint.idle = endpoint.idle, []
        return idle

    def longest_idle(self) -> HostConnection | None:
        """Return the longest idle connection of the first endpoint that has any."""
        for endpoint in self.endpoints.by_name.values():
            if endpoint.idle:
                return endpoint.idle[0]
        return None

    def expired(self) -> Iterator[HostConnection]:
        """Yield each connection that has been idle for too long.

        The caller closes each one before it asks for the next; closing removes the connection from the pool.
        """
        now = self.context.now
        host_idle_ms = self.context.limits.host_idle_ms
        for endpoint in self.endpoints.by_name.values():
            while endpoint.idle and now - endpoint.idle[0].idle_since > host_idle_ms:
                yield endpoint.idle[0]
