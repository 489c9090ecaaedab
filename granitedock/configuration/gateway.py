"""The configuration in force at one gateway: plans, classes and customers' books. No I/O.

A change acts between two inputs of the gateway, whole. Requests in hand keep the plan and class that they
were taken with; their customers' books are those of the new plan."""

from __future__ import annotations

from operator import attrgetter
from typing import Any

from granitedock import platform_settings
from granitedock.configuration.change_form import WINDOW
from granitedock.configuration.document import ConfigurationError, Contents, Prepared, Record, Section
from granitedock.configuration.messages import VersionedChange
from granitedock.configuration.transition import Transitions, carried
from granitedock.configuration.windows import window_of
from granitedock.policy.types import Plan, RequestClass

CLASS_FIELDS = attrgetter(*RequestClass.__slots__)
PLAN_FIELDS = attrgetter(*(name for name in Plan.__slots__ if name != "window_ms"))
Entry = Plan | RequestClass


def same_plan(one: Plan, other: Plan) -> bool:
    """Whether both mean the same to a customer; a window that is not stated follows from burst and rate."""
    return PLAN_FIELDS(one) == PLAN_FIELDS(other) and window_of(one) == window_of(other)


class GatewayConfiguration:
    """Keeps a followed document in force at one gateway (`service/dispatcher.py`). `clock()` is Unix ms."""

    def __init__(self, state_machine: Any, clock: Any) -> None:
        self.state_machine, self.clock = state_machine, clock
        self.transitions = Transitions()
        state_machine.policy.open_book = self.transitions.open_book

    def keep(self, section: Section, record: Record) -> Entry:
        try:
            if section is Section.CLASSES:
                return platform_settings.request_class(record)
            return platform_settings.plan(record, float(record.get(WINDOW) or 0.0))
        except (KeyError, ValueError, TypeError) as fault:
            raise ConfigurationError(
                f"{section.value}: {record.get('Name')!r}: {type(fault).__name__}: {fault}"
            ) from None

    def begin(self) -> None:
        """What is in force stays so until the whole document is there."""

    def change(self, change: VersionedChange, prepared: Prepared[Entry]) -> None:
        """Some plans and classes are put or removed."""
        put: dict[Section, dict[str, Entry]] = {section: {} for section in Section}
        for section, name, value, _ in prepared.values:
            put[section][name] = value
        gone = {section: [] for section in Section}
        for section, name in prepared.removals:
            gone[section].append(name)
        self.put_plans(put[Section.PLANS], gone[Section.PLANS])
        if put[Section.CLASSES] or gone[Section.CLASSES]:
            classes = self.state_machine.requests.request_classes | put[Section.CLASSES]
            for name in gone[Section.CLASSES]:
                del classes[name]
            self.put_classes(classes)

    def replace(self, before: Contents[Entry], fresh: Contents[Entry]) -> None:
        """A whole document: what is not in it is gone, also what the platform's file had."""
        plans = fresh.values[Section.PLANS]
        held = self.state_machine.requests.plans
        for name, plan in plans.items():
            if name in held and held[name] is not plan and same_plan(held[name], plan):
                plans[name] = held[name]
        self.put_plans(plans, [name for name in held if name not in plans])
        classes, known = fresh.values[Section.CLASSES], self.state_machine.requests.request_classes
        for name, request_class in classes.items():
            if name in known and CLASS_FIELDS(known[name]) == CLASS_FIELDS(request_class):
                classes[name] = known[name]  # what was measured of its requests stays known
        self.put_classes(dict(classes))

    def put_plans(self, plans: dict[str, Plan], gone: list[str]) -> None:
        """The books of customers whose plans changed go on under the new ones. A customer of a removed plan
        keeps its book, as requests in hand need it; new ones are refused for want of the plan."""
        machine, now = self.state_machine, self.clock()
        moved = {}
        for name, plan in plans.items():
            before = machine.requests.plans.get(name)
            if before is plan:
                continue
            if before is not None:
                self.transitions.changed(before, now)
            if before is not None or name in self.transitions.former:  # or removed of late, and back
                moved[name] = plan
            machine.requests.plans[name] = plan
        for name in gone:
            self.transitions.changed(machine.requests.plans.pop(name), now)
        if moved:
            machine.policy.advance_clock(now)
            for customer in machine.policy.accounts:
                if (plan := moved.get(customer.account.plan.name)) is not None:
                    customer.account = carried(customer.account, plan, now)

    def put_classes(self, classes: dict[str, RequestClass]) -> None:
        """The process's own end (`limits.leave_ms`) stays by the classes that it began with."""
        self.state_machine.requests.replace_request_classes(classes)
        fleet = self.state_machine.policy.fleet
        fleet.request_classes[:] = classes.values()
        fleet.latency_objective_ms = min(
            request_class.latency_objective_ms for request_class in fleet.request_classes
        )
