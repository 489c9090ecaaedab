"""The size of a small world of gateways, and the settings of its gateways."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from granitedock.policy.types import Idempotency
from granitedock.service.limits import Limits

START_MS = 1_000_000.0  # Unix time at which a window of the plan begins.
HORIZON_MS = 2600.0  # Time from START_MS after which no time passes: after every deadline and drain grace.
DEADLINE_MS = 1000  # Deadline in the clients' requests.
LATENCY_OBJECTIVE_MS = 400
IDEMPOTENCY_WINDOW_MS = 300
SWEEP_INTERVAL_MS = 500.0  # The longest interval that still shows every effect of periodic maintenance.
CEILING_MARK = "!"  # Suffix of the class of a request whose customer is under a ceiling.

PLAIN_PLAN = "p"
CEILING_PLAN = "c"
FREE_PLAN = "free"
CUSTOMERS = {PLAIN_PLAN: 161, CEILING_PLAN: 162, FREE_PLAN: 163}  # The number of one customer of each plan.


@dataclass(frozen=True, slots=True)
class Ceiling:
    """The limit of one customer over all gateways.

    `rate` is in units per second, `burst` in units at once, and `slack` in units beyond both.
    """

    rate: float
    burst: float
    slack: float


CEILING = Ceiling(rate=2.0, burst=1.0, slack=1.0)

# The request classes, and the platform file's values for the idempotency of each.
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
    """The size of the world.

    `requests` has a request class for each request, `read`, `mark` or `once`, with a ! for a customer under a
    ceiling; clients send them to the gateways in turn. Each gateway serves `warm_up_requests` concurrently
    before the first move, so that it keeps connections, has measured its hosts as fast and cancels attempts
    that hang. With `replacement` the hosts are in two cells in turn, hosts of one cell drop the repeats of
    keyed requests, and a host may be replaced (`host_replacement`).
    """

    gateways: int = 2
    hosts: int = 2
    requests: tuple[str, ...] = ("once", "mark", "read")
    faults: int = 1
    warm_up_requests: int = 0
    replacement: bool = False

    def settings(self, gateway: int) -> dict[str, Any]:
        """Return the platform file's field `settings` for a gateway."""
        return {
            "Me": gateway,
            "Balancers": self.gateways,
            "Lanes": [
                class_settings(name, idempotency, "cell" if self.replacement else "all")
                for name, idempotency in REQUEST_CLASSES.items()
            ],
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
        """Return the program's defaults, apart from the maintenance interval and one counter connection."""
        limits = Limits.from_platform_file({"settings": self.settings(gateway)})
        return replace(limits, sweep_ms=SWEEP_INTERVAL_MS, counter_links=1)


def class_settings(name: str, idempotency: Idempotency, scope: str) -> dict[str, Any]:
    """Return a request class in the form of the platform file."""
    return {
        "Name": name,
        "Repeat": REPEAT_SETTINGS[idempotency],
        "TargetMs": LATENCY_OBJECTIVE_MS,
        "GiveUpMs": DEADLINE_MS,
        "Worth": 1,
        "WindowMs": IDEMPOTENCY_WINDOW_MS if idempotency is Idempotency.KEYED else 0,
        "DedupScope": scope,
    }
