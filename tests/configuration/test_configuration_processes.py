"""Configuration over loopback: real control processes, and gateways that follow them over real sockets.

Each story waits for what it caused, not for a time; the bound is only there to end a story that failed.
"""

import json
import time
from contextlib import contextmanager

import pytest
from click.testing import CliRunner
from loopback import VALUE, Live, Server
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

WITHIN_S = 20.0
MAX_STEP_MS = 20.0  # of the gateway's clock between two rounds of turns; as in `Live.pass_ms`
PLAN = {"Name": "p", "Refill": 1000, "MostAtOnce": 1000}


@contextmanager
def gateway(tmp_path, addresses, **more):
    file = GatewayFile(enabled=True, cluster=CLUSTER, control=list(addresses), **more)
    live = Live(tmp_path, configuration=file)
    try:
        yield live
    finally:
        live.configuration.transport.follower.running = False
        live.close()


def until(live, true, clock=time.monotonic):
    """Turn the gateway's loop until the predicate holds; its clock follows `clock()`, the real time in s.

    The clock advances by at most MAX_STEP_MS between turns. Prevents a test process that is held up from
    moving the gateway's clock in one step past the timers of peers that had no turn; under load the clock
    runs slower instead.
    """
    last = began = clock()
    while not true():
        now = clock()
        assert now - began < WITHIN_S, live.events[-5:]
        live.t, last = live.t + min(MAX_STEP_MS, 1000.0 * (now - last)), now
        live.turn(2)


def has(live, version):
    until(live, lambda: live.configuration.document.version >= version)


def change(base, put=(), remove=()):
    return json.dumps({"base": base, "plans": {"upsert": list(put), "remove": list(remove)}}).encode()


def served(live, client_peer, name="read"):
    """One request through the gateway and its host; what the client is answered."""
    client_peer.send(live.request(name))
    host = attempt(live)
    host.send(VALUE)
    return answer_of(live, client_peer)


def attempt(live):
    """The host's end of the attempt that is due, its request read."""
    found = []
    until(live, lambda: found or found.extend(filter(None, [live.at_host()])) or found)
    found[0].wait()
    assert b"API." in found[0].read()
    return found[0]


def answer_of(live, client_peer):
    """What the client is answered, once something is."""
    said = []
    until(live, lambda: said.append(client_peer.read()) or said[-1])
    return said[-1]


def test_a_change_is_in_force_between_requests_and_one_in_hand_keeps_its_plan(tmp_path):
    with control_processes(3, 1) as (writer,), gateway(tmp_path, [writer.address]) as live:
        has(live, 1)
        assert "tenant-00001" in live.state_machine.requests.plans
        first, second = live.client(), live.client()
        live.counts = False  # the counter holds its answer back
        first.send(live.request())
        until(live, lambda: live.state_machine.requests.in_flight)
        control_client.apply(writer.address, change(1, remove=["p"]), 5.0)
        has(live, 2)
        live.counts = True
        attempt(live).send(VALUE)
        assert answer_of(live, first) == VALUE
        second.send(live.request())
        assert answer_of(live, second) == b"-ERR unknown product or plan\r\n"
        assert control_client.apply(writer.address, change(2, [PLAN]), 5.0)["version"] == 3
        has(live, 3)
        assert served(live, live.client()) == VALUE


def test_a_test_process_that_is_held_up_ends_no_request_in_flight(live):
    """Guards against a jump of the gateway's clock while the counter's answer is outstanding.

    A hold-up of 4.1 s passed on in one step replaced the counter's connection and failed the request.
    """
    gateway = live()
    client = gateway.client()
    gateway.counts = False  # the counter holds its answer back
    client.send(gateway.request())
    until(gateway, lambda: gateway.state_machine.requests.in_flight)
    before_ms, held_up, rounds = gateway.t, [0.0, 4.1], []

    def real_time():
        return held_up.pop(0) if len(held_up) > 1 else held_up[0]

    until(gateway, lambda: rounds.append(gateway.t) or len(rounds) > 2, real_time)
    assert before_ms < gateway.t <= before_ms + MAX_STEP_MS
    gateway.counts = True
    attempt(gateway).send(VALUE)
    assert answer_of(gateway, client) == VALUE


def test_a_gateway_goes_on_and_starts_again_without_control_by_what_it_last_had(tmp_path):
    copy = str(tmp_path / "g.copy")
    with control_processes(3, 1) as (writer,):
        with gateway(tmp_path, [writer.address], copy_file=copy) as live:
            has(live, 1)
            control_client.apply(writer.address, change(1, [PLAN | {"Name": "new"}]), 5.0)
            has(live, 2)
            writer.process.kill()
            until(live, lambda: live.configuration.follower.counts["dials"] >= 3)
            assert "new" in live.state_machine.requests.plans
            assert served(live, live.client()) == VALUE
            live.configuration.stop()
        with gateway(tmp_path, [writer.address], copy_file=copy) as live:
            assert live.configuration.document.version == 2
            assert "new" in live.state_machine.requests.plans
            assert served(live, live.client()) == VALUE


def test_a_copy_that_is_torn_is_named_and_the_gateway_starts_without_it(tmp_path):
    copy = tmp_path / "g.copy"
    copy.write_bytes(b"no store at all" * 100)
    with (
        control_processes(2, 1) as (writer,),
        gateway(tmp_path, [writer.address], copy_file=str(copy)) as live,
    ):
        refused = [figures for event, figures in live.events if event == "configuration copy rejected"]
        assert refused and str(copy) in refused[0]["why"]
        has(live, 1)


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
def test_what_is_no_control_process_is_refused_and_the_next_address_followed(
    tmp_path, monkeypatch, answer, why
):
    monkeypatch.setattr(follower, "address_order", lambda name, addresses: addresses)
    monkeypatch.setattr(line_framing, "MAX_LINE_BYTES", 1 << 20)
    monkeypatch.setattr(line_framing.LineBuffer.__init__, "__defaults__", (1 << 20,))
    strange = Server()
    with control_processes(2, 1) as (writer,), gateway(tmp_path, [strange.address, writer.address]) as live:
        peers = []

        def answered():
            if (peer := strange.take()) is not None:
                peers.append(peer)
                peer.sock.setblocking(True)
                peer.sock.settimeout(5.0)
            if peers and not answered.done:
                answered.done = True
                for at in range(0, len(answer), 65536):
                    try:
                        peers[0].send(answer[at : at + 65536])
                    except OSError:
                        break  # it was refused meanwhile
                    live.turn(1)
            return live.configuration.document.version >= 1

        answered.done = False
        until(live, answered)
        said = [figures["why"] for event, figures in live.events if event == "control connection rejected"]
        assert len(said) == 1 and why in said[0], said
        assert live.configuration.follower.counts["refused"] == 1
    strange.sock.close()


def test_changes_made_while_the_regions_are_cut_are_in_force_everywhere_within_10_s_of_the_heal(tmp_path):
    """The writer stands in the other region, a replica in the gateway's own; the wire between them is cut for
    as long as the story likes: all that grows with the time is the back-off, which is at its longest."""
    link_faults = LinkFaults(1)
    ways = [("replica", "writer"), ("writer", "replica")]
    with control_processes(3, 1) as (writer,):
        wire = on_reactor(TcpProxy, reactor, link_faults, "replica", "writer", "127.0.0.1:0", writer.address)
        replica = start_control(tmp_path, "replica", [wire.address], None)
        try:
            wait_for_version([replica], 1)
            with gateway(tmp_path, [replica.address]) as live:
                has(live, 1)
                on_reactor(link_faults.set, CUT, ways)
                for base in (1, 2, 3):
                    plan = PLAN | {"Refill": 1000 + base}
                    control_client.apply(writer.address, change(base, [plan]), 5.0)
                # Cut off: the replica has given its connection up and dials again and again, in vain.
                until(live, lambda: replica.status()["following"]["counts"]["dials"] >= 4)
                assert live.configuration.document.version == 1
                fresh = start_control(tmp_path, "late", [replica.address], None)
                try:
                    wait_for_version([fresh], 1)  # served from the replica's own store
                finally:
                    fresh.process.kill()
                    fresh.process.wait()
                assert served(live, live.client()) == VALUE
                healed = time.monotonic()
                on_reactor(link_faults.set, NO_FAULT, ways)
                has(live, 4)
                assert time.monotonic() - healed < 10.0
                assert live.state_machine.requests.plans["p"].rate == pytest.approx(1.003)
        finally:
            replica.process.kill()
            replica.process.wait()
            replica.process.stdout.close()
            on_reactor(wire.stop)


def test_followers_of_a_control_process_that_is_killed_go_on_with_the_rest(tmp_path):
    with (
        command_process(ENDPOINT_LIST_EMULATOR, "10") as emulator,
        control_processes(20, 3) as running,
        hollow_fleet(
            12, emulator.announcement, False, tuple(one.address for one in running), CLUSTER
        ) as fleet,
    ):
        fleet.wait_until(lambda state: state.version == 1)
        writer, lost, kept = running
        had = {one["name"] for one in lost.status()["followers"]}
        assert had  # by the gateways' own orders, which hang on the addresses: some follow each with any luck
        lost.process.kill()
        control_client.apply(writer.address, change(1, [PLAN]), 5.0)
        fleet.wait_until(lambda state: state.version == 2)
        now = {one["name"] for other in (writer, kept) for one in other.status()["followers"]}
        assert had <= now
        digests = {state.digest for state in fleet.gateways()}
        assert digests == {writer.status()["digest"]}


def run(*words):
    return CliRunner().invoke(main, list(words))


def test_the_commands_check_apply_show_and_tell_who_lags(tmp_path):
    file = tmp_path / "change.json"
    file.write_bytes(change(1, [PLAN | {"Name": "gold"}]))
    with control_processes(3, 2) as (writer, replica):
        assert "1 entries on version 1" in run("config", "check", str(file)).output
        refused = run("config", "apply", str(file), "--to", replica.address)
        assert refused.exit_code == 1 and "is a replica" in refused.output
        assert run("config", "apply", str(file), "--to", writer.address).output.startswith(
            "version 2, digest "
        )
        again = run("config", "apply", str(file), "--to", writer.address)
        assert again.exit_code == 1 and "the present version is 2, not 1" in again.output
        wait_for_version([replica], 2)
        shown = json.loads(run("config", "show", replica.address, "--plan", "gold").output)
        assert shown == PLAN | {"Name": "gold", "WindowMs": 2000.0}
        assert "no plan 'silver'" in run("config", "show", replica.address, "--plan", "silver").output
        status = run("config", "status", writer.address, replica.address)
        assert status.exit_code == 0 and "0 gateways: none" in status.output
        gone = run("config", "status", writer.address, "127.0.0.1:1")
        assert gone.exit_code == 1 and "127.0.0.1:1: no answer" in gone.output
        file.write_bytes(b'{"base": 2, "plans": {"upsert": [{"Name": "x", "Refill": -1}]}}')
        wrong = run("config", "check", str(file))
        assert wrong.exit_code == 1 and f"{file}: plans.upsert[0].Refill: a number from 0" in wrong.output


def test_a_control_process_with_a_wrong_file_or_store_starts_nothing(tmp_path):
    file = tmp_path / "control.toml"
    file.write_text('name = "c"\nlisten = "127.0.0.1"\nstore = "x.db"\n')
    said = run("control", "--config", str(file))
    assert said.exit_code == 1 and f"{file}:2: listen: Value error, not an address" in said.output
    file.write_text('name = "c"\nlisten = "127.0.0.1:1"\nstore = "x.db"\nfollow = ["127.0.0.1:1"]\n')
    assert "follow: this process's own address" in run("control", "--config", str(file)).output
    store = tmp_path / "c.db"
    store.write_bytes(b"no store" * 1000)
    file.write_text(f'name = "c"\nlisten = "127.0.0.1:0"\nstore = "{store}"\n')
    said = run("control", "--config", str(file))
    assert said.exit_code == 1 and f"{store}: cannot be used as a store" in said.output
