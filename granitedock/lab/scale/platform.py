"""Synthetic deployments of any size, in the platform's own form: its file, its plans, its endpoint list."""

from __future__ import annotations

from typing import Any

from granitedock.lab.gateway_settings import gateway_settings
from granitedock.lab.scenario import parse
from granitedock.lab.simulators.minimal_scenario import MINIMAL_SCENARIO

ZONES = 5
CELLS = 360
CEILING_EVERY = 10  # one plan in so many has a ceiling
IN_SERVICE = "in_service"
TERMINATING = "terminating"


def plan_records(count: int) -> list[dict[str, Any]]:
    """So many plans, each of a tenant's own rate and burst; one in `CEILING_EVERY` has a ceiling."""
    return [
        {
            "Name": f"tenant-{number:05d}",
            "Refill": 10.0 + number % 90,
            "MostAtOnce": 20.0 + number % 180,
            "CeilingRate": 40.0 + number % 90 if number % CEILING_EVERY == 0 else 0,
            "CeilingBurst": 80.0 if number % CEILING_EVERY == 0 else 0,
            "Tolerance": 8.0 if number % CEILING_EVERY == 0 else 0,
        }
        for number in range(count)
    ]


def platform_settings(
    plans: int = 1, gateways: int = 2, counting: bool = True, me: int = 0
) -> dict[str, Any]:
    """The object `settings` of the platform's file of gateway `me`, with a plan "p" that rejects nothing."""
    settings: dict[str, Any] = gateway_settings(parse(MINIMAL_SCENARIO), me)
    settings["Balancers"] = gateways
    settings["Tariffs"] = [{"Name": "p", "Refill": 1e6, "MostAtOnce": 1e6}, *plan_records(plans)]
    settings["Specifics"] = settings["Specifics"] | {"Counter": counting, "MailPerS": 1000}
    return settings


def platform_file(plans: int = 1, **fields: object) -> dict[str, Any]:
    """The file that the platform starts a gateway with; `fields` replace or add to its own."""
    return {
        "name": "g0",
        "listen": "127.0.0.1:6379",
        "discovery": "127.0.0.1:8500",
        "counter": "127.0.0.1:6400",
        "seed": "07",
        "settings": platform_settings(plans),
    } | fields


def host_record(number: int, lifecycle: str = IN_SERVICE) -> dict[str, Any]:
    """One host in discovery's form."""
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
    """The full list of so many hosts in discovery's form, its first generation."""
    return {"generation": 1, "reset": True, "instances": [host_record(number) for number in range(count)]}
