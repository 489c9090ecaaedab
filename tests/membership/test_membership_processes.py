"""Membership of real gateway processes with faults between them, as the FLEET command and the log show it."""

import socket
import subprocess
import sys
import time

import orjson
from process_fleet import AGREEMENT_LIMIT_S, fleet_scenario
from pytest import mark, raises

from granitedock.lab.cluster.cluster import GatewayCluster
from granitedock.lab.cluster.errors import ClusterError
from granitedock.lab.cluster.network import MEMBERSHIP_PORT
from granitedock.lab.faults.link_faults import LinkFault
from granitedock.lab.load.request_record import served_units
from granitedock.lab.load.verification import cluster_load, violations


def start_cluster(count, tmp_path, view=None):
    return GatewayCluster(fleet_scenario(count), tmp_path, view)


def reported_ended(cluster, *numbers):
    """Return which of these gateways, all live and reachable, some gateway has reported as dead or gone."""
    reported = set()
    for gateway in cluster.gateways:
        for event in gateway.events():
            if event["event"] == "member changed" and event["state"] in ("dead", "gone"):
                reported.add(int(event["member"][1:]))
    return reported & set(numbers)


def test_ten_gateways_join_by_one_seed_and_three_are_killed_and_restart_under_their_names(tmp_path):
    """Three simultaneous ends may be missed, and old claims may end the restarted processes."""
    with start_cluster(10, tmp_path) as cluster:
        cluster.wait_until_ready()
        cluster.wait_for_agreement(range(10), AGREEMENT_LIMIT_S)
        cluster.kill(7, 8, 9)
        cluster.wait_for_agreement(range(7), AGREEMENT_LIMIT_S)
        assert set(cluster.member_states(0).values()) == {"alive", "gone"}  # Proved, not only unreachable.
        started_at = {row["seat"]: row["born_ms"] for row in cluster.view(0)["members"]}
        cluster.start(7, 8, 9)
        cluster.wait_for_agreement(range(10), AGREEMENT_LIMIT_S)
        restarted_at = {row["seat"]: row["born_ms"] for row in cluster.view(0)["members"]}
        assert all(restarted_at[n] > started_at[n] for n in (7, 8, 9)) and all(
            restarted_at[n] == started_at[n] for n in range(1, 7)
        )
        # A gateway announces its shutdown by SIGTERM, so that no other has to suspect it.
        assert cluster.stop(5) == [0]
        cluster.wait_for_agreement(set(range(10)) - {5}, AGREEMENT_LIMIT_S)
        assert cluster.member_states(0)[5] == "left"
        assert not reported_ended(cluster, *range(7))
        command = subprocess.run(
            [sys.executable, "-m", "granitedock", "fleet", cluster.gateway_host(0) + ":6379"],
            capture_output=True,
            text=True,
            timeout=20,
        )
        assert command.stdout.startswith("g0 at ") and ": 9 live" in command.stdout.splitlines()[0]


def test_rolling_restart_keeps_tables_and_old_claims_do_not_end_new_processes(tmp_path):
    """Claims about the previous process must not apply to the new one, which has a later start time."""
    with start_cluster(5, tmp_path) as cluster:
        cluster.wait_until_ready()
        cluster.wait_for_agreement(range(5), AGREEMENT_LIMIT_S)
        for n in range(5):
            cluster.restart(n)
            cluster.wait_until_ready(n)
            cluster.wait_for_agreement(range(5), AGREEMENT_LIMIT_S)
        time.sleep(2)
        cluster.wait_for_agreement(range(5), 1)
        assert all(gateway.starts == 2 for gateway in cluster.gateways)


def test_partition_splits_tables_and_heal_rejoins_them(tmp_path):
    """Both sides declare each other dead, and must discover each other without a restart."""
    with start_cluster(8, tmp_path) as cluster:
        cluster.wait_until_ready()
        cluster.wait_for_agreement(range(8), AGREEMENT_LIMIT_S)
        cluster.cut(range(3), range(3, 8))
        cluster.wait_for_agreement(range(3), AGREEMENT_LIMIT_S)
        cluster.wait_for_agreement(range(3, 8), AGREEMENT_LIMIT_S)
        assert "gone" not in cluster.member_states(0).values()  # Missing messages prove no end.
        cluster.heal()
        cluster.wait_for_agreement(range(8), AGREEMENT_LIMIT_S)


def test_members_on_one_way_cut_stay_alive_through_indirect_probes(tmp_path):
    """Direct probes over a link that loses all datagrams in one direction fail at both ends."""
    with start_cluster(5, tmp_path) as cluster:
        cluster.wait_until_ready()
        cluster.wait_for_agreement(range(5), AGREEMENT_LIMIT_S)
        cluster.cut([0], [1], "out")
        cluster.cut([2], [3, 4], "in")
        time.sleep(8)
        cluster.wait_for_agreement(range(5), AGREEMENT_LIMIT_S)
        assert not reported_ended(cluster, *range(5))


def test_process_paused_longer_than_suspicion_timeout_declares_nobody_dead(tmp_path):
    """After a pause, the acks of all other members seem to be overdue."""
    with start_cluster(5, tmp_path) as cluster:
        cluster.wait_until_ready()
        cluster.wait_for_agreement(range(5), AGREEMENT_LIMIT_S)
        cluster.pause(1)
        cluster.wait_for_agreement([0, 2, 3, 4], AGREEMENT_LIMIT_S)
        time.sleep(1)
        cluster.resume(1)
        cluster.wait_for_agreement(range(5), AGREEMENT_LIMIT_S)
        assert cluster.view(1)["counts"]["slept"] >= 1
        assert not reported_ended(cluster, 0, 2, 3, 4)


def test_loss_delay_and_duplicates_cause_no_false_deaths_and_crash_is_detected(tmp_path):
    """Lost and late acks cause suspicions, which must be refuted in time."""
    with start_cluster(6, tmp_path) as cluster:
        cluster.set_link_fault(
            LinkFault(lost=0.1, delay_ms=20, jitter_ms=60, duplicated=0.1), range(6), range(6)
        )
        cluster.wait_until_ready()
        cluster.wait_for_agreement(range(6), 2 * AGREEMENT_LIMIT_S)
        time.sleep(6)
        cluster.kill(5)
        cluster.wait_for_agreement(range(5), 2 * AGREEMENT_LIMIT_S)
        assert not reported_ended(cluster, *range(5))


def test_missing_seeds_are_retried_and_do_not_stop_gateways(tmp_path):
    """A restarted seed knows no other address, so that the others have to contact it."""
    unused_address = "127.0.0.1:9"
    with start_cluster(3, tmp_path) as cluster:
        cluster.wait_until_ready()
        cluster.wait_for_agreement(range(3), AGREEMENT_LIMIT_S)
        cluster.kill(0)  # The only seed.
        cluster.wait_for_agreement([1, 2], AGREEMENT_LIMIT_S)
        cluster.start(0)  # The seed knows no seed but itself, so that the others have to contact it.
        cluster.wait_for_agreement(range(3), AGREEMENT_LIMIT_S)
    with GatewayCluster(fleet_scenario(2), tmp_path, {"seeds": [unused_address]}) as cluster:
        cluster.wait_until_ready()
        time.sleep(2)
        assert [cluster.view(n)["live"] for n in (0, 1)] == [1, 1]
        assert cluster.ask(0, b"PING") == b"+PONG"


def test_malformed_datagrams_are_counted_and_change_nothing(tmp_path):
    """A flood of malformed datagrams must neither raise an error nor fill the log."""
    with start_cluster(2, tmp_path) as cluster:
        cluster.wait_until_ready()
        cluster.wait_for_agreement(range(2), AGREEMENT_LIMIT_S)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for garbage in (
                b"\x00",
                b"hello",
                b"\x97" * 20,
                orjson.dumps([1, "lab"]),
                b"x" * 1500,
                b"\xdd\xff\xff\xff\xff",
            ):
                for _ in range(50):
                    sender.sendto(garbage, (cluster.gateway_host(0), MEMBERSHIP_PORT))
                # Without a wait the kernel's queue overflows, and datagrams that it drops are not counted.
                time.sleep(0.2)
        assert b"fleet_strange:300\r\n" in cluster.ask(0, b"INFO") and b"faults:" not in cluster.ask(
            0, b"INFO"
        )
        lines = [event for event in cluster.gateways[0].events() if event["event"] == "malformed datagram"]
        assert 1 <= len(lines) <= 4
        cluster.wait_for_agreement(range(2), 1)


def quota_share(rows, from_s, to_s):
    return served_units(rows, 161, from_s, to_s) / (40 * (to_s - from_s))


def test_two_of_four_take_over_whole_quota_when_others_are_killed_without_counter(tmp_path):
    """Without the counter each gateway admits its share, and the shares of ended ones would be unused."""
    with start_cluster(4, tmp_path) as cluster:
        cluster.wait_until_ready()
        cluster.wait_for_agreement(range(4), AGREEMENT_LIMIT_S)
        cluster.cut(range(4), "counter")
        load = cluster_load(cluster)
        load.start()
        time.sleep(4)
        cluster.kill(2, 3)
        killed_s = load.now_s()
        cluster.wait_for_agreement([0, 1], AGREEMENT_LIMIT_S)
        time.sleep(3)  # The end must have lasted for settle_ms.
        settled_s = load.now_s()
        time.sleep(8)
        cluster.start(2, 3)
        cluster.wait_until_ready(2, 3)
        cluster.wait_for_agreement(range(4), AGREEMENT_LIMIT_S)
        rejoined_s = load.now_s()
        time.sleep(5)
        rows = load.stop()
        assert not violations(load, cluster)
        assert 0.95 <= quota_share(rows, settled_s, settled_s + 8) <= 1.05
        # Excess after the restart: a quarter of the burst for each of two new processes, and a lease.
        excess_units = served_units(rows, 161, killed_s, rejoined_s + 5) - 40 * (rejoined_s + 5 - killed_s)
        assert excess_units <= 40 * 2 / 4 + 40 * 0.5 * 2 + 5


@mark.parametrize("isolated", [[0], [0, 1]])
def test_partition_never_gives_both_sides_the_same_share(tmp_path, isolated):
    """If both sides took over the same share, the customer would exceed its quota."""
    with start_cluster(4, tmp_path) as cluster:
        cluster.wait_until_ready()
        cluster.wait_for_agreement(range(4), AGREEMENT_LIMIT_S)
        cluster.cut(range(4), "counter")
        others = [n for n in range(4) if n not in isolated]
        cluster.cut(isolated, others)
        load = cluster_load(cluster)
        load.start()
        cluster.wait_for_agreement(isolated, AGREEMENT_LIMIT_S)
        cluster.wait_for_agreement(others, AGREEMENT_LIMIT_S)
        time.sleep(3)
        settled_s = load.now_s()
        time.sleep(5)
        rows = load.stop()
        assert 0.9 <= quota_share(rows, settled_s, settled_s + 5) <= 1.05


def test_invalid_settings_stop_the_start_and_platform_may_forbid_membership(tmp_path):
    """An invalid file stops the process with its key and line; without permission no socket is opened."""
    with GatewayCluster(fleet_scenario(1, "talk = true", "talk = false"), tmp_path) as cluster:
        cluster.wait_until_ready()
        assert cluster.ask(0, b"FLEET") == b"-ERR unknown command"
        disabled_events = [
            event for event in cluster.gateways[0].events() if event["event"] == "membership disabled"
        ]
        assert disabled_events and "do not permit messages" in disabled_events[0]["why"]
        platform_file, membership_file = tmp_path / "g0.json", tmp_path / "bad.toml"
        membership_file.write_text('enabled = true\nlisten = "127.0.0.1:7946"\n[timing]\nsuspect_ms = 9000\n')
        command = [
            sys.executable,
            "-m",
            "granitedock",
            "serve",
            "--told",
            str(platform_file),
            "--fleet",
            str(membership_file),
        ]
        result = subprocess.run(command, capture_output=True, text=True, timeout=20)
        assert (
            result.returncode == 1
            and f"{membership_file}:4: timing.suspect_ms: must not be more than" in result.stderr
        )
        cluster.kill(0)
        with raises(ClusterError):
            cluster.ask(0, b"PING")
