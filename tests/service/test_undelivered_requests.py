"""Requests that a host's machine has not received in full when they may no longer arrive there.

Guards against a bound in time that is checked when the write of a request begins and not until the host has
it: the kernel takes a whole request at once and delivers it for as long as the host takes to read.
"""

import re
import socket
import time

import pytest
from fake_gateway import SETTINGS
from loopback import VALUE

from granitedock.policy.delivery_time import WORK_SHARE
from granitedock.service.host_connection import HostConnectionState
from granitedock.service.host_protocol import HostProtocol
from granitedock.service.limits import HOLD_UP_MS

WINDOW_MS = 1000.0
# Attempts stay in flight for as long as most clients here wait.
LANES = [
    lane | {"TargetMs": 4000, "GiveUpMs": 8000, "WindowMs": WINDOW_MS, "DedupScope": "all"}
    for lane in SETTINGS["Lanes"]
]
KEY = b",k=00000000000000b1"
BODY = 60000 * b"b"
REQUEST_END = BODY + b"\r\n"
HOST_BUFFER_BYTES = 2048
ERR = b"-ERR failed\r\n"
PATIENCE_S = 10  # For the kernel to deliver what a test has made it deliver.
# Where the rest of a request is that a host does not read, in the gateway's kernel or in its process: the
# state of the connection and the size of its send buffer, in bytes.
HOLDERS = {
    "kernel": (HostConnectionState.WAITING, 1 << 18),
    "process": (HostConnectionState.WRITING, 1 << 12),
}


@pytest.fixture(params=HOLDERS)
def make_slow_fleet(request, make_gateway, monkeypatch):
    """A factory of gateways with hosts of which none reads by itself."""
    state, send_buffer_bytes = HOLDERS[request.param]
    connected = HostProtocol.connectionMade

    def connected_with_send_buffer(protocol):
        handle = protocol.transport.getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
        connected(protocol)

    monkeypatch.setattr(HostProtocol, "connectionMade", connected_with_send_buffer)

    def make(**options):
        gateway = make_gateway(lanes=LANES, host_buffer_bytes=HOST_BUFFER_BYTES, **options)
        gateway.undelivered_state = state
        return gateway

    return make


def host_connection(gateway):
    """Return the gateway's record of the one connection with an attempt, or None."""
    connections = list(gateway.state_machine.hosts.by_attempt.values())
    assert len(connections) <= 1
    return connections[0] if connections else None


def receive_request(gateway, host):
    """Read at the host until it has the whole request, and the gateway's machine knows."""
    received, give_up_at = b"", time.monotonic() + PATIENCE_S
    while not received.endswith(REQUEST_END) or host_connection(gateway).link.unacknowledged_bytes():
        received += host.read()
        gateway.run_loop()
        assert not host.ended and time.monotonic() < give_up_at


def assert_cut_off(host):
    """Check that the host's connection was reset before the last byte of the request."""
    received = host.read()
    assert BODY[:1] in received and not received.endswith(REQUEST_END)
    assert len(received) < len(BODY) and host.ended == "reset"


def accept_at_any_host(gateway):
    """Return the number of the host that has a pending connection, and the connection."""
    for number in range(len(gateway.hosts)):
        if (host := gateway.accept_at_host(number)) is not None:
            return number, host
    raise AssertionError("no host has a connection")


def send_retry(gateway, client):
    """Send a keyed request that one host receives before it fails; return the other host's connection."""
    client.send(gateway.request("mark", d=4000, more=KEY, body=(BODY,)))
    gateway.run_loop()
    number, first = accept_at_any_host(gateway)
    receive_request(gateway, first)
    first.close()  # The request may have run there.
    gateway.run_loop()
    second = gateway.accept_at_host(1 - number)
    assert host_connection(gateway).state is gateway.undelivered_state
    return second


def test_a_retry_that_a_host_has_not_received_ends_with_its_idempotency_window(make_slow_fleet):
    """Guards against a host that reads slowly and runs a retry after the first host's key is forgotten."""
    gateway = make_slow_fleet(hosts=2)
    client = gateway.client()
    sent_at_ms = gateway.now_ms
    second = send_retry(gateway, client)
    gateway.pass_ms(sent_at_ms + WINDOW_MS - 1 - gateway.now_ms)
    assert client.read() == b"" and host_connection(gateway) is not None
    gateway.pass_ms(1)
    assert client.read() == ERR and host_connection(gateway) is None
    assert_cut_off(second)
    assert gateway.state_machine.context.counts["undelivered"] == 1
    undelivered = [figures for event, figures in gateway.log_events if event == "attempt undelivered"]
    assert [figures["state"] for figures in undelivered] == [gateway.undelivered_state.value]
    assert undelivered[0]["unacknowledged_bytes"] > 0


def test_a_retry_that_a_host_has_received_in_time_may_be_answered_after_its_window(make_slow_fleet):
    """Guards against ending each retry with its window, also one that the host began in time."""
    gateway = make_slow_fleet(hosts=2)
    client = gateway.client()
    second = send_retry(gateway, client)
    receive_request(gateway, second)
    gateway.pass_ms(WINDOW_MS + 500)
    assert client.read() == b"" and not second.ended
    gateway.answer_from_host(second, client)
    assert gateway.state_machine.context.counts["undelivered"] == 0


def test_a_first_attempt_may_be_delivered_until_its_deadline(make_slow_fleet):
    """Guards against applying the window to an attempt before which nothing ran."""
    gateway = make_slow_fleet()
    client = gateway.client()
    client.send(gateway.request("mark", d=4000, more=KEY, body=(BODY,)))
    host = gateway.accept_at_host()
    gateway.pass_ms(WINDOW_MS + 500)
    receive_request(gateway, host)
    gateway.answer_from_host(host, client)


# The time that a host is told, which counts from the last byte that it gets.


def told_ms(received):
    """Return the time left that the first bytes of a request tell its host."""
    return int(re.search(rb"\bd=(\d+)", received)[1])


@pytest.mark.parametrize("name", ["read", "mark", "once"])
def test_a_request_that_a_host_receives_late_ends_when_it_was_told_all_that_its_client_has_left(
    make_slow_fleet, name
):
    """Guards against a host that reads slowly and works for a client that no longer waits."""
    gateway = make_slow_fleet()
    client = gateway.client()
    sent_at_ms = gateway.now_ms
    host = send_request(gateway, client, name)
    deadline_ms = sent_at_ms + 4000 - gateway.limits.margin_ms
    deliver_before_ms = deadline_ms - (deadline_ms - sent_at_ms) * WORK_SHARE
    gateway.pass_ms(deliver_before_ms - 1 - gateway.now_ms)
    attempt = host_connection(gateway).attempt
    assert client.read() == b"" and not host.ended
    gateway.pass_ms(1)
    # One that never ran is sent again.
    assert attempt not in gateway.state_machine.hosts.by_attempt
    received = host.read()
    assert host.ended == "reset" and not received.endswith(REQUEST_END)
    assert 0 < told_ms(received) <= deadline_ms - deliver_before_ms


def test_a_long_request_that_a_host_has_received_in_time_is_awaited_until_its_deadline(make_slow_fleet):
    """Guards against ending the work of a host that has the request when its time for delivery is over."""
    gateway = make_slow_fleet()
    client = gateway.client()
    host = send_request(gateway, client, "once")
    gateway.pass_ms(1500)
    receive_request(gateway, host)
    gateway.pass_ms(2000)
    assert client.read() == b"" and not host.ended
    gateway.answer_from_host(host, client)
    assert gateway.state_machine.context.counts["undelivered"] == 0


def test_a_host_is_told_all_that_is_left_for_a_short_request(make_gateway):
    """Guards against less time for each request, as short ones arrive as a whole."""
    gateway = make_gateway(lanes=LANES)
    client = gateway.client()
    client.send(gateway.request("read", d=4000, body=(b"short",)))
    host = gateway.accept_at_host()
    assert told_ms(host.read()) == 4000 - gateway.limits.margin_ms


# Responses to requests that the host has not received.


def test_a_response_before_the_end_of_its_request_is_not_passed_on(make_slow_fleet):
    """Guards against a client that gets what no host made for its request, such as an extra response."""
    gateway = make_slow_fleet()
    client = gateway.client()
    host = send_request(gateway, client, "once")
    host.send(VALUE)
    gateway.pass_ms(20)
    answer = client.read()
    if gateway.undelivered_state is HostConnectionState.WAITING:
        assert answer == ERR  # It may have run.
        assert host_connection(gateway) is None
    else:
        assert answer == b"" and host_connection(gateway) is not None  # It never ran and is sent again.
    assert_cut_off(host)


def test_a_rejection_before_the_end_of_its_request_ends_the_connection(make_slow_fleet):
    """Guards against the rest of a rejected request, which the next request would follow."""
    gateway = make_slow_fleet(hosts=2)
    client = gateway.client()
    client.send(gateway.request("once", d=4000, body=(BODY,)))
    gateway.run_loop()
    number, host = accept_at_any_host(gateway)
    host.send(b"-BUSY\r\n")
    gateway.pass_ms(20)
    assert_cut_off(host)
    other = gateway.accept_at_host(1 - number)
    receive_request(gateway, other)
    gateway.answer_from_host(other, client)


# Hard ceilings.

CEILING_UNITS = 10
CEILING_HOSTS = 4 * CEILING_UNITS  # Enough that only the ceiling rejects requests.
CEILING_PLAN = {"Name": "p", "Refill": 1000, "MostAtOnce": 1000, "Tolerance": 1}
CEILING_PLAN |= {"CeilingRate": CEILING_UNITS, "CeilingBurst": CEILING_UNITS}  # The rate is per second.


def send_requests(gateway, count, body):
    """Send idempotent requests of one unit each from as many clients, and return the clients."""
    clients = [gateway.client() for _ in range(count)]
    for client in clients:
        client.send(gateway.request("read", d=4000, body=(body,)))
    gateway.run_loop()
    return clients


def accept_at_all_hosts(gateway):
    """Return the pending connections at all hosts."""
    connections = [peer for server in gateway.hosts for peer in iter(server.accept, None)]
    gateway.host_peers += connections
    return connections


def count_rejected(clients):
    return sum(client.read().startswith(b"-BUSY") for client in clients)


def test_requests_received_late_do_not_pass_a_ceiling_together_with_later_ones(make_slow_fleet):
    """Guards against a second burst that reaches hosts at the moment at which they have read the first."""
    gateway = make_slow_fleet(Tariffs=[CEILING_PLAN], sockets=256, hosts=CEILING_HOSTS)
    gateway.pass_ms(3000)  # The ceiling fills from the start of the process.
    first = send_requests(gateway, CEILING_UNITS + 1, BODY)
    assert count_rejected(first) == 1
    gateway.pass_ms(1000)  # The ceiling would fill again.
    assert count_rejected(send_requests(gateway, CEILING_UNITS, b"short")) == CEILING_UNITS
    for host in accept_at_all_hosts(gateway):
        received, give_up_at = b"", time.monotonic() + PATIENCE_S
        while not received.endswith(REQUEST_END):
            received += host.read()
            gateway.run_loop()
            assert time.monotonic() < give_up_at
        host.send(VALUE)
    gateway.run_loop()
    # From here on the ceiling fills.
    gateway.pass_ms(1000)
    assert count_rejected(send_requests(gateway, CEILING_UNITS + 1, b"short")) == 1


def test_requests_on_late_connections_do_not_pass_a_ceiling_together_with_later_ones(
    make_gateway,
):
    """Guards against a second burst that reaches hosts at the moment at which their connections come up."""
    gateway = make_gateway(lanes=LANES, Tariffs=[CEILING_PLAN], sockets=256, hosts=CEILING_HOSTS)
    gateway.pass_ms(3000)
    gateway.delay_connects()
    first = send_requests(gateway, CEILING_UNITS, b"short")
    gateway.pass_ms(1000)
    assert count_rejected(send_requests(gateway, CEILING_UNITS, b"short")) == CEILING_UNITS
    gateway.release_connects()
    gateway.pass_ms(1000)
    assert count_rejected(send_requests(gateway, CEILING_UNITS + 1, b"short")) == 1
    assert count_rejected(first) == 0


# Requests that need no answer any more.


def send_request(gateway, client, name, time_left_ms=4000):
    """Send a long request that its host does not read; return the host's connection."""
    client.send(gateway.request(name, d=time_left_ms, more=KEY, body=(BODY,)))
    host = gateway.accept_at_host()
    assert host_connection(gateway).state is gateway.undelivered_state
    return host


def assert_attempt_ended(gateway):
    assert host_connection(gateway) is None and not gateway.state_machine.requests.in_flight
    assert gateway.state_machine.context.counts["undelivered"] == 1


@pytest.mark.parametrize("name", ["read", "mark", "once"])
def test_a_request_that_a_host_has_not_received_ends_when_its_client_disconnects(make_slow_fleet, name):
    """Guards against a host that reads slowly and begins the work up to 1.2 s after the client has gone."""
    gateway = make_slow_fleet()
    client = gateway.client()
    host = send_request(gateway, client, name)
    gateway.pass_ms(20)
    client.close()
    gateway.run_loop()
    assert_cut_off(host)
    assert_attempt_ended(gateway)
    # That a client left says nothing about the host.
    assert gateway.state_machine.context.counts["forward_timeout"] == 0
    (endpoint,) = gateway.state_machine.endpoints.by_name.values()
    assert not endpoint.health.failures


def test_a_request_that_a_host_has_received_goes_on_when_its_client_disconnects(make_slow_fleet):
    """Guards against a new connection to the host for each client that leaves."""
    gateway = make_slow_fleet()
    client = gateway.client()
    host = send_request(gateway, client, "once")
    receive_request(gateway, host)
    client.close()
    gateway.run_loop()
    assert host.read() == b"" and not host.ended and host_connection(gateway) is not None
    host.send(VALUE)
    gateway.run_loop()
    assert host_connection(gateway) is None and not host.ended
    assert gateway.state_machine.context.counts["undelivered"] == 0


def test_a_request_that_a_host_has_not_received_ends_when_it_fails_at_the_end_of_a_shutdown(make_slow_fleet):
    """Guards against bytes that go on to a host after the final answer, also once the process has ended."""
    gateway = make_slow_fleet()
    client = gateway.client()
    gateway.service.shut_down()
    gateway.pass_ms(gateway.limits.open_ms - 20)
    host = send_request(
        gateway, client, "once", time_left_ms=8000
    )  # It may be delivered until after the end.
    gateway.pass_ms(gateway.limits.leave_ms - gateway.limits.open_ms + 21)
    assert client.read() == ERR
    assert_cut_off(host)
    assert_attempt_ended(gateway)


def test_a_request_that_a_host_has_not_received_ends_when_malformed_input_follows_it(make_slow_fleet):
    """Guards against bytes that go on to a host after the error reply, while the client stays connected."""
    gateway = make_slow_fleet()
    client = gateway.client()
    host = send_request(gateway, client, "once")
    client.send(b"no command\r\n")
    gateway.pass_ms(gateway.limits.spoilt_ms + 200)
    assert client.read().startswith(ERR)
    assert_cut_off(host)
    assert_attempt_ended(gateway)


# Hosts that drain.


@pytest.mark.parametrize("lifecycle", ["terminating", "terminated"])
def test_a_request_that_a_host_has_not_received_ends_with_the_grace_of_its_drain(make_slow_fleet, lifecycle):
    """Guards against a draining host that reads slowly and receives a request long after the grace."""
    grace_ms = 700.0
    gateway = make_slow_fleet(Safety=SETTINGS["Safety"] | {"DrainGraceMs": grace_ms})
    client = gateway.client()
    host = send_request(gateway, client, "once")
    gateway.send_list(lifecycle=lifecycle)
    gateway.pass_ms(grace_ms - HOLD_UP_MS - 1)
    assert client.read() == b"" and host_connection(gateway) is not None
    gateway.pass_ms(1)
    # The request never ran if its last byte had not left the process.
    assert client.read() == (
        ERR if gateway.undelivered_state is HostConnectionState.WAITING else b"-BUSY\r\n"
    )
    assert_cut_off(host)
    assert_attempt_ended(gateway)


def test_a_request_goes_on_after_the_grace_at_a_host_that_has_received_it_or_is_in_service_again(
    make_slow_fleet,
):
    """Guards against ending the work of a host that finishes what it has."""
    for returns in (False, True):
        gateway = make_slow_fleet(Safety=SETTINGS["Safety"] | {"DrainGraceMs": 700.0})
        client = gateway.client()
        host = send_request(gateway, client, "once")
        gateway.send_list(lifecycle="terminating")
        if returns:
            gateway.send_list()
        else:
            receive_request(gateway, host)
        gateway.pass_ms(1000.0)
        assert client.read() == b""
        if returns:
            receive_request(gateway, host)
        gateway.answer_from_host(host, client)
