"""Quota sharing by real gateway processes, under load and faults."""

import os
import time

from process_fleet import WITHIN_S, world

from granitedock.lab.cluster.cluster import GatewayCluster
from granitedock.lab.emulators.counter import ExpiringCounts
from granitedock.lab.load.request_record import served_units
from granitedock.lab.load.verification import cluster_load, violations
from granitedock.lab.reactor import on_reactor

RATE, BURST, SET = 40.0, 40.0, 4
LEAST = 0.9  # of the allowance over some seconds, with real processes, which other work may hold up
DETECTION_S = 9.0  # the stated time in which a silence is known to all (docs/membership.md)
SHARED = ("view = true", "view = true\nshared = true")


class Day:
    """A test cluster under load, whose admitted units are compared with the allowance."""

    def __init__(self, tmp_path):
        self.rig = GatewayCluster(world(4, *SHARED), tmp_path)

    def __enter__(self):
        rig = self.rig.__enter__()
        rig.wait_until_ready()
        rig.wait_for_agreement(range(4), WITHIN_S)
        self.load = cluster_load(rig)
        self.load.start()
        time.sleep(3)
        return self

    def __exit__(self, *what):
        self.rig.__exit__(*what)

    def part(self, seconds):
        """The part of the allowance that is done in the next seconds."""
        began = self.load.now_s()
        time.sleep(seconds)
        return served_units(self.load.records, 161, began, began + seconds) / (RATE * seconds)

    def ends(self):
        """Check that each request had one answer and no rule was broken; the load's rows."""
        rows = self.load.stop()
        assert not violations(self.load, self.rig)
        assert not [
            event for gateway in self.rig.gateways for event in gateway.events() if event["event"] == "fault"
        ]
        return rows

    def expired(self):
        """Whether no gateway holds a usage row any more."""
        return all(self.rig.view(n)["shared"]["rows"] == 0 for n in range(4))


def test_usage_of_gateways_cut_off_from_the_counter_is_counted_by_those_that_reach_it(
    tmp_path,
):
    with Day(tmp_path) as day:
        for cut in ([2, 3], [1, 2, 3]):
            day.rig.cut(cut, "counter")
            time.sleep(2)
            assert LEAST <= day.part(5) <= 1.05
            day.rig.heal()
            time.sleep(4)
        began = time.monotonic()
        while not day.expired() and time.monotonic() - began < 25:
            time.sleep(0.5)
        assert day.expired()
        assert LEAST <= day.part(4) <= 1.05
        day.ends()


def test_shares_of_silent_gateways_are_held_back_unless_they_show_at_the_counter(tmp_path):
    with Day(tmp_path) as day:
        rig = day.rig
        rig.cut([2, 3], "counter")
        rig.cut([2, 3], [0, 1])
        began = day.load.now_s()
        time.sleep(DETECTION_S)
        over = served_units(day.load.records, 161, began, began + DETECTION_S) - RATE * DETECTION_S
        assert (
            over <= 2 * (BURST + RATE * DETECTION_S) / SET
        )  # the stated transient: the silent gateways' shares
        assert LEAST <= day.part(5) <= 1.05
        # A gateway that restarts or resumes during the split changes nothing of the sum.
        rig.restart(3)
        rig.wait_until_ready(3)
        rig.pause(2)
        time.sleep(3)
        rig.resume(2)
        time.sleep(1)
        assert day.part(5) <= 1.05
        rig.heal()
        rig.wait_for_agreement(range(4), 2 * WITHIN_S)
        time.sleep(5)
        assert LEAST <= day.part(4) <= 1.05
        rig.cut([2, 3], [0, 1])  # from each other only: all of them count
        time.sleep(DETECTION_S + 3)
        assert LEAST <= day.part(5) <= 1.05
        assert rig.view(0)["shared"]["present_at_counter"] == [2, 3]
        day.ends()


def test_a_counter_with_kept_old_frozen_or_no_totals_is_not_read_as_nothing_used(
    tmp_path,
):
    with Day(tmp_path) as day:
        rig = day.rig
        assert LEAST <= day.part(3) <= 1.05
        began = day.load.now_s()
        rig.cut(range(4), "counter")  # away, and back with its totals
        time.sleep(2)
        rig.heal()
        time.sleep(1)  # connections come up, and totals of the calls that were held
        assert LEAST <= day.part(5) <= 1.05
        old = on_reactor(rig.counter.counts.copy)
        time.sleep(1)
        rig.restart_counter(old)
        assert LEAST <= day.part(5) <= 1.1
        rig.restart_counter(ExpiringCounts())
        assert LEAST <= day.part(5) <= 1.1
        rig.move_counter()
        assert LEAST <= day.part(5) <= 1.1
        frozen = on_reactor(rig.counter.counts.copy)
        on_reactor(setattr, rig.counter, "frozen_counts", frozen)
        time.sleep(2)
        assert LEAST <= day.part(5) <= 1.15
        on_reactor(setattr, rig.counter, "frozen_counts", None)
        time.sleep(5)
        assert LEAST <= day.part(4) <= 1.05
        lasted = day.load.now_s() - began
        assert served_units(day.load.records, 161, began, began + lasted) <= 1.05 * (RATE * lasted + BURST)
        day.ends()


def test_a_disk_that_holds_up_a_snapshot_holds_up_no_request(tmp_path):
    # A pipe that nobody reads holds up whoever opens it to write, as a slow disk did, and with it every call
    # to the counter that was out: breakers opened at gateways whose counter answered in time.
    with Day(tmp_path) as day:
        for n in range(4):
            os.mkfifo(tmp_path / f"g{n}.snapshot.new")
        day.rig.cut([2, 3], "counter")  # from now on there is something to write
        time.sleep(3)
        rows = day.ends()  # one answer to each request, in its time
        late = [row for row in rows if row.sent_at_s > 4.0]
        assert {row.gateway for row in late if row.outcome in ("done", "deferred")} == {0, 1, 2, 3}


def test_uncounted_usage_is_restored_after_a_restart_and_a_damaged_snapshot_is_refused(tmp_path):
    with Day(tmp_path) as day:
        rig, file = day.rig, tmp_path / "g3.snapshot"
        rig.cut([3], "counter")
        time.sleep(2)
        rig.restart(3)
        rig.wait_until_ready(3)
        read = [event for event in rig.gateways[3].events() if event["event"] == "snapshot read"]
        assert read[-1]["of_use"] >= 1
        rig.heal()
        time.sleep(2)
        assert (
            LEAST <= day.part(5) <= 1.1
        )  # a fresh process brings a quarter of the burst: 0.05 of five seconds
        rig.kill(3)
        file.write_bytes(file.read_bytes()[:-1] + b"?")
        rig.start(3)
        rig.wait_until_ready(3)
        refused = [event for event in rig.gateways[3].events() if event["event"] == "snapshot refused"]
        assert "torn" in refused[-1]["why"]
        day.ends()
