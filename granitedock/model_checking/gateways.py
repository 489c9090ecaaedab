"""A small world of gateways: the program's own state machines, between parties that may do anything.

Each gateway is a real `GatewayStateMachine` with its policy. What is modelled is the outside: connections
that come up or not, hosts that answer in any way they can, a counter, clients, a list that says that a host
drains, gateways that are killed or stopped, and a clock that goes from one due wake to the next. What is due
may come in any order; what is out of the ordinary costs one of `faults`. Time does not pass while something
is due, unless it was made late. The rules are told from the outside (`violations`).
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

from granitedock.lab.load.rule_checks import CEILING_SLACK_S, GRACE_S, SLACK_S
from granitedock.model_checking.explore import Move
from granitedock.model_checking.shared_objects import pickle_by_name, register, register_factory
from granitedock.model_checking.state_digest import state_digest
from granitedock.policy.types import (
    EndpointStatus,
    GatewayIdentity,
    Outcome,
    PermittedFeatures,
    Plan,
    RequestClass,
    SlowStart,
)
from granitedock.service.client_protocol import parse_request
from granitedock.service.discovery_protocol import EndpointEntry, EndpointListUpdate
from granitedock.service.dispatcher import GatewayParameters, GatewayStateMachine
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import LifecycleEvent
from granitedock.service.limits import Limits
from granitedock.service.resp import encode_command

START = 1_000_000.0  # Unix ms, where a window of the plan begins
HORIZON_MS = 2600.0  # time stands still after this: past every cut-off, and a drain's grace
LEFT_MS = 1000
QUOTED_MS, REMEMBERED_MS = 400, 300
VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
KINDS = {"read": "safe", "mark": "keyed", "once": "unsafe"}
CEILING = {"rate": 2.0, "burst": 1.0, "slack": 1.0}  # units a second, at once, beyond
CUSTOMERS = {"p": 161, "c": 162, "free": 163}  # by plan; `c` is the one with a ceiling

# What may come of each thing that is due: the ordinary way first, then those that cost a fault.
OUTCOMES = {
    "ask": ("asked",),
    "dial": ("up", "refused", "half"),  # half: it ends before the task's last byte is written
    "answer": ("value", "error", "busy", "reset"),
    "total": ("total", "busy", "lost"),  # lost: added, and the connection ends with no total
    "wire": ("up", "refused"),
    "list": ("told",),
}
ENDINGS = {"value": Outcome.DONE, "error": Outcome.ERROR, "busy": Outcome.OVERLOADED}
DISCONNECTED = {
    "client": Input.CLIENT_DISCONNECTED,
    "host": Input.HOST_DISCONNECTED,
    "counter": Input.COUNTER_DISCONNECTED,
    "watch": Input.WATCH_DISCONNECTED,
}


@dataclass(frozen=True, slots=True)
class Shape:
    """How small the world is. `tasks`: a product for each, `read`, `mark` or `once`, with a ! for a customer
    under a ceiling; they come to the gateways in turn. `warm`: so many tasks were served at once by each
    gateway before, so that it keeps connections and takes hosts for fast, and withdraws what hangs."""

    gateways: int = 2
    hosts: int = 2
    tasks: tuple[str, ...] = ("once", "mark", "read")
    faults: int = 1
    warm: int = 0

    def settings(self, me: int) -> dict[str, Any]:
        return {
            "Me": me,
            "Balancers": self.gateways,
            "Lanes": [
                {
                    "Name": name,
                    "Repeat": repeat,
                    "TargetMs": QUOTED_MS,
                    "GiveUpMs": LEFT_MS,
                    "Worth": 1,
                    "WindowMs": REMEMBERED_MS if repeat == "keyed" else 0,
                }
                for name, repeat in KINDS.items()
            ],
            "Tariffs": [
                {"Name": "p", "Refill": 2, "MostAtOnce": 2},
                {"Name": "free", "Refill": 0, "MostAtOnce": 0},
                {
                    "Name": "c",
                    "Refill": 4,
                    "MostAtOnce": 4,
                    "CeilingRate": CEILING["rate"],
                    "CeilingBurst": CEILING["burst"],
                    "Tolerance": CEILING["slack"],
                },
            ],
            "Allowed": {"MaxAttempts": 3, "Cancel": True, "ConnIdleMs": 60_000, "ConnectTimeoutMs": 250},
            "Safety": {"ColdFrom": 0.2, "ColdMs": 0, "OverloadFactor": 2, "TipAfterMs": 1000},
            "Specifics": {"Counter": True, "MaxUnits": 4},
        }

    def limits(self, me: int) -> Limits:
        """The program's own, but for sweeps, which are as far apart as shows all that they do, and for one
        connection to the counter."""
        told = Limits.from_platform_file({"settings": self.settings(me)})
        return replace(told, sweep_ms=500.0, counter_links=1)


class Diary:
    """The state machine's event log: its counters, and nothing kept."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def event(self, event: str, **figures: Any) -> None:
        """Nobody reads it here."""


@dataclass(eq=False, slots=True)
class Link:
    """A connection as the state machine sees it: what it is asked goes to the gateway it belongs to."""

    gate: Gate
    kind: str
    record: Any = None
    open: bool = True
    deaf: bool = False  # nothing written to it arrives whole
    carries: tuple[str, int] | None = None  # the forward that is out on it
    got: int = 0

    def send(self, data: bytes, at_once: bool = True) -> None:
        if self.kind == "client":
            self.gate.world.answered(self.record, data)
        elif self.kind == "counter":
            self.gate.world.called(self.gate, self.record)
        elif not self.deaf:
            self.gate.world.sent(self.gate, self)

    def abort(self) -> None:
        """Its end comes back as an input, once, as from a socket."""
        if self.open:
            self.ends("withdrawn")
            if self.kind == "counter":
                self.gate.world.forget_totals(self.record)
            self.gate.soon.append((DISCONNECTED[self.kind], self.record))

    end = close = abort

    def ends(self, how: str) -> None:
        self.open = False
        if self.carries is not None:
            self.gate.world.over(self.gate.number, *self.carries, how)

    def half(self) -> bool:
        return False

    def look(self, then: Input) -> None:
        """There is never a command that lies unread here."""
        if self.open:
            self.gate.soon.append((then, self.record))

    def read_on(self) -> None:
        """All is read here."""

    def lies_unread(self) -> bool:
        return False


@dataclass(slots=True)
class Job:
    """A task as its client and the hosts know it. `forwards`, by number: (host, when written, when over or
    None, how)."""

    request_class: str
    gateway: int
    plan: str = "p"
    sent_at: float = -1.0
    answers: list[tuple[float, str]] = field(default_factory=list)
    attempts: dict[int, list[Any]] = field(default_factory=dict)
    orphan: bool = False  # its gateway was killed: nothing is owed
    connection: Any = None  # its connection, as the state machine knows it


class Gate:
    """One gateway process, with the wakes that it wants."""

    def __init__(self, world: Small, number: int) -> None:
        self.world, self.number, self.up = world, number, True
        self.wakes: list[tuple[float, int, Any]] = []
        self.made = self.calls = 0
        self.soon: list[tuple] = []
        shape = world.shape
        known = EndpointListUpdate(1, True, world.entries())
        self.state_machine = GatewayStateMachine(
            GatewayParameters(
                world.now, shape.limits(number), shape.settings(number), 7 + number, known, self, Diary()
            )
        )
        # Its customers are kept by weak references, which no copy of a state keeps.
        machine = self.state_machine
        machine.requests.customers = {}
        policy = machine.policy
        parts = [("limits", machine.context.limits), ("permitted", policy.permitted)]
        parts += [("slow start", policy.load_balancer.slow_start.settings)]
        parts += [
            *machine.requests.request_classes.items(),
            *(("plan " + name, plan) for name, plan in machine.requests.plans.items()),
        ]
        register("gateways", shape, number, parts)
        self.tell(Input.START)
        watch = self.state_machine.watch
        self.tell(Input.WATCH_CONNECTED, watch, Link(self, "watch", watch))
        self.tell(Input.ENDPOINTS_RECEIVED, watch, known)

    def tell(self, *happened: Any) -> None:
        """One input, its effects, and what they bring about at once."""
        self.soon.append(happened)
        while self.soon:
            name, *what = self.soon.pop(0)
            for act, *how in self.state_machine.handle(self.world.now, name, *what):
                act(*how)

    # What the state machine asks for (`GatewayIO`).

    def start_timer(self, timer: Any) -> None:
        self.made += 1
        heapq.heappush(self.wakes, (timer.due, self.made, timer))

    def connect_host(self, connection: Any, address: str) -> None:
        self.world.due[("dial", self.number, *self.world.about(connection.attempt))] = connection

    def connect_counter(self, connection: Any) -> None:
        self.world.due[("wire", self.number, connection.number)] = connection

    def connect_watch(self, watch: Any) -> None:
        """It comes up by hand, at the start; the horizon lies before any other."""

    def accept_connections(self, on: bool) -> None:
        """There is room for every client here."""

    def stop_listening(self) -> None:
        """Nobody comes after a stop here."""

    def stop_process(self) -> None:
        self.up = False

    def next_wake(self) -> float:
        while self.wakes and self.wakes[0][2].input is None:
            heapq.heappop(self.wakes)
        return self.wakes[0][0] if self.wakes else float("inf")


class Small:
    """The world. Moves are tuples: ("due", WHAT, ..., OUTCOME), ("late", WHAT, ...), ("time",),
    ("kill", gateway), ("stop", gateway), ("drain", host)."""

    def __init__(self, shape: Shape) -> None:
        self.shape, self.now, self.left = shape, START, shape.faults
        self.wrong: list[str] = []
        self.draining: dict[int, dict[int, float]] = {}  # by gateway and host, since when it was told
        self.jobs: dict[str, Job] = {}
        self.due: dict[tuple, Any] = {}  # what may come now, by a name that every way there gives it
        self.late: dict[tuple, Any] = {}  # and what was made late
        self.totals: dict[int, float] = {}
        self.gates = [Gate(self, number) for number in range(shape.gateways)]
        for name in list(self.due):
            if name[0] == "wire":
                self.play(("due", *name, "up"))
        for number in range(shape.warm * shape.gateways):
            self.client(f"w{number}", "read", number % shape.gateways, "free")
        while self.due:
            name = min(self.due)
            self.play(("due", *name, OUTCOMES[name[0]][0]))
        if shape.warm:
            self.jobs.clear()
            self.now += 10.0  # kept connections rest for a moment
        for number, request in enumerate(shape.tasks):
            plan = "c" if request.endswith("!") else "p"
            self.client(f"t{number}", request.rstrip("!"), number % shape.gateways, plan)

    def entries(self, draining: int = -1) -> list[EndpointEntry]:
        return [
            EndpointEntry(
                f"h{n}",
                f"h{n}:1",
                1.0,
                "",
                "",
                0,
                0.0,
                EndpointStatus.DRAINING if n == draining else EndpointStatus.READY,
            )
            for n in range(self.shape.hosts)
        ]

    def client(self, name: str, request_class: str, gateway: int, plan: str) -> None:
        self.jobs[name] = Job(request_class, gateway, plan)
        self.due[("ask", gateway, name)] = None

    @staticmethod
    def about(attempt: Any) -> tuple[str, int]:
        return attempt.request.parsed.id.decode(), len(attempt.request.attempts)

    # What may happen.

    def moves(self) -> list[Move]:
        if self.wrong:
            return []
        found: list[Move] = []
        due = [name for name in sorted(self.due) if self.ready(name, self.due[name])]
        for name in due:
            outcomes = OUTCOMES[name[0]]
            found += [("due", *name, outcome) for outcome in (outcomes if self.left else outcomes[:1])]
            if self.left:
                found.append(("late", *name))
        late = [name for name in sorted(self.late) if self.ready(name, self.late[name])]
        found += [("due", *name, OUTCOMES[name[0]][0]) for name in late]
        if self.left:
            for gate in self.gates:
                if gate.up and self.owed(gate):
                    found += [("kill", gate.number), ("stop", gate.number)]
            if not self.draining and any(self.owed(gate) for gate in self.gates):
                found += [("drain", host) for host in range(self.shape.hosts)]
        waits = bool(late) or any(map(self.owed, self.gates))
        if not due and waits and self.now < START + HORIZON_MS and any(gate.up for gate in self.gates):
            found.append(("time",))
        return found

    @staticmethod
    def ready(name: tuple, thing: Any) -> bool:
        """Answers of the counter come in the order of its calls."""
        return name[0] != "total" or thing[0].waiting[0] is thing[1]

    def owed(self, gate: Gate) -> bool:
        """Whether a client waits for this gateway, or is to come."""
        return gate.up and any(
            job.gateway == gate.number and not job.answers and not job.orphan for job in self.jobs.values()
        )

    def play(self, move: Move) -> None:
        what, *which = move
        if what == "due":
            *name, outcome = which
            thing = (self.due if tuple(name) in self.due else self.late).pop(tuple(name))
            self.left -= outcome != OUTCOMES[name[0]][0]
            getattr(self, f"on_{name[0]}")(outcome, thing, *name[1:])
        elif what == "late":
            self.left -= 1
            self.late[tuple(which)] = self.due.pop(tuple(which))
        elif what == "time":
            self.pass_time()
        else:
            self.left -= 1
            getattr(self, what)(*which)

    def pass_time(self) -> None:
        """To the next wake of any gateway, and all that is due then there."""
        gate = min((gate for gate in self.gates if gate.up), key=Gate.next_wake)
        self.now = max(self.now, gate.next_wake())
        while gate.up and gate.next_wake() <= self.now:
            timer = heapq.heappop(gate.wakes)[2]
            gate.tell(timer.input, *timer.arguments)

    def on_ask(self, outcome: str, _: Any, gateway: int, name: str) -> None:
        gate, job = self.gates[gateway], self.jobs[name]
        if not gate.up:
            job.orphan = True
            return
        text = f"c={job.request_class},t={job.plan},d={LEFT_MS},units=1,spread={self.shape.gateways},first=0"
        words = [
            b"API.READ" if KINDS[job.request_class] == "safe" else b"API.WRITE",
            b"%016x" % CUSTOMERS[job.plan],
            name.encode(),
            (text + ",k=1" * (KINDS[job.request_class] == "keyed")).encode(),
        ]
        job.sent_at = self.now
        link = Link(gate, "client")
        gate.tell(Input.CLIENT_CONNECTED, link)
        job.connection = link.record
        parts = encode_command(*words).split(b"\r\n")[:-1]
        gate.tell(
            Input.REQUEST_RECEIVED,
            link.record,
            parse_request(words, parts, gate.state_machine.context.limits),
        )

    def on_dial(self, outcome: str, connection: Any, gateway: int, request: str, number: int) -> None:
        gate = self.gates[gateway]
        if outcome == "refused":
            gate.tell(Input.HOST_DISCONNECTED, connection)
            return
        link = Link(gate, "host", connection, deaf=outcome == "half")
        gate.tell(Input.HOST_CONNECTED, connection, link)
        if link.deaf and link.open:
            link.open = False
            gate.tell(Input.HOST_DISCONNECTED, connection)

    def sent(self, gate: Gate, link: Link) -> None:
        """A forward's bytes leave; they arrive whole."""
        connection = link.record
        request, number = link.carries = self.about(connection.attempt)
        job, host = self.jobs[request], int(connection.endpoint.name[1:])
        if job.answers:
            self.wrong.append(f"rule 1: {request} was sent to h{host} after its answer")
        self.effects(request, job)
        told = self.draining.get(gate.number, {}).get(host)
        if told is not None and self.now > told + 1000 * (GRACE_S + SLACK_S):
            self.wrong.append(f"rule 3: {request} was sent to h{host}, which drains")
        job.attempts[number] = [host, self.now, None, "out"]
        self.due[("answer", gate.number, request, number)] = link
        gate.soon.append((Input.HOST_REQUEST_WRITTEN, connection))
        self.ceiling()

    def effects(self, request: str, job: Job) -> None:
        """Rule 2, before another forward of the task goes out."""
        repeat = KINDS[job.request_class]
        for host, at, over, how in job.attempts.values():
            if over is None:
                self.wrong.append(f"rule 2: {request} is out at h{host} already")
            if how == "busy" or repeat == "safe":
                continue
            if repeat == "unsafe" or self.now > at + REMEMBERED_MS + 1000 * SLACK_S:
                self.wrong.append(f"rule 2: {request} ({job.request_class}) may have run at h{host}")

    def ceiling(self) -> None:
        """Rule 5: one customer's first forwards, over all gateways."""
        full = CEILING["burst"] + CEILING["slack"] + CEILING["rate"] * CEILING_SLACK_S
        level, before = full, START
        under = [job for job in self.jobs.values() if job.plan == "c" and job.attempts]
        firsts = sorted(min(row[1] for row in job.attempts.values()) for job in under)
        for at in firsts:
            level, before = min(full, level + CEILING["rate"] * (at - before) / 1000.0) - 1.0, at
            if level < 0:
                self.wrong.append(f"rule 5: over the ceiling by {-level:.2f} units")

    def over(self, gateway: int, request: str, number: int, how: str) -> None:
        """The forward is out no more: it was answered, or its connection ended."""
        row = self.jobs[request].attempts[number]
        if row[2] is None:
            row[2], row[3] = self.now, how
        for pending in (self.due, self.late):
            pending.pop(("answer", gateway, request, number), None)

    def on_answer(self, outcome: str, link: Link, gateway: int, request: str, number: int) -> None:
        gate = self.gates[gateway]
        if outcome == "reset":
            link.ends(outcome)
            gate.tell(Input.HOST_DISCONNECTED, link.record)
        else:
            self.over(gateway, request, number, outcome)
            link.carries = None
            gate.tell(Input.HOST_RESPONSE, link.record, True, ENDINGS[outcome], VALUE, 0.0, 0)

    def on_wire(self, outcome: str, connection: Any, gateway: int, number: int) -> None:
        gate = self.gates[gateway]
        if outcome == "refused":
            gate.tell(Input.COUNTER_DISCONNECTED, connection)
        else:
            gate.tell(Input.COUNTER_CONNECTED, connection, Link(gate, "counter", connection))

    def called(self, gate: Gate, connection: Any) -> None:
        """What was written to the counter and has no answer yet."""
        known = [call for pending in (self.due, self.late) for name, (_, call) in totals(pending)]
        for call in connection.waiting:
            if call not in known:
                gate.calls += 1
                self.due[("total", gate.number, gate.calls)] = (connection, call)

    def on_total(self, outcome: str, thing: tuple[Any, Any], gateway: int, number: int) -> None:
        gate, (connection, call) = self.gates[gateway], thing
        if outcome == "busy":
            gate.tell(Input.COUNTER_REPLY, connection, Outcome.OVERLOADED, 0.0)
            return
        self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
        if outcome == "total":
            gate.tell(Input.COUNTER_REPLY, connection, Outcome.DONE, self.totals[call.name])
        else:
            connection.link.open = False
            self.forget_totals(connection)
            gate.tell(Input.COUNTER_DISCONNECTED, connection)

    def forget_totals(self, connection: Any) -> None:
        """Its connection has ended: what waits behind was not added, and is never answered."""
        for pending in (self.due, self.late):
            for name, (owner, _) in totals(pending):
                if owner is connection:
                    del pending[name]

    def answered(self, connection: Any, data: bytes) -> None:
        """What a client reads: its one answer, of the task that it asked."""
        name, job = next((name, job) for name, job in self.jobs.items() if job.connection is connection)
        kind = "deferred" if data.startswith(b"-BUSY") else "errored" if data.startswith(b"-") else "done"
        count = data.count(VALUE) if kind == "done" else data.count(b"\r\n")
        job.answers += [(self.now, kind)] * count
        if len(job.answers) > 1:
            self.wrong.append(f"rule 1: {name} was answered {len(job.answers)} times")
        if self.now > job.sent_at + LEFT_MS + 1000 * SLACK_S:
            self.wrong.append(f"rule 1: {name} was answered late")
        ran = [row for row in job.attempts.values() if row[3] != "busy"]
        if kind == "deferred" and ran:
            repeat, since = KINDS[job.request_class], self.now - ran[0][1]
            if repeat == "unsafe" or (repeat == "keyed" and since > REMEMBERED_MS + 1000 * SLACK_S):
                self.wrong.append(f"rule 2: {name} ({job.request_class}) may have run and was deferred")

    # Faults.

    def kill(self, gateway: int) -> None:
        """Its connections end; what it held is no longer owed. Clients of what may run again come to another
        gateway with it, as a new task."""
        gate = self.gates[gateway]
        gate.up, gate.wakes, gate.soon = False, [], []
        for name, job in list(self.jobs.items()):
            if job.gateway != gateway or job.answers:
                continue
            job.orphan = True
            for row in job.attempts.values():
                if row[2] is None:
                    row[2], row[3] = self.now, "reset"
            if KINDS[job.request_class] != "unsafe" and self.shape.gateways > 1:
                self.client(f"{name}r", job.request_class, (gateway + 1) % self.shape.gateways, job.plan)
        for pending in (self.due, self.late):
            for name in [name for name in pending if name[1] == gateway]:
                del pending[name]

    def stop(self, gateway: int) -> None:
        """SIGTERM: it answers what it has, and takes what still comes for a while."""
        self.gates[gateway].tell(Input.LIFECYCLE, LifecycleEvent.TERMINATE)

    def drain(self, host: int) -> None:
        """Discovery says so; each gateway hears of it in its own time."""
        self.draining = {gate.number: {} for gate in self.gates}
        for gate in self.gates:
            if gate.up:
                self.due[("list", gate.number, host)] = None

    def on_list(self, outcome: str, _: Any, gateway: int, host: int) -> None:
        gate = self.gates[gateway]
        if gate.up:
            self.draining[gateway][host] = self.now
            gate.tell(
                Input.ENDPOINTS_RECEIVED,
                gate.state_machine.watch,
                EndpointListUpdate(2, True, self.entries(host)),
            )

    # What is asked of a world.

    def violations(self) -> list[str]:
        """What does not hold. At an end, each task that came to a gateway that lives has its answer."""
        found = list(self.wrong)
        if not found and not self.moves():
            for name, job in self.jobs.items():
                if job.sent_at >= 0 and not job.answers and not job.orphan:
                    found.append(f"rule 1: {name} was never answered")
        return found

    def digest(self) -> bytes:
        state = [self.now, self.left, self.draining, sorted(self.jobs), self.totals]
        jobs = [self.jobs[name] for name in sorted(self.jobs)]
        pending = [(name, pending[name]) for pending in (self.due, self.late) for name in sorted(pending)]
        gates = [
            (gate.up, gate.state_machine if gate.up else None, sorted_wakes(gate)) for gate in self.gates
        ]
        return state_digest(state, jobs, gates, sorted(self.late), pending)


pickle_by_name(Limits, RequestClass, Plan, PermittedFeatures, SlowStart, GatewayIdentity)
register_factory("gateways", Small)


def totals(pending: dict[tuple, Any]) -> list[tuple[tuple, Any]]:
    return [(name, thing) for name, thing in pending.items() if name[0] == "total"]


def sorted_wakes(gate: Gate) -> list[tuple]:
    """What it will be woken for, in order of time; the order in which they were asked for tells nothing."""
    live = [timer for _, _, timer in sorted(gate.wakes, key=lambda item: item[:2]) if timer.input is not None]
    return [(timer.due, timer.input, timer.arguments) for timer in live] if gate.up else []
