"""Made-up deployments of any size, in the platform's own form: its file, its plans, its list of hosts."""

from __future__ import annotations

from typing import Any

from granitedock.lab.gateway_settings import gateway_settings
from granitedock.lab.scenario import parse
from granitedock.lab.simulators.minimal_scenario import MINIMAL_SCENARIO

ZONES = 5


def tariffs(count: int) -> list[dict[str, Any]]:
    """So many plans, each of a tenant's own rate and burst; one in ten stands under a ceiling."""
    return [
        {
            "Name": f"tenant-{number:05d}",
            "Refill": 10.0 + number % 90,
            "MostAtOnce": 20.0 + number % 180,
            "CeilingRate": 40.0 + number % 90 if number % 10 == 0 else 0,
            "CeilingBurst": 80.0 if number % 10 == 0 else 0,
            "Tolerance": 8.0 if number % 10 == 0 else 0,
        }
        for number in range(count)
    ]


def settings(plans: int = 1, gateways: int = 2, counting: bool = True, me: int = 0) -> dict[str, Any]:
    """What a gateway is told under `settings`."""
    made = gateway_settings(parse(MINIMAL_SCENARIO), me)
    made["Balancers"] = gateways
    made["Tariffs"] = [{"Name": "p", "Refill": 1e6, "MostAtOnce": 1e6}, *tariffs(plans)]
    made["Specifics"] = made["Specifics"] | {"Counter": counting, "MailPerS": 1000}
    return made


def platform_file(plans: int = 1, **more: Any) -> dict[str, Any]:
    """The file that the platform starts a gateway with."""
    return {
        "name": "g0",
        "listen": "127.0.0.1:6379",
        "discovery": "127.0.0.1:8500",
        "counter": "127.0.0.1:6400",
        "seed": "07",
        "settings": settings(plans),
    } | more


def instance(number: int, address: str = "", lifecycle: str = "in_service") -> dict[str, Any]:
    """One host as discovery tells it."""
    return {
        "instanceId": f"host-{number:05d}",
        "hostPort": address or f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080",
        "lifecycle": lifecycle,
        "weight": 1.0,
        "machineType": "standard",
        "zone": f"zone-{number % ZONES}",
        "cell": number % 360,
        "startedAtMs": 0,
    }


def host_list(count: int, generation: int = 1) -> dict[str, Any]:
    """The whole list of so many hosts."""
    instances = [instance(number) for number in range(count)]
    return {"generation": generation, "reset": True, "instances": instances}
