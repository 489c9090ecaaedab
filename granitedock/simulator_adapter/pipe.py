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
from granitedock.policy.interface import (
    Call,
    Customer,
    Ending,
    Forward,
    Host,
    Plan,
    Product,
    Sighting,
    Status,
    Task,
)

ENDINGS = {
    0: Ending.DONE,
    5: Ending.ERROR,
    11: Ending.FULL,
    110: Ending.TIMEOUT,
    111: Ending.UNREACHED,
    104: Ending.RESET,
    125: Ending.WITHDRAWN,
    114: Ending.MOOT,
}
STATUSES = {"IN": Status.READY, "LAME": Status.DRAINING, "OUT": Status.GONE}
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
        self.products: dict[str, Product] = {p.name: p for p in platform_settings.products(born)}
        self.plans: dict[str, Plan] = {p.name: p for p in platform_settings.plans(born)}
        self.hosts: dict[str, Host] = {}
        self.addresses: dict[Host, str] = {}
        self.tasks: dict[int, Task] = {}
        self.jobs: dict[Task, int] = {}
        self.customers: WeakValueDictionary[str, Customer] = WeakValueDictionary()
        self.calls: dict[int, deque[Call]] = {}
        self.wakes: dict[int, object] = {}
        self.last_wake = 0
        self.gateway = platform_settings.gateway(self, now, seed, born, list(self.products.values()))

    # The door: effects become commands.

    def forward(self, forward: Forward, stop_at: float | None) -> None:
        job = self.jobs[forward.task]
        self.commands.append(["Send", job, stop_at or 0, self.addresses[forward.host]])

    def defer(self, task: Task, come_back_ms: float | None) -> None:
        self.commands.append(["TurnAway", self.jobs[task], come_back_ms or 0])
        self.release(task)

    def error(self, task: Task) -> None:
        self.commands.append(["DropRequest", self.jobs[task]])
        self.release(task)

    def withdraw(self, forward: Forward) -> None:
        task = forward.task
        self.commands.append(["Withdraw", self.jobs[task], task.forwards.index(forward)])

    def count(self, call: Call) -> None:
        self.calls.setdefault(call.name, deque()).append(call)
        self.commands.append(["Count", call.name, call.amount, call.life_ms])

    def wake(self, after_ms: float, why: object) -> None:
        self.last_wake += 1
        self.wakes[self.last_wake] = why
        self.commands.append(["Defer", after_ms, self.last_wake])

    def log(self, line: str) -> None:
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
                Sighting(
                    host,
                    1.0 if size is None else float(size),
                    make or "",
                    zone or "",
                    cell or 0,
                    started or 0.0,
                    known(STATUSES, status, "state of a host"),
                )
            )
        self.gateway.roster(sightings, whole)

    def request(
        self,
        job: int,
        product: str,
        plan: str,
        key: str,
        left_ms: float,
        units: float | None = None,
        spread: int | None = None,
        _first: int | None = None,
        _options: int | None = None,
    ) -> None:
        customer = self.customers.get(key)
        if customer is None:
            customer = self.customers[key] = Customer(int(key, 16))
        task = Task(
            known(self.products, product, "product"),
            known(self.plans, plan, "plan"),
            customer,
            self.now,
            self.now + left_ms,
            1.0 if units is None else units,
            spread or 1,
        )
        self.tasks[job] = task
        self.jobs[task] = job
        self.gateway.take(task)
        self.release(task)

    def completed(
        self,
        job: int,
        _address: str,
        used: int | None,
        took_ms: float,
        final: bool | None,
        number: int,
        ending: int,
        units: float | None = None,
        _load: list[float] | None = None,
    ) -> None:
        task = known(self.tasks, job, "task")
        forward = task.forwards[number]
        end = known(ENDINGS, ending, "ending")
        self.gateway.ended(forward, end, took_ms, bool(final), units or 0.0, used or 0)
        self.release(task)

    def release(self, task: Task) -> None:
        """Forget a task once it is over and none of its forwards can come back."""
        if task.state == "over" and not task.out and task in self.jobs:
            del self.tasks[self.jobs.pop(task)]

    def started(self, job: int, number: int, _address: str, _took_ms: float) -> None:
        self.gateway.started(known(self.tasks, job, "task").forwards[number])

    def aborted(self, job: int) -> None:
        task = self.tasks.get(job)  # may name a task that ended a moment ago
        if task is not None:
            self.gateway.client_gone(task)
            self.release(task)

    def reckoned(self, ending: int, took_ms: float, name: int, total: float | None) -> None:
        waiting = known(self.calls, name, "count")
        call = waiting.popleft()
        if not waiting:
            del self.calls[name]
        self.gateway.counted(call, known(ENDINGS, ending, "ending"), total or 0.0)

    def fired(self, tag: int) -> None:
        why = self.wakes.pop(tag, None)
        if why is None:
            return
        self.gateway.woke(why)

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
        link.gateway.at(now)


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
