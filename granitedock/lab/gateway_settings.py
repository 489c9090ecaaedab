"""The settings a laboratory gateway is born with: those of the scenario, in the platform's own form."""

from __future__ import annotations

from typing import Any

from granitedock.lab.scenario import Scenario

REMEMBERED_MS = 3000.0  # so long hosts drop a repeat of a keyed task
COLD = {"share": 0.2, "warm_s": 1.0, "factor": 2.0, "tip_s": 1.0}  # what pushes over a host that starts
PRODUCTS = (("read", "safe"), ("mark", "keyed"), ("once", "unsafe"))


def born(scenario: Scenario, me: int) -> dict[str, Any]:
    """What gateway number `me` of the scenario is told under `settings`."""
    lanes = [
        {"Name": name, "Repeat": repeat, "TargetMs": 1000, "GiveUpMs": 4000, "Worth": 1}
        | ({"WindowMs": REMEMBERED_MS} if repeat == "keyed" else {})
        for name, repeat in PRODUCTS
    ]
    plans = [
        {
            "Name": plan.name,
            "Refill": plan.rate,
            "MostAtOnce": plan.burst,
            "CeilingRate": plan.ceiling_rate,
            "CeilingBurst": plan.ceiling_burst,
            "Tolerance": plan.ceiling_slack,
        }
        for plan in scenario.plans
    ]
    return {
        "Me": me,
        "Balancers": scenario.fleet.gateways,
        "Lanes": lanes,
        "Tariffs": plans,
        "Allowed": {"MaxAttempts": 3, "Cancel": True, "ConnIdleMs": 10000, "MostHeld": 2000},
        "Safety": {
            "ColdFrom": COLD["share"],
            "ColdMs": 1000 * COLD["warm_s"],
            "OverloadFactor": COLD["factor"],
            "TipAfterMs": 1000 * COLD["tip_s"],
        },
        "Specifics": {"Counter": True, "MaxUnits": 4, "MailPerS": 100 if scenario.fleet.talk else 0},
    }
