"""Requests in flight: taken from clients, given to the policy, and finished with one reply each.

Owns the requests that have no reply yet, their ids, the bytes reserved for them, their watchdog timers, and
the plans and request classes by which new ones are taken. Whether and where a request is sent is decided by
the policy.
"""

from __future__ import annotations

from collections.abc import MutableMapping
from dataclasses import dataclass
from typing import TYPE_CHECKING
from weakref import WeakValueDictionary

from granitedock.policy.states import RequestState
from granitedock.policy.types import Customer, Idempotency, Plan, Request, RequestClass
from granitedock.service import counter_names
from granitedock.service.client_connections import ClientState
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import LifecycleState

if TYPE_CHECKING:
    from granitedock.policy.gateway import Gateway
    from granitedock.service.client_connections import ClientConnection, ClientConnections
    from granitedock.service.client_protocol import ParsedRequest
    from granitedock.service.context import Context
    from granitedock.service.lifecycle import Lifecycle
    from granitedock.service.reply_queues import ReplyQueues
    from granitedock.service.timers import Timer

FAILED = b"-ERR failed\r\n"


# Bound once for the request path: Python 3.11 takes 0.2 us to look a member up on its enum.
OPEN = ClientState.OPEN
STARTING = LifecycleState.STARTING
REQUEST_WATCHDOG = Input.REQUEST_WATCHDOG


@dataclass(eq=False, slots=True, kw_only=True)
class InFlightRequest(Request):
    """A request with the connection it came on and the bytes it came in."""

    client: ClientConnection
    parsed: ParsedRequest
    reserved_bytes: int
    answer: bytes | None = None  # written by the reply queues
    watchdog: Timer | None = None


class InFlightRequests:
    """The state machine of all requests in flight of one gateway."""

    clients: ClientConnections
    replies: ReplyQueues
    lifecycle: Lifecycle
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
        self.queued_at_start: list[InFlightRequest] = []  # for the policy, once an endpoint list has come
        self.reserved_bytes = 0

    def attach(
        self, clients: ClientConnections, replies: ReplyQueues, lifecycle: Lifecycle, policy: Gateway
    ) -> None:
        """Set the machines that this one calls."""
        self.clients = clients
        self.replies = replies
        self.lifecycle = lifecycle
        self.policy = policy

    def held_bytes(self) -> int:
        """Bytes of all requests and replies that wait here."""
        return self.reserved_bytes + self.replies.buffered_bytes

    # Taking a request.

    def received(self, client: ClientConnection, parsed: ParsedRequest) -> None:
        """A client sent a request."""
        if not self.clients.accepts_requests(client):
            return
        request_class = self.request_classes.get(parsed.request_class)
        plan = self.plans.get(parsed.plan)
        if request_class is None or plan is None:
            self.clients.malformed(client, "unknown product or plan")
            return
        kind = request_class.idempotency
        if parsed.idempotent != (kind is Idempotency.IDEMPOTENT) or (
            kind is Idempotency.KEYED and not parsed.keyed
        ):
            self.clients.malformed(client, "not a command of this product")
            return
        if parsed.id in self.by_id:
            # Guards against replies to one request that reach another.
            self.clients.malformed(client, "id in use")
            return
        context = self.context
        context.counts[counter_names.TAKEN] += 1
        customer = self.customers.get(parsed.customer)
        if customer is None:
            customer = self.customers[parsed.customer] = Customer(parsed.customer)
        request = InFlightRequest(
            request_class,
            plan,
            customer,
            context.now,
            self._deadline(parsed, request_class),
            parsed.units,
            parsed.subset_size,
            subset_start=parsed.subset_start,
            client=client,
            parsed=parsed,
            reserved_bytes=parsed.size(),
        )
        self._admit(client, request, parsed)

    def _deadline(self, parsed: ParsedRequest, request_class: RequestClass) -> float:
        """When the request is to be answered, Unix ms.

        Guards against time that ran before we read the request: it counts from the client's last byte, which
        may have waited for a turn of our loop, or, while we start, for the process to listen and read at all
        (0.6 to 0.9 s after a restart, all of which had run; lost requests on herd+mass). The deadline, and so
        the watchdog, count from the earliest moment the request may have come. Should meet the client's own
        time-out whatever kept it waiting; hurts by as much time, from requests read at start.
        """
        context = self.context
        # Guards against requests held for hours.
        left_ms = min(parsed.time_left_ms, request_class.deadline_ms)
        starting = self.lifecycle.state is STARTING
        arrived_at = context.process_started_at if starting else context.earliest_arrival
        return max(context.now, arrived_at + max(left_ms / 2, left_ms - context.limits.margin_ms))

    def _admit(self, client: ClientConnection, request: InFlightRequest, parsed: ParsedRequest) -> None:
        """Reserve its bytes and hand it to the policy, or reject it where there is no room."""
        context = self.context
        limits = context.limits
        self.replies.append(client, request)
        self.in_flight[request] = None
        self.by_id[parsed.id] = request
        self.reserved_bytes += request.reserved_bytes
        if (
            self.lifecycle.refusing
            or len(self.in_flight) > limits.requests
            or self.reserved_bytes + self.replies.buffered_bytes > limits.held
            or len(client.pending) > limits.queue
        ):
            # Guards the memory, and what is asked of a process that shuts, behind a reply that is still due:
            # the process may be gone before this one is answered.
            self._refuse(request)
            return
        # Guards against whatever leaves a request with nothing that will bring it back, as a fault in a
        # decision does: an error promises nothing, and comes in time.
        request.watchdog = context.schedule(
            request.deadline + limits.margin_ms / 2, REQUEST_WATCHDOG, request
        )
        if self.lifecycle.state is STARTING:
            self.queued_at_start.append(request)
        else:
            self.policy.handle_request(request)

    def _refuse(self, request: InFlightRequest) -> None:
        """The policy gives it up, as one never sent."""
        self.policy.reject_unsent(request)

    def release_queued(self) -> None:
        """Hand the requests that were taken while starting to the policy; those answered since stay so.

        Guards against attempts by an old endpoint list: a process that starts again is handed the list as it
        last had it, and a host may have begun to drain since, which discovery would tell at once if asked (a
        send to such a host 1.06 s after it drained, on herd+mass). Requests taken while starting wait for the
        first list, or for `ready_ms` without one. Hurts them by the time the watch takes to answer, some tens
        of milliseconds.
        """
        queued, self.queued_at_start = self.queued_at_start, []
        for request in queued:
            if request in self.in_flight:
                if self.lifecycle.refusing:
                    self._refuse(request)
                else:
                    self.policy.handle_request(request)

    def replace_request_classes(self, request_classes: dict[str, RequestClass]) -> None:
        """From now on requests are taken by these classes; those in flight keep theirs."""
        self.request_classes = request_classes

    # Ending a request.

    def watchdog_fired(self, request: InFlightRequest) -> None:
        """The deadline is over and nothing has answered the request."""
        self.context.counts[counter_names.FORGOTTEN] += 1
        self.context.event_log.event(
            "request watchdog", state=request.state.value, attempts=len(request.attempts)
        )
        request.state = RequestState.FINISHED
        self.fail(request)

    def client_disconnected(self, request: InFlightRequest) -> None:
        """The client left before the reply."""
        self.context.counts[counter_names.CLIENT_GONE] += 1
        self.policy.client_disconnected(request)
        self._release(request)

    def abandon(self, request: InFlightRequest) -> None:
        """Fail a request whose client sent what is no command behind it."""
        self.policy.client_disconnected(request)
        self.fail(request)

    def reject(self, request: InFlightRequest, retry_after_ms: float | None) -> None:
        """Tell the client to come again, after so many ms where that is known."""
        self.context.counts[counter_names.DEFERRED] += 1
        answer = b"-BUSY %d\r\n" % max(1, round(retry_after_ms)) if retry_after_ms else b"-BUSY\r\n"
        self._finish(request, answer)

    def fail(self, request: InFlightRequest) -> None:
        """Tell the client that the request failed; it may have run."""
        self.context.counts[counter_names.ERRORED] += 1
        self._finish(request, FAILED)

    def fail_all(self) -> None:
        """Fail each request in flight, as the process is to end."""
        for request in list(self.in_flight):
            self.fail(request)

    def succeed(self, request: InFlightRequest, answer: bytes) -> None:
        """Pass a host's response on."""
        self.context.counts[counter_names.DONE] += 1
        self._finish(request, answer)

    def _finish(self, request: InFlightRequest, answer: bytes) -> None:
        client = request.client
        self._release(request)
        if client.state is OPEN or client.state is ClientState.MALFORMED:
            self.replies.fill(client, request, answer)

    def _release(self, request: InFlightRequest) -> None:
        """It is in flight no more: its id and bytes are free."""
        if request in self.in_flight:
            del self.in_flight[request]
            del self.by_id[request.parsed.id]
        self.reserved_bytes -= request.reserved_bytes
        request.reserved_bytes = 0
        if request.watchdog is not None:
            request.watchdog.cancel()
