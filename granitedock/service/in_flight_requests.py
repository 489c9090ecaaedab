"""Requests in flight: accepted from clients, passed to the policy, and finished with one reply each.

Owns the requests that have no reply yet, their ids, the bytes reserved for them, their watchdog timers, and
the plans and request classes that apply to new requests. The policy decides whether and where a request is
sent.
"""

from __future__ import annotations

from collections.abc import MutableMapping
from dataclasses import dataclass
from typing import TYPE_CHECKING
from weakref import WeakValueDictionary

from granitedock.policy.executed_requests import ExecutedRequests
from granitedock.policy.states import RequestState
from granitedock.policy.types import Customer, Idempotency, Plan, Request, RequestClass
from granitedock.service import counter_names
from granitedock.service.client_connections import ClientState
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import LifecycleState

if TYPE_CHECKING:
    from granitedock.policy.gateway import Gateway
    from granitedock.service.client_connections import ClientConnection, ClientConnections
    from granitedock.service.context import Context
    from granitedock.service.delivery_bounds import DeliveryBounds
    from granitedock.service.lifecycle import Lifecycle
    from granitedock.service.parsed_request import ParsedRequest
    from granitedock.service.reply_queues import ReplyQueues
    from granitedock.service.timers import Timer

FAILED = b"-ERR failed\r\n"
REJECTED = b"-BUSY\r\n"


# Bound once for the request path: Python 3.11 takes 0.2 us to look up a member of an enum.
IDEMPOTENT = Idempotency.IDEMPOTENT
OPEN = ClientState.OPEN
STARTING = LifecycleState.STARTING
REQUEST_WATCHDOG = Input.REQUEST_WATCHDOG


@dataclass(eq=False, slots=True, kw_only=True)
class InFlightRequest(Request):
    """A request with its client connection and the bytes that are reserved for it."""

    client: ClientConnection
    parsed: ParsedRequest
    reserved_bytes: int
    answer: bytes | None = None  # The reply; the reply queues set it.
    watchdog: Timer | None = None


class InFlightRequests:
    """The state machine of all requests in flight in one gateway."""

    clients: ClientConnections
    replies: ReplyQueues
    lifecycle: Lifecycle
    delivery_bounds: DeliveryBounds
    policy: Gateway

    def __init__(
        self, context: Context, request_classes: dict[str, RequestClass], plans: dict[str, Plan]
    ) -> None:
        self.context = context
        self.request_classes = request_classes
        self.plans = plans
        self.customers: MutableMapping[int, Customer] = WeakValueDictionary()
        self.in_flight: dict[InFlightRequest, None] = {}
        self.by_id: dict[bytes, InFlightRequest] = {}
        self.queued_at_start: list[InFlightRequest] = []  # Wait for the first endpoint list.
        self.reserved_bytes = 0
        self.executed_requests = ExecutedRequests()

    def attach(
        self,
        clients: ClientConnections,
        replies: ReplyQueues,
        lifecycle: Lifecycle,
        delivery_bounds: DeliveryBounds,
        policy: Gateway,
    ) -> None:
        """Set the state machines that this one calls."""
        self.clients = clients
        self.replies = replies
        self.lifecycle = lifecycle
        self.delivery_bounds = delivery_bounds
        self.policy = policy

    def bytes_in_flight(self) -> int:
        """Return the bytes of all unfinished requests and unsent replies."""
        return self.reserved_bytes + self.replies.buffered_bytes

    # Accepting a request.

    def received(self, client: ClientConnection, parsed: ParsedRequest) -> None:
        """Accept or reject a request that a client sent."""
        if not self.clients.accepts_requests(client):
            return
        request_class = self.request_classes.get(parsed.request_class)
        plan = self.plans.get(parsed.plan)
        if request_class is None or plan is None:
            self.clients.malformed(client, "unknown product or plan")
            return
        idempotency = request_class.idempotency
        if parsed.idempotent != (idempotency is Idempotency.IDEMPOTENT) or (
            idempotency is Idempotency.KEYED and not parsed.keyed
        ):
            self.clients.malformed(client, "not a command of this product")
            return
        if parsed.id in self.by_id:
            # With a duplicate id, the reply to one request could reach the other.
            self.clients.malformed(client, "id in use")
            return
        context = self.context
        context.counts[counter_names.TAKEN] += 1
        if self.executed_requests.may_have_run(parsed.id, context.now):
            # An error is always correct, since it does not state whether the request ran.
            context.counts[counter_names.REPEATED_IDS] += 1
            context.counts[counter_names.ERRORED] += 1
            context.event_log.event("repeated id", id=parsed.id.decode(), client=client.number)
            self.replies.reply(client, FAILED)
            return
        customer = self.customers.get(parsed.customer)
        if customer is None:
            customer = self.customers[parsed.customer] = Customer(parsed.customer)
        if not self.policy.rate_limiter.has_room_for(customer):
            context.counts[counter_names.CUSTOMERS_OVER] += 1
            context.counts[counter_names.DEFERRED] += 1
            self.replies.reply(client, REJECTED)
            return
        request = InFlightRequest(
            request_class,
            plan,
            customer,
            context.now,
            self._deadline(client, parsed, request_class),
            parsed.units,
            parsed.subset_size,
            subset_start=parsed.subset_start,
            client=client,
            parsed=parsed,
            reserved_bytes=parsed.size(),
        )
        self._admit(client, request, parsed)

    def _deadline(
        self, client: ClientConnection, parsed: ParsedRequest, request_class: RequestClass
    ) -> float:
        """Return the time by which the request must be answered, in Unix ms.

        The client's timeout runs from the last byte that it sent. That byte may have waited for an
        iteration of the event loop or, during the start, until the process listened and read: after a restart
        0.6 to 0.9 s of the timeout had already elapsed, and requests were lost (on herd+mass). The deadline,
        and with it the watchdog, therefore counts from the earliest possible arrival. This keeps the reply
        within the client's timeout however long the request waited; the cost is that requests read during the
        start have that much less time. A request whose time is over when it is parsed is rejected at once.
        """
        context = self.context
        # The deadline of the request class prevents requests from being kept for hours.
        remaining_ms = min(parsed.time_left_ms, request_class.deadline_ms)
        starting = self.lifecycle.state is STARTING
        arrived_at = min(context.earliest_arrival, client.link.earliest_arrival_ms)
        if starting:
            arrived_at = context.process_started_at
        return max(context.now, arrived_at + max(remaining_ms / 2, remaining_ms - context.limits.margin_ms))

    def _admit(self, client: ClientConnection, request: InFlightRequest, parsed: ParsedRequest) -> None:
        """Reserve the bytes of the request and pass it to the policy, or reject it if a limit is exceeded."""
        context = self.context
        limits = context.limits
        self.replies.append(client, request)
        self.in_flight[request] = None
        self.by_id[parsed.id] = request
        self.reserved_bytes += request.reserved_bytes
        if (
            self.lifecycle.rejects_requests
            or request.deadline <= context.now
            or len(self.in_flight) > limits.requests
            or self.reserved_bytes + self.replies.buffered_bytes > limits.held
            or len(client.pending) > limits.queue
        ):
            # The limits bound the memory. During a shutdown a request may still arrive behind an unfinished
            # reply on its connection, and the process may exit before it could answer such a request.
            self._reject_unsent(request)
            return
        # Prevents a request from staying unanswered when no event would ever finish it, as after a fault in a
        # decision. An error reply is always correct, since it does not state whether the request ran, and
        # the client receives it before its timeout.
        request.watchdog = context.schedule(
            request.deadline + limits.margin_ms / 2, REQUEST_WATCHDOG, request
        )
        if self.lifecycle.state is STARTING:
            self.queued_at_start.append(request)
        else:
            self.policy.handle_request(request)

    def _reject_unsent(self, request: InFlightRequest) -> None:
        """Have the policy reject a request that was never sent to a host."""
        self.policy.reject_unsent(request)

    def release_queued(self) -> None:
        """Pass the requests that were queued during the start to the policy, except those already answered.

        Requests received during the start wait for the first endpoint list, or for `ready_ms` without one.
        Prevents attempts by an outdated endpoint list: a restarted process begins with the last list that it
        had, and a host may have begun to drain since, which discovery reports as soon as it is queried (on
        herd+mass a request was sent to such a host 1.06 s after it began to drain). The cost is the time that
        the watch takes to answer, some tens of milliseconds.
        """
        queued, self.queued_at_start = self.queued_at_start, []
        for request in queued:
            if request in self.in_flight:
                if self.lifecycle.rejects_requests:
                    self._reject_unsent(request)
                else:
                    self.policy.handle_request(request)

    def replace_request_classes(self, request_classes: dict[str, RequestClass]) -> None:
        """Apply these classes to new requests; requests in flight keep their class."""
        self.request_classes = request_classes

    # Finishing a request.

    def watchdog_fired(self, request: InFlightRequest) -> None:
        """Fail a request that has no reply although its deadline has passed."""
        self.context.counts[counter_names.FORGOTTEN] += 1
        self.context.event_log.event(
            "request watchdog",
            id=request.parsed.id.decode(),
            client=request.client.number,
            state=request.state.value,
            attempts=len(request.attempts),
        )
        request.state = RequestState.FINISHED
        self.fail(request)

    def client_disconnected(self, request: InFlightRequest) -> None:
        """Release a request whose client disconnected before the reply."""
        self.context.counts[counter_names.CLIENT_GONE] += 1
        self.policy.client_disconnected(request)
        self._release(request)
        self._end_undelivered_attempt(request)

    def abandon(self, request: InFlightRequest) -> None:
        """Fail a request whose client sent malformed input after it."""
        self.policy.client_disconnected(request)
        self.fail(request)

    def reject(self, request: InFlightRequest, retry_after_ms: float | None) -> None:
        """Reply with a rejection: the client may repeat the request, after `retry_after_ms` if given.

        The request may have run if its repeat does no harm (`retry_rules.may_invite_repeat`).
        """
        self.context.counts[counter_names.DEFERRED] += 1
        answer = b"-BUSY %d\r\n" % max(1, round(retry_after_ms)) if retry_after_ms else b"-BUSY\r\n"
        self._finish(request, answer)

    def fail(self, request: InFlightRequest) -> None:
        """Reply that the request failed; it may have run."""
        self.context.counts[counter_names.ERRORED] += 1
        self._finish(request, FAILED)
        self._end_undelivered_attempt(request)

    def fail_all(self) -> None:
        """Fail each request in flight, because the process is about to exit."""
        for request in list(self.in_flight):
            self.fail(request)

    def succeed(self, request: InFlightRequest, answer: bytes) -> None:
        """Pass the response of a host on to the client."""
        self.context.counts[counter_names.DONE] += 1
        self._finish(request, answer)

    def _end_undelivered_attempt(self, request: InFlightRequest) -> None:
        """End the attempt that may still be in flight, unless the host has received it."""
        if request.attempts:
            self.delivery_bounds.not_needed(request.attempts[-1])

    def _finish(self, request: InFlightRequest, answer: bytes) -> None:
        client = request.client
        self._release(request)
        if client.state is OPEN or client.state is ClientState.MALFORMED:
            self.replies.fill(client, request, answer)

    def _release(self, request: InFlightRequest) -> None:
        """Remove the request from those in flight, free its id and bytes, and cancel its watchdog."""
        if request in self.in_flight:
            del self.in_flight[request]
            del self.by_id[request.parsed.id]
            if request.request_class.idempotency is not IDEMPOTENT:
                self.executed_requests.record(request.parsed.id, request, self.context.now)
        self.reserved_bytes -= request.reserved_bytes
        request.reserved_bytes = 0
        if request.watchdog is not None:
            request.watchdog.cancel()
