"""The parts of a running gateway that its configuration acts on; the only place that names them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from granitedock.policy.decisions import QuotaAccount
from granitedock.policy.types import Customer, Plan, RequestClass


class HostPolicy(Protocol):
    """The part of the policy that distributes requests over hosts."""

    request_classes: list[RequestClass]
    latency_objective_ms: float  # the shortest of all classes


class GatewayPolicy(Protocol):
    """The policy of a gateway (`granitedock.policy`)."""

    accounts: Iterable[Customer]  # those that have an account
    fleet: HostPolicy
    open_book: Callable[[Plan, int, float, int, float], QuotaAccount]

    def advance_clock(self, now: float) -> None:
        """Bring the policy to `now`, Unix ms."""
        ...


class GatewayState(Protocol):
    """The plans and classes by which a gateway admits new requests, and its policy."""

    plans: dict[str, Plan]
    request_classes: dict[str, RequestClass]
    gateway: GatewayPolicy
