"""The one place where the gateway's state changes.

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
class Wake:
    """Something to be told at a time; without a name it is called off."""

    due: float
    name: str | None
    what: tuple

    def off(self) -> None:
        """Guards the memory: what it would have told, with all its bytes, is not kept until it is due."""
        self.name, self.what = None, ()


@dataclass(eq=False, slots=True)
class Reply:
    """A command's place among the answers of its connection."""

    answer: bytes | None = None


@dataclass(eq=False, slots=True)
class Caller:
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
class Errand(Request):
    """A task with the client's connection it came on and the bytes it came in."""

    caller: Caller | None = None
    ask: Ask | None = None
    size: int = 0
    answer: bytes | None = None
    alarm: Wake | None = None


@dataclass(eq=False, slots=True)
class Place(Host):
    """A host with its address and the connections that wait there."""

    address: str = ""
    idle: list[Lane] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Lane:
    """A connection to a host."""

    place: Place
    state: str
    attempt: Attempt | None
    attempt_deadline: float
    link: Any = None
    idle_since: float = 0.0
    alarm: Wake | None = None
    kept: bool = False  # it has carried a forward before


@dataclass(eq=False, slots=True)
class Wire:
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
        diary: Any,
    ) -> None:
        self.limits, self.doors, self.diary, self.now = limits, doors, diary, now
        # The earliest moment at which what is read in this turn may have come: the end of the loop's poll
        # before the one that began this turn, or, while starting, when the process began (see `asked`).
        self.began_at = self.since = now
        self.counts: Counter[str] = diary.counts
        self.effects: list[tuple] = []
        self.inbox: deque[tuple] = deque()
        self.lifecycle = Lifecycle(self)
        self.request_classes = {
            request_class.name: request_class for request_class in platform_settings.request_classes(born)
        }
        self.plans = {plan.name: plan for plan in platform_settings.plans(born)}
        self.customers: WeakValueDictionary[int, Customer] = WeakValueDictionary()
        self.callers: dict[Caller, None] = {}
        self.errands: dict[Errand, None] = {}
        self.ids: dict[bytes, Errand] = {}  # of the tasks that wait for their answers
        self.pings: list[tuple[Caller, Reply]] = []
        self.unheard: list[Errand] = []  # taken while starting, for the decisions once a list has come
        self.held, self.full = 0, False
        self.places: dict[str, Place] = {}
        self.lanes: dict[Attempt, Lane] = {}
        self.wakes: dict[object, Wake] = {}
        self.host_links, self.cut_at = 0, float("-inf")  # open and dialled; when a kept one was cut in use
        self.wires: list[Wire | None] = [None] * limits.counter_links
        self.old_wires: dict[Wire, None] = {}
        self.redials: set[int] = set()  # numbers of connections to the counter that will be dialled again
        self.discovery = DiscoveryWatch(self)
        self.chance = Random(seed)
        self.known = known
        self.judge: Any = (
            None  # told of the list of hosts, where gateways tell each other what they know of them
        )
        self.shown: dict[bytes, Any] = {}  # further commands that only show something, and who words it
        self.gateway = platform_settings.gateway(self, now, seed, born, list(self.request_classes.values()))

    def reduce(self, now: float, name: str, *what: Any, since: float | None = None) -> list[tuple]:
        """One input, with all that follows from it here. `since`, in Unix ms, is the earliest moment at which
        what this input brings may have come; None is now."""
        self.now = now
        self.since = now if since is None else min(since, now)
        self.gateway.advance_clock(now)
        INPUTS[name](self, *what)
        while self.inbox:
            later, *what = self.inbox.popleft()
            later(*what)
        effects, self.effects = self.effects, []
        return effects

    def do(self, *effect: Any) -> None:
        self.effects.append(effect)

    def wake_at(self, due: float, name: str, *what: Any) -> Wake:
        wake = Wake(due, name, what)
        self.do(self.doors.wake, wake)
        return wake

    # Mode.

    def start(self) -> None:
        """The list as we last had it serves until discovery speaks."""
        if self.known is not None:
            self.entries(self.known)
            self.watch.version = self.known.version
        self.discovery.due()
        if self.gateway.has_counter:
            for number in range(self.limits.counter_links):
                self.wire(number)
        self.lifecycle.begin()
        self.wake_at(self.now + self.limits.sweep_ms, "sweep")

    @property
    def state(self) -> str:
        return self.lifecycle.state

    def mode(self, signal: str) -> None:
        self.lifecycle.signal(signal)

    def answer_pings(self, answer: bytes) -> None:
        """Guards against a PING whose connection ended while we started (the front gives up when discovery
        is slow to speak at a release): its queue is gone, and filling it would fault before the tasks taken
        meanwhile are handed over, leaving every one of them to its backstop (herd+vast)."""
        for caller, reply in self.pings:
            if caller.state != "gone":
                self.fill(caller, reply, answer)
        self.pings = []

    def hand_over(self) -> None:
        """Guards against forwards by a list that is old: a process that starts again is handed the list as
        it last had it, and a host may have begun to drain since, which discovery would tell at once if
        asked (a send to such a host 1.06 s after it drained, on herd+mass). Tasks taken while starting wait
        for the first list, or for `ready_ms` without one; those answered meanwhile stay answered. Hurts
        them by the time the watch takes to speak, some tens of milliseconds."""
        unheard, self.unheard = self.unheard, []
        for errand in unheard:
            if errand in self.errands:
                (self.refuse if self.lifecycle.refusing else self.gateway.handle_request)(errand)

    # Clients.

    def client_up(self, link: Any) -> None:
        caller = link.record = Caller(link, rested_at=self.now)
        self.callers[caller] = None
        self.counts["client_links"] += 1
        if len(self.callers) >= self.limits.client_links:
            self.make_room(1)
        if len(self.callers) > self.limits.client_over:
            self.counts["client_links_over"] += 1
            self.do(link.abort)
        elif len(self.callers) >= self.limits.client_most and not self.full:
            self.take_in(False)
            self.wake_at(self.now + self.limits.fresh_ms, "crowded")

    def make_room(self, most: int) -> None:
        """Guards against running out of descriptors: the clients' connections end that have asked nothing
        yet, then those that have rested longest. One that came or got an answer just now is left alone, as a
        command may be on its way; where there are only such, no more are taken in for a while. Hurts a client
        that opens connections before it needs them, or sends a command in pieces."""
        came, rested = self.now - self.limits.fresh_ms, self.now - self.limits.rest_ms
        idle = [
            caller
            for caller in self.callers
            if caller.state == "up"
            and not caller.queue
            and not caller.choked
            and caller.rested_at <= (rested if caller.spoke else came)
        ]
        for caller in sorted(idle, key=lambda caller: (caller.spoke, caller.rested_at))[:most]:
            self.do(caller.link.look, "client rested" if caller.spoke else "client silent")

    def client_silent(self, caller: Caller) -> None:
        if caller.state == "up" and not caller.spoke:
            self.counts["client_links_silent"] += 1
            caller.state, caller.closing_since = "closing", self.now
            self.do(caller.link.abort)

    def crowd(self) -> None:
        """While no more are taken in: room is made as fast as those that say nothing come."""
        if self.full:
            self.make_room(len(self.callers))
            self.wake_at(self.now + self.limits.fresh_ms, "crowded")

    def take_in(self, on: bool) -> None:
        self.full = not on
        self.do(self.doors.take_in, on)
        self.diary.event("taking in" if on else "full", clients=len(self.callers), requests=len(self.errands))

    def client_down(self, caller: Caller) -> None:
        caller.state = "gone"
        self.callers.pop(caller, None)
        if self.full and len(self.callers) < self.limits.client_most:
            self.take_in(True)
        for waiting in caller.queue:
            if isinstance(waiting, Errand) and waiting.answer is None:
                waiting.answer = b""
                self.counts["client_gone"] += 1
                self.gateway.client_disconnected(waiting)
                self.forget(waiting)
            elif waiting.answer is not None:
                self.held -= len(waiting.answer)
        caller.queue.clear()
        if self.lifecycle.shutting and not self.callers:
            self.inbox.append((self.mode, "idle"))

    def hang_up(self, caller: Caller) -> None:
        """Our side ends once all that was answered is written; how long that may take is the reader's bound,
        and from then on (`client_closed`) the client has to end its own."""
        caller.state, caller.closing_since, caller.closed_at = "closing", self.now, None
        self.do(caller.link.close)

    def client_closed(self, caller: Caller) -> None:
        """All is written, and our end with it."""
        caller.closed_at = self.now

    def client_rested(self, caller: Caller) -> None:
        if caller.state == "up" and not caller.queue:
            self.counts["client_links_rested"] += 1
            caller.state, caller.closing_since, caller.closed_at = "closing", self.now, self.now
            self.do(caller.link.end)

    def offer_end(self, caller: Caller) -> None:
        """While the process shuts: a connection that waits for nothing ends, unless bytes of the client's lie
        unread, which are read first. Guards requests that cross our end: one that we have read is
        answered."""
        if caller.state == "up" and not caller.queue:
            self.do(caller.link.look, "client idle")

    def client_idle(self, caller: Caller) -> None:
        if caller.state == "up" and not caller.queue and self.lifecycle.shutting:
            # Half a command, or a connection that has only just come: the rest may be on its way.
            # What half a command had of its time before the door shut does not count.
            if caller.link.half():
                since = max(self.lifecycle.shut_at, caller.rested_at)
            else:
                since = float("-inf") if caller.spoke else caller.rested_at
            if self.now - since > self.limits.fresh_ms:
                self.hang_up(caller)

    def command(self, caller: Caller, name: bytes) -> None:
        if caller.state != "up" or self.crowded(caller):
            return
        reply = Reply()
        caller.queue.append(reply)
        if name == b"PING":
            if self.state == "starting":
                self.pings.append((caller, reply))
            else:
                self.fill(caller, reply, CLOSING if self.lifecycle.shutting else PONG)
        elif name == b"INFO":
            self.fill(caller, reply, bulk(b"".join(b"%b:%d\r\n" % pair for pair in self.figures())))
        elif name in (b"CLIENT", b"SELECT"):
            self.fill(caller, reply, b"+OK\r\n")
        elif name in self.shown:
            self.fill(caller, reply, bulk(self.shown[name]()))
        else:
            self.fill(caller, reply, b"-ERR unknown command\r\n")

    def figures(self) -> list[tuple[bytes, int]]:
        """The counters, and how much is in hand now."""
        now = {"tasks_now": len(self.errands), "client_links_now": len(self.callers)}
        now |= {"host_links_now": self.host_links, "held_bytes_now": self.held}
        return [(name.encode(), number) for name, number in sorted({**self.counts, **now}.items())]

    def malformed(self, caller: Caller, why: str) -> None:
        self.counts["malformed"] += 1
        self.diary.event("malformed", why=why)
        if caller.state == "up":
            caller.state, caller.spoilt_since = "spoilt", self.now  # what came before is still answered
            reply = Reply()
            caller.queue.append(reply)
            self.fill(caller, reply, b"-ERR %b\r\n" % why.encode("ascii", "replace")[:200])

    def crowded(self, caller: Caller) -> bool:
        """Guards the memory against one connection with no end of commands behind a slow one."""
        if len(caller.queue) < 16 * self.limits.queue:
            return False
        self.malformed(caller, "too many commands wait")
        return True

    def asked(self, caller: Caller, ask: Ask) -> None:
        if caller.state != "up" or self.crowded(caller):
            return
        caller.spoke = True
        request_class, plan = self.request_classes.get(ask.request_class), self.plans.get(ask.plan)
        if request_class is None or plan is None:
            self.malformed(caller, "unknown product or plan")
            return
        kind = request_class.kind
        if ask.harmless != (kind is Idempotency.IDEMPOTENT) or (
            kind is Idempotency.KEYED and not ask.stamped
        ):
            self.malformed(caller, "not a command of this product")
            return
        if ask.id in self.ids:
            self.malformed(caller, "id in use")  # guards against answers for one that reach another
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
        errand = Errand(request_class, plan, customer, self.now, deadline, ask.units, ask.subset_size)
        errand.caller, errand.ask, errand.size, errand.subset_start = (
            caller,
            ask,
            ask.size(),
            ask.subset_start,
        )
        caller.queue.append(errand)
        self.errands[errand] = None
        self.ids[ask.id] = errand
        self.held += errand.size
        if (
            self.lifecycle.refusing
            or len(self.errands) > self.limits.requests
            or self.held > self.limits.held
            or len(caller.queue) > self.limits.queue
        ):
            # Guards the memory, and what is asked of a process that shuts, behind an answer that is still
            # due: it may be gone before this one is answered.
            self.refuse(errand)
            return
        # Guards against whatever leaves a task with nothing that will bring it back, as a fault in a decision
        # does: an error promises nothing, and comes in time.
        errand.alarm = self.wake_at(deadline + self.limits.margin_ms / 2, "forgotten", errand)
        if self.state == "starting":
            self.unheard.append(errand)
        else:
            self.gateway.handle_request(errand)

    def refuse(self, errand: Errand) -> None:
        """The decisions give it up, as one never forwarded."""
        self.gateway.account(errand).turn(self.now)
        errand.state = "over"
        self.gateway.give_up(errand)

    def forgotten(self, errand: Errand) -> None:
        self.counts["forgotten"] += 1
        self.diary.event("forgotten", state=errand.state, attempts=len(errand.attempts))
        errand.state = "over"
        self.fail(errand)

    def choked(self, caller: Caller) -> None:
        caller.choked = True

    def eased(self, caller: Caller) -> None:
        caller.choked, caller.unread = False, 0

    def fill(self, caller: Caller, waiting: Any, answer: bytes) -> None:
        """An answer is there; it leaves once those before it have left."""
        waiting.answer = answer
        queue = caller.queue
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
        caller.rested_at = self.now
        self.do(caller.link.send, data)
        if caller.choked:
            caller.unread += len(data)
            if caller.unread > self.limits.unread:
                self.counts["slow_readers"] += 1
                self.do(caller.link.abort)  # guards the memory against clients that read nothing
                return
        if not queue and caller.state == "spoilt":
            self.hang_up(caller)
        elif not queue and self.lifecycle.shutting:
            self.offer_end(caller)

    def finish(self, errand: Errand, answer: bytes) -> None:
        caller = errand.caller
        self.forget(errand)
        if caller.state in ("up", "spoilt"):
            self.fill(caller, errand, answer)

    def forget(self, errand: Errand) -> None:
        if errand in self.errands:
            del self.errands[errand], self.ids[errand.ask.id]
        self.held -= errand.size
        errand.size = 0
        if errand.alarm is not None:
            errand.alarm.off()

    # The door of the decisions.

    def send_attempt(self, attempt: Attempt, attempt_deadline: float | None) -> None:
        place, errand = attempt.host, attempt.request
        attempt_deadline = min(attempt_deadline or errand.deadline, errand.deadline)
        self.counts["forwards"] += 1
        # Guards against kept connections that are cut at their next use: a task that may not be sent again
        # gets one of its own while that has been seen of late. Hurts by a handshake. Else the longest at rest
        # goes first: who closes on us does so soon after an answer.
        wary = (
            errand.request_class.kind is Idempotency.NON_IDEMPOTENT
            and self.now - self.cut_at < self.limits.wary_ms
        )
        for lane in () if wary else place.idle:
            if self.limits.settle_ms <= self.now - lane.idle_since < self.limits.host_idle_ms:
                place.idle.remove(lane)
                lane.attempt, lane.attempt_deadline, lane.kept = attempt, attempt_deadline, True
                self.lanes[attempt] = lane
                lane.alarm = self.wake_at(attempt_deadline, "late", lane, attempt)
                advance(HOST_LINK, lane, "needed", self)
                return
        self.dial(place, attempt, attempt_deadline)

    def dial(self, place: Place, attempt: Attempt, attempt_deadline: float) -> None:
        lane = self.lanes[attempt] = Lane(place, "dialling", attempt, attempt_deadline)
        lane.alarm = self.wake_at(attempt_deadline, "late", lane, attempt)
        if self.host_links >= self.limits.host_links and not self.spare_link():
            self.inbox.append((self.host, lane, "no room"))
        else:
            self.host_links += 1
            self.counts["host_dials"] += 1
            self.do(self.doors.dial_host, lane, place.address)

    def reject(self, errand: Errand, retry_after_ms: float | None) -> None:
        self.counts["deferred"] += 1
        back = b"-BUSY %d\r\n" % max(1, round(retry_after_ms)) if retry_after_ms else b"-BUSY\r\n"
        self.finish(errand, back)

    def fail(self, errand: Errand) -> None:
        self.counts["errored"] += 1
        self.finish(errand, ERRORED)

    def cancel(self, attempt: Attempt) -> None:
        lane = self.lanes.get(attempt)
        if lane is not None:
            self.counts["withdrawn"] += 1
            self.inbox.append((self.host, lane, "withdrawn"))

    def call_counter(self, call: CounterCall) -> None:
        self.counts["calls"] += 1
        wire = self.wire(call.name % self.limits.counter_links)
        if not wire.waiting:
            wire.asked_at = self.now
        wire.waiting.append(call)
        if wire.state == "up":
            self.do(wire.link.send, tally(call.name, call.amount, call.ttl_ms))

    def start_timer(self, after_ms: float, why: object) -> None:
        self.wakes[why] = self.wake_at(self.now + after_ms, "woke", why)

    def woke(self, why: object) -> None:
        self.wakes.pop(why, None)
        self.gateway.timer_fired(why)

    def call_off(self, why: object) -> None:
        """The module would ignore this wake now, so nobody need be woken for it."""
        wake = self.wakes.pop(why, None)
        if wake is not None:
            wake.off()

    def log_decision(self, line: str) -> None:
        self.diary.event("decision", line=line)

    # Hosts.

    def host(self, lane: Lane, signal: str) -> None:
        advance(HOST_LINK, lane, signal, self)

    def host_down(self, lane: Lane) -> None:
        """It comes once for each dial, and only then is its descriptor free."""
        self.host_links -= 1
        advance(HOST_LINK, lane, "down", self)

    def host_up(self, lane: Lane, link: Any) -> None:
        lane.link = link
        advance(HOST_LINK, lane, "up", self)

    def host_answered(
        self, lane: Lane, clean: bool, outcome: Outcome, data: bytes, units: float, used: int
    ) -> None:
        attempt, before = lane.attempt, lane.state
        if not clean:
            self.counts["overfull"] += 1
        advance(HOST_LINK, lane, "answered" if clean else "overfull", self)
        if before == "out":
            self.ended(attempt, outcome, data, units, used)
        elif before == "writing":  # as a host does that has too many connections
            self.part(
                lane, Outcome.OVERLOADED if outcome is Outcome.OVERLOADED else Outcome.CONNECTION_FAILED
            )

    def host_malformed(self, lane: Lane, why: str) -> None:
        self.diary.event("host malformed", host=lane.place.address, why=why)
        advance(HOST_LINK, lane, "malformed", self)

    def host_begun(self, lane: Lane) -> None:
        """Guards against answers that begin and never end. It counts from the last bytes that came, as long
        answers on slow lines take their time; the whole is bounded, against answers that only trickle."""
        if lane.attempt is not None:
            after = self.now + self.limits.answer_ms
            self.wake_at(after, "stalled", lane, lane.attempt, lane.link.got, self.now)
        self.host(lane, "begun")

    def stalled(self, lane: Lane, attempt: Attempt, got: int, begun_at: float) -> None:
        if lane.attempt is not attempt or not lane.link.half():
            return
        if lane.link.got == got or self.now - begun_at > self.limits.answer_most_ms:
            self.host_malformed(lane, "answer not ended")
        else:
            self.wake_at(self.now + self.limits.answer_ms, "stalled", lane, attempt, lane.link.got, begun_at)

    def dial_anew(self, lane: Lane) -> None:
        self.counts["host_stale"] += 1
        self.do(lane.link.abort)
        lane.alarm.off()
        attempt, lane.attempt = lane.attempt, None
        self.dial(lane.place, attempt, lane.attempt_deadline)

    def late(self, lane: Lane, attempt: Attempt) -> None:
        if lane.attempt is attempt:
            advance(HOST_LINK, lane, "late", self)

    def ended(
        self, attempt: Attempt, outcome: Outcome, data: bytes = b"", units: float = 0.0, used: int = 0
    ) -> None:
        """A forward has its one outcome. An answer for a task that is over goes nowhere."""
        self.lanes.pop(attempt).alarm.off()
        self.call_off(attempt)
        errand = attempt.request
        self.counts["forward_" + outcome.value] += 1
        over = errand.answer is not None
        if outcome is Outcome.DONE and not over:
            self.counts["done"] += 1
            self.finish(errand, data)
            over = True
        self.gateway.attempt_finished(attempt, outcome, self.now - attempt.sent_at, over, units, used)

    def write(self, lane: Lane) -> str | None:
        """Guards against what changed while the connection came up: the client left or has its answer, the
        host began to drain, or the time is over in which a keyed request may be repeated. Nothing is sent
        then."""
        attempt, place = lane.attempt, lane.place
        errand, left_ms = attempt.request, lane.attempt_deadline - self.now
        if (
            errand.answer is not None
            or place.status is not EndpointStatus.READY
            or self.now >= attempt.send_before
        ):
            return "unwanted"
        self.do(lane.link.send, errand.ask.within(left_ms), len(errand.attempts) == 1)
        return None

    def unsent(self, lane: Lane) -> None:
        self.counts["unwanted"] += 1
        self.do(lane.link.abort)
        self.never_sent(lane)

    def rest(self, lane: Lane) -> str | None:
        lane.attempt, lane.idle_since = None, self.now
        if lane.place.status is EndpointStatus.READY and self.state != "ended":
            lane.place.idle.append(lane)
            return None
        return "aged"

    def never_ran(self, lane: Lane) -> None:
        self.part(lane, Outcome.CONNECTION_FAILED)

    def never_sent(self, lane: Lane) -> None:
        """Its time was over, or we had no connection for it: that says nothing of the host."""
        self.part(lane, Outcome.ABANDONED)

    def cut_short(self, lane: Lane) -> None:
        """Its last byte was not written, and now never will be."""
        self.do(lane.link.abort)
        self.part(lane, Outcome.CONNECTION_FAILED)

    def broken(self, lane: Lane) -> None:
        if lane.kept:
            self.cut_at = self.now
        self.part(lane, Outcome.RESET)

    def broke_off(self, lane: Lane) -> None:
        self.do(lane.link.abort)
        self.part(lane, Outcome.RESET)

    def timed_out(self, lane: Lane) -> None:
        self.do(lane.link.abort)
        self.part(lane, Outcome.TIMEOUT)
        self.suspect(lane.place)

    def called_off(self, lane: Lane) -> None:
        self.do(lane.link.abort)
        self.part(lane, Outcome.CANCELLED)
        self.suspect(lane.place)

    def part(self, lane: Lane, outcome: Outcome) -> None:
        attempt, lane.attempt = lane.attempt, None
        self.inbox.append((self.ended, attempt, outcome))

    def suspect(self, place: Place) -> None:
        """Guards against connections that look open and lead nowhere, as after a machine vanished: those that
        wait at a host that left a forward unanswered are closed, so that the next forward there dials and,
        where it does not come up, provably never ran. Hurts a slow host by some handshakes."""
        idle, place.idle = place.idle, []
        for lane in idle:
            advance(HOST_LINK, lane, "aged", self)

    def drop(self, lane: Lane) -> None:
        self.do(lane.link.abort)
        self.forget_lane(lane)

    def abort(self, record: Any) -> None:
        self.do(record.link.abort)

    def forget_lane(self, lane: Lane) -> None:
        if lane in lane.place.idle:
            lane.place.idle.remove(lane)

    def spare_link(self) -> bool:
        """Guards against running out of descriptors: an idle connection elsewhere makes room."""
        for place in self.places.values():
            if place.idle:
                advance(HOST_LINK, place.idle[0], "aged", self)
                return True
        return False

    # The counter.

    def wire(self, number: int) -> Wire:
        """The connection in use for these names: one for a name, so that its totals come in order."""
        wire = self.wires[number]
        if wire is None:
            wire = self.wires[number] = Wire(number)
            self.counts["counter_dials"] += 1
            self.do(self.doors.dial_counter, wire)
        return wire

    def calls(self, calls: list[CounterCall]) -> None:
        """Calls that no task asked for (presence at the counter)."""
        for call in calls:
            self.call_counter(call)

    def counter(self, wire: Wire, signal: str) -> None:
        advance(COUNTER_LINK, wire, signal, self)

    def counter_up(self, wire: Wire, link: Any) -> None:
        wire.link = link
        advance(COUNTER_LINK, wire, "up", self)

    def counter_answered(self, wire: Wire, outcome: Outcome, total: float | None) -> None:
        if not wire.waiting or (wire.waiting[0] is None) != (total is None):
            self.counter_spoilt(wire, "answer out of turn")
            return
        wire.heard_at = self.now
        call = wire.waiting.popleft()
        if call is not None:
            self.counts["call_" + outcome.value] += 1
            self.call_off(call)
            self.gateway.counter_call_finished(call, outcome, total)
        if not wire.waiting:
            advance(COUNTER_LINK, wire, "emptied", self)

    def counter_spoilt(self, wire: Wire, why: str) -> None:
        self.diary.event("counter spoilt", waiting=len(wire.waiting), why=why)
        advance(COUNTER_LINK, wire, "spoilt", self)

    def counter_begun(self, wire: Wire) -> None:
        """Guards against answers that begin and never end, as at the hosts."""
        self.wake_at(self.now + self.limits.total_ms, "counter stalled", wire, wire.heard_at)

    def counter_stalled(self, wire: Wire, heard_at: float) -> None:
        if wire.heard_at == heard_at and wire.link.half():
            self.counter_spoilt(wire, "answer not ended")

    def added(self, wire: Wire) -> None:
        """Guards against answers without a total: the call was made, and the connection is of no further use.
        What waits behind it may have been added or may not."""
        self.do(wire.link.abort)
        call = wire.waiting.popleft() if wire.waiting else None
        if call is not None:
            self.counts["call_spoilt"] += 1
            self.call_off(call)
            self.inbox.append((self.gateway.counter_call_finished, call, Outcome.ERROR, 0.0))
        self.lost(wire, Outcome.RESET)

    def flush(self, wire: Wire) -> None:
        wire.heard_at = self.now
        calls = [tally(call.name, call.amount, call.ttl_ms) for call in wire.waiting]
        if calls:
            self.do(wire.link.send, b"".join(calls))

    def never_added(self, wire: Wire) -> None:
        self.lost(wire, Outcome.CONNECTION_FAILED)

    def unknown(self, wire: Wire) -> None:
        self.lost(wire, Outcome.RESET)

    def close_old(self, wire: Wire) -> None:
        self.old_wires.pop(wire, None)
        self.do(wire.link.abort)

    def unknown_abort(self, wire: Wire) -> None:
        self.do(wire.link.abort)
        self.lost(wire, Outcome.RESET)

    def lost(self, wire: Wire, outcome: Outcome) -> None:
        for call in wire.waiting:
            if call is not None:
                self.counts["call_" + outcome.value] += 1
                self.call_off(call)
                self.inbox.append((self.gateway.counter_call_finished, call, outcome, 0.0))
        wire.waiting.clear()
        self.old_wires.pop(wire, None)
        if self.wires[wire.number] is wire:
            self.wires[wire.number] = None
            if wire.number not in self.redials:
                # Guards against a storm of dials while the counter is away: a call dials too, and each dial
                # that failed would bring one more.
                self.redials.add(wire.number)
                self.wake_at(self.now + 5 * self.limits.redial_ms, "counter due", wire.number)

    def wire_due(self, number: int) -> None:
        self.redials.discard(number)
        self.wire(number)

    def replace(self, wire: Wire) -> None:
        """Guards against a connection that has gone silent, by death or by a long queue, and against a
        counter that moves: calls go on over a new one, and the old one is kept for late totals. Hurts a slow
        counter by some connections."""
        self.diary.event("counter replaced", waiting=len(wire.waiting), heard_ms_ago=self.now - wire.heard_at)
        wire.old_since, self.old_wires[wire] = self.now, None
        self.wires[wire.number] = None
        self.wire(wire.number)
        if len(self.old_wires) > self.limits.counter_old:
            advance(COUNTER_LINK, next(iter(self.old_wires)), "lingered", self)
        if not wire.waiting:
            advance(COUNTER_LINK, wire, "emptied", self)

    def dial_there(self, wire: Wire) -> None:
        """Nothing of its calls was written, so they go where the new one leads."""
        self.wires[wire.number] = None
        self.wire(wire.number).waiting = wire.waiting
        wire.waiting = deque()

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
            place = self.places.get(entry.name)
            if place is None:
                if entry.status is EndpointStatus.GONE:
                    continue
                place = self.places[entry.name] = Place(address=entry.address, name=entry.name)
            if entry.started_at > place.started_at or (entry.address and entry.address != place.address):
                place.address = entry.address or place.address
                self.suspect(place)  # connections to a process that is no more
            sightings.append(
                EndpointUpdate(
                    place, entry.size, entry.make, entry.zone, entry.cell, entry.started_at, entry.status
                )
            )
        self.gateway.update_endpoints(sightings, listing.whole)
        for name, place in list(self.places.items()):
            if place.idle and place.status is not EndpointStatus.READY:
                self.suspect(place)
            if place.status is EndpointStatus.GONE and not place.health.outs:
                del self.places[name]  # guards the memory, as hosts come and go under new names
        if self.judge is not None:
            self.judge.update_hosts(self.places, self.now)

    def newer_list(self, version: int) -> None:
        """Another gateway has a newer list than ours: the watch opens again, unless it has come meanwhile."""
        if version > self.watch.version:
            self.discovery.signal(self.watch, "moved")

    # A new file.

    def moved(self, counter: bool, discovery: bool) -> None:
        """The file names other addresses. What is open to one that stays is kept; the counter's old
        connections are kept as long as they last, for the totals they still owe."""
        for wire in self.wires if counter else ():
            if wire is not None:
                advance(COUNTER_LINK, wire, "moved", self)
        if discovery:
            self.discovery.signal(self.watch, "moved")

    # Now and then.

    def sweep(self) -> None:
        now, limits = self.now, self.limits
        for wire in self.wires:
            if wire is None or wire.state != "up":
                continue
            if wire.waiting and now - max(wire.heard_at, wire.asked_at) > limits.counter_silence_ms:
                advance(COUNTER_LINK, wire, "silent", self)
            elif not wire.waiting and now - wire.heard_at > limits.counter_ping_ms:
                wire.asked_at = now
                wire.waiting.append(None)
                self.do(wire.link.send, PING)
        for wire in list(self.old_wires):
            if now - wire.old_since > limits.counter_linger_ms:
                advance(COUNTER_LINK, wire, "lingered", self)
        self.discovery.sweep()
        for place in self.places.values():
            while place.idle and now - place.idle[0].idle_since > limits.host_idle_ms:
                advance(HOST_LINK, place.idle[0], "aged", self)
        for caller in list(self.callers):
            self.look_at(caller)
        self.wake_at(now + limits.sweep_ms, "sweep")

    def look_at(self, caller: Caller) -> None:
        """Guards against clients that do not close their side, keep half a command for ever, say nothing, or
        keep a connection that they need no more."""
        now, limits = self.now, self.limits
        if caller.state == "closing":
            unwritten = caller.closed_at is None
            if unwritten and now - caller.closing_since > limits.flush_ms:
                self.counts["slow_readers"] += 1
                self.do(caller.link.abort)
            elif not unwritten and now - caller.closed_at > limits.close_ms:
                self.do(caller.link.abort)
            else:
                self.do(caller.link.read_on)
        elif caller.state == "spoilt":
            self.do(caller.link.read_on)
            if now - caller.spoilt_since > limits.spoilt_ms:
                for waiting in list(caller.queue):
                    if isinstance(waiting, Errand) and waiting.answer is None:
                        self.gateway.client_disconnected(waiting)
                        self.fail(waiting)
        elif caller.choked:
            caller.half_since = 0.0  # what it sent waits until it reads: no half command, and no rest
        elif self.lifecycle.shutting and not caller.queue:
            self.offer_end(caller)
        elif not caller.link.half():
            caller.half_since = 0.0
            patience = limits.rest_ms if caller.spoke else limits.half_ms
            if not caller.queue and now - caller.rested_at > patience:
                # No word, which a task on its way might take for its answer.
                self.do(caller.link.look, "client rested")
        elif not caller.half_since or caller.got != caller.link.got:
            # Guards long commands on slow lines: it counts from the last bytes that came; the whole is
            # bounded.
            caller.half_since, caller.got = caller.half_since or now, caller.link.got
            caller.moved_at = now
            if now - caller.half_since > limits.half_most_ms:
                self.malformed(caller, "command not ended")
        elif now - caller.moved_at > limits.half_ms:
            self.malformed(caller, "command not ended")


INPUTS = {
    "start": Reducer.start,
    "mode": Reducer.mode,
    "sweep": Reducer.sweep,
    "crowded": Reducer.crowd,
    "woke": Reducer.woke,
    "client up": Reducer.client_up,
    "client down": Reducer.client_down,
    "client silent": Reducer.client_silent,
    "client rested": Reducer.client_rested,
    "client idle": Reducer.client_idle,
    "client closed": Reducer.client_closed,
    "client choked": Reducer.choked,
    "client eased": Reducer.eased,
    "asked": Reducer.asked,
    "forgotten": Reducer.forgotten,
    "command": Reducer.command,
    "malformed": Reducer.malformed,
    "host up": Reducer.host_up,
    "host down": Reducer.host_down,
    "host answered": Reducer.host_answered,
    "host malformed": Reducer.host_malformed,
    "host begun": Reducer.host_begun,
    "host stale": lambda self, lane: self.host(lane, "stale"),
    "stalled": Reducer.stalled,
    "written": lambda self, lane: self.host(lane, "written"),
    "late": Reducer.late,
    "calls": Reducer.calls,
    "counter up": Reducer.counter_up,
    "counter down": lambda self, wire: self.counter(wire, "down"),
    "counter answered": Reducer.counter_answered,
    "counter spoilt": Reducer.counter_spoilt,
    "counter begun": Reducer.counter_begun,
    "counter stalled": Reducer.counter_stalled,
    "counter due": Reducer.wire_due,
    "watch up": lambda self, watch, link: self.discovery.up(watch, link),
    "watch down": lambda self, watch: self.discovery.signal(watch, "down"),
    "watch begun": lambda self, watch: self.discovery.begun(watch),
    "watch spoilt": lambda self, watch, why: self.discovery.spoilt(watch, why),
    "watch due": lambda self: self.discovery.due(),
    "listed": Reducer.listed,
    "moved": Reducer.moved,
    "newer list": Reducer.newer_list,
}
