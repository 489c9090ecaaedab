"""The simulator's wire: batches in, replies out. Ids become objects here, and effects commands.

Each instance has a `Link` of its own: its gateway, its hosts, tasks, customers, calls and wakes.
Nothing is shared between links but the numbered lists of the wire, which belong to the process.
"""

from __future__ import annotations

import sys
from collections import deque
from typing import Any, BinaryIO
from weakref import WeakValueDictionary

import orjson

from granitedock import platform_settings
from granitedock.policy.states import RequestState
from granitedock.policy.types import (
    Attempt,
    CounterCall,
    Customer,
    EndpointStatus,
    EndpointUpdate,
    Host,
    Outcome,
    Plan,
    Request,
    RequestClass,
)

ENDINGS = {
    0: Outcome.DONE,
    5: Outcome.ERROR,
    11: Outcome.OVERLOADED,
    110: Outcome.TIMEOUT,
    111: Outcome.CONNECTION_FAILED,
    104: Outcome.RESET,
    125: Outcome.CANCELLED,
    114: Outcome.ABANDONED,
}
STATUSES = {"IN": EndpointStatus.READY, "LAME": EndpointStatus.DRAINING, "OUT": EndpointStatus.GONE}
COMPLETE_LISTS = {"FULL": True, "SAVED": True, "INCREMENTAL": False}


class Malformed(Exception):
    """What came down the pipe is not what the wire's page describes."""


def known(table: dict, key: Any, what: str) -> Any:
    """The entry of the table; never a guess for one that is missing."""
    try:
        return table[key]
    except (KeyError, TypeError):
        raise Malformed(f"unknown {what}: {key!r}") from None


class Link:
    """One instance on the wire; it is the door of its gateway."""

    def __init__(self, now: float, seed: int, born: dict[str, Any]) -> None:
        self.now = now
        self.commands: list[list[Any]] = []
        self.request_classes: dict[str, RequestClass] = {
            p.name: p for p in platform_settings.request_classes(born)
        }
        self.plans: dict[str, Plan] = {p.name: p for p in platform_settings.plans(born)}
        self.hosts: dict[str, Host] = {}
        self.addresses: dict[Host, str] = {}
        self.requests: dict[int, Request] = {}
        self.jobs: dict[Request, int] = {}
        self.customers: WeakValueDictionary[str, Customer] = WeakValueDictionary()
        self.calls: dict[int, deque[CounterCall]] = {}
        self.wakes: dict[int, object] = {}
        self.last_wake = 0
        self.gateway = platform_settings.gateway(self, now, seed, born, list(self.request_classes.values()))

    # The door: effects become commands.

    def send_attempt(self, attempt: Attempt, attempt_deadline: float | None) -> None:
        job = self.jobs[attempt.request]
        self.commands.append(["Send", job, attempt_deadline or 0, self.addresses[attempt.host]])

    def reject(self, request: Request, retry_after_ms: float | None) -> None:
        self.commands.append(["TurnAway", self.jobs[request], retry_after_ms or 0])
        self.release(request)

    def fail(self, request: Request) -> None:
        self.commands.append(["DropRequest", self.jobs[request]])
        self.release(request)

    def cancel(self, attempt: Attempt) -> None:
        request = attempt.request
        self.commands.append(["Withdraw", self.jobs[request], request.attempts.index(attempt)])

    def call_counter(self, call: CounterCall) -> None:
        self.calls.setdefault(call.name, deque()).append(call)
        self.commands.append(["Count", call.name, call.amount, call.ttl_ms])

    def start_timer(self, after_ms: float, why: object) -> None:
        self.last_wake += 1
        self.wakes[self.last_wake] = why
        self.commands.append(["Defer", after_ms, self.last_wake])

    def log_decision(self, line: str) -> None:
        self.commands.append(["Emit", line])

    # Events: ids become objects.

    def roster(self, form: str, records: list[list[Any]]) -> None:
        if form == "FAILED":
            return
        whole = known(COMPLETE_LISTS, form, "form of roster")
        sightings = []
        for size, make, started, address, zone, cell, status in records:
            host = self.hosts.get(address)
            if host is None:
                host = self.hosts[address] = Host()
                self.addresses[host] = address
            sightings.append(
                EndpointUpdate(
                    host,
                    1.0 if size is None else float(size),
                    make or "",
                    zone or "",
                    cell or 0,
                    started or 0.0,
                    known(STATUSES, status, "state of a host"),
                )
            )
        self.gateway.update_endpoints(sightings, whole)

    def request(
        self,
        job: int,
        request_class: str,
        plan: str,
        key: str,
        left_ms: float,
        units: float | None = None,
        subset_size: int | None = None,
        _first: int | None = None,
        _options: int | None = None,
    ) -> None:
        customer = self.customers.get(key)
        if customer is None:
            customer = self.customers[key] = Customer(int(key, 16))
        request = Request(
            known(self.request_classes, request_class, "product"),
            known(self.plans, plan, "plan"),
            customer,
            self.now,
            self.now + left_ms,
            1.0 if units is None else units,
            subset_size or 1,
        )
        self.requests[job] = request
        self.jobs[request] = job
        self.gateway.handle_request(request)
        self.release(request)

    def completed(
        self,
        job: int,
        _address: str,
        used: int | None,
        took_ms: float,
        final: bool | None,
        number: int,
        outcome: int,
        units: float | None = None,
        _load: list[float] | None = None,
    ) -> None:
        request = known(self.requests, job, "task")
        attempt = request.attempts[number]
        end = known(ENDINGS, outcome, "ending")
        self.gateway.attempt_finished(attempt, end, took_ms, bool(final), units or 0.0, used or 0)
        self.release(request)

    def release(self, request: Request) -> None:
        """Forget a task once it is over and none of its forwards can come back."""
        if request.state is RequestState.FINISHED and not request.in_flight and request in self.jobs:
            del self.requests[self.jobs.pop(request)]

    def started(self, job: int, number: int, _address: str, _took_ms: float) -> None:
        self.gateway.response_started(known(self.requests, job, "task").attempts[number])

    def aborted(self, job: int) -> None:
        request = self.requests.get(job)  # may name a task that ended a moment ago
        if request is not None:
            self.gateway.client_disconnected(request)
            self.release(request)

    def reckoned(self, outcome: int, took_ms: float, name: int, total: float | None) -> None:
        waiting = known(self.calls, name, "count")
        call = waiting.popleft()
        if not waiting:
            del self.calls[name]
        self.gateway.counter_call_finished(call, known(ENDINGS, outcome, "ending"), total or 0.0)

    def fired(self, tag: int) -> None:
        why = self.wakes.pop(tag, None)
        if why is None:
            return
        self.gateway.timer_fired(why)

    def checked(self, *_whole: Any) -> None:
        """No decision asks for probes."""

    def message(self, *_whole: Any) -> None:
        """The design talks through the counter alone."""


HANDLERS = {
    "Req": Link.request,
    "Completed": Link.completed,
    "Reckoned": Link.reckoned,
    "Fired": Link.fired,
    "Started": Link.started,
    "Aborted": Link.aborted,
    "Checked": Link.checked,
    "Message": Link.message,
}


class Pipe:
    """All instances of one process."""

    def __init__(self) -> None:
        self.links: dict[str, Link] = {}
        self.lists: dict[int, list[list[Any]]] = {}

    def batch(self, line: bytes) -> dict[str, Any]:
        try:
            batch = orjson.loads(line)
            now = float(batch["MomentMs"])
            groups = [(group["Who"], group["happened"]) for group in batch["groups"]]
        except (ValueError, KeyError, TypeError) as fault:
            raise Malformed(f"not a batch: {fault}") from None
        replies = []
        for who, happened in groups:
            try:
                commands = self.happened(now, who, happened)
            except (Malformed, ValueError, KeyError, TypeError, IndexError) as fault:
                text = f"{who}: {type(fault).__name__}: {fault}"
                print(f"granitedock: {text}", file=sys.stderr)
                commands = [["BailOut", text]]
            if commands:
                replies.append({"Who": who, "cmds": commands})
        return {"groups": replies}

    def happened(self, now: float, who: str, events: list[list[Any]]) -> list[list[Any]]:
        link = self.links.get(who)
        if link is not None:
            self.clock(link, now)
        for event in events:
            tag = event[0]
            handler = HANDLERS.get(tag)
            if handler is not None:
                if link is None:
                    raise Malformed(f"{tag} before Hello")
                handler(link, *event[1:])
            elif tag == "List":
                self.lists[event[1]] = event[2]
            elif tag == "RosterChange":
                if link is None:
                    raise Malformed(f"{tag} before Hello")
                failed = event[2] == "FAILED"
                link.roster(event[2], [] if failed else known(self.lists, event[1], "list"))
            elif tag == "Stop":
                self.links.pop(who, None)  # with what it was about to ask: its tasks are void
                link = None
            elif tag == "Hello":
                link = self.links[who] = Link(now, event[1], event[2])
            else:
                raise Malformed(f"unknown event: {tag!r}")
        if link is None:
            return []
        commands, link.commands = link.commands, []
        return commands

    @staticmethod
    def clock(link: Link, now: float) -> None:
        link.now = now
        link.gateway.advance_clock(now)


def run(source: BinaryIO | None = None, sink: BinaryIO | None = None) -> int:
    """Answer batches until the input ends; 0 at its end, 1 where it makes no sense."""
    source = source or sys.stdin.buffer
    sink = sink or sys.stdout.buffer
    pipe = Pipe()
    for line in source:
        if not line.strip():
            continue
        try:
            reply = pipe.batch(line)
        except Malformed as fault:
            print(f"granitedock: {fault}", file=sys.stderr)
            return 1
        sink.write(orjson.dumps(reply) + b"\n")
        sink.flush()
    return 0
