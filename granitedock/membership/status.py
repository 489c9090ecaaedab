"""The membership status for operators, with the keys of the FLEET command's JSON."""

from __future__ import annotations

from typing import Any

from granitedock.membership.local_member import LocalMember
from granitedock.membership.member import LIVE_STATES, Member


def status(local_member: LocalMember, now: float) -> dict[str, Any]:
    """Return the status of this gateway, the members it knows, and its counters.

    `now` is ms of the protocol's clock.
    """
    membership = local_member.membership
    records = membership.state.table.records
    members = [
        {
            **identity(record.member),
            "state": record.member.state.name.lower(),
            **incarnation(record.member),
            "since_ms": round(now - record.state_since),
            "share_taken_over": local_member.slots.is_vacant(now, record.member.slot),
        }
        for _, record in sorted(records.items())
    ]
    return {
        **identity(membership.local),
        **incarnation(membership.local),
        "live": 1 + sum(record.member.state in LIVE_STATES for record in records.values()),
        "unwell": membership.state.awareness.score,
        "members": members,
        "counts": dict(membership.counts),
    }


def identity(member: Member) -> dict[str, Any]:
    """Return the member's name and address."""
    return {"name": member.name, "address": member.address}


def incarnation(member: Member) -> dict[str, Any]:
    """Return the member's incarnation, its slot and the checksum of its settings."""
    return {
        "born_ms": member.started_at,
        "bump": member.refutations,
        "seat": member.slot,
        "settings": member.settings_checksum,
    }
