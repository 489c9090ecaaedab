"""The gateway's state machine with its protocols on fake transports: a test for each failure.

The tests guard against requests that stay unanswered, are answered twice or run twice, against peers that
send malformed data, fail, stall or leave, and against exhausted memory and sockets.
"""

from collections import Counter
from random import Random

from fake_gateway import InMemoryGateway
from pytest import raises

from granitedock.policy.states import HostState
from granitedock.service.client_connections import MAX_PENDING_COMMANDS, ClientState
from granitedock.service.clock import Clock
from granitedock.service.counter_protocol import PING
from granitedock.service.discovery_protocol import parse_endpoint_list
from granitedock.service.discovery_watch import WatchState
from granitedock.service.host_protocol import HostProtocol
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import LifecycleEvent, LifecycleState
from granitedock.service.resp import encode_command

EMPTY_UPDATE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
FAILURE_ANSWERS = (b"-BUSY\r\n", b"-ERR failed\r\n")  # The answers to a request that is not served.


def answer_counter_call(gateway, counter_transports, total=b"1"):
    """Answer the pending counter call with `total`."""
    transport = next(transport for transport in counter_transports if b"TALLY" in transport.written)
    transport.take_written()
    transport.protocol.dataReceived(b"$%d\r\n%b\r\n" % (len(total), total))


def customers_with_accounts(gateway):
    """Return the customers whose quota accounts the gateway keeps."""
    return gateway.state_machine.policy.rate_limiter.accounts


def serving_gateway(**more):
    """Return a serving gateway, the transports of its counter connections and the transport of a client."""
    gateway = InMemoryGateway(**more)
    counter_transports = gateway.open_initial_connections()
    gateway.watch.protocol.dataReceived(EMPTY_UPDATE)
    return gateway, counter_transports, gateway.client()


def forward_request(gateway, counter_transports, client, **more):
    """Send a request that the counter admits, and return the transport of its new host connection."""
    gateway.send_request(client, **more)
    answer_counter_call(gateway, counter_transports)
    return gateway.connect_succeeds()


def serve_fast_requests(gateway, counter_transports, client, requests=60):
    """Serve requests one after another, and return the transports of the host connections, which are idle.

    The hosts answer in a millisecond, so that the gateway allows them many concurrent requests.
    """
    hosts = []
    for _ in range(requests):
        gateway.send_request(client)
        answer_counter_call(gateway, counter_transports)
        if gateway.pending_connects:
            hosts.append(gateway.connect_succeeds())
        gateway.now += 1
        next(host for host in hosts if host.take_written()).protocol.dataReceived(VALUE)
        gateway.now += 5
    client.take_written()
    return hosts


def test_a_request_is_forwarded_unchanged_except_for_its_time_left_and_its_response_is_returned_unchanged():
    gateway, counter_transports, client = serving_gateway()
    host = forward_request(
        gateway,
        counter_transports,
        client,
        request_class="once",
        more=b",k=5c0f6e1a2b3d4c59",
        body=(b"\r\n*1",),
    )
    forwarded = host.take_written()
    assert b"$9\r\nAPI.WRITE\r\n$16\r\n00000000000000a1\r\n$16\r\n0123456789abcdef\r\n" in forwarded
    assert b"c=once,t=p,d=1000,units=1,spread=1,first=0,k=5c0f6e1a2b3d4c59\r\n$4\r\n\r\n*1\r\n" in forwarded
    for byte in VALUE:
        host.protocol.dataReceived(bytes([byte]))
    assert client.take_written() == VALUE
    gateway.now += 10
    gateway.send_request(client)
    answer_counter_call(gateway, counter_transports)
    assert b"API.READ" in host.take_written() and not gateway.pending_connects  # The connection is reused.


def test_a_log_line_of_the_policy_is_written_to_the_event_log():
    gateway, counter_transports, client = serving_gateway(hosts=1)
    host = None
    for _ in range(3):
        gateway.send_request(client, request_class="once")
        answer_counter_call(gateway, counter_transports)
        host = host or gateway.connect_succeeds()
        host.protocol.dataReceived(b"-ERR failed\r\n")
        gateway.now += 10
    # The request may have run: the client must not retry it.
    assert client.take_written() == 3 * b"-ERR failed\r\n"
    assert ("decision", {"line": "host healthy to ejected: 3 failures, 0 in flight"}) in gateway.log_events


def test_an_exception_in_a_decision_leaves_no_request_unanswered():
    gateway, counter_transports, client = serving_gateway()
    host = forward_request(gateway, counter_transports, client)

    def raise_error(*_):
        raise TypeError("raised by the test")

    gateway.state_machine.policy.load_balancer.attempt_finished = raise_error
    with raises(TypeError):
        host.protocol.dataReceived(b"-ERR failed\r\n")
    gateway.pass_ms(3000)
    assert client.take_written() == b"-ERR failed\r\n"


def test_the_timers_of_a_finished_request_are_cancelled():
    gateway, counter_transports, client = serving_gateway()
    host = forward_request(gateway, counter_transports, client)
    host.protocol.dataReceived(VALUE)
    assert {timer.input for timer in gateway.timers} <= {None, Input.MAINTENANCE, Input.LIFECYCLE}


def test_a_shutdown_answers_all_accepted_requests_before_the_process_exits():
    gateway, counter_transports, client = serving_gateway()
    idle = gateway.client()
    host = forward_request(gateway, counter_transports, client)
    gateway.handle_input(Input.LIFECYCLE, LifecycleEvent.TERMINATE)
    gateway.pass_ms(400)
    late = gateway.client()  # New connections are still accepted.
    assert not idle.closed and late.protocol.record.state is ClientState.OPEN
    gateway.pass_ms(200)
    assert gateway.listener_closed_at and idle.closed == late.closed == "closed" and not client.closed
    host.protocol.dataReceived(VALUE)
    assert client.take_written() == VALUE and client.closed == "closed" and gateway.exited_at is None
    for transport in idle, late, client:
        transport.protocol.connectionLost()
    assert gateway.exited_at


def test_a_shutdown_fails_requests_that_outlast_its_deadline():
    gateway, counter_transports, client = serving_gateway()
    forward_request(gateway, counter_transports, client, request_class="once", d=60000)
    gateway.handle_input(Input.LIFECYCLE, LifecycleEvent.TERMINATE)
    gateway.pass_ms(3600)
    assert client.take_written() == b"-ERR failed\r\n" and gateway.exited_at


def test_ping_is_answered_only_once_the_gateway_is_ready():
    gateway = InMemoryGateway()
    gateway.open_initial_connections()
    client = gateway.client()
    client.protocol.dataReceived(PING)
    assert client.take_written() == b""
    gateway.watch.protocol.dataReceived(EMPTY_UPDATE)
    assert client.take_written() == b"+PONG\r\n"
    without_discovery = InMemoryGateway()
    client = without_discovery.client()
    client.protocol.dataReceived(PING)
    without_discovery.pass_ms(1000)  # Discovery is unavailable: the stored list is used.
    assert client.take_written() == b"+PONG\r\n"
    without_endpoints = InMemoryGateway(hosts=0)
    client = without_endpoints.client()
    client.protocol.dataReceived(PING)
    without_endpoints.pass_ms(3000)
    assert client.take_written() == b""


def test_answers_are_sent_in_the_order_of_the_commands():
    gateway, counter_transports, client = serving_gateway()
    gateway.send_request(client)
    client.protocol.dataReceived(PING + PING)
    assert client.take_written() == b""
    answer_counter_call(gateway, counter_transports)
    gateway.connect_succeeds().protocol.dataReceived(VALUE)
    assert client.take_written() == VALUE + 2 * b"+PONG\r\n"


def test_malformed_input_gets_one_error_answer_and_closes_the_connection():
    for data in (
        b"GET / HTTP/1.1\r\n",
        b"*1\r\n$70000\r\n",
        b"*1\r\n$2\r\nabcd",
        b"*999\r\n",
        b"$-1\r\n",
        b"*+1\r\n",
    ):
        gateway, _, client = serving_gateway()
        client.protocol.dataReceived(data)
        client.protocol.dataReceived(data)
        assert client.take_written().startswith(b"-ERR ") and client.closed == "closed", data
    gateway, _, client = serving_gateway()
    gateway.send_request(client, request_class="unheard")
    assert client.take_written().startswith(b"-ERR ") and client.closed
    gateway, _, client = serving_gateway()
    client.protocol.dataReceived(b"x" * 2000)
    assert client.take_written().startswith(b"-ERR ") and client.closed


def test_a_request_whose_connection_ends_before_its_last_byte_is_sent_is_retried_as_it_cannot_have_run():
    gateway, counter_transports, client = serving_gateway()
    gateway.send_request(client, request_class="once")
    answer_counter_call(gateway, counter_transports)
    host = gateway.connect_succeeds(write_blocked=True)
    host.protocol.connectionLost()
    # A non-idempotent request is retried on the other host.
    assert client.take_written() == b"" and gateway.pending_connects
    host = gateway.connect_succeeds()
    host.protocol.connectionLost()
    # After its last byte is sent, the request may have run.
    assert client.take_written() == b"-ERR failed\r\n"


def test_a_non_idempotent_request_uses_no_idle_connection_for_five_seconds_after_one_was_reset_in_use():
    gateway, counter_transports, client = serving_gateway(hosts=1)
    [host] = serve_fast_requests(gateway, counter_transports, client, 1)
    gateway.send_request(client, request_class="once")
    answer_counter_call(gateway, counter_transports)
    host.protocol.connectionLost()
    assert client.take_written() == b"-ERR failed\r\n"
    for wait_ms, opens_new in (10, True), (10, True), (4990, False):
        gateway.now += wait_ms
        gateway.send_request(client, request_class="once")
        answer_counter_call(gateway, counter_transports)
        assert bool(gateway.pending_connects) == opens_new
        host = gateway.connect_succeeds() if opens_new else host
        host.protocol.dataReceived(VALUE)
        assert client.take_written() == VALUE


def test_a_refused_connection_is_retried_and_a_request_is_rejected_once_all_are_refused():
    gateway, counter_transports, client = serving_gateway()
    gateway.send_request(client, request_class="once")
    answer_counter_call(gateway, counter_transports)
    gateway.connect_fails()
    gateway.connect_fails()
    gateway.connect_fails()
    assert client.take_written() == b"-BUSY\r\n"


def test_the_busy_answer_of_a_host_causes_a_retry_and_is_not_passed_on_for_a_request_that_may_have_run():
    gateway, counter_transports, client = serving_gateway()
    host = forward_request(gateway, counter_transports, client, request_class="once")
    host.protocol.dataReceived(b"-BUSY inflight=7,queue=2\r\n")
    # The host rejected it unread: it is retried on another.
    assert client.take_written() == b"" and gateway.pending_connects
    host = gateway.connect_succeeds()
    host.protocol.connectionLost()
    assert client.take_written() == b"-ERR failed\r\n"


def test_a_timeout_at_a_host_closes_its_idle_connections_too_and_a_late_answer_is_discarded():
    gateway, counter_transports, client = serving_gateway(hosts=1)
    [first] = serve_fast_requests(gateway, counter_transports, client)
    gateway.send_request(client)
    answer_counter_call(gateway, counter_transports)
    second = forward_request(gateway, counter_transports, gateway.client())
    second.protocol.dataReceived(VALUE)
    gateway.pass_ms(3000)
    assert first.closed == second.closed == "aborted" and client.take_written() == b"-BUSY\r\n"
    first.protocol.dataReceived(VALUE)
    first.protocol.connectionLost()
    second.protocol.connectionLost()
    while gateway.pending_connects:
        gateway.connect_fails()
    assert (
        client.take_written() == b""
        and not gateway.state_machine.hosts.by_attempt
        and gateway.state_machine.hosts.open_count == 0
    )


def test_idle_connections_are_closed_before_the_host_closes_them():
    gateway, counter_transports, client = serving_gateway()
    host = forward_request(gateway, counter_transports, client)
    host.protocol.dataReceived(VALUE)
    gateway.pass_ms(4000)
    assert not host.closed
    gateway.pass_ms(2000)
    assert host.closed == "aborted"


def test_the_idle_connections_to_a_host_that_drains_or_restarts_are_closed():
    for change in ({"lifecycle": "terminating"}, {"startedAtMs": 99000.0}):
        gateway, counter_transports, client = serving_gateway(hosts=1)
        host = forward_request(gateway, counter_transports, client)
        host.protocol.dataReceived(VALUE)
        gateway.handle_input(
            Input.ENDPOINTS_RECEIVED,
            gateway.state_machine.watch,
            gateway.endpoint_list(2, 1, whole=False, **change),
        )
        assert host.closed == "aborted" and gateway.state_machine.watch.version == 2


def test_a_response_that_is_too_long_or_malformed_or_stalled_fails_its_attempt_as_one_that_may_have_run():
    responses = (
        b"*1\r\n$99999\r\n",
        b"?\r\n",
        b"*2\r\n$-1\r\n$-1\r\n",
        b"-WHAT\r\n",
        b"-BUSY \x80\r\n",
        b"+OK\r\n",
    )
    for data in (*responses, VALUE[:9]):
        gateway, counter_transports, client = serving_gateway()
        host = forward_request(gateway, counter_transports, client, request_class="once")
        host.protocol.dataReceived(data)
        gateway.pass_ms(300)  # The last response stalls in the middle.
        assert client.take_written() == b"-ERR failed\r\n" and host.closed == "aborted", data


def test_bytes_after_a_complete_response_are_discarded_and_close_the_connection():
    for extra in (VALUE, b"noise", b"-ERR failed\r\n", b"\x00\r\n"):
        gateway, counter_transports, client = serving_gateway(hosts=1)
        host = forward_request(gateway, counter_transports, client)
        host.protocol.dataReceived(VALUE + extra)  # In the same read.
        assert client.take_written() == VALUE and host.closed == "aborted", extra
        gateway.now += 10
        host = forward_request(gateway, counter_transports, client)
        host.unread = extra  # Unread behind the response.
        host.protocol.dataReceived(VALUE)
        assert client.take_written() == VALUE and host.closed == "aborted"
        gateway.now += 10
        host = forward_request(gateway, counter_transports, client)
        host.protocol.dataReceived(VALUE)
        host.unread = extra  # Just before the next forward.
        client.take_written()
        gateway.now += 10
        new_host = forward_request(gateway, counter_transports, client)
        assert host.closed == "aborted" and not host.take_written().count(b"API") > 1
        host.protocol.dataReceived(extra)
        assert client.take_written() == b""
        new_host.protocol.dataReceived(VALUE)
        assert client.take_written() == VALUE and gateway.counts["forward_done"] == 4


def test_a_complete_value_with_malformed_usage_figures_counts_as_a_success():
    for figures in (
        b"$8\r\ncost=nan\r\n$1\r\n?\r\n",
        b":-7\r\n$3\r\n\xff\x00,\r\n",
        b"$0\r\n\r\n$8\r\ncost=inf\r\n",
    ):
        gateway, counter_transports, client = serving_gateway()
        value = b"*3\r\n$5\r\nvalue\r\n" + figures
        forward_request(gateway, counter_transports, client).protocol.dataReceived(value)
        assert (
            client.take_written() == value
            and next(iter(customers_with_accounts(gateway))).account.refund_due == 0
        )


def test_the_connection_of_a_silent_counter_is_replaced_and_its_late_total_is_still_used():
    gateway, counter_transports, client = serving_gateway()
    gateway.send_request(client)
    old = next(transport for transport in counter_transports if transport.written)
    gateway.pass_ms(2000)
    assert not old.closed and any(event == "counter connection replaced" for event, _ in gateway.log_events)
    account = customers_with_accounts(gateway) and next(iter(customers_with_accounts(gateway))).account
    old.protocol.dataReceived(b"$2\r\n17\r\n")
    assert account.current == 17 and old.closed == "aborted"


def test_a_counter_reply_without_a_number_counts_as_added_and_closes_its_connection():
    for reply in (b"$3\r\nnan\r\n", b"$1\r\n?\r\n", b"+OK\r\n", b"$-1\r\n", b"noise\r\n", b"$9\r\n1"):
        gateway, counter_transports, client = serving_gateway()
        gateway.send_request(client)
        gateway.send_request(client)
        old = next(transport for transport in counter_transports if transport.written)
        account = next(iter(customers_with_accounts(gateway))).account
        old.protocol.dataReceived(reply)
        gateway.pass_ms(50)
        assert old.closed == "aborted" and account.current == 1 and account.refund_due == 0, reply
        # Whether the second call was added is unknown.
        assert gateway.counts["call_spoilt"] == gateway.counts["call_reset"] == 1
        gateway.pass_ms(600)
        assert any(pending[2] is Input.COUNTER_DISCONNECTED for pending in gateway.pending_connects)


def test_a_platform_file_with_other_addresses_moves_the_counter_connections_and_the_watch():
    gateway, counter_transports, client = serving_gateway()
    gateway.send_request(client)
    old = next(transport for transport in counter_transports if transport.written)
    gateway.handle_input(Input.ADDRESSES_CHANGED, True, True)
    assert gateway.watch.closed == "aborted" and not old.closed
    assert all(transport.closed == "aborted" for transport in counter_transports if transport is not old)
    gateway.handle_input(Input.ADDRESSES_CHANGED, True, True)  # Again, before any connection is established.
    moved = [gateway.connect_succeeds(0) for _ in range(len(gateway.pending_connects))]
    assert sum(not transport.closed for transport in moved) == 1 + len(counter_transports)
    old.protocol.dataReceived(b"$2\r\n17\r\n")  # A total of the old counter is still used.
    assert next(iter(customers_with_accounts(gateway))).account.current == 17 and old.closed == "aborted"
    assert not gateway.state_machine.counter.retired
    gateway.connect_succeeds().protocol.dataReceived(VALUE)
    assert client.take_written() == VALUE
    gateway.send_request(client)
    assert any(b"TALLY" in transport.written for transport in moved if not transport.closed)


def test_an_idle_counter_connection_is_kept_open_by_pings_and_a_lost_one_is_reopened():
    gateway, counter_transports, _ = serving_gateway()
    gateway.pass_ms(3200)
    assert all(transport.take_written() == PING for transport in counter_transports)
    counter_transports[0].protocol.connectionLost()
    gateway.pending_connects.clear()
    gateway.pass_ms(600)
    assert len(gateway.pending_connects) == 1


def test_connection_attempts_to_an_unavailable_counter_are_limited_to_one_per_call_and_two_per_second():
    gateway, counter_transports, client = serving_gateway()
    for transport in counter_transports:
        transport.protocol.connectionLost()
    connects = calls = 0
    for _ in range(100):
        before = gateway.counts["calls"]
        gateway.send_request(gateway.client(), customer=int(gateway.now))
        calls += gateway.counts["calls"] - before
        gateway.pass_ms(100)
        for index in reversed(range(len(gateway.pending_connects))):
            if gateway.pending_connects[index][2] is Input.COUNTER_DISCONNECTED:
                connects += 1
                gateway.connect_fails(index)
    assert connects <= calls + 20 * len(counter_transports)


def test_a_watch_without_heartbeats_is_replaced_by_one_that_continues_from_its_version():
    gateway, _, _ = serving_gateway()
    gateway.pass_ms(4000)
    assert gateway.watch.closed == "aborted"
    new_watch = gateway.connect_succeeds()
    assert b"after=1 " in new_watch.take_written()
    gateway.watch.protocol.connectionLost()  # The end of the old watch does not affect the new one.
    assert gateway.state_machine.watch.state is WatchState.CONNECTED  # No line is received yet.
    new_watch.protocol.dataReceived(EMPTY_UPDATE)
    assert gateway.state_machine.watch.state is WatchState.OPEN


def test_a_malformed_endpoint_list_changes_nothing_and_closes_its_watch():
    for line in (b"[]\n", b'{"generation":2}x\n', b'{"generation":2,"instances":[{"instanceId":"a"}]}\n'):
        gateway, counter_transports, client = serving_gateway()
        gateway.watch.protocol.dataReceived(b"%x\r\n%b\r\n" % (len(line), line))
        assert (
            gateway.watch.closed == "aborted" and len(gateway.state_machine.policy.load_balancer.ready) == 2
        )
        forward_request(gateway, counter_transports, client)


def test_a_client_that_reads_no_answers_is_disconnected_and_a_disconnected_client_causes_no_retry():
    gateway, counter_transports, client = serving_gateway()
    hosts = serve_fast_requests(gateway, counter_transports, client)
    for _ in range(5):
        gateway.send_request(client)
        answer_counter_call(gateway, counter_transports)
        hosts += [gateway.connect_succeeds()] if gateway.pending_connects else []
    client.protocol.pauseProducing()
    long_value = VALUE.replace(b"$5\r\nvalue", b"$60000\r\n" + 60000 * b"x")
    for host in hosts:
        host.protocol.dataReceived(long_value)
    # Each request has its one answer; a value for which there is no room any more becomes an error.
    kept = gateway.limits.unread // len(long_value)
    assert client.take_written() == kept * long_value + (5 - kept) * b"-ERR failed\r\n" and not client.closed
    gateway.now += 10
    leaving_client = gateway.client()
    gateway.send_request(leaving_client)
    answer_counter_call(gateway, counter_transports)
    leaving_client.protocol.connectionLost()
    next(host for host in hosts if b"API" in host.take_written()[-200:]).protocol.connectionLost()
    assert (
        not gateway.pending_connects
        and not gateway.state_machine.requests.in_flight
        and gateway.state_machine.requests.bytes_in_flight() == 0
    )
    gateway.pass_ms(gateway.limits.flush_ms + 200)
    assert client.closed == "aborted" and gateway.state_machine.requests.bytes_in_flight() == 0
    client.protocol.connectionLost()
    assert gateway.state_machine.replies.unread_bytes == 0


def test_requests_beyond_the_memory_limit_are_rejected_and_idle_clients_closed_beyond_the_socket_limit():
    gateway, counter_transports, client = serving_gateway(memory_mb=27)
    for _ in range(15):
        gateway.send_request(client, request_class="once", body=(60000 * b"x",))
    assert client.take_written() == b""  # The rejection waits behind the first answers.
    assert gateway.counts["deferred"] == 1
    gateway, counter_transports, client = serving_gateway(sockets=20)
    [host] = serve_fast_requests(gateway, counter_transports, client, 1)
    gateway.now += 2100
    others = [gateway.client() for _ in range(2)]
    others.append(gateway.client())
    assert client.closed == "ended" and gateway.accepting is False
    client.protocol.connectionLost()
    assert gateway.accepting is True
    gateway.client()
    assert not any(transport.closed for transport in others)  # Their commands may be in transit.
    assert gateway.accepting is False
    gateway.send_request(others[0])
    answer_counter_call(gateway, counter_transports)
    host.protocol.dataReceived(VALUE)
    others[2].protocol.dataReceived(PING)  # A PING is not a request.
    others[1].protocol.dataReceived(PING[:6])
    others[1].unread = PING[6:]
    gateway.pass_ms(150)
    assert not others[1].closed  # Its command is sent, but the gateway has not read it yet.
    others[1].unread = b""
    gateway.pass_ms(100)
    assert others[1].closed == others[2].closed == "ended"  # Clients without a request are closed first.
    assert not others[0].closed
    gateway.pass_ms(2000)
    assert others[0].closed == "ended"
    gateway, counter_transports, client = serving_gateway(sockets=20)
    serve_fast_requests(gateway, counter_transports, client)
    for _ in range(9):
        gateway.send_request(client)
        answer_counter_call(gateway, counter_transports)
    assert gateway.counts["forward_moot"] and len(gateway.pending_connects) <= 8
    assert all(
        host.health.state is HostState.HEALTHY for host in gateway.state_machine.policy.load_balancer.ready
    )


def test_a_malformed_or_out_of_range_request_is_answered_with_an_error_and_charged_to_no_customer():
    valid = b"c=read,t=p,d=480,units=2,spread=1,first=0"
    invalid = [valid.replace(*change) for change in (
        (b"c=read", b"c=unheard"), (b"c=read", b"c=once"), (b"c=read", b"c=mark"), (b"t=p", b"t=q"),
        (b"d=480", b"d=nan"), (b"d=480", b"d=-1"), (b"d=480", b"d=4_8"), (b"d=480,", b""), (b"d=", b"d=1,d="),
        (b"units=2", b"units=nan"), (b"units=2", b"units=1e3"), (b"units=2", b"units=0"),
        (b"units=2", b"units=-2"), (b"units=2", b"units=9"), (b"spread=1", b"spread=0"),
        (b"spread=1", b"spread=2"), (b"first=0", b"first=1"), (b"first=0", b"first=x"),
    )]  # fmt: skip
    arguments = [(b"00000000000000a1", b"7", text) for text in invalid]
    arguments += [(b"a1", b"7", valid), (b"ffffffffffffffff", b"7", valid), (b"00000000000000a1", b"", valid)]
    arguments += [(b"00000000000000a1", valid)]
    for command_arguments in arguments:
        gateway, counter_transports, client = serving_gateway()
        client.protocol.dataReceived(encode_command(b"API.READ", *command_arguments))
        assert client.take_written().startswith(b"-ERR ") and client.closed == "closed", command_arguments
        assert not gateway.state_machine.requests.customers and not any(
            transport.written for transport in counter_transports
        )
        client.protocol.dataReceived(encode_command(b"API.READ", b"00000000000000a1", b"7", valid))
        # Commands after the error are not read.
        assert not client.written and not gateway.state_machine.requests.in_flight


def test_a_second_request_with_the_id_of_one_in_flight_is_rejected_and_the_id_is_free_afterwards():
    gateway, counter_transports, client = serving_gateway()
    host = forward_request(gateway, counter_transports, client)
    other = gateway.client()
    gateway.next_id -= 1
    gateway.send_request(other)
    assert other.take_written() == b"-ERR id in use\r\n" and other.closed
    host.protocol.dataReceived(VALUE)
    assert client.take_written() == VALUE
    gateway.now += 10
    gateway.next_id -= 1
    gateway.send_request(client)
    answer_counter_call(gateway, counter_transports)
    host.protocol.dataReceived(VALUE)
    assert client.take_written() == VALUE


def test_removed_hosts_and_idle_customers_are_evicted_once_they_have_nothing_in_flight():
    gateway, counter_transports, client = serving_gateway()
    host = forward_request(gateway, counter_transports, client)
    state_machine = gateway.state_machine
    for version in range(2, 50):  # Hosts are added and removed.
        update = gateway.endpoint_list(version, 1, "in_service" if version % 2 else "terminated", False)
        entries = [entry._replace(name=f"x{version // 2}") for entry in update.entries]
        gateway.handle_input(Input.ENDPOINTS_RECEIVED, state_machine.watch, update._replace(entries=entries))
    gateway.handle_input(
        Input.ENDPOINTS_RECEIVED, state_machine.watch, gateway.endpoint_list(50, 2, "terminated")
    )
    assert len(state_machine.endpoints.by_name) == len(state_machine.policy.load_balancer.tracked_hosts) == 1
    host.protocol.dataReceived(VALUE)
    gateway.handle_input(
        Input.ENDPOINTS_RECEIVED, state_machine.watch, gateway.endpoint_list(51, 2, "terminated", False)
    )
    assert (
        client.take_written() == VALUE
        and not state_machine.endpoints.by_name
        and not state_machine.policy.load_balancer.tracked_hosts
    )
    # No cancelled timer keeps a request in memory.
    assert all(timer.input or not timer.arguments for timer in gateway.timers)
    for _ in range(100):
        gateway.pass_ms(1000)
        gateway.send_request(gateway.client(), customer=gateway.next_id % 1000)
    assert len(state_machine.policy.rate_limiter.accounts) < 15 and len(state_machine.requests.customers) < 25


def test_a_client_that_is_idle_or_stalls_in_the_middle_of_a_command_is_closed_within_three_seconds():
    gateway, counter_transports, client = serving_gateway()
    stalled, malformed, busy = gateway.client(), gateway.client(), gateway.client()
    stalled.protocol.dataReceived(PING[:6])
    forward_request(gateway, counter_transports, malformed)
    malformed.protocol.dataReceived(b"?\r\n")
    host = forward_request(gateway, counter_transports, busy)
    gateway.pass_ms(2700)
    assert client.take_written() == b"" and stalled.take_written().startswith(b"-ERR ")
    assert malformed.take_written().startswith(b"-ERR failed\r\n-ERR ") and not busy.closed
    assert client.closed == "ended" and stalled.closed == malformed.closed == "closed"
    host.protocol.dataReceived(VALUE)
    assert busy.take_written() == VALUE
    gateway.pass_ms(1900)
    assert not busy.closed
    gateway.pass_ms(200)
    # It sends no more requests, and occupies a connection that other clients need.
    assert busy.closed == "ended"
    stalled.protocol.dataReceived(300000 * b"x")
    assert stalled.closed == "closed" and stalled.protocol.dropped_bytes == 300000


def test_commands_pipelined_behind_a_slow_one_are_bounded_and_all_answered_in_the_end():
    gateway, counter_transports, client = serving_gateway()
    host = forward_request(gateway, counter_transports, client)
    client.protocol.dataReceived(2000 * PING)
    assert len(client.protocol.record.pending) == MAX_PENDING_COMMANDS and gateway.counts["input_held"] == 1
    host.protocol.dataReceived(VALUE)
    assert client.take_written() == VALUE + 2000 * b"+PONG\r\n" and not client.closed


def test_the_clock_never_steps_back_and_always_advances():
    unix_s, monotonic_s = [100.0], [5.0]
    clock = Clock(lambda: unix_s[0], lambda: monotonic_s[0])
    unix_s[0], monotonic_s[0] = 90.0, 6.0
    assert clock() == 100500.0
    unix_s[0], monotonic_s[0] = 91.0, 7.0
    assert clock() == 101000.0
    unix_s[0] = 102.0
    assert clock() == 102000.0


def test_each_request_gets_one_answer_before_its_deadline_whatever_events_occur_in_whatever_order():
    for seed in range(40):
        random = Random(seed)
        gateway, counter_transports, _ = serving_gateway(hosts=3)
        deadlines, answered, hosts = {}, [], []
        for step in range(300):
            gateway.pass_ms(random.choice((0, 0, 1, 5, 20, 200, 1500)) if step < 299 else 5000)
            open_hosts = [transport for transport in hosts if not transport.closed]
            choice = random.randrange(9) if step < 299 else 8
            if choice < 3 and len(deadlines) < 10:
                transport = gateway.client()
                deadlines[transport] = gateway.now + 3000
                gateway.send_request(transport, request_class=random.choice(("read", "once")))
            elif choice == 3 and gateway.pending_connects:
                random.choice((gateway.connect_fails, gateway.connect_succeeds))(
                    random.randrange(len(gateway.pending_connects))
                )
            elif choice == 4 and open_hosts:
                transport = random.choice(open_hosts)
                transport.closed = "lost"
                transport.protocol.connectionLost()
            elif choice == 5 and open_hosts:
                response = random.choice(
                    (VALUE, VALUE, b"-BUSY\r\n", b"-ERR failed\r\n", b"?\r\n", VALUE[:9])
                )
                random.choice(open_hosts).protocol.dataReceived(response)
            elif choice == 6:
                state = random.choice(("in_service", "terminating", "terminated"))
                update = gateway.endpoint_list(3, random.randrange(4), state, random.random() < 0.3)
                gateway.handle_input(Input.ENDPOINTS_RECEIVED, gateway.state_machine.watch, update)
            elif choice == 7:
                random.choice(counter_transports).protocol.dataReceived(
                    random.choice((b"$1\r\n3\r\n", b"-BUSY\r\n"))
                )
            while gateway.pending_connects and random.random() < 0.8:
                transport = gateway.connect_succeeds()
                if isinstance(transport.protocol, HostProtocol):
                    hosts.append(transport)
            attempts_in_flight = Counter(
                attempt.request for attempt in gateway.state_machine.hosts.by_attempt
            )
            # Never two attempts of a request at once.
            assert not attempts_in_flight or max(attempts_in_flight.values()) == 1
            for transport in [transport for transport in deadlines if transport.written]:
                assert transport.written_at <= deadlines.pop(transport)
                transport.protocol.connectionLost()
                answered.append((transport, transport.written))
                assert transport.written in (VALUE, b"-BUSY\r\n", b"-ERR failed\r\n")
        # Nothing follows the answer.
        assert not deadlines and all(transport.written == answer for transport, answer in answered)
        assert (
            not gateway.state_machine.requests.in_flight
            and not gateway.state_machine.hosts.by_attempt
            and not gateway.counts["forgotten"]
        )
        assert gateway.state_machine.requests.bytes_in_flight() == 0


def answer_received_by(gateway, client, end):
    """Advance the clock to `end`, in ms, and return the bytes that the client has received by then."""
    gateway.pass_ms(end - gateway.now)
    return client.take_written()


def test_a_request_that_waited_for_a_restarted_process_is_answered_before_the_deadline_of_its_client():
    # The scenario herd+mass: the client sends its request while the process is still starting, and the
    # request's time runs before the process can read it. The request's host never answers.
    gateway = InMemoryGateway()
    counter_transports = gateway.open_initial_connections()
    gateway.state_machine.context.process_started_at = gateway.now - 800.0
    client_end = gateway.state_machine.context.process_started_at + 2486.0
    client = gateway.client()
    gateway.send_request(client, d=2486)
    assert gateway.state_machine.state is LifecycleState.STARTING
    gateway.watch.protocol.dataReceived(EMPTY_UPDATE)
    answer_counter_call(gateway, counter_transports)
    host = gateway.connect_succeeds()
    assert host.take_written()
    assert answer_received_by(gateway, client, client_end) in FAILURE_ANSWERS


def test_the_time_of_a_request_read_after_a_blocked_loop_counts_from_its_earliest_possible_arrival():
    gateway, counter_transports, client = serving_gateway()
    # The last poll ended then: the request may have waited since.
    gateway.earliest_arrival = gateway.now - 300.0
    client_end = gateway.earliest_arrival + 1000.0
    gateway.send_request(client, d=1000)
    gateway.earliest_arrival = None
    answer_counter_call(gateway, counter_transports)
    assert gateway.connect_succeeds().take_written()
    assert answer_received_by(gateway, client, client_end) in FAILURE_ANSWERS


def test_requests_accepted_at_a_restart_wait_for_the_first_list_and_are_sent_to_no_draining_host():
    # The scenario herd+mass: the stored list of the platform file has both hosts in service. One has started
    # to drain since, and the first list from discovery contains it as draining.
    gateway = InMemoryGateway(hosts=2)
    counter_transports = gateway.open_initial_connections()
    client = gateway.client()
    for _ in range(12):
        gateway.send_request(client)
    assert (
        not any(b"TALLY" in transport.written for transport in counter_transports)
        and not gateway.pending_connects
    )
    entries = [
        {"instanceId": "h0", "hostPort": "127.0.0.1:0", "lifecycle": "terminating"},
        {"instanceId": "h1", "hostPort": "127.0.0.1:1", "lifecycle": "in_service"},
    ]
    gateway.handle_input(
        Input.ENDPOINTS_RECEIVED,
        gateway.state_machine.watch,
        parse_endpoint_list({"generation": 2, "reset": True, "instances": entries}),
    )
    assert gateway.state_machine.state is LifecycleState.SERVING
    while any(b"TALLY" in transport.written for transport in counter_transports):
        answer_counter_call(gateway, counter_transports)
    addresses = {connection.endpoint.address for _, connection, _ in gateway.pending_connects}
    assert addresses == {"127.0.0.1:1"}


def test_a_ping_whose_client_disconnects_during_the_start_does_not_block_other_requests():
    # The scenario herd+vast: discovery is overloaded at a release, and the front end's PING waits until its
    # connection ends. The first list then found the queue of the PING empty, and the exception left all
    # requests accepted meanwhile unforwarded.
    gateway = InMemoryGateway(hosts=2)
    counter_transports = gateway.open_initial_connections()
    front_end, client = gateway.client(), gateway.client()
    front_end.protocol.dataReceived(PING)
    gateway.send_request(client)
    front_end.protocol.connectionLost()
    gateway.watch.protocol.dataReceived(EMPTY_UPDATE)
    assert (
        gateway.state_machine.state is LifecycleState.SERVING
        and not gateway.state_machine.commands.waiting_pings
    )
    answer_counter_call(gateway, counter_transports)
    assert gateway.pending_connects


def pending_watch_connects(gateway):
    """Return the indices of the pending connection attempts of the watch."""
    return [
        index
        for index, (_, _, disconnected) in enumerate(gateway.pending_connects)
        if disconnected is Input.WATCH_DISCONNECTED
    ]


def test_watch_retries_to_an_overloaded_discovery_back_off_until_it_answers():
    # The scenario herd+vast: discovery rejects watches while it receives too many. Forty gateways that
    # retried every 100 ms kept it overloaded all day (336 connection attempts a second), and none of them
    # received the endpoints of the release.
    gateway = InMemoryGateway()
    gateway.open_initial_connections()
    gateway.watch.protocol.connectionLost()  # Discovery closes the watch.
    refused, end = 0, gateway.now + 10000.0
    while gateway.now < end:
        gateway.pass_ms(10)
        for index in pending_watch_connects(gateway):
            refused += 1
            gateway.connect_fails(index)
    assert 5 <= refused <= 14  # Without backoff there would be a hundred.
    gateway.pass_ms(2000)
    watch = gateway.connect_succeeds(pending_watch_connects(gateway)[0])
    watch.protocol.dataReceived(EMPTY_UPDATE)  # Discovery answers again.
    watch.protocol.connectionLost()
    gateway.pass_ms(100)
    assert pending_watch_connects(gateway)


def test_a_start_ends_early_if_discovery_rejects_the_watch_repeatedly():
    # The scenario herd+vast: discovery rejects all watches of a restarted gateway. Its first requests waited
    # the whole second for a list that never arrived, which took most of the time of the shortest class.
    gateway = InMemoryGateway()
    counter_transports = gateway.open_initial_connections()
    client = gateway.client()
    gateway.send_request(client)
    gateway.watch.protocol.connectionLost()  # Discovery rejects the watch.
    for _ in range(2):
        gateway.pass_ms(200)
        gateway.connect_fails(pending_watch_connects(gateway)[0])
    assert gateway.state_machine.state is LifecycleState.SERVING and gateway.now - 100000.0 < 500.0
    answer_counter_call(gateway, counter_transports)
    assert gateway.pending_connects
