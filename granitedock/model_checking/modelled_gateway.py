"""A gateway process of a modelled world: the program's state machine, its timers and its I/O."""

from __future__ import annotations

import heapq
from collections import Counter
from typing import TYPE_CHECKING, Any

from granitedock.model_checking import gateway_moves as move_names
from granitedock.model_checking.modelled_connections import ModelledHostConnection, ModelledWatchConnection
from granitedock.model_checking.shared_objects import register
from granitedock.service.discovery_protocol import EndpointListUpdate
from granitedock.service.dispatcher import GatewayParameters, GatewayStateMachine
from granitedock.service.inputs import Input

if TYPE_CHECKING:
    from granitedock.model_checking.gateway_world import GatewayWorld
    from granitedock.service.counter_connection import CounterConnection
    from granitedock.service.discovery_watch import Watch
    from granitedock.service.host_connection import HostConnection
    from granitedock.service.timers import Timer

WORLD_KIND = "gateways"  # The kind of this world in the names of shared objects and in trace files.
FIRST_SEED = 7  # The seed of the first gateway; each gateway has a different one.


class NullEventLog:
    """An event log for the state machine that has its counters and writes no lines."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def event(self, event: str, /, **figures: Any) -> None:
        """Discard the event."""


class ModelledGateway:
    """A gateway process, and the event loop's interface to its state machine (`GatewayIO`)."""

    def __init__(self, world: GatewayWorld, number: int) -> None:
        self.world = world
        self.number = number
        self.running = True
        self.timers: list[tuple[float, int, Timer]] = []  # A heap by due time, then by order of start.
        self.timers_started = 0
        self.counter_calls = 0  # The number of the newest call to the counter.
        self.inputs: list[tuple[Any, ...]] = []  # Queued inputs, each with its arguments.
        shape = world.shape
        endpoints = EndpointListUpdate(1, True, world.endpoint_entries())
        self.state_machine = GatewayStateMachine(
            GatewayParameters(
                now=world.now,
                limits=shape.limits(number),
                settings=shape.settings(number),
                seed=FIRST_SEED + number,
                initial_endpoints=endpoints,
                io=self,
                event_log=NullEventLog(),
            )
        )
        # The service keeps these in mappings of weak references, which do not survive pickling.
        self.state_machine.requests.customers = {}
        self.state_machine.endpoints.last_gone = {}
        self._register_shared_objects()
        self.handle(Input.START)
        watch = self.state_machine.watch
        self.handle(Input.WATCH_CONNECTED, watch, ModelledWatchConnection(self, watch))
        self.handle(Input.ENDPOINTS_RECEIVED, watch, endpoints)

    def _register_shared_objects(self) -> None:
        """Register the objects that never change after the start, so that states are pickled without them."""
        machine = self.state_machine
        policy = machine.policy
        parts: list[tuple[str, Any]] = [
            ("limits", machine.context.limits),
            ("permitted", policy.permitted),
            ("slow start", policy.load_balancer.slow_start.settings),
        ]
        parts += machine.requests.request_classes.items()
        parts += [("plan " + name, plan) for name, plan in machine.requests.plans.items()]
        register(WORLD_KIND, self.world.shape, self.number, parts)

    def handle(self, input_kind: Input, *arguments: Any) -> None:
        """Handle one input, its effects, and the inputs that the effects queue."""
        self.queue_input(input_kind, *arguments)
        while self.inputs:
            next_input, *input_arguments = self.inputs.pop(0)
            for effect, *effect_arguments in self.state_machine.handle(
                self.world.now, next_input, *input_arguments
            ):
                effect(*effect_arguments)

    def queue_input(self, input_kind: Input, *arguments: Any) -> None:
        """Append an input to the queue."""
        self.inputs.append((input_kind, *arguments))

    def kill(self) -> None:
        """Kill the process: its timers and queued inputs are dropped."""
        self.running = False
        self.timers = []
        self.inputs = []

    def connections_to(self, host: str) -> list[ModelledHostConnection]:
        """Return the open connections to a host, in flight or idle."""
        hosts = self.state_machine.hosts
        endpoints = self.state_machine.endpoints.by_name.values()
        connections = [*hosts.by_attempt.values(), *(idle for host in endpoints for idle in host.idle)]
        return [
            connection.link  # type: ignore[misc]  # The connections of this gateway are modelled.
            for connection in connections
            if connection.endpoint.name == host and connection.link is not None
        ]

    # Timers.

    def next_timer_at(self) -> float:
        """Return the due time of the next timer in Unix ms, or infinity if there is none."""
        while self.timers and self.timers[0][2].input is None:
            heapq.heappop(self.timers)
        return self.timers[0][0] if self.timers else float("inf")

    def run_due_timers(self) -> None:
        """Fire all due timers, in order."""
        while self.running and self.next_timer_at() <= self.world.now:
            timer = heapq.heappop(self.timers)[2]
            if timer.input is not None:  # Always true: `next_timer_at` removes cancelled timers.
                self.handle(timer.input, *timer.arguments)

    def live_timers(self) -> list[tuple[float, Input, tuple[Any, ...]]]:
        """Return the timers that will fire, in order, without the order of their starts.

        That order has no effect beyond the order of timers that are due at the same time.
        """
        if not self.running:
            return []
        in_order = sorted(self.timers, key=lambda item: item[:2])
        return [
            (timer.due, timer.input, timer.arguments) for _, _, timer in in_order if timer.input is not None
        ]

    # The interface to the state machine (`GatewayIO`).

    def start_timer(self, timer: Timer) -> None:
        """Schedule a timer."""
        self.timers_started += 1
        heapq.heappush(self.timers, (timer.due, self.timers_started, timer))

    def connect_host(self, connection: HostConnection, address: str) -> None:  # noqa: ARG002 - GatewayIO's signature.
        """Schedule the event in which a connection to a host is established or refused."""
        name, number = self.world.attempt_key(connection.attempt)  # type: ignore[arg-type]  # Never None here.
        self.world.pending.add((move_names.HOST_CONNECT, self.number, name, number), connection)

    def connect_counter(self, connection: CounterConnection) -> None:
        """Schedule the event in which a connection to the counter is established or refused."""
        self.world.pending.add((move_names.COUNTER_CONNECT, self.number, connection.number), connection)

    def timer_count(self) -> int:
        """Return 0: timers are not counted here."""
        return 0

    def connect_watch(self, watch: Watch) -> None:
        """Do nothing: the first watch is established at the start, and the horizon is before any other."""

    def accept_connections(self, on: bool) -> None:
        """Do nothing: there is capacity for every client."""

    def stop_listening(self) -> None:
        """Do nothing: no client connects after a stop."""

    def stop_process(self) -> None:
        """Exit the process."""
        self.running = False
