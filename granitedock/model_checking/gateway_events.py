"""The environment's actions on a world of gateways: events by their kinds, and faults by their moves."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from granitedock.model_checking import gateway_moves as move_names
from granitedock.model_checking.gateway_world_shape import CUSTOMERS, DEADLINE_MS
from granitedock.model_checking.modelled_connections import (
    ModelledClientConnection,
    ModelledCounterConnection,
    ModelledHostConnection,
)
from granitedock.model_checking.modelled_request import ModelledRequest
from granitedock.policy.types import Idempotency, Outcome
from granitedock.service.discovery_protocol import EndpointListUpdate
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import LifecycleEvent
from granitedock.service.parsed_request import parse_request
from granitedock.service.resp import encode_command

if TYPE_CHECKING:
    from granitedock.model_checking.gateway_world import GatewayWorld
    from granitedock.model_checking.pending_events import SentCall
    from granitedock.service.counter_connection import CounterConnection
    from granitedock.service.host_connection import HostConnection

HOST_VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"  # A host's response, forwarded unchanged to the client.
HOST_OUTCOMES = {
    move_names.VALUE: Outcome.DONE,
    move_names.ERROR: Outcome.ERROR,
    move_names.OVERLOADED: Outcome.OVERLOADED,
}

# Events. The arguments are the world, the outcome, the event's subject, and the rest of its key.


def request_arrives(world: GatewayWorld, _outcome: str, _subject: None, number: int, name: str) -> None:
    """Connect a client and send its request; the request is orphaned if the gateway does not run."""
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
    """Return the words of the command that a client sends."""
    options = f"c={request.request_class},t={request.plan},d={DEADLINE_MS},units=1,spread={gateways},first=0"
    if request.idempotency is Idempotency.KEYED:
        options += ",k=1"
    return [
        b"API.READ" if request.idempotency is Idempotency.IDEMPOTENT else b"API.WRITE",
        b"%016x" % CUSTOMERS[request.plan],
        name.encode(),
        options.encode(),
    ]


def host_connects(  # noqa: PLR0913 - A parameter for each part of the event's key.
    world: GatewayWorld, outcome: str, connection: HostConnection, number: int, _name: str, _attempt: int
) -> None:
    """Establish or refuse a connection to a host, or close it before the request is written in full."""
    gateway = world.gateways[number]
    if outcome == move_names.REFUSED:
        gateway.handle(Input.HOST_DISCONNECTED, connection)
        return
    modelled = ModelledHostConnection(gateway, connection, closes_early=outcome == move_names.CLOSED_EARLY)
    gateway.handle(Input.HOST_CONNECTED, connection, modelled)
    if modelled.closes_early and modelled.open:
        modelled.open = False
        gateway.handle(Input.HOST_DISCONNECTED, connection)


def host_responds(  # noqa: PLR0913 - A parameter for each part of the event's key.
    world: GatewayWorld,
    outcome: str,
    connection: ModelledHostConnection,
    number: int,
    name: str,
    attempt: int,
) -> None:
    """Answer an attempt on behalf of its host, or reset its connection."""
    gateway = world.gateways[number]
    if outcome == move_names.RESET:
        connection.reset()
        gateway.handle(Input.HOST_DISCONNECTED, connection.record)
        return
    world.attempt_ended(number, name, attempt, outcome)
    connection.attempt = None
    gateway.handle(Input.HOST_RESPONSE, connection.record, True, HOST_OUTCOMES[outcome], HOST_VALUE, 0.0, 0)


def counter_connects(
    world: GatewayWorld, outcome: str, connection: CounterConnection, number: int, _connection: int
) -> None:
    """Establish or refuse a connection to the counter."""
    gateway = world.gateways[number]
    if outcome == move_names.REFUSED:
        gateway.handle(Input.COUNTER_DISCONNECTED, connection)
    else:
        modelled = ModelledCounterConnection(gateway, connection)
        gateway.handle(Input.COUNTER_CONNECTED, connection, modelled)


def counter_replies(world: GatewayWorld, outcome: str, sent: SentCall, number: int, _call: int) -> None:
    """Add a call's units at the counter and reply, reject the call, or add and close the connection."""
    gateway = world.gateways[number]
    connection = sent.connection
    call = sent.call
    if outcome == move_names.OVERLOADED:
        gateway.handle(Input.COUNTER_REPLY, connection, Outcome.OVERLOADED, 0.0)
        return
    world.totals[call.name] = world.totals.get(call.name, 0.0) + call.amount
    if outcome == move_names.TOTAL:
        gateway.handle(Input.COUNTER_REPLY, connection, Outcome.DONE, world.totals[call.name])
        return
    connection.link.open = False  # type: ignore[union-attr]  # A modelled connection, as it sent calls.
    world.pending.discard_calls(connection)
    gateway.handle(Input.COUNTER_DISCONNECTED, connection)


def endpoints_change(world: GatewayWorld, _outcome: str, _subject: None, number: int, host: int) -> None:
    """Send a running gateway the endpoint list in which a host drains."""
    gateway = world.gateways[number]
    if gateway.running:
        world.draining[number][host] = world.now
        if world.replacement.replaced is not None:
            world.replacement.told_gateways.add(number)
        endpoints = EndpointListUpdate(2, True, world.endpoint_entries(host))
        gateway.handle(Input.ENDPOINTS_RECEIVED, gateway.state_machine.watch, endpoints)


def replacement_is_told(world: GatewayWorld, _outcome: str, _subject: None, number: int, form: str) -> None:
    """Tell a running gateway of the process at the replaced host's address."""
    gateway = world.gateways[number]
    if gateway.running:
        world.replacement.told_gateways.add(number)
        news = world.replacement.news(form, world.host_entries())
        gateway.handle(Input.ENDPOINTS_RECEIVED, gateway.state_machine.watch, news)


# Faults.


def kill(world: GatewayWorld, number: int) -> None:
    """Kill a gateway: its connections close, and its open requests need no answer any more.

    Clients of requests that may be repeated send them to another gateway as new requests.
    """
    world.gateways[number].kill()
    for name, request in list(world.requests.items()):
        if request.gateway != number or request.answers:
            continue
        request.orphaned = True
        for attempt in request.attempts.values():
            attempt.end(world.now, move_names.RESET)
        if request.idempotency is not Idempotency.NON_IDEMPOTENT and world.shape.gateways > 1:
            another = (number + 1) % world.shape.gateways
            world.add_request(f"{name}r", request.request_class, another, request.plan)
    world.pending.discard_gateway(number)


def stop(world: GatewayWorld, number: int) -> None:
    """Send a gateway SIGTERM: it answers its open requests, and still accepts new ones for a while."""
    world.gateways[number].handle(Input.LIFECYCLE, LifecycleEvent.TERMINATE)


def drain(world: GatewayWorld, host: int) -> None:
    """List a host as draining in discovery; each gateway is notified by an event of its own."""
    world.draining = {gateway.number: {} for gateway in world.gateways}
    for gateway in world.gateways:
        if gateway.running:
            world.pending.add((move_names.ENDPOINT_UPDATE, gateway.number, host))


def replace_host(world: GatewayWorld, host: int) -> None:
    """End a host, whose connections are reset, and start a process of another cell at its address."""
    world.replacement.replace(host, world.now)
    for gateway in world.gateways:
        if not gateway.running:
            continue
        for connection in gateway.connections_to(f"h{host}"):
            connection.reset()
            gateway.handle(Input.HOST_DISCONNECTED, connection.record)
        for form in move_names.NEWS:
            world.pending.add((move_names.REPLACEMENT_UPDATE, gateway.number, form))


EVENTS: dict[str, Callable[..., None]] = {
    move_names.REQUEST: request_arrives,
    move_names.HOST_CONNECT: host_connects,
    move_names.RESPONSE: host_responds,
    move_names.COUNTER_CONNECT: counter_connects,
    move_names.COUNTER_REPLY: counter_replies,
    move_names.ENDPOINT_UPDATE: endpoints_change,
    move_names.REPLACEMENT_UPDATE: replacement_is_told,
}
FAULTS: dict[str, Callable[[GatewayWorld, int], None]] = {
    move_names.KILL: kill,
    move_names.STOP: stop,
    move_names.DRAIN: drain,
    move_names.REPLACE: replace_host,
}
