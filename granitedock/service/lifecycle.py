"""The process's lifecycle: starting, serving, draining, closing, ended, left.

Owns the state of the process and the table by which it changes; has no I/O. What follows for connections and
requests is asked of their machines. It never decides about a request.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from granitedock.service.inputs import Input
from granitedock.service.transitions import Ignored, pairs
from granitedock.state_table import advance

if TYPE_CHECKING:
    from granitedock.service.client_commands import ClientCommands
    from granitedock.service.client_connections import ClientConnections
    from granitedock.service.context import Context
    from granitedock.service.endpoints import EndpointList
    from granitedock.service.in_flight_requests import InFlightRequests


class LifecycleState(Enum):
    """The state of the process. The value is how the event log names it."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"  # asked to end; still listening
    CLOSING = "closing"  # listening no more; requests in flight are waited for
    ENDED = "ended"  # all requests are answered; clients may still read
    LEFT = "left"

    __hash__ = object.__hash__


class LifecycleEvent(Enum):
    """A signal to the process, or one of its own deadlines. The value is how the event log names it."""

    ENDPOINTS_RECEIVED = "endpoints received"
    ENDPOINTS_OVERDUE = "endpoints overdue"  # waited for as long as there is a list to go by
    START_DEADLINE = "start deadline"  # and as long as may be without one
    TERMINATE = "terminate"
    LISTEN_DEADLINE = "listen deadline"
    CHECK_CLIENTS = "check clients"
    NO_CLIENTS = "no clients"
    ANSWER_DEADLINE = "answer deadline"
    EXIT_DEADLINE = "exit deadline"

    __hash__ = object.__hash__


_S = LifecycleState
_E = LifecycleEvent

LIFECYCLE = {
    (_S.STARTING, _E.ENDPOINTS_RECEIVED): (_S.SERVING, "serve"),
    (_S.STARTING, _E.ENDPOINTS_OVERDUE): (_S.STARTING, "go_by_initial_endpoints"),
    (_S.STARTING, _E.START_DEADLINE): (_S.SERVING, "serve"),
    (_S.STARTING, _E.TERMINATE): (_S.DRAINING, "drain"),
    (_S.SERVING, _E.TERMINATE): (_S.DRAINING, "drain"),
    (_S.DRAINING, _E.ENDPOINTS_RECEIVED): (_S.DRAINING, "note_endpoints"),
    (_S.DRAINING, _E.LISTEN_DEADLINE): (_S.CLOSING, "stop_listening"),
    (_S.CLOSING, _E.CHECK_CLIENTS): (_S.CLOSING, "check_clients"),
    (_S.CLOSING, _E.NO_CLIENTS): (_S.LEFT, "leave"),
    (_S.CLOSING, _E.ANSWER_DEADLINE): (_S.ENDED, "fail_the_rest"),
    (_S.ENDED, _E.CHECK_CLIENTS): (_S.ENDED, "check_clients"),
    (_S.ENDED, _E.NO_CLIENTS): (_S.LEFT, "leave"),
    (_S.ENDED, _E.EXIT_DEADLINE): (_S.LEFT, "leave"),
}

IGNORED: Ignored = {
    "nothing changes a process that has left": pairs([_S.LEFT], _E),
    "the start is over": pairs(
        [_S.SERVING, _S.DRAINING, _S.CLOSING, _S.ENDED], [_E.ENDPOINTS_OVERDUE, _E.START_DEADLINE]
    ),
    "it has a list already, or needs none any more": pairs(
        [_S.SERVING, _S.CLOSING, _S.ENDED], [_E.ENDPOINTS_RECEIVED]
    ),
    "it ends already: the time of the first signal counts": pairs(
        [_S.DRAINING, _S.CLOSING, _S.ENDED], [_E.TERMINATE]
    ),
    "this deadline is set by TERMINATE": pairs(
        [_S.STARTING, _S.SERVING], [_E.LISTEN_DEADLINE, _E.ANSWER_DEADLINE, _E.EXIT_DEADLINE]
    ),
    "clients are counted once the listener is closed": pairs(
        [_S.STARTING, _S.SERVING, _S.DRAINING], [_E.CHECK_CLIENTS, _E.NO_CLIENTS]
    ),
    "the deadlines come in order": pairs([_S.DRAINING], [_E.ANSWER_DEADLINE, _E.EXIT_DEADLINE])
    | pairs([_S.CLOSING], [_E.LISTEN_DEADLINE, _E.EXIT_DEADLINE])
    | pairs([_S.ENDED], [_E.LISTEN_DEADLINE, _E.ANSWER_DEADLINE]),
}

SHUTTING = frozenset({_S.CLOSING, _S.ENDED, _S.LEFT})  # no request is taken any more
DRAINING = _S.DRAINING  # bound once for the request path: Python 3.11 takes 0.2 us to look a member up


class Lifecycle:
    """The state machine of the process."""

    clients: ClientConnections
    commands: ClientCommands
    requests: InFlightRequests
    endpoints: EndpointList

    def __init__(self, context: Context) -> None:
        self.context = context
        self.state = LifecycleState.STARTING
        self.closed_at = float("inf")  # when the listener closed, Unix ms
        self.has_endpoints = False  # a list has come, or was waited for as long as may be

    def attach(
        self,
        clients: ClientConnections,
        commands: ClientCommands,
        requests: InFlightRequests,
        endpoints: EndpointList,
    ) -> None:
        """Set the machines that this one calls."""
        self.clients = clients
        self.commands = commands
        self.requests = requests
        self.endpoints = endpoints

    @property
    def shutting(self) -> bool:
        """Whether the listener is closed and no request is taken any more."""
        return self.state in SHUTTING

    @property
    def refusing(self) -> bool:
        """Requests are refused at once: the process shuts, or was asked to before a list came. Guards hosts
        that drain by a list that the process never got: what it was handed may be old."""
        return self.state in SHUTTING or (self.state is DRAINING and not self.has_endpoints)

    def signal(self, event: LifecycleEvent) -> None:
        """An input, or an event of another machine."""
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
        """Bound on the start: nine in ten restarted processes have to be ready within 10 s of their start."""
        context = self.context
        limits = context.limits
        context.schedule(context.now + limits.ready_ms, Input.LIFECYCLE, LifecycleEvent.ENDPOINTS_OVERDUE)
        longest = max(context.now, context.process_started_at + limits.ready_most_ms)
        context.schedule(longest, Input.LIFECYCLE, LifecycleEvent.START_DEADLINE)

    # Effects of the table.

    def go_by_initial_endpoints(self, _machine: Lifecycle) -> LifecycleEvent | None:
        """Guards against discovery that is down at the start: an old list serves. Without one there is longer
        to wait, since every request would be refused; but not for ever, as the load balancer in front holds
        back until PONG."""
        return LifecycleEvent.ENDPOINTS_RECEIVED if self.endpoints.by_name else None

    def note_endpoints(self, _machine: Lifecycle) -> None:
        """A list came while draining: what still comes is served by it."""
        self.has_endpoints = True

    def serve(self, _machine: Lifecycle) -> None:
        """Tell that the gateway serves, and serve what was taken meanwhile."""
        self.has_endpoints = True
        self.commands.answer_pings(serving=True)
        self.requests.release_queued()

    def drain(self, _machine: Lifecycle) -> None:
        """Set the deadlines of a graceful shutdown.

        A PING that waited for the start gets the truth: guards the requests behind it on its connection,
        whose replies would else wait for the PONG until the process is gone.
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
        """No new connection, once those in the system's queue are accepted; a client that waits for no reply
        is parted with, unless bytes of its lie unread."""
        context = self.context
        self.closed_at = context.now
        context.emit(context.io.stop_listening)
        self._close_idle_clients()
        due = context.now + context.limits.fresh_ms
        context.schedule(due, Input.LIFECYCLE, LifecycleEvent.CHECK_CLIENTS)

    def check_clients(self, _machine: Lifecycle) -> LifecycleEvent | None:
        """Leave once no client is connected."""
        return None if self.clients.connections else LifecycleEvent.NO_CLIENTS

    def fail_the_rest(self, _machine: Lifecycle) -> LifecycleEvent | None:
        """Guards against a stop that finds requests in flight: an error promises nothing, and comes in time.
        The process ends once every client has read its replies and gone, or at the exit deadline, before
        SIGKILL."""
        self.requests.fail_all()
        self._close_idle_clients()
        return self.check_clients(self)

    def leave(self, _machine: Lifecycle) -> None:
        """End the process."""
        self.context.emit(self.context.io.stop_process)

    def _close_idle_clients(self) -> None:
        for client in list(self.clients.connections):
            self.clients.close_if_idle(client)
