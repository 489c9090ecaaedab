"""Clients that rest, flood, write slowly, do not read or leave: other clients and the process's limits hold.

The gateway's sockets are real and its event loop and clock advance in steps of the test
(docs/incidents/2026-12-05-overload-by-clients.md).
"""

import socket

import pytest
from loopback import Peer

from granitedock.service.resp import encode_command

PING = encode_command(b"PING")
PONG = b"+PONG\r\n"
BUSY = b"-BUSY\r\n"


def rest(gateway, client, ms):
    """Serve a request of the client, then advance the clock by `ms` less one iteration of the event loop."""
    client.send(gateway.request())
    host = gateway.accept_at_host()
    host.read()
    gateway.answer_from_host(host, client)
    gateway.pass_ms(ms)


# Closing connections.


def run_timers_until_closed(gateway, peer, within_ms):
    """Advance the clock and run timers, but no poll; return whether the client saw a close in time."""
    end = gateway.now_ms + within_ms
    while gateway.now_ms < end and not peer.ended:
        gateway.now_ms += 20
        gateway.reactor.runUntilCurrent()
        peer.read()
    return peer.ended


def test_a_connection_is_closed_in_the_step_that_finds_it_idle(make_gateway):
    """Guards against a close that takes effect after the input of others and resets requests between."""
    gateway = make_gateway()
    client = gateway.client()
    rest(gateway, client, gateway.limits.rest_ms - 500)
    assert not client.ended
    assert run_timers_until_closed(gateway, client, 1000) == "closed"


def test_a_connection_without_a_request_is_closed_in_the_step_that_evicts_it(make_gateway):
    """Guards against an eviction that takes effect an iteration later and resets a first request."""
    gateway = make_gateway(sockets=128)
    clients = [gateway.client() for _ in range(gateway.limits.client_links)]
    gateway.pass_ms(gateway.limits.fresh_ms + 20)
    clients.append(Peer(socket.create_connection(gateway.listen)))
    gateway.service.effects.port.doRead()  # Accepts the connection; no poll follows.
    for client in clients:
        assert client.read() == b""
    assert [client.ended for client in clients if client.ended] == ["closed"]


def test_an_idle_connection_is_closed_in_the_step_that_begins_the_shutdown(make_gateway):
    """Guards against requests that are reset because they arrive while a shutdown's closes are pending."""
    gateway = make_gateway()
    client = gateway.client()
    rest(gateway, client, 200)
    gateway.service.shut_down()
    assert run_timers_until_closed(gateway, client, gateway.limits.open_ms + 50) == "closed"


@pytest.mark.parametrize("unread_bytes", [0, 1])
def test_a_connection_with_unsent_replies_is_not_closed_while_the_process_shuts_down(
    make_gateway, unread_bytes
):
    """Guards against requests that are read and dropped while a client has yet to read earlier replies."""
    gateway = make_gateway()
    client = gateway.client(buffer_bytes=4096)
    if unread_bytes:
        while not gateway.unsent_bytes_to_clients():
            client.send(PING * 100)
            gateway.run_loop()
    gateway.service.shut_down()
    gateway.pass_ms(gateway.limits.open_ms + gateway.limits.fresh_ms + 50)
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    if not unread_bytes:
        client.read()
        assert client.ended == "closed"
        return
    client.send(gateway.request())
    received = b""
    for _ in range(200):
        gateway.run_loop()
        received += client.read()
    assert received.endswith(BUSY)
