"""The settings of a laboratory gateway, from the scenario, in the format of the platform file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from granitedock.lab.load.observations import SlowStartTerms
from granitedock.lab.scenario import Plan, Scenario
from granitedock.policy.types import Idempotency

IDEMPOTENCY_WINDOW_MS = 3000.0  # hosts drop repeats of a request with an idempotency key for this time
LATENCY_OBJECTIVE_MS = 1000
DEADLINE_MS = 4000
SLOW_START = SlowStartTerms()
GOSSIP_DATAGRAMS_PER_S = 100
ALLOWED = {"MaxAttempts": 3, "Cancel": True, "ConnIdleMs": 10000, "MostHeld": 2000}
MAX_UNITS = 4
REPEAT_WORDS = {  # words of the platform file
    Idempotency.IDEMPOTENT: "safe",
    Idempotency.KEYED: "keyed",
    Idempotency.NON_IDEMPOTENT: "unsafe",
}


@dataclass(frozen=True, slots=True)
class LabRequestClass:
    """A request class that is defined in every scenario."""

    name: str
    idempotency: Idempotency


REQUEST_CLASSES = (
    LabRequestClass("read", Idempotency.IDEMPOTENT),
    LabRequestClass("mark", Idempotency.KEYED),
    LabRequestClass("once", Idempotency.NON_IDEMPOTENT),
)


def gateway_settings(scenario: Scenario, number: int) -> dict[str, Any]:
    """Return the value of `settings` in the platform file of gateway `number` of the scenario."""
    return {
        "Me": number,
        "Balancers": scenario.fleet.gateways,
        "Lanes": [request_class_record(request_class) for request_class in REQUEST_CLASSES],
        "Tariffs": [plan_record(plan) for plan in scenario.plans],
        "Allowed": dict(ALLOWED),
        "Safety": slow_start_record(SLOW_START),
        "Specifics": {
            "Counter": True,
            "MaxUnits": MAX_UNITS,
            "MailPerS": GOSSIP_DATAGRAMS_PER_S if scenario.fleet.gossip_permitted else 0,
        },
    }


def request_class_record(request_class: LabRequestClass) -> dict[str, Any]:
    """Return a request class in the format of the platform file."""
    record: dict[str, Any] = {
        "Name": request_class.name,
        "Repeat": REPEAT_WORDS[request_class.idempotency],
        "TargetMs": LATENCY_OBJECTIVE_MS,
        "GiveUpMs": DEADLINE_MS,
        "Worth": 1,
    }
    if request_class.idempotency == Idempotency.KEYED:
        record["WindowMs"] = IDEMPOTENCY_WINDOW_MS
    return record


def plan_record(plan: Plan) -> dict[str, Any]:
    """Return a plan in the format of the platform file."""
    return {
        "Name": plan.name,
        "Refill": plan.rate,
        "MostAtOnce": plan.burst,
        "CeilingRate": plan.ceiling_rate,
        "CeilingBurst": plan.ceiling_burst,
        "Tolerance": plan.ceiling_slack,
    }


def slow_start_record(terms: SlowStartTerms) -> dict[str, Any]:
    """Return the slow-start settings of hosts in the format of the platform file."""
    return {
        "ColdFrom": terms.initial_share,
        "ColdMs": 1000 * terms.warm_up_s,
        "OverloadFactor": terms.overload_factor,
        "TipAfterMs": 1000 * terms.overload_after_s,
    }
