"""Timeouts of responses that have started to arrive from hosts and do not end.

Keeps no state: the attempts and connections belong to `host_connections`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from granitedock.policy.types import Attempt
from granitedock.service.inputs import Input

if TYPE_CHECKING:
    from granitedock.service.context import Context
    from granitedock.service.host_connection import HostConnection
    from granitedock.service.host_connections import HostConnections


class ResponseTimeouts:
    """Ends attempts whose response makes no progress, or takes too long as a whole."""

    hosts: HostConnections

    def __init__(self, context: Context) -> None:
        self.context = context

    def attach(self, hosts: HostConnections) -> None:
        """Set the state machine that this one calls."""
        self.hosts = hosts

    def start(self, connection: HostConnection) -> None:
        """Start the timer for a response whose first bytes have arrived.

        Prevents responses that start and never end from holding a connection. The timer restarts with newly
        received bytes, because long responses take time on slow connections; `answer_most_ms` bounds the
        whole response, against hosts that only trickle bytes.
        """
        if connection.attempt is not None and connection.link is not None:
            self._schedule(connection, connection.attempt, self.context.now)

    def timer_fired(
        self, connection: HostConnection, attempt: Attempt, received_bytes: int, started_at: float
    ) -> None:
        """Check the progress of a partial response.

        `received_bytes` is the connection's byte count when the timer started, and `started_at` the time at
        which the response started.
        """
        context = self.context
        link = connection.link
        if connection.attempt is not attempt or link is None or not link.has_partial_message():
            return
        if link.received_bytes == received_bytes or context.now - started_at > context.limits.answer_most_ms:
            self.hosts.malformed(connection, "response incomplete at its time limit")
        else:
            self._schedule(connection, attempt, started_at)

    def _schedule(self, connection: HostConnection, attempt: Attempt, started_at: float) -> None:
        context = self.context
        context.schedule(
            context.now + context.limits.answer_ms,
            Input.HOST_RESPONSE_STALLED,
            connection,
            attempt,
            connection.link.received_bytes,  # type: ignore[union-attr]  # Checked by the callers.
            started_at,
        )
