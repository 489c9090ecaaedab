"""The lifecycle of the process: starting, serving, draining, closing, ended, left.

Owns the state of the process and its transition table; has no I/O. It calls the state machines of connections
and requests for what a transition means for them, and never decides about a request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from granitedock.service.inputs import Input
from granitedock.service.transitions import Ignored, pairs
from granitedock.state_table import StateEnum, advance

if TYPE_CHECKING:
    from granitedock.service.client_commands import ClientCommands
    from granitedock.service.client_connections import ClientConnections
    from granitedock.service.context import Context
    from granitedock.service.endpoints import EndpointList
    from granitedock.service.in_flight_requests import InFlightRequests


class LifecycleState(StateEnum):
    """The state of the process. The event log shows the value."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"  # SIGTERM has arrived; the gateway still listens.
    CLOSING = "closing"  # The listener is closed; the process waits for requests in flight.
    ENDED = "ended"  # All requests are answered; clients may still be reading replies.
    LEFT = "left"


class LifecycleEvent(StateEnum):
    """A signal to the process or one of its deadlines. The event log shows the value."""

    ENDPOINTS_RECEIVED = "endpoints received"
    ENDPOINTS_OVERDUE = "endpoints overdue"  # The wait for a list ends if the initial list can be used.
    START_DEADLINE = "start deadline"  # The wait for a list ends in any case.
    TERMINATE = "terminate"
    LISTEN_DEADLINE = "listen deadline"
    CHECK_CLIENTS = "check clients"
    NO_CLIENTS = "no clients"
    ANSWER_DEADLINE = "answer deadline"
    EXIT_DEADLINE = "exit deadline"


_S = LifecycleState
_E = LifecycleEvent

LIFECYCLE = {
    (_S.STARTING, _E.ENDPOINTS_RECEIVED): (_S.SERVING, "serve"),
    (_S.STARTING, _E.ENDPOINTS_OVERDUE): (_S.STARTING, "use_initial_endpoints"),
    (_S.STARTING, _E.START_DEADLINE): (_S.SERVING, "serve"),
    (_S.STARTING, _E.TERMINATE): (_S.DRAINING, "drain"),
    (_S.SERVING, _E.TERMINATE): (_S.DRAINING, "drain"),
    (_S.DRAINING, _E.ENDPOINTS_RECEIVED): (_S.DRAINING, "record_endpoints"),
    (_S.DRAINING, _E.LISTEN_DEADLINE): (_S.CLOSING, "stop_listening"),
    (_S.CLOSING, _E.CHECK_CLIENTS): (_S.CLOSING, "check_clients"),
    (_S.CLOSING, _E.NO_CLIENTS): (_S.LEFT, "leave"),
    (_S.CLOSING, _E.ANSWER_DEADLINE): (_S.ENDED, "fail_unanswered"),
    (_S.ENDED, _E.CHECK_CLIENTS): (_S.ENDED, "check_clients"),
    (_S.ENDED, _E.NO_CLIENTS): (_S.LEFT, "leave"),
    (_S.ENDED, _E.EXIT_DEADLINE): (_S.LEFT, "leave"),
}

IGNORED: Ignored = {
    "no event changes the state of a process that is exiting": pairs([_S.LEFT], _E),
    "the start is complete": pairs(
        [_S.SERVING, _S.DRAINING, _S.CLOSING, _S.ENDED], [_E.ENDPOINTS_OVERDUE, _E.START_DEADLINE]
    ),
    "an endpoint list is present already, or is no longer needed": pairs(
        [_S.SERVING, _S.CLOSING, _S.ENDED], [_E.ENDPOINTS_RECEIVED]
    ),
    "the shutdown has begun already: its deadlines count from the first signal": pairs(
        [_S.DRAINING, _S.CLOSING, _S.ENDED], [_E.TERMINATE]
    ),
    "TERMINATE schedules this deadline": pairs(
        [_S.STARTING, _S.SERVING], [_E.LISTEN_DEADLINE, _E.ANSWER_DEADLINE, _E.EXIT_DEADLINE]
    ),
    "the clients are checked only after the listener is closed": pairs(
        [_S.STARTING, _S.SERVING, _S.DRAINING], [_E.CHECK_CLIENTS, _E.NO_CLIENTS]
    ),
    "the deadlines pass in order": pairs([_S.DRAINING], [_E.ANSWER_DEADLINE, _E.EXIT_DEADLINE])
    | pairs([_S.CLOSING], [_E.LISTEN_DEADLINE, _E.EXIT_DEADLINE])
    | pairs([_S.ENDED], [_E.LISTEN_DEADLINE, _E.ANSWER_DEADLINE]),
}

SHUTDOWN_STATES = frozenset({_S.CLOSING, _S.ENDED, _S.LEFT})  # New requests are rejected in these.
# Bound once for the request path: Python 3.11 takes 0.2 us to look up a member of an enum.
DRAINING = _S.DRAINING


class Lifecycle:
    """The state machine of the process."""

    clients: ClientConnections
    commands: ClientCommands
    requests: InFlightRequests
    endpoints: EndpointList

    def __init__(self, context: Context) -> None:
        self.context = context
        self.state = LifecycleState.STARTING
        self.closed_at = float("inf")  # The time at which the listener was closed, Unix ms.
        self.has_endpoints = False  # True once a list has arrived or the wait for one has ended.

    def attach(
        self,
        clients: ClientConnections,
        commands: ClientCommands,
        requests: InFlightRequests,
        endpoints: EndpointList,
    ) -> None:
        """Set the state machines that this one calls."""
        self.clients = clients
        self.commands = commands
        self.requests = requests
        self.endpoints = endpoints

    @property
    def shutting(self) -> bool:
        """Whether the listener is closed and new requests are rejected."""
        return self.state in SHUTDOWN_STATES

    @property
    def rejects_requests(self) -> bool:
        """Whether new requests are rejected at once.

        That is so once the listener is closed, and also while the process drains without having received an
        endpoint list. The latter prevents attempts at draining hosts: the initial list may be outdated, and
        the list that would show the drain has not arrived.
        """
        return self.state in SHUTDOWN_STATES or (self.state is DRAINING and not self.has_endpoints)

    def signal(self, event: LifecycleEvent) -> None:
        """Apply an event, either an input or one raised by another state machine."""
        before = self.state
        advance(LIFECYCLE, self, event, self)
        if self.state is not before:
            self.context.event_log.event(
                "lifecycle",
                before=before.value,
                now=self.state.value,
                requests=len(self.requests.in_flight),
            )

    def begin(self) -> None:
        """Schedule the deadlines of the start.

        They bound the start because nine in ten restarted processes must be ready within 10 s of their start.
        """
        context = self.context
        limits = context.limits
        context.schedule(context.now + limits.ready_ms, Input.LIFECYCLE, LifecycleEvent.ENDPOINTS_OVERDUE)
        longest = max(context.now, context.process_started_at + limits.ready_most_ms)
        context.schedule(longest, Input.LIFECYCLE, LifecycleEvent.START_DEADLINE)

    # Effects of the transition table.

    def use_initial_endpoints(self, _machine: Lifecycle) -> LifecycleEvent | None:
        """Return the event that starts serving by the initial endpoint list, or None without such a list.

        Prevents an unreachable discovery from delaying the start: an outdated list is used instead. Without
        an initial list the process waits longer, since it would reject every request, but not without bound,
        since the load balancer in front sends nothing before a PONG.
        """
        return LifecycleEvent.ENDPOINTS_RECEIVED if self.endpoints.by_name else None

    def record_endpoints(self, _machine: Lifecycle) -> None:
        """Record that a list arrived while draining, so that further requests are served by it."""
        self.has_endpoints = True

    def serve(self, _machine: Lifecycle) -> None:
        """Answer waiting PINGs with PONG and release the requests that were queued during the start."""
        self.has_endpoints = True
        self.commands.answer_pings(serving=True)
        self.requests.release_queued()

    def drain(self, _machine: Lifecycle) -> None:
        """Schedule the deadlines of a graceful shutdown.

        A PING that waited for the start is answered with the actual state. Otherwise the replies to requests
        behind it on its connection would wait for the PONG until the process exits.
        """
        self.commands.answer_pings(serving=False)
        self.requests.release_queued()
        context = self.context
        limits = context.limits
        for after_ms, event in (
            (limits.open_ms, LifecycleEvent.LISTEN_DEADLINE),
            (limits.leave_ms, LifecycleEvent.ANSWER_DEADLINE),
            (limits.leave_most_ms, LifecycleEvent.EXIT_DEADLINE),
        ):
            context.schedule(context.now + after_ms, Input.LIFECYCLE, event)

    def stop_listening(self, _machine: Lifecycle) -> None:
        """Accept the connections in the listener's backlog, then close the listener and the idle clients.

        A client is idle if it waits for no reply and no bytes from it are unread.
        """
        context = self.context
        self.closed_at = context.now
        context.emit(context.io.stop_listening)
        self._close_idle_clients()
        due = context.now + context.limits.fresh_ms
        context.schedule(due, Input.LIFECYCLE, LifecycleEvent.CHECK_CLIENTS)

    def check_clients(self, _machine: Lifecycle) -> LifecycleEvent | None:
        """Return the event that ends the process if no client is connected, else None."""
        return None if self.clients.connections else LifecycleEvent.NO_CLIENTS

    def fail_unanswered(self, _machine: Lifecycle) -> LifecycleEvent | None:
        """Fail all requests in flight, and return the event that ends the process if no client is connected.

        Prevents the process from exiting with unanswered requests. An error reply is always correct, since it
        does not state whether the request ran, and the client receives it before its timeout. The process
        exits once every client has read its replies and disconnected, or at the exit deadline, which is
        before SIGKILL.
        """
        self.requests.fail_all()
        self._close_idle_clients()
        return self.check_clients(self)

    def leave(self, _machine: Lifecycle) -> None:
        """Stop the process."""
        self.context.emit(self.context.io.stop_process)

    def _close_idle_clients(self) -> None:
        for client in list(self.clients.connections):
            self.clients.close_if_idle(client)
