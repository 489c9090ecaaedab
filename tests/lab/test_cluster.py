"""The test cluster: real gateway processes, and faults of processes and links.

The tests guard against processes that outlive the cluster, and against faults that affect other links, other
directions or other shares of the data than stated.
"""

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

SCENARIO = """
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


def request(cluster, number, request_id, within_s=2.0):
    words = b"%016x" % 161, b"%016x" % request_id, b"c=read,t=p,d=1500,units=1,spread=1,first=0"
    return cluster.ask(number, b"API.READ", *words, within_s=within_s)


def test_gateways_are_killed_paused_isolated_and_restarted_and_none_outlives_the_cluster(tmp_path):
    with GatewayCluster(parse(SCENARIO), tmp_path) as cluster:
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
        # A gateway that is cut off from every host still replies in time, and no host receives the request.
        received = sum(host.received for host in cluster.hosts)
        cluster.cut([0], "hosts")
        assert request(cluster, 0, 3)[:1] == b"-" and sum(host.received for host in cluster.hosts) == received
        cluster.heal()
        time.sleep(0.3)
        assert request(cluster, 0, 4) == b"*3"
        assert cluster.stop(2) == [0]
        ids = [gateway.process.pid for gateway in cluster.gateways]
        raise_in_test = raises(ZeroDivisionError)
    with raise_in_test, GatewayCluster(parse(SCENARIO), tmp_path) as cluster:
        ids += [gateway.process.pid for gateway in cluster.gateways]
        cluster.pause(0)
        1 / 0  # noqa: B018
    assert len(ids) == 6
    assert all(gateway.process.poll() is not None for gateway in cluster.gateways)


def test_a_cut_link_accepts_no_connection_while_open_connections_stay_open(tmp_path):
    with GatewayCluster(parse(SCENARIO), tmp_path) as cluster:
        proxies = (proxy for proxy in cluster.tcp_proxies if proxy.party == "counter")
        proxy = next(proxy for proxy in proxies if proxy.gateway == "gateway/0")
        host, _, port = proxy.address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=1) as connection:
            connection.sendall(b"*1\r\n$4\r\nPING\r\n")
            assert connection.recv(64) == b"+PONG\r\n"
            cluster.cut([0], "counter", "in")  # Requests arrive, but replies are buffered.
            connection.sendall(b"*1\r\n$4\r\nPING\r\n")
            connection.settimeout(0.3)
            with raises(TimeoutError):
                connection.recv(64)
            with raises(TimeoutError):
                socket.create_connection((host, int(port)), timeout=0.3).close()
            cluster.heal()
            connection.settimeout(2)
            assert connection.recv(64) == b"+PONG\r\n"
            socket.create_connection((host, int(port)), timeout=3).close()


def test_datagrams_are_cut_delayed_duplicated_and_truncated_in_one_direction_only(tmp_path):
    with GatewayCluster(parse(SCENARIO), tmp_path) as cluster:
        sockets = []
        for number in (0, 1):
            udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            udp_socket.bind((cluster.gateway_host(number), MEMBERSHIP_PORT))
            udp_socket.settimeout(0.4)
            sockets.append(udp_socket)
        proxies = [(cluster.proxy_host(number), MEMBERSHIP_PORT) for number in (0, 1)]

        def receive_all(number):
            datagrams = []
            while True:
                try:
                    datagrams.append(sockets[number].recvfrom(2000))
                except TimeoutError:
                    return datagrams

        sockets[0].sendto(b"there", proxies[1])
        sockets[1].sendto(b"back", proxies[0])
        assert receive_all(1) == [(b"there", proxies[0])] and receive_all(0) == [(b"back", proxies[1])]
        cluster.cut([0], [1], "out")
        sockets[0].sendto(b"there", proxies[1])
        sockets[1].sendto(b"back", proxies[0])
        assert receive_all(1) == [] and receive_all(0) == [(b"back", proxies[1])]
        cluster.set_link_fault(LinkFault(delay_ms=100, duplicated=1, truncated=1), [0], [1], "out")
        sockets[0].sendto(b"12345678", proxies[1])
        assert receive_all(1) == [(b"1234", proxies[0])] * 2
        cluster.heal()
        # The kernel refuses datagrams to a process that has ended, as for any port without a listener.
        on_reactor(cluster.surroundings.datagram_proxy.close, "gateway/1")
        sockets[0].connect(proxies[1])
        sockets[0].send(b"anybody?")
        with raises(ConnectionRefusedError):
            sockets[0].recv(10)
        for udp_socket in sockets:
            udp_socket.close()


def test_random_draws_are_seeded_and_a_lossy_link_loses_its_share():
    def draw_deliveries(seed):
        random, fault = Random(seed), LinkFault(lost=0.1, duplicated=0.05, jitter_ms=20)
        return [deliveries(fault, b"x", random) for _ in range(2000)]

    assert draw_deliveries(5) == draw_deliveries(5) != draw_deliveries(6)
    assert 0.07 < sum(not delivered for delivered in draw_deliveries(5)) / 2000 < 0.13


def test_a_timeline_accepts_gateways_and_groups_and_errors_name_the_line_of_invalid_ones():
    fault = '[[timeline]]\nat_s = 1\nwhat = "cut"\ntarget = "gateway/0-1"\noff = "%s"\n'
    assert parse(SCENARIO + fault % "gateway/2").timeline[0].other_side == "gateway/2"
    line = len(SCENARIO.splitlines()) + 4
    with raises(ScenarioError, match=rf":{line + 1}: timeline.0.off: neither gateways nor one of"):
        parse(SCENARIO + fault % "gateway/7")
    with raises(ScenarioError, match=rf":{line}: timeline.0.target: 'cut' takes a gateway, not 'gateway/9'"):
        parse(SCENARIO + (fault % "counter").replace("0-1", "9"))
