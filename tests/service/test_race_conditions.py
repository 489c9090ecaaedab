"""Stories of what crosses: a request, an answer, a close or a signal between any two steps of the gateway,
each forced on real loopback sockets by the order of the steps (docs/incidents/2026-12-02-crossings.md)."""

import json
import signal
import socket

import pytest
from fake_gateway import BORN
from loopback import VALUE, WATCHED, Peer, Server, answer, chunk

from granitedock.policy.states import HostState
from granitedock.service.discovery_watch import WatchState
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import LifecycleState
from granitedock.service.resp import encode_command

PING = encode_command(b"PING")
PATIENT = [lane | {"TargetMs": 4000} for lane in BORN["Lanes"]]  # attempts are out as long as clients wait
ERR = b"-ERR failed\r\n"


def out_at_host(gate, client, name="once", **more):
    """A request that is written whole to the host, and the host's end of it."""
    client.send(gate.request(name, **more))
    host = gate.at_host()
    assert b"API." in host.read()
    return host


def stopping(gate):
    gate.service.shut_down()
    gate.pass_ms(gate.limits.open_ms + 1)
    assert gate.state_machine.state is LifecycleState.CLOSING


# The end of the process.


def test_a_stop_that_is_overdue_answers_ends_and_waits_for_the_client_before_the_process_ends(live):
    # roll+term+brink+mass on the other deployment: commands were taken for 50 ms after the last answers, and
    # the process ended over them.
    gate = live(lanes=PATIENT)
    client = gate.client()
    out_at_host(gate, client, d=60000)
    gate.service.shut_down()
    gate.pass_ms(gate.limits.leave_ms + 20)
    assert client.read() == ERR and client.ended == "closed"  # told, and parted with
    client.send(gate.request())  # crosses our end: it is neither taken nor sent on
    gate.turn()
    assert gate.state_machine.context.counts["taken"] == 1 and not gate.left
    client.close()
    gate.turn()
    assert gate.left and gate.left[0] - gate.t < gate.limits.leave_most_ms - gate.limits.leave_ms


def test_a_stop_ends_at_its_bound_though_a_client_never_ends_its_connection(live):
    gate = live(lanes=PATIENT)
    client = gate.client()
    out_at_host(gate, client, d=60000)
    gate.service.shut_down()
    gate.pass_ms(gate.limits.leave_most_ms + 20)
    assert client.read() == ERR and len(gate.left) == 1
    longest = min(3000.0, max(lane["GiveUpMs"] for lane in BORN["Lanes"]))
    assert gate.left[0] <= gate.t and gate.limits.leave_most_ms < longest + 700  # SIGKILL comes no sooner


def test_what_is_asked_behind_a_pending_answer_while_the_process_shuts_is_refused_and_sent_to_nobody(live):
    gate = live()
    client = gate.client()
    host = out_at_host(gate, client)
    stopping(gate)
    client.send(gate.request() + gate.request("once"))
    gate.turn()
    assert gate.at_host() is None and host.read() == b""
    host.send(VALUE)
    gate.turn()
    said = client.read()
    assert said.startswith(VALUE + b"-BUSY") and said.count(b"-BUSY") == 2 and client.ended == "closed"


def test_a_request_unread_when_the_listener_closes_is_answered_before_its_connection_ends(live):
    gate = live()
    client = gate.client()
    client.send(gate.request())
    host = gate.at_host()
    host.read()
    gate.answered(host, client)
    gate.service.shut_down()
    gate.pass_ms(gate.limits.open_ms - 30)
    client.send(gate.request())  # lies unread when the timer of the shut door rings
    gate.t += 40
    gate.reactor.runUntilCurrent()
    assert gate.state_machine.state is LifecycleState.CLOSING
    gate.turn()
    assert client.read().startswith(b"-BUSY") and client.ended == "closed"


def test_a_request_on_a_connection_nobody_accepted_yet_is_answered_when_the_port_closes(live):
    gate = live()
    gate.service.shut_down()
    gate.pass_ms(gate.limits.open_ms - 30)
    clients = [Peer(socket.create_connection(gate.listen)) for _ in range(20)]  # more than a turn accepts
    for client in clients:
        client.send(gate.request())
    gate.t += 40
    gate.reactor.runUntilCurrent()
    gate.turn()
    for client in clients:
        assert client.read().startswith(b"-BUSY") and client.ended == "closed"
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(gate.listen)


def test_a_partial_request_when_the_listener_closes_has_a_moment_for_its_rest(live):
    gate = live()
    client, other = gate.client(), gate.client()
    request = gate.request()
    for one in client, other:
        one.send(request[:30])
    gate.turn()
    stopping(gate)
    client.send(request[30:])
    gate.turn()
    assert client.read().startswith(b"-BUSY") and client.ended == "closed"
    gate.pass_ms(400)
    assert other.read() == b"" and other.ended == "closed"


def test_a_signal_to_end_while_starting_refuses_what_waits_as_the_list_it_was_handed_may_be_old(live):
    # What discovery has counts as told from the first moment: a host of the list handed over may drain since.
    gate = live(listed=False)
    client, other = gate.client(), gate.client()
    client.send(PING + gate.request())
    gate.turn()
    assert client.read() == b"" and gate.state_machine.state is LifecycleState.STARTING
    gate.service.shut_down()
    gate.turn()
    assert gate.state_machine.state is LifecycleState.DRAINING
    said = client.read()
    assert said.startswith(b"-ERR closing\r\n-BUSY") and said.count(b"\r\n") == 2
    other.send(gate.request("once"))
    gate.turn()
    assert other.read().startswith(b"-BUSY") and gate.at_host() is None
    gate.lists()  # now it is heard, in time for what still comes
    other.send(gate.request("once"))
    host = gate.at_host()
    assert host.read()
    gate.answered(host, other)


def test_the_port_closes_in_the_same_turn_as_the_last_connection_is_taken_in(live):
    gate = live()
    gate.service.shut_down()
    gate.pass_ms(gate.limits.open_ms - 30)
    gate.t += 40
    gate.reactor.runUntilCurrent()
    assert gate.state_machine.state is LifecycleState.CLOSING
    with pytest.raises(ConnectionRefusedError):  # before the loop turns again: none is taken and then reset
        socket.create_connection(gate.listen)
    gate.turn()
    assert gate.left or gate.state_machine.clients.connections == {}


def test_signals_that_come_before_the_loop_runs_act_once_it_does(live, tmp_path):
    gate = live()
    before = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)}
    before[signal.SIGUSR1] = signal.getsignal(signal.SIGUSR1)
    try:
        elsewhere = gate.hosts[0].address
        told = json.loads((tmp_path / "told.json").read_text()) | {"discovery": elsewhere}
        (tmp_path / "told.json").write_text(json.dumps(told))
        gate.service.install_signal_handlers([signal.SIGHUP, signal.SIGTERM])
        gate.turn()
        assert (
            gate.at_host().read().startswith(b"GET ") and gate.state_machine.state is LifecycleState.DRAINING
        )
    finally:
        for number, act in before.items():
            signal.signal(number, act)


def test_further_signals_while_the_process_drains_move_discovery_and_nothing_else(live, tmp_path):
    gate = live()
    client, elsewhere = gate.client(), Server()
    host = out_at_host(gate, client)
    gate.service.shut_down()
    gate.pass_ms(300)
    told = json.loads((tmp_path / "told.json").read_text()) | {"discovery": elsewhere.address}
    (tmp_path / "told.json").write_text(json.dumps(told))
    gate.service.reload()
    gate.service.shut_down()  # and once more: the time of the first one counts
    gate.turn()
    assert elsewhere.take().read().startswith(b"GET ")
    gate.pass_ms(gate.limits.open_ms - 300 + 1)
    assert gate.state_machine.state is LifecycleState.CLOSING
    host.send(VALUE)
    gate.turn()
    assert client.read() == VALUE and client.ended == "closed"


def test_an_answer_given_at_the_end_cancels_an_attempt_still_connecting(live):
    gate = live(lanes=PATIENT)
    gate.hold_dials()
    client = gate.client()
    client.send(gate.request("once", d=60000))
    gate.turn()
    assert gate.held
    gate.service.shut_down()
    gate.pass_ms(gate.limits.leave_ms + 1)
    assert client.read() == ERR
    gate.release()
    host = gate.at_host()
    assert host.read() == b"" and host.ended


# A client that leaves.


def test_no_attempt_begins_for_a_client_that_left_while_the_connection_came_up(live):
    gate = live()
    gate.hold_dials()
    client = gate.client()
    client.send(gate.request("once"))
    gate.turn()
    client.close()
    gate.turn()
    gate.release()
    host = gate.at_host()
    assert host.read() == b"" and host.ended and gate.state_machine.context.counts["unwanted"] == 1
    assert not gate.state_machine.requests.in_flight and not gate.state_machine.hosts.by_attempt
    assert all(
        it.health.state is HostState.HEALTHY and not it.health.failures
        for it in gate.state_machine.endpoints.by_name.values()
    )


def test_no_further_attempt_begins_for_a_client_that_left_during_the_first(live):
    gate = live(hosts=2)
    client = gate.client()
    client.send(gate.request())
    gate.turn()
    host = gate.at_host(0) or gate.at_host(1)
    assert host.read()
    client.close()
    gate.turn()
    host.close()
    gate.pass_ms(400)
    assert gate.at_host(0) is None and gate.at_host(1) is None


def test_requests_that_wait_for_the_counter_are_not_sent_on_once_their_client_left(live):
    gate = live()
    gate.counts = False
    client = gate.client()
    for _ in range(5):
        client.send(gate.request())
    gate.turn()
    client.close()
    gate.turn()
    gate.counts = True
    gate.pass_ms(400)
    assert gate.at_host() is None and gate.state_machine.context.counts["client_gone"] == 5


BIG = answer(60000 * b"x")


def fill_write_buffer(gate, client):
    """Answers that the client does not read fill the buffers until the gateway holds some; how many."""
    asked = 0
    while not next(iter(gate.state_machine.clients.connections)).write_paused:
        host = out_at_host(gate, client, "read")
        host.send(BIG)
        gate.turn()
        host.close()
        gate.turn()
        asked += 1
    return asked


def test_the_end_of_a_client_that_reads_no_answers_is_seen(live):
    gate = live()
    client = gate.client(narrow=16384)
    fill_write_buffer(gate, client)
    client.send(gate.request())  # is kept, and not looked at
    gate.turn()
    assert gate.at_host() is None
    client.sock.shutdown(socket.SHUT_WR)
    gate.turn()
    assert not gate.state_machine.clients.connections and gate.state_machine.requests.bytes_in_flight() == 0


def test_a_slow_reader_whose_connection_is_to_end_gets_all_of_its_answer(live):
    gate = live()
    client = gate.client(narrow=16384)
    asked = fill_write_buffer(gate, client)
    stopping(gate)
    began, got = gate.t, b""
    while not client.ended:
        client.wait()
        got += client.read(4096)
        gate.pass_ms(40)
    # Far longer than a client has that has read all and does not end.
    assert gate.t - began > 2 * gate.limits.close_ms
    assert got == asked * BIG and client.ended == "closed"


# What changes while a connection to a host comes up.


def test_nothing_is_sent_to_a_host_that_began_to_drain_while_the_connection_came_up(live):
    gate = live()
    gate.hold_dials()
    client = gate.client()
    client.send(gate.request("once"))
    gate.turn()
    gate.lists(lifecycle="terminating")
    gate.release()
    host = gate.at_host()
    assert host.read() == b"" and host.ended
    assert client.read().startswith(b"-BUSY")  # it never ran, and there is no other host


def test_a_keyed_request_is_not_repeated_past_its_window_by_a_connection_that_came_up_late(live):
    lanes = [lane | {"WindowMs": 300} if lane["Repeat"] == "keyed" else lane for lane in BORN["Lanes"]]
    for late_ms, repeats in (200, True), (320, False):
        gate = live(hosts=2, lanes=lanes)
        client = gate.client()
        client.send(gate.request("mark", more=b",k=5c"))
        gate.turn()
        first = 0 if (host := gate.at_host(0)) else 1
        host = host or gate.at_host(1)
        assert host.read()
        gate.hold_dials()
        host.close()  # it may have run
        gate.turn()
        assert gate.held
        gate.t += late_ms
        gate.release()
        again = gate.at_host(1 - first)
        assert bool(again.read()) == repeats
        if repeats:
            gate.answered(again, client)
        else:
            assert client.read() in (ERR, b"-BUSY\r\n")


def test_a_kept_connection_that_the_host_ends_as_it_is_wanted_is_not_written_to(live):
    gate = live()
    client = gate.client()
    client.send(gate.request())
    kept = gate.at_host()
    kept.read()
    gate.answered(kept, client)
    gate.t += 50
    gate.counts = False
    client.send(gate.request("once"))
    gate.turn()  # it waits for the counter
    for peer in gate.counter_peers:
        if b"TALLY" in peer.read():
            peer.send(b"$1\r\n1\r\n")
    kept.close()  # both lie unread: the total, and the end of the kept connection
    gate.turn()
    anew = gate.at_host()
    assert anew.read()
    gate.answered(anew, client)


# Long and slow, and without end.


def test_a_long_answer_on_a_slow_line_is_served(live):
    gate = live(lanes=PATIENT)
    client = gate.client()
    host = out_at_host(gate, client)
    long = answer(4000 * b"x")
    for at in range(0, len(long), 800):  # a piece each 200 ms, longer in all than a silent one is waited for
        host.send(long[at : at + 800])
        gate.pass_ms(200)
    assert client.read() == long


def test_an_answer_that_falls_silent_in_the_middle_ends_soon(live):
    gate = live(lanes=PATIENT)
    client = gate.client()
    host = out_at_host(gate, client)
    host.send(VALUE[:9])
    gate.pass_ms(2 * gate.limits.answer_ms + 20)
    assert client.read() == ERR and host.read() == b"" and host.ended


def test_an_answer_that_trickles_within_its_form_ends_in_time(live):
    gate = live(lanes=PATIENT)
    client = gate.client()
    host = out_at_host(gate, client, d=3900)
    host.send(b"*3\r\n$60000\r\n")
    began = gate.t
    while gate.state_machine.context.counts["forward_reset"] == 0 and gate.t < began + 3500:
        host.send(b"x")
        gate.pass_ms(100)
    assert client.read() == ERR and gate.t - began <= gate.limits.answer_most_ms + 400


def test_a_long_command_on_a_slow_line_is_taken_and_half_a_one_is_not_waited_for_without_end(live):
    gate = live()
    client, stuck, endless = gate.client(), gate.client(), gate.client()
    request = gate.request("once", body=(2000 * b"x",))
    stuck.send(request[:50])
    endless.send(b"*5\r\n$9\r\nAPI.WRITE\r\n$9\r\n")
    piece = len(request) // 4 + 1
    for at in range(0, len(request), piece):
        client.send(request[at : at + piece])
        gate.pass_ms(700)  # longer in all than half a command is waited for
        endless.send(b"1")
    assert gate.state_machine.context.counts["taken"] == 1 and gate.at_host().read()
    assert stuck.read() == b"-ERR command not ended\r\n" and stuck.ended == "closed"
    while endless.ended == "" and gate.t < 1e13:
        gate.pass_ms(500)
        if endless.read().startswith(b"-ERR"):
            break
        endless.send(b"")
    assert endless.ended == "closed" and gate.state_machine.context.counts["malformed"] == 2


# Discovery's answers.


def hosts_known(gate):
    return sorted(place.address for place in gate.state_machine.endpoints.by_name.values())


def test_lists_may_come_indented_in_pieces_and_with_empty_lines_between(live):
    gate = live(hosts=2, known=False, listed=False)
    text = json.dumps(gate.listing(), indent=2).encode() + b"\n"
    watch = gate.watch()
    watch.send(WATCHED)
    for at in range(0, len(text), 37):
        watch.send(chunk(text[at : at + 37]))
        gate.turn(2)
    assert hosts_known(gate) == sorted(host.address for host in gate.hosts)
    gate.version += 5
    more = json.dumps(gate.listing(lifecycle="terminated"), indent="\t").replace("\n", "\r\n").encode()
    watch.send(chunk(b"\n") + chunk(more + b"\r\n\n"))
    gate.turn()
    assert hosts_known(gate) == [] and gate.state_machine.watch.version == gate.version
    assert gate.state_machine.context.counts["watch_spoilt"] == 0


def test_a_list_without_a_length_that_is_reset_on_the_way_changes_nothing(live):
    gate = live(hosts=2, known=False, listed=False)
    text = json.dumps(gate.listing(), indent=1).encode()
    watch = gate.watch()
    watch.send(b"HTTP/1.1 200 OK\r\n\r\n" + text[:-40])
    gate.turn()
    watch.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    watch.close()
    gate.turn()
    assert hosts_known(gate) == [] and gate.state_machine.state is LifecycleState.STARTING
    gate.pass_ms(150)
    watch = gate.watch()
    watch.send(b"HTTP/1.1 200 OK\r\n\r\n" + text + b"\n")  # and whole this time
    gate.turn()
    assert len(hosts_known(gate)) == 2 and gate.state_machine.state is LifecycleState.SERVING


@pytest.mark.parametrize(
    "said",
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
def test_an_answer_of_discovery_that_is_none_is_named_counted_and_costs_its_own_watch_only(live, said):
    gate = live()
    client = gate.client()
    gate.service.handle_input(Input.ADDRESSES_CHANGED, False, True)
    gate.turn()
    gate.watch().send(said)
    gate.turn()
    assert gate.watches[-1].read() == b"" and gate.watches[-1].ended
    assert gate.state_machine.context.counts["watch_spoilt"] == 1
    assert [figures["why"] for event, figures in gate.events if event == "watch malformed"]
    host = out_at_host(gate, client)  # the list as last had stands
    gate.answered(host, client)
    gate.pass_ms(200)
    assert gate.watch() is gate.watches[-1] and len(gate.watches) == 3  # and it is asked again


def test_a_list_that_never_ends_is_given_up_with_its_watch(live):
    gate = live(known=False, listed=False)
    watch = gate.watch()
    watch.send(WATCHED + chunk(b'{"generation":9,"instances":[\n'))
    began = gate.t
    while len(gate.watches) < 2 and gate.t < began + 6000:
        try:
            watch.send(chunk(b" \n"))
        except OSError:
            break
        gate.pass_ms(200)
        gate.watch()
    gate.pass_ms(300)
    assert gate.watch() is not watch and gate.t - began < 3500


# Floods, and descriptors run short.


def test_a_flood_behind_a_malformed_command_costs_no_answer_that_is_owed(live):
    gate = live()
    client, other = gate.client(), gate.client()
    host = out_at_host(gate, client)
    client.send(b"?\r\n")
    gate.turn()
    sent = 0
    for _ in range(200):  # more than is read of a connection that is over
        try:
            sent += client.sock.send(8192 * b"x")
        except BlockingIOError:
            gate.turn(1)
    assert sent > gate.limits.unread and gate.state_machine.context.counts["malformed"] == 1
    host.send(VALUE)
    gate.turn()
    assert client.read().startswith(VALUE + b"-ERR not a RESP2 value\r\n") and client.ended == "closed"
    host = out_at_host(gate, other)
    gate.answered(host, other)


def test_idle_clients_that_fill_the_descriptors_leave_discovery_counter_and_hosts_theirs(live):
    gate = live(sockets=48)
    gate.watches[-1].close()  # discovery goes down
    gate.turn()
    worker = gate.client()
    host = out_at_host(gate, worker)
    gate.answered(host, worker)
    host.close()
    idle = []
    for _ in range(100):
        idle.append(Peer(socket.create_connection(gate.listen)))
        gate.turn(1)
    assert (
        gate.state_machine.clients.accept_paused
        and len(gate.state_machine.clients.connections) < gate.limits.client_over
    )
    for peer in gate.counter_peers:
        peer.close()  # the counter's connections break: dialled again
    gate.counter_peers = []
    gate.pass_ms(700)
    worker.send(gate.request())
    gate.turn()
    gate.pass_ms(100)
    host = gate.at_host()
    assert gate.counter_peers and host.read()
    gate.answered(host, worker)
    version = gate.version
    gate.pass_ms(2500)
    gate.next_watch()
    gate.lists()  # discovery is back
    assert gate.state_machine.watch.version > version and gate.state_machine.watch.state is WatchState.OPEN
    assert len(gate.reactor.getReaders()) <= 48
    for peer in idle:
        peer.close()
