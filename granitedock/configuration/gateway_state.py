"""Ports of a running gateway to which its configuration is applied.

The configuration is applied through these ports alone.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from granitedock.policy.types import Customer, Plan, RequestClass


class HostPolicy(Protocol):
    """The load balancer of the policy (`granitedock.policy.load_balancer`)."""

    def set_request_classes(self, request_classes: list[RequestClass]) -> None:
        """Replace the request classes used for load balancing."""
        ...


class QuotaPolicy(Protocol):
    """The rate limiter of the policy, which enforces quotas (`granitedock.policy.rate_limiter`)."""

    open_account: Any  # Creates a customer's account; `QuotaAccount` by default, and called like it.

    @property
    def accounts(self) -> Iterable[Customer]:
        """Return the customers that have an account."""
        ...


class GatewayPolicy(Protocol):
    """The policy of a gateway (`granitedock.policy.gateway`)."""

    @property
    def rate_limiter(self) -> QuotaPolicy:
        """Return the rate limiter."""
        ...

    @property
    def load_balancer(self) -> HostPolicy:
        """Return the load balancer."""
        ...

    def advance_clock(self, now: float) -> None:
        """Advance the policy's clock to `now`, in Unix ms."""
        ...


class RequestAdmission(Protocol):
    """Plans and request classes for admission of requests (`granitedock.service.in_flight_requests`)."""

    plans: dict[str, Plan]
    request_classes: dict[str, RequestClass]

    def replace_request_classes(self, request_classes: dict[str, RequestClass]) -> None:
        """Replace the classes for new requests; requests in flight keep their class."""
        ...


class GatewayState(Protocol):
    """A gateway's state machine (`granitedock.service.dispatcher`)."""

    @property
    def requests(self) -> RequestAdmission:
        """Return the admission of requests."""
        ...

    @property
    def policy(self) -> GatewayPolicy:
        """Return the gateway's policy."""
        ...
