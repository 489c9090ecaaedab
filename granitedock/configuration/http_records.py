"""JSON objects in the responses of control processes and gateways."""

from __future__ import annotations

from typing import TypedDict

from granitedock.configuration.document import Record


class FollowingRecord(TypedDict):
    """A follower's control process and connection state, its order of addresses, and its counters."""

    control: str
    state: str
    addresses: list[str]
    counts: dict[str, int]


class FollowerRecord(TypedDict):
    """One follower of a control process; `lag_ms` is 0 if it lacks no version."""

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
    """A whole document, with the field names of the platform file."""

    version: int
    digest: str
    classes: list[Record]
    plans: list[Record]


class AppliedChangeRecord(TypedDict):
    """The version and digest that result from a change."""

    version: int
    digest: str
