"""Errors of the test cluster."""

from __future__ import annotations

from collections.abc import Iterable

from granitedock.errors import GranitedockError


class ClusterError(GranitedockError, RuntimeError):
    """The cluster cannot be created, or does not reach the awaited state in time."""


class NoNetworkError(ClusterError):
    """Every loopback network is claimed by another test cluster."""

    def __init__(self) -> None:
        super().__init__("no loopback network is free for a test cluster")


class GatewayUnreachableError(ClusterError):
    """A gateway does not answer; `log` is the end of its log if the caller waits for its start."""

    def __init__(self, gateway: str, cause: object, log: str | None = None) -> None:
        text = f"{gateway} does not answer: {cause}"
        super().__init__(text if log is None else f"{text}; its log: {log}")
        self.gateway = gateway
        self.cause = cause


class DisagreementError(ClusterError):
    """The gateways' views of the membership differ from the expected one after the time limit."""

    def __init__(self, within_s: float, live: Iterable[int], views: object) -> None:
        super().__init__(f"after {within_s} s: expected {sorted(live)} live in every view, got {views}")
