"""What this gateway knows of one host from its own attempts, and the states of a host's ejection."""

from __future__ import annotations

from granitedock.policy.states import HostEvent, HostState
from granitedock.policy.types import Attempt, Plan
from granitedock.rolling_window import RollingWindow

PACE_SPAN_MS = 4000.0


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
    """Moments are ms; void once the host restarts."""

    def __init__(self, now: float) -> None:
        self.state = HostState.HEALTHY
        self.failures = 0  # in a row
        self.ejected_until = 0.0
        self.reinstated_at = 0.0
        self.answered_at = now
        self.in_flight: dict[Attempt, None] = {}  # the longest one first
        self.pace = RollingWindow(PACE_SPAN_MS)  # answer times, and the attempts they shared the host with
        self.refused_plans: dict[Plan, float] = {}  # until when it is taken to refuse a plan
