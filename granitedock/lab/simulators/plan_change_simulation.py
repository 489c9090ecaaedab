"""A plan that changes while many gateways serve it, each hearing of it at a time of its own: by simulation.

The gateways are those of the quota simulation. A change acts on each by the program's own
`granitedock.configuration.gateway_applier`; what is measured is what a customer gets over the change, against
the bound that `usage_bound` states. Times are ms of the simulated clock.
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
    """A new plan; the gateways apply it in even steps of time from the first moment to the last."""

    plan: Plan
    first_applied_ms: float
    last_applied_ms: float

    @property
    def rollout_ms(self) -> float:
        """How long some gateways have applied it and others have not."""
        return self.last_applied_ms - self.first_applied_ms


@dataclass(slots=True)
class AdmissionTerms:
    """The plans and classes by which a gateway admits requests (the applier's `RequestAdmission`)."""

    plans: dict[str, Plan]
    request_classes: dict[str, RequestClass]

    def replace_request_classes(self, request_classes: dict[str, RequestClass]) -> None:
        """Admit requests by these classes from now on."""
        self.request_classes = request_classes


@dataclass(frozen=True, slots=True)
class ConfiguredState:
    """What the applier acts on, in place of a gateway's state machine (its `GatewayState`)."""

    policy: Gateway
    requests: AdmissionTerms


class ConfiguredGateway(SimulatedGateway):
    """A gateway of the simulation whose plans change in service."""

    def __init__(self, simulation: QuotaSimulation, node: SimulatedNode) -> None:
        super().__init__(simulation, node)
        classes = {one.name: one for one in self.policy.load_balancer.request_classes}
        plans = {load.plan.name: load.plan for load in simulation.loads.values()}
        self.admission = AdmissionTerms(plans, classes)
        state = ConfiguredState(self.policy, self.admission)
        self.applier = GatewayApplier(state, simulation.unix_ms)

    def plan_of(self, load: OfferedLoad) -> Plan:
        """The plan of that name as this gateway has it."""
        return self.admission.plans[load.plan.name]

    def apply_plan(self, plan: Plan) -> None:
        """Put a changed plan in force."""
        self.applier.apply_plans({plan.name: plan}, [])


class PlanChangeSimulation(QuotaSimulation):
    """`count` gateways that apply each change one after another, in an order drawn by the seed."""

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
        """A gateway whose plans can change."""
        return ConfiguredGateway(self, node)

    def apply_plan(self, number: int, plan: Plan) -> None:
        """Put a changed plan in force at one gateway."""
        gateway = self.gateways[number]
        assert isinstance(gateway, ConfiguredGateway)
        gateway.apply_plan(plan)


@dataclass(frozen=True, slots=True)
class SpanParts:
    """Seconds of a span of time before a change, while gateways apply it, and after it."""

    before_s: float
    rollout_s: float
    after_s: float

    @classmethod
    def of(cls, change: PlanChange, start_ms: float, end_ms: float) -> SpanParts:
        """The parts of the span from `start_ms` to `end_ms`, which ends after the change's first moment."""
        first = change.first_applied_ms
        last = change.last_applied_ms
        return cls(
            before_s=max(0.0, first - start_ms) / 1000.0,
            rollout_s=max(0.0, min(end_ms, last) - max(start_ms, first)) / 1000.0,
            after_s=max(0.0, end_ms - max(start_ms, last)) / 1000.0,
        )


def usage_bound(before: Plan, after: Plan, same_window: bool, span: SpanParts) -> float:
    """The most units that a customer may get in a span of time over a change from `before` to `after`.

    With the same window all totals go on, so each gateway's limit is one on the sum, and the more generous of
    both plans holds while versions differ. With another window those who have applied the change and those
    who have not count apart meanwhile, so both rates add up; the burst is had once, the larger of both.
    """
    old_rate = before.rate * 1000.0
    new_rate = after.rate * 1000.0
    rollout_rate = max(old_rate, new_rate) if same_window else old_rate + new_rate
    burst = max(before.burst, after.burst)
    return burst + old_rate * span.before_s + rollout_rate * span.rollout_s + new_rate * span.after_s


def worst_usage_share(load: OfferedLoad, change: PlanChange, same_window: bool, end_ms: float) -> float:
    """The most that the customer got, as a part of `usage_bound`, over all spans that touch the change."""
    times = sorted(request.sent_at for request in load.completed)
    first_end = int(change.first_applied_ms)
    worst = 0.0
    for start in range(0, int(min(change.last_applied_ms, end_ms)), SPAN_STEP_MS):
        first = bisect_left(times, start)
        for end in range(max(start, first_end) + SPAN_STEP_MS, int(end_ms) + 1, SPAN_STEP_MS):
            units = bisect_left(times, end) - first
            bound = usage_bound(load.plan, change.plan, same_window, SpanParts.of(change, start, end))
            worst = max(worst, units / bound)
    return worst
