"""Quota sharing between real gateway processes, under load and faults.

The tests guard against a customer that is admitted more or less than its plan while gateways are cut off from
the counter or from each other.
"""

import os
import time

from process_fleet import AGREEMENT_LIMIT_S, fleet_scenario

from granitedock.lab.cluster.cluster import GatewayCluster
from granitedock.lab.emulators.counter import ExpiringCounts
from granitedock.lab.load.request_record import served_units
from granitedock.lab.load.verification import cluster_load, violations
from granitedock.lab.reactor import on_reactor

RATE_PER_S, BURST_UNITS, SUBSET_SIZE = 40.0, 40.0, 4
MIN_ALLOWANCE_SHARE = 0.9  # Of the allowance over some seconds; other work may delay real processes.
DETECTION_S = 9.0  # Documented time until all gateways have detected a silence (docs/membership.md).
ENABLE_QUOTA_SHARING = ("view = true", "view = true\nshared = true")


class ClusterRun:
    """A cluster of gateway processes under load, whose served units are compared with the allowance."""

    def __init__(self, tmp_path):
        self.cluster = GatewayCluster(fleet_scenario(4, *ENABLE_QUOTA_SHARING), tmp_path)

    def __enter__(self):
        cluster = self.cluster.__enter__()
        cluster.wait_until_ready()
        cluster.wait_for_agreement(range(4), AGREEMENT_LIMIT_S)
        self.load = cluster_load(cluster)
        self.load.start()
        time.sleep(3)
        return self

    def __exit__(self, *exception):
        self.cluster.__exit__(*exception)

    def allowance_share(self, seconds):
        """Return the share of the allowance that is served in the next `seconds`."""
        started_at = self.load.now_s()
        time.sleep(seconds)
        return served_units(self.load.records, 161, started_at, started_at + seconds) / (RATE_PER_S * seconds)

    def finish(self):
        """Check that each request had one answer and no rule was violated; return the load's rows."""
        rows = self.load.stop()
        assert not violations(self.load, self.cluster)
        assert not [
            event
            for gateway in self.cluster.gateways
            for event in gateway.events()
            if event["event"] == "fault"
        ]
        return rows

    def rows_expired(self):
        """Return whether no gateway has a usage row."""
        return all(self.cluster.view(n)["shared"]["rows"] == 0 for n in range(4))


def test_usage_of_gateways_cut_off_from_the_counter_is_counted_by_those_that_reach_it(
    tmp_path,
):
    with ClusterRun(tmp_path) as run:
        for gateways in ([2, 3], [1, 2, 3]):
            run.cluster.cut(gateways, "counter")
            time.sleep(2)
            assert MIN_ALLOWANCE_SHARE <= run.allowance_share(5) <= 1.05
            run.cluster.heal()
            time.sleep(4)
        started_at = time.monotonic()
        while not run.rows_expired() and time.monotonic() - started_at < 25:
            time.sleep(0.5)
        assert run.rows_expired()
        assert MIN_ALLOWANCE_SHARE <= run.allowance_share(4) <= 1.05
        run.finish()


def test_shares_of_silent_gateways_are_reserved_unless_they_are_present_at_the_counter(tmp_path):
    with ClusterRun(tmp_path) as run:
        cluster = run.cluster
        cluster.cut([2, 3], "counter")
        cluster.cut([2, 3], [0, 1])
        started_at = run.load.now_s()
        time.sleep(DETECTION_S)
        excess = (
            served_units(run.load.records, 161, started_at, started_at + DETECTION_S)
            - RATE_PER_S * DETECTION_S
        )
        # The documented transient excess is the shares of the silent gateways.
        assert excess <= 2 * (BURST_UNITS + RATE_PER_S * DETECTION_S) / SUBSET_SIZE
        assert MIN_ALLOWANCE_SHARE <= run.allowance_share(5) <= 1.05
        # A gateway that restarts or resumes during the partition does not change the sum.
        cluster.restart(3)
        cluster.wait_until_ready(3)
        cluster.pause(2)
        time.sleep(3)
        cluster.resume(2)
        time.sleep(1)
        assert run.allowance_share(5) <= 1.05
        cluster.heal()
        cluster.wait_for_agreement(range(4), 2 * AGREEMENT_LIMIT_S)
        time.sleep(5)
        assert MIN_ALLOWANCE_SHARE <= run.allowance_share(4) <= 1.05
        cluster.cut([2, 3], [0, 1])  # They are partitioned from each other only; all reach the counter.
        time.sleep(DETECTION_S + 3)
        assert MIN_ALLOWANCE_SHARE <= run.allowance_share(5) <= 1.05
        assert cluster.view(0)["shared"]["present_at_counter"] == [2, 3]
        run.finish()


def test_served_units_stay_near_the_allowance_if_the_counter_has_kept_old_frozen_or_no_totals(
    tmp_path,
):
    with ClusterRun(tmp_path) as run:
        cluster = run.cluster
        assert MIN_ALLOWANCE_SHARE <= run.allowance_share(3) <= 1.05
        started_at = run.load.now_s()
        cluster.cut(range(4), "counter")  # The counter is unreachable, then reachable with its totals.
        time.sleep(2)
        cluster.heal()
        time.sleep(1)  # Connections are established and delayed calls return totals.
        assert MIN_ALLOWANCE_SHARE <= run.allowance_share(5) <= 1.05
        old_counts = on_reactor(cluster.counter.counts.copy)
        time.sleep(1)
        cluster.restart_counter(old_counts)
        assert MIN_ALLOWANCE_SHARE <= run.allowance_share(5) <= 1.1
        cluster.restart_counter(ExpiringCounts())
        assert MIN_ALLOWANCE_SHARE <= run.allowance_share(5) <= 1.1
        cluster.move_counter()
        assert MIN_ALLOWANCE_SHARE <= run.allowance_share(5) <= 1.1
        frozen_totals = on_reactor(cluster.counter.counts.copy)
        on_reactor(setattr, cluster.counter, "frozen_counts", frozen_totals)
        time.sleep(2)
        assert MIN_ALLOWANCE_SHARE <= run.allowance_share(5) <= 1.15
        on_reactor(setattr, cluster.counter, "frozen_counts", None)
        time.sleep(5)
        assert MIN_ALLOWANCE_SHARE <= run.allowance_share(4) <= 1.05
        elapsed_s = run.load.now_s() - started_at
        assert served_units(run.load.records, 161, started_at, started_at + elapsed_s) <= 1.05 * (
            RATE_PER_S * elapsed_s + BURST_UNITS
        )
        run.finish()


def test_a_disk_that_delays_a_snapshot_delays_no_request(tmp_path):
    # Opening a pipe without a reader blocks the writer, as a slow disk does. If it blocks the event loop, it
    # delays every counter call in flight: circuit breakers opened at gateways whose counter answered in time.
    with ClusterRun(tmp_path) as run:
        for n in range(4):
            os.mkfifo(tmp_path / f"g{n}.snapshot.new")
        run.cluster.cut([2, 3], "counter")  # From now on the snapshots have rows to write.
        time.sleep(3)
        rows = run.finish()  # Each request had one answer within its deadline.
        late_rows = [row for row in rows if row.sent_at_s > 4.0]
        assert {row.gateway for row in late_rows if row.outcome in ("done", "deferred")} == {0, 1, 2, 3}


def test_uncounted_usage_is_restored_after_a_restart_and_a_damaged_snapshot_is_refused(tmp_path):
    with ClusterRun(tmp_path) as run:
        cluster, snapshot = run.cluster, tmp_path / "g3.snapshot"
        cluster.cut([3], "counter")
        time.sleep(2)
        cluster.restart(3)
        cluster.wait_until_ready(3)
        read_events = [event for event in cluster.gateways[3].events() if event["event"] == "snapshot read"]
        assert read_events[-1]["of_use"] >= 1
        cluster.heal()
        time.sleep(2)
        # A fresh process adds a quarter of the burst, which is 0.05 of the allowance of five seconds.
        assert MIN_ALLOWANCE_SHARE <= run.allowance_share(5) <= 1.1
        cluster.kill(3)
        snapshot.write_bytes(snapshot.read_bytes()[:-1] + b"?")
        cluster.start(3)
        cluster.wait_until_ready(3)
        refused_events = [
            event for event in cluster.gateways[3].events() if event["event"] == "snapshot refused"
        ]
        assert "torn" in refused_events[-1]["why"]
        run.finish()
