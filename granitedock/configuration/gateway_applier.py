"""The configuration in force at one gateway: plans, classes and customers' quota accounts. No I/O.

A change acts between two inputs of the gateway, whole. Requests in flight keep the plan and class that they
were accepted with; their customers' accounts are those of the new plan.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from operator import attrgetter
from typing import cast

from granitedock import platform_settings
from granitedock.configuration.document import Contents, PreparedEdit, Record, Section
from granitedock.configuration.errors import ConfigurationError
from granitedock.configuration.gateway_state import GatewayState
from granitedock.configuration.messages import VersionedChange
from granitedock.configuration.plan_transition import PlanHistory, carry_over
from granitedock.configuration.quota_windows import WINDOW_FIELD, window_of
from granitedock.policy.types import Plan, RequestClass

class_fields = attrgetter(*RequestClass.__slots__)
plan_fields = attrgetter(*(name for name in Plan.__slots__ if name != "window_ms"))
Entry = Plan | RequestClass


def same_plan(one: Plan, other: Plan) -> bool:
    """Whether both mean the same to a customer; a window that is not stated follows from burst and rate."""
    return plan_fields(one) == plan_fields(other) and window_of(one) == window_of(other)


class GatewayApplier:
    """Keeps a replicated document in force at one gateway. `clock()` is Unix ms."""

    def __init__(self, state: GatewayState, clock: Callable[[], float]) -> None:
        self.state = state
        self.clock = clock
        self.history = PlanHistory()
        state.policy.rate_limiter.open_account = self.history.open_account

    # `DocumentConsumer` of the replicated document.

    def make_value(self, section: Section, record: Record) -> Entry:
        """The plan or class of a record. Raises ConfigurationError."""
        try:
            if section is Section.CLASSES:
                return platform_settings.request_class(record)
            return platform_settings.plan(record, float(record.get(WINDOW_FIELD) or 0.0))
        except (KeyError, ValueError, TypeError) as fault:
            problem = f"{section.value}: {record.get('Name')!r}: {type(fault).__name__}: {fault}"
            raise ConfigurationError(problem) from None

    def snapshot_started(self) -> None:
        """What is in force stays so until the whole document is there."""

    def apply_change(self, _change: VersionedChange, prepared: PreparedEdit[Entry]) -> None:
        """Upsert and remove some plans and classes."""
        plans: dict[str, Plan] = {}
        classes: dict[str, RequestClass] = {}
        for _, name, value, _ in prepared.entries:
            if isinstance(value, Plan):
                plans[name] = value
            else:
                classes[name] = value
        removed: dict[Section, list[str]] = {section: [] for section in Section}
        for section, name in prepared.removals:
            removed[section].append(name)
        self.apply_plans(plans, removed[Section.PLANS])
        if classes or removed[Section.CLASSES]:
            classes = self.state.requests.request_classes | classes
            for name in removed[Section.CLASSES]:
                del classes[name]
            self.apply_classes(classes)

    def apply_snapshot(self, _before: Contents[Entry], after: Contents[Entry]) -> None:
        """Put a whole document in force: what is not in it is removed, also what the platform's file had.

        A plan or class that means the same keeps its object, so that what was measured of its requests stays
        known.
        """
        plans = cast(dict[str, Plan], after.values[Section.PLANS])
        present_plans = self.state.requests.plans
        for name, plan in plans.items():
            present = present_plans.get(name)
            if present is not None and present is not plan and same_plan(present, plan):
                plans[name] = present
        self.apply_plans(plans, [name for name in present_plans if name not in plans])
        classes = cast(dict[str, RequestClass], after.values[Section.CLASSES])
        present_classes = self.state.requests.request_classes
        for name, request_class in classes.items():
            if name in present_classes and class_fields(present_classes[name]) == class_fields(request_class):
                classes[name] = present_classes[name]
        self.apply_classes(dict(classes))

    # What acts at the gateway.

    def apply_plans(self, plans: dict[str, Plan], removed: Iterable[str]) -> None:
        """Put plans in force; the accounts of customers whose plans changed go on under the new ones.

        A customer of a removed plan keeps its account, as requests in flight need it; new ones are rejected
        for want of the plan.
        """
        now = self.clock()
        changed: dict[str, Plan] = {}
        for name, plan in plans.items():
            before = self.state.requests.plans.get(name)
            if before is plan:
                continue
            if before is not None:
                self.history.changed(before, now)
            if before is not None or name in self.history.former:  # or removed recently, and back
                changed[name] = plan
            self.state.requests.plans[name] = plan
        for name in removed:
            self.history.changed(self.state.requests.plans.pop(name), now)
        if changed:
            self.carry_over_accounts(changed, now)

    def carry_over_accounts(self, changed: dict[str, Plan], now: float) -> None:
        """Continue the accounts of the customers of changed plans under the new plans, by name."""
        policy = self.state.policy
        policy.advance_clock(now)
        for customer in policy.rate_limiter.accounts:
            plan = changed.get(customer.account.plan.name)
            if plan is not None:
                customer.account = carry_over(customer.account, plan, now)

    def apply_classes(self, classes: dict[str, RequestClass]) -> None:
        """Put these classes in force, in the place of all.

        The process's own graceful shutdown (`limits.leave_ms`) stays by the classes that it began with.
        """
        self.state.requests.replace_request_classes(classes)
        self.state.policy.load_balancer.set_request_classes(list(classes.values()))
