"""The JSON objects that control processes and gateways answer with."""

from __future__ import annotations

from typing import TypedDict

from granitedock.configuration.document import Record


class FollowingRecord(TypedDict):
    """Whom a follower follows: the address, the state of its connection, its own order, its counters."""

    control: str
    state: str
    addresses: list[str]
    counts: dict[str, int]


class FollowerRecord(TypedDict):
    """One follower of a control process; `lag_ms` is 0 where it lacks no version."""

    name: str
    role: str
    version: int
    digest: str
    lag_ms: float
    connected_ms: float


class ControlStatusRecord(TypedDict):
    """The status of one control process; `following` is null at the writer."""

    cluster: str
    writer: bool
    version: int
    digest: str
    plans: int
    classes: int
    followers: list[FollowerRecord]
    following: FollowingRecord | None
    counts: dict[str, int]


class DocumentRecord(TypedDict):
    """A whole document in the platform's words."""

    version: int
    digest: str
    classes: list[Record]
    plans: list[Record]


class AppliedChangeRecord(TypedDict):
    """The version and digest that a change made."""

    version: int
    digest: str
