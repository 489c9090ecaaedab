"""A simulation of a plan that changes while many gateways serve it, each applying it at a different time.

The gateways are those of the quota simulation. Each applies a change with the real
`granitedock.configuration.gateway_applier`. The simulation measures the usage of a customer over the change,
against the bound that `usage_bound` states. Times are ms of the simulated clock.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass

from granitedock.configuration.gateway_applier import GatewayApplier
from granitedock.lab.simulators.membership_simulation import SimulatedNode
from granitedock.lab.simulators.offered_load import OfferedLoad
from granitedock.lab.simulators.quota_simulation import GatewayFeatures, QuotaSimulation
from granitedock.lab.simulators.simulated_gateway import SimulatedGateway
from granitedock.policy.gateway import Gateway
from granitedock.policy.types import Plan, RequestClass

SPAN_STEP_MS = 250


@dataclass(frozen=True, slots=True)
class PlanChange:
    """A new plan, which the gateways apply at evenly spaced times within the rollout."""

    plan: Plan
    first_applied_ms: float
    last_applied_ms: float

    @property
    def rollout_ms(self) -> float:
        """The time during which some gateways have applied the change and others have not."""
        return self.last_applied_ms - self.first_applied_ms


@dataclass(slots=True)
class AdmissionTerms:
    """The plans and classes by which a gateway admits requests: the applier's `RequestAdmission`."""

    plans: dict[str, Plan]
    request_classes: dict[str, RequestClass]

    def replace_request_classes(self, request_classes: dict[str, RequestClass]) -> None:
        """Replace the classes by which requests are admitted."""
        self.request_classes = request_classes


@dataclass(frozen=True, slots=True)
class ConfiguredState:
    """The applier's `GatewayState`, in place of a gateway's state machine."""

    policy: Gateway
    requests: AdmissionTerms


class ConfiguredGateway(SimulatedGateway):
    """A gateway of the simulation whose plans change while it serves requests."""

    def __init__(self, simulation: QuotaSimulation, node: SimulatedNode) -> None:
        super().__init__(simulation, node)
        classes = {entry.name: entry for entry in self.policy.load_balancer.request_classes}
        plans = {load.plan.name: load.plan for load in simulation.loads.values()}
        self.admission = AdmissionTerms(plans, classes)
        state = ConfiguredState(self.policy, self.admission)
        self.applier = GatewayApplier(state, simulation.unix_ms)

    def plan_of(self, load: OfferedLoad) -> Plan:
        """Return the plan of the load's name in this gateway's version."""
        return self.admission.plans[load.plan.name]

    def apply_plan(self, plan: Plan) -> None:
        """Apply a changed plan."""
        self.applier.apply_plans({plan.name: plan}, [])


class PlanChangeSimulation(QuotaSimulation):
    """Simulates `count` gateways that apply each change in turn, in an order drawn from the seed."""

    def __init__(
        self, count: int, loads: list[OfferedLoad], changes: list[PlanChange], seed: int = 1
    ) -> None:
        super().__init__(count, loads, seed, GatewayFeatures(share_quotas=False, use_membership=False))
        for change in changes:
            order = list(range(count))
            self.random.shuffle(order)
            step_ms = change.rollout_ms / max(1, count - 1)
            for turn, number in enumerate(order):
                self.schedule(change.first_applied_ms + turn * step_ms, self.apply_plan, number, change.plan)

    def make_gateway(self, node: SimulatedNode) -> ConfiguredGateway:
        """Return a gateway whose plans can change."""
        return ConfiguredGateway(self, node)

    def apply_plan(self, number: int, plan: Plan) -> None:
        """Apply a changed plan at one gateway."""
        gateway = self.gateways[number]
        assert isinstance(gateway, ConfiguredGateway)
        gateway.apply_plan(plan)


@dataclass(frozen=True, slots=True)
class SpanParts:
    """The seconds of a span that lie before a change, in its rollout, and after it."""

    before_s: float
    rollout_s: float
    after_s: float

    @classmethod
    def of(cls, change: PlanChange, start_ms: float, end_ms: float) -> SpanParts:
        """Return the parts of a span; `end_ms` must be later than the start of the rollout."""
        first = change.first_applied_ms
        last = change.last_applied_ms
        return cls(
            before_s=max(0.0, first - start_ms) / 1000.0,
            rollout_s=max(0.0, min(end_ms, last) - max(start_ms, first)) / 1000.0,
            after_s=max(0.0, end_ms - max(start_ms, last)) / 1000.0,
        )


def usage_bound(before: Plan, after: Plan, same_window: bool, span: SpanParts) -> float:
    """Return the most units that a customer may use in a span over a change from `before` to `after`.

    If the window stays the same, all totals continue, so each gateway's limit applies to the sum, and the
    more generous of both plans holds while versions differ. If the window changes, the gateways that have
    applied the change and those that have not count separately during the rollout, so both rates add up. The
    burst, the larger of both, is available only once.
    """
    old_rate = before.rate * 1000.0
    new_rate = after.rate * 1000.0
    rollout_rate = max(old_rate, new_rate) if same_window else old_rate + new_rate
    burst = max(before.burst, after.burst)
    return burst + old_rate * span.before_s + rollout_rate * span.rollout_s + new_rate * span.after_s


def worst_usage_share(load: OfferedLoad, change: PlanChange, same_window: bool, end_ms: float) -> float:
    """Return the highest usage as a share of `usage_bound`, over all spans that touch the rollout."""
    times = sorted(request.sent_at for request in load.completed)
    first_end = int(change.first_applied_ms)
    highest_share = 0.0
    for start in range(0, int(min(change.last_applied_ms, end_ms)), SPAN_STEP_MS):
        first = bisect_left(times, start)
        for end in range(max(start, first_end) + SPAN_STEP_MS, int(end_ms) + 1, SPAN_STEP_MS):
            units = bisect_left(times, end) - first
            bound = usage_bound(load.plan, change.plan, same_window, SpanParts.of(change, start, end))
            highest_share = max(highest_share, units / bound)
    return highest_share
