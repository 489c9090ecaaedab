"""The rig: real gateways are started, killed, paused and restarted, and the wires between processes fail."""

import socket
import time
from random import Random

from pytest import raises

from granitedock.lab.cluster.cluster import FLEET_PORT, Rig, RigError, on_loop
from granitedock.lab.faults.proxies import Fate, arrivals
from granitedock.lab.scenario import ScenarioError, parse

WORLD = """
seed = 3
length_s = 30
[fleet]
gateways = 3
[[fleet.zones]]
name = "east"
hosts = 2
service = { kind = "fixed", mean_ms = 5 }
[[clients]]
customer = 161
product = "read"
plan = "p"
rate = 10
"""


def task(rig, n, tag, within_s=2.0):
    words = b"%016x" % 161, b"%016x" % tag, b"c=read,t=p,d=1500,units=1,spread=1,first=0"
    return rig.ask(n, b"API.READ", *words, within_s=within_s)


def test_gateways_are_killed_paused_cut_and_restarted_and_none_outlives_the_rig(tmp_path):
    with Rig(parse(WORLD), tmp_path) as rig:
        rig.ready()
        assert task(rig, 0, 1) == b"*3"
        rig.kill(1)
        with raises(RigError):
            rig.ask(1, b"PING")
        rig.pause(2)
        with raises(RigError):
            rig.ask(2, b"PING", within_s=0.3)
        rig.wake(2)
        assert rig.ask(2, b"PING") == b"+PONG"
        rig.start(1)
        rig.ready(1)
        assert task(rig, 1, 2) == b"*3" and rig.gateways[1].starts == 2
        # Cut off from every host, a task taken gets its one answer in time, and none of it came through.
        seen = sum(host.seen for host in rig.hosts)
        rig.cut([0], "hosts")
        assert task(rig, 0, 3)[:1] == b"-" and sum(host.seen for host in rig.hosts) == seen
        rig.heal()
        time.sleep(0.3)
        assert task(rig, 0, 4) == b"*3"
        assert rig.stop(2) == [0]
        ids = [gateway.process.pid for gateway in rig.gateways]
        raise_in_test = raises(ZeroDivisionError)
    with raise_in_test, Rig(parse(WORLD), tmp_path) as rig:
        ids += [gateway.process.pid for gateway in rig.gateways]
        rig.pause(0)
        1 / 0  # noqa: B018
    assert len(ids) == 6
    assert all(gateway.process.poll() is not None for gateway in rig.gateways)


def test_a_cut_counter_never_comes_up_while_what_is_open_stays_open(tmp_path):
    with Rig(parse(WORLD), tmp_path) as rig:
        wire = next(wire for wire in rig.tcp if wire.party == "counter" and wire.gateway == "gateway/0")
        host, _, port = wire.address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=1) as line:
            line.sendall(b"*1\r\n$4\r\nPING\r\n")
            assert line.recv(64) == b"+PONG\r\n"
            rig.cut([0], "counter", "in")  # asked, but its answers do not come back
            line.sendall(b"*1\r\n$4\r\nPING\r\n")
            line.settimeout(0.3)
            with raises(TimeoutError):
                line.recv(64)
            with raises(TimeoutError):
                socket.create_connection((host, int(port)), timeout=0.3).close()
            rig.heal()
            line.settimeout(2)
            assert line.recv(64) == b"+PONG\r\n"
            socket.create_connection((host, int(port)), timeout=3).close()


def test_datagrams_are_lost_late_twice_and_cut_in_one_direction_only(tmp_path):
    with Rig(parse(WORLD), tmp_path) as rig:
        ends = []
        for n in (0, 1):
            end = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            end.bind((rig.own(n), FLEET_PORT))
            end.settimeout(0.4)
            ends.append(end)
        stands = [(rig.stand(n), FLEET_PORT) for n in (0, 1)]

        def come(n):
            got = []
            while True:
                try:
                    got.append(ends[n].recvfrom(2000))
                except TimeoutError:
                    return got

        ends[0].sendto(b"there", stands[1])
        ends[1].sendto(b"back", stands[0])
        assert come(1) == [(b"there", stands[0])] and come(0) == [(b"back", stands[1])]
        rig.cut([0], [1], "out")
        ends[0].sendto(b"there", stands[1])
        ends[1].sendto(b"back", stands[0])
        assert come(1) == [] and come(0) == [(b"back", stands[1])]
        rig.wire(Fate(late_ms=100, twice=1, short=1), [0], [1], "out")
        ends[0].sendto(b"12345678", stands[1])
        assert come(1) == [(b"1234", stands[0])] * 2
        rig.heal()
        # A process that is gone refuses, as a kernel does for a port that nobody listens at.
        on_loop(rig.wires.close, "gateway/1")
        ends[0].connect(stands[1])
        ends[0].send(b"anybody?")
        with raises(ConnectionRefusedError):
            ends[0].recv(10)
        for end in ends:
            end.close()


def test_chance_is_seeded_and_a_lossy_wire_loses_its_share():
    def play(seed):
        chance, fate = Random(seed), Fate(lost=0.1, twice=0.05, jitter_ms=20)
        return [arrivals(fate, b"x", chance) for _ in range(2000)]

    assert play(5) == play(5) != play(6)
    assert 0.07 < sum(not come for come in play(5)) / 2000 < 0.13


def test_a_timeline_takes_gateways_and_groups_and_says_where_a_bad_one_stands():
    fault = '[[timeline]]\nat_s = 1\nwhat = "cut"\ntarget = "gateway/0-1"\noff = "%s"\n'
    assert parse(WORLD + fault % "gateway/2").timeline[0].off == "gateway/2"
    line = len(WORLD.splitlines()) + 4
    with raises(ScenarioError, match=rf":{line + 1}: timeline.0.off: neither gateways nor one of"):
        parse(WORLD + fault % "gateway/7")
    with raises(ScenarioError, match=rf":{line}: timeline.0.target: 'cut' takes a gateway, not 'gateway/9'"):
        parse(WORLD + (fault % "counter").replace("0-1", "9"))
