"""Outlier detection by real gateway processes, with hosts that fail.

The tests guard against requests lost to failing or draining hosts, and against the ejection of hosts that
only some gateways cannot reach or that forged observations name.
"""

import socket
import time
from collections import Counter

from process_fleet import AGREEMENT_LIMIT_S
from pytest import mark

from granitedock.lab.cluster.cluster import GatewayCluster
from granitedock.lab.cluster.network import MEMBERSHIP_PORT
from granitedock.lab.load.verification import cluster_load, violations
from granitedock.lab.scenario import parse
from granitedock.membership.codec import encode
from granitedock.membership.member import Member, MemberState
from granitedock.membership.messages import Message
from granitedock.membership_services import PAYLOAD_TYPES
from granitedock.outlier_detection.observations import HostObservation
from granitedock.outlier_detection.payload import HOST_PAYLOAD

SCENARIO = """
seed = 3
length_s = 90
[fleet]
gateways = %d
talk = true
view = true
hosts = %s
[[plans]]
rate = 100000
burst = 100000
[[fleet.zones]]
name = "east"
hosts = 4
service = { kind = "fixed", mean_ms = 8 }
[[fleet.zones]]
name = "west"
hosts = 4
service = { kind = "fixed", mean_ms = 8 }
[[clients]]
customer = 161
product = "read"
plan = "p"
rate = %d
spread = %d
first = %d
left_ms = 1500
"""


class ClusterRun:
    """A cluster of gateway processes and hosts under load."""

    def __init__(self, tmp_path, count=6, hosts=True, spread=None, first=0, rate=120):
        text = SCENARIO % (count, "true" if hosts else "false", rate, spread or count, first)
        self.cluster, self.count = GatewayCluster(parse(text), tmp_path), count

    def __enter__(self):
        cluster = self.cluster.__enter__()
        cluster.wait_until_ready()
        cluster.wait_for_agreement(range(self.count), AGREEMENT_LIMIT_S)
        self.load = cluster_load(cluster)
        self.load.start()
        time.sleep(2)
        return self

    def __exit__(self, *exception):
        self.cluster.__exit__(*exception)

    def ejected(self, *gateways):
        hosts = {n: self.cluster.host_verdicts(n)["hosts"] for n in gateways}
        return {n: {name for name, host in hosts[n].items() if host["out"]} for n in gateways}

    def wait_until(self, condition, within_s=6.0):
        started_at = time.monotonic()
        while time.monotonic() - started_at < within_s:
            if condition():
                return time.monotonic() - started_at
            time.sleep(0.1)
        raise AssertionError(f"not within {within_s} s")

    def finish(self):
        rows = self.load.stop()
        assert not violations(self.load, self.cluster)
        gateways = self.cluster.gateways
        assert not [event for gateway in gateways for event in gateway.events() if event["event"] == "fault"]
        return rows


def requests_lost_to_a_failing_host(tmp_path, detect_outliers):
    """Return how many requests fail at a host that answers with errors for some time."""
    with ClusterRun(tmp_path, hosts=detect_outliers, rate=160) as run:
        run.cluster.add_host_fault("east/0", "errors")
        if detect_outliers:
            run.wait_until(lambda: all(out == {"east/0"} for out in run.ejected(*range(6)).values()))
            assert all(
                not distrusted for distrusted in (run.cluster.host_verdicts(n)["set_apart"] for n in range(6))
            )
        # Without gossip, each gateway probes the host every three seconds; with it, they take turns.
        time.sleep(14)
        failed = run.cluster.host("east/0").failed
        if detect_outliers:
            run.cluster.clear_host_faults("east/0")
            run.wait_until(lambda: not any(run.ejected(*range(6)).values()), 12)
        run.finish()
        return failed


def test_a_host_that_fails_for_all_is_ejected_after_fewer_lost_requests_and_reinstated(tmp_path):
    alone, gossiping = (
        requests_lost_to_a_failing_host(tmp_path, False),
        requests_lost_to_a_failing_host(tmp_path, True),
    )
    # The ratio was a third to 0.47 in six runs. With some twenty lost requests, it varies by a quarter.
    assert gossiping <= 0.7 * alone, (gossiping, alone)


def test_hosts_that_one_gateway_cannot_reach_are_not_ejected_by_the_others(tmp_path):
    with ClusterRun(tmp_path) as run:
        cluster = run.cluster
        proxies = [
            proxy for proxy in cluster.tcp_proxies if proxy.gateway == "gateway/5" and proxy.party == "hosts"
        ]
        # The link of the host with the most requests is cut. The gateways' seeds determine how the load
        # spreads, and the host with the fewest gets about one request per second, too few for this check.
        names = list(cluster.surroundings.host_addresses)
        busiest = max(names, key=lambda name: cluster.host(name).received)
        proxies[names.index(busiest)].party = "hosts/0"  # Name the link, so that it can be cut alone.
        cluster.cut([5], "hosts/0")
        time.sleep(4)
        assert not any(run.ejected(*range(5)).values())
        received_before = cluster.host(busiest).received
        time.sleep(1)
        assert cluster.host(busiest).received > received_before
        cluster.cut([5], "hosts")
        time.sleep(5)
        assert not any(run.ejected(*range(5)).values())
        cluster.pause(4)
        time.sleep(7)
        cluster.resume(4)  # The observations of gateway 4 are old.
        time.sleep(2)
        assert not any(run.ejected(*range(4)).values())
        run.finish()


def test_a_draining_host_is_ejected_by_gossip_while_the_gateways_discovery_is_cut(tmp_path):
    """Guards against requests to a draining host from a gateway whose endpoint list is stale."""
    # All load goes through the gateway without discovery.
    with ClusterRun(tmp_path, spread=1, first=1) as run:
        cluster = run.cluster
        cluster.cut([1], "discovery")
        time.sleep(0.5)
        cluster.add_host_fault("east/1", "drain")
        started_at = time.monotonic()
        time.sleep(1.5)
        received_before = cluster.host("east/1").received
        time.sleep(3)
        verdicts = cluster.host_verdicts(1)
        assert cluster.host("east/1").received == received_before, (time.monotonic() - started_at, verdicts)
        assert run.ejected(1)[1] == {"east/1"}
        # The gateway's own endpoint list still has the host as ready.
        assert run.cluster.host_verdicts(1)["hosts"]["east/1"]["status"] == "ready"
        run.finish()


@mark.parametrize("partitioned", [False, True])
def test_a_zone_that_warms_up_under_eight_gateways_gets_its_share_by_age_with_gossip_and_without(
    tmp_path, partitioned
):
    def requests_to_warming_hosts(detect_outliers):
        (tmp_path / str(detect_outliers)).mkdir()
        with ClusterRun(tmp_path / str(detect_outliers), count=8, hosts=detect_outliers) as run:
            cluster, east = run.cluster, [f"east/{n}" for n in range(4)]
            if partitioned:
                cluster.cut(range(4), range(4, 8))
            for name in east:
                cluster.add_host_fault(name, "kill", for_s=3)
            # Discovery announces their return within 0.1 s; the emulators listen within 0.5 s.
            time.sleep(3.3)
            before = {name: cluster.host(name).received for name in east}
            time.sleep(1)
            received_count = sum(cluster.host(name).received - before[name] for name in east)
            # Each host receives requests again, and together they receive a tenth of them. The distribution
            # depends on the gateways' choices: of eight equal hosts, one may receive thirty times as many
            # requests as another.
            run.wait_until(lambda: all(cluster.host(name).received > before[name] for name in east), 8)
            run.wait_until(lambda: sum(cluster.host(name).received - before[name] for name in east) > 100, 8)
            run.finish()
            return received_count

    # Four of eight hosts are cold, at 120 requests per second. Warm hosts would receive 60 in that second, in
    # which the share that slow start permits by age grows from 0.2 to 1. The limit adds a quarter for random
    # variation, with gossip and without.
    limit = 1.25 * 60 * (0.2 + 1) / 2
    assert requests_to_warming_hosts(True) <= limit and requests_to_warming_hosts(False) <= limit


def test_forged_observations_at_the_greatest_rate_eject_no_more_hosts_than_the_limit(tmp_path):
    with ClusterRun(tmp_path, count=3) as run:
        cluster = run.cluster
        names = sorted(cluster.host_verdicts(0)["hosts"])
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as forging_socket:
            end_at, sequence = time.monotonic() + 6, 0
            while time.monotonic() < end_at:
                sequence += 1
                for gateway, hosts in (("forger0", names), ("forger1", names[:2]), ("forger2", names[:2])):
                    sender = Member(gateway, "127.0.0.1:9", 5, sequence, MemberState.ALIVE)
                    rows = tuple(
                        HostObservation(gateway, 5, sequence, name, 2**40, 9, 0, -1) for name in hosts
                    )
                    message = Message(HOST_PAYLOAD.kind, sender, 0, payload=rows)
                    forging_socket.sendto(
                        encode("lab", message, PAYLOAD_TYPES), (cluster.gateway_host(0), MEMBERSHIP_PORT)
                    )
                time.sleep(0.002)
        assert len(run.ejected(0)[0]) <= 2  # The limit is a quarter of eight hosts, whatever is observed.
        rows = run.finish()
        outcomes = Counter((row.outcome, row.gateway) for row in rows)
        assert sum(row.outcome == "done" for row in rows) >= 0.98 * len(rows), outcomes
