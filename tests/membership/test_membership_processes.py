"""The view of the fleet, by real gateway processes with faults between them, told from the outside."""

import socket
import subprocess
import sys
import time

import orjson
from process_fleet import WITHIN_S, world
from pytest import mark, raises

from granitedock.lab.cluster.cluster import GatewayCluster
from granitedock.lab.cluster.errors import ClusterError
from granitedock.lab.cluster.network import MEMBERSHIP_PORT
from granitedock.lab.faults.link_faults import LinkFault
from granitedock.lab.load.request_record import served_units
from granitedock.lab.load.verification import cluster_load, violations


def fleet(count, tmp_path, view=None):
    return GatewayCluster(world(count), tmp_path, view)


def called_over(rig, *live):
    """Which of these, that live and can be reached, some gateway called dead or gone."""
    over = set()
    for gateway in rig.gateways:
        for event in gateway.events():
            if event["event"] == "member changed" and event["state"] in ("dead", "gone"):
                over.add(int(event["member"][1:]))
    return over & set(live)


def test_ten_join_through_one_seed_lose_a_third_at_once_and_have_them_back_under_the_same_names(tmp_path):
    with fleet(10, tmp_path) as rig:
        rig.wait_until_ready()
        rig.wait_for_agreement(range(10), WITHIN_S)
        rig.kill(7, 8, 9)
        rig.wait_for_agreement(range(7), WITHIN_S)
        assert set(rig.member_states(0).values()) == {"alive", "gone"}  # proved, not only unheard
        born = {row["seat"]: row["born_ms"] for row in rig.view(0)["members"]}
        rig.start(7, 8, 9)
        rig.wait_for_agreement(range(10), WITHIN_S)
        again = {row["seat"]: row["born_ms"] for row in rig.view(0)["members"]}
        assert all(again[n] > born[n] for n in (7, 8, 9)) and all(again[n] == born[n] for n in range(1, 7))
        # One that stops by SIGTERM says so, and nobody has to suspect it.
        assert rig.stop(5) == [0]
        rig.wait_for_agreement(set(range(10)) - {5}, WITHIN_S)
        assert rig.member_states(0)[5] == "left"
        assert not called_over(rig, *range(7))
        shown = subprocess.run(
            [sys.executable, "-m", "granitedock", "fleet", rig.gateway_host(0) + ":6379"],
            capture_output=True,
            text=True,
            timeout=20,
        )
        assert shown.stdout.startswith("g0 at ") and ": 9 live" in shown.stdout.splitlines()[0]


def test_a_rolling_restart_of_all_keeps_every_view_and_no_old_news_speaks_the_new_dead(tmp_path):
    with fleet(5, tmp_path) as rig:
        rig.wait_until_ready()
        rig.wait_for_agreement(range(5), WITHIN_S)
        for n in range(5):
            rig.restart(n)
            rig.wait_until_ready(n)
            rig.wait_for_agreement(range(5), WITHIN_S)
        time.sleep(2)
        rig.wait_for_agreement(range(5), 1)
        assert all(gateway.starts == 2 for gateway in rig.gateways)


def test_a_clean_cut_parts_the_views_and_a_heal_joins_them_without_help(tmp_path):
    with fleet(8, tmp_path) as rig:
        rig.wait_until_ready()
        rig.wait_for_agreement(range(8), WITHIN_S)
        rig.cut(range(3), range(3, 8))
        rig.wait_for_agreement(range(3), WITHIN_S)
        rig.wait_for_agreement(range(3, 8), WITHIN_S)
        assert "gone" not in rig.member_states(0).values()  # silence proves no end
        rig.heal()
        rig.wait_for_agreement(range(8), WITHIN_S)


def test_a_one_way_cut_leaves_both_ends_alive_as_others_reach_them(tmp_path):
    with fleet(5, tmp_path) as rig:
        rig.wait_until_ready()
        rig.wait_for_agreement(range(5), WITHIN_S)
        rig.cut([0], [1], "out")
        rig.cut([2], [3, 4], "in")
        time.sleep(8)
        rig.wait_for_agreement(range(5), WITHIN_S)
        assert not called_over(rig, *range(5))


def test_one_paused_for_longer_than_the_suspicion_wakes_and_calls_nobody_dead(tmp_path):
    with fleet(5, tmp_path) as rig:
        rig.wait_until_ready()
        rig.wait_for_agreement(range(5), WITHIN_S)
        rig.pause(1)
        rig.wait_for_agreement([0, 2, 3, 4], WITHIN_S)
        time.sleep(1)
        rig.resume(1)
        rig.wait_for_agreement(range(5), WITHIN_S)
        assert rig.view(1)["counts"]["slept"] >= 1
        assert not called_over(rig, 0, 2, 3, 4)


def test_a_tenth_lost_late_and_doubled_makes_nobody_dead_and_a_crash_is_known_to_all(tmp_path):
    with fleet(6, tmp_path) as rig:
        rig.set_link_fault(LinkFault(lost=0.1, delay_ms=20, jitter_ms=60, duplicated=0.1), range(6), range(6))
        rig.wait_until_ready()
        rig.wait_for_agreement(range(6), 2 * WITHIN_S)
        time.sleep(6)
        rig.kill(5)
        rig.wait_for_agreement(range(5), 2 * WITHIN_S)
        assert not called_over(rig, *range(5))


def test_seeds_that_never_come_up_are_no_fault_and_are_tried_until_they_do(tmp_path):
    nobody = "127.0.0.1:9"
    with fleet(3, tmp_path) as rig:
        rig.wait_until_ready()
        rig.wait_for_agreement(range(3), WITHIN_S)
        rig.kill(0)  # the one seed of all
        rig.wait_for_agreement([1, 2], WITHIN_S)
        rig.start(0)  # which knows of no seed but itself: the others have to find it
        rig.wait_for_agreement(range(3), WITHIN_S)
    with GatewayCluster(world(2), tmp_path, {"seeds": [nobody]}) as rig:
        rig.wait_until_ready()
        time.sleep(2)
        assert [rig.view(n)["live"] for n in (0, 1)] == [1, 1]
        assert rig.ask(0, b"PING") == b"+PONG"


def test_garbage_at_the_port_is_counted_and_changes_nothing(tmp_path):
    with fleet(2, tmp_path) as rig:
        rig.wait_until_ready()
        rig.wait_for_agreement(range(2), WITHIN_S)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            for garbage in (
                b"\x00",
                b"hello",
                b"\x97" * 20,
                orjson.dumps([1, "lab"]),
                b"x" * 1500,
                b"\xdd\xff\xff\xff\xff",
            ):
                for _ in range(50):
                    stranger.sendto(garbage, (rig.gateway_host(0), MEMBERSHIP_PORT))
                time.sleep(0.2)  # else the kernel's own queue overflows, and what it drops is not counted
        assert b"fleet_strange:300\r\n" in rig.ask(0, b"INFO") and b"faults:" not in rig.ask(0, b"INFO")
        lines = [event for event in rig.gateways[0].events() if event["event"] == "malformed datagram"]
        assert 1 <= len(lines) <= 4
        rig.wait_for_agreement(range(2), 1)


def of_the_allowance(rows, from_s, to_s):
    return served_units(rows, 161, from_s, to_s) / (40 * (to_s - from_s))


def test_two_of_four_killed_while_cut_off_from_the_counter_leave_the_whole_allowance_to_the_others(tmp_path):
    with fleet(4, tmp_path) as rig:
        rig.wait_until_ready()
        rig.wait_for_agreement(range(4), WITHIN_S)
        rig.cut(range(4), "counter")
        load = cluster_load(rig)
        load.start()
        time.sleep(4)
        rig.kill(2, 3)
        killed = load.now_s()
        rig.wait_for_agreement([0, 1], WITHIN_S)
        time.sleep(3)  # the end must have stood for settle_ms
        settled = load.now_s()
        time.sleep(8)
        rig.start(2, 3)
        rig.wait_until_ready(2, 3)
        rig.wait_for_agreement(range(4), WITHIN_S)
        back = load.now_s()
        time.sleep(5)
        rows = load.stop()
        assert not violations(load, rig)
        assert 0.95 <= of_the_allowance(rows, settled, settled + 8) <= 1.05
        # Over the return: what two fresh processes bring (a quarter of the burst each), and a lease.
        over = served_units(rows, 161, killed, back + 5) - 40 * (back + 5 - killed)
        assert over <= 40 * 2 / 4 + 40 * 0.5 * 2 + 5


@mark.parametrize("apart", [[0], [0, 1]])
def test_a_cut_never_gives_both_sides_the_same_share(tmp_path, apart):
    with fleet(4, tmp_path) as rig:
        rig.wait_until_ready()
        rig.wait_for_agreement(range(4), WITHIN_S)
        rig.cut(range(4), "counter")
        rest = [n for n in range(4) if n not in apart]
        rig.cut(apart, rest)
        load = cluster_load(rig)
        load.start()
        rig.wait_for_agreement(apart, WITHIN_S)
        rig.wait_for_agreement(rest, WITHIN_S)
        time.sleep(3)
        settled = load.now_s()
        time.sleep(5)
        rows = load.stop()
        assert 0.9 <= of_the_allowance(rows, settled, settled + 5) <= 1.05


def test_a_bad_file_names_field_and_line_and_starts_nothing_and_settings_may_forbid_it(tmp_path):
    with GatewayCluster(world(1, "talk = true", "talk = false"), tmp_path) as rig:
        rig.wait_until_ready()
        assert rig.ask(0, b"FLEET") == b"-ERR unknown command"
        off = [event for event in rig.gateways[0].events() if event["event"] == "membership disabled"]
        assert off and "do not permit messages" in off[0]["why"]
        told, file = tmp_path / "g0.json", tmp_path / "bad.toml"
        file.write_text('enabled = true\nlisten = "127.0.0.1:7946"\n[timing]\nsuspect_ms = 9000\n')
        run = [sys.executable, "-m", "granitedock", "serve", "--told", str(told), "--fleet", str(file)]
        ended = subprocess.run(run, capture_output=True, text=True, timeout=20)
        assert ended.returncode == 1 and f"{file}:4: timing.suspect_ms: must not be more than" in ended.stderr
        rig.kill(0)
        with raises(ClusterError):
            rig.ask(0, b"PING")
