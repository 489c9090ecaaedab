"""Clients that rest, flood, write slowly, do not read or leave: other clients and the process's limits hold.

The gateway's sockets are real and its event loop and clock advance in steps of the test
(docs/incidents/2026-12-05-overload-by-clients.md).
"""

import socket

import pytest
from loopback import VALUE, Peer, answer

from granitedock.policy.rate_limiter import MIN_EVICTION_IDLE_MS
from granitedock.service.resp import encode_command
from granitedock.service.resp_receiver import UNRESERVED_BYTES
from granitedock.service.socket_queue import CLOSE
from granitedock.service.timer_queue import MIN_COMPACTED_TIMERS

PING = encode_command(b"PING")
INFO = encode_command(b"INFO")
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


# Commands that arrive in parts.


@pytest.mark.parametrize("words", [1, 60])
def test_commands_in_parts_take_a_bounded_memory_and_those_beyond_it_are_rejected(make_gateway, words):
    """Guards against hundreds of unfinished long requests that together exceed the process's memory."""
    gateway = make_gateway(sockets=256, memory_mb=32)
    budget = gateway.service.effects.port.factory.budget
    body = [60000 // words * b"b"] * words
    clients = [gateway.client() for _ in range(gateway.limits.client_links - 1)]
    commands = []
    for client in clients:
        command = encode_command(b"API.WRITE", *body) if words > 1 else gateway.request("once", body=body)
        commands.append(command)
        client.send(command[:-10])
        while gateway.has_unread_input_of(client):
            gateway.run_loop(1)
    held_bytes = sum(gateway.partial_bytes(link) for link in gateway.client_links())
    allowance = len(clients) * UNRESERVED_BYTES + gateway.limits.partial
    assert held_bytes < allowance and budget.used_bytes <= gateway.limits.partial
    shed = gateway.state_machine.context.counts["commands_shed"]
    for client, command in zip(clients, commands):
        client.send(command[-10:])
        gateway.run_loop()
    answers = [client.read() for client in clients]
    assert not shed and answers.count(BUSY) >= len(clients) // 2
    assert budget.used_bytes == 0


def test_the_budget_of_commands_in_parts_is_freed_by_a_close_and_by_a_rejection(make_gateway):
    gateway = make_gateway(sockets=256, memory_mb=32)
    budget = gateway.service.effects.port.factory.budget
    leaving, failing = gateway.client(), gateway.client()
    for client in (leaving, failing):
        client.send(gateway.request("once", body=(60000 * b"b",))[:-10])
        gateway.run_loop(60)
    assert budget.used_bytes > 120000
    leaving.close()
    failing.send(b"bbbbbbbbno line end")
    gateway.run_loop()
    assert budget.used_bytes == 0 and failing.read().startswith(b"-ERR")


def test_a_request_with_thousands_of_short_fields_is_rejected_before_they_are_split(make_gateway):
    """Guards against the memory and time of a table of 20,000 fields for one request."""
    gateway = make_gateway()
    client = gateway.client()
    client.send(gateway.request(more=b"".join(b",x%d=1" % number for number in range(7000))))
    gateway.run_loop(60)
    assert client.read() == b"-ERR task not readable: too many fields\r\n"


# Clients that do not read.

LARGE_ANSWER = answer(60000 * b"x")


def test_a_client_that_reads_late_gets_an_answer_to_each_request_although_its_replies_exceed_its_share(
    make_gateway,
):
    """Guards against a reset of the connection, and the loss of 11 of 12 requests, by 256 KiB of replies."""
    gateway = make_gateway(hosts=24, sockets=256)
    client = gateway.client(buffer_bytes=4096)
    client.send(b"".join(gateway.request() for _ in range(12)))
    served_by_hosts = 0
    for _ in range(100):
        gateway.host_peers += [peer for server in gateway.hosts if (peer := server.accept()) is not None]
        for host in gateway.host_peers:
            requests = host.read().count(b"API.")
            host.send(requests * LARGE_ANSWER)
            served_by_hosts += requests
        gateway.pass_ms(20)
    assert served_by_hosts == 12
    replies = b""
    while replies.count(b"*3\r\n") + replies.count(b"-ERR failed\r\n") < 12 or not replies.endswith(b"\r\n"):
        client.wait_until_readable()
        replies += client.read()
        gateway.run_loop()
    served = replies.count(LARGE_ANSWER)
    assert served >= gateway.limits.unread // len(LARGE_ANSWER) and not client.ended
    assert replies.replace(LARGE_ANSWER, b"").replace(b"-ERR failed\r\n", b"") == b""


def test_unread_replies_of_many_clients_take_a_bounded_memory(make_gateway):
    """Guards against hundreds of clients that each leave their share of replies unread."""
    gateway = make_gateway(sockets=256, memory_mb=32)
    clients = [gateway.client(buffer_bytes=4096) for _ in range(100)]
    for client in clients:
        client.send(INFO * 400)
        gateway.run_loop(4)
    gateway.run_loop(60)
    waiting = gateway.unsent_bytes_to_clients()
    # What is unread beyond the budget are the replies of one slice on connections that had read all so far.
    assert waiting < 2 * gateway.limits.all_unread + len(clients) * gateway.limits.write_buffer
    counts = gateway.state_machine.context.counts
    assert not counts["malformed"] and not counts["faults"]


# Clients that leave, and ids that come again.


def requests_at_hosts(gateway):
    """Accept connections at all hosts; return how many requests have come."""
    gateway.host_peers += [peer for server in gateway.hosts if (peer := server.accept()) is not None]
    return sum(host.read().count(b"API.") for host in gateway.host_peers)


def test_requests_that_are_unread_when_their_client_closes_are_not_forwarded(make_gateway):
    """Guards against attempts that begin long after the close because it is unread behind the requests."""
    gateway = make_gateway(hosts=8, sockets=256)
    client = gateway.client()
    client.send(b"".join(gateway.request() for _ in range(400)))
    client.close()
    for _ in range(20):
        gateway.pass_ms(50)
    assert requests_at_hosts(gateway) == 0 and not gateway.state_machine.clients.connections


def test_no_attempt_begins_for_a_client_whose_close_waits_behind_input_that_is_not_read(make_gateway):
    """Guards against attempts for a client that left while its connection was not read."""
    gateway = make_gateway(sockets=256)
    gateway.delay_connects()
    client = gateway.client()
    client.send(gateway.request())
    gateway.run_loop()
    [link] = gateway.client_links()
    link.hold_input()  # As behind many pending commands.
    client.send(PING * 1000)
    client.close()
    gateway.release_connects()
    gateway.run_loop()
    assert requests_at_hosts(gateway) == 0
    assert not gateway.state_machine.clients.connections and not gateway.state_machine.requests.in_flight


@pytest.mark.parametrize("name", ["once", "mark", "read"])
@pytest.mark.parametrize("ending", ["client leaves", "answered"])
def test_an_id_that_may_have_run_runs_again_only_if_that_does_no_harm(make_gateway, name, ending):
    """Guards against an effect that happens twice when a request comes again after its client has left."""
    gateway = make_gateway()
    client, again = gateway.client(), gateway.client()
    command = gateway.request(name, more=b",k=00000000000000ab" if name == "mark" else b"")
    client.send(command)
    host = gateway.accept_at_host()
    assert host.read().count(b"API.") == 1
    if ending == "answered":
        gateway.answer_from_host(host, client)
    else:
        client.close()
        gateway.run_loop()
        gateway.host_peers.remove(host)
        host.close()
    gateway.pass_ms(100)
    again.send(command)
    gateway.run_loop()
    if name == "read":
        assert requests_at_hosts(gateway) == 1
    else:
        assert again.read() == b"-ERR failed\r\n" and requests_at_hosts(gateway) == 0 and not again.ended


def test_an_id_whose_request_never_ran_may_come_again(make_gateway):
    gateway = make_gateway()
    client, again = gateway.client(), gateway.client()
    command = gateway.request("once")
    gateway.counter_answers = False
    client.send(command)
    gateway.run_loop()
    client.close()
    gateway.run_loop()
    gateway.counter_answers = True
    gateway.pass_ms(100)
    again.send(command)
    gateway.run_loop()
    assert requests_at_hosts(gateway) == 1 and again.read() == b""


# Ever new names.


def send_as_new_customers(gateway, client, count):
    """Send requests of customers that were never seen; the host answers each at once."""
    for _ in range(count):
        gateway.next_id += 1
        text = b"c=read,t=p,d=3000,units=1,spread=1,first=0"
        client.send(encode_command(b"API.READ", b"%016x" % gateway.next_id, b"%016x" % gateway.next_id, text))
        gateway.pass_ms(10)
        if (peer := gateway.hosts[0].accept()) is not None:
            gateway.host_peers.append(peer)
        for host in gateway.host_peers:
            host.send(host.read().count(b"API.") * VALUE)
        gateway.run_loop(2)
        client.read()


def test_requests_under_ever_new_names_take_a_bounded_number_of_accounts_and_timers(make_gateway):
    """Guards against an account and some timers for each name until their time is over, 7 MB a second."""
    gateway = make_gateway(sockets=256, memory_mb=27)  # Room for 432 accounts.
    usual, client = gateway.client(), gateway.client()
    rest(gateway, usual, 20)
    limiter = gateway.state_machine.policy.rate_limiter
    send_as_new_customers(gateway, client, gateway.limits.accounts // 2)
    for customer in limiter.accounts:  # As though all had sent their requests in the same moment.
        customer.account.last_used_at = gateway.now_ms
    send_as_new_customers(gateway, client, gateway.limits.accounts // 2 + 100)
    assert len(limiter.accounts) == gateway.limits.accounts
    assert len(gateway.reactor.timer_queue.heap) < 2 * MIN_COMPACTED_TIMERS
    rejected = gateway.state_machine.context.counts["customers_over"]
    rest(gateway, gateway.client(), MIN_EVICTION_IDLE_MS)  # A customer with an account is served as before.
    send_as_new_customers(gateway, gateway.client(), 50)
    assert len(limiter.accounts) == gateway.limits.accounts
    assert rejected and gateway.state_machine.context.counts["customers_over"] == rejected


def test_a_socket_that_was_never_established_says_nothing_about_a_close(make_gateway, monkeypatch):
    """Guards against clients that count as gone where a library leads sockets elsewhere."""
    monkeypatch.setattr("granitedock.service.socket_queue.connection_state", lambda _transport: CLOSE)
    gateway = make_gateway()
    client = gateway.client()
    client.send(gateway.request())
    assert gateway.accept_at_host().read().count(b"API.") == 1
