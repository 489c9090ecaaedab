"""The state of quota sharing as plain values, under the keys of `granitedock fleet --json`."""

from __future__ import annotations

from typing import Any

from granitedock.quota_sharing.sharing import QuotaSharing


def quota_sharing_report(sharing: QuotaSharing, now: float) -> dict[str, Any]:
    """Return the section `shared` of the FLEET reply (`now` in Unix ms); see docs/quota-sharing.md."""
    usage, silent = sharing.usage, sharing.silent_members
    return {
        "rows": usage.row_count,
        "to_tell": len(usage.queue),
        "silent_seats": {
            str(slot): round(now - silent_since) for slot, silent_since in sorted(silent.silent_since.items())
        },
        "present_at_counter": sorted(slot for slot, until in silent.present_until.items() if now <= until),
        "counts": dict(usage.counts),
    }
