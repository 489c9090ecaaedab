"""The links that a fault of a test cluster affects, and its effect on them."""

from __future__ import annotations

from collections.abc import Iterable

from granitedock.lab.cluster.gateway_process import gateway_name
from granitedock.lab.fault_targets import Direction, FaultKind
from granitedock.lab.faults.link_faults import CUT, Link, LinkFault
from granitedock.lab.scenario import Fault


def links_between(
    gateways: Iterable[int], other_side: Iterable[int] | str, direction: Direction
) -> list[Link]:
    """Return the links between gateways and the other side; `direction` is as seen from `gateways`."""
    numbers = list(gateways)
    if isinstance(other_side, str):
        others = [other_side]
    else:
        others = [gateway_name(number) for number in other_side if number not in numbers]
    names = [gateway_name(number) for number in numbers]
    outward = [(name, other) for name in names for other in others]
    inward = [(other, name) for name in names for other in others]
    return {
        Direction.BOTH: outward + inward,
        Direction.OUT: outward,
        Direction.IN: inward,
    }[direction]


def link_fault(fault: Fault) -> LinkFault:
    """Return the link fault of a `cut` or `wire` fault of the timeline."""
    if fault.kind != FaultKind.IMPAIR:
        return CUT
    return LinkFault(
        lost=fault.rate,
        delay_ms=fault.late_ms,
        jitter_ms=fault.jitter_ms,
        duplicated=fault.duplicated,
    )
