"""Measure one gateway's cost per host: the endpoint list, an update of it, periodic work and memory."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from granitedock.lab.scale.platform import TERMINATING, full_list_record, host_record, platform_file
from granitedock.lab.scale.probe import MIB, allocated_bytes, cpu_ms
from granitedock.service.discovery_protocol import EndpointListUpdate, parse_endpoint_list
from granitedock.service.dispatcher import GatewayParameters, GatewayStateMachine
from granitedock.service.limits import Limits

STARTED_AT_MS = 1e12
SEED = 7


@dataclass(frozen=True, slots=True)
class HostCost:
    """The cost of `hosts` hosts at one gateway.

    `list_bytes` is the size of a full list and `change_bytes` that of an update of one host. The times are
    processor ms: `read_ms` to decode the full list, `take_in_ms` to apply it, `change_ms` to decode and apply
    an update, `sweep_ms` for one periodic maintenance and `look_round_ms` for one refresh of the load
    balancer. `memory_mb` is in MiB.
    """

    hosts: int
    list_bytes: int
    read_ms: float
    take_in_ms: float
    change_bytes: int
    change_ms: float
    sweep_ms: float
    look_round_ms: float
    memory_mb: float


class DiscardingEffects:
    """I/O and event log of a state machine that discard all effects."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def event(self, event: str, /, **figures: Any) -> None:
        """Discard the event."""

    def __getattr__(self, name: str) -> Callable[..., Any]:
        return lambda *_: None


def build_state_machine(platform_record: dict[str, Any]) -> GatewayStateMachine:
    """Build the state machine of a gateway with this platform file, before any input."""
    effects = DiscardingEffects()
    limits = Limits.from_platform_file(platform_record)
    parameters = GatewayParameters(
        STARTED_AT_MS, limits, platform_record["settings"], SEED, None, effects, effects
    )
    return GatewayStateMachine(parameters)


def state_machine_with(endpoints: EndpointListUpdate) -> GatewayStateMachine:
    """Build the state machine of a gateway that has applied this endpoint list."""
    state_machine = build_state_machine(platform_file())
    state_machine.endpoints.update(endpoints)
    return state_machine


def measure(count: int) -> HostCost:
    """Measure one gateway that applies a full list of `count` hosts and then an update of one host."""
    list_line = orjson.dumps(full_list_record(count))
    update_line = orjson.dumps({"generation": 2, "reset": False, "instances": [host_record(0, TERMINATING)]})
    state_machine = build_state_machine(platform_file())
    load_balancer = state_machine.policy.load_balancer
    decode_ms = cpu_ms(lambda: parse_endpoint_list(orjson.loads(list_line)))
    full_list = parse_endpoint_list(orjson.loads(list_line))

    def apply_update() -> None:
        state_machine.endpoints.update(parse_endpoint_list(orjson.loads(update_line)))

    def refresh() -> None:
        load_balancer.refresh_at = load_balancer.now
        load_balancer.refresh_if_due()

    return HostCost(
        hosts=count,
        list_bytes=len(list_line),
        read_ms=decode_ms,
        take_in_ms=cpu_ms(lambda: state_machine.endpoints.update(full_list), 1),
        memory_mb=allocated_bytes(lambda: state_machine_with(full_list)) / MIB,
        change_bytes=len(update_line),
        change_ms=cpu_ms(apply_update),
        sweep_ms=cpu_ms(state_machine.maintain),
        look_round_ms=cpu_ms(refresh),
    )
