"""The state of quota sharing as plain values, under the names that `granitedock fleet --json` shows."""

from __future__ import annotations

from typing import Any

from granitedock.quota_sharing.sharing import QuotaSharing


def quota_sharing_report(sharing: QuotaSharing, now: float) -> dict[str, Any]:
    """What `FLEET` shows under `shared` (`now` in Unix ms); for operators: docs/quota-sharing.md."""
    usage, silent = sharing.usage, sharing.silent_members
    return {
        "rows": usage.row_count,
        "to_tell": len(usage.queue),
        "silent_seats": {str(slot): round(now - since) for slot, since in sorted(silent.since.items())},
        "present_at_counter": sorted(slot for slot, until in silent.present_until.items() if now <= until),
        "counts": dict(usage.counts),
    }
