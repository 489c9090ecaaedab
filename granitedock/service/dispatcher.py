"""The state machine of the gateway: passes inputs to the state machines below it, and effects to the loop.

Has no I/O and reads no clock: it handles one input at a time and returns the effects to carry out.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from granitedock import platform_settings
from granitedock.policy.types import Attempt, CounterCall, Request
from granitedock.service.client_commands import ClientCommands
from granitedock.service.client_connections import ClientConnections
from granitedock.service.context import Context, Effect
from granitedock.service.counter_connections import CounterConnections
from granitedock.service.delivery_bounds import DeliveryBounds
from granitedock.service.discovery_protocol import EndpointListUpdate
from granitedock.service.discovery_watch import DiscoveryWatch, Watch
from granitedock.service.endpoints import EndpointList
from granitedock.service.host_connections import HostConnections
from granitedock.service.host_pool import HostConnectionPool
from granitedock.service.in_flight_requests import InFlightRequests
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import Lifecycle, LifecycleState
from granitedock.service.limits import Limits
from granitedock.service.ports import EventLogPort, GatewayIO
from granitedock.service.reply_queues import ReplyQueues
from granitedock.service.response_timeouts import ResponseTimeouts
from granitedock.service.timers import PolicyTimers


@dataclass(frozen=True, slots=True)
class GatewayParameters:
    """The parameters of a gateway's state machine. Times are Unix ms.

    `settings` is the field of that name in the platform file. `initial_endpoints` is the last endpoint list
    that this gateway had, or None. `process_started_at` is None if the process starts at `now`.
    """

    now: float
    limits: Limits
    settings: dict[str, Any]
    seed: int
    initial_endpoints: EndpointListUpdate | None
    io: GatewayIO
    event_log: EventLogPort
    process_started_at: float | None = None


class PolicyEffects:
    """The effect handler of the policy (`granitedock.policy.ports.EffectHandler`)."""

    def __init__(
        self,
        context: Context,
        requests: InFlightRequests,
        hosts: HostConnections,
        counter: CounterConnections,
        timers: PolicyTimers,
    ) -> None:
        self.context = context
        self.requests = requests
        self.hosts = hosts
        self.counter = counter
        self.policy_timers = timers

    def send_attempt(self, attempt: Attempt, attempt_deadline: float | None) -> None:
        """Send a request to a host.

        The attempt ends at `attempt_deadline` (Unix ms), if given, or at the deadline of the request,
        whichever is earlier.
        """
        self.hosts.send_attempt(attempt, attempt_deadline)

    def reject(self, request: Request, retry_after_ms: float | None) -> None:
        """Reply with a rejection: the client may repeat the request, after `retry_after_ms` if given."""
        self.requests.reject(request, retry_after_ms)  # type: ignore[arg-type]  # It is an InFlightRequest.

    def fail(self, request: Request) -> None:
        """Reply that the request failed; it may have run."""
        self.requests.fail(request)  # type: ignore[arg-type]  # It is an InFlightRequest.

    def cancel(self, attempt: Attempt) -> None:
        """Close the connection of an attempt that is no longer needed."""
        self.hosts.cancel(attempt)

    def call_counter(self, call: CounterCall) -> None:
        """Send an increment to the counter."""
        self.counter.call(call)

    def start_timer(self, after_ms: float, subject: object) -> None:
        """Call the policy's `timer_fired(subject)` after `after_ms`."""
        self.policy_timers.start(after_ms, subject)

    def log_decision(self, line: str) -> None:
        """Write a line to the event log."""
        self.context.event_log.event("decision", line=line)


class GatewayStateMachine:
    """One gateway without its I/O. An effect is a callable for the loop to call, and its arguments."""

    def __init__(self, parameters: GatewayParameters) -> None:
        now, settings = parameters.now, parameters.settings
        context = self.context = Context(now, parameters.limits, parameters.io, parameters.event_log)
        if parameters.process_started_at is not None:
            context.process_started_at = parameters.process_started_at
        self.initial_endpoints = parameters.initial_endpoints
        classes = platform_settings.request_classes(settings)
        plans = platform_settings.plans(settings)
        self.lifecycle = Lifecycle(context)
        self.clients = ClientConnections(context)
        self.replies = ReplyQueues(context)
        self.commands = ClientCommands(context)
        self.requests = InFlightRequests(
            context,
            {request_class.name: request_class for request_class in classes},
            {plan.name: plan for plan in plans},
        )
        self.host_pool = HostConnectionPool(context)
        self.hosts = HostConnections(context, self.host_pool)
        self.delivery_bounds = DeliveryBounds(context)
        self.response_timeouts = ResponseTimeouts(context)
        self.counter = CounterConnections(context)
        self.endpoints = EndpointList(context)
        self.discovery = DiscoveryWatch(context, parameters.seed)
        self.policy_timers = PolicyTimers(context)
        effects = PolicyEffects(context, self.requests, self.hosts, self.counter, self.policy_timers)
        self.policy = platform_settings.gateway(effects, now, parameters.seed, settings, classes)
        self.policy.rate_limiter.max_accounts = parameters.limits.accounts
        self._attach()

    def _attach(self) -> None:
        """Set in each state machine the machines that it calls."""
        self.lifecycle.attach(self.clients, self.commands, self.requests, self.endpoints)
        self.clients.attach(self.replies, self.requests, self.lifecycle)
        self.replies.attach(self.clients, self.requests)
        self.commands.attach(self.clients, self.replies, self.requests, self.hosts, self.lifecycle)
        self.requests.attach(self.clients, self.replies, self.lifecycle, self.delivery_bounds, self.policy)
        self.host_pool.attach(self.endpoints, self.lifecycle)
        self.hosts.attach(
            self.requests, self.delivery_bounds, self.response_timeouts, self.policy_timers, self.policy
        )
        self.delivery_bounds.attach(self.hosts, self.policy)
        self.response_timeouts.attach(self.hosts)
        self.counter.attach(self.policy_timers, self.policy)
        self.endpoints.attach(self.hosts, self.delivery_bounds, self.lifecycle, self.discovery, self.policy)
        self.discovery.attach(self.lifecycle)

    def handle(
        self, now: float, input_kind: Input, *arguments: Any, earliest_arrival: float | None = None
    ) -> list[Effect]:
        """Handle one input and the calls that follow up on it, and return the effects in order.

        `earliest_arrival` is the earliest time, in Unix ms, at which the data of this input may have arrived;
        None stands for `now`.
        """
        context = self.context
        context.now = now
        context.earliest_arrival = now if earliest_arrival is None else min(earliest_arrival, now)
        self.policy.advance_clock(now)
        HANDLERS[input_kind](self, *arguments)
        follow_ups = context.follow_ups
        while follow_ups:
            function, *rest = follow_ups.popleft()
            function(*rest)
        effects, context.effects = context.effects, []
        return effects

    def take_effects(self) -> list[Effect]:
        """Return and clear the effects emitted so far, also by an input whose handling then failed."""
        context = self.context
        effects, context.effects = context.effects, []
        return effects

    @property
    def state(self) -> LifecycleState:
        """The state of the process."""
        return self.lifecycle.state

    @property
    def watch(self) -> Watch:
        """The current watch on discovery."""
        return self.discovery.current

    # Inputs for more than one state machine.

    def start(self) -> None:
        """Start all state machines; the initial endpoint list is used until discovery answers."""
        if self.initial_endpoints is not None:
            self.endpoints.update(self.initial_endpoints)
            self.discovery.set_initial_version(self.initial_endpoints.version)
        self.discovery.reconnect()
        if self.policy.rate_limiter.has_counter:
            self.counter.connect_all()
        self.lifecycle.begin()
        self._schedule_maintenance()

    def maintain(self) -> None:
        """Run the periodic maintenance of each state machine."""
        self.counter.maintain()
        self.discovery.maintain()
        self.hosts.maintain()
        self.clients.maintain()
        self._schedule_maintenance()

    def _schedule_maintenance(self) -> None:
        self.context.schedule(self.context.now + self.context.limits.sweep_ms, Input.MAINTENANCE)

    def addresses_changed(self, counter: bool, discovery: bool) -> None:
        """Reconnect to the servers whose address in the platform file changed; keep other connections."""
        if counter:
            self.counter.address_changed()
        if discovery:
            self.discovery.reopen()

    def policy_timer_fired(self, subject: CounterCall | Attempt) -> None:
        """Pass a timer that has fired to the policy."""
        self.policy_timers.fired(subject)
        self.policy.timer_fired(subject)


HANDLERS: dict[Input, Callable[..., None]] = {
    Input.START: GatewayStateMachine.start,
    Input.LIFECYCLE: lambda gateway, event: gateway.lifecycle.signal(event),
    Input.MAINTENANCE: GatewayStateMachine.maintain,
    Input.ADDRESSES_CHANGED: GatewayStateMachine.addresses_changed,
    Input.POLICY_TIMER_FIRED: GatewayStateMachine.policy_timer_fired,
    Input.CLIENT_RESET_IN_BACKLOG: lambda gateway: gateway.clients.reset_in_backlog(),
    Input.CLIENT_CONNECTED: lambda gateway, link: gateway.clients.connected(link),
    Input.CLIENT_DISCONNECTED: lambda gateway, client: gateway.clients.disconnected(client),
    Input.CLIENT_SILENT: lambda gateway, client: gateway.clients.close_silent(client),
    Input.CLIENT_IDLE: lambda gateway, client: gateway.clients.close_idle(client),
    Input.CLIENT_SHUTDOWN: lambda gateway, client: gateway.clients.close_for_shutdown(client),
    Input.CLIENT_LIMIT_CHECK: lambda gateway: gateway.clients.check_limit(),
    Input.CLIENT_WRITE_CLOSED: lambda gateway, client: gateway.clients.write_closed(client),
    Input.CLIENT_WRITE_PAUSED: lambda gateway, client: gateway.replies.write_paused(client),
    Input.CLIENT_WRITE_RESUMED: lambda gateway, client: gateway.replies.write_resumed(client),
    Input.CLIENT_MALFORMED: lambda gateway, client, reason: gateway.clients.malformed(client, reason),
    Input.COMMAND_RECEIVED: lambda gateway, client, name: gateway.commands.received(client, name),
    Input.COMMAND_SHED: lambda gateway, client: gateway.commands.shed(client),
    Input.REQUEST_RECEIVED: lambda gateway, client, parsed: gateway.requests.received(client, parsed),
    Input.REQUEST_WATCHDOG: lambda gateway, request: gateway.requests.watchdog_fired(request),
    Input.HOST_CONNECTED: lambda gateway, connection, link: gateway.hosts.connected(connection, link),
    Input.HOST_DISCONNECTED: lambda gateway, connection: gateway.hosts.disconnected(connection),
    Input.HOST_REQUEST_WRITTEN: lambda gateway, connection: gateway.hosts.written(connection),
    Input.HOST_RESPONSE_STARTED: lambda gateway, connection: gateway.hosts.response_started(connection),
    Input.HOST_RESPONSE_STALLED: lambda gateway, *arguments: gateway.response_timeouts.timer_fired(
        *arguments
    ),
    Input.HOST_RESPONSE: lambda gateway, *arguments: gateway.hosts.response(*arguments),
    Input.HOST_MALFORMED: lambda gateway, connection, reason: gateway.hosts.malformed(connection, reason),
    Input.HOST_STALE: lambda gateway, connection: gateway.hosts.stale(connection),
    Input.ATTEMPT_DEADLINE: lambda gateway, *arguments: gateway.hosts.deadline_passed(*arguments),
    Input.DRAIN_GRACE_OVER: lambda gateway, endpoint: gateway.delivery_bounds.drain_grace_over(endpoint),
    Input.COUNTER_CONNECTED: lambda gateway, connection, link: gateway.counter.connected(connection, link),
    Input.COUNTER_DISCONNECTED: lambda gateway, connection: gateway.counter.disconnected(connection),
    Input.COUNTER_REPLY_STARTED: lambda gateway, connection: gateway.counter.reply_started(connection),
    Input.COUNTER_REPLY_STALLED: lambda gateway, *arguments: gateway.counter.reply_stalled(*arguments),
    Input.COUNTER_REPLY: lambda gateway, *arguments: gateway.counter.reply(*arguments),
    Input.COUNTER_MALFORMED: lambda gateway, connection, reason: gateway.counter.malformed(
        connection, reason
    ),
    Input.COUNTER_RECONNECT: lambda gateway, number: gateway.counter.reconnect(number),
    Input.COUNTER_CALLS: lambda gateway, calls: gateway.counter.call_all(calls),
    Input.WATCH_CONNECTED: lambda gateway, watch, link: gateway.discovery.connected(watch, link),
    Input.WATCH_DISCONNECTED: lambda gateway, watch: gateway.discovery.disconnected(watch),
    Input.WATCH_LIST_STARTED: lambda gateway, watch: gateway.discovery.list_started(watch),
    Input.WATCH_MALFORMED: lambda gateway, watch, reason: gateway.discovery.malformed(watch, reason),
    Input.WATCH_RECONNECT: lambda gateway: gateway.discovery.reconnect(),
    Input.ENDPOINTS_RECEIVED: lambda gateway, watch, listing: gateway.endpoints.received(watch, listing),
    Input.NEWER_ENDPOINTS_ELSEWHERE: lambda gateway, version: gateway.discovery.newer_elsewhere(version),
}
