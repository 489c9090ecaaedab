"""What one gateway pays per host: the list, a change of it, the periodic work and memory."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

import orjson

from granitedock.lab.scale.platform import host_list, instance, platform_file
from granitedock.lab.scale.probe import MIB, allocated_bytes, cpu_ms
from granitedock.service.discovery_protocol import EndpointListUpdate, parse_endpoint_list
from granitedock.service.dispatcher import GatewayParameters, GatewayStateMachine
from granitedock.service.limits import Limits


@dataclass(frozen=True, slots=True)
class HostCost:
    """At so many hosts: bytes of a whole list, processor ms, MiB."""

    hosts: int
    list_bytes: int
    read_ms: float
    take_in_ms: float
    change_bytes: int
    change_ms: float
    sweep_ms: float
    look_round_ms: float
    memory_mb: float


class Silent:
    """I/O and event log of a state machine whose effects nobody carries out."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def event(self, event: str, **figures: Any) -> None:
        """Nobody reads it here."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_: None


def state_machine(told: dict[str, Any]) -> GatewayStateMachine:
    """A gateway's state machine that has spoken with nobody yet."""
    silent = Silent()
    limits = Limits.from_platform_file(told)
    return GatewayStateMachine(GatewayParameters(1e12, limits, told["settings"], 7, None, silent, silent))


def filled(whole: EndpointListUpdate) -> GatewayStateMachine:
    """A gateway's state machine that has taken this list in."""
    machine = state_machine(platform_file())
    machine.endpoints.update(whole)
    return machine


def measure(count: int) -> HostCost:
    """One gateway that takes in a list of `count` hosts and then one change of it."""
    line = orjson.dumps(host_list(count))
    change = orjson.dumps(
        {"generation": 2, "reset": False, "instances": [instance(0, lifecycle="terminating")]}
    )
    machine = state_machine(platform_file())
    read_ms = cpu_ms(lambda: parse_endpoint_list(orjson.loads(line)))
    whole = parse_endpoint_list(orjson.loads(line))
    take_in_ms = cpu_ms(lambda: machine.endpoints.update(whole), 1)
    memory = allocated_bytes(lambda: filled(whole)) / MIB
    change_ms = cpu_ms(lambda: machine.endpoints.update(parse_endpoint_list(orjson.loads(change))))
    sweep_ms = cpu_ms(machine.maintain)
    load_balancer = machine.policy.load_balancer

    def look_round() -> None:
        load_balancer.refresh_at = load_balancer.now
        load_balancer.refresh_if_due()

    look_round_ms = cpu_ms(look_round)
    return HostCost(
        count, len(line), read_ms, take_in_ms, len(change), change_ms, sweep_ms, look_round_ms, memory
    )
