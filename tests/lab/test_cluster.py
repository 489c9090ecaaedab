"""The test cluster: real gateways are started, killed, paused and restarted, and links have faults."""

import socket
import time
from random import Random

from pytest import raises

from granitedock.lab.cluster.cluster import GatewayCluster
from granitedock.lab.cluster.errors import ClusterError
from granitedock.lab.cluster.network import MEMBERSHIP_PORT
from granitedock.lab.faults.link_faults import LinkFault, deliveries
from granitedock.lab.reactor import on_reactor
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


def request(cluster, n, request_id, within_s=2.0):
    words = b"%016x" % 161, b"%016x" % request_id, b"c=read,t=p,d=1500,units=1,spread=1,first=0"
    return cluster.ask(n, b"API.READ", *words, within_s=within_s)


def test_gateways_are_killed_paused_cut_and_restarted_and_none_outlives_the_cluster(tmp_path):
    with GatewayCluster(parse(WORLD), tmp_path) as cluster:
        cluster.wait_until_ready()
        assert request(cluster, 0, 1) == b"*3"
        cluster.kill(1)
        with raises(ClusterError):
            cluster.ask(1, b"PING")
        cluster.pause(2)
        with raises(ClusterError):
            cluster.ask(2, b"PING", within_s=0.3)
        cluster.resume(2)
        assert cluster.ask(2, b"PING") == b"+PONG"
        cluster.start(1)
        cluster.wait_until_ready(1)
        assert request(cluster, 1, 2) == b"*3" and cluster.gateways[1].starts == 2
        # Cut off from every host, a request taken gets its one answer in time, and none of it came through.
        seen = sum(host.received for host in cluster.hosts)
        cluster.cut([0], "hosts")
        assert request(cluster, 0, 3)[:1] == b"-" and sum(host.received for host in cluster.hosts) == seen
        cluster.heal()
        time.sleep(0.3)
        assert request(cluster, 0, 4) == b"*3"
        assert cluster.stop(2) == [0]
        ids = [gateway.process.pid for gateway in cluster.gateways]
        raise_in_test = raises(ZeroDivisionError)
    with raise_in_test, GatewayCluster(parse(WORLD), tmp_path) as cluster:
        ids += [gateway.process.pid for gateway in cluster.gateways]
        cluster.pause(0)
        1 / 0  # noqa: B018
    assert len(ids) == 6
    assert all(gateway.process.poll() is not None for gateway in cluster.gateways)


def test_a_cut_counter_never_comes_up_while_what_is_open_stays_open(tmp_path):
    with GatewayCluster(parse(WORLD), tmp_path) as cluster:
        links = (one for one in cluster.tcp_proxies if one.party == "counter")
        link = next(one for one in links if one.gateway == "gateway/0")
        host, _, port = link.address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=1) as line:
            line.sendall(b"*1\r\n$4\r\nPING\r\n")
            assert line.recv(64) == b"+PONG\r\n"
            cluster.cut([0], "counter", "in")  # asked, but its answers do not come back
            line.sendall(b"*1\r\n$4\r\nPING\r\n")
            line.settimeout(0.3)
            with raises(TimeoutError):
                line.recv(64)
            with raises(TimeoutError):
                socket.create_connection((host, int(port)), timeout=0.3).close()
            cluster.heal()
            line.settimeout(2)
            assert line.recv(64) == b"+PONG\r\n"
            socket.create_connection((host, int(port)), timeout=3).close()


def test_datagrams_are_lost_late_twice_and_cut_in_one_direction_only(tmp_path):
    with GatewayCluster(parse(WORLD), tmp_path) as cluster:
        ends = []
        for n in (0, 1):
            end = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            end.bind((cluster.gateway_host(n), MEMBERSHIP_PORT))
            end.settimeout(0.4)
            ends.append(end)
        proxies = [(cluster.proxy_host(n), MEMBERSHIP_PORT) for n in (0, 1)]

        def come(n):
            got = []
            while True:
                try:
                    got.append(ends[n].recvfrom(2000))
                except TimeoutError:
                    return got

        ends[0].sendto(b"there", proxies[1])
        ends[1].sendto(b"back", proxies[0])
        assert come(1) == [(b"there", proxies[0])] and come(0) == [(b"back", proxies[1])]
        cluster.cut([0], [1], "out")
        ends[0].sendto(b"there", proxies[1])
        ends[1].sendto(b"back", proxies[0])
        assert come(1) == [] and come(0) == [(b"back", proxies[1])]
        cluster.set_link_fault(LinkFault(delay_ms=100, duplicated=1, truncated=1), [0], [1], "out")
        ends[0].sendto(b"12345678", proxies[1])
        assert come(1) == [(b"1234", proxies[0])] * 2
        cluster.heal()
        # A process that is gone refuses, as a kernel does for a port that nobody listens at.
        on_reactor(cluster.surroundings.datagram_proxy.close, "gateway/1")
        ends[0].connect(proxies[1])
        ends[0].send(b"anybody?")
        with raises(ConnectionRefusedError):
            ends[0].recv(10)
        for end in ends:
            end.close()


def test_chance_is_seeded_and_a_lossy_link_loses_its_share():
    def play(seed):
        random, fault = Random(seed), LinkFault(lost=0.1, duplicated=0.05, jitter_ms=20)
        return [deliveries(fault, b"x", random) for _ in range(2000)]

    assert play(5) == play(5) != play(6)
    assert 0.07 < sum(not come for come in play(5)) / 2000 < 0.13


def test_a_timeline_takes_gateways_and_groups_and_says_where_a_bad_one_proxies():
    fault = '[[timeline]]\nat_s = 1\nwhat = "cut"\ntarget = "gateway/0-1"\noff = "%s"\n'
    assert parse(WORLD + fault % "gateway/2").timeline[0].other_side == "gateway/2"
    line = len(WORLD.splitlines()) + 4
    with raises(ScenarioError, match=rf":{line + 1}: timeline.0.off: neither gateways nor one of"):
        parse(WORLD + fault % "gateway/7")
    with raises(ScenarioError, match=rf":{line}: timeline.0.target: 'cut' takes a gateway, not 'gateway/9'"):
        parse(WORLD + (fault % "counter").replace("0-1", "9"))
