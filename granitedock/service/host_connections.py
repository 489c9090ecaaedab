"""Connections to hosts, each with at most one attempt at a time, and the reuse of idle ones.

Owns the state of each connection and the outcome of each attempt. Whether and where an attempt is made is
decided by the policy; the idle connections are kept by the pool (`host_pool`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from granitedock.policy.types import Attempt, EndpointStatus, Idempotency, Outcome
from granitedock.service import counter_names
from granitedock.service.host_connection import (
    HOST_CONNECTION,
    Endpoint,
    HostConnection,
    HostConnectionEvent,
    HostConnectionState,
)
from granitedock.service.inputs import Input
from granitedock.state_table import advance

if TYPE_CHECKING:
    from granitedock.policy.gateway import Gateway
    from granitedock.service.context import Context
    from granitedock.service.delivery_bounds import DeliveryBounds
    from granitedock.service.host_pool import HostConnectionPool
    from granitedock.service.in_flight_requests import InFlightRequest, InFlightRequests
    from granitedock.service.ports import HostLinkPort
    from granitedock.service.response_timeouts import ResponseTimeouts
    from granitedock.service.timers import PolicyTimers


# Bound once for the request path: Python 3.11 takes 0.2 us to look up a member of an enum.
WAITING = HostConnectionState.WAITING
WRITING = HostConnectionState.WRITING
ASSIGNED = HostConnectionEvent.ASSIGNED
WRITTEN = HostConnectionEvent.WRITTEN
RESPONSE = HostConnectionEvent.RESPONSE
ATTEMPT_DEADLINE = Input.ATTEMPT_DEADLINE


class HostConnections:
    """The state machine of all connections to hosts of one gateway."""

    requests: InFlightRequests
    delivery_bounds: DeliveryBounds
    response_timeouts: ResponseTimeouts
    policy_timers: PolicyTimers
    policy: Gateway

    def __init__(self, context: Context, pool: HostConnectionPool) -> None:
        self.context = context
        self.pool = pool
        self.by_attempt: dict[Attempt, HostConnection] = {}
        self.open_count = 0  # Connections that are open or connecting.
        self.last_reuse_reset_at = float("-inf")  # When a reused connection was last reset during an attempt.

    def attach(
        self,
        requests: InFlightRequests,
        delivery_bounds: DeliveryBounds,
        response_timeouts: ResponseTimeouts,
        policy_timers: PolicyTimers,
        policy: Gateway,
    ) -> None:
        """Set the state machines that this one calls."""
        self.requests = requests
        self.delivery_bounds = delivery_bounds
        self.response_timeouts = response_timeouts
        self.policy_timers = policy_timers
        self.policy = policy

    # Attempts.

    def send_attempt(self, attempt: Attempt, attempt_deadline: float | None) -> None:
        """Send an attempt over an idle connection or a new one.

        Prevents losing a non-idempotent request to an idle connection that the host resets at its next use:
        for `wary_ms` after such a reset these requests use a new connection. The cost is a handshake.
        """
        context = self.context
        endpoint: Endpoint = attempt.host  # type: ignore[assignment]  # The endpoint list creates all hosts.
        request = attempt.request
        attempt_deadline = min(attempt_deadline or request.deadline, request.deadline)
        context.counts[counter_names.FORWARDS] += 1
        avoid_reuse = (
            request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
            and context.now - self.last_reuse_reset_at < context.limits.wary_ms
        )
        connection = None if avoid_reuse else self.pool.take(endpoint)
        if connection is None:
            self._connect(endpoint, attempt, attempt_deadline)
            return
        connection.attempt = attempt
        connection.attempt_deadline = attempt_deadline
        connection.reused = True
        self._start_deadline(connection, attempt)
        advance(HOST_CONNECTION, connection, ASSIGNED, self)

    def _connect(self, endpoint: Endpoint, attempt: Attempt, attempt_deadline: float) -> None:
        context = self.context
        connection = HostConnection(endpoint, HostConnectionState.CONNECTING, attempt, attempt_deadline)
        self._start_deadline(connection, attempt)
        if self.open_count >= context.limits.host_links and not self._free_capacity():
            context.follow_up(self.signal, connection, HostConnectionEvent.NO_CAPACITY)
        else:
            self.open_count += 1
            self.delivery_bounds.connect_started(attempt)
            context.counts[counter_names.HOST_DIALS] += 1
            context.emit(context.io.connect_host, connection, endpoint.address)

    def _start_deadline(self, connection: HostConnection, attempt: Attempt) -> None:
        self.by_attempt[attempt] = connection
        self._schedule_deadline(connection, attempt, min(connection.attempt_deadline, attempt.deliver_before))

    def bound_delivery(self, connection: HostConnection, attempt: Attempt, due: float) -> None:
        """Have an attempt end at `due` (Unix ms) if it is not delivered by then."""
        if due < min(attempt.deliver_before, connection.attempt_deadline):
            attempt.deliver_before = due
            connection.deadline_timer.cancel()  # type: ignore[union-attr]  # Each attempt has a timer.
            self._schedule_deadline(connection, attempt, due)

    def _schedule_deadline(self, connection: HostConnection, attempt: Attempt, due: float) -> None:
        connection.deadline_timer = self.context.schedule(due, ATTEMPT_DEADLINE, connection, attempt)

    def _free_capacity(self) -> bool:
        """Close an idle connection to make room for a new one, and return whether there was one.

        Prevents running out of file descriptors.
        """
        connection = self.pool.longest_idle()
        if connection is None:
            return False
        advance(HOST_CONNECTION, connection, HostConnectionEvent.EXPIRED, self)
        return True

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt that the policy no longer needs."""
        connection = self.by_attempt.get(attempt)
        if connection is not None:
            self.context.counts[counter_names.WITHDRAWN] += 1
            self.context.follow_up(self.signal, connection, HostConnectionEvent.CANCELLED)

    # Inputs.

    def signal(self, connection: HostConnection, event: HostConnectionEvent) -> None:
        """Apply an event, either of an input or raised by another state machine."""
        advance(HOST_CONNECTION, connection, event, self)

    def connected(self, connection: HostConnection, link: HostLinkPort) -> None:
        """Handle an established connection."""
        connection.link = link
        advance(HOST_CONNECTION, connection, HostConnectionEvent.CONNECTED, self)

    def disconnected(self, connection: HostConnection) -> None:
        """Handle a connection that has closed or could not be established.

        This input occurs exactly once per connect, when the connection's file descriptor is free again.
        """
        self.open_count -= 1
        advance(HOST_CONNECTION, connection, HostConnectionEvent.DISCONNECTED, self)

    def written(self, connection: HostConnection) -> None:
        """Handle a request that has been written completely."""
        advance(HOST_CONNECTION, connection, WRITTEN, self)
        self.delivery_bounds.written(connection)

    def stale(self, connection: HostConnection) -> None:
        """Handle a request that was not written, because bytes have arrived since the last response."""
        advance(HOST_CONNECTION, connection, HostConnectionEvent.STALE, self)

    def response(
        self,
        connection: HostConnection,
        clean: bool,
        outcome: Outcome,
        data: bytes,
        true_units: float,
        quota_used: int,
    ) -> None:
        """Handle a response, with the true units and the customer's usage as the host states them.

        `clean` means that no bytes followed the response. One that arrives before its host has received the
        request is no answer to it, except a rejection: a host that has too many connections sends it at once.
        """
        attempt = connection.attempt
        previous_state = connection.state
        undelivered = previous_state is WAITING and self.delivery_bounds.is_answered_early(connection)
        if not clean:
            self.context.counts[counter_names.OVERFULL] += 1
        event = RESPONSE if clean and not undelivered else HostConnectionEvent.EXCESS_DATA
        advance(HOST_CONNECTION, connection, event, self)
        if previous_state is WRITING:
            overloaded = outcome is Outcome.OVERLOADED
            self._end_attempt(connection, outcome if overloaded else Outcome.CONNECTION_FAILED)
        elif undelivered:
            overloaded = outcome is Outcome.OVERLOADED
            self._end_attempt(connection, outcome if overloaded else Outcome.RESET)
        elif previous_state is WAITING:
            self._finish_attempt(attempt, outcome, data, true_units, quota_used)  # type: ignore[arg-type]  # Set while WAITING.

    def malformed(self, connection: HostConnection, reason: str) -> None:
        """Handle input that is not a valid response."""
        self.context.event_log.event("host malformed", host=connection.endpoint.address, why=reason)
        advance(HOST_CONNECTION, connection, HostConnectionEvent.MALFORMED, self)

    def response_started(self, connection: HostConnection) -> None:
        """Handle the first bytes of a response that is not complete yet."""
        self.response_timeouts.start(connection)
        advance(HOST_CONNECTION, connection, HostConnectionEvent.RESPONSE_STARTED, self)

    def deadline_passed(self, connection: HostConnection, attempt: Attempt) -> None:
        """Handle the time by which an attempt must be delivered, or its deadline.

        That of an earlier attempt is ignored.
        """
        if connection.attempt is not attempt:
            return
        if self.context.now >= connection.attempt_deadline:
            advance(HOST_CONNECTION, connection, HostConnectionEvent.DEADLINE, self)
            return
        self._schedule_deadline(connection, attempt, connection.attempt_deadline)
        self.delivery_bounds.delivery_overdue(connection)

    # Effects of the table.

    def write_request(self, connection: HostConnection) -> HostConnectionEvent | None:
        """Write the attempt's request, or return ABANDONED if it is no longer needed.

        Prevents sending a request that became obsolete during the connect: the client has disconnected or has
        its reply, the host has started to drain or its process has ended, or the period in which a keyed
        request may be repeated is over. A client's close may be unread behind its other input.
        """
        context = self.context
        attempt: Attempt = connection.attempt  # type: ignore[assignment]  # Set before the connection is assigned.
        request: InFlightRequest = attempt.request  # type: ignore[assignment]  # The service creates all requests.
        if (
            request.answer is not None
            or request.client.link.check_peer()
            or connection.endpoint.status is not EndpointStatus.READY
            or context.now >= attempt.deliver_before
        ):
            return HostConnectionEvent.ABANDONED
        data = request.parsed.encode(self.delivery_bounds.write_started(connection, attempt, request))
        context.emit(connection.link.send, data, len(request.attempts) == 1)  # type: ignore[union-attr]  # It is open.
        return None

    def return_to_pool(self, connection: HostConnection) -> HostConnectionEvent | None:
        """Keep a connection whose response is complete, or return EXPIRED if it cannot be reused."""
        connection.attempt = None
        return None if self.pool.put(connection) else HostConnectionEvent.EXPIRED

    def reconnect(self, connection: HostConnection) -> None:
        """Send the attempt over a new connection, and close this one."""
        self.context.counts[counter_names.HOST_STALE] += 1
        self.abort(connection)
        attempt: Attempt = connection.attempt  # type: ignore[assignment]  # Set while WRITING.
        connection.deadline_timer.cancel()  # type: ignore[union-attr]  # Each attempt has a timer.
        connection.attempt = None
        self._connect(connection.endpoint, attempt, connection.attempt_deadline)

    def connection_failed(self, connection: HostConnection) -> None:
        """End an attempt whose connection ended, or that was cancelled, before its request was written.

        The request was not written completely, so it never ran.
        """
        self._end_attempt(connection, Outcome.CONNECTION_FAILED)

    def abandon(self, connection: HostConnection) -> None:
        """End an attempt that had no time left or no connection, which is no evidence about the host."""
        self._end_attempt(connection, Outcome.ABANDONED)

    def abort_abandoned(self, connection: HostConnection) -> None:
        """Abort a connection whose request is no longer needed; no byte of the request was written."""
        self.context.counts[counter_names.UNWANTED] += 1
        self.abort_not_needed(connection)

    def abort_unwritten(self, connection: HostConnection) -> None:
        """Abort a connection before the last byte of its request is written: the request never runs."""
        self.abort(connection)
        self._end_attempt(connection, Outcome.CONNECTION_FAILED)

    def abort_not_needed(self, connection: HostConnection) -> None:
        """Abort a connection whose request is not delivered and needs no answer any more.

        This is no evidence about the host. A request whose last byte had left the process may have run, but
        no decision follows for it.
        """
        self.abort(connection)
        self.abandon(connection)

    def abort_as_reset(self, connection: HostConnection) -> None:
        """Abort a connection after an invalid response; the request may have run."""
        self.abort(connection)
        self._end_attempt(connection, Outcome.RESET)

    def reset(self, connection: HostConnection) -> None:
        """End the attempt of a connection that the host closed; the request may have run."""
        if connection.reused:
            self.last_reuse_reset_at = self.context.now
        self._end_attempt(connection, Outcome.RESET)

    def time_out(self, connection: HostConnection) -> None:
        """End an attempt without a response at its deadline; the request may have run."""
        self.abort(connection)
        self._end_attempt(connection, Outcome.TIMEOUT)
        self.close_idle(connection.endpoint)

    def cancel_waiting(self, connection: HostConnection) -> None:
        """End an attempt that the policy cancelled after its request was written, so that it may have run."""
        self.abort(connection)
        self._end_attempt(connection, Outcome.CANCELLED)
        self.close_idle(connection.endpoint)

    def abort(self, connection: HostConnection) -> None:
        """Close the connection immediately."""
        self.context.emit(connection.link.abort)  # type: ignore[union-attr]  # Only open connections are aborted.

    def drop_idle(self, connection: HostConnection) -> None:
        """Close an idle connection."""
        self.abort(connection)
        self.remove_idle(connection)

    def remove_idle(self, connection: HostConnection) -> None:
        """Remove an idle connection that has closed from the pool."""
        self.pool.remove(connection)

    # Outcomes of attempts.

    def _end_attempt(self, connection: HostConnection, outcome: Outcome) -> None:
        """Give the attempt an outcome without a response; the policy receives it after the current step."""
        attempt = connection.attempt
        connection.attempt = None
        self.context.follow_up(self._finish_attempt, attempt, outcome)

    def _finish_attempt(
        self,
        attempt: Attempt,
        outcome: Outcome,
        data: bytes = b"",
        true_units: float = 0.0,
        quota_used: int = 0,
    ) -> None:
        """Record the one outcome of an attempt, and drop a response whose request already has its reply."""
        context = self.context
        self.by_attempt.pop(attempt).deadline_timer.cancel()  # type: ignore[union-attr]  # Each attempt has a timer.
        self.policy_timers.cancel(attempt)
        request: InFlightRequest = attempt.request  # type: ignore[assignment]  # The service creates all requests.
        context.counts[counter_names.FORWARD_PREFIX + outcome.value] += 1
        final = request.answer is not None
        if outcome is Outcome.DONE and not final:
            self.requests.succeed(request, data)
            final = True
        self.policy.attempt_finished(
            attempt, outcome, context.now - attempt.sent_at, final, true_units, quota_used
        )

    # Idle connections.

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close all idle connections to a host, as after an attempt there that got no response.

        Prevents the use of half-open connections, as after the loss of a machine: the next attempt to that
        host connects anew and, if the connect fails, provably never ran. The cost is some handshakes with
        a host that is only slow.
        """
        for connection in self.pool.take_all(endpoint):
            advance(HOST_CONNECTION, connection, HostConnectionEvent.EXPIRED, self)

    def maintain(self) -> None:
        """Close connections that have been idle for too long, before the host closes them."""
        for connection in self.pool.expired():
            advance(HOST_CONNECTION, connection, HostConnectionEvent.EXPIRED, self)
