"""Clients that leave before their connection is accepted, or behind other input: nothing is begun for them.

Sockets, the kernel's closes and resets, and the event loop are real, and the test decides when the gateway
accepts and reads (docs/incidents/2026-12-06-clients-gone-before-the-accept.md). `sockets` is what stands in
the place of the accepted descriptors: the connections themselves, or what a library that redirects sockets
left there, whose state says nothing about the client.
"""

import errno
import socket
import sys

import pytest
from loopback import VALUE, Peer
from redirected_sockets import (
    DATAGRAM,
    ESTABLISHED,
    NO_LINGER,
    RESET,
    UNCONNECTED,
    redirect,
    redirect_clients,
)

from granitedock.service.counter_protocol import CounterProtocol
from granitedock.service.resp import encode_command
from granitedock.service.socket_queue import LAST_DATA_RECEIVED, ms_since_last_data

OWN = "own"
HOUR_MS = 3_600_000
PING = encode_command(b"PING")
PONG = b"+PONG\r\n"
BUSY = b"-BUSY\r\n"
LONG_BODY = 60000 * b"b"
PIPELINED_REQUESTS = 400  # Over twice what one read takes.


@pytest.fixture(params=[OWN, UNCONNECTED, DATAGRAM, ESTABLISHED])
def sockets(request):
    return request.param


@pytest.fixture
def make_gateway_on(make_gateway, sockets):
    """Return a function that makes a gateway whose clients' connections are such sockets."""

    def make(**settings):
        gateway = make_gateway(**settings)
        if sockets != OWN:
            redirect_clients(gateway, sockets)
        return gateway

    return make


def connect_unaccepted(gateway):
    """Connect a client; its connection waits in the backlog of the listener."""
    return Peer(socket.create_connection(gateway.listen))


def leave(client, ending):
    if ending == "reset":
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    client.close()


def requests_at_hosts(gateway):
    """Accept connections at all hosts; return how many requests have come."""
    gateway.host_peers += [peer for server in gateway.hosts if (peer := server.accept()) is not None]
    return sum(host.read().count(b"API.") for host in gateway.host_peers)


def open_host_connection(gateway):
    """Have a request served, so that further ones find an open connection to a host."""
    client = gateway.client()
    client.send(gateway.request())
    host = gateway.accept_at_host()
    host.read()
    gateway.answer_from_host(host, client)
    client.close()
    gateway.pass_ms(20)


def read_from_counter(gateway):
    """Have the counter answer, and the gateway read the answers before it reads from any client."""
    for peer in gateway.counter_peers:
        if calls := peer.read().count(b"TALLY"):
            peer.send(calls * b"$1\r\n1\r\n")
    for reader in gateway.reactor.getReaders():
        if isinstance(getattr(reader, "protocol", None), CounterProtocol):
            reader.doRead()


def requests_begun(gateway, turns=20):
    """Let the gateway run; return how many requests have come to the hosts.

    What a client sent is decided on before its connection is read again: the order in which a poll reports
    the counter and the client is then the one in which a close is noticed last.
    """
    gateway.counter_answers = False
    begun = 0
    for _ in range(turns):
        gateway.run_loop(1)
        read_from_counter(gateway)
        begun += requests_at_hosts(gateway)
    gateway.counter_answers = True
    gateway.pass_ms(500)
    return begun + requests_at_hosts(gateway)


REQUESTS = {
    "one-shot": lambda gateway: gateway.request("once"),
    "keyed": lambda gateway: gateway.request("mark", more=b",k=00000000000000ab"),
    "idempotent": lambda gateway: gateway.request("read"),
    "long": lambda gateway: gateway.request("once", body=(LONG_BODY,)),
    "pipelined": lambda gateway: b"".join(gateway.request() for _ in range(PIPELINED_REQUESTS)),
    "behind others": lambda gateway: PING * 1000 + gateway.request("once"),
}


@pytest.mark.parametrize("ending", ["reset", "close"])
@pytest.mark.parametrize("requests", REQUESTS)
def test_no_attempt_begins_for_a_client_that_left_before_its_connection_was_accepted(
    make_gateway_on, requests, ending
):
    """Guards against requests that run for a client that gave up while it waited in the backlog."""
    gateway = make_gateway_on(sockets=256)
    open_host_connection(gateway)
    client = connect_unaccepted(gateway)
    client.send(REQUESTS[requests](gateway))
    leave(client, ending)
    assert requests_begun(gateway) == 0
    assert not gateway.state_machine.clients.connections
    assert not gateway.state_machine.requests.in_flight


@pytest.mark.parametrize("ending", ["reset", "close"])
@pytest.mark.parametrize("requests", REQUESTS)
def test_no_attempt_begins_for_a_client_that_left_before_its_connection_was_read(
    make_gateway_on, requests, ending
):
    """Guards against requests that run for a client that gave up between the accept and the first read."""
    gateway = make_gateway_on(sockets=256)
    open_host_connection(gateway)
    client = connect_unaccepted(gateway)
    gateway.service.effects.port.doRead()  # Accepts the connection; no poll follows.
    client.send(REQUESTS[requests](gateway))
    leave(client, ending)
    assert requests_begun(gateway) == 0
    assert not gateway.state_machine.clients.connections


@pytest.mark.parametrize("ending", ["reset", "close"])
def test_none_of_the_attempts_that_are_due_in_one_step_begins_for_a_client_that_left(make_gateway_on, ending):
    """Guards against a close that is found for the first of several attempts and forgotten for the others."""
    gateway = make_gateway_on(hosts=8, sockets=256)
    client = gateway.client()
    client.send(REQUESTS["pipelined"](gateway))
    leave(client, ending)
    gateway.pass_ms(1000)
    assert requests_at_hosts(gateway) == 0 and not gateway.state_machine.clients.connections


@pytest.mark.parametrize("ending", ["reset", "close"])
def test_no_attempt_begins_for_a_client_that_left_behind_input_that_is_not_read(make_gateway_on, ending):
    """Guards against attempts after a close that waits behind other input, whatever the sockets tell."""
    gateway = make_gateway_on(sockets=256)
    gateway.delay_connects()
    client = gateway.client()
    client.send(gateway.request())
    gateway.run_loop()
    [link] = gateway.client_links()
    link.hold_input()  # As behind many pending commands.
    client.send(PING * 1000)
    leave(client, ending)
    gateway.release_connects()
    gateway.run_loop()
    assert requests_at_hosts(gateway) == 0
    assert not gateway.state_machine.clients.connections and not gateway.state_machine.requests.in_flight


def test_connections_that_were_reset_before_the_accept_take_no_room_of_others(make_gateway):
    """Guards against the eviction of clients, and a pause of accepting, for connections that are over."""
    gateway = make_gateway(sockets=128)
    clients = [gateway.client() for _ in range(gateway.limits.client_links - 1)]
    gateway.pass_ms(gateway.limits.fresh_ms + 20)
    readers = len(gateway.reactor.getReaders())
    gone = [connect_unaccepted(gateway) for _ in range(30)]
    for client in gone:
        leave(client, "reset")
    gateway.run_loop(20)
    counts = gateway.state_machine.context.counts
    assert len(gateway.state_machine.clients.connections) == len(clients)
    assert len(gateway.reactor.getReaders()) == readers
    assert counts["client_links_reset"] == len(gone)
    assert not any(event == "accept paused" for event, _ in gateway.log_events)
    for client in clients:
        client.send(PING)
    gateway.run_loop()
    assert [client.read() for client in clients] == [PONG] * len(clients)


# Clients that stay.


def replies_to(gateway, client, count):
    """Answer all requests at the hosts until the client has so many replies; return what it received."""
    received = b""
    for _ in range(400):
        gateway.host_peers += [peer for server in gateway.hosts if (peer := server.accept()) is not None]
        for host in gateway.host_peers:
            if requests := host.read().count(b"API."):
                host.send(requests * VALUE)
        gateway.pass_ms(20)
        received += client.read()
        if sum(received.count(reply) for reply in (VALUE, PONG, BUSY)) >= count:
            break
    return received


@pytest.mark.parametrize("piece_bytes", [1, 100, 10**6])
def test_a_client_that_stays_gets_each_answer_once_and_in_order(make_gateway_on, piece_bytes):
    """Guards against a living client that counts as gone, and against input that is lost by reading ahead."""
    gateway = make_gateway_on(hosts=8, sockets=256)
    client = connect_unaccepted(gateway)
    commands = b"".join(gateway.request() + PING for _ in range(8))
    expected = 8 * (VALUE + PONG)
    for start in range(0, len(commands), piece_bytes):
        client.send(commands[start : start + piece_bytes])
        gateway.run_loop(1)
    assert replies_to(gateway, client, 16) == expected
    assert gateway.state_machine.context.counts["client_gone"] == 0 and not client.ended


def test_a_client_that_stays_and_pipelines_gets_all_answers(make_gateway_on):
    """Guards against pipelined commands that are lost, repeated or out of order by reading ahead."""
    gateway = make_gateway_on(hosts=8, sockets=256, slices_in_real_time=True)
    client = gateway.client()
    count = 200
    client.send(b"".join(gateway.request() + PING for _ in range(count)))
    received = replies_to(gateway, client, 2 * count)
    assert received.replace(BUSY, VALUE) == count * (VALUE + PONG) and not client.ended


@pytest.mark.parametrize("kind", [UNCONNECTED, DATAGRAM])
def test_a_client_that_stays_is_served_when_its_descriptor_changes(make_gateway, kind):
    """Guards against a living client that counts as gone by a state that was once that of its connection."""
    gateway = make_gateway(hosts=8, sockets=256)
    redirect_clients(gateway, ESTABLISHED)
    client = gateway.client()
    [link] = gateway.client_links()
    redirect(link.transport.socket, kind)
    count = 200
    client.send(b"".join(gateway.request() + PING for _ in range(count)))
    received = replies_to(gateway, client, 2 * count)
    assert received.replace(BUSY, VALUE) == count * (VALUE + PONG) and not client.ended


def test_a_client_that_stays_is_served_when_its_descriptor_tells_of_a_reset(make_gateway):
    """Guards against a living client that counts as gone by an error that is not that of its connection."""
    gateway = make_gateway(hosts=8, sockets=256)
    redirect_clients(gateway, RESET)
    client = connect_unaccepted(gateway)
    client.send(gateway.request() + PING)
    assert replies_to(gateway, client, 2) == VALUE + PONG and not client.ended


@pytest.mark.parametrize("error", [errno.EINTR, errno.ENOBUFS, errno.ENOMEM])
def test_a_client_that_stays_is_served_when_reads_ahead_fail_for_a_moment(make_gateway, error):
    """Guards against a living client that counts as gone by an error that says nothing about it."""
    gateway = make_gateway()
    redirect_clients(gateway, UNCONNECTED)
    client = gateway.client()
    [link] = gateway.client_links()
    link.transport.socket.read_error = error
    client.send(gateway.request())
    assert replies_to(gateway, client, 1) == VALUE and not client.ended


class AgedDescriptor:
    """A TCP connection that has been open for an hour and never received anything."""

    def getsockopt(self, level, option, size=0):
        info = bytearray(232)  # `struct tcp_info`
        info[0] = 1  # Established.
        info[LAST_DATA_RECEIVED] = HOUR_MS.to_bytes(4, sys.byteorder)
        return bytes(info[:size]) if option == socket.TCP_INFO else 0


def test_a_request_is_not_dated_by_a_descriptor_that_received_no_input(make_gateway, monkeypatch):
    """Guards against requests that count as an hour old where a library redirects sockets."""
    monkeypatch.setattr(
        "redirected_sockets.redirect", lambda sock, _: setattr(sock, "descriptor", AgedDescriptor())
    )
    gateway = make_gateway()
    gateway.reactor.ms_since_last_data = ms_since_last_data
    redirect_clients(gateway, ESTABLISHED)
    client = gateway.client()
    client.send(gateway.request())
    assert replies_to(gateway, client, 1) == VALUE


def test_a_long_request_of_a_client_that_stays_is_forwarded_whole(make_gateway_on):
    gateway = make_gateway_on()
    client = gateway.client()
    client.send(gateway.request("once", body=(LONG_BODY,)) + PING)
    received = b""
    gateway.run_loop(60)
    host = gateway.accept_at_host()
    while not received.endswith(LONG_BODY + b"\r\n"):
        gateway.run_loop()
        received += host.read()
    host.send(VALUE)
    gateway.run_loop()
    assert client.read() == VALUE + PONG


def test_requests_behind_one_that_is_written_are_answered_in_a_shutdown(make_gateway_on):
    """Guards against the loss of requests that were read ahead when the process ends."""
    gateway = make_gateway_on(hosts=8, sockets=256)
    client = gateway.client()
    count = 40
    client.send(b"".join(gateway.request() for _ in range(count)))
    gateway.service.shut_down()
    received = replies_to(gateway, client, count)
    assert received.replace(BUSY, VALUE) == count * VALUE


def test_floods_of_clients_without_requests_leave_the_budget_for_those_with_requests(make_gateway):
    """Guards against attempts for clients that left, while many others flood with other commands."""
    gateway = make_gateway(sockets=256, memory_mb=32, slices_in_real_time=True)
    redirect_clients(gateway, UNCONNECTED)
    budget = gateway.service.effects.port.factory.budget
    clients = [gateway.client() for _ in range(60)]
    for client in clients:
        client.send(PING * 5000)
    most_used_bytes = 0
    for _ in range(30):
        gateway.pass_ms(20)
        most_used_bytes = max(most_used_bytes, budget.used_bytes)
    assert gateway.has_waiting_input() and most_used_bytes == 0


def test_input_that_is_read_ahead_takes_a_bounded_memory(make_gateway):
    """Guards against a look for the close of many clients that reads all they have sent into memory."""
    gateway = make_gateway(hosts=8, sockets=256, memory_mb=32)
    redirect_clients(gateway, UNCONNECTED)
    gateway.counter_answers = False
    budget = gateway.service.effects.port.factory.budget
    clients = [gateway.client() for _ in range(60)]
    for client in clients:
        client.send(gateway.request("once"))
    gateway.run_loop()
    for link in gateway.client_links():
        link.hold_input()  # As behind many pending commands.
    for client in clients:
        client.send(PING * 5000)
    for link in gateway.client_links():
        assert not link.check_peer()
    held_bytes = sum(len(link._buffer) for link in gateway.client_links())
    unbudgeted_bytes = len(clients) * gateway.limits.read
    assert unbudgeted_bytes < held_bytes <= budget.used_bytes + unbudgeted_bytes
    assert 0 < budget.used_bytes <= gateway.limits.partial / 2
    for client in clients:
        leave(client, "reset")
    gateway.pass_ms(1000)
    assert budget.used_bytes == 0 and not gateway.state_machine.clients.connections
