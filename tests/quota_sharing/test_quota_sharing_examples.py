"""Examples of small functions of quota sharing: the result of each for given arguments."""

import re

import pytest


def test_quota_sharing_bound_detection_ms():
    from granitedock.quota_sharing.bound import Timing, detection_ms

    assert (detection_ms(Timing()), detection_ms(Timing(), 200) > 13300) == (9500.0, True)


def test_quota_sharing_bound_excess():
    from granitedock.quota_sharing.bound import Plan, Timing, excess

    plan = Plan("p", 0.04, 40, 0, 1, 0, 0, 0, 0, 0)
    assert excess(plan, 4, Timing(), 100.0).total(isolated=2) == 210.0


def test_quota_sharing_uncounted_usage_merged():
    from granitedock.quota_sharing.uncounted_usage import UsageRow, merged

    row = UsageRow("g1", 5, 161, 7, 1000, 3000, 1000)
    assert merged(row, UsageRow("g1", 5, 161, 7, 1000, 2000, 2000)).reconciled == 2000


def test_quota_sharing_snapshot_unpack():
    from granitedock.quota_sharing.snapshot import SnapshotError, UsageRow, pack, unpack

    row = UsageRow("g1", 5, 161, 7, 1000, 3000)
    assert unpack("g1", pack("g1", [row])) == [row]
    with pytest.raises(SnapshotError, match=re.escape("torn: its checksum is another")):
        unpack("g1", pack("g1", [row])[:-1])


def test_quota_sharing_reserve():
    from granitedock.policy.types import Plan
    from granitedock.quota_sharing.reserve import SharedQuota, reserve

    quota = SharedQuota(Plan("p", 0.04, 40, 0, 1, 0, 0, 0, 0, 0), 0, 4, 2000.0)
    assert (reserve(quota, 5, 11000.0, 11500.0), reserve(quota, 5, 3000.0, 11500.0)) == (15.0, 15.0)
