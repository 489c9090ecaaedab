"""The parts of a running gateway that its configuration acts on; the only place that names them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from granitedock.policy.types import Customer, Plan, RequestClass


class HostPolicy(Protocol):
    """The part of the policy that distributes requests over hosts (`granitedock.policy.load_balancer`)."""

    def set_request_classes(self, request_classes: list[RequestClass]) -> None:
        """Balance by these classes from now on."""
        ...


class QuotaPolicy(Protocol):
    """The part of the policy that holds customers to their quotas (`granitedock.policy.rate_limiter`)."""

    open_account: Any  # makes a customer's account; called like QuotaAccount, which it is unless replaced

    @property
    def accounts(self) -> Iterable[Customer]:
        """The customers that have an account."""
        ...


class GatewayPolicy(Protocol):
    """The policy of a gateway (`granitedock.policy.gateway`)."""

    @property
    def rate_limiter(self) -> QuotaPolicy:
        """The policy's part for quotas."""
        ...

    @property
    def load_balancer(self) -> HostPolicy:
        """The policy's part for hosts."""
        ...

    def advance_clock(self, now: float) -> None:
        """Bring the policy to `now`, Unix ms."""
        ...


class RequestAdmission(Protocol):
    """The plans and classes by which a gateway admits requests (`granitedock.service.in_flight_requests`)."""

    plans: dict[str, Plan]
    request_classes: dict[str, RequestClass]

    def replace_request_classes(self, request_classes: dict[str, RequestClass]) -> None:
        """Admit requests by these classes from now on; those in flight keep theirs."""
        ...


class GatewayState(Protocol):
    """A gateway's state machine (`granitedock.service.dispatcher`)."""

    @property
    def requests(self) -> RequestAdmission:
        """What admits requests."""
        ...

    @property
    def policy(self) -> GatewayPolicy:
        """The gateway's policy."""
        ...
