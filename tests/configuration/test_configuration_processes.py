"""Configuration over loopback: real control processes, and gateways that follow them over real sockets.

Each test waits for the effect that it caused, not for a fixed time; the time limit only ends a failed test.
"""

import json
import time
from contextlib import contextmanager

import pytest
from click.testing import CliRunner
from loopback import VALUE, LoopbackGateway, Server
from twisted.internet import reactor

from granitedock.__main__ import main
from granitedock.configuration import control_client, follower, line_framing
from granitedock.configuration.settings import GatewayFile
from granitedock.lab.faults.link_faults import CUT, NO_FAULT, LinkFaults
from granitedock.lab.faults.tcp_proxy import TcpProxy
from granitedock.lab.reactor import on_reactor
from granitedock.lab.scale.child_processes import ENDPOINT_LIST_EMULATOR, command_process
from granitedock.lab.scale.control_processes import (
    CLUSTER,
    control_processes,
    start_control,
    wait_for_version,
)
from granitedock.lab.scale.hollow_fleet import hollow_fleet

TIME_LIMIT_S = 20.0
# Largest step of the gateway's clock between two runs of its loop, as in `LoopbackGateway.pass_ms`.
MAX_STEP_MS = 20.0
PLAN = {"Name": "p", "Refill": 1000, "MostAtOnce": 1000}


@contextmanager
def following_gateway(tmp_path, addresses, **more):
    file = GatewayFile(enabled=True, cluster=CLUSTER, control=list(addresses), **more)
    gateway = LoopbackGateway(tmp_path, configuration=file)
    try:
        yield gateway
    finally:
        gateway.configuration.transport.follower.running = False
        gateway.close()


def run_until(gateway, predicate, clock=time.monotonic):
    """Run the gateway's loop until the predicate holds; its clock follows `clock()`, the real time in s.

    The gateway's clock advances by at most MAX_STEP_MS between runs of the loop. This prevents a delayed test
    process from moving the clock in one step past the timers of peers that could not run meanwhile; under
    load the clock runs slower instead.
    """
    last = began = clock()
    while not predicate():
        now = clock()
        assert now - began < TIME_LIMIT_S, gateway.log_events[-5:]
        gateway.now_ms, last = gateway.now_ms + min(MAX_STEP_MS, 1000.0 * (now - last)), now
        gateway.run_loop(2)


def wait_until_in_force(gateway, version):
    run_until(gateway, lambda: gateway.configuration.document.version >= version)


def change(base, put=(), remove=()):
    return json.dumps({"base": base, "plans": {"upsert": list(put), "remove": list(remove)}}).encode()


def serve_request(gateway, client_peer, name="read"):
    """Send one request through the gateway and its host, and return the client's response."""
    client_peer.send(gateway.request(name))
    host = accept_attempt(gateway)
    host.send(VALUE)
    return wait_for_answer(gateway, client_peer)


def accept_attempt(gateway):
    """Return the host's end of the connection of the next attempt, after reading its request.

    The gateway opens a connection, or reuses one that has been idle for `settle_ms`: on a slow machine that
    time may have passed since the last request.
    """
    received = []

    def attempt_arrived():
        gateway.accept_at_host()  # It is kept in `host_peers`.
        received.extend((peer, data) for peer in gateway.host_peers if (data := peer.read()))
        return received

    run_until(gateway, attempt_arrived)
    [(peer, data)] = received
    assert b"API." in data
    return peer


def wait_for_answer(gateway, client_peer):
    """Wait for the client's response and return it."""
    reads = []
    run_until(gateway, lambda: reads.append(client_peer.read()) or reads[-1])
    return reads[-1]


def test_a_change_applies_between_requests_and_a_request_in_flight_keeps_its_plan(tmp_path):
    with control_processes(3, 1) as (writer,), following_gateway(tmp_path, [writer.address]) as gateway:
        wait_until_in_force(gateway, 1)
        assert "tenant-00001" in gateway.state_machine.requests.plans
        first, second = gateway.client(), gateway.client()
        gateway.counter_answers = False  # The counter withholds its reply.
        first.send(gateway.request())
        run_until(gateway, lambda: gateway.state_machine.requests.in_flight)
        control_client.apply(writer.address, change(1, remove=["p"]), 5.0)
        wait_until_in_force(gateway, 2)
        gateway.counter_answers = True
        accept_attempt(gateway).send(VALUE)
        assert wait_for_answer(gateway, first) == VALUE
        second.send(gateway.request())
        assert wait_for_answer(gateway, second) == b"-ERR unknown product or plan\r\n"
        assert control_client.apply(writer.address, change(2, [PLAN]), 5.0)["version"] == 3
        wait_until_in_force(gateway, 3)
        gateway.pass_ms(gateway.limits.settle_ms)  # The first connection is reused, on any machine.
        assert serve_request(gateway, gateway.client()) == VALUE


def test_a_delayed_test_process_fails_no_request_in_flight(make_gateway):
    """Guards against a jump of the gateway's clock while the counter's reply is outstanding.

    A delay of 4.1 s, applied in one step, replaced the counter's connection and failed the request.
    """
    gateway = make_gateway()
    client = gateway.client()
    gateway.counter_answers = False  # The counter withholds its reply.
    client.send(gateway.request())
    run_until(gateway, lambda: gateway.state_machine.requests.in_flight)
    before_ms, readings_s, rounds = gateway.now_ms, [0.0, 4.1], []

    def real_time():
        return readings_s.pop(0) if len(readings_s) > 1 else readings_s[0]

    run_until(gateway, lambda: rounds.append(gateway.now_ms) or len(rounds) > 2, real_time)
    assert before_ms < gateway.now_ms <= before_ms + MAX_STEP_MS
    gateway.counter_answers = True
    accept_attempt(gateway).send(VALUE)
    assert wait_for_answer(gateway, client) == VALUE


def test_without_a_control_process_a_gateway_serves_and_restarts_with_its_last_configuration(tmp_path):
    copy = str(tmp_path / "g.copy")
    with control_processes(3, 1) as (writer,):
        with following_gateway(tmp_path, [writer.address], copy_file=copy) as gateway:
            wait_until_in_force(gateway, 1)
            control_client.apply(writer.address, change(1, [PLAN | {"Name": "new"}]), 5.0)
            wait_until_in_force(gateway, 2)
            writer.process.kill()
            run_until(gateway, lambda: gateway.configuration.follower.counts["dials"] >= 3)
            assert "new" in gateway.state_machine.requests.plans
            assert serve_request(gateway, gateway.client()) == VALUE
            gateway.configuration.stop()
        with following_gateway(tmp_path, [writer.address], copy_file=copy) as gateway:
            assert gateway.configuration.document.version == 2
            assert "new" in gateway.state_machine.requests.plans
            assert serve_request(gateway, gateway.client()) == VALUE


def test_a_corrupt_copy_is_logged_and_the_gateway_starts_without_it(tmp_path):
    copy = tmp_path / "g.copy"
    copy.write_bytes(b"no store at all" * 100)
    with (
        control_processes(2, 1) as (writer,),
        following_gateway(tmp_path, [writer.address], copy_file=str(copy)) as gateway,
    ):
        rejections = [
            figures for event, figures in gateway.log_events if event == "configuration copy rejected"
        ]
        assert rejections and str(copy) in rejections[0]["why"]
        wait_until_in_force(gateway, 1)


PAGE = b"<html><body>Please sign in</body></html>\n"
HTML = b"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: %d\r\n\r\n%b" % (len(PAGE), PAGE)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = CHUNKED + 40 * (b"10000\r\n" + b"x" * 65536 + b"\r\n")
REFUSED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    ("answer", "why"),
    [
        (HTML, "not JSON"),
        (ENDLESS, "a line of more than"),
        (REFUSED, "status 503"),
        (b"-ERR no\r\n\r\n", ""),
    ],
    ids=["html", "a line without end", "status", "no http"],
)
def test_a_server_that_is_no_control_process_is_rejected_and_the_next_address_followed(
    tmp_path, monkeypatch, answer, why
):
    monkeypatch.setattr(follower, "address_order", lambda name, addresses: addresses)
    monkeypatch.setattr(line_framing, "MAX_LINE_BYTES", 1 << 20)
    monkeypatch.setattr(line_framing.LineBuffer.__init__, "__defaults__", (1 << 20,))
    other_server = Server()
    with (
        control_processes(2, 1) as (writer,),
        following_gateway(tmp_path, [other_server.address, writer.address]) as gateway,
    ):
        peers = []

        def answer_and_check():
            if (peer := other_server.accept()) is not None:
                peers.append(peer)
                peer.sock.setblocking(True)
                peer.sock.settimeout(5.0)
            if peers and not answer_and_check.done:
                answer_and_check.done = True
                for at in range(0, len(answer), 65536):
                    try:
                        peers[0].send(answer[at : at + 65536])
                    except OSError:
                        break  # The gateway has rejected the connection meanwhile.
                    gateway.run_loop(1)
            return gateway.configuration.document.version >= 1

        answer_and_check.done = False
        run_until(gateway, answer_and_check)
        reasons = [
            figures["why"] for event, figures in gateway.log_events if event == "control connection rejected"
        ]
        assert len(reasons) == 1 and why in reasons[0], reasons
        assert gateway.configuration.follower.counts["refused"] == 1
    other_server.sock.close()


def test_changes_made_during_a_partition_are_in_force_everywhere_within_10_s_of_its_end(tmp_path):
    """Guards against a replica that recovers slowly from a partition between its region and the writer's.

    The gateway follows the replica in its own region. The link between the regions may be cut for any time:
    only the reconnect backoff grows with it, and the backoff has reached its maximum.
    """
    link_faults = LinkFaults(1)
    directions = [("replica", "writer"), ("writer", "replica")]
    with control_processes(3, 1) as (writer,):
        proxy = on_reactor(TcpProxy, reactor, link_faults, "replica", "writer", "127.0.0.1:0", writer.address)
        replica = start_control(tmp_path, "replica", [proxy.address], None)
        try:
            wait_for_version([replica], 1)
            with following_gateway(tmp_path, [replica.address]) as gateway:
                wait_until_in_force(gateway, 1)
                on_reactor(link_faults.set, CUT, directions)
                for base in (1, 2, 3):
                    plan = PLAN | {"Refill": 1000 + base}
                    control_client.apply(writer.address, change(base, [plan]), 5.0)
                # The replica has abandoned its connection, and its attempts to reconnect fail.
                run_until(gateway, lambda: replica.status()["following"]["counts"]["dials"] >= 4)
                assert gateway.configuration.document.version == 1
                new_replica = start_control(tmp_path, "late", [replica.address], None)
                try:
                    wait_for_version([new_replica], 1)  # Served from the replica's own store.
                finally:
                    new_replica.process.kill()
                    new_replica.process.wait()
                assert serve_request(gateway, gateway.client()) == VALUE
                healed_at = time.monotonic()
                on_reactor(link_faults.set, NO_FAULT, directions)
                wait_until_in_force(gateway, 4)
                assert time.monotonic() - healed_at < 10.0
                assert gateway.state_machine.requests.plans["p"].rate == pytest.approx(1.003)
        finally:
            replica.process.kill()
            replica.process.wait()
            replica.process.stdout.close()
            on_reactor(proxy.stop)


def test_followers_of_a_killed_control_process_follow_the_remaining_ones(tmp_path):
    with (
        command_process(ENDPOINT_LIST_EMULATOR, "10") as emulator,
        control_processes(20, 3) as running,
        hollow_fleet(
            12, emulator.announcement, False, tuple(process.address for process in running), CLUSTER
        ) as fleet,
    ):
        fleet.wait_until(lambda state: state.version == 1)
        writer, killed, remaining = running
        # Each gateway's order depends on the addresses; very likely, some gateways follow each process.
        followers_before = {follower_status["name"] for follower_status in killed.status()["followers"]}
        assert followers_before
        killed.process.kill()
        control_client.apply(writer.address, change(1, [PLAN]), 5.0)
        fleet.wait_until(lambda state: state.version == 2)
        followers_now = {
            follower_status["name"]
            for process in (writer, remaining)
            for follower_status in process.status()["followers"]
        }
        assert followers_before <= followers_now
        digests = {state.digest for state in fleet.gateways()}
        assert digests == {writer.status()["digest"]}


def run(*words):
    return CliRunner().invoke(main, list(words))


def test_the_config_commands_check_apply_show_and_report_lag(tmp_path):
    file = tmp_path / "change.json"
    file.write_bytes(change(1, [PLAN | {"Name": "gold"}]))
    with control_processes(3, 2) as (writer, replica):
        assert "1 entries on version 1" in run("config", "check", str(file)).output
        rejected = run("config", "apply", str(file), "--to", replica.address)
        assert rejected.exit_code == 1 and "is a replica" in rejected.output
        assert run("config", "apply", str(file), "--to", writer.address).output.startswith(
            "version 2, digest "
        )
        conflicting = run("config", "apply", str(file), "--to", writer.address)
        assert conflicting.exit_code == 1 and "the present version is 2, not 1" in conflicting.output
        wait_for_version([replica], 2)
        shown = json.loads(run("config", "show", replica.address, "--plan", "gold").output)
        assert shown == PLAN | {"Name": "gold", "WindowMs": 2000.0}
        assert "no plan 'silver'" in run("config", "show", replica.address, "--plan", "silver").output
        status = run("config", "status", writer.address, replica.address)
        assert status.exit_code == 0 and "0 gateways: none" in status.output
        unreachable = run("config", "status", writer.address, "127.0.0.1:1")
        assert unreachable.exit_code == 1 and "127.0.0.1:1: no answer" in unreachable.output
        file.write_bytes(b'{"base": 2, "plans": {"upsert": [{"Name": "x", "Refill": -1}]}}')
        invalid = run("config", "check", str(file))
        assert invalid.exit_code == 1 and f"{file}: plans.upsert[0].Refill: a number from 0" in invalid.output


def test_a_control_process_with_an_invalid_file_or_store_does_not_start(tmp_path):
    file = tmp_path / "control.toml"
    file.write_text('name = "c"\nlisten = "127.0.0.1"\nstore = "x.db"\n')
    result = run("control", "--config", str(file))
    assert result.exit_code == 1 and f"{file}:2: listen: Value error, not an address" in result.output
    file.write_text('name = "c"\nlisten = "127.0.0.1:1"\nstore = "x.db"\nfollow = ["127.0.0.1:1"]\n')
    assert "follow: this process's own address" in run("control", "--config", str(file)).output
    store = tmp_path / "c.db"
    store.write_bytes(b"no store" * 1000)
    file.write_text(f'name = "c"\nlisten = "127.0.0.1:0"\nstore = "{store}"\n')
    result = run("control", "--config", str(file))
    assert result.exit_code == 1 and f"{store}: cannot be used as a store" in result.output
