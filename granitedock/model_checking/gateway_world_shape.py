"""The size of a small world of gateways, and the settings that its gateways are made of."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from granitedock.policy.types import Idempotency
from granitedock.service.limits import Limits

START = 1_000_000.0  # Unix ms, where a window of the plan begins
HORIZON_MS = 2600.0  # time stands still after this: past every deadline, and a drain's grace
DEADLINE_MS = 1000  # that clients give
LATENCY_OBJECTIVE_MS = 400
IDEMPOTENCY_WINDOW_MS = 300
REFRESH_MS = 500.0  # as far apart as shows all that periodic maintenance does
CEILING_MARK = "!"  # behind the class of a request whose customer is under a ceiling

PLAIN_PLAN = "p"
CEILING_PLAN = "c"
FREE_PLAN = "free"
CUSTOMERS = {PLAIN_PLAN: 161, CEILING_PLAN: 162, FREE_PLAN: 163}  # one of each plan


@dataclass(frozen=True, slots=True)
class Ceiling:
    """The bound on one customer over all gateways: units a second, units at once, and units beyond both."""

    rate: float
    burst: float
    slack: float


CEILING = Ceiling(rate=2.0, burst=1.0, slack=1.0)

# The request classes, and the platform file's words for what a repeat does.
REQUEST_CLASSES = {
    "read": Idempotency.IDEMPOTENT,
    "mark": Idempotency.KEYED,
    "once": Idempotency.NON_IDEMPOTENT,
}
REPEAT_SETTINGS = {
    Idempotency.IDEMPOTENT: "safe",
    Idempotency.KEYED: "keyed",
    Idempotency.NON_IDEMPOTENT: "unsafe",
}


@dataclass(frozen=True, slots=True)
class GatewayWorldShape:
    """How small the world is.

    `requests`: a request class for each, `read`, `mark` or `once`, with a ! for a customer under a ceiling;
    they come to the gateways in turn. `warm_up_requests`: so many were served at once by each gateway before,
    so that it keeps connections, knows hosts as fast and cancels attempts that hang.
    """

    gateways: int = 2
    hosts: int = 2
    requests: tuple[str, ...] = ("once", "mark", "read")
    faults: int = 1
    warm_up_requests: int = 0

    def settings(self, gateway: int) -> dict[str, Any]:
        """The platform file's field `settings` for a gateway."""
        return {
            "Me": gateway,
            "Balancers": self.gateways,
            "Lanes": [class_settings(name, idempotency) for name, idempotency in REQUEST_CLASSES.items()],
            "Tariffs": [
                {"Name": PLAIN_PLAN, "Refill": 2, "MostAtOnce": 2},
                {"Name": FREE_PLAN, "Refill": 0, "MostAtOnce": 0},
                {
                    "Name": CEILING_PLAN,
                    "Refill": 4,
                    "MostAtOnce": 4,
                    "CeilingRate": CEILING.rate,
                    "CeilingBurst": CEILING.burst,
                    "Tolerance": CEILING.slack,
                },
            ],
            "Allowed": {"MaxAttempts": 3, "Cancel": True, "ConnIdleMs": 60_000, "ConnectTimeoutMs": 250},
            "Safety": {"ColdFrom": 0.2, "ColdMs": 0, "OverloadFactor": 2, "TipAfterMs": 1000},
            "Specifics": {"Counter": True, "MaxUnits": 4},
        }

    def limits(self, gateway: int) -> Limits:
        """The program's own, but for the time between refreshes, and one connection to the counter."""
        limits = Limits.from_platform_file({"settings": self.settings(gateway)})
        return replace(limits, sweep_ms=REFRESH_MS, counter_links=1)


def class_settings(name: str, idempotency: Idempotency) -> dict[str, Any]:
    """A request class as the platform file holds it."""
    return {
        "Name": name,
        "Repeat": REPEAT_SETTINGS[idempotency],
        "TargetMs": LATENCY_OBJECTIVE_MS,
        "GiveUpMs": DEADLINE_MS,
        "Worth": 1,
        "WindowMs": IDEMPOTENCY_WINDOW_MS if idempotency is Idempotency.KEYED else 0,
    }
