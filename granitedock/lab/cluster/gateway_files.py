"""The files that a gateway of a test cluster starts with: the platform file and the membership file."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson

from granitedock.lab.cluster.network import CLIENTS_PORT, MEMBERSHIP_PORT, LoopbackNetwork
from granitedock.lab.gateway_settings import gateway_settings
from granitedock.lab.scenario import Scenario


def platform_record(
    scenario: Scenario, network: LoopbackNetwork, gateway: int, discovery_address: str, counter_address: str
) -> dict[str, Any]:
    """Return the platform file of a gateway, without its seed."""
    return {
        "name": f"g{gateway}",
        "listen": f"{network.gateway_host(gateway)}:{CLIENTS_PORT}",
        "discovery": discovery_address,
        "counter": counter_address,
        "limits": {"memory_mb": scenario.fleet.memory_mb, "sockets": scenario.fleet.sockets},
        "settings": gateway_settings(scenario, gateway),
    }


def membership_file(
    scenario: Scenario, network: LoopbackNetwork, gateway: int, directory: Path, overrides: dict[str, Any]
) -> str:
    """Return the operators' membership file of a gateway, as TOML.

    The advertised address and the seeds are addresses of proxies. `overrides` replace values that are filled
    in here. The quota snapshot is stored in `directory`.
    """
    values = {
        "enabled": True,
        "cluster": "lab",
        "listen": f"{network.gateway_host(gateway)}:{MEMBERSHIP_PORT}",
        "advertise": f"{network.proxy_host(gateway)}:{MEMBERSHIP_PORT}",
        "seeds": [f"{network.proxy_host(0)}:{MEMBERSHIP_PORT}"],
    } | overrides
    lines = [f"{key} = {orjson.dumps(value).decode()}\n" for key, value in values.items()]
    if scenario.fleet.quota_sharing:
        snapshot = orjson.dumps(str(directory / f"g{gateway}.snapshot")).decode()
        lines.append(f"[shared]\nenabled = true\nsnapshot = {snapshot}\n")
    if scenario.fleet.host_health_sharing:
        lines.append("[hosts]\nenabled = true\n")
    return "".join(lines)
