"""The delivery of requests to hosts: what a host has not received in time ends with its connection.

A request counts as delivered once the host's machine has acknowledged its last byte: the kernel takes a whole
request long before a host that reads slowly has it, and goes on delivering. A short request on an open
connection arrives as a whole. Keeps no state: connections and attempts belong to `host_connections`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from granitedock.policy.delivery_time import SHORT_REQUEST_BYTES, deliver_before, told_time_ms
from granitedock.policy.types import Attempt, EndpointStatus
from granitedock.service import counter_names
from granitedock.service.host_connection import HostConnectionEvent, HostConnectionState
from granitedock.service.inputs import Input

if TYPE_CHECKING:
    from granitedock.policy.gateway import Gateway
    from granitedock.service.context import Context
    from granitedock.service.host_connection import Endpoint, HostConnection
    from granitedock.service.host_connections import HostConnections
    from granitedock.service.in_flight_requests import InFlightRequest


class DeliveryBounds:
    """Ends attempts whose request may no longer reach its host, and tells the policy which take time."""

    hosts: HostConnections
    policy: Gateway

    def __init__(self, context: Context) -> None:
        self.context = context

    def attach(self, hosts: HostConnections, policy: Gateway) -> None:
        """Set the state machines that this one calls."""
        self.hosts = hosts
        self.policy = policy

    # Progress of a delivery.

    def connect_started(self, attempt: Attempt) -> None:
        """Handle an attempt that waits for a new connection."""
        self.policy.delivery_delayed(attempt)

    def write_started(self, connection: HostConnection, attempt: Attempt, request: InFlightRequest) -> float:
        """Return the time in ms to tell the host, and bound the delivery of a long request."""
        now = self.context.now
        if request.parsed.size() <= SHORT_REQUEST_BYTES:
            return connection.attempt_deadline - now
        told_ms = told_time_ms(request, connection.attempt_deadline, now)
        self.hosts.bound_delivery(connection, attempt, deliver_before(request, told_ms))
        self.policy.delivery_delayed(attempt)
        return told_ms

    def written(self, connection: HostConnection) -> None:
        """Handle a request of which the last byte has left the process: a short one has reached its host."""
        attempt = connection.attempt
        if attempt is None or attempt.ceiling_in_delivery is None:
            return
        request: InFlightRequest = attempt.request  # type: ignore[assignment]  # The service creates all requests.
        if request.parsed.size() <= SHORT_REQUEST_BYTES:
            self.policy.delivery_ended(attempt)

    def is_answered_early(self, connection: HostConnection) -> bool:
        """Return whether a response arrived before the host's machine had received all of a long request.

        Prevents a client from getting what its host did not make for it, as an extra response to an earlier
        request. A response acknowledges what its host had received before.
        """
        request: InFlightRequest = connection.attempt.request  # type: ignore[assignment,union-attr]  # Set while in flight.
        if request.parsed.size() <= SHORT_REQUEST_BYTES or not connection.link.unacknowledged_bytes():  # type: ignore[union-attr]  # It is open.
            return False
        self.context.event_log.event(
            "host malformed", host=connection.endpoint.address, why="response before the end of the request"
        )
        return True

    # Ends of undelivered attempts.

    def delivery_overdue(self, connection: HostConnection) -> None:
        """End an attempt that is not delivered by its `deliver_before`.

        Prevents a host that reads slowly from receiving a retry after the hosts have forgotten its key, and
        from working on a long request for longer than its client waits.
        """
        if is_undelivered(connection):
            self._end(connection, HostConnectionEvent.OVERDUE)

    def not_needed(self, attempt: Attempt) -> None:
        """End an attempt that is not delivered, as its request is answered or its client has disconnected.

        Prevents a host that reads slowly from beginning work long after the client has gone. A host that has
        the request goes on, and its connection can be reused after the response.
        """
        connection = self.hosts.by_attempt.get(attempt)
        if connection is not None and is_undelivered(connection):
            self._end(connection, HostConnectionEvent.NOT_NEEDED)

    def drain_started(self, endpoint: Endpoint) -> None:
        """Bound the time for requests in flight to reach a host that drains or is gone."""
        if self._undelivered_to(endpoint):
            context = self.context
            grace_over_at = context.now + context.limits.drain_delivery_ms
            context.schedule(grace_over_at, Input.DRAIN_GRACE_OVER, endpoint)

    def drain_grace_over(self, endpoint: Endpoint) -> None:
        """End the attempts that a draining host has not received within the grace.

        Prevents a request that was written in time from reaching a host that reads slowly, or a path that was
        cut, long after. One that never ran goes to another host.
        """
        if endpoint.status is EndpointStatus.READY:
            return
        for connection in self._undelivered_to(endpoint):
            self._end(connection, HostConnectionEvent.OVERDUE)

    def _undelivered_to(self, endpoint: Endpoint) -> list[HostConnection]:
        by_attempt = self.hosts.by_attempt
        connections = (by_attempt.get(attempt) for attempt in endpoint.health.in_flight)
        return [connection for connection in connections if connection and is_undelivered(connection)]

    def _end(self, connection: HostConnection, event: HostConnectionEvent) -> None:
        """End an undelivered attempt by this event, and leave a trace of it."""
        request: InFlightRequest = connection.attempt.request  # type: ignore[assignment,union-attr]  # Set while in flight.
        self.context.counts[counter_names.UNDELIVERED] += 1
        self.context.event_log.event(
            "attempt undelivered",
            host=connection.endpoint.address,
            id=request.parsed.id.decode(),
            state=connection.state.value,
            unacknowledged_bytes=connection.link.unacknowledged_bytes(),  # type: ignore[union-attr]  # It is open.
        )
        self.hosts.signal(connection, event)


def is_undelivered(connection: HostConnection) -> bool:
    """Return whether a part of the request was written and the host's machine may lack another."""
    if connection.state is HostConnectionState.WAITING:
        return connection.link.unacknowledged_bytes() != 0  # type: ignore[union-attr]  # It is open.
    return connection.state is HostConnectionState.WRITING
