"""Health of one host, as measured by this gateway's attempts, and the state table of its ejection."""

from __future__ import annotations

from granitedock.policy.states import HostEvent, HostState
from granitedock.policy.types import Attempt, Plan
from granitedock.rolling_window import RollingWindow

SERVICE_TIME_SPAN_MS = 4000.0


HOST = {
    (HostState.HEALTHY, HostEvent.FAILED): (HostState.HEALTHY, "count_failure"),
    (HostState.HEALTHY, HostEvent.TRIPPED): (HostState.EJECTED, "eject"),
    (HostState.HEALTHY, HostEvent.ANSWERED): (HostState.HEALTHY, "clear_failures"),
    (HostState.EJECTED, HostEvent.EJECTION_OVER): (HostState.PROBATION, None),
    (HostState.EJECTED, HostEvent.ANSWERED): (HostState.HEALTHY, "clear_failures"),
    (HostState.PROBATION, HostEvent.INCONCLUSIVE): (HostState.EJECTED, None),
    (HostState.PROBATION, HostEvent.FAILED): (HostState.EJECTED, "eject"),
    (HostState.PROBATION, HostEvent.ANSWERED): (HostState.HEALTHY, "reinstate"),
}


class HostHealth:
    """Health of one run of a host: a restart starts a new record. Points in time are ms."""

    def __init__(self, now: float) -> None:
        self.state = HostState.HEALTHY
        self.failures = 0  # Consecutive failures.
        self.ejected_until = 0.0
        self.reinstated_at = 0.0
        self.answered_at = now
        self.in_flight: dict[Attempt, None] = {}  # In the order of sending, oldest first.
        # Sums of answer times divided by the request's relative work, and of the attempts in flight here when
        # the answered one was sent, itself included.
        self.service_time = RollingWindow(SERVICE_TIME_SPAN_MS)
        # The time until which the host is expected to reject requests of a plan.
        self.plan_refused_until: dict[Plan, float] = {}
