"""Applies the configuration at one gateway: plans, request classes and customers' quota accounts. No I/O.

A change is applied atomically between two inputs of the gateway. Requests in flight keep the plan and class
with which they were accepted; the accounts of their customers continue under the new plan.
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


def plans_equivalent(first: Plan, second: Plan) -> bool:
    """Return whether both plans have the same effect; an unset window is derived from burst and rate."""
    return plan_fields(first) == plan_fields(second) and window_of(first) == window_of(second)


class GatewayApplier:
    """Applies a replicated document at one gateway; `clock()` returns Unix ms."""

    def __init__(self, state: GatewayState, clock: Callable[[], float]) -> None:
        self.state = state
        self.clock = clock
        self.history = PlanHistory()
        state.policy.rate_limiter.open_account = self.history.open_account

    # Implements `DocumentConsumer` for the replicated document.

    def make_value(self, section: Section, record: Record) -> Entry:
        """Return the plan or request class of a record. Raises ConfigurationError."""
        try:
            if section is Section.CLASSES:
                return platform_settings.request_class(record)
            return platform_settings.plan(record, float(record.get(WINDOW_FIELD) or 0.0))
        except (KeyError, ValueError, TypeError) as error:
            problem = f"{section.value}: {record.get('Name')!r}: {type(error).__name__}: {error}"
            raise ConfigurationError(problem) from None

    def snapshot_started(self) -> None:
        """Do nothing: the configuration in force stays until the snapshot is complete."""

    def apply_change(self, _change: VersionedChange, prepared: PreparedEdit[Entry]) -> None:
        """Apply the upserts and removals of a change to plans and request classes."""
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
        """Apply a whole document, and remove entries that it lacks, including those of the platform file.

        An equivalent plan or class keeps its present object, and with it the measurements of its requests.
        """
        plans = cast(dict[str, Plan], after.values[Section.PLANS])
        present_plans = self.state.requests.plans
        for name, plan in plans.items():
            present = present_plans.get(name)
            if present is not None and present is not plan and plans_equivalent(present, plan):
                plans[name] = present
        self.apply_plans(plans, [name for name in present_plans if name not in plans])
        classes = cast(dict[str, RequestClass], after.values[Section.CLASSES])
        present_classes = self.state.requests.request_classes
        for name, request_class in classes.items():
            if name in present_classes and class_fields(present_classes[name]) == class_fields(request_class):
                classes[name] = present_classes[name]
        self.apply_classes(dict(classes))

    # Effects on the gateway.

    def apply_plans(self, plans: dict[str, Plan], removed: Iterable[str]) -> None:
        """Apply plans, and carry the accounts of customers over to their changed plans.

        A customer of a removed plan keeps its account, because requests in flight need it; its new requests
        are rejected because the plan does not exist.
        """
        now = self.clock()
        changed: dict[str, Plan] = {}
        for name, plan in plans.items():
            before = self.state.requests.plans.get(name)
            if before is plan:
                continue
            if before is not None:
                self.history.add_former_plan(before, now)
            # A plan in the history but not in force was removed recently and is added again.
            if before is not None or name in self.history.former:
                changed[name] = plan
            self.state.requests.plans[name] = plan
        for name in removed:
            self.history.add_former_plan(self.state.requests.plans.pop(name), now)
        if changed:
            self.carry_over_accounts(changed, now)

    def carry_over_accounts(self, changed: dict[str, Plan], now: float) -> None:
        """Carry the accounts of customers over to their changed plans; `changed` maps names to new plans."""
        policy = self.state.policy
        policy.advance_clock(now)
        for customer in policy.rate_limiter.accounts:
            plan = changed.get(customer.account.plan.name)
            if plan is not None:
                customer.account = carry_over(customer.account, plan, now)

    def apply_classes(self, classes: dict[str, RequestClass]) -> None:
        """Replace all request classes.

        The process's graceful shutdown (`limits.leave_ms`) still follows the classes present at its start.
        """
        self.state.requests.replace_request_classes(classes)
        self.state.policy.load_balancer.set_request_classes(list(classes.values()))
