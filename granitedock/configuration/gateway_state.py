"""The parts of a running gateway that its configuration acts on; the only place that names them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from granitedock.policy.types import Customer, Plan, RequestClass


class HostPolicy(Protocol):
    """The part of the policy that distributes requests over hosts."""

    request_classes: list[RequestClass]
    latency_objective_ms: float  # the shortest of all classes


class GatewayPolicy(Protocol):
    """The policy of a gateway (`granitedock.policy`)."""

    open_book: Any  # makes a customer's account; called like QuotaAccount, which it is unless replaced

    @property
    def accounts(self) -> Iterable[Customer]:
        """The customers that have an account."""
        ...

    @property
    def fleet(self) -> HostPolicy:
        """The policy's part for hosts."""
        ...

    def advance_clock(self, now: float) -> None:
        """Bring the policy to `now`, Unix ms."""
        ...


class GatewayState(Protocol):
    """The plans and classes by which a gateway admits new requests, and its policy."""

    plans: dict[str, Plan]
    request_classes: dict[str, RequestClass]

    @property
    def gateway(self) -> GatewayPolicy:
        """The gateway's policy."""
        ...
