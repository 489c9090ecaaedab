"""Races: a request, an answer, a close or a signal arrives between two steps of the gateway.

The order of the test's steps forces each race on real loopback sockets
(docs/incidents/2026-12-02-crossings.md).
"""

import json
import signal
import socket

import pytest
from fake_gateway import SETTINGS
from loopback import VALUE, WATCH_RESPONSE_HEAD, Peer, Server, answer, chunk

from granitedock.policy.states import HostState
from granitedock.service.discovery_watch import WatchState
from granitedock.service.gateway_service import SLOW_ITERATION_MS
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import LifecycleState
from granitedock.service.resp import encode_command
from granitedock.service.socket_queue import NO_LINGER

PING = encode_command(b"PING")
# Attempts stay in flight for as long as clients wait.
LONG_TARGET_LANES = [lane | {"TargetMs": 4000} for lane in SETTINGS["Lanes"]]
ERR = b"-ERR failed\r\n"


def send_to_host(gateway, client, name="once", **more):
    """Send a request, check that the host receives it, and return the host's connection."""
    client.send(gateway.request(name, **more))
    host = gateway.accept_at_host()
    assert b"API." in host.read()
    return host


def close_listener(gateway):
    gateway.service.shut_down()
    gateway.pass_ms(gateway.limits.open_ms + 1)
    assert gateway.state_machine.state is LifecycleState.CLOSING


# The end of the process.


def test_at_the_shutdown_deadline_requests_fail_and_the_process_waits_for_the_client_to_close(make_gateway):
    # On the other deployment (roll+term+brink+mass), commands were accepted for 50 ms after the last answers,
    # and the process exited before they were answered.
    gateway = make_gateway(lanes=LONG_TARGET_LANES)
    client = gateway.client()
    send_to_host(gateway, client, d=60000)
    gateway.service.shut_down()
    gateway.pass_ms(gateway.limits.leave_ms + 20)
    assert client.read() == ERR and client.ended == "closed"
    # This request crosses the gateway's close, and is neither accepted nor forwarded.
    client.send(gateway.request())
    gateway.run_loop()
    assert gateway.state_machine.context.counts["taken"] == 1 and not gateway.exit_times_ms
    client.close()
    gateway.run_loop()
    assert (
        gateway.exit_times_ms
        and gateway.exit_times_ms[0] - gateway.now_ms < gateway.limits.leave_most_ms - gateway.limits.leave_ms
    )


def test_the_process_exits_at_the_exit_deadline_even_if_a_client_never_closes_its_connection(make_gateway):
    gateway = make_gateway(lanes=LONG_TARGET_LANES)
    client = gateway.client()
    send_to_host(gateway, client, d=60000)
    gateway.service.shut_down()
    gateway.pass_ms(gateway.limits.leave_most_ms + 20)
    assert client.read() == ERR and len(gateway.exit_times_ms) == 1
    longest = min(3000.0, max(lane["GiveUpMs"] for lane in SETTINGS["Lanes"]))
    # SIGKILL is sent no earlier than 700 ms after the longest wait for a request.
    assert gateway.exit_times_ms[0] <= gateway.now_ms and gateway.limits.leave_most_ms < longest + 700


def test_requests_pipelined_behind_a_pending_one_during_shutdown_are_rejected_and_not_forwarded(make_gateway):
    gateway = make_gateway()
    client = gateway.client()
    host = send_to_host(gateway, client)
    close_listener(gateway)
    client.send(gateway.request() + gateway.request("once"))
    gateway.run_loop()
    assert gateway.accept_at_host() is None and host.read() == b""
    host.send(VALUE)
    gateway.run_loop()
    replies = client.read()
    assert replies.startswith(VALUE + b"-BUSY") and replies.count(b"-BUSY") == 2 and client.ended == "closed"


def test_a_request_unread_when_the_listener_closes_is_answered_before_its_connection_closes(make_gateway):
    gateway = make_gateway()
    client = gateway.client()
    client.send(gateway.request())
    host = gateway.accept_at_host()
    host.read()
    gateway.answer_from_host(host, client)
    gateway.service.shut_down()
    gateway.pass_ms(gateway.limits.open_ms - 30)
    client.send(gateway.request())  # Unread when the timer that closes the listener expires.
    gateway.now_ms += 40
    gateway.reactor.runUntilCurrent()
    assert gateway.state_machine.state is LifecycleState.CLOSING
    gateway.run_loop()
    assert client.read().startswith(b"-BUSY") and client.ended == "closed"


def test_requests_on_connections_in_the_backlog_are_answered_when_the_listener_closes(make_gateway):
    gateway = make_gateway()
    gateway.service.shut_down()
    gateway.pass_ms(gateway.limits.open_ms - 30)
    # More connections than one iteration of the event loop accepts.
    clients = [Peer(socket.create_connection(gateway.listen)) for _ in range(20)]
    for client in clients:
        client.send(gateway.request())
    gateway.now_ms += 40
    gateway.reactor.runUntilCurrent()
    gateway.run_loop()
    for client in clients:
        assert client.read().startswith(b"-BUSY") and client.ended == "closed"
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(gateway.listen)


def test_the_rest_of_a_partial_request_may_arrive_shortly_after_the_listener_closes(make_gateway):
    gateway = make_gateway()
    client, other = gateway.client(), gateway.client()
    request = gateway.request()
    for sender in client, other:
        sender.send(request[:30])
    gateway.run_loop()
    close_listener(gateway)
    client.send(request[30:])
    gateway.run_loop()
    assert client.read().startswith(b"-BUSY") and client.ended == "closed"
    gateway.pass_ms(400)
    assert other.read() == b"" and other.ended == "closed"


def test_sigterm_while_starting_rejects_queued_requests_as_the_stored_endpoint_list_may_be_stale(
    make_gateway,
):
    # A host of the list in the platform file may have started to drain since. From its start, the gateway
    # must not use a host that discovery lists as draining.
    gateway = make_gateway(listed=False)
    client, other = gateway.client(), gateway.client()
    client.send(PING + gateway.request())
    gateway.run_loop()
    assert client.read() == b"" and gateway.state_machine.state is LifecycleState.STARTING
    gateway.service.shut_down()
    gateway.run_loop()
    assert gateway.state_machine.state is LifecycleState.DRAINING
    replies = client.read()
    assert replies.startswith(b"-ERR closing\r\n-BUSY") and replies.count(b"\r\n") == 2
    other.send(gateway.request("once"))
    gateway.run_loop()
    assert other.read().startswith(b"-BUSY") and gateway.accept_at_host() is None
    gateway.send_list()  # The current list arrives in time for further requests.
    other.send(gateway.request("once"))
    host = gateway.accept_at_host()
    assert host.read()
    gateway.answer_from_host(host, other)


def test_the_listener_closes_in_the_iteration_that_accepts_the_last_connection_of_the_backlog(make_gateway):
    gateway = make_gateway()
    gateway.service.shut_down()
    gateway.pass_ms(gateway.limits.open_ms - 30)
    gateway.now_ms += 40
    gateway.reactor.runUntilCurrent()
    assert gateway.state_machine.state is LifecycleState.CLOSING
    # The listener is closed before the next iteration, so that no connection is accepted and then reset.
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(gateway.listen)
    gateway.run_loop()
    assert gateway.exit_times_ms or gateway.state_machine.clients.connections == {}


def test_signals_received_before_the_event_loop_runs_take_effect_once_it_does(make_gateway, tmp_path):
    gateway = make_gateway()
    before = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)}
    before[signal.SIGUSR1] = signal.getsignal(signal.SIGUSR1)
    try:
        other_discovery = gateway.hosts[0].address
        platform_file = json.loads((tmp_path / "told.json").read_text()) | {"discovery": other_discovery}
        (tmp_path / "told.json").write_text(json.dumps(platform_file))
        gateway.service.install_signal_handlers([signal.SIGHUP, signal.SIGTERM])
        gateway.run_loop()
        assert (
            gateway.accept_at_host().read().startswith(b"GET ")
            and gateway.state_machine.state is LifecycleState.DRAINING
        )
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


def test_further_signals_while_draining_change_the_discovery_address_and_nothing_else(make_gateway, tmp_path):
    gateway = make_gateway()
    client, other_discovery = gateway.client(), Server()
    host = send_to_host(gateway, client)
    gateway.service.shut_down()
    gateway.pass_ms(300)
    platform_file = json.loads((tmp_path / "told.json").read_text()) | {"discovery": other_discovery.address}
    (tmp_path / "told.json").write_text(json.dumps(platform_file))
    gateway.service.reload()
    gateway.service.shut_down()  # The deadlines count from the first shutdown request.
    gateway.run_loop()
    assert other_discovery.accept().read().startswith(b"GET ")
    gateway.pass_ms(gateway.limits.open_ms - 300 + 1)
    assert gateway.state_machine.state is LifecycleState.CLOSING
    host.send(VALUE)
    gateway.run_loop()
    assert client.read() == VALUE and client.ended == "closed"


def test_failing_a_request_at_the_shutdown_deadline_cancels_an_attempt_that_is_still_connecting(make_gateway):
    gateway = make_gateway(lanes=LONG_TARGET_LANES)
    gateway.delay_connects()
    client = gateway.client()
    client.send(gateway.request("once", d=60000))
    gateway.run_loop()
    assert gateway.delayed_connects
    gateway.service.shut_down()
    gateway.pass_ms(gateway.limits.leave_ms + 1)
    assert client.read() == ERR
    gateway.release_connects()
    host = gateway.accept_at_host()
    assert host.read() == b"" and host.ended


# Clients that disconnect.


def test_no_attempt_starts_for_a_client_that_disconnects_while_the_host_connection_is_established(
    make_gateway,
):
    gateway = make_gateway()
    gateway.delay_connects()
    client = gateway.client()
    client.send(gateway.request("once"))
    gateway.run_loop()
    client.close()
    gateway.run_loop()
    gateway.release_connects()
    host = gateway.accept_at_host()
    assert host.read() == b"" and host.ended and gateway.state_machine.context.counts["unwanted"] == 1
    assert not gateway.state_machine.requests.in_flight and not gateway.state_machine.hosts.by_attempt
    assert all(
        endpoint.health.state is HostState.HEALTHY and not endpoint.health.failures
        for endpoint in gateway.state_machine.endpoints.by_name.values()
    )


def test_no_second_attempt_starts_for_a_client_that_disconnects_during_the_first(make_gateway):
    gateway = make_gateway(hosts=2)
    client = gateway.client()
    client.send(gateway.request())
    gateway.run_loop()
    host = gateway.accept_at_host(0) or gateway.accept_at_host(1)
    assert host.read()
    client.close()
    gateway.run_loop()
    host.close()
    gateway.pass_ms(400)
    assert gateway.accept_at_host(0) is None and gateway.accept_at_host(1) is None


def test_requests_that_wait_for_the_counter_are_not_forwarded_after_their_client_disconnects(make_gateway):
    gateway = make_gateway()
    gateway.counter_answers = False
    client = gateway.client()
    for _ in range(5):
        client.send(gateway.request())
    gateway.run_loop()
    client.close()
    gateway.run_loop()
    gateway.counter_answers = True
    gateway.pass_ms(400)
    assert gateway.accept_at_host() is None and gateway.state_machine.context.counts["client_gone"] == 5


LARGE_ANSWER = answer(60000 * b"x")


def fill_write_buffer(gateway, client):
    """Answer requests until the unread answers fill the write buffers; return the number of answers."""
    answer_count = 0
    while not next(iter(gateway.state_machine.clients.connections)).write_paused:
        host = send_to_host(gateway, client, "read")
        host.send(LARGE_ANSWER)
        gateway.run_loop()
        host.close()
        gateway.run_loop()
        answer_count += 1
    return answer_count


def test_the_close_by_a_client_that_reads_no_answers_is_detected(make_gateway):
    gateway = make_gateway()
    client = gateway.client(buffer_bytes=16384)
    fill_write_buffer(gateway, client)
    client.send(gateway.request())  # Buffered, and not parsed.
    gateway.run_loop()
    assert gateway.accept_at_host() is None
    client.sock.shutdown(socket.SHUT_WR)
    gateway.run_loop()
    assert (
        not gateway.state_machine.clients.connections
        and gateway.state_machine.requests.bytes_in_flight() == 0
    )


def test_a_slow_reader_whose_connection_is_closing_receives_its_whole_answers(make_gateway):
    gateway = make_gateway()
    client = gateway.client(buffer_bytes=16384)
    answer_count = fill_write_buffer(gateway, client)
    close_listener(gateway)
    start_ms, received = gateway.now_ms, b""
    while not client.ended:
        client.wait_until_readable()
        received += client.read(4096)
        gateway.pass_ms(40)
    # Far longer than the time limit of a client that has read all answers and does not close.
    assert gateway.now_ms - start_ms > 2 * gateway.limits.close_ms
    assert received == answer_count * LARGE_ANSWER and client.ended == "closed"


# Changes while a connection to a host is established.


def test_nothing_is_sent_to_a_host_that_starts_to_drain_while_the_connection_is_established(make_gateway):
    gateway = make_gateway()
    gateway.delay_connects()
    client = gateway.client()
    client.send(gateway.request("once"))
    gateway.run_loop()
    gateway.send_list(lifecycle="terminating")
    gateway.release_connects()
    host = gateway.accept_at_host()
    assert host.read() == b"" and host.ended
    assert client.read().startswith(b"-BUSY")  # The request never ran, and there is no other host.


def test_a_keyed_request_is_not_retried_past_its_idempotency_window_on_a_slow_connection(make_gateway):
    lanes = [lane | {"WindowMs": 300} if lane["Repeat"] == "keyed" else lane for lane in SETTINGS["Lanes"]]
    for late_ms, repeats in (200, True), (320, False):
        gateway = make_gateway(hosts=2, lanes=lanes)
        client = gateway.client()
        client.send(gateway.request("mark", more=b",k=5c"))
        gateway.run_loop()
        first = 0 if (host := gateway.accept_at_host(0)) else 1
        host = host or gateway.accept_at_host(1)
        assert host.read()
        gateway.delay_connects()
        host.close()  # The request may have run.
        gateway.run_loop()
        assert gateway.delayed_connects
        gateway.now_ms += late_ms
        gateway.release_connects()
        second_host = gateway.accept_at_host(1 - first)
        assert bool(second_host.read()) == repeats
        if repeats:
            gateway.answer_from_host(second_host, client)
        else:
            assert client.read() in (ERR, b"-BUSY\r\n")


def test_an_idle_connection_that_the_host_closes_just_before_its_reuse_is_not_written_to(make_gateway):
    gateway = make_gateway()
    client = gateway.client()
    client.send(gateway.request())
    idle_connection = gateway.accept_at_host()
    idle_connection.read()
    gateway.answer_from_host(idle_connection, client)
    gateway.now_ms += 50
    gateway.counter_answers = False
    client.send(gateway.request("once"))
    gateway.run_loop()  # The request waits for the counter.
    for peer in gateway.counter_peers:
        if b"TALLY" in peer.read():
            peer.send(b"$1\r\n1\r\n")
    idle_connection.close()  # The gateway has read neither the total nor this close.
    gateway.run_loop()
    new_connection = gateway.accept_at_host()
    assert new_connection.read()
    gateway.answer_from_host(new_connection, client)


# Long, slow and endless messages.


def test_a_long_answer_on_a_slow_connection_reaches_the_client(make_gateway):
    gateway = make_gateway(lanes=LONG_TARGET_LANES)
    client = gateway.client()
    host = send_to_host(gateway, client)
    long_answer = answer(4000 * b"x")
    # One piece each 200 ms, in total longer than the timeout of a stalled answer.
    for at in range(0, len(long_answer), 800):
        host.send(long_answer[at : at + 800])
        gateway.pass_ms(200)
    assert client.read() == long_answer


def test_an_answer_that_stalls_in_the_middle_fails_soon(make_gateway):
    gateway = make_gateway(lanes=LONG_TARGET_LANES)
    client = gateway.client()
    host = send_to_host(gateway, client)
    host.send(VALUE[:9])
    gateway.pass_ms(2 * gateway.limits.answer_ms + 20)
    assert client.read() == ERR and host.read() == b"" and host.ended


def test_a_well_formed_answer_that_trickles_in_fails_within_the_total_time_limit(make_gateway):
    gateway = make_gateway(lanes=LONG_TARGET_LANES)
    client = gateway.client()
    host = send_to_host(gateway, client, d=3900)
    host.send(b"*3\r\n$60000\r\n")
    start_ms = gateway.now_ms
    while gateway.state_machine.context.counts["forward_reset"] == 0 and gateway.now_ms < start_ms + 3500:
        host.send(b"x")
        gateway.pass_ms(100)
    assert client.read() == ERR and gateway.now_ms - start_ms <= gateway.limits.answer_most_ms + 400


def test_a_long_command_on_a_slow_connection_is_accepted_and_a_partial_one_times_out(make_gateway):
    gateway = make_gateway()
    client, stalled, endless = gateway.client(), gateway.client(), gateway.client()
    request = gateway.request("once", body=(2000 * b"x",))
    stalled.send(request[:50])
    endless.send(b"*5\r\n$9\r\nAPI.WRITE\r\n$9\r\n")
    piece = len(request) // 4 + 1
    for at in range(0, len(request), piece):
        client.send(request[at : at + piece])
        gateway.pass_ms(700)  # In total longer than the timeout of a stalled command.
        endless.send(b"1")
    assert gateway.state_machine.context.counts["taken"] == 1 and gateway.accept_at_host().read()
    assert stalled.read() == b"-ERR command not ended\r\n" and stalled.ended == "closed"
    while endless.ended == "" and gateway.now_ms < 1e13:
        gateway.pass_ms(500)
        if endless.read().startswith(b"-ERR"):
            break
        endless.send(b"")
    assert endless.ended == "closed" and gateway.state_machine.context.counts["malformed"] == 2


# Responses of discovery.


def known_addresses(gateway):
    return sorted(endpoint.address for endpoint in gateway.state_machine.endpoints.by_name.values())


def test_lists_may_arrive_indented_in_pieces_and_with_empty_lines_between(make_gateway):
    gateway = make_gateway(hosts=2, known=False, listed=False)
    text = json.dumps(gateway.endpoint_list(), indent=2).encode() + b"\n"
    watch = gateway.newest_watch()
    watch.send(WATCH_RESPONSE_HEAD)
    for at in range(0, len(text), 37):
        watch.send(chunk(text[at : at + 37]))
        gateway.run_loop(2)
    assert known_addresses(gateway) == sorted(host.address for host in gateway.hosts)
    gateway.version += 5
    second_list = (
        json.dumps(gateway.endpoint_list(lifecycle="terminated"), indent="\t").replace("\n", "\r\n").encode()
    )
    watch.send(chunk(b"\n") + chunk(second_list + b"\r\n\n"))
    gateway.run_loop()
    assert known_addresses(gateway) == [] and gateway.state_machine.watch.version == gateway.version
    assert gateway.state_machine.context.counts["watch_spoilt"] == 0


def test_a_list_without_a_length_that_is_cut_off_by_a_reset_changes_nothing(make_gateway):
    gateway = make_gateway(hosts=2, known=False, listed=False)
    text = json.dumps(gateway.endpoint_list(), indent=1).encode()
    watch = gateway.newest_watch()
    watch.send(b"HTTP/1.1 200 OK\r\n\r\n" + text[:-40])
    gateway.run_loop()
    watch.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    watch.close()
    gateway.run_loop()
    assert known_addresses(gateway) == [] and gateway.state_machine.state is LifecycleState.STARTING
    gateway.pass_ms(150)
    watch = gateway.newest_watch()
    watch.send(b"HTTP/1.1 200 OK\r\n\r\n" + text + b"\n")  # Complete this time.
    gateway.run_loop()
    assert len(known_addresses(gateway)) == 2 and gateway.state_machine.state is LifecycleState.SERVING


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunk(b'{"generation":2}{"generation":3}\n'),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunk(b'{"generation":"x","instances":[]}\n'),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunk(b'{"generation":3,\n"instances":[}\n'),
        b"nothing of the kind\r\n\r\n",
    ],
)
def test_a_malformed_response_of_discovery_is_logged_counted_and_ends_only_its_own_watch(
    make_gateway, response
):
    gateway = make_gateway()
    client = gateway.client()
    gateway.service.handle_input(Input.ADDRESSES_CHANGED, False, True)
    gateway.run_loop()
    gateway.newest_watch().send(response)
    gateway.run_loop()
    assert gateway.watches[-1].read() == b"" and gateway.watches[-1].ended
    assert gateway.state_machine.context.counts["watch_spoilt"] == 1
    assert [figures["why"] for event, figures in gateway.log_events if event == "watch malformed"]
    host = send_to_host(gateway, client)  # The last list stays in use.
    gateway.answer_from_host(host, client)
    gateway.pass_ms(200)
    assert gateway.newest_watch() is gateway.watches[-1] and len(gateway.watches) == 3  # A new watch is open.


def test_the_watch_of_a_list_that_never_ends_is_replaced(make_gateway):
    gateway = make_gateway(known=False, listed=False)
    watch = gateway.newest_watch()
    watch.send(WATCH_RESPONSE_HEAD + chunk(b'{"generation":9,"instances":[\n'))
    start_ms = gateway.now_ms
    while len(gateway.watches) < 2 and gateway.now_ms < start_ms + 6000:
        try:
            watch.send(chunk(b" \n"))
        except OSError:
            break
        gateway.pass_ms(200)
        gateway.newest_watch()
    gateway.pass_ms(300)
    assert gateway.newest_watch() is not watch and gateway.now_ms - start_ms < 3500


# Floods, and exhaustion of file descriptors.


def test_a_flood_behind_a_malformed_command_does_not_prevent_outstanding_answers(make_gateway):
    gateway = make_gateway()
    client, other = gateway.client(), gateway.client()
    host = send_to_host(gateway, client)
    client.send(b"?\r\n")
    gateway.run_loop()
    sent = 0
    for _ in range(200):  # More than is read from a closing connection.
        try:
            sent += client.sock.send(8192 * b"x")
        except BlockingIOError:
            gateway.run_loop(1)
    assert sent > gateway.limits.unread and gateway.state_machine.context.counts["malformed"] == 1
    host.send(VALUE)
    gateway.run_loop()
    assert client.read().startswith(VALUE + b"-ERR not a RESP2 value\r\n") and client.ended == "closed"
    host = send_to_host(gateway, other)
    gateway.answer_from_host(host, other)


def test_a_flood_of_idle_clients_leaves_file_descriptors_for_discovery_counter_and_hosts(make_gateway):
    gateway = make_gateway(sockets=48)
    gateway.watches[-1].close()  # Discovery fails.
    gateway.run_loop()
    worker = gateway.client()
    host = send_to_host(gateway, worker)
    gateway.answer_from_host(host, worker)
    host.close()
    idle = []
    for _ in range(100):
        idle.append(Peer(socket.create_connection(gateway.listen)))
        gateway.run_loop(1)
    assert (
        gateway.state_machine.clients.accept_paused
        and len(gateway.state_machine.clients.connections) < gateway.limits.client_over
    )
    for peer in gateway.counter_peers:
        peer.close()  # The counter's connections break and are opened again.
    gateway.counter_peers = []
    gateway.pass_ms(700)
    worker.send(gateway.request())
    gateway.run_loop()
    gateway.pass_ms(100)
    host = gateway.accept_at_host()
    assert gateway.counter_peers and host.read()
    gateway.answer_from_host(host, worker)
    version = gateway.version
    gateway.pass_ms(2500)
    gateway.next_watch()
    gateway.send_list()  # Discovery is available again.
    assert (
        gateway.state_machine.watch.version > version and gateway.state_machine.watch.state is WatchState.OPEN
    )
    assert len(gateway.reactor.getReaders()) <= 48
    for peer in idle:
        peer.close()


# The event loop.


def test_an_iteration_of_the_event_loop_that_takes_long_is_counted_and_logged(make_gateway):
    """Guards against a gateway that stops for seconds without a trace of it in its log."""
    gateway = make_gateway()
    counts = gateway.state_machine.context.counts

    def take(ms):
        gateway.now_ms += ms

    gateway.pass_ms(1000)
    gateway.reactor.callLater(0, take, SLOW_ITERATION_MS)
    gateway.run_loop()
    assert counts["loop_slow"] == 0
    gateway.reactor.callLater(0, take, SLOW_ITERATION_MS + 50)
    gateway.run_loop()
    assert counts["loop_slow"] == 1
    assert gateway.log_events[-1] == ("event loop slow", {"ms": SLOW_ITERATION_MS + 50})
