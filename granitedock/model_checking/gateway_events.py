"""What the outside does to a world of gateways: events by their kinds, and faults by their moves."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from granitedock.model_checking import gateway_moves as words
from granitedock.model_checking.gateway_world_shape import CUSTOMERS, DEADLINE_MS
from granitedock.model_checking.modelled_connections import (
    ModelledClientConnection,
    ModelledCounterConnection,
    ModelledHostConnection,
)
from granitedock.model_checking.modelled_request import ModelledRequest
from granitedock.policy.types import Idempotency, Outcome
from granitedock.service.client_protocol import parse_request
from granitedock.service.discovery_protocol import EndpointListUpdate
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import LifecycleEvent
from granitedock.service.resp import encode_command

if TYPE_CHECKING:
    from granitedock.model_checking.gateway_world import GatewayWorld
    from granitedock.model_checking.pending_events import SentCall
    from granitedock.service.counter_connection import CounterConnection
    from granitedock.service.host_connection import HostConnection

HOST_VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"  # a host's reply, which its client reads as it is
HOST_OUTCOMES = {
    words.VALUE: Outcome.DONE,
    words.ERROR: Outcome.ERROR,
    words.OVERLOADED: Outcome.OVERLOADED,
}

# Events. The arguments: the world, the outcome, what the event is about, and the rest of its key.


def request_arrives(world: GatewayWorld, _outcome: str, _subject: None, number: int, name: str) -> None:
    """A client connects and sends its request; it meets nobody where the gateway has ended."""
    gateway = world.gateways[number]
    request = world.requests[name]
    if not gateway.running:
        request.orphaned = True
        return
    command = request_command(request, name, world.shape.gateways)
    request.sent_at = world.now
    connection = ModelledClientConnection(gateway)
    gateway.handle(Input.CLIENT_CONNECTED, connection)
    request.connection = connection.record
    parts = encode_command(*command).split(b"\r\n")[:-1]
    parsed = parse_request(command, parts, gateway.state_machine.context.limits)
    gateway.handle(Input.REQUEST_RECEIVED, connection.record, parsed)


def request_command(request: ModelledRequest, name: str, gateways: int) -> list[bytes]:
    """The words of the command that a client sends."""
    options = f"c={request.request_class},t={request.plan},d={DEADLINE_MS},units=1,spread={gateways},first=0"
    if request.idempotency is Idempotency.KEYED:
        options += ",k=1"
    return [
        b"API.READ" if request.idempotency is Idempotency.IDEMPOTENT else b"API.WRITE",
        b"%016x" % CUSTOMERS[request.plan],
        name.encode(),
        options.encode(),
    ]


def host_connects(  # noqa: PLR0913 - the event's key
    world: GatewayWorld, outcome: str, connection: HostConnection, number: int, _name: str, _attempt: int
) -> None:
    """A connection to a host comes up, or not, or ends before the request is written whole."""
    gateway = world.gateways[number]
    if outcome == words.REFUSED:
        gateway.handle(Input.HOST_DISCONNECTED, connection)
        return
    modelled = ModelledHostConnection(gateway, connection, closes_early=outcome == words.CLOSED_EARLY)
    gateway.handle(Input.HOST_CONNECTED, connection, modelled)
    if modelled.closes_early and modelled.open:
        modelled.open = False
        gateway.handle(Input.HOST_DISCONNECTED, connection)


def host_responds(  # noqa: PLR0913 - the event's key
    world: GatewayWorld,
    outcome: str,
    connection: ModelledHostConnection,
    number: int,
    name: str,
    attempt: int,
) -> None:
    """A host answers an attempt, or its connection ends."""
    gateway = world.gateways[number]
    if outcome == words.RESET:
        connection.open = False
        connection.end_attempt(outcome)
        gateway.handle(Input.HOST_DISCONNECTED, connection.record)
        return
    world.attempt_ended(number, name, attempt, outcome)
    connection.attempt = None
    gateway.handle(Input.HOST_RESPONSE, connection.record, True, HOST_OUTCOMES[outcome], HOST_VALUE, 0.0, 0)


def counter_connects(
    world: GatewayWorld, outcome: str, connection: CounterConnection, number: int, _connection: int
) -> None:
    """A connection to the counter comes up or not."""
    gateway = world.gateways[number]
    if outcome == words.REFUSED:
        gateway.handle(Input.COUNTER_DISCONNECTED, connection)
    else:
        modelled = ModelledCounterConnection(gateway, connection)
        gateway.handle(Input.COUNTER_CONNECTED, connection, modelled)


def counter_replies(world: GatewayWorld, outcome: str, sent: SentCall, number: int, _call: int) -> None:
    """The counter adds and answers, or rejects a call, or adds and the connection ends."""
    gateway = world.gateways[number]
    connection = sent.connection
    call = sent.call
    if outcome == words.OVERLOADED:
        gateway.handle(Input.COUNTER_REPLY, connection, Outcome.OVERLOADED, 0.0)
        return
    world.totals[call.name] = world.totals.get(call.name, 0.0) + call.amount
    if outcome == words.TOTAL:
        gateway.handle(Input.COUNTER_REPLY, connection, Outcome.DONE, world.totals[call.name])
        return
    connection.link.open = False  # type: ignore[union-attr]  # a modelled one, as calls were sent
    world.pending.discard_calls(connection)
    gateway.handle(Input.COUNTER_DISCONNECTED, connection)


def endpoints_change(world: GatewayWorld, _outcome: str, _subject: None, number: int, host: int) -> None:
    """A gateway hears from discovery that a host drains."""
    gateway = world.gateways[number]
    if gateway.running:
        world.draining[number][host] = world.now
        endpoints = EndpointListUpdate(2, True, world.endpoint_entries(host))
        gateway.handle(Input.ENDPOINTS_RECEIVED, gateway.state_machine.watch, endpoints)


# Faults.


def kill(world: GatewayWorld, number: int) -> None:
    """End a gateway at once: its connections end, and what it held is no longer owed.

    Clients of what may run again come to another gateway with it, as a new request.
    """
    world.gateways[number].kill()
    for name, request in list(world.requests.items()):
        if request.gateway != number or request.answers:
            continue
        request.orphaned = True
        for attempt in request.attempts.values():
            attempt.end(world.now, words.RESET)
        if request.idempotency is not Idempotency.NON_IDEMPOTENT and world.shape.gateways > 1:
            another = (number + 1) % world.shape.gateways
            world.add_request(f"{name}r", request.request_class, another, request.plan)
    world.pending.discard_gateway(number)


def stop(world: GatewayWorld, number: int) -> None:
    """SIGTERM: a gateway answers what it has, and takes what still comes for a while."""
    world.gateways[number].handle(Input.LIFECYCLE, LifecycleEvent.TERMINATE)


def drain(world: GatewayWorld, host: int) -> None:
    """Discovery lists a host as draining; each gateway hears of it in its own time."""
    world.draining = {gateway.number: {} for gateway in world.gateways}
    for gateway in world.gateways:
        if gateway.running:
            world.pending.add((words.ENDPOINT_UPDATE, gateway.number, host))


EVENTS: dict[str, Callable[..., None]] = {
    words.REQUEST: request_arrives,
    words.HOST_CONNECT: host_connects,
    words.RESPONSE: host_responds,
    words.COUNTER_CONNECT: counter_connects,
    words.COUNTER_REPLY: counter_replies,
    words.ENDPOINT_UPDATE: endpoints_change,
}
FAULTS: dict[str, Callable[[GatewayWorld, int], None]] = {
    words.KILL: kill,
    words.STOP: stop,
    words.DRAIN: drain,
}
