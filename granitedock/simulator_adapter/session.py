"""One gateway instance on the simulator's wire: ids become objects, and effects become commands.

Each instance has a `Session` of its own: its gateway, hosts, requests, customers, counter calls and timers.
Sessions share nothing.
"""

from __future__ import annotations

from collections import deque
from typing import Any
from weakref import WeakValueDictionary

from granitedock import platform_settings
from granitedock.policy.states import RequestState
from granitedock.policy.types import (
    Attempt,
    CounterCall,
    Customer,
    EndpointUpdate,
    Host,
    Plan,
    Request,
    RequestClass,
)
from granitedock.simulator_adapter.codec import (
    CANCEL,
    COUNT,
    ENDPOINT_STATUSES,
    FAIL,
    LIST_FAILED,
    LIST_IS_COMPLETE,
    LOG,
    OUTCOMES,
    REJECT,
    SEND,
    START_TIMER,
    Command,
    EndpointRecord,
    lookup,
)


class Session:
    """One instance on the wire; it is the EffectHandler of its gateway.

    The parameters of the methods `on_...` are the fields of the wire's events, in their order; times are
    in ms. Each raises MalformedBatchError for what is unknown.
    """

    def __init__(self, now: float, seed: int, settings: dict[str, Any]) -> None:
        """`settings` is the object of the platform's settings in the instance's first event."""
        self.now = now
        self.commands: list[Command] = []
        self.request_classes: dict[str, RequestClass] = {
            request_class.name: request_class for request_class in platform_settings.request_classes(settings)
        }
        self.plans: dict[str, Plan] = {plan.name: plan for plan in platform_settings.plans(settings)}
        self.hosts: dict[str, Host] = {}
        self.addresses: dict[Host, str] = {}
        self.requests: dict[int, Request] = {}
        self.request_ids: dict[Request, int] = {}
        self.customers: WeakValueDictionary[str, Customer] = WeakValueDictionary()
        self.counter_calls: dict[int, deque[CounterCall]] = {}  # by count, in the order of their answers
        self.timers: dict[int, Any] = {}  # what each is for, as the policy gave it
        self.last_timer_id = 0
        self.gateway = platform_settings.gateway(
            self, now, seed, settings, list(self.request_classes.values())
        )

    def advance_clock(self, now: float) -> None:
        """Set the time, Unix ms, before events are taken."""
        self.now = now
        self.gateway.advance_clock(now)

    def take_commands(self) -> list[Command]:
        """The commands since the last call."""
        commands = self.commands
        self.commands = []
        return commands

    # Effects become commands.

    def send_attempt(self, attempt: Attempt, attempt_deadline: float | None) -> None:
        """See EffectHandler."""
        request_id = self.request_ids[attempt.request]
        self.commands.append([SEND, request_id, attempt_deadline or 0, self.addresses[attempt.host]])

    def reject(self, request: Request, retry_after_ms: float | None) -> None:
        """See EffectHandler."""
        self.commands.append([REJECT, self.request_ids[request], retry_after_ms or 0])
        self.release(request)

    def fail(self, request: Request) -> None:
        """See EffectHandler."""
        self.commands.append([FAIL, self.request_ids[request]])
        self.release(request)

    def cancel(self, attempt: Attempt) -> None:
        """See EffectHandler."""
        request = attempt.request
        self.commands.append([CANCEL, self.request_ids[request], request.attempts.index(attempt)])

    def call_counter(self, call: CounterCall) -> None:
        """See EffectHandler."""
        self.counter_calls.setdefault(call.name, deque()).append(call)
        self.commands.append([COUNT, call.name, call.amount, call.ttl_ms])

    def start_timer(self, after_ms: float, why: object) -> None:
        """See EffectHandler."""
        self.last_timer_id += 1
        self.timers[self.last_timer_id] = why
        self.commands.append([START_TIMER, after_ms, self.last_timer_id])

    def log_decision(self, line: str) -> None:
        """See EffectHandler."""
        self.commands.append([LOG, line])

    # Events: ids become objects.

    def on_endpoint_list(self, form: str, records: list[EndpointRecord]) -> None:
        """A list of hosts, complete or only what changed by its form."""
        if form == LIST_FAILED:
            return
        complete = lookup(LIST_IS_COMPLETE, form, "form of roster")
        updates = [self.endpoint_update(*record) for record in records]
        self.gateway.update_endpoints(updates, complete)

    def endpoint_update(  # noqa: PLR0913 - the fields of the record on the wire
        self,
        size: float | None,
        make: str | None,
        started_at: float | None,
        address: str,
        zone: str | None,
        cell: int | None,
        status: str,
    ) -> EndpointUpdate:
        """The update that a record of an endpoint list says; its host is made on first sight."""
        host = self.hosts.get(address)
        if host is None:
            host = self.hosts[address] = Host()
            self.addresses[host] = address
        return EndpointUpdate(
            host,
            1.0 if size is None else float(size),
            make or "",
            zone or "",
            cell or 0,
            started_at or 0.0,
            lookup(ENDPOINT_STATUSES, status, "state of a host"),
        )

    def on_request(  # noqa: PLR0913 - the fields of the event on the wire
        self,
        request_id: int,
        class_name: str,
        plan_name: str,
        customer_key: str,
        remaining_ms: float,
        units: float | None = None,
        subset_size: int | None = None,
        _subset_start: int | None = None,
        _options: int | None = None,
    ) -> None:
        """A client's request came; `customer_key` is in hex digits."""
        customer = self.customers.get(customer_key)
        if customer is None:
            customer = self.customers[customer_key] = Customer(int(customer_key, 16))
        request = Request(
            lookup(self.request_classes, class_name, "product"),
            lookup(self.plans, plan_name, "plan"),
            customer,
            self.now,
            self.now + remaining_ms,
            1.0 if units is None else units,
            subset_size or 1,
        )
        self.requests[request_id] = request
        self.request_ids[request] = request_id
        self.gateway.handle_request(request)
        self.release(request)

    def on_attempt_finished(  # noqa: PLR0913 - the fields of the event on the wire
        self,
        request_id: int,
        _address: str,
        used: int | None,
        took_ms: float,
        final: bool | None,
        attempt_number: int,
        outcome: int,
        units: float | None = None,
        _load_report: list[float] | None = None,
    ) -> None:
        """An attempt ended; its number counts from 0."""
        request = lookup(self.requests, request_id, "task")
        attempt = request.attempts[attempt_number]
        found = lookup(OUTCOMES, outcome, "ending")
        self.gateway.attempt_finished(attempt, found, took_ms, bool(final), units or 0.0, used or 0)
        self.release(request)

    def on_response_started(
        self, request_id: int, attempt_number: int, _address: str, _took_ms: float
    ) -> None:
        """The first bytes of an attempt's answer came."""
        request = lookup(self.requests, request_id, "task")
        self.gateway.response_started(request.attempts[attempt_number])

    def on_client_disconnected(self, request_id: int) -> None:
        """The client gave the request up, which may have ended a moment before."""
        request = self.requests.get(request_id)
        if request is not None:
            self.gateway.client_disconnected(request)
            self.release(request)

    def on_counter_call_finished(
        self, outcome: int, _took_ms: float, count: int, total: float | None
    ) -> None:
        """The oldest pending call to this count ended."""
        pending = lookup(self.counter_calls, count, "count")
        call = pending.popleft()
        if not pending:
            del self.counter_calls[count]
        self.gateway.counter_call_finished(call, lookup(OUTCOMES, outcome, "ending"), total or 0.0)

    def on_timer_fired(self, timer_id: int) -> None:
        """A timer is due; one that is unknown is ignored."""
        why = self.timers.pop(timer_id, None)
        if why is not None:
            self.gateway.timer_fired(why)

    def on_health_check(self, *_fields: Any) -> None:
        """Ignored: no decision asks for health checks."""

    def on_peer_message(self, *_fields: Any) -> None:
        """Ignored: gateways share the counter alone here."""

    def release(self, request: Request) -> None:
        """Forget a request once it is over and none of its attempts can come back."""
        if request.state is RequestState.FINISHED and not request.in_flight and request in self.request_ids:
            del self.requests[self.request_ids.pop(request)]
