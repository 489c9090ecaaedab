"""Connections to the counter: calls written one behind another, and replies in the same order.

Owns the state of each connection, the calls that wait on it, and when one is replaced or made again.
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

RECONNECT_FACTOR = 5  # times `redial_ms`: the wait before a connection that ended is made again


# Bound once for the request path: Python 3.11 takes 0.2 us to look a member up on its enum.
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
        self.reconnecting: set[int] = set()  # numbers of connections that will be made again

    def attach(self, policy_timers: PolicyTimers, policy: Gateway) -> None:
        """Set the machines that this one calls."""
        self.policy_timers = policy_timers
        self.policy = policy

    def connect_all(self) -> None:
        """Make all connections, at the start."""
        for number in range(self.context.limits.counter_links):
            self._active(number)

    def _active(self, number: int) -> CounterConnection:
        """The connection in use for these names: one for each name, so that its totals come in order."""
        connection = self.active[number]
        if connection is None:
            connection = self.active[number] = CounterConnection(number)
            self.context.counts[counter_names.COUNTER_DIALS] += 1
            self.context.emit(self.context.io.connect_counter, connection)
        return connection

    # Calls.

    def call(self, call: CounterCall) -> None:
        """Make a call; its outcome goes to the policy."""
        context = self.context
        context.counts[counter_names.CALLS] += 1
        connection = self._active(call.name % context.limits.counter_links)
        if not connection.waiting:
            connection.waiting_since = context.now
        connection.waiting.append(call)
        if connection.state is OPEN:
            self._send(connection, encode_call(call.name, call.amount, call.ttl_ms))

    def call_all(self, calls: list[CounterCall]) -> None:
        """Make calls that no request asked for (presence at the counter)."""
        for call in calls:
            self.call(call)

    def _send(self, connection: CounterConnection, data: bytes) -> None:
        self.context.emit(connection.link.send, data)  # type: ignore[union-attr]  # an open one has a link

    def _finish(self, call: CounterCall, outcome: Outcome) -> None:
        """A call without a total; handed to the policy once this step is done."""
        self.policy_timers.cancel(call)
        self.context.follow_up(self.policy.counter_call_finished, call, outcome, 0.0)

    # Inputs.

    def connected(self, connection: CounterConnection, link: CounterLinkPort) -> None:
        """The connection is up."""
        connection.link = link
        advance(COUNTER_CONNECTION, connection, CounterConnectionEvent.CONNECTED, self)

    def disconnected(self, connection: CounterConnection) -> None:
        """It has ended, or never came up."""
        advance(COUNTER_CONNECTION, connection, CounterConnectionEvent.DISCONNECTED, self)

    def reply(self, connection: CounterConnection, outcome: Outcome, total: float | None) -> None:
        """The reply to the oldest call; `total` is None for that to a PING."""
        waiting = connection.waiting
        if not waiting or (waiting[0] is None) != (total is None):
            self.malformed(connection, "answer out of turn")
            return
        connection.last_reply_at = self.context.now
        call = waiting.popleft()
        if call is not None:
            self.context.counts[counter_names.CALL_PREFIX + outcome.value] += 1
            self.policy_timers.cancel(call)
            self.policy.counter_call_finished(call, outcome, total)  # type: ignore[arg-type]  # as above
        if not waiting:
            advance(COUNTER_CONNECTION, connection, DRAINED, self)

    def malformed(self, connection: CounterConnection, why: str) -> None:
        """What came is no reply."""
        self.context.event_log.event("counter malformed", waiting=len(connection.waiting), why=why)
        advance(COUNTER_CONNECTION, connection, CounterConnectionEvent.MALFORMED, self)

    def reply_started(self, connection: CounterConnection) -> None:
        """Guards against replies that begin and never end, as at the hosts."""
        due = self.context.now + self.context.limits.total_ms
        self.context.schedule(due, Input.COUNTER_REPLY_STALLED, connection, connection.last_reply_at)

    def reply_stalled(self, connection: CounterConnection, last_reply_at: float) -> None:
        """A reply had begun a while ago."""
        link = connection.link
        if connection.last_reply_at == last_reply_at and link is not None and link.has_partial_message():
            self.malformed(connection, "answer not ended")

    def reconnect(self, number: int) -> None:
        """The wait before this connection is made again is over."""
        self.reconnecting.discard(number)
        self._active(number)

    def address_changed(self) -> None:
        """The platform file names another counter. Old connections are kept as long as they last, for the
        totals they still owe."""
        for connection in self.active:
            if connection is not None:
                advance(COUNTER_CONNECTION, connection, CounterConnectionEvent.ADDRESS_CHANGED, self)

    def maintain(self) -> None:
        """Replace connections that have timed out, keep idle ones in use, and end what lingers."""
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
        """It is up: write the calls that waited for it."""
        connection.last_reply_at = self.context.now
        calls = [
            encode_call(call.name, call.amount, call.ttl_ms)
            for call in connection.waiting
            if call is not None
        ]
        if calls:
            self._send(connection, b"".join(calls))

    def abort_malformed(self, connection: CounterConnection) -> None:
        """Guards against replies without a total: the call was made, and the connection is of no further use.
        What waits behind it may have been added or may not."""
        self.abort(connection)
        call = connection.waiting.popleft() if connection.waiting else None
        if call is not None:
            self.context.counts[counter_names.CALL_SPOILT] += 1
            self._finish(call, Outcome.ERROR)
        self._lose(connection, Outcome.RESET)

    def connection_failed(self, connection: CounterConnection) -> None:
        """It never came up: no call was written."""
        self._lose(connection, Outcome.CONNECTION_FAILED)

    def reset(self, connection: CounterConnection) -> None:
        """It ended: calls that wait may have been added or may not."""
        self._lose(connection, Outcome.RESET)

    def close_drained(self, connection: CounterConnection) -> None:
        """A retired connection owes no total any more."""
        self.retired.pop(connection, None)
        self.abort(connection)

    def abort_lingering(self, connection: CounterConnection) -> None:
        """A retired connection owes totals for too long."""
        self.abort(connection)
        self._lose(connection, Outcome.RESET)

    def replace(self, connection: CounterConnection) -> None:
        """Guards against a connection that has fallen silent, by death or by a long queue, and against a
        counter that moves: calls go on over a new one, and the old one is kept for late totals. Hurts a slow
        counter by some connections."""
        now = self.context.now
        self.context.event_log.event(
            "counter connection replaced",
            waiting=len(connection.waiting),
            last_reply_ms_ago=now - connection.last_reply_at,
        )
        connection.retired_at = now
        self.retired[connection] = None
        self.active[connection.number] = None
        self._active(connection.number)
        if len(self.retired) > self.context.limits.counter_old:
            oldest = next(iter(self.retired))
            advance(COUNTER_CONNECTION, oldest, CounterConnectionEvent.LINGER_OVER, self)
        if not connection.waiting:
            advance(COUNTER_CONNECTION, connection, DRAINED, self)

    def connect_there(self, connection: CounterConnection) -> None:
        """Nothing of its calls was written, so they go where the new one leads."""
        self.active[connection.number] = None
        self._active(connection.number).waiting = connection.waiting
        connection.waiting = deque()

    def abort(self, connection: CounterConnection) -> None:
        """Close at once."""
        self.context.emit(connection.link.abort)  # type: ignore[union-attr]  # only one that is up

    def _lose(self, connection: CounterConnection, outcome: Outcome) -> None:
        """The connection is closed, with this outcome for the calls that wait on it."""
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
                # Guards against a storm of connects while the counter is away: a call connects too, and each
                # connect that failed would bring one more.
                self.reconnecting.add(number)
                due = self.context.now + RECONNECT_FACTOR * self.context.limits.redial_ms
                self.context.schedule(due, Input.COUNTER_RECONNECT, number)
