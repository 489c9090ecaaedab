"""A plan that changes while many gateways serve it, each hearing of it at a time of its own: by simulation.

The gateways are those of `sharesim.py` (the program's decisions, a simulated counter and wire). A change acts
on each by the program's own transition (`configuration/gateway_applier.py`); what is measured is what a
customer gets over the change, against the bound that `bound` states."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

from granitedock.configuration.gateway_applier import GatewayApplier
from granitedock.lab.fleetsim import Node
from granitedock.lab.sharesim import Desk, Offer, ShareFleet
from granitedock.policy.types import Customer, Plan, Request

SPAN_STEP_MS = 250


@dataclass(frozen=True, slots=True)
class PlanChange:
    """The new plan, and from when until when (ms of the simulation) the gateways hear of it, in even
    steps."""

    plan: Plan
    from_ms: float
    to_ms: float


class ConfiguredDesk(Desk):
    """A gateway of the simulation whose plans change in service. It stands for its requests, too."""

    def __init__(self, fleet: PlanFleet, node: Node, shared: bool, viewed: bool) -> None:
        super().__init__(fleet, node, shared, viewed)
        self.plans = {offer.plan.name: offer.plan for offer in fleet.offers.values()}
        self.request_classes = {
            request_class.name: request_class for request_class in self.gateway.load_balancer.request_classes
        }
        stand_in = SimpleNamespace(policy=self.gateway, requests=self)
        self.configuration = GatewayApplier(stand_in, fleet.unix)

    def replace_request_classes(self, request_classes: dict[str, Any]) -> None:
        """Take requests by these classes from now on."""
        self.request_classes = request_classes

    def take(self, offer: Offer, units: float) -> None:
        customer = self.customers.setdefault(offer.key, Customer(offer.key))
        now = self.fleet.unix()
        self.at()
        request = Request(
            self.read, self.plans[offer.plan.name], customer, now, now + 800.0, units, offer.spread
        )
        request.subset_start = offer.first
        self.gateway.handle_request(request)

    def changed(self, plan: Plan) -> None:
        self.configuration.apply_plans({plan.name: plan}, [])


class PlanFleet(ShareFleet):
    """`count` gateways that hear of each change one after another, in an order drawn by the seed."""

    def __init__(
        self, count: int, offers: list[Offer], changes: list[PlanChange], seed: int = 1, **more: Any
    ) -> None:
        super().__init__(count, offers, seed, shared=False, viewed=False, **more)
        for change in changes:
            order = list(range(count))
            self.chance.shuffle(order)
            step = (change.to_ms - change.from_ms) / max(1, count - 1)
            for turn, n in enumerate(order):
                self.later(change.from_ms + turn * step, self.tell_change, n, change.plan)

    def start(self, n: int, seeds: tuple[str, ...] | None = None) -> None:
        super().start(n, seeds)
        self.desks[n] = ConfiguredDesk(self, self.nodes[n], False, False)

    def tell_change(self, n: int, plan: Plan) -> None:
        self.desks[n].changed(plan)


def bound(
    before: Plan, after: Plan, same_window: bool, heard_s: float, before_s: float, after_s: float
) -> float:
    """The most units that a customer may get in `before_s` until the first gateway hears of a change,
    `heard_s` until the last one has, and `after_s` behind.

    With the same window all totals go on, so each gateway's limit is one on the sum, and the more generous of
    both plans holds while versions differ. With another window those who have heard and those who have not
    count apart meanwhile, so both rates add up; the burst is had once, the larger of both."""
    old, new = before.rate * 1000.0, after.rate * 1000.0
    meanwhile = max(old, new) if same_window else old + new
    burst = max(before.burst, after.burst)
    return burst + old * before_s + meanwhile * heard_s + new * after_s


def worst_part(offer: Offer, change: PlanChange, same_window: bool, end_ms: float) -> float:
    """The most that the customer got, as a part of `bound`, over all spans that touch the change."""
    before, after = offer.plan, change.plan
    times = sorted(at for at, _, _ in offer.done)
    worst = 0.0
    for start in range(0, int(min(change.to_ms, end_ms)), SPAN_STEP_MS):
        first = bisect_left(times, start)
        for end in range(max(start, int(change.from_ms)) + SPAN_STEP_MS, int(end_ms) + 1, SPAN_STEP_MS):
            units = bisect_left(times, end) - first
            before_s = max(0.0, change.from_ms - start) / 1000.0
            heard_s = max(0.0, min(end, change.to_ms) - max(start, change.from_ms)) / 1000.0
            after_s = max(0.0, end - max(start, change.to_ms)) / 1000.0
            worst = max(worst, units / bound(before, after, same_window, heard_s, before_s, after_s))
    return worst
