"""Real decisions of many gateways against a simulated counter, on the simulated wire of `fleetsim`.

Each node runs the decision module itself, with the view and the shared counts where they are on; simulated
are hosts that serve everything after 5 ms, the counter with its way there and back, and clients that offer
each customer's tasks to the gateways of its set. So what is let in beside an allowance can be measured for
hundreds of gateways and thousands of customers, with every cut between gateways and from the counter.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

from granitedock import platform_settings
from granitedock.lab.fleetsim import EPOCH, Node, World
from granitedock.lab.gateway_settings import gateway_settings
from granitedock.lab.scenario import parse
from granitedock.membership.messages import Message
from granitedock.membership.timing import Timing
from granitedock.outlier_detection.detector import OutlierDetector
from granitedock.outlier_detection.payload import HOST_PAYLOAD
from granitedock.outlier_detection.settings import OutlierDetectionSettings
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
)
from granitedock.quota_sharing.payload import QUOTA_PAYLOAD
from granitedock.quota_sharing.settings import QuotaSharingSettings
from granitedock.quota_sharing.sharing import QuotaSharing

SERVED_MS, COUNTER_MS = 5.0, (1.0, 3.0)
DEAF_MS, DIAL_MS = 1000.0, 250.0  # calls are lost until a cut connection is noticed; then none comes up
SCENARIO = """
[fleet]
gateways = 2
talk = true
[[fleet.zones]]
name = "east"
hosts = 1
[[clients]]
customer = 1
product = "read"
plan = "p"
rate = 1
"""


@dataclass(slots=True)
class Offer:
    """One customer's tasks: `rate` a second over its set of `spread` gateways from `first` on."""

    key: int
    plan: Plan
    rate: float
    spread: int
    first: int = 0
    done: list[tuple[float, int, float]] = field(default_factory=list)  # when sent, by whom, units
    refused: int = 0


class Desk:
    """The door of one gateway's decisions in the simulation."""

    def __init__(self, fleet: ShareFleet, node: Node, shared: bool, viewed: bool) -> None:
        self.fleet, self.node, self.part = fleet, node, node.part
        settings = gateway_settings(fleet.scenario, node.number) | {"Balancers": len(fleet.nodes)}
        goods = platform_settings.request_classes(settings)
        self.read = goods[0]
        self.gateway = platform_settings.gateway(self, fleet.unix(), node.number, settings, goods)
        self.hosts = {f"h{n}": Host(name=f"h{n}", zone="ab"[n % 2]) for n in range(fleet.hosts)}
        seen = [
            EndpointUpdate(host, 1.0, "m", host.zone, 0, 0.0, EndpointStatus.READY)
            for host in self.hosts.values()
        ]
        self.gateway.update_endpoints(seen, True)
        self.judge: OutlierDetector | None = None
        if fleet.judged:
            me = node.part.membership.local
            self.names = [me.name]
            self.judge = OutlierDetector(
                me.name, me.started_at, OutlierDetectionSettings(), lambda: self.names
            )
            self.judge.update_hosts(self.hosts, fleet.unix())
            self.gateway.load_balancer.ejection.detector = self.judge
        self.customers: dict[int, Customer] = {}
        self.shared = QuotaSharing(node.part, fleet.bounds) if shared else None
        self.gateway.rate_limiter.quota_sharing = self.shared
        self.gateway.rate_limiter.membership = self if viewed else None

    def active_members(self, first: int, spread: int) -> int:
        return self.part.active_members(self.fleet.now, first, spread)

    def up(self) -> bool:
        return self.node.part is self.part

    def at(self) -> None:
        self.gateway.advance_clock(self.fleet.unix())

    # What the decisions ask for.

    def send_attempt(self, attempt: Attempt, attempt_deadline: float | None) -> None:
        fleet, name = self.fleet, attempt.host.name
        what = fleet.bad.get(name)
        if (self.node.number, name) in fleet.unreached:
            what = "unreached"
        fleet.attempts[name] += 1
        if what is None:
            fleet.later(SERVED_MS, self.ended, attempt, Outcome.DONE)
        elif what == "silent":
            fleet.later(attempt.request.deadline - fleet.unix(), self.ended, attempt, Outcome.TIMEOUT)
        else:
            fleet.later(SERVED_MS, self.ended, attempt, Outcome(what))

    def ended(self, attempt: Attempt, outcome: Outcome) -> None:
        if not self.up() or attempt.outcome is not None:
            return
        request, done = attempt.request, outcome is Outcome.DONE
        if done:
            offer = self.fleet.offers[request.customer.key]
            offer.done.append((request.received_at - EPOCH, self.node.number, request.units))
        elif attempt.host.name in self.fleet.bad:
            self.fleet.lost[attempt.host.name] += 1
        self.at()
        self.gateway.attempt_finished(attempt, outcome, self.fleet.unix() - attempt.sent_at, done, 0, 0)

    def reject(self, request: Request, retry_after_ms: float | None) -> None:
        self.fleet.offers[request.customer.key].refused += 1

    def fail(self, request: Request) -> None:
        self.fleet.offers[request.customer.key].refused += 1

    def cancel(self, attempt: Attempt) -> None:
        self.fleet.later(0.0, self.ended, attempt, Outcome.CANCELLED)

    def log_decision(self, line: str) -> None:
        """Nobody reads it here."""

    def start_timer(self, after_ms: float, why: object) -> None:
        self.fleet.later(after_ms, self.woke, why)

    def woke(self, why: Any) -> None:
        if self.up():
            self.at()
            self.gateway.timer_fired(why)

    def call_counter(self, call: CounterCall) -> None:
        fleet = self.fleet
        fleet.calls += 1
        since = fleet.counter_cuts.get(self.node.number)
        way = fleet.chance.uniform(*COUNTER_MS)
        if since is None:
            fleet.later(way, self.counted_there, call)
        elif fleet.now - since > DEAF_MS:
            fleet.later(DIAL_MS, self.counted, call, Outcome.CONNECTION_FAILED, 0.0)

    def counted_there(self, call: CounterCall) -> None:
        """It reaches the counter, and its answer comes back unless the wire is cut meanwhile."""
        total = self.fleet.add(call.name, call.amount, call.ttl_ms)
        if self.node.number not in self.fleet.counter_cuts:
            way = self.fleet.chance.uniform(*COUNTER_MS)
            self.fleet.later(way, self.counted, call, Outcome.DONE, total)

    def counted(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        if self.up():
            self.at()
            self.gateway.counter_call_finished(call, outcome, total)

    # What the world does to it.

    def take(self, offer: Offer, units: float) -> None:
        customer = self.customers.setdefault(offer.key, Customer(offer.key))
        now = self.fleet.unix()
        self.at()
        request = Request(self.read, offer.plan, customer, now, now + 800.0, units, offer.spread)
        request.subset_start = offer.first
        self.gateway.handle_request(request)

    def tell_evidence(self) -> None:
        if not self.up():
            return
        fleet, membership = self.fleet, self.part.membership
        fleet.later(self.judge.settings.broadcast_interval_ms, self.tell_evidence)
        if fleet.now < self.node.paused_until:
            return
        self.names = sorted([membership.local.name, *membership.live_others()])
        rows = tuple(self.judge.broadcasts_due(10, fleet.unix()))
        self.judge.update_verdicts(fleet.unix())
        for address in membership.gossip_addresses() if rows else ():
            message = Message(HOST_PAYLOAD.kind, membership.local, payload=rows)
            fleet.post(self.node, address, message)

    def tell(self) -> None:
        if not self.up():
            return
        fleet = self.fleet
        fleet.later(self.shared.settings.broadcast_interval_ms, self.tell)
        if fleet.now < self.node.paused_until:
            return
        due = self.shared.run_maintenance(fleet.unix(), fleet.now)
        for broadcast in due.broadcasts:
            message = Message(QUOTA_PAYLOAD.kind, self.part.membership.local, payload=broadcast.rows)
            fleet.post(self.node, broadcast.address, message)
        for call in due.counter_calls:
            self.call_counter(call)


class ShareFleet(World):
    """`shared`: uncounted units are told and reserves held. `viewed`: even shares follow the view. With
    neither, the gateways decide as before there was a view."""

    payload_types = {kind.kind: kind for kind in (QUOTA_PAYLOAD, HOST_PAYLOAD)}

    def __init__(
        self,
        count: int,
        offers: list[Offer],
        seed: int = 1,
        shared: bool = True,
        viewed: bool = True,
        bounds: QuotaSharingSettings | None = None,
        hosts: int = 4,
        judged: bool = False,
        **more: Any,
    ) -> None:
        self.hosts, self.judged = hosts, judged
        self.bad: dict[str, str] = {}  # hosts that fail, and how: "error", "silent", "full"
        self.unreached: set[tuple[int, str]] = set()  # gateways with no wire to a host
        self.attempts: Counter[str] = Counter()
        self.lost: Counter[str] = Counter()  # forwards that a bad host failed
        self.scenario = parse(SCENARIO)
        self.offers = {offer.key: offer for offer in offers}
        self.shared, self.viewed, self.bounds = shared, viewed, bounds or QuotaSharingSettings()
        self.desks: dict[int, Desk] = {}
        self.counter_cuts: dict[int, float] = {}  # gateways cut off from the counter, and since when
        self.names: dict[int, list[float]] = {}  # the counter: total and when the name ends
        self.calls = 0
        super().__init__(count, seed, Timing(), known=True, **more)
        self.arrivals = Random(seed)
        for offer in offers:
            self.arrive(offer)

    def unix(self) -> float:
        return EPOCH + self.now

    def add(self, name: int, amount: float, ttl_ms: float) -> float:
        kept = self.names.get(name)
        if kept is None or kept[1] <= self.now:
            kept = self.names[name] = [0.0, self.now + ttl_ms]
        kept[0] += amount
        return kept[0]

    def start(self, n: int, seeds: tuple[str, ...] | None = None) -> None:
        super().start(n, seeds)
        desk = self.desks[n] = Desk(self, self.nodes[n], self.shared, self.viewed)
        if desk.shared is not None:
            self.later(self.chance.random() * desk.shared.settings.broadcast_interval_ms, desk.tell)
        if desk.judge is not None:
            self.later(self.chance.random() * desk.judge.settings.broadcast_interval_ms, desk.tell_evidence)

    def hear(self, node: Node, message: Message) -> None:
        super().hear(node, message)
        desk = self.desks[node.number]
        if message.kind == QUOTA_PAYLOAD.kind and desk.shared is not None:
            desk.shared.receive(message.payload, self.unix())
        if message.kind == HOST_PAYLOAD.kind and desk.judge is not None:
            desk.judge.receive(message.payload, self.unix())

    def counter_cut(self, *which: int) -> None:
        for n in which:
            self.counter_cuts.setdefault(n, self.now)

    def heal(self) -> None:
        super().heal()
        self.counter_cuts.clear()

    def arrive(self, offer: Offer) -> None:
        """The next task of this customer, to one of its set that runs."""
        self.later(self.arrivals.expovariate(offer.rate) * 1000.0, self.arrive, offer)
        count = len(self.nodes)
        members = [(offer.first + n) % count for n in range(offer.spread)]
        serving = [n for n in members if self.nodes[n].part and self.now >= self.nodes[n].paused_until]
        if serving:
            self.desks[self.arrivals.choice(serving)].take(offer, 1.0)


def admitted(offer: Offer, from_ms: float, to_ms: float) -> float:
    """Units done, of the tasks sent in this time."""
    return sum(units for at, _, units in offer.done if from_ms <= at < to_ms)


def worst_over(offer: Offer, from_ms: float, to_ms: float, span_ms: float) -> float:
    """The most that any `span_ms` within this time held, as a part of rate x span + burst."""
    times = sorted(at for at, _, _ in offer.done if from_ms <= at < to_ms)
    first, most = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - span_ms:
            first += 1
        most = max(most, last - first + 1)
    return most / (offer.plan.rate * span_ms + offer.plan.burst)


def totals(offers: list[Offer]) -> Counter[str]:
    return Counter(
        done=sum(len(offer.done) for offer in offers), refused=sum(offer.refused for offer in offers)
    )
