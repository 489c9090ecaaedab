"""One gateway instance on the simulator's wire: maps ids to objects, and effects to commands.

Each instance has its own `Session` with a gateway, hosts, requests, customers, counter calls and timers.
Sessions share no state.
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
    CALL_COUNTER,
    CANCEL,
    ENDPOINT_LIST_FAILED,
    ENDPOINT_STATUSES,
    FAIL,
    IS_COMPLETE_BY_LIST_FORM,
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
    """One instance on the wire, and the EffectHandler of its gateway.

    The parameters of the `on_...` methods are the fields of the wire's events, in their order, with times in
    ms. The methods raise MalformedBatchError for an unknown id, name or code, unless stated otherwise, and
    IndexError for an unknown attempt number.
    """

    def __init__(self, now: float, seed: int, settings: dict[str, Any]) -> None:
        """Create a session; `settings` is the platform's settings object in the instance's first event."""
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
        # Pending calls by counter name, in the order of the replies.
        self.counter_calls: dict[int, deque[CounterCall]] = {}
        self.timers: dict[int, Any] = {}  # The subject that the policy gave for each timer, by timer id.
        self.last_timer_id = 0
        self.gateway = platform_settings.gateway(
            self, now, seed, settings, list(self.request_classes.values())
        )

    def advance_clock(self, now: float) -> None:
        """Set the current time, in Unix ms, before events are processed."""
        self.now = now
        self.gateway.advance_clock(now)

    def take_commands(self) -> list[Command]:
        """Return the commands since the last call and remove them."""
        commands = self.commands
        self.commands = []
        return commands

    # Effects, each appended as a command.

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
        self.commands.append([CALL_COUNTER, call.name, call.amount, call.ttl_ms])

    def start_timer(self, after_ms: float, subject: object) -> None:
        """See EffectHandler."""
        self.last_timer_id += 1
        self.timers[self.last_timer_id] = subject
        self.commands.append([START_TIMER, after_ms, self.last_timer_id])

    def log_decision(self, line: str) -> None:
        """See EffectHandler."""
        self.commands.append([LOG, line])

    # Events, whose ids are mapped to objects.

    def on_endpoint_list(self, form: str, records: list[EndpointRecord]) -> None:
        """Update the hosts from an endpoint list; its form states whether it is complete or only changes."""
        if form == ENDPOINT_LIST_FAILED:
            return
        complete = lookup(IS_COMPLETE_BY_LIST_FORM, form, "form of an endpoint list")
        updates = [update for record in records for update in self.endpoint_updates(*record)]
        self.gateway.update_endpoints(updates, complete)

    def endpoint_updates(  # noqa: PLR0913 - the fields of the record on the wire
        self,
        size: float | None,
        machine_type: str | None,
        started_at: float | None,
        address: str,
        zone: str | None,
        cell: int | None,
        status: str,
    ) -> list[EndpointUpdate]:
        """Return the updates from a record of an endpoint list: of its host, and of one that it replaces.

        A host is created for a new address, and for a later start at a known one: what is known of the
        process before, and its attempts, say nothing of the one that has started.
        """
        known = self.hosts.get(address)
        host = known
        if host is None or (started_at or 0.0) > host.started_at:
            host = self.hosts[address] = Host()
            self.addresses[host] = address
        update = EndpointUpdate(
            host,
            1.0 if size is None else float(size),
            machine_type or "",
            zone or "",
            cell or 0,
            started_at or 0.0,
            lookup(ENDPOINT_STATUSES, status, "host status"),
        )
        if known is None or known is host:
            return [update]
        known.successor = host
        del self.addresses[known]
        return [update, EndpointUpdate.removal(known)]

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
        """Handle a request from a client; `customer_key` is a hexadecimal number."""
        customer = self.customers.get(customer_key)
        if customer is None:
            customer = self.customers[customer_key] = Customer(int(customer_key, 16))
        request = Request(
            lookup(self.request_classes, class_name, "request class"),
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
        """Finish an attempt; attempts of a request are numbered from 0."""
        request = lookup(self.requests, request_id, "request")
        attempt = request.attempts[attempt_number]
        attempt_outcome = lookup(OUTCOMES, outcome, "outcome")
        self.gateway.attempt_finished(attempt, attempt_outcome, took_ms, bool(final), units or 0.0, used or 0)
        self.release(request)

    def on_response_started(
        self, request_id: int, attempt_number: int, _address: str, _took_ms: float
    ) -> None:
        """Record that the first bytes of the response to an attempt have arrived."""
        request = lookup(self.requests, request_id, "request")
        self.gateway.response_started(request.attempts[attempt_number])

    def on_client_disconnected(self, request_id: int) -> None:
        """End a request whose client has disconnected; one that has finished just before is ignored."""
        request = self.requests.get(request_id)
        if request is not None:
            self.gateway.client_disconnected(request)
            self.release(request)

    def on_counter_call_finished(self, outcome: int, _took_ms: float, name: int, total: float | None) -> None:
        """Finish the oldest pending call with this counter name."""
        pending = lookup(self.counter_calls, name, "counter name")
        call = pending.popleft()
        if not pending:
            del self.counter_calls[name]
        self.gateway.counter_call_finished(call, lookup(OUTCOMES, outcome, "outcome"), total or 0.0)

    def on_timer_fired(self, timer_id: int) -> None:
        """Pass the timer's subject to the gateway; an unknown timer is ignored."""
        subject = self.timers.pop(timer_id, None)
        if subject is not None:
            self.gateway.timer_fired(subject)

    def on_health_check(self, *_fields: Any) -> None:
        """Ignore the result of a health check; the policy requests none."""

    def on_peer_message(self, *_fields: Any) -> None:
        """Ignore a message from a peer; in the simulator, gateways share state only through the counter."""

    def release(self, request: Request) -> None:
        """Remove a finished request once no attempt is in flight, as no result of an attempt can follow."""
        if request.state is RequestState.FINISHED and not request.in_flight and request in self.request_ids:
            del self.requests[self.request_ids.pop(request)]
