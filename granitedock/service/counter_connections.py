"""Connections to the counter, each with pipelined calls and replies in the order of the calls.

Owns the state of each connection, the calls that wait on it, and when it is replaced or reconnected.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from granitedock.policy.types import CounterCall, Outcome
from granitedock.service import counter_names
from granitedock.service.counter_connection import (
    COUNTER_CONNECTION,
    CounterConnection,
    CounterConnectionEvent,
    CounterConnectionState,
)
from granitedock.service.counter_protocol import PING, encode_call
from granitedock.service.inputs import Input
from granitedock.state_table import advance

if TYPE_CHECKING:
    from granitedock.policy.gateway import Gateway
    from granitedock.service.context import Context
    from granitedock.service.ports import CounterLinkPort
    from granitedock.service.timers import PolicyTimers

RECONNECT_MULTIPLE = 5  # The delay before a closed connection is reconnected, in multiples of `redial_ms`.


# Bound once for the request path: Python 3.11 takes 0.2 us to look up a member of an enum.
OPEN = CounterConnectionState.OPEN
DRAINED = CounterConnectionEvent.DRAINED


class CounterConnections:
    """The state machine of all connections to the counter of one gateway."""

    policy_timers: PolicyTimers
    policy: Gateway

    def __init__(self, context: Context) -> None:
        self.context = context
        self.active: list[CounterConnection | None] = [None] * context.limits.counter_links
        self.retired: dict[CounterConnection, None] = {}
        self.reconnecting: set[int] = set()  # Numbers of the connections that wait to be reconnected.

    def attach(self, policy_timers: PolicyTimers, policy: Gateway) -> None:
        """Set the state machines that this one calls."""
        self.policy_timers = policy_timers
        self.policy = policy

    def connect_all(self) -> None:
        """Open all connections, at the start."""
        for number in range(self.context.limits.counter_links):
            self._get_or_connect(number)

    def _get_or_connect(self, number: int) -> CounterConnection:
        """Return the active connection of this number, and open one if there is none.

        All calls with the same counter name use the same connection, so that the totals of a name arrive in
        order.
        """
        connection = self.active[number]
        if connection is None:
            connection = self.active[number] = CounterConnection(number)
            self.context.counts[counter_names.COUNTER_DIALS] += 1
            self.context.emit(self.context.io.connect_counter, connection)
        return connection

    # Calls.

    def call(self, call: CounterCall) -> None:
        """Make a call; the policy receives its outcome."""
        context = self.context
        context.counts[counter_names.CALLS] += 1
        connection = self._get_or_connect(call.name % context.limits.counter_links)
        if not connection.waiting:
            connection.waiting_since = context.now
        connection.waiting.append(call)
        if connection.state is OPEN:
            self._send(connection, encode_call(call.name, call.amount, call.ttl_ms))

    def call_all(self, calls: list[CounterCall]) -> None:
        """Make calls that belong to no request (presence at the counter)."""
        for call in calls:
            self.call(call)

    def _send(self, connection: CounterConnection, data: bytes) -> None:
        self.context.emit(connection.link.send, data)  # type: ignore[union-attr]  # An open connection has a link.

    def _finish(self, call: CounterCall, outcome: Outcome) -> None:
        """End a call without a total; the policy receives the outcome after the current step."""
        self.policy_timers.cancel(call)
        self.context.follow_up(self.policy.counter_call_finished, call, outcome, 0.0)

    # Inputs.

    def connected(self, connection: CounterConnection, link: CounterLinkPort) -> None:
        """Handle an established connection."""
        connection.link = link
        advance(COUNTER_CONNECTION, connection, CounterConnectionEvent.CONNECTED, self)

    def disconnected(self, connection: CounterConnection) -> None:
        """Handle a connection that has closed or could not be established."""
        advance(COUNTER_CONNECTION, connection, CounterConnectionEvent.DISCONNECTED, self)

    def reply(self, connection: CounterConnection, outcome: Outcome, total: float | None) -> None:
        """Handle the reply to the oldest call; `total` is None for the reply to a PING."""
        waiting = connection.waiting
        if not waiting or (waiting[0] is None) != (total is None):
            self.malformed(connection, "reply does not match the oldest call")
            return
        connection.last_reply_at = self.context.now
        call = waiting.popleft()
        if call is not None:
            self.context.counts[counter_names.CALL_PREFIX + outcome.value] += 1
            self.policy_timers.cancel(call)
            self.policy.counter_call_finished(call, outcome, total)  # type: ignore[arg-type]  # Checked above.
        if not waiting:
            advance(COUNTER_CONNECTION, connection, DRAINED, self)

    def malformed(self, connection: CounterConnection, reason: str) -> None:
        """Handle input that is not a valid reply."""
        self.context.event_log.event("counter malformed", waiting=len(connection.waiting), why=reason)
        advance(COUNTER_CONNECTION, connection, CounterConnectionEvent.MALFORMED, self)

    def reply_started(self, connection: CounterConnection) -> None:
        """Start the timer for a reply whose first bytes have arrived.

        Prevents replies that start and never end from blocking the connection, as for hosts.
        """
        check_at = self.context.now + self.context.limits.total_ms
        self.context.schedule(check_at, Input.COUNTER_REPLY_STALLED, connection, connection.last_reply_at)

    def reply_stalled(self, connection: CounterConnection, last_reply_at: float) -> None:
        """Treat a reply as malformed if it is still partial and none has arrived since its timer started."""
        link = connection.link
        if connection.last_reply_at == last_reply_at and link is not None and link.has_partial_message():
            self.malformed(connection, "reply incomplete at its time limit")

    def reconnect(self, number: int) -> None:
        """Open the connection of this number after its reconnect delay."""
        self.reconnecting.discard(number)
        self._get_or_connect(number)

    def address_changed(self) -> None:
        """Replace all connections after the platform file has named another counter.

        Established connections are retired, to receive the totals that are still outstanding on them.
        """
        for connection in self.active:
            if connection is not None:
                advance(COUNTER_CONNECTION, connection, CounterConnectionEvent.ADDRESS_CHANGED, self)

    def maintain(self) -> None:
        """Replace connections that have timed out, PING idle ones, and close expired retired ones."""
        now = self.context.now
        limits = self.context.limits
        for connection in self.active:
            if connection is None or connection.state is not OPEN:
                continue
            active_at = max(connection.last_reply_at, connection.waiting_since)
            if connection.waiting and now - active_at > limits.counter_silence_ms:
                advance(COUNTER_CONNECTION, connection, CounterConnectionEvent.TIMED_OUT, self)
            elif not connection.waiting and now - connection.last_reply_at > limits.counter_ping_ms:
                connection.waiting_since = now
                connection.waiting.append(None)
                self._send(connection, PING)
        for connection in list(self.retired):
            if now - connection.retired_at > limits.counter_linger_ms:
                advance(COUNTER_CONNECTION, connection, CounterConnectionEvent.LINGER_OVER, self)

    # Effects of the table.

    def flush(self, connection: CounterConnection) -> None:
        """Write the calls that waited for the connection to be established."""
        connection.last_reply_at = self.context.now
        calls = [
            encode_call(call.name, call.amount, call.ttl_ms)
            for call in connection.waiting
            if call is not None
        ]
        if calls:
            self._send(connection, b"".join(calls))

    def abort_malformed(self, connection: CounterConnection) -> None:
        """Abort a connection after an invalid reply, and end its calls.

        Prevents a reply without a total from leaving its call open: the oldest call was made and ends with an
        error, and the connection is of no further use. The amounts of the calls behind it may or may not have
        been added.
        """
        self.abort(connection)
        call = connection.waiting.popleft() if connection.waiting else None
        if call is not None:
            self.context.counts[counter_names.CALL_SPOILT] += 1
            self._finish(call, Outcome.ERROR)
        self._remove(connection, Outcome.RESET)

    def connection_failed(self, connection: CounterConnection) -> None:
        """End the calls of a connection that could not be established; none of them was written."""
        self._remove(connection, Outcome.CONNECTION_FAILED)

    def reset(self, connection: CounterConnection) -> None:
        """End the calls of a connection that has closed; their amounts may or may not have been added."""
        self._remove(connection, Outcome.RESET)

    def close_drained(self, connection: CounterConnection) -> None:
        """Close a retired connection that has no outstanding totals."""
        self.retired.pop(connection, None)
        self.abort(connection)

    def abort_lingering(self, connection: CounterConnection) -> None:
        """Abort a retired connection whose totals are outstanding for too long."""
        self.abort(connection)
        self._remove(connection, Outcome.RESET)

    def replace(self, connection: CounterConnection) -> None:
        """Retire a connection, and open a new one for further calls.

        Prevents calls from waiting on a connection without replies, be it dead or behind a long queue, and on
        a counter that has moved. The retired connection is kept for late totals. The cost is some connections
        to a counter that is only slow.
        """
        now = self.context.now
        self.context.event_log.event(
            "counter connection replaced",
            waiting=len(connection.waiting),
            last_reply_ms_ago=now - connection.last_reply_at,
        )
        connection.retired_at = now
        self.retired[connection] = None
        self.active[connection.number] = None
        self._get_or_connect(connection.number)
        if len(self.retired) > self.context.limits.counter_old:
            oldest = next(iter(self.retired))
            advance(COUNTER_CONNECTION, oldest, CounterConnectionEvent.LINGER_OVER, self)
        if not connection.waiting:
            advance(COUNTER_CONNECTION, connection, DRAINED, self)

    def reconnect_to_new_address(self, connection: CounterConnection) -> None:
        """Move the calls of a connection that is still being established to one to the new address.

        None of the calls was written.
        """
        self.active[connection.number] = None
        self._get_or_connect(connection.number).waiting = connection.waiting
        connection.waiting = deque()

    def abort(self, connection: CounterConnection) -> None:
        """Close the connection immediately."""
        self.context.emit(connection.link.abort)  # type: ignore[union-attr]  # Only open connections are aborted.

    def _remove(self, connection: CounterConnection, outcome: Outcome) -> None:
        """Remove a closed connection: end its waiting calls with this outcome, and schedule its reconnect."""
        for call in connection.waiting:
            if call is not None:
                self.context.counts[counter_names.CALL_PREFIX + outcome.value] += 1
                self._finish(call, outcome)
        connection.waiting.clear()
        self.retired.pop(connection, None)
        number = connection.number
        if self.active[number] is connection:
            self.active[number] = None
            if number not in self.reconnecting:
                # Prevents a storm of connects while the counter is unavailable: calls connect too, and each
                # connect that failed would schedule one more.
                self.reconnecting.add(number)
                reconnect_at = self.context.now + RECONNECT_MULTIPLE * self.context.limits.redial_ms
                self.context.schedule(reconnect_at, Input.COUNTER_RECONNECT, number)
