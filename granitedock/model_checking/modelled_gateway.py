"""One gateway process of a modelled world: the program's state machine, its timers and its I/O."""

from __future__ import annotations

import heapq
from collections import Counter
from typing import TYPE_CHECKING, Any

from granitedock.model_checking import gateway_moves as move_names
from granitedock.model_checking.modelled_connections import ModelledWatchConnection
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

WORLD_KIND = "gateways"  # of shared objects, and in trace files
FIRST_SEED = 7  # of the first gateway; each has its own


class SilentEventLog:
    """The state machine's event log: its counters, and no lines."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def event(self, event: str, /, **figures: Any) -> None:
        """Drop a line."""


class ModelledGateway:
    """A gateway process, and what its state machine asks of the event loop (`GatewayIO`)."""

    def __init__(self, world: GatewayWorld, number: int) -> None:
        self.world = world
        self.number = number
        self.running = True
        self.timers: list[tuple[float, int, Timer]] = []  # a heap: when due, in which order started
        self.timers_started = 0
        self.counter_calls = 0  # numbers them
        self.inputs: list[tuple[Any, ...]] = []  # an input and its arguments each, to come at once
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
                event_log=SilentEventLog(),
            )
        )
        # Customers are kept by weak references, which no copy of a state keeps.
        self.state_machine.requests.customers = {}
        self._register_shared_objects()
        self.handle(Input.START)
        watch = self.state_machine.watch
        self.handle(Input.WATCH_CONNECTED, watch, ModelledWatchConnection(self, watch))
        self.handle(Input.ENDPOINTS_RECEIVED, watch, endpoints)

    def _register_shared_objects(self) -> None:
        """Name what never changes after the start, so that states are pickled without it."""
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
        """One input, its effects, and the inputs that they bring about at once."""
        self.queue_input(input_kind, *arguments)
        while self.inputs:
            next_input, *its_arguments = self.inputs.pop(0)
            for effect, *effect_arguments in self.state_machine.handle(
                self.world.now, next_input, *its_arguments
            ):
                effect(*effect_arguments)

    def queue_input(self, input_kind: Input, *arguments: Any) -> None:
        """Bring an input after those that wait already."""
        self.inputs.append((input_kind, *arguments))

    def kill(self) -> None:
        """End the process at once."""
        self.running = False
        self.timers = []
        self.inputs = []

    # Timers.

    def next_timer_at(self) -> float:
        """When the next timer is due in Unix ms; infinity if there is none."""
        while self.timers and self.timers[0][2].input is None:
            heapq.heappop(self.timers)
        return self.timers[0][0] if self.timers else float("inf")

    def run_due_timers(self) -> None:
        """Fire all timers that are due now."""
        while self.running and self.next_timer_at() <= self.world.now:
            timer = heapq.heappop(self.timers)[2]
            if timer.input is not None:  # `next_timer_at` has dropped those that were cancelled
                self.handle(timer.input, *timer.arguments)

    def live_timers(self) -> list[tuple[float, Input, tuple[Any, ...]]]:
        """Timers that will fire, in their order; the order in which they were started tells nothing."""
        if not self.running:
            return []
        in_order = sorted(self.timers, key=lambda item: item[:2])
        return [
            (timer.due, timer.input, timer.arguments) for _, _, timer in in_order if timer.input is not None
        ]

    # What the state machine asks for (`GatewayIO`).

    def start_timer(self, timer: Timer) -> None:
        """Keep a timer."""
        self.timers_started += 1
        heapq.heappush(self.timers, (timer.due, self.timers_started, timer))

    def connect_host(self, connection: HostConnection, address: str) -> None:  # noqa: ARG002 - GatewayIO's
        """A connection that comes up or not."""
        name, number = self.world.attempt_key(connection.attempt)  # type: ignore[arg-type]  # it has one
        self.world.pending.add((move_names.HOST_CONNECT, self.number, name, number), connection)

    def connect_counter(self, connection: CounterConnection) -> None:
        """A connection that comes up or not."""
        self.world.pending.add((move_names.COUNTER_CONNECT, self.number, connection.number), connection)

    def connect_watch(self, watch: Watch) -> None:
        """Nothing: the first comes up at the start, and the horizon lies before any other."""

    def accept_connections(self, on: bool) -> None:
        """Nothing: there is capacity for every client."""

    def stop_listening(self) -> None:
        """Nothing: no client comes after a stop."""

    def stop_process(self) -> None:
        """The process ends."""
        self.running = False
