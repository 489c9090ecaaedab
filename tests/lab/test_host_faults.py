"""Faults of emulated hosts.

The tests guard against faults that affect the wrong hosts or the wrong share of requests, or start or end at
the wrong time, and against runs that differ although their seed is the same.
"""

from pathlib import Path
from random import Random

from granitedock.lab.faults.host_faults import draw_reply, faults_of_host, host_condition
from granitedock.lab.scenario import Fault, Service, load

EXAMPLE = Path(__file__).parents[2] / "docs" / "examples" / "zone-slow.toml"


def test_a_slow_zone_slows_all_its_hosts_at_the_same_moment_and_no_other_host():
    scenario = load(EXAMPLE)
    east, west = scenario.fleet.zones
    slowdowns = [
        host_condition(faults_of_host(scenario, east, number), 0, 20_000).slowdown
        for number in range(east.hosts)
    ]
    slowdowns_before = [
        host_condition(faults_of_host(scenario, east, number), 0, 19_999).slowdown
        for number in range(east.hosts)
    ]
    assert slowdowns == [6.0] * east.hosts and slowdowns_before == [1.0] * east.hosts
    assert host_condition(faults_of_host(scenario, west, 0), 0, 20_000).slowdown == 1.0


def test_a_host_is_slow_only_for_its_warm_up_time_after_each_start():
    assert host_condition([], 5, 4_999, up_since_ms=0).slowdown > 1.0
    assert host_condition([], 5, 5_000, up_since_ms=0).slowdown == 1.0
    assert host_condition([], 5, 30_000, up_since_ms=26_000).slowdown > 1.0  # Restarted at 26 s.


def test_faults_affect_their_share_of_requests_and_the_same_seed_gives_the_same_replies():
    busy = Fault(at_s=0, what="busy", target="east", rate=0.25)
    condition = host_condition([busy], 0, 1_000)
    service = Service(kind="lognormal", mean_ms=15, sigma=0.8)
    runs = []
    for seed in (9, 9, 10):
        random = Random(seed)
        runs.append([draw_reply(condition, service, random) for _ in range(4000)])
    assert runs[0] == runs[1] and runs[0] != runs[2]
    replies = runs[0]
    share = sum(reply.kind == "busy" for reply in replies) / len(replies)
    assert 0.22 < share < 0.28
    latencies_ms = sorted(reply.after_ms for reply in replies if reply.kind == "value")
    # The distribution has a heavy tail.
    assert (
        12 < sum(latencies_ms) / len(latencies_ms) < 18
        and latencies_ms[-1] > 4 * latencies_ms[len(latencies_ms) // 2]
    )


def test_a_silent_host_never_replies_and_a_killed_host_is_down_for_the_length_of_the_fault():
    silent = Fault(at_s=1, what="silent", target="east/0")
    kill = Fault(at_s=2, what="kill", target="east/0", for_s=3)
    assert draw_reply(host_condition([silent], 0, 1_500), Service(), Random(1)).kind == "silent"
    assert host_condition([kill], 0, 2_500).down and not host_condition([kill], 0, 5_000).down
