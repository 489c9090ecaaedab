"""Errors of the test cluster."""

from __future__ import annotations

from collections.abc import Iterable

from granitedock.errors import GranitedockError


class ClusterError(GranitedockError, RuntimeError):
    """The cluster cannot be made, or is not as was waited for."""


class NoNetworkError(ClusterError):
    """Every loopback network is claimed by another cluster."""

    def __init__(self) -> None:
        super().__init__("no loopback net is free for a cluster")


class GatewayUnreachableError(ClusterError):
    """A gateway does not answer; `log` is the end of its log, where it was waited for."""

    def __init__(self, gateway: str, cause: object, log: str | None = None) -> None:
        text = f"{gateway} does not answer: {cause}"
        super().__init__(text if log is None else f"{text}; its log: {log}")
        self.gateway = gateway
        self.cause = cause


class DisagreementError(ClusterError):
    """The gateways' views of each other differ from what they should be."""

    def __init__(self, within_s: float, live: Iterable[int], views: object) -> None:
        super().__init__(f"after {within_s} s, {sorted(live)} should be held live, and the views are {views}")
