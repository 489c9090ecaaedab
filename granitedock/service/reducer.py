"""The one endpoint where the gateway's state changes.

Owns the connections' states, the tasks in hand, the list of hosts as told and the gateway's mode; it is the
door of the decisions. It takes one input at a time and gives the effects to be carried out. It must never
read, write, wait or look at a clock, and never decide about a task: that is the decisions' part.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random
from typing import Any
from weakref import WeakValueDictionary

from granitedock import platform_settings
from granitedock.policy.states import RequestState
from granitedock.policy.types import (
    Attempt,
    CounterCall,
    Customer,
    EndpointStatus,
    EndpointUpdate,
    Host,
    Idempotency,
    Outcome,
    Request,
)
from granitedock.service.client_protocol import Ask
from granitedock.service.counter_protocol import PING, tally
from granitedock.service.discovery_protocol import Listing
from granitedock.service.discovery_watch import DiscoveryWatch, Watch
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import Lifecycle
from granitedock.service.limits import Limits
from granitedock.service.resp import bulk
from granitedock.state_table import advance

PONG = b"+PONG\r\n"
CLOSING = b"-ERR closing\r\n"
ERRORED = b"-ERR failed\r\n"

# States and inputs give the next state and an effect, as in the decisions.

HOST_LINK = {
    ("dialling", "up"): ("writing", "write"),
    ("dialling", "down"): ("gone", "never_ran"),
    ("dialling", "late"): ("gone", "never_sent"),
    ("dialling", "no room"): ("gone", "never_sent"),
    ("dialling", "withdrawn"): ("gone", "never_ran"),
    ("writing", "written"): ("out", None),
    ("writing", "stale"): ("gone", "dial_anew"),  # nothing of it was written
    ("writing", "answered"): ("gone", "abort"),  # before all of it was written, so it never ran
    ("writing", "overfull"): ("gone", "abort"),
    ("writing", "malformed"): ("gone", "cut_short"),
    ("writing", "down"): ("gone", "never_ran"),
    ("writing", "late"): ("gone", "cut_short"),
    ("writing", "withdrawn"): ("gone", "cut_short"),
    ("writing", "unwanted"): ("gone", "unsent"),  # not a byte of it was written
    ("out", "answered"): ("idle", "rest"),
    ("out", "overfull"): ("gone", "abort"),  # more came than the answer
    ("out", "malformed"): ("gone", "broke_off"),
    ("out", "down"): ("gone", "broken"),
    ("out", "late"): ("gone", "timed_out"),
    ("out", "withdrawn"): ("gone", "called_off"),
    ("idle", "needed"): ("writing", "write"),
    ("idle", "answered"): ("gone", "drop"),  # nothing was asked of it
    ("idle", "overfull"): ("gone", "drop"),
    ("idle", "begun"): ("gone", "drop"),
    ("idle", "malformed"): ("gone", "drop"),
    ("idle", "aged"): ("gone", "drop"),
    ("idle", "down"): ("gone", "forget_lane"),
    ("gone", "up"): ("gone", "abort"),
}

COUNTER_LINK = {
    ("dialling", "up"): ("up", "flush"),
    ("dialling", "down"): ("gone", "never_added"),
    ("dialling", "moved"): ("gone", "dial_there"),
    ("up", "silent"): ("old", "replace"),
    ("up", "moved"): ("old", "replace"),
    ("up", "down"): ("gone", "unknown"),
    ("up", "spoilt"): ("gone", "added"),
    ("old", "spoilt"): ("gone", "added"),
    ("old", "emptied"): ("gone", "close_old"),
    ("old", "lingered"): ("gone", "unknown_abort"),
    ("old", "down"): ("gone", "unknown"),
    ("gone", "up"): ("gone", "abort"),
}


@dataclass(eq=False, slots=True)
class Timer:
    """Something to be told at a time; without a name it is called off."""

    due: float
    input: Input | None
    arguments: tuple

    def cancel(self) -> None:
        """Guards the memory: what it would have told, with all its bytes, is not kept until it is due."""
        self.input, self.arguments = None, ()


@dataclass(eq=False, slots=True)
class CommandReply:
    """A command's endpoint among the answers of its connection."""

    answer: bytes | None = None


@dataclass(eq=False, slots=True)
class ClientConnection:
    """A client's connection."""

    link: Any
    queue: deque[Any] = field(default_factory=deque)  # what waits for its answer, in the order it came
    choked: bool = False
    unread: int = 0
    half_since: float = 0.0
    spoilt_since: float = 0.0
    spoke: bool = False  # a task, in form
    rested_at: float = 0.0  # when it came, or last got an answer
    closing_since: float = 0.0
    closed_at: float | None = None  # when our end was written; None while answers are not
    got: int = 0  # bytes that had come when half a command was last looked at
    moved_at: float = 0.0  # and when that was more than before
    state: str = "up"


@dataclass(eq=False, slots=True)
class InFlightRequest(Request):
    """A task with the client's connection it came on and the bytes it came in."""

    client: ClientConnection | None = None
    ask: Ask | None = None
    size: int = 0
    answer: bytes | None = None
    alarm: Timer | None = None


@dataclass(eq=False, slots=True)
class Endpoint(Host):
    """A host with its address and the connections that wait there."""

    address: str = ""
    idle: list[HostConnection] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class HostConnection:
    """A connection to a host."""

    endpoint: Endpoint
    state: str
    attempt: Attempt | None
    attempt_deadline: float
    link: Any = None
    idle_since: float = 0.0
    alarm: Timer | None = None
    kept: bool = False  # it has carried a forward before


@dataclass(eq=False, slots=True)
class CounterConnection:
    """A connection to the counter, and the calls on it that wait for answers; None stands for a PING."""

    number: int
    state: str = "dialling"
    link: Any = None
    waiting: deque[CounterCall | None] = field(default_factory=deque)
    heard_at: float = 0.0
    asked_at: float = 0.0
    old_since: float = 0.0


class Reducer:
    """Inputs in, effects out. An effect is a function with its arguments."""

    def __init__(
        self,
        now: float,
        limits: Limits,
        born: dict[str, Any],
        seed: int,
        known: Listing | None,
        doors: Any,
        event_log: Any,
    ) -> None:
        self.limits, self.doors, self.event_log, self.now = limits, doors, event_log, now
        # The earliest moment at which what is read in this turn may have come: the end of the loop's poll
        # before the one that began this turn, or, while starting, when the process began (see `asked`).
        self.began_at = self.since = now
        self.counts: Counter[str] = event_log.counts
        self.effects: list[tuple] = []
        self.inbox: deque[tuple] = deque()
        self.lifecycle = Lifecycle(self)
        self.request_classes = {
            request_class.name: request_class for request_class in platform_settings.request_classes(born)
        }
        self.plans = {plan.name: plan for plan in platform_settings.plans(born)}
        self.customers: WeakValueDictionary[int, Customer] = WeakValueDictionary()
        self.clients: dict[ClientConnection, None] = {}
        self.requests: dict[InFlightRequest, None] = {}
        self.ids: dict[bytes, InFlightRequest] = {}  # of the tasks that wait for their answers
        self.pings: list[tuple[ClientConnection, CommandReply]] = []
        self.unheard: list[
            InFlightRequest
        ] = []  # taken while starting, for the decisions once a list has come
        self.held, self.full = 0, False
        self.endpoints: dict[str, Endpoint] = {}
        self.host_connections: dict[Attempt, HostConnection] = {}
        self.policy_timers: dict[object, Timer] = {}
        self.host_links, self.cut_at = 0, float("-inf")  # open and dialled; when a kept one was cut in use
        self.counter_connections: list[CounterConnection | None] = [None] * limits.counter_links
        self.retired_counter_connections: dict[CounterConnection, None] = {}
        self.redials: set[int] = set()  # numbers of connections to the counter that will be dialled again
        self.discovery = DiscoveryWatch(self)
        self.chance = Random(seed)
        self.known = known
        self.judge: Any = (
            None  # told of the list of hosts, where gateways tell each other what they know of them
        )
        self.shown: dict[bytes, Any] = {}  # further commands that only show something, and who words it
        self.gateway = platform_settings.gateway(self, now, seed, born, list(self.request_classes.values()))

    def reduce(self, now: float, happened: Input, *what: Any, since: float | None = None) -> list[tuple]:
        """One input, with all that follows from it here. `since`, in Unix ms, is the earliest moment at which
        what this input brings may have come; None is now."""
        self.now = now
        self.since = now if since is None else min(since, now)
        self.gateway.advance_clock(now)
        INPUTS[happened](self, *what)
        while self.inbox:
            later, *what = self.inbox.popleft()
            later(*what)
        effects, self.effects = self.effects, []
        return effects

    def do(self, *effect: Any) -> None:
        self.effects.append(effect)

    def schedule(self, due: float, happened: Input, *what: Any) -> Timer:
        timer = Timer(due, happened, what)
        self.do(self.doors.start_timer, timer)
        return timer

    # Mode.

    def start(self) -> None:
        """The list as we last had it serves until discovery speaks."""
        if self.known is not None:
            self.entries(self.known)
            self.watch.version = self.known.version
        self.discovery.due()
        if self.gateway.rate_limiter.has_counter:
            for number in range(self.limits.counter_links):
                self.counter_connection(number)
        self.lifecycle.begin()
        self.schedule(self.now + self.limits.sweep_ms, Input.MAINTENANCE)

    @property
    def state(self) -> str:
        return self.lifecycle.state

    def mode(self, signal: str) -> None:
        self.lifecycle.signal(signal)

    def answer_pings(self, answer: bytes) -> None:
        """Guards against a PING whose connection ended while we started (the front gives up when discovery
        is slow to speak at a release): its queue is gone, and filling it would fault before the tasks taken
        meanwhile are handed over, leaving every one of them to its backstop (herd+vast)."""
        for client, reply in self.pings:
            if client.state != "gone":
                self.fill(client, reply, answer)
        self.pings = []

    def hand_over(self) -> None:
        """Guards against forwards by a list that is old: a process that starts again is handed the list as
        it last had it, and a host may have begun to drain since, which discovery would tell at once if
        asked (a send to such a host 1.06 s after it drained, on herd+mass). Tasks taken while starting wait
        for the first list, or for `ready_ms` without one; those answered meanwhile stay answered. Hurts
        them by the time the watch takes to speak, some tens of milliseconds."""
        unheard, self.unheard = self.unheard, []
        for request in unheard:
            if request in self.requests:
                (self.refuse if self.lifecycle.refusing else self.gateway.handle_request)(request)

    # Clients.

    def client_up(self, link: Any) -> None:
        client = link.record = ClientConnection(link, rested_at=self.now)
        self.clients[client] = None
        self.counts["client_links"] += 1
        if len(self.clients) >= self.limits.client_links:
            self.make_room(1)
        if len(self.clients) > self.limits.client_over:
            self.counts["client_links_over"] += 1
            self.do(link.abort)
        elif len(self.clients) >= self.limits.client_most and not self.full:
            self.take_in(False)
            self.schedule(self.now + self.limits.fresh_ms, Input.CLIENT_LIMIT_CHECK)

    def make_room(self, most: int) -> None:
        """Guards against running out of descriptors: the clients' connections end that have asked nothing
        yet, then those that have rested longest. One that came or got an answer just now is left alone, as a
        command may be on its way; where there are only such, no more are taken in for a while. Hurts a client
        that opens connections before it needs them, or sends a command in pieces."""
        came, rested = self.now - self.limits.fresh_ms, self.now - self.limits.rest_ms
        idle = [
            client
            for client in self.clients
            if client.state == "up"
            and not client.queue
            and not client.choked
            and client.rested_at <= (rested if client.spoke else came)
        ]
        for client in sorted(idle, key=lambda client: (client.spoke, client.rested_at))[:most]:
            self.do(client.link.look, Input.CLIENT_IDLE if client.spoke else Input.CLIENT_SILENT)

    def client_silent(self, client: ClientConnection) -> None:
        if client.state == "up" and not client.spoke:
            self.counts["client_links_silent"] += 1
            client.state, client.closing_since = "closing", self.now
            self.do(client.link.abort)

    def crowd(self) -> None:
        """While no more are taken in: room is made as fast as those that say nothing come."""
        if self.full:
            self.make_room(len(self.clients))
            self.schedule(self.now + self.limits.fresh_ms, Input.CLIENT_LIMIT_CHECK)

    def take_in(self, on: bool) -> None:
        self.full = not on
        self.do(self.doors.accept_connections, on)
        self.event_log.event(
            "taking in" if on else "full", clients=len(self.clients), requests=len(self.requests)
        )

    def client_down(self, client: ClientConnection) -> None:
        client.state = "gone"
        self.clients.pop(client, None)
        if self.full and len(self.clients) < self.limits.client_most:
            self.take_in(True)
        for waiting in client.queue:
            if isinstance(waiting, InFlightRequest) and waiting.answer is None:
                waiting.answer = b""
                self.counts["client_gone"] += 1
                self.gateway.client_disconnected(waiting)
                self.forget(waiting)
            elif waiting.answer is not None:
                self.held -= len(waiting.answer)
        client.queue.clear()
        if self.lifecycle.shutting and not self.clients:
            self.inbox.append((self.mode, "idle"))

    def hang_up(self, client: ClientConnection) -> None:
        """Our side ends once all that was answered is written; how long that may take is the reader's bound,
        and from then on (`client_closed`) the client has to end its own."""
        client.state, client.closing_since, client.closed_at = "closing", self.now, None
        self.do(client.link.close)

    def client_closed(self, client: ClientConnection) -> None:
        """All is written, and our end with it."""
        client.closed_at = self.now

    def client_rested(self, client: ClientConnection) -> None:
        if client.state == "up" and not client.queue:
            self.counts["client_links_rested"] += 1
            client.state, client.closing_since, client.closed_at = "closing", self.now, self.now
            self.do(client.link.end)

    def offer_end(self, client: ClientConnection) -> None:
        """While the process shuts: a connection that waits for nothing ends, unless bytes of the client's lie
        unread, which are read first. Guards requests that cross our end: one that we have read is
        answered."""
        if client.state == "up" and not client.queue:
            self.do(client.link.look, Input.CLIENT_SHUTDOWN)

    def client_idle(self, client: ClientConnection) -> None:
        if client.state == "up" and not client.queue and self.lifecycle.shutting:
            # Half a command, or a connection that has only just come: the rest may be on its way.
            # What half a command had of its time before the door shut does not count.
            if client.link.half():
                since = max(self.lifecycle.shut_at, client.rested_at)
            else:
                since = float("-inf") if client.spoke else client.rested_at
            if self.now - since > self.limits.fresh_ms:
                self.hang_up(client)

    def command(self, client: ClientConnection, name: bytes) -> None:
        if client.state != "up" or self.crowded(client):
            return
        reply = CommandReply()
        client.queue.append(reply)
        if name == b"PING":
            if self.state == "starting":
                self.pings.append((client, reply))
            else:
                self.fill(client, reply, CLOSING if self.lifecycle.shutting else PONG)
        elif name == b"INFO":
            self.fill(client, reply, bulk(b"".join(b"%b:%d\r\n" % pair for pair in self.figures())))
        elif name in (b"CLIENT", b"SELECT"):
            self.fill(client, reply, b"+OK\r\n")
        elif name in self.shown:
            self.fill(client, reply, bulk(self.shown[name]()))
        else:
            self.fill(client, reply, b"-ERR unknown command\r\n")

    def figures(self) -> list[tuple[bytes, int]]:
        """The counters, and how much is in hand now."""
        now = {"tasks_now": len(self.requests), "client_links_now": len(self.clients)}
        now |= {"host_links_now": self.host_links, "held_bytes_now": self.held}
        return [(name.encode(), number) for name, number in sorted({**self.counts, **now}.items())]

    def malformed(self, client: ClientConnection, why: str) -> None:
        self.counts["malformed"] += 1
        self.event_log.event("malformed", why=why)
        if client.state == "up":
            client.state, client.spoilt_since = "spoilt", self.now  # what came before is still answered
            reply = CommandReply()
            client.queue.append(reply)
            self.fill(client, reply, b"-ERR %b\r\n" % why.encode("ascii", "replace")[:200])

    def crowded(self, client: ClientConnection) -> bool:
        """Guards the memory against one connection with no end of commands behind a slow one."""
        if len(client.queue) < 16 * self.limits.queue:
            return False
        self.malformed(client, "too many commands wait")
        return True

    def asked(self, client: ClientConnection, ask: Ask) -> None:
        if client.state != "up" or self.crowded(client):
            return
        client.spoke = True
        request_class, plan = self.request_classes.get(ask.request_class), self.plans.get(ask.plan)
        if request_class is None or plan is None:
            self.malformed(client, "unknown product or plan")
            return
        kind = request_class.kind
        if ask.harmless != (kind is Idempotency.IDEMPOTENT) or (
            kind is Idempotency.KEYED and not ask.stamped
        ):
            self.malformed(client, "not a command of this product")
            return
        if ask.id in self.ids:
            self.malformed(client, "id in use")  # guards against answers for one that reach another
            return
        self.counts["taken"] += 1
        customer = self.customers.get(ask.customer)
        if customer is None:
            customer = self.customers[ask.customer] = Customer(ask.customer)
        left_ms = min(ask.left_ms, request_class.deadline_ms)  # guards against tasks that are held for hours
        # Guards against time that ran before we read the task: its time counts from the client's last byte,
        # which may have waited for a turn of our loop, or, while we start, for the process to listen and
        # read at all (0.6 to 0.9 s after a restart, all of which had run; lost tasks on herd+mass). Its
        # cut-off, and so the backstop below, count from the earliest moment it may have come. Should meet
        # the client's own end whatever kept it waiting; hurts by as much time, from tasks read at start.
        came_at = self.began_at if self.state == "starting" else self.since
        deadline = max(self.now, came_at + max(left_ms / 2, left_ms - self.limits.margin_ms))
        request = InFlightRequest(
            request_class, plan, customer, self.now, deadline, ask.units, ask.subset_size
        )
        request.client, request.ask, request.size, request.subset_start = (
            client,
            ask,
            ask.size(),
            ask.subset_start,
        )
        client.queue.append(request)
        self.requests[request] = None
        self.ids[ask.id] = request
        self.held += request.size
        if (
            self.lifecycle.refusing
            or len(self.requests) > self.limits.requests
            or self.held > self.limits.held
            or len(client.queue) > self.limits.queue
        ):
            # Guards the memory, and what is asked of a process that shuts, behind an answer that is still
            # due: it may be gone before this one is answered.
            self.refuse(request)
            return
        # Guards against whatever leaves a task with nothing that will bring it back, as a fault in a decision
        # does: an error promises nothing, and comes in time.
        request.alarm = self.schedule(deadline + self.limits.margin_ms / 2, Input.REQUEST_WATCHDOG, request)
        if self.state == "starting":
            self.unheard.append(request)
        else:
            self.gateway.handle_request(request)

    def refuse(self, request: InFlightRequest) -> None:
        """The decisions give it up, as one never forwarded."""
        self.gateway.refuse(request)

    def forgotten(self, request: InFlightRequest) -> None:
        self.counts["forgotten"] += 1
        self.event_log.event("forgotten", state=request.state.value, attempts=len(request.attempts))
        request.state = RequestState.FINISHED
        self.fail(request)

    def choked(self, client: ClientConnection) -> None:
        client.choked = True

    def eased(self, client: ClientConnection) -> None:
        client.choked, client.unread = False, 0

    def fill(self, client: ClientConnection, waiting: Any, answer: bytes) -> None:
        """An answer is there; it leaves once those before it have left."""
        waiting.answer = answer
        queue = client.queue
        self.held += len(answer)
        if queue[0] is not waiting:
            return
        ready = []
        while queue and queue[0].answer is not None:
            first = queue.popleft()
            ready.append(first.answer)
            first.answer = b""
        data = b"".join(ready)
        self.held -= len(data)
        client.rested_at = self.now
        self.do(client.link.send, data)
        if client.choked:
            client.unread += len(data)
            if client.unread > self.limits.unread:
                self.counts["slow_readers"] += 1
                self.do(client.link.abort)  # guards the memory against clients that read nothing
                return
        if not queue and client.state == "spoilt":
            self.hang_up(client)
        elif not queue and self.lifecycle.shutting:
            self.offer_end(client)

    def finish(self, request: InFlightRequest, answer: bytes) -> None:
        client = request.client
        self.forget(request)
        if client.state in ("up", "spoilt"):
            self.fill(client, request, answer)

    def forget(self, request: InFlightRequest) -> None:
        if request in self.requests:
            del self.requests[request], self.ids[request.ask.id]
        self.held -= request.size
        request.size = 0
        if request.alarm is not None:
            request.alarm.cancel()

    # The door of the decisions.

    def send_attempt(self, attempt: Attempt, attempt_deadline: float | None) -> None:
        endpoint, request = attempt.host, attempt.request
        attempt_deadline = min(attempt_deadline or request.deadline, request.deadline)
        self.counts["forwards"] += 1
        # Guards against kept connections that are cut at their next use: a task that may not be sent again
        # gets one of its own while that has been seen of late. Hurts by a handshake. Else the longest at rest
        # goes first: who closes on us does so soon after an answer.
        wary = (
            request.request_class.kind is Idempotency.NON_IDEMPOTENT
            and self.now - self.cut_at < self.limits.wary_ms
        )
        for connection in () if wary else endpoint.idle:
            if self.limits.settle_ms <= self.now - connection.idle_since < self.limits.host_idle_ms:
                endpoint.idle.remove(connection)
                connection.attempt, connection.attempt_deadline, connection.kept = (
                    attempt,
                    attempt_deadline,
                    True,
                )
                self.host_connections[attempt] = connection
                connection.alarm = self.schedule(
                    attempt_deadline, Input.ATTEMPT_DEADLINE, connection, attempt
                )
                advance(HOST_LINK, connection, "needed", self)
                return
        self.dial(endpoint, attempt, attempt_deadline)

    def dial(self, endpoint: Endpoint, attempt: Attempt, attempt_deadline: float) -> None:
        connection = self.host_connections[attempt] = HostConnection(
            endpoint, "dialling", attempt, attempt_deadline
        )
        connection.alarm = self.schedule(attempt_deadline, Input.ATTEMPT_DEADLINE, connection, attempt)
        if self.host_links >= self.limits.host_links and not self.spare_link():
            self.inbox.append((self.host, connection, "no room"))
        else:
            self.host_links += 1
            self.counts["host_dials"] += 1
            self.do(self.doors.connect_host, connection, endpoint.address)

    def reject(self, request: InFlightRequest, retry_after_ms: float | None) -> None:
        self.counts["deferred"] += 1
        back = b"-BUSY %d\r\n" % max(1, round(retry_after_ms)) if retry_after_ms else b"-BUSY\r\n"
        self.finish(request, back)

    def fail(self, request: InFlightRequest) -> None:
        self.counts["errored"] += 1
        self.finish(request, ERRORED)

    def cancel(self, attempt: Attempt) -> None:
        connection = self.host_connections.get(attempt)
        if connection is not None:
            self.counts["withdrawn"] += 1
            self.inbox.append((self.host, connection, "withdrawn"))

    def call_counter(self, call: CounterCall) -> None:
        self.counts["calls"] += 1
        connection = self.counter_connection(call.name % self.limits.counter_links)
        if not connection.waiting:
            connection.asked_at = self.now
        connection.waiting.append(call)
        if connection.state == "up":
            self.do(connection.link.send, tally(call.name, call.amount, call.ttl_ms))

    def start_timer(self, after_ms: float, why: object) -> None:
        self.policy_timers[why] = self.schedule(self.now + after_ms, Input.POLICY_TIMER_FIRED, why)

    def woke(self, why: object) -> None:
        self.policy_timers.pop(why, None)
        self.gateway.timer_fired(why)

    def call_off(self, why: object) -> None:
        """The module would ignore this wake now, so nobody need be woken for it."""
        timer = self.policy_timers.pop(why, None)
        if timer is not None:
            timer.cancel()

    def log_decision(self, line: str) -> None:
        self.event_log.event("decision", line=line)

    # Hosts.

    def host(self, connection: HostConnection, signal: str) -> None:
        advance(HOST_LINK, connection, signal, self)

    def host_down(self, connection: HostConnection) -> None:
        """It comes once for each dial, and only then is its descriptor free."""
        self.host_links -= 1
        advance(HOST_LINK, connection, "down", self)

    def host_up(self, connection: HostConnection, link: Any) -> None:
        connection.link = link
        advance(HOST_LINK, connection, "up", self)

    def host_answered(
        self, connection: HostConnection, clean: bool, outcome: Outcome, data: bytes, units: float, used: int
    ) -> None:
        attempt, before = connection.attempt, connection.state
        if not clean:
            self.counts["overfull"] += 1
        advance(HOST_LINK, connection, "answered" if clean else "overfull", self)
        if before == "out":
            self.ended(attempt, outcome, data, units, used)
        elif before == "writing":  # as a host does that has too many connections
            self.part(
                connection, Outcome.OVERLOADED if outcome is Outcome.OVERLOADED else Outcome.CONNECTION_FAILED
            )

    def host_malformed(self, connection: HostConnection, why: str) -> None:
        self.event_log.event("host malformed", host=connection.endpoint.address, why=why)
        advance(HOST_LINK, connection, "malformed", self)

    def host_begun(self, connection: HostConnection) -> None:
        """Guards against answers that begin and never end. It counts from the last bytes that came, as long
        answers on slow lines take their time; the whole is bounded, against answers that only trickle."""
        if connection.attempt is not None:
            after = self.now + self.limits.answer_ms
            self.schedule(
                after,
                Input.HOST_RESPONSE_STALLED,
                connection,
                connection.attempt,
                connection.link.got,
                self.now,
            )
        self.host(connection, "begun")

    def stalled(self, connection: HostConnection, attempt: Attempt, got: int, begun_at: float) -> None:
        if connection.attempt is not attempt or not connection.link.half():
            return
        if connection.link.got == got or self.now - begun_at > self.limits.answer_most_ms:
            self.host_malformed(connection, "answer not ended")
        else:
            self.schedule(
                self.now + self.limits.answer_ms,
                Input.HOST_RESPONSE_STALLED,
                connection,
                attempt,
                connection.link.got,
                begun_at,
            )

    def dial_anew(self, connection: HostConnection) -> None:
        self.counts["host_stale"] += 1
        self.do(connection.link.abort)
        connection.alarm.cancel()
        attempt, connection.attempt = connection.attempt, None
        self.dial(connection.endpoint, attempt, connection.attempt_deadline)

    def late(self, connection: HostConnection, attempt: Attempt) -> None:
        if connection.attempt is attempt:
            advance(HOST_LINK, connection, "late", self)

    def ended(
        self, attempt: Attempt, outcome: Outcome, data: bytes = b"", units: float = 0.0, used: int = 0
    ) -> None:
        """A forward has its one outcome. An answer for a task that is over goes nowhere."""
        self.host_connections.pop(attempt).alarm.cancel()
        self.call_off(attempt)
        request = attempt.request
        self.counts["forward_" + outcome.value] += 1
        over = request.answer is not None
        if outcome is Outcome.DONE and not over:
            self.counts["done"] += 1
            self.finish(request, data)
            over = True
        self.gateway.attempt_finished(attempt, outcome, self.now - attempt.sent_at, over, units, used)

    def write(self, connection: HostConnection) -> str | None:
        """Guards against what changed while the connection came up: the client left or has its answer, the
        host began to drain, or the time is over in which a keyed request may be repeated. Nothing is sent
        then."""
        attempt, endpoint = connection.attempt, connection.endpoint
        request, left_ms = attempt.request, connection.attempt_deadline - self.now
        if (
            request.answer is not None
            or endpoint.status is not EndpointStatus.READY
            or self.now >= attempt.send_before
        ):
            return "unwanted"
        self.do(connection.link.send, request.ask.within(left_ms), len(request.attempts) == 1)
        return None

    def unsent(self, connection: HostConnection) -> None:
        self.counts["unwanted"] += 1
        self.do(connection.link.abort)
        self.never_sent(connection)

    def rest(self, connection: HostConnection) -> str | None:
        connection.attempt, connection.idle_since = None, self.now
        if connection.endpoint.status is EndpointStatus.READY and self.state != "ended":
            connection.endpoint.idle.append(connection)
            return None
        return "aged"

    def never_ran(self, connection: HostConnection) -> None:
        self.part(connection, Outcome.CONNECTION_FAILED)

    def never_sent(self, connection: HostConnection) -> None:
        """Its time was over, or we had no connection for it: that says nothing of the host."""
        self.part(connection, Outcome.ABANDONED)

    def cut_short(self, connection: HostConnection) -> None:
        """Its last byte was not written, and now never will be."""
        self.do(connection.link.abort)
        self.part(connection, Outcome.CONNECTION_FAILED)

    def broken(self, connection: HostConnection) -> None:
        if connection.kept:
            self.cut_at = self.now
        self.part(connection, Outcome.RESET)

    def broke_off(self, connection: HostConnection) -> None:
        self.do(connection.link.abort)
        self.part(connection, Outcome.RESET)

    def timed_out(self, connection: HostConnection) -> None:
        self.do(connection.link.abort)
        self.part(connection, Outcome.TIMEOUT)
        self.suspect(connection.endpoint)

    def called_off(self, connection: HostConnection) -> None:
        self.do(connection.link.abort)
        self.part(connection, Outcome.CANCELLED)
        self.suspect(connection.endpoint)

    def part(self, connection: HostConnection, outcome: Outcome) -> None:
        attempt, connection.attempt = connection.attempt, None
        self.inbox.append((self.ended, attempt, outcome))

    def suspect(self, endpoint: Endpoint) -> None:
        """Guards against connections that look open and lead nowhere, as after a machine vanished: those that
        wait at a host that left a forward unanswered are closed, so that the next forward there dials and,
        where it does not come up, provably never ran. Hurts a slow host by some handshakes."""
        idle, endpoint.idle = endpoint.idle, []
        for connection in idle:
            advance(HOST_LINK, connection, "aged", self)

    def drop(self, connection: HostConnection) -> None:
        self.do(connection.link.abort)
        self.forget_lane(connection)

    def abort(self, record: Any) -> None:
        self.do(record.link.abort)

    def forget_lane(self, connection: HostConnection) -> None:
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)

    def spare_link(self) -> bool:
        """Guards against running out of descriptors: an idle connection elsewhere makes room."""
        for endpoint in self.endpoints.values():
            if endpoint.idle:
                advance(HOST_LINK, endpoint.idle[0], "aged", self)
                return True
        return False

    # The counter.

    def counter_connection(self, number: int) -> CounterConnection:
        """The connection in use for these names: one for a name, so that its totals come in order."""
        connection = self.counter_connections[number]
        if connection is None:
            connection = self.counter_connections[number] = CounterConnection(number)
            self.counts["counter_dials"] += 1
            self.do(self.doors.connect_counter, connection)
        return connection

    def calls(self, calls: list[CounterCall]) -> None:
        """Calls that no task asked for (presence at the counter)."""
        for call in calls:
            self.call_counter(call)

    def counter(self, connection: CounterConnection, signal: str) -> None:
        advance(COUNTER_LINK, connection, signal, self)

    def counter_up(self, connection: CounterConnection, link: Any) -> None:
        connection.link = link
        advance(COUNTER_LINK, connection, "up", self)

    def counter_answered(self, connection: CounterConnection, outcome: Outcome, total: float | None) -> None:
        if not connection.waiting or (connection.waiting[0] is None) != (total is None):
            self.counter_spoilt(connection, "answer out of turn")
            return
        connection.heard_at = self.now
        call = connection.waiting.popleft()
        if call is not None:
            self.counts["call_" + outcome.value] += 1
            self.call_off(call)
            self.gateway.counter_call_finished(call, outcome, total)
        if not connection.waiting:
            advance(COUNTER_LINK, connection, "emptied", self)

    def counter_spoilt(self, connection: CounterConnection, why: str) -> None:
        self.event_log.event("counter spoilt", waiting=len(connection.waiting), why=why)
        advance(COUNTER_LINK, connection, "spoilt", self)

    def counter_begun(self, connection: CounterConnection) -> None:
        """Guards against answers that begin and never end, as at the hosts."""
        self.schedule(
            self.now + self.limits.total_ms, Input.COUNTER_REPLY_STALLED, connection, connection.heard_at
        )

    def counter_stalled(self, connection: CounterConnection, heard_at: float) -> None:
        if connection.heard_at == heard_at and connection.link.half():
            self.counter_spoilt(connection, "answer not ended")

    def added(self, connection: CounterConnection) -> None:
        """Guards against answers without a total: the call was made, and the connection is of no further use.
        What waits behind it may have been added or may not."""
        self.do(connection.link.abort)
        call = connection.waiting.popleft() if connection.waiting else None
        if call is not None:
            self.counts["call_spoilt"] += 1
            self.call_off(call)
            self.inbox.append((self.gateway.counter_call_finished, call, Outcome.ERROR, 0.0))
        self.lost(connection, Outcome.RESET)

    def flush(self, connection: CounterConnection) -> None:
        connection.heard_at = self.now
        calls = [tally(call.name, call.amount, call.ttl_ms) for call in connection.waiting]
        if calls:
            self.do(connection.link.send, b"".join(calls))

    def never_added(self, connection: CounterConnection) -> None:
        self.lost(connection, Outcome.CONNECTION_FAILED)

    def unknown(self, connection: CounterConnection) -> None:
        self.lost(connection, Outcome.RESET)

    def close_old(self, connection: CounterConnection) -> None:
        self.retired_counter_connections.pop(connection, None)
        self.do(connection.link.abort)

    def unknown_abort(self, connection: CounterConnection) -> None:
        self.do(connection.link.abort)
        self.lost(connection, Outcome.RESET)

    def lost(self, connection: CounterConnection, outcome: Outcome) -> None:
        for call in connection.waiting:
            if call is not None:
                self.counts["call_" + outcome.value] += 1
                self.call_off(call)
                self.inbox.append((self.gateway.counter_call_finished, call, outcome, 0.0))
        connection.waiting.clear()
        self.retired_counter_connections.pop(connection, None)
        if self.counter_connections[connection.number] is connection:
            self.counter_connections[connection.number] = None
            if connection.number not in self.redials:
                # Guards against a storm of dials while the counter is away: a call dials too, and each dial
                # that failed would bring one more.
                self.redials.add(connection.number)
                self.schedule(
                    self.now + 5 * self.limits.redial_ms, Input.COUNTER_RECONNECT, connection.number
                )

    def counter_reconnect(self, number: int) -> None:
        self.redials.discard(number)
        self.counter_connection(number)

    def replace(self, connection: CounterConnection) -> None:
        """Guards against a connection that has gone silent, by death or by a long queue, and against a
        counter that moves: calls go on over a new one, and the old one is kept for late totals. Hurts a slow
        counter by some connections."""
        self.event_log.event(
            "counter replaced", waiting=len(connection.waiting), heard_ms_ago=self.now - connection.heard_at
        )
        connection.old_since, self.retired_counter_connections[connection] = self.now, None
        self.counter_connections[connection.number] = None
        self.counter_connection(connection.number)
        if len(self.retired_counter_connections) > self.limits.counter_old:
            advance(COUNTER_LINK, next(iter(self.retired_counter_connections)), "lingered", self)
        if not connection.waiting:
            advance(COUNTER_LINK, connection, "emptied", self)

    def dial_there(self, connection: CounterConnection) -> None:
        """Nothing of its calls was written, so they go where the new one leads."""
        self.counter_connections[connection.number] = None
        self.counter_connection(connection.number).waiting = connection.waiting
        connection.waiting = deque()

    # Discovery.

    @property
    def watch(self) -> Watch:
        return self.discovery.now_used

    def listed(self, watch: Watch, listing: Listing | None) -> None:
        if not self.discovery.heard(watch):
            return
        if listing is not None:
            watch.version = listing.version
            self.entries(listing)
        self.mode("listed")

    def entries(self, listing: Listing) -> None:
        self.counts["lists"] += 1
        sightings = []
        for entry in listing.entries:
            endpoint = self.endpoints.get(entry.name)
            if endpoint is None:
                if entry.status is EndpointStatus.GONE:
                    continue
                endpoint = self.endpoints[entry.name] = Endpoint(address=entry.address, name=entry.name)
            if entry.started_at > endpoint.started_at or (
                entry.address and entry.address != endpoint.address
            ):
                endpoint.address = entry.address or endpoint.address
                self.suspect(endpoint)  # connections to a process that is no more
            sightings.append(
                EndpointUpdate(
                    endpoint, entry.size, entry.make, entry.zone, entry.cell, entry.started_at, entry.status
                )
            )
        self.gateway.update_endpoints(sightings, listing.whole)
        for name, endpoint in list(self.endpoints.items()):
            if endpoint.idle and endpoint.status is not EndpointStatus.READY:
                self.suspect(endpoint)
            if endpoint.status is EndpointStatus.GONE and not endpoint.health.in_flight:
                del self.endpoints[name]  # guards the memory, as hosts come and go under new names
        if self.judge is not None:
            self.judge.listed(self.endpoints, self.now)

    def newer_list(self, version: int) -> None:
        """Another gateway has a newer list than ours: the watch opens again, unless it has come meanwhile."""
        if version > self.watch.version:
            self.discovery.signal(self.watch, "moved")

    # A new file.

    def moved(self, counter: bool, discovery: bool) -> None:
        """The file names other addresses. What is open to one that stays is kept; the counter's old
        connections are kept as long as they last, for the totals they still owe."""
        for connection in self.counter_connections if counter else ():
            if connection is not None:
                advance(COUNTER_LINK, connection, "moved", self)
        if discovery:
            self.discovery.signal(self.watch, "moved")

    # Now and then.

    def sweep(self) -> None:
        now, limits = self.now, self.limits
        for connection in self.counter_connections:
            if connection is None or connection.state != "up":
                continue
            if (
                connection.waiting
                and now - max(connection.heard_at, connection.asked_at) > limits.counter_silence_ms
            ):
                advance(COUNTER_LINK, connection, "silent", self)
            elif not connection.waiting and now - connection.heard_at > limits.counter_ping_ms:
                connection.asked_at = now
                connection.waiting.append(None)
                self.do(connection.link.send, PING)
        for connection in list(self.retired_counter_connections):
            if now - connection.old_since > limits.counter_linger_ms:
                advance(COUNTER_LINK, connection, "lingered", self)
        self.discovery.sweep()
        for endpoint in self.endpoints.values():
            while endpoint.idle and now - endpoint.idle[0].idle_since > limits.host_idle_ms:
                advance(HOST_LINK, endpoint.idle[0], "aged", self)
        for client in list(self.clients):
            self.look_at(client)
        self.schedule(now + limits.sweep_ms, Input.MAINTENANCE)

    def look_at(self, client: ClientConnection) -> None:
        """Guards against clients that do not close their side, keep half a command for ever, say nothing, or
        keep a connection that they need no more."""
        now, limits = self.now, self.limits
        if client.state == "closing":
            unwritten = client.closed_at is None
            if unwritten and now - client.closing_since > limits.flush_ms:
                self.counts["slow_readers"] += 1
                self.do(client.link.abort)
            elif not unwritten and now - client.closed_at > limits.close_ms:
                self.do(client.link.abort)
            else:
                self.do(client.link.read_on)
        elif client.state == "spoilt":
            self.do(client.link.read_on)
            if now - client.spoilt_since > limits.spoilt_ms:
                for waiting in list(client.queue):
                    if isinstance(waiting, InFlightRequest) and waiting.answer is None:
                        self.gateway.client_disconnected(waiting)
                        self.fail(waiting)
        elif client.choked:
            client.half_since = 0.0  # what it sent waits until it reads: no half command, and no rest
        elif self.lifecycle.shutting and not client.queue:
            self.offer_end(client)
        elif not client.link.half():
            client.half_since = 0.0
            patience = limits.rest_ms if client.spoke else limits.half_ms
            if not client.queue and now - client.rested_at > patience:
                # No word, which a task on its way might take for its answer.
                self.do(client.link.look, Input.CLIENT_IDLE)
        elif not client.half_since or client.got != client.link.got:
            # Guards long commands on slow lines: it counts from the last bytes that came; the whole is
            # bounded.
            client.half_since, client.got = client.half_since or now, client.link.got
            client.moved_at = now
            if now - client.half_since > limits.half_most_ms:
                self.malformed(client, "command not ended")
        elif now - client.moved_at > limits.half_ms:
            self.malformed(client, "command not ended")


INPUTS = {
    Input.START: Reducer.start,
    Input.LIFECYCLE: Reducer.mode,
    Input.MAINTENANCE: Reducer.sweep,
    Input.CLIENT_LIMIT_CHECK: Reducer.crowd,
    Input.POLICY_TIMER_FIRED: Reducer.woke,
    Input.CLIENT_CONNECTED: Reducer.client_up,
    Input.CLIENT_DISCONNECTED: Reducer.client_down,
    Input.CLIENT_SILENT: Reducer.client_silent,
    Input.CLIENT_IDLE: Reducer.client_rested,
    Input.CLIENT_SHUTDOWN: Reducer.client_idle,
    Input.CLIENT_WRITE_CLOSED: Reducer.client_closed,
    Input.CLIENT_WRITE_PAUSED: Reducer.choked,
    Input.CLIENT_WRITE_RESUMED: Reducer.eased,
    Input.REQUEST_RECEIVED: Reducer.asked,
    Input.REQUEST_WATCHDOG: Reducer.forgotten,
    Input.COMMAND_RECEIVED: Reducer.command,
    Input.CLIENT_MALFORMED: Reducer.malformed,
    Input.HOST_CONNECTED: Reducer.host_up,
    Input.HOST_DISCONNECTED: Reducer.host_down,
    Input.HOST_RESPONSE: Reducer.host_answered,
    Input.HOST_MALFORMED: Reducer.host_malformed,
    Input.HOST_RESPONSE_STARTED: Reducer.host_begun,
    Input.HOST_STALE: lambda self, connection: self.host(connection, "stale"),
    Input.HOST_RESPONSE_STALLED: Reducer.stalled,
    Input.HOST_REQUEST_WRITTEN: lambda self, connection: self.host(connection, "written"),
    Input.ATTEMPT_DEADLINE: Reducer.late,
    Input.COUNTER_CALLS: Reducer.calls,
    Input.COUNTER_CONNECTED: Reducer.counter_up,
    Input.COUNTER_DISCONNECTED: lambda self, connection: self.counter(connection, "down"),
    Input.COUNTER_REPLY: Reducer.counter_answered,
    Input.COUNTER_MALFORMED: Reducer.counter_spoilt,
    Input.COUNTER_REPLY_STARTED: Reducer.counter_begun,
    Input.COUNTER_REPLY_STALLED: Reducer.counter_stalled,
    Input.COUNTER_RECONNECT: Reducer.counter_reconnect,
    Input.WATCH_CONNECTED: lambda self, watch, link: self.discovery.up(watch, link),
    Input.WATCH_DISCONNECTED: lambda self, watch: self.discovery.signal(watch, "down"),
    Input.WATCH_LIST_STARTED: lambda self, watch: self.discovery.begun(watch),
    Input.WATCH_MALFORMED: lambda self, watch, why: self.discovery.spoilt(watch, why),
    Input.WATCH_RECONNECT: lambda self: self.discovery.due(),
    Input.ENDPOINTS_RECEIVED: Reducer.listed,
    Input.ADDRESSES_CHANGED: Reducer.moved,
    Input.NEWER_ENDPOINTS_ELSEWHERE: Reducer.newer_list,
}
