"""Connections to hosts: one attempt at a time on each, and those at rest kept for the next.

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
    from granitedock.service.host_pool import HostConnectionPool
    from granitedock.service.in_flight_requests import InFlightRequest, InFlightRequests
    from granitedock.service.ports import HostLinkPort
    from granitedock.service.timers import PolicyTimers


# Bound once for the request path: Python 3.11 takes 0.2 us to look a member up on its enum.
WAITING = HostConnectionState.WAITING
WRITING = HostConnectionState.WRITING
ASSIGNED = HostConnectionEvent.ASSIGNED
WRITTEN = HostConnectionEvent.WRITTEN
RESPONSE = HostConnectionEvent.RESPONSE
ATTEMPT_DEADLINE = Input.ATTEMPT_DEADLINE


class HostConnections:
    """The state machine of all connections to hosts of one gateway."""

    requests: InFlightRequests
    policy_timers: PolicyTimers
    policy: Gateway

    def __init__(self, context: Context, pool: HostConnectionPool) -> None:
        self.context = context
        self.pool = pool
        self.by_attempt: dict[Attempt, HostConnection] = {}
        self.open_count = 0  # open and connecting
        self.reset_at = float("-inf")  # when a reused connection was last reset under an attempt

    def attach(self, requests: InFlightRequests, policy_timers: PolicyTimers, policy: Gateway) -> None:
        """Set the machines that this one calls."""
        self.requests = requests
        self.policy_timers = policy_timers
        self.policy = policy

    # Attempts.

    def send_attempt(self, attempt: Attempt, attempt_deadline: float | None) -> None:
        """Send an attempt over an idle connection, or a new one.

        Guards against kept connections that are reset at their next use: a non-idempotent request gets one of
        its own while that has been seen of late. Hurts by a handshake.
        """
        context = self.context
        endpoint: Endpoint = attempt.host  # type: ignore[assignment]  # the endpoint list makes all hosts
        request = attempt.request
        attempt_deadline = min(attempt_deadline or request.deadline, request.deadline)
        context.counts[counter_names.FORWARDS] += 1
        wary = (
            request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
            and context.now - self.reset_at < context.limits.wary_ms
        )
        connection = None if wary else self.pool.take(endpoint)
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
            context.follow_up(self._signal, connection, HostConnectionEvent.NO_CAPACITY)
        else:
            self.open_count += 1
            context.counts[counter_names.HOST_DIALS] += 1
            context.emit(context.io.connect_host, connection, endpoint.address)

    def _start_deadline(self, connection: HostConnection, attempt: Attempt) -> None:
        self.by_attempt[attempt] = connection
        connection.deadline_timer = self.context.schedule(
            connection.attempt_deadline, ATTEMPT_DEADLINE, connection, attempt
        )

    def _free_capacity(self) -> bool:
        """Guards against running out of descriptors: an idle connection elsewhere makes room."""
        connection = self.pool.longest_idle()
        if connection is None:
            return False
        advance(HOST_CONNECTION, connection, HostConnectionEvent.EXPIRED, self)
        return True

    def cancel(self, attempt: Attempt) -> None:
        """The policy wants this attempt no more."""
        connection = self.by_attempt.get(attempt)
        if connection is not None:
            self.context.counts[counter_names.WITHDRAWN] += 1
            self.context.follow_up(self._signal, connection, HostConnectionEvent.CANCELLED)

    # Inputs.

    def _signal(self, connection: HostConnection, event: HostConnectionEvent) -> None:
        advance(HOST_CONNECTION, connection, event, self)

    def connected(self, connection: HostConnection, link: HostLinkPort) -> None:
        """The connection is up."""
        connection.link = link
        advance(HOST_CONNECTION, connection, HostConnectionEvent.CONNECTED, self)

    def disconnected(self, connection: HostConnection) -> None:
        """It has ended, or never came up. This comes once for each connect; its descriptor is free now."""
        self.open_count -= 1
        advance(HOST_CONNECTION, connection, HostConnectionEvent.DISCONNECTED, self)

    def written(self, connection: HostConnection) -> None:
        """The request is written whole."""
        advance(HOST_CONNECTION, connection, WRITTEN, self)

    def stale(self, connection: HostConnection) -> None:
        """Something has come since the last response, so the request was not written."""
        advance(HOST_CONNECTION, connection, HostConnectionEvent.STALE, self)

    def response(
        self, connection: HostConnection, clean: bool, outcome: Outcome, data: bytes, units: float, used: int
    ) -> None:
        """A response came, with the true units and the customer's usage as the host tells them; `clean`:
        nothing came behind it."""
        attempt = connection.attempt
        before = connection.state
        if clean:
            event = RESPONSE
        else:
            event = HostConnectionEvent.EXCESS_DATA
            self.context.counts[counter_names.OVERFULL] += 1
        advance(HOST_CONNECTION, connection, event, self)
        if before is WAITING:
            self._finish_attempt(attempt, outcome, data, units, used)  # type: ignore[arg-type]  # it has one
        elif before is WRITING:  # as a host does that has too many connections
            overloaded = outcome is Outcome.OVERLOADED
            self._end_attempt(connection, outcome if overloaded else Outcome.CONNECTION_FAILED)

    def malformed(self, connection: HostConnection, why: str) -> None:
        """What came is no response."""
        self.context.event_log.event("host malformed", host=connection.endpoint.address, why=why)
        advance(HOST_CONNECTION, connection, HostConnectionEvent.MALFORMED, self)

    def response_started(self, connection: HostConnection) -> None:
        """Guards against responses that begin and never end. It counts from the last bytes that came, as long
        responses on slow lines take their time; the whole is bounded, against those that only trickle."""
        context = self.context
        if connection.attempt is not None and connection.link is not None:
            context.schedule(
                context.now + context.limits.answer_ms,
                Input.HOST_RESPONSE_STALLED,
                connection,
                connection.attempt,
                connection.link.received_bytes,
                context.now,
            )
        advance(HOST_CONNECTION, connection, HostConnectionEvent.RESPONSE_STARTED, self)

    def response_stalled(
        self, connection: HostConnection, attempt: Attempt, received: int, started_at: float
    ) -> None:
        """A response had begun a while ago, and so many bytes had come by then."""
        context = self.context
        link = connection.link
        if connection.attempt is not attempt or link is None or not link.has_partial_message():
            return
        if link.received_bytes == received or context.now - started_at > context.limits.answer_most_ms:
            self.malformed(connection, "answer not ended")
        else:
            due = context.now + context.limits.answer_ms
            context.schedule(
                due, Input.HOST_RESPONSE_STALLED, connection, attempt, link.received_bytes, started_at
            )

    def deadline_passed(self, connection: HostConnection, attempt: Attempt) -> None:
        """The time of an attempt is over."""
        if connection.attempt is attempt:
            advance(HOST_CONNECTION, connection, HostConnectionEvent.DEADLINE, self)

    # Effects of the table.

    def write_request(self, connection: HostConnection) -> HostConnectionEvent | None:
        """Write the attempt's request, unless it is not wanted any more.

        Guards against what changed while the connection came up: the client left or has its reply, the host
        began to drain, or the time is over in which a keyed request may be repeated.
        """
        context = self.context
        attempt: Attempt = connection.attempt  # type: ignore[assignment]  # set before it is assigned
        request: InFlightRequest = attempt.request  # type: ignore[assignment]  # all requests are made here
        if (
            request.answer is not None
            or connection.endpoint.status is not EndpointStatus.READY
            or context.now >= attempt.send_before
        ):
            return HostConnectionEvent.ABANDONED
        data = request.parsed.encode(connection.attempt_deadline - context.now)
        context.emit(connection.link.send, data, len(request.attempts) == 1)  # type: ignore[union-attr]  # up
        return None

    def keep(self, connection: HostConnection) -> HostConnectionEvent | None:
        """The response came: keep the connection for the next attempt."""
        connection.attempt = None
        return None if self.pool.put(connection) else HostConnectionEvent.EXPIRED

    def connect_anew(self, connection: HostConnection) -> None:
        """Send the attempt over a new connection."""
        self.context.counts[counter_names.HOST_STALE] += 1
        self.abort(connection)
        attempt: Attempt = connection.attempt  # type: ignore[assignment]  # it was to be written
        connection.deadline_timer.cancel()  # type: ignore[union-attr]  # each attempt has one
        connection.attempt = None
        self._connect(connection.endpoint, attempt, connection.attempt_deadline)

    def connection_failed(self, connection: HostConnection) -> None:
        """The connection ended, or was cancelled, before the request was written whole: it never ran."""
        self._end_attempt(connection, Outcome.CONNECTION_FAILED)

    def abandon(self, connection: HostConnection) -> None:
        """Its time was over, or we had no connection for it: that says nothing of the host."""
        self._end_attempt(connection, Outcome.ABANDONED)

    def abort_abandoned(self, connection: HostConnection) -> None:
        """Not a byte of the request was written, and none is wanted."""
        self.context.counts[counter_names.UNWANTED] += 1
        self.abort(connection)
        self.abandon(connection)

    def abort_unwritten(self, connection: HostConnection) -> None:
        """The request's last byte was not written, and now never will be."""
        self.abort(connection)
        self._end_attempt(connection, Outcome.CONNECTION_FAILED)

    def abort_as_reset(self, connection: HostConnection) -> None:
        """What came is no response; the request may have run."""
        self.abort(connection)
        self._end_attempt(connection, Outcome.RESET)

    def reset(self, connection: HostConnection) -> None:
        """The host ended the connection; the request may have run."""
        if connection.reused:
            self.reset_at = self.context.now
        self._end_attempt(connection, Outcome.RESET)

    def time_out(self, connection: HostConnection) -> None:
        """The response did not come in time; the request may have run."""
        self.abort(connection)
        self._end_attempt(connection, Outcome.TIMEOUT)
        self.close_idle(connection.endpoint)

    def cancel_waiting(self, connection: HostConnection) -> None:
        """The policy cancelled an attempt that may have run."""
        self.abort(connection)
        self._end_attempt(connection, Outcome.CANCELLED)
        self.close_idle(connection.endpoint)

    def abort(self, connection: HostConnection) -> None:
        """Close at once."""
        self.context.emit(connection.link.abort)  # type: ignore[union-attr]  # only one that is up

    def drop_idle(self, connection: HostConnection) -> None:
        """Close an idle connection."""
        self.abort(connection)
        self.remove_idle(connection)

    def remove_idle(self, connection: HostConnection) -> None:
        """An idle connection has ended."""
        self.pool.remove(connection)

    # Outcomes of attempts.

    def _end_attempt(self, connection: HostConnection, outcome: Outcome) -> None:
        """The attempt has an outcome and no response; handed over once this step is done."""
        attempt = connection.attempt
        connection.attempt = None
        self.context.follow_up(self._finish_attempt, attempt, outcome)

    def _finish_attempt(
        self, attempt: Attempt, outcome: Outcome, data: bytes = b"", units: float = 0.0, used: int = 0
    ) -> None:
        """An attempt has its one outcome. A response for a request that is over goes nowhere."""
        context = self.context
        self.by_attempt.pop(attempt).deadline_timer.cancel()  # type: ignore[union-attr]  # each attempt has one
        self.policy_timers.cancel(attempt)
        request: InFlightRequest = attempt.request  # type: ignore[assignment]  # all requests are made here
        context.counts[counter_names.FORWARD_PREFIX + outcome.value] += 1
        over = request.answer is not None
        if outcome is Outcome.DONE and not over:
            self.requests.succeed(request, data)
            over = True
        self.policy.attempt_finished(attempt, outcome, context.now - attempt.sent_at, over, units, used)

    # Idle connections.

    def close_idle(self, endpoint: Endpoint) -> None:
        """Guards against connections that look open and lead nowhere, as after a machine vanished: idle ones
        at a host that left an attempt unanswered are closed, so that the next attempt there connects and,
        where that fails, provably never ran. Hurts a slow host by some handshakes."""
        for connection in self.pool.take_all(endpoint):
            advance(HOST_CONNECTION, connection, HostConnectionEvent.EXPIRED, self)

    def maintain(self) -> None:
        """Close what has been idle for too long, before the host does."""
        for connection in self.pool.expired():
            advance(HOST_CONNECTION, connection, HostConnectionEvent.EXPIRED, self)
