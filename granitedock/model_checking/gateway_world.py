"""A small world of gateways: the program's own state machines in an environment that chooses freely.

Each gateway is a real `GatewayStateMachine` with its policy. The model covers its environment: connections
that are established or refused, hosts that respond in any possible way, a counter, clients, an endpoint list
that marks a host as draining, a host that is replaced, gateways that are killed or stopped, and a clock that
advances from one due timer to the next. Due events may happen in any order; an outcome other than the usual
one costs one of the shape's faults. Time does not pass while an event is due, unless that event was delayed.
The rules are checked from outside the gateways (`rule_checks`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from granitedock.model_checking import gateway_moves as move_names
from granitedock.model_checking.explore import Digest, Move
from granitedock.model_checking.gateway_events import EVENTS, FAULTS, HOST_VALUE
from granitedock.model_checking.gateway_moves import EventKey
from granitedock.model_checking.gateway_world_shape import (
    CEILING_MARK,
    CEILING_PLAN,
    FREE_PLAN,
    HORIZON_MS,
    PLAIN_PLAN,
    START_MS,
    GatewayWorldShape,
)
from granitedock.model_checking.host_replacement import HostReplacement
from granitedock.model_checking.modelled_connections import ModelledHostConnection
from granitedock.model_checking.modelled_gateway import WORLD_KIND, ModelledGateway
from granitedock.model_checking.modelled_request import ModelledAnswer, ModelledAttempt, ModelledRequest
from granitedock.model_checking.pending_events import PendingEvents, SentCall
from granitedock.model_checking.rule_checks import RuleChecks, unanswered_requests
from granitedock.model_checking.shared_objects import pickle_by_name, register_factory
from granitedock.model_checking.state_digest import state_digest
from granitedock.policy.types import (
    EndpointEntry,
    EndpointStatus,
    GatewayIdentity,
    PermittedFeatures,
    Plan,
    RequestClass,
    SlowStart,
)
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits

if TYPE_CHECKING:
    from granitedock.policy.types import Attempt
    from granitedock.service.client_connections import ClientConnection
    from granitedock.service.counter_connection import CounterConnection

WARM_UP_IDLE_MS = 10.0  # Kept connections are idle for this time between the warm-up and the first move.


class GatewayWorld:
    """The world of gateways (`explore.World`), with the moves of `gateway_moves`; times are Unix ms."""

    def __init__(self, shape: GatewayWorldShape) -> None:
        self.shape = shape
        self.now = START_MS
        self.faults_left = shape.faults
        self.checks = RuleChecks()
        # By gateway and host, the time at which the gateway was notified that the host drains.
        self.draining: dict[int, dict[int, float]] = {}
        self.replacement = HostReplacement(shape.hosts)
        self.requests: dict[str, ModelledRequest] = {}
        self.pending = PendingEvents()
        self.totals: dict[int, float] = {}  # The counter's totals, by the name of a call.
        self.gateways = [ModelledGateway(self, number) for number in range(shape.gateways)]
        self._connect_to_counter()
        self._warm_up()
        for number, request in enumerate(shape.requests):
            plan = CEILING_PLAN if request.endswith(CEILING_MARK) else PLAIN_PLAN
            request_class = request.rstrip(CEILING_MARK)
            self.add_request(f"t{number}", request_class, number % shape.gateways, plan)

    def _connect_to_counter(self) -> None:
        for event in list(self.pending.due):
            if event[0] == move_names.COUNTER_CONNECT:
                self.play((move_names.DUE, *event, move_names.CONNECTED))

    def _warm_up(self) -> None:
        """Serve the shape's warm-up requests, each event with its usual outcome."""
        shape = self.shape
        for number in range(shape.warm_up_requests * shape.gateways):
            self.add_request(f"w{number}", "read", number % shape.gateways, FREE_PLAN)
        while self.pending.due:
            event = min(self.pending.due)
            self.play((move_names.DUE, *event, move_names.usual_outcome(event)))
        if shape.warm_up_requests:
            self.requests.clear()
            self.now += WARM_UP_IDLE_MS

    def endpoint_entries(self, draining_host: int = -1) -> list[EndpointEntry]:
        """Return the endpoint list; the host with the number `draining_host` is draining, -1 for none."""
        entries = self.host_entries(draining_host)
        return self.replacement.entries(entries) if self.shape.replacement else entries

    def host_entries(self, draining_host: int = -1) -> list[EndpointEntry]:
        """Return the entries of the shape's hosts, without a process that has replaced one."""
        return [
            EndpointEntry(
                f"h{host}",
                f"h{host}:1",
                1.0,
                "",
                "",
                0,
                0.0,
                EndpointStatus.DRAINING if host == draining_host else EndpointStatus.READY,
            )
            for host in range(self.shape.hosts)
        ]

    def add_request(self, name: str, request_class: str, gateway: int, plan: str) -> None:
        """Schedule a client's request to a gateway."""
        self.requests[name] = ModelledRequest(request_class, gateway, plan)
        self.pending.add((move_names.REQUEST, gateway, name))

    @staticmethod
    def attempt_key(attempt: Attempt) -> tuple[str, int]:
        """Return the name of the request and the number of `attempt`, which is the request's newest."""
        request = attempt.request
        return request.parsed.id.decode(), len(request.attempts)  # type: ignore[attr-defined]  # A service's request.

    # Possible moves.

    def moves(self) -> list[Move]:
        """Return all moves that are possible next; an end state has none."""
        if self.checks.violations:
            return []
        due = self.pending.ready_due()
        delayed = self.pending.ready_delayed()
        moves: list[Move] = []
        for event in due:
            moves += self._event_moves(event)
        moves += [(move_names.DUE, *event, move_names.usual_outcome(event)) for event in delayed]
        if self.faults_left:
            moves += self._fault_moves()
        if not due and self._time_can_pass(bool(delayed)):
            moves.append((move_names.PASS_TIME,))
        return moves

    def _event_moves(self, event: EventKey) -> list[Move]:
        """Return the moves for a due event: its possible outcomes, and its delay."""
        if not self.faults_left:
            return [(move_names.DUE, *event, move_names.usual_outcome(event))]
        moves: list[Move] = [(move_names.DUE, *event, outcome) for outcome in move_names.outcomes_of(event)]
        return [*moves, (move_names.DELAY, *event)]

    def _fault_moves(self) -> list[Move]:
        """Return the faults of gateways and hosts that can affect an open request."""
        moves: list[Move] = []
        gateways_with_open_requests = [
            gateway for gateway in self.gateways if self._has_open_requests(gateway)
        ]
        for gateway in gateways_with_open_requests:
            moves += [(move_names.KILL, gateway.number), (move_names.STOP, gateway.number)]
        if not self.draining and gateways_with_open_requests:
            moves += [(move_names.DRAIN, host) for host in range(self.shape.hosts)]
        if self.shape.replacement and self.replacement.replaced is None and gateways_with_open_requests:
            moves += [(move_names.REPLACE, host) for host in range(self.shape.hosts)]
        return moves

    def _time_can_pass(self, delayed: bool) -> bool:
        """Return whether passing time can lead to new states; `delayed`: there are delayed events."""
        has_open_work = delayed or any(map(self._has_open_requests, self.gateways))
        running = any(gateway.running for gateway in self.gateways)
        return has_open_work and running and self.now < START_MS + HORIZON_MS

    def _has_open_requests(self, gateway: ModelledGateway) -> bool:
        """Return whether the gateway runs and a request to it is unanswered or still to be sent."""
        return gateway.running and any(
            request.gateway == gateway.number and request.awaits_answer()
            for request in self.requests.values()
        )

    def play(self, move: Move) -> None:
        """Carry out one of the possible moves."""
        name, *arguments = move
        if name == move_names.DUE:
            *key, outcome = arguments
            self._apply_event(tuple(key), str(outcome))
        elif name == move_names.DELAY:
            self.faults_left -= 1
            self.pending.delay(tuple(arguments))
        elif name == move_names.PASS_TIME:
            self._pass_time()
        else:
            self.faults_left -= 1
            FAULTS[str(name)](self, int(arguments[0]))

    def _apply_event(self, event: EventKey, outcome: str) -> None:
        subject = self.pending.pop(event)
        self.faults_left -= outcome != move_names.usual_outcome(event)
        kind, *rest = event
        EVENTS[str(kind)](self, outcome, subject, *rest)

    def _pass_time(self) -> None:
        """Advance the clock to the next timer of any gateway, and fire all of that gateway's due timers."""
        running = (gateway for gateway in self.gateways if gateway.running)
        gateway = min(running, key=ModelledGateway.next_timer_at)
        self.now = max(self.now, gateway.next_timer_at())
        gateway.run_due_timers()

    # Effects of the gateways on their environment.

    def attempt_sent(self, gateway: ModelledGateway, connection: ModelledHostConnection) -> None:
        """Record an attempt whose request reaches its host in full, and schedule the response."""
        record = connection.record
        connection.attempt = self.attempt_key(record.attempt)
        name, number = connection.attempt
        request = self.requests[name]
        host = int(record.endpoint.name[1:])
        draining_since = self.draining.get(gateway.number, {}).get(host)
        self.checks.before_attempt(self.now, name, request, host, draining_since)
        cell = self.replacement.receiving_cell(host)
        if gateway.number in self.replacement.told_gateways:
            self.checks.before_attempt_in_cell(name, request, cell)
            if host == self.replacement.replaced:
                self.checks.before_attempt_at_replaced(name, host)
        request.attempts[number] = ModelledAttempt(host, self.now, cell)
        self.pending.add((move_names.RESPONSE, gateway.number, name, number), connection)
        gateway.queue_input(Input.HOST_REQUEST_WRITTEN, record)
        self.checks.after_attempt(self.requests.values())

    def attempt_ended(self, gateway: int, name: str, number: int, ending: str) -> None:
        """End an attempt that was answered or whose connection was closed."""
        self.requests[name].attempts[number].end(self.now, ending)
        self.pending.discard_response(gateway, name, number)

    def counter_calls_sent(self, gateway: ModelledGateway, connection: CounterConnection) -> None:
        """Schedule the replies to the calls of a connection that have just been written."""
        scheduled_calls = [sent.call for sent in self.pending.sent_calls()]
        for call in connection.waiting:
            if call not in scheduled_calls:
                gateway.counter_calls += 1
                event = (move_names.COUNTER_REPLY, gateway.number, gateway.counter_calls)
                self.pending.add(event, SentCall(connection, call))  # type: ignore[arg-type]  # Not a PING.

    def client_received(self, connection: ClientConnection, data: bytes) -> None:
        """Record the answers that a client reads; a correct gateway sends exactly one per request."""
        name, request = next(
            (name, request) for name, request in self.requests.items() if request.connection is connection
        )
        kind = answer_kind(data)
        count = data.count(HOST_VALUE) if kind == move_names.DONE else data.count(b"\r\n")
        request.answers += [ModelledAnswer(self.now, kind)] * count
        self.checks.after_answer(self.now, name, request, kind)

    # Queries of a search.

    def violations(self) -> list[str]:
        """Return the violated rules.

        In an end state, these include each unanswered request that reached a gateway which was not killed.
        """
        violations = list(self.checks.violations)
        if not violations and not self.moves():
            violations += unanswered_requests(self.requests)
        return violations

    def digest(self) -> Digest:
        """Return the state's digest, which is equal for states with the same possible continuations."""
        state = [self.now, self.faults_left, self.draining, sorted(self.requests), self.totals]
        state += [self.replacement.replaced, sorted(self.replacement.told_gateways)]
        requests = [self.requests[name] for name in sorted(self.requests)]
        gateways = [
            (gateway.running, gateway.state_machine if gateway.running else None, gateway.live_timers())
            for gateway in self.gateways
        ]
        return state_digest(state, requests, gateways, sorted(self.pending.delayed), self.pending.in_order())


def answer_kind(data: bytes) -> str:
    """Return the kind of an answer, DONE, REJECTED or FAILED, from the bytes that the client reads."""
    if data.startswith(b"-BUSY"):
        return move_names.REJECTED
    return move_names.FAILED if data.startswith(b"-") else move_names.DONE


pickle_by_name(Limits, RequestClass, Plan, PermittedFeatures, SlowStart, GatewayIdentity)
register_factory(WORLD_KIND, GatewayWorld)
