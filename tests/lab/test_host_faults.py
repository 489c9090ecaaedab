"""Faults of hosts: those of a zone reach its hosts together, and the same seed gives the same replies."""

from pathlib import Path
from random import Random

from granitedock.lab.faults.host_faults import draw_reply, faults_of_host, host_condition
from granitedock.lab.scenario import Fault, Service, load

EXAMPLE = Path(__file__).parents[2] / "docs" / "examples" / "zone-slow.toml"


def test_a_zone_that_slows_slows_all_its_hosts_at_the_same_moment_and_no_other():
    scenario = load(EXAMPLE)
    east, west = scenario.fleet.zones
    at = [host_condition(faults_of_host(scenario, east, n), 0, 20_000).slowdown for n in range(east.hosts)]
    before = [
        host_condition(faults_of_host(scenario, east, n), 0, 19_999).slowdown for n in range(east.hosts)
    ]
    assert at == [6.0] * east.hosts and before == [1.0] * east.hosts
    assert host_condition(faults_of_host(scenario, west, 0), 0, 20_000).slowdown == 1.0


def test_a_cold_host_is_slow_for_its_first_seconds_only():
    assert host_condition([], 5, 4_999, up_since_ms=0).slowdown > 1.0
    assert host_condition([], 5, 5_000, up_since_ms=0).slowdown == 1.0
    assert host_condition([], 5, 30_000, up_since_ms=26_000).slowdown > 1.0  # it came up again


def test_faults_hit_their_share_of_requests_and_the_same_seed_gives_the_same_replies():
    busy = Fault(at_s=0, what="busy", target="east", rate=0.25)
    state = host_condition([busy], 0, 1_000)
    service = Service(kind="lognormal", mean_ms=15, sigma=0.8)
    days = []
    for seed in (9, 9, 10):
        chance = Random(seed)
        days.append([draw_reply(state, service, chance) for _ in range(4000)])
    assert days[0] == days[1] and days[0] != days[2]
    replies = days[0]
    share = sum(r.kind == "busy" for r in replies) / len(replies)
    assert 0.22 < share < 0.28
    values = sorted(r.after_ms for r in replies if r.kind == "value")
    assert 12 < sum(values) / len(values) < 18 and values[-1] > 4 * values[len(values) // 2]  # a heavy tail


def test_a_silent_host_takes_and_never_answers_and_a_killed_one_is_gone_for_its_time():
    silent = Fault(at_s=1, what="silent", target="east/0")
    kill = Fault(at_s=2, what="kill", target="east/0", for_s=3)
    assert draw_reply(host_condition([silent], 0, 1_500), Service(), Random(1)).kind == "silent"
    assert host_condition([kill], 0, 2_500).down and not host_condition([kill], 0, 5_000).down
