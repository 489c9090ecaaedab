"""Stories of the gateway on sockets: real links on lines that lead nowhere, one for each failure met."""

from collections import Counter
from random import Random

from fake_gateway import InMemoryGateway
from pytest import raises

from granitedock.policy.states import HostState
from granitedock.service.client_connections import ClientState
from granitedock.service.clock import Clock
from granitedock.service.counter_protocol import PING
from granitedock.service.discovery_protocol import parse_endpoint_list
from granitedock.service.discovery_watch import WatchState
from granitedock.service.host_protocol import HostProtocol
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import LifecycleEvent, LifecycleState
from granitedock.service.resp import encode_command

NOTHING_NEW = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
FINAL = (b"-BUSY\r\n", b"-ERR failed\r\n")  # a task given up on, either way


def counted(wired, lines, total=b"1"):
    """The counter answers the call that stands on one of its lines."""
    line = next(line for line in lines if b"TALLY" in line.written)
    line.take_written()
    line.protocol.dataReceived(b"$%d\r\n%b\r\n" % (len(total), total))


def accounts(wired):
    """The customers whose quota accounts the gateway holds."""
    return wired.state_machine.policy.rate_limiter.accounts


def begun(**more):
    """A gateway whose counter is up, with a client's connection."""
    wired = InMemoryGateway(**more)
    lines = wired.open_initial_connections()
    wired.watch.protocol.dataReceived(NOTHING_NEW)
    return wired, lines, wired.client()


def forwarded(wired, lines, client, **more):
    """A task is asked, counted and written to a host."""
    wired.send_request(client, **more)
    counted(wired, lines)
    return wired.connect_succeeds()


def quick(wired, lines, client, requests=60):
    """Hosts that answer in a millisecond, so that they may be given many at once; their lines, idle again."""
    hosts = []
    for _ in range(requests):
        wired.send_request(client)
        counted(wired, lines)
        if wired.pending_connects:
            hosts.append(wired.connect_succeeds())
        wired.now += 1
        next(host for host in hosts if host.take_written()).protocol.dataReceived(VALUE)
        wired.now += 5
    client.take_written()
    return hosts


def test_a_request_is_forwarded_as_it_came_but_for_the_time_and_its_response_comes_back_as_the_host_made_it():
    wired, lines, client = begun()
    host = forwarded(
        wired, lines, client, request_class="once", more=b",k=5c0f6e1a2b3d4c59", body=(b"\r\n*1",)
    )
    words = host.take_written()
    assert b"$9\r\nAPI.WRITE\r\n$16\r\n00000000000000a1\r\n$16\r\n0123456789abcdef\r\n" in words
    assert b"c=once,t=p,d=1000,units=1,spread=1,first=0,k=5c0f6e1a2b3d4c59\r\n$4\r\n\r\n*1\r\n" in words
    for byte in VALUE:
        host.protocol.dataReceived(bytes([byte]))
    assert client.take_written() == VALUE
    wired.now += 10
    wired.send_request(client)
    counted(wired, lines)
    assert b"API.READ" in host.take_written() and not wired.pending_connects  # the connection serves again


def test_a_line_of_the_policy_reaches_the_event_log():
    wired, lines, client = begun(hosts=1)
    host = None
    for _ in range(3):
        wired.send_request(client, request_class="once")
        counted(wired, lines)
        host = host or wired.connect_succeeds()
        host.protocol.dataReceived(b"-ERR failed\r\n")
        wired.now += 10
    assert client.take_written() == 3 * b"-ERR failed\r\n"  # it may have run, so trying again is not offered
    assert ("decision", {"line": "host healthy to ejected: 3 failures, 0 in flight"}) in wired.log_events


def test_a_fault_in_a_decision_leaves_no_request_without_an_answer():
    wired, lines, client = begun()
    host = forwarded(wired, lines, client)

    def breaks(*_):
        raise TypeError("met in the review")

    wired.state_machine.policy.load_balancer.attempt_finished = breaks
    with raises(TypeError):
        host.protocol.dataReceived(b"-ERR failed\r\n")
    wired.pass_ms(3000)
    assert client.take_written() == b"-ERR failed\r\n"


def test_a_timer_that_is_over_is_cancelled():
    wired, lines, client = begun()
    host = forwarded(wired, lines, client)
    host.protocol.dataReceived(VALUE)
    assert {timer.input for timer in wired.timers} <= {None, Input.MAINTENANCE, Input.LIFECYCLE}


def test_a_stop_answers_all_that_was_taken_then_leaves():
    wired, lines, client = begun()
    idle = wired.client()
    host = forwarded(wired, lines, client)
    wired.handle_input(Input.LIFECYCLE, LifecycleEvent.TERMINATE)
    wired.pass_ms(400)
    late = wired.client()  # new connections still come
    assert not idle.closed and late.protocol.record.state is ClientState.OPEN
    wired.pass_ms(200)
    assert wired.listener_closed_at and idle.closed == late.closed == "closed" and not client.closed
    host.protocol.dataReceived(VALUE)
    assert client.take_written() == VALUE and client.closed == "closed" and wired.exited_at is None
    for line in idle, late, client:
        line.protocol.connectionLost()
    assert wired.exited_at


def test_a_stop_errs_what_it_cannot_wait_for():
    wired, lines, client = begun()
    forwarded(wired, lines, client, request_class="once", d=60000)
    wired.handle_input(Input.LIFECYCLE, LifecycleEvent.TERMINATE)
    wired.pass_ms(3600)
    assert client.take_written() == b"-ERR failed\r\n" and wired.exited_at


def test_ping_waits_until_the_gateway_can_serve():
    wired = InMemoryGateway()
    wired.open_initial_connections()
    client = wired.client()
    client.protocol.dataReceived(PING)
    assert client.take_written() == b""
    wired.watch.protocol.dataReceived(NOTHING_NEW)
    assert client.take_written() == b"+PONG\r\n"
    silent = InMemoryGateway()
    client = silent.client()
    client.protocol.dataReceived(PING)
    silent.pass_ms(1000)  # discovery is down: the list as last had serves
    assert client.take_written() == b"+PONG\r\n"
    empty = InMemoryGateway(hosts=0)
    client = empty.client()
    client.protocol.dataReceived(PING)
    empty.pass_ms(3000)
    assert client.take_written() == b""


def test_answers_leave_in_the_order_of_the_commands():
    wired, lines, client = begun()
    wired.send_request(client)
    client.protocol.dataReceived(PING + PING)
    assert client.take_written() == b""
    counted(wired, lines)
    wired.connect_succeeds().protocol.dataReceived(VALUE)
    assert client.take_written() == VALUE + 2 * b"+PONG\r\n"


def test_what_is_malformed_is_answered_once_and_closed():
    for data in (
        b"GET / HTTP/1.1\r\n",
        b"*1\r\n$70000\r\n",
        b"*1\r\n$2\r\nabcd",
        b"*999\r\n",
        b"$-1\r\n",
        b"*+1\r\n",
    ):
        wired, _, client = begun()
        client.protocol.dataReceived(data)
        client.protocol.dataReceived(data)
        assert client.take_written().startswith(b"-ERR ") and client.closed == "closed", data
    wired, _, client = begun()
    wired.send_request(client, request_class="unheard")
    assert client.take_written().startswith(b"-ERR ") and client.closed
    wired, _, client = begun()
    client.protocol.dataReceived(b"x" * 2000)
    assert client.take_written().startswith(b"-ERR ") and client.closed


def test_a_connection_that_ends_before_the_last_byte_proves_that_nothing_ran():
    wired, lines, client = begun()
    wired.send_request(client, request_class="once")
    counted(wired, lines)
    host = wired.connect_succeeds(write_blocked=True)
    host.protocol.connectionLost()
    assert (
        client.take_written() == b"" and wired.pending_connects
    )  # so a one-shot task goes on to the other host
    host = wired.connect_succeeds()
    host.protocol.connectionLost()
    assert client.take_written() == b"-ERR failed\r\n"  # and after that byte it may have run


def test_a_non_idempotent_request_takes_no_kept_connection_after_one_was_reset_in_use():
    wired, lines, client = begun(hosts=1)
    [kept] = quick(wired, lines, client, 1)
    wired.send_request(client, request_class="once")
    counted(wired, lines)
    kept.protocol.connectionLost()
    assert client.take_written() == b"-ERR failed\r\n"
    for wait, anew in (10, True), (10, True), (4990, False):
        wired.now += wait
        wired.send_request(client, request_class="once")
        counted(wired, lines)
        assert bool(wired.pending_connects) == anew
        kept = wired.connect_succeeds() if anew else kept
        kept.protocol.dataReceived(VALUE)
        assert client.take_written() == VALUE


def test_a_refused_connection_means_a_retry_and_all_refused_reject_the_request():
    wired, lines, client = begun()
    wired.send_request(client, request_class="once")
    counted(wired, lines)
    wired.connect_fails()
    wired.connect_fails()
    wired.connect_fails()
    assert client.take_written() == b"-BUSY\r\n"


def test_a_host_s_busy_reaches_no_client_of_a_request_that_may_have_run():
    wired, lines, client = begun()
    host = forwarded(wired, lines, client, request_class="once")
    host.protocol.dataReceived(b"-BUSY inflight=7,queue=2\r\n")
    assert client.take_written() == b"" and wired.pending_connects  # turned away unseen: another host gets it
    host = wired.connect_succeeds()
    host.protocol.connectionLost()
    assert client.take_written() == b"-ERR failed\r\n"


def test_a_silent_host_loses_its_idle_connections_too_and_a_late_answer_goes_nowhere():
    wired, lines, client = begun(hosts=1)
    [first] = quick(wired, lines, client)
    wired.send_request(client)
    counted(wired, lines)
    second = forwarded(wired, lines, wired.client())
    second.protocol.dataReceived(VALUE)
    wired.pass_ms(3000)
    assert first.closed == second.closed == "aborted" and client.take_written() == b"-BUSY\r\n"
    first.protocol.dataReceived(VALUE)
    first.protocol.connectionLost()
    second.protocol.connectionLost()
    while wired.pending_connects:
        wired.connect_fails()
    assert (
        client.take_written() == b""
        and not wired.state_machine.hosts.by_attempt
        and wired.state_machine.hosts.open_count == 0
    )


def test_idle_connections_are_closed_before_the_host_closes_them():
    wired, lines, client = begun()
    host = forwarded(wired, lines, client)
    host.protocol.dataReceived(VALUE)
    wired.pass_ms(4000)
    assert not host.closed
    wired.pass_ms(2000)
    assert host.closed == "aborted"


def test_a_host_that_drains_or_restarts_loses_its_idle_connections():
    for change in ({"lifecycle": "terminating"}, {"startedAtMs": 99000.0}):
        wired, lines, client = begun(hosts=1)
        host = forwarded(wired, lines, client)
        host.protocol.dataReceived(VALUE)
        wired.handle_input(
            Input.ENDPOINTS_RECEIVED,
            wired.state_machine.watch,
            wired.endpoint_list(2, 1, whole=False, **change),
        )
        assert host.closed == "aborted" and wired.state_machine.watch.version == 2


def test_a_response_too_long_or_malformed_ends_its_attempt_as_one_that_may_have_run():
    said = (
        b"*1\r\n$99999\r\n",
        b"?\r\n",
        b"*2\r\n$-1\r\n$-1\r\n",
        b"-WHAT\r\n",
        b"-BUSY \x80\r\n",
        b"+OK\r\n",
    )
    for data in (*said, VALUE[:9]):
        wired, lines, client = begun()
        host = forwarded(wired, lines, client, request_class="once")
        host.protocol.dataReceived(data)
        wired.pass_ms(300)  # it begins and does not end
        assert client.take_written() == b"-ERR failed\r\n" and host.closed == "aborted", data


def test_what_follows_an_answer_reaches_nobody():
    for more in (VALUE, b"noise", b"-ERR failed\r\n", b"\x00\r\n"):
        wired, lines, client = begun(hosts=1)
        host = forwarded(wired, lines, client)
        host.protocol.dataReceived(VALUE + more)  # in one read
        assert client.take_written() == VALUE and host.closed == "aborted", more
        wired.now += 10
        host = forwarded(wired, lines, client)
        host.unread = more  # behind what was read
        host.protocol.dataReceived(VALUE)
        assert client.take_written() == VALUE and host.closed == "aborted"
        wired.now += 10
        host = forwarded(wired, lines, client)
        host.protocol.dataReceived(VALUE)
        host.unread = more  # just before the next forward
        client.take_written()
        wired.now += 10
        anew = forwarded(wired, lines, client)
        assert host.closed == "aborted" and not host.take_written().count(b"API") > 1
        host.protocol.dataReceived(more)
        assert client.take_written() == b""
        anew.protocol.dataReceived(VALUE)
        assert client.take_written() == VALUE and wired.counts["forward_done"] == 4


def test_a_good_value_with_figures_that_make_no_sense_is_done():
    for more in (
        b"$8\r\ncost=nan\r\n$1\r\n?\r\n",
        b":-7\r\n$3\r\n\xff\x00,\r\n",
        b"$0\r\n\r\n$8\r\ncost=inf\r\n",
    ):
        wired, lines, client = begun()
        value = b"*3\r\n$5\r\nvalue\r\n" + more
        forwarded(wired, lines, client).protocol.dataReceived(value)
        assert client.take_written() == value and next(iter(accounts(wired))).account.refund_due == 0


def test_a_silent_counter_is_replaced_and_its_late_totals_still_count():
    wired, lines, client = begun()
    wired.send_request(client)
    old = next(line for line in lines if line.written)
    wired.pass_ms(2000)
    assert not old.closed and any(event == "counter connection replaced" for event, _ in wired.log_events)
    account = accounts(wired) and next(iter(accounts(wired))).account
    old.protocol.dataReceived(b"$2\r\n17\r\n")
    assert account.current == 17 and old.closed == "aborted"


def test_a_counter_s_answer_without_a_number_was_added_and_ends_its_connection():
    for said in (b"$3\r\nnan\r\n", b"$1\r\n?\r\n", b"+OK\r\n", b"$-1\r\n", b"noise\r\n", b"$9\r\n1"):
        wired, lines, client = begun()
        wired.send_request(client)
        wired.send_request(client)
        old = next(line for line in lines if line.written)
        account = next(iter(accounts(wired))).account
        old.protocol.dataReceived(said)
        wired.pass_ms(50)
        assert old.closed == "aborted" and account.current == 1 and account.refund_due == 0, said
        assert wired.counts["call_spoilt"] == wired.counts["call_reset"] == 1  # the one behind: not known
        wired.pass_ms(600)
        assert any(dial[2] is Input.COUNTER_DISCONNECTED for dial in wired.pending_connects)


def test_a_file_that_names_other_addresses_moves_the_counter_and_the_watch():
    wired, lines, client = begun()
    wired.send_request(client)
    old = next(line for line in lines if line.written)
    wired.handle_input(Input.ADDRESSES_CHANGED, True, True)
    assert wired.watch.closed == "aborted" and not old.closed
    assert all(line.closed == "aborted" for line in lines if line is not old)
    wired.handle_input(Input.ADDRESSES_CHANGED, True, True)  # once more, before anything has come up
    moved = [wired.connect_succeeds(0) for _ in range(len(wired.pending_connects))]
    assert sum(not line.closed for line in moved) == 1 + len(lines)
    old.protocol.dataReceived(b"$2\r\n17\r\n")  # what was added there still counts
    assert next(iter(accounts(wired))).account.current == 17 and old.closed == "aborted"
    assert not wired.state_machine.counter.retired
    wired.connect_succeeds().protocol.dataReceived(VALUE)
    assert client.take_written() == VALUE
    wired.send_request(client)
    assert any(b"TALLY" in line.written for line in moved if not line.closed)


def test_an_idle_counter_connection_is_kept_in_use_and_a_dead_one_made_again():
    wired, lines, _ = begun()
    wired.pass_ms(3200)
    assert all(line.take_written() == PING for line in lines)
    lines[0].protocol.connectionLost()
    wired.pending_connects.clear()
    wired.pass_ms(600)
    assert len(wired.pending_connects) == 1


def test_a_counter_that_is_away_is_connected_to_by_calls_and_twice_a_second_and_no_more():
    wired, lines, client = begun()
    for line in lines:
        line.protocol.connectionLost()
    dials = calls = 0
    for _ in range(100):
        before = wired.counts["calls"]
        wired.send_request(wired.client(), customer=int(wired.now))
        calls += wired.counts["calls"] - before
        wired.pass_ms(100)
        for at in reversed(range(len(wired.pending_connects))):
            if wired.pending_connects[at][2] is Input.COUNTER_DISCONNECTED:
                dials += 1
                wired.connect_fails(at)
    assert dials <= calls + 20 * len(lines)


def test_a_watch_without_its_line_opens_again_from_where_it_was():
    wired, _, _ = begun()
    wired.pass_ms(4000)
    assert wired.watch.closed == "aborted"
    anew = wired.connect_succeeds()
    assert b"after=1 " in anew.take_written()
    wired.watch.protocol.connectionLost()  # the old one's end says nothing of the new
    assert wired.state_machine.watch.state is WatchState.CONNECTED  # up, and not a line yet
    anew.protocol.dataReceived(NOTHING_NEW)
    assert wired.state_machine.watch.state is WatchState.OPEN


def test_a_list_that_makes_no_sense_changes_nothing():
    for line in (b"[]\n", b'{"generation":2}x\n', b'{"generation":2,"instances":[{"instanceId":"a"}]}\n'):
        wired, lines, client = begun()
        wired.watch.protocol.dataReceived(b"%x\r\n%b\r\n" % (len(line), line))
        assert wired.watch.closed == "aborted" and len(wired.state_machine.policy.load_balancer.ready) == 2
        forwarded(wired, lines, client)


def test_a_client_that_reads_nothing_is_cut_off_and_one_that_left_costs_no_retry():
    wired, lines, client = begun()
    hosts = quick(wired, lines, client)
    for _ in range(5):
        wired.send_request(client)
        counted(wired, lines)
        hosts += [wired.connect_succeeds()] if wired.pending_connects else []
    client.protocol.pauseProducing()
    for host in hosts:
        host.protocol.dataReceived(VALUE.replace(b"$5\r\nvalue", b"$60000\r\n" + 60000 * b"x"))
    assert client.closed == "aborted" and wired.state_machine.requests.bytes_in_flight() == 0
    wired.now += 10
    gone = wired.client()
    wired.send_request(gone)
    counted(wired, lines)
    gone.protocol.connectionLost()
    next(host for host in hosts if b"API" in host.take_written()[-200:]).protocol.connectionLost()
    assert (
        not wired.pending_connects
        and not wired.state_machine.requests.in_flight
        and wired.state_machine.requests.bytes_in_flight() == 0
    )


def test_more_than_the_memory_holds_is_rejected_and_more_than_the_sockets_hold_makes_room():
    wired, lines, client = begun(memory_mb=27)
    for _ in range(15):
        wired.send_request(client, request_class="once", body=(60000 * b"x",))
    assert client.take_written() == b""  # it waits behind the first ones
    assert wired.counts["deferred"] == 1
    wired, lines, client = begun(sockets=20)
    [host] = quick(wired, lines, client, 1)
    wired.now += 2100
    others = [wired.client() for _ in range(2)]
    others.append(wired.client())
    assert client.closed == "ended" and wired.accepting is False
    client.protocol.connectionLost()
    assert wired.accepting is True
    wired.client()
    assert not any(line.closed for line in others)  # their commands may be on their way
    assert wired.accepting is False
    wired.send_request(others[0])
    counted(wired, lines)
    host.protocol.dataReceived(VALUE)
    others[2].protocol.dataReceived(PING)  # which is no task
    others[1].protocol.dataReceived(PING[:6])
    others[1].unread = PING[6:]
    wired.pass_ms(150)
    assert not others[1].closed  # it has spoken, we were slow
    others[1].unread = b""
    wired.pass_ms(100)
    assert others[1].closed == others[2].closed == "aborted"  # first those that ask nothing
    assert not others[0].closed
    wired.pass_ms(2000)
    assert others[0].closed == "ended"
    wired, lines, client = begun(sockets=20)
    quick(wired, lines, client)
    for _ in range(9):
        wired.send_request(client)
        counted(wired, lines)
    assert wired.counts["forward_moot"] and len(wired.pending_connects) <= 8
    assert all(
        host.health.state is HostState.HEALTHY for host in wired.state_machine.policy.load_balancer.ready
    )


def test_a_request_malformed_or_out_of_range_is_answered_with_an_error_and_charges_nobody():
    right = b"c=read,t=p,d=480,units=2,spread=1,first=0"
    bad = [right.replace(*change) for change in (
        (b"c=read", b"c=unheard"), (b"c=read", b"c=once"), (b"c=read", b"c=mark"), (b"t=p", b"t=q"),
        (b"d=480", b"d=nan"), (b"d=480", b"d=-1"), (b"d=480", b"d=4_8"), (b"d=480,", b""), (b"d=", b"d=1,d="),
        (b"units=2", b"units=nan"), (b"units=2", b"units=1e3"), (b"units=2", b"units=0"),
        (b"units=2", b"units=-2"), (b"units=2", b"units=9"), (b"spread=1", b"spread=0"),
        (b"spread=1", b"spread=2"), (b"first=0", b"first=1"), (b"first=0", b"first=x"),
    )]  # fmt: skip
    words = [(b"00000000000000a1", b"7", text) for text in bad]
    words += [(b"a1", b"7", right), (b"ffffffffffffffff", b"7", right), (b"00000000000000a1", b"", right)]
    words += [(b"00000000000000a1", right)]
    for some in words:
        wired, lines, client = begun()
        client.protocol.dataReceived(encode_command(b"API.READ", *some))
        assert client.take_written().startswith(b"-ERR ") and client.closed == "closed", some
        assert not wired.state_machine.requests.customers and not any(line.written for line in lines)
        client.protocol.dataReceived(encode_command(b"API.READ", b"00000000000000a1", b"7", right))
        assert not client.written and not wired.state_machine.requests.in_flight  # nothing behind it is read


def test_the_id_of_a_request_in_flight_is_refused_to_another_and_free_afterwards():
    wired, lines, client = begun()
    host = forwarded(wired, lines, client)
    other = wired.client()
    wired.next_id -= 1
    wired.send_request(other)
    assert other.take_written() == b"-ERR id in use\r\n" and other.closed
    host.protocol.dataReceived(VALUE)
    assert client.take_written() == VALUE
    wired.now += 10
    wired.next_id -= 1
    wired.send_request(client)
    counted(wired, lines)
    host.protocol.dataReceived(VALUE)
    assert client.take_written() == VALUE


def test_hosts_and_customers_that_are_gone_are_forgotten_once_nothing_is_in_flight():
    wired, lines, client = begun()
    host = forwarded(wired, lines, client)
    state_machine = wired.state_machine
    for version in range(2, 50):  # new ones come and go
        listing = wired.endpoint_list(version, 1, "in_service" if version % 2 else "terminated", False)
        names = [entry._replace(name=f"x{version // 2}") for entry in listing.entries]
        wired.handle_input(Input.ENDPOINTS_RECEIVED, state_machine.watch, listing._replace(entries=names))
    wired.handle_input(
        Input.ENDPOINTS_RECEIVED, state_machine.watch, wired.endpoint_list(50, 2, "terminated")
    )
    assert len(state_machine.endpoints.by_name) == len(state_machine.policy.load_balancer.tracked_hosts) == 1
    host.protocol.dataReceived(VALUE)
    wired.handle_input(
        Input.ENDPOINTS_RECEIVED, state_machine.watch, wired.endpoint_list(51, 2, "terminated", False)
    )
    assert (
        client.take_written() == VALUE
        and not state_machine.endpoints.by_name
        and not state_machine.policy.load_balancer.tracked_hosts
    )
    assert all(
        timer.input or not timer.arguments for timer in wired.timers
    )  # no request is kept by what it was woken for
    for _ in range(100):
        wired.pass_ms(1000)
        wired.send_request(wired.client(), customer=wired.next_id % 1000)
    assert len(state_machine.policy.rate_limiter.accounts) < 15 and len(state_machine.requests.customers) < 25


def test_a_client_silent_or_in_the_middle_of_a_command_is_closed_within_three_seconds():
    wired, lines, client = begun()
    half, behind, busy = wired.client(), wired.client(), wired.client()
    half.protocol.dataReceived(PING[:6])
    forwarded(wired, lines, behind)
    behind.protocol.dataReceived(b"?\r\n")
    host = forwarded(wired, lines, busy)
    wired.pass_ms(2700)
    assert client.take_written() == b"" and half.take_written().startswith(b"-ERR ")
    assert behind.take_written().startswith(b"-ERR failed\r\n-ERR ") and not busy.closed
    assert client.closed == "ended" and half.closed == behind.closed == "closed"
    host.protocol.dataReceived(VALUE)
    assert busy.take_written() == VALUE
    wired.pass_ms(1900)
    assert not busy.closed
    wired.pass_ms(200)
    assert busy.closed == "ended"  # it asks no more, and holds a place that others need
    half.protocol.dataReceived(300000 * b"x")
    assert half.closed == "closed" and half.protocol.dropped_bytes == 300000


def test_no_end_of_commands_behind_a_slow_one_ends_the_connection():
    wired, lines, client = begun()
    wired.send_request(client)
    client.protocol.dataReceived(2000 * PING)
    assert wired.counts["malformed"] == 1 and len(client.protocol.record.pending) < 1100


def test_the_clock_never_steps_back_and_never_stands_still():
    unix, beat = [100.0], [5.0]
    clock = Clock(lambda: unix[0], lambda: beat[0])
    unix[0], beat[0] = 90.0, 6.0
    assert clock() == 100500.0
    unix[0], beat[0] = 91.0, 7.0
    assert clock() == 101000.0
    unix[0] = 102.0
    assert clock() == 102000.0


def test_whatever_comes_in_whatever_order_each_request_gets_one_answer_in_time():
    for seed in range(40):
        chance = Random(seed)
        wired, lines, _ = begun(hosts=3)
        asked, answered, hosts = {}, [], []
        for step in range(300):
            wired.pass_ms(chance.choice((0, 0, 1, 5, 20, 200, 1500)) if step < 299 else 5000)
            open_hosts = [line for line in hosts if not line.closed]
            what = chance.randrange(9) if step < 299 else 8
            if what < 3 and len(asked) < 10:
                line = wired.client()
                asked[line] = wired.now + 3000
                wired.send_request(line, request_class=chance.choice(("read", "once")))
            elif what == 3 and wired.pending_connects:
                chance.choice((wired.connect_fails, wired.connect_succeeds))(
                    chance.randrange(len(wired.pending_connects))
                )
            elif what == 4 and open_hosts:
                line = chance.choice(open_hosts)
                line.closed = "lost"
                line.protocol.connectionLost()
            elif what == 5 and open_hosts:
                said = chance.choice((VALUE, VALUE, b"-BUSY\r\n", b"-ERR failed\r\n", b"?\r\n", VALUE[:9]))
                chance.choice(open_hosts).protocol.dataReceived(said)
            elif what == 6:
                state = chance.choice(("in_service", "terminating", "terminated"))
                listing = wired.endpoint_list(3, chance.randrange(4), state, chance.random() < 0.3)
                wired.handle_input(Input.ENDPOINTS_RECEIVED, wired.state_machine.watch, listing)
            elif what == 7:
                chance.choice(lines).protocol.dataReceived(chance.choice((b"$1\r\n3\r\n", b"-BUSY\r\n")))
            while wired.pending_connects and chance.random() < 0.8:
                line = wired.connect_succeeds()
                if isinstance(line.protocol, HostProtocol):
                    hosts.append(line)
            out = Counter(attempt.request for attempt in wired.state_machine.hosts.by_attempt)
            assert not out or max(out.values()) == 1  # never two out
            for line in [line for line in asked if line.written]:
                assert line.written_at <= asked.pop(line)
                line.protocol.connectionLost()
                answered.append((line, line.written))
                assert line.written in (VALUE, b"-BUSY\r\n", b"-ERR failed\r\n")
        assert not asked and all(line.written == said for line, said in answered)  # nothing after the answer
        assert (
            not wired.state_machine.requests.in_flight
            and not wired.state_machine.hosts.by_attempt
            and not wired.counts["forgotten"]
        )
        assert wired.state_machine.requests.bytes_in_flight() == 0


def answered_by(wired, client, end):
    """Time passes until `end`, in ms; what the client was told by then."""
    wired.pass_ms(end - wired.now)
    return client.take_written()


def test_a_request_that_waited_for_a_restarted_process_is_answered_before_its_client_gives_up():
    # As on herd+mass: the client wrote its task while the process was still starting, and its time ran
    # before the process could read it. The host it goes to never answers.
    wired = InMemoryGateway()
    lines = wired.open_initial_connections()
    wired.state_machine.context.process_started_at = wired.now - 800.0
    client_end = wired.state_machine.context.process_started_at + 2486.0
    client = wired.client()
    wired.send_request(client, d=2486)
    assert wired.state_machine.state is LifecycleState.STARTING
    wired.watch.protocol.dataReceived(NOTHING_NEW)
    counted(wired, lines)
    host = wired.connect_succeeds()
    assert host.take_written()
    assert answered_by(wired, client, client_end) in FINAL


def test_a_request_read_after_the_loop_was_away_counts_its_time_from_when_it_may_have_come():
    wired, lines, client = begun()
    wired.earliest_arrival = (
        wired.now - 300.0
    )  # the last poll ended so long ago: the task may have waited as long
    client_end = wired.earliest_arrival + 1000.0
    wired.send_request(client, d=1000)
    wired.earliest_arrival = None
    counted(wired, lines)
    assert wired.connect_succeeds().take_written()
    assert answered_by(wired, client, client_end) in FINAL


def test_requests_taken_at_a_restart_wait_for_the_first_list_and_go_to_no_host_that_drains_since():
    # As on herd+mass: the process is handed the list as it last had it, with both hosts in service; one has
    # begun to drain since, and the first list from discovery says so.
    wired = InMemoryGateway(hosts=2)
    lines = wired.open_initial_connections()
    client = wired.client()
    for _ in range(12):
        wired.send_request(client)
    assert not any(b"TALLY" in line.written for line in lines) and not wired.pending_connects
    entries = [
        {"instanceId": "h0", "hostPort": "127.0.0.1:0", "lifecycle": "terminating"},
        {"instanceId": "h1", "hostPort": "127.0.0.1:1", "lifecycle": "in_service"},
    ]
    wired.handle_input(
        Input.ENDPOINTS_RECEIVED,
        wired.state_machine.watch,
        parse_endpoint_list({"generation": 2, "reset": True, "instances": entries}),
    )
    assert wired.state_machine.state is LifecycleState.SERVING
    while any(b"TALLY" in line.written for line in lines):
        counted(wired, lines)
    places = {connection.endpoint.address for _, connection, _ in wired.pending_connects}
    assert places == {"127.0.0.1:1"}


def test_a_ping_whose_client_left_while_starting_keeps_the_requests_taken_meanwhile():
    # As on herd+vast: discovery is overbooked at a release, the front's PING waits, its connection goes, and
    # the first list then found the PING's queue empty; the fault left every task taken meanwhile unforwarded.
    wired = InMemoryGateway(hosts=2)
    lines = wired.open_initial_connections()
    front, client = wired.client(), wired.client()
    front.protocol.dataReceived(PING)
    wired.send_request(client)
    front.protocol.connectionLost()
    wired.watch.protocol.dataReceived(NOTHING_NEW)
    assert (
        wired.state_machine.state is LifecycleState.SERVING and not wired.state_machine.commands.waiting_pings
    )
    counted(wired, lines)
    assert wired.pending_connects


def watch_dials(wired):
    return [n for n, (_, _, down) in enumerate(wired.pending_connects) if down is Input.WATCH_DISCONNECTED]


def test_an_overbooked_discovery_is_queried_ever_less_often_and_as_before_once_it_answers():
    # As on herd+vast: discovery turns watches away while asked too often; forty gateways that asked again
    # every 100 ms kept it so all day (336 dials a second), and none of them heard of the release.
    wired = InMemoryGateway()
    wired.open_initial_connections()
    wired.watch.protocol.connectionLost()  # discovery sheds the watch
    refused, end = 0, wired.now + 10000.0
    while wired.now < end:
        wired.pass_ms(10)
        for n in watch_dials(wired):
            refused += 1
            wired.connect_fails(n)
    assert 5 <= refused <= 14  # not a hundred
    wired.pass_ms(2000)
    watch = wired.connect_succeeds(watch_dials(wired)[0])
    watch.protocol.dataReceived(NOTHING_NEW)  # it answers again
    watch.protocol.connectionLost()
    wired.pass_ms(100)
    assert watch_dials(wired)


def test_a_start_waits_no_longer_for_a_discovery_that_refuses_it():
    # As on herd+vast: a restarted gateway's watches are all turned away, and its first tasks waited the whole
    # second for a list that never came; the shortest class lost most of its time so.
    wired = InMemoryGateway()
    lines = wired.open_initial_connections()
    client = wired.client()
    wired.send_request(client)
    wired.watch.protocol.connectionLost()  # turned away
    for _ in range(2):
        wired.pass_ms(200)
        wired.connect_fails(watch_dials(wired)[0])
    assert wired.state_machine.state is LifecycleState.SERVING and wired.now - 100000.0 < 500.0
    counted(wired, lines)
    assert wired.pending_connects
