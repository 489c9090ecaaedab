"""Generate deployments of any size in the platform's formats: its file, its plans, its endpoint list."""

from __future__ import annotations

from typing import Any

from granitedock.lab.gateway_settings import gateway_settings
from granitedock.lab.scenario import parse
from granitedock.lab.simulators.minimal_scenario import MINIMAL_SCENARIO

ZONES = 5
CELLS = 360
PLANS_PER_CEILING = 10  # One plan out of this many has a ceiling.
IN_SERVICE = "in_service"
TERMINATING = "terminating"


def plan_records(count: int) -> list[dict[str, Any]]:
    """Return `count` plans of one tenant each, with different rates and bursts.

    One plan in `PLANS_PER_CEILING` has a ceiling.
    """
    return [
        {
            "Name": f"tenant-{number:05d}",
            "Refill": 10.0 + number % 90,
            "MostAtOnce": 20.0 + number % 180,
            "CeilingRate": 40.0 + number % 90 if number % PLANS_PER_CEILING == 0 else 0,
            "CeilingBurst": 80.0 if number % PLANS_PER_CEILING == 0 else 0,
            "Tolerance": 8.0 if number % PLANS_PER_CEILING == 0 else 0,
        }
        for number in range(count)
    ]


def platform_settings(
    plans: int = 1, gateways: int = 2, counting: bool = True, gateway_index: int = 0
) -> dict[str, Any]:
    """Return the `settings` object of gateway `gateway_index` in its platform file.

    Besides `plans` generated plans there is a plan "p" that rejects no request.
    """
    settings: dict[str, Any] = gateway_settings(parse(MINIMAL_SCENARIO), gateway_index)
    settings["Balancers"] = gateways
    settings["Tariffs"] = [{"Name": "p", "Refill": 1e6, "MostAtOnce": 1e6}, *plan_records(plans)]
    settings["Specifics"] = settings["Specifics"] | {"Counter": counting, "MailPerS": 1000}
    return settings


def platform_file(plans: int = 1, **fields: object) -> dict[str, Any]:
    """Return the platform file that a gateway is started with; `fields` replace or extend its fields."""
    return {
        "name": "g0",
        "listen": "127.0.0.1:6379",
        "discovery": "127.0.0.1:8500",
        "counter": "127.0.0.1:6400",
        "seed": "07",
        "settings": platform_settings(plans),
    } | fields


def host_record(number: int, lifecycle: str = IN_SERVICE) -> dict[str, Any]:
    """Return one host in the format of discovery."""
    return {
        "instanceId": f"host-{number:05d}",
        "hostPort": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080",
        "lifecycle": lifecycle,
        "weight": 1.0,
        "machineType": "standard",
        "zone": f"zone-{number % ZONES}",
        "cell": number % CELLS,
        "startedAtMs": 0,
    }


def full_list_record(count: int) -> dict[str, Any]:
    """Return the full list of `count` hosts in the format of discovery, with generation 1."""
    return {"generation": 1, "reset": True, "instances": [host_record(number) for number in range(count)]}
