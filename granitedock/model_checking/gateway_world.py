"""A small world of gateways: the program's own state machines, between parties that may do anything.

Each gateway is a real `GatewayStateMachine` with its policy. What is modelled is the outside: connections
that come up or not, hosts that answer in any way they can, a counter, clients, an endpoint list that says
that a host drains, gateways that are killed or stopped, and a clock that goes from one due timer to the next.
What is due may come in any order; what is out of the ordinary costs one of the shape's faults. Time does not
pass while something is due, unless it was delayed. The rules are checked from the outside (`rule_checks`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from granitedock.model_checking import gateway_moves as words
from granitedock.model_checking.explore import Digest, Move
from granitedock.model_checking.gateway_events import EVENTS, FAULTS, HOST_VALUE
from granitedock.model_checking.gateway_moves import EventKey
from granitedock.model_checking.gateway_world_shape import (
    CEILING_MARK,
    CEILING_PLAN,
    FREE_PLAN,
    HORIZON_MS,
    PLAIN_PLAN,
    START,
    GatewayWorldShape,
)
from granitedock.model_checking.modelled_connections import ModelledHostConnection
from granitedock.model_checking.modelled_gateway import WORLD_KIND, ModelledGateway
from granitedock.model_checking.modelled_request import ModelledAnswer, ModelledAttempt, ModelledRequest
from granitedock.model_checking.pending_events import PendingEvents, SentCall
from granitedock.model_checking.rule_checks import RuleChecks, unanswered
from granitedock.model_checking.shared_objects import pickle_by_name, register_factory
from granitedock.model_checking.state_digest import state_digest
from granitedock.policy.types import (
    EndpointStatus,
    GatewayIdentity,
    PermittedFeatures,
    Plan,
    RequestClass,
    SlowStart,
)
from granitedock.service.discovery_protocol import EndpointEntry
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits

if TYPE_CHECKING:
    from granitedock.policy.types import Attempt
    from granitedock.service.client_connections import ClientConnection
    from granitedock.service.counter_connection import CounterConnection

WARM_UP_REST_MS = 10.0  # kept connections rest for a moment


class GatewayWorld:
    """The world (`explore.World`). Its moves are those of `gateway_moves`; times are Unix ms."""

    def __init__(self, shape: GatewayWorldShape) -> None:
        self.shape = shape
        self.now = START
        self.faults_left = shape.faults
        self.checks = RuleChecks()
        self.draining: dict[int, dict[int, float]] = {}  # by gateway and host, since when it was notified
        self.requests: dict[str, ModelledRequest] = {}
        self.pending = PendingEvents()
        self.totals: dict[int, float] = {}  # at the counter
        self.gateways = [ModelledGateway(self, number) for number in range(shape.gateways)]
        self._connect_to_counter()
        self._warm_up()
        for number, request in enumerate(shape.requests):
            plan = CEILING_PLAN if request.endswith(CEILING_MARK) else PLAIN_PLAN
            request_class = request.rstrip(CEILING_MARK)
            self.add_request(f"t{number}", request_class, number % shape.gateways, plan)

    def _connect_to_counter(self) -> None:
        for event in list(self.pending.due):
            if event[0] == words.COUNTER_CONNECT:
                self.play((words.DUE, *event, words.CONNECTED))

    def _warm_up(self) -> None:
        """Serve the shape's requests from before, each event in its usual way."""
        shape = self.shape
        for number in range(shape.warm_up_requests * shape.gateways):
            self.add_request(f"w{number}", "read", number % shape.gateways, FREE_PLAN)
        while self.pending.due:
            event = min(self.pending.due)
            self.play((words.DUE, *event, words.usual_outcome(event)))
        if shape.warm_up_requests:
            self.requests.clear()
            self.now += WARM_UP_REST_MS

    def endpoint_entries(self, draining: int = -1) -> list[EndpointEntry]:
        """The endpoint list, with the number of the host that drains, if one does."""
        return [
            EndpointEntry(
                f"h{host}",
                f"h{host}:1",
                1.0,
                "",
                "",
                0,
                0.0,
                EndpointStatus.DRAINING if host == draining else EndpointStatus.READY,
            )
            for host in range(self.shape.hosts)
        ]

    def add_request(self, name: str, request_class: str, gateway: int, plan: str) -> None:
        """A client is to come to a gateway with a request."""
        self.requests[name] = ModelledRequest(request_class, gateway, plan)
        self.pending.add((words.REQUEST, gateway, name))

    @staticmethod
    def attempt_key(attempt: Attempt) -> tuple[str, int]:
        """The name of the request and the number of its newest attempt, this one."""
        request = attempt.request
        return request.parsed.id.decode(), len(request.attempts)  # type: ignore[attr-defined]  # the service's

    # What may happen.

    def moves(self) -> list[Move]:
        """All that may happen next; none at an end."""
        if self.checks.violations:
            return []
        due = self.pending.ready_due()
        delayed = self.pending.ready_delayed()
        found: list[Move] = []
        for event in due:
            found += self._event_moves(event)
        found += [(words.DUE, *event, words.usual_outcome(event)) for event in delayed]
        if self.faults_left:
            found += self._fault_moves()
        if not due and self._time_can_pass(bool(delayed)):
            found.append((words.PASS_TIME,))
        return found

    def _event_moves(self, event: EventKey) -> list[Move]:
        """What may come of an event that is due."""
        if not self.faults_left:
            return [(words.DUE, *event, words.usual_outcome(event))]
        found: list[Move] = [(words.DUE, *event, outcome) for outcome in words.outcomes_of(event)]
        return [*found, (words.DELAY, *event)]

    def _fault_moves(self) -> list[Move]:
        """Faults of processes and hosts, while there is somebody whom they may hurt."""
        found: list[Move] = []
        owing = [gateway for gateway in self.gateways if self._owes_answers(gateway)]
        for gateway in owing:
            found += [(words.KILL, gateway.number), (words.STOP, gateway.number)]
        if not self.draining and owing:
            found += [(words.DRAIN, host) for host in range(self.shape.hosts)]
        return found

    def _time_can_pass(self, delayed: bool) -> bool:
        """Whether something may come of waiting; `delayed`: an event may come late."""
        waits = delayed or any(map(self._owes_answers, self.gateways))
        running = any(gateway.running for gateway in self.gateways)
        return waits and running and self.now < START + HORIZON_MS

    def _owes_answers(self, gateway: ModelledGateway) -> bool:
        """Whether a client waits for this gateway, or is to come."""
        return gateway.running and any(
            request.gateway == gateway.number and request.awaits_answer()
            for request in self.requests.values()
        )

    def play(self, move: Move) -> None:
        """Make one of the moves happen."""
        name, *arguments = move
        if name == words.DUE:
            *key, outcome = arguments
            self._happen(tuple(key), str(outcome))
        elif name == words.DELAY:
            self.faults_left -= 1
            self.pending.delay(tuple(arguments))
        elif name == words.PASS_TIME:
            self._pass_time()
        else:
            self.faults_left -= 1
            FAULTS[str(name)](self, int(arguments[0]))

    def _happen(self, event: EventKey, outcome: str) -> None:
        subject = self.pending.take(event)
        self.faults_left -= outcome != words.usual_outcome(event)
        kind, *rest = event
        EVENTS[str(kind)](self, outcome, subject, *rest)

    def _pass_time(self) -> None:
        """Go to the next timer of any gateway, and fire all that is due then there."""
        running = (gateway for gateway in self.gateways if gateway.running)
        gateway = min(running, key=ModelledGateway.next_timer_at)
        self.now = max(self.now, gateway.next_timer_at())
        gateway.run_due_timers()

    # What gateways do to the outside.

    def attempt_sent(self, gateway: ModelledGateway, connection: ModelledHostConnection) -> None:
        """An attempt's request leaves, and arrives whole."""
        record = connection.record
        connection.attempt = self.attempt_key(record.attempt)
        name, number = connection.attempt
        request = self.requests[name]
        host = int(record.endpoint.name[1:])
        draining_since = self.draining.get(gateway.number, {}).get(host)
        self.checks.before_attempt(self.now, name, request, host, draining_since)
        request.attempts[number] = ModelledAttempt(host, self.now)
        self.pending.add((words.RESPONSE, gateway.number, name, number), connection)
        gateway.queue_input(Input.HOST_REQUEST_WRITTEN, record)
        self.checks.after_attempt(self.requests.values())

    def attempt_ended(self, gateway: int, name: str, number: int, ending: str) -> None:
        """An attempt is no longer in flight: it was answered, or its connection ended."""
        self.requests[name].attempts[number].end(self.now, ending)
        self.pending.discard_response(gateway, name, number)

    def counter_calls_sent(self, gateway: ModelledGateway, connection: CounterConnection) -> None:
        """Calls of a connection that were written just now get their replies in time."""
        known = [sent.call for sent in self.pending.sent_calls()]
        for call in connection.waiting:
            if call not in known:
                gateway.counter_calls += 1
                event = (words.COUNTER_REPLY, gateway.number, gateway.counter_calls)
                self.pending.add(event, SentCall(connection, call))  # type: ignore[arg-type]  # no PING

    def client_received(self, connection: ClientConnection, data: bytes) -> None:
        """A client reads what should be the one answer to its request."""
        name, request = next(
            (name, request) for name, request in self.requests.items() if request.connection is connection
        )
        kind = answer_kind(data)
        count = data.count(HOST_VALUE) if kind == words.DONE else data.count(b"\r\n")
        request.answers += [ModelledAnswer(self.now, kind)] * count
        self.checks.after_answer(self.now, name, request, kind)

    # What a search asks.

    def violations(self) -> list[str]:
        """What does not hold; at an end, each request that came to a gateway that lives has its answer."""
        found = list(self.checks.violations)
        if not found and not self.moves():
            found += unanswered(self.requests)
        return found

    def digest(self) -> Digest:
        """Equal for states that go on in the same ways."""
        state = [self.now, self.faults_left, self.draining, sorted(self.requests), self.totals]
        requests = [self.requests[name] for name in sorted(self.requests)]
        gateways = [
            (gateway.running, gateway.state_machine if gateway.running else None, gateway.live_timers())
            for gateway in self.gateways
        ]
        return state_digest(state, requests, gateways, sorted(self.pending.delayed), self.pending.in_order())


def answer_kind(data: bytes) -> str:
    """What a client reads from its answer's bytes."""
    if data.startswith(b"-BUSY"):
        return words.REJECTED
    return words.FAILED if data.startswith(b"-") else words.DONE


pickle_by_name(Limits, RequestClass, Plan, PermittedFeatures, SlowStart, GatewayIdentity)
register_factory(WORLD_KIND, GatewayWorld)
