"""All decisions of granitedock, read aloud after outages.

How it is called: a carrier makes one Gateway per api gateway, sets its clock with `at` before each batch, and
calls roster, take, ended, started, client_gone, counted and woke; what is decided goes out through the Door.
Interface: granitedock/policy/types.py and ports.py. What is kept and
what changed: docs/design.md.
"""

from __future__ import annotations

import zlib
from bisect import bisect
from itertools import accumulate

from granitedock.policy.ports import EffectHandler, MembershipPort, OutlierDetectionPort, QuotaSharingPort
from granitedock.policy.types import (
    Attempt,
    CounterCall,
    Customer,
    EndpointStatus,
    EndpointUpdate,
    GatewayIdentity,
    Host,
    Idempotency,
    IdempotencyScope,
    Outcome,
    PermittedFeatures,
    Plan,
    Request,
    RequestClass,
    SharedQuota,
    SlowStart,
)
from granitedock.rolling_window import RollingWindow
from granitedock.state_table import advance

BUDGET_MS = 20.0  # the design's budget of a call to the counter
BUDGET_MEANS, BUDGET_MOST = 3.0, 0.25  # mean times, where that is more; of the quoted time
BREAKER_FAILURES, QUARANTINE = 5, 1.5  # in a row open the breaker; shortest quoted times, then one trial
CALM = 5.0  # shortest quoted times without a failed call before the counter has room for calls that can wait
RATION_LESS, RATION_MORE, LEAST_RATION = 0.8, 0.03, 0.1  # of the tasks counted: after a failure, a success
STALE_AFTER = 4  # totals in a row that an add of ours did not change say nothing
WINDOW_OF_BURST, SPELL_SLACK = 2.0, 0.5  # fillings of the burst in a window; units past it, for delays
LONGEST_NAME_MS, NAMES_LAST = 60000.0, 3.0  # the counter's longest life of a name; windows a name lasts
HOST_FAILURES, ASIDE = 3, 3.0  # in a row set a host aside; quoted times, then one trial task
SILENT_AFTER, FAIR_TIME = 4.0, 2.0  # mean answer times: no sign of life; a shorter time-out proves nothing
PATIENCE = 3.0  # mean answer times before a forward at a silent host is withdrawn to be made again
DRAWS, FIRST_PART = 12, 0.25  # hosts looked at for a task; part of a cold fleet's tasks sent unproved
SPARE_FORWARDS, SPARE_AT_LEAST = 0.15, 3.0  # further forwards: a part of first ones, and a few more
FIRST_GUESS, GUESS_WEIGHT = 0.3, 12.0  # an answer's time, of the quoted time, before any; in answers
TOO_LATE, LATE = 0.45, 0.8  # of the quoted time, for a mean answer; of the time left, for a task's own
TOO_LATE_UNSURE = 0.4  # as TOO_LATE, for tasks the counter has not let in: under load the others come first
ENOUGH = 0.4  # forwards of ours at a host, on the mean: with fewer, a host without one may yet be busy

# A task: state and input give the next state and the effect, whose result is the next input.
TASK = {
    ("new", "arrived"): ("counting", "ask"),
    ("counting", "within"): ("placing", "place"),
    ("counting", "over"): ("placing", "beyond"),
    ("counting", "stale"): ("over", "give_up"),
    ("counting", "unanswered"): ("counting", "emergency"),
    ("counting", "client gone"): ("over", "refund"),
    ("placing", "sent"): ("out", None),
    ("placing", "nowhere"): ("over", "give_up"),
    ("out", "served"): ("over", None),
    ("out", "lost"): ("placing", "place"),
    ("out", "stuck"): ("out", "pull"),
    ("out", "client gone"): ("over", None),
    ("out", "flowing"): ("flowing", None),
    ("flowing", "served"): ("over", None),
    ("flowing", "lost"): ("over", "give_up"),
    ("flowing", "client gone"): ("over", None),
}

# What a task that may have run is still allowed: (another forward, a deferral); `group` asks the host
# and the time, `whole group` that every host drops its repeats. One that never ran is allowed both.
MAY_HAVE_RUN = {
    Idempotency.IDEMPOTENT: ("yes", "yes"),
    Idempotency.KEYED: ("group", "whole group"),
    Idempotency.NON_IDEMPOTENT: ("no", "no"),
}
GROUP_OF = {IdempotencyScope.ZONE: lambda host: host.zone, IdempotencyScope.CELL: lambda host: host.cell}
NEVER_RAN = frozenset({Outcome.OVERLOADED, Outcome.CONNECTION_FAILED, Outcome.ABANDONED})

BREAKER = {
    ("closed", "failed"): ("closed", "tally"),
    ("closed", "tripped"): ("open", "quarantine"),
    ("closed", "succeeded"): ("closed", "reset"),
    ("open", "quarantine over"): ("half-open", None),
    ("half-open", "failed"): ("open", "quarantine"),
    ("half-open", "succeeded"): ("closed", "reset"),
}

HOST = {
    ("trusted", "failed"): ("trusted", "tally"),
    ("trusted", "tripped"): ("aside", "set_aside"),
    ("trusted", "answered"): ("trusted", "clear"),
    ("aside", "quarantine over"): ("on trial", None),
    ("aside", "answered"): ("trusted", "clear"),
    ("on trial", "unproved"): ("aside", None),
    ("on trial", "failed"): ("aside", "set_aside"),
    ("on trial", "answered"): ("trusted", "let_back"),
}


class TokenBucket:
    """A store of units that fills at a rate up to its depth."""

    def __init__(self, rate: float, depth: float, level: float, now: float) -> None:
        self.rate, self.depth, self.level, self.at = rate, depth, level, now

    def room(self, now: float) -> float:
        self.level = min(self.depth, self.level + self.rate * (now - self.at))
        self.at = now
        return self.level

    def take(self, units: float, now: float) -> bool:
        """A task larger than the depth takes what there is, and leaves it owing."""
        lets = self.room(now) >= units or (units > self.depth and self.level > 0)
        self.level -= units * lets
        return lets

    def become(self, rate: float, depth: float, now: float) -> None:
        """Another share from now on; what it holds stays, as far as it fits, so no burst comes with it."""
        self.level, self.rate, self.depth = min(depth, self.room(now)), rate, depth


class CircuitBreaker:
    """The design's breaker round the counter; only a genuine success in time resets it."""

    def __init__(self, latency_objective_ms: float, log) -> None:
        self.state, self.failures, self.until, self.now, self.log = "closed", 0, 0.0, 0.0, log
        self.failed_at, self.ration, self.credit = float("-inf"), 1.0, 1.0
        self.quarantine_ms, self.calm_ms, self.times = (
            QUARANTINE * latency_objective_ms,
            CALM * latency_objective_ms,
            RollingWindow(10000.0),
        )

    def tell(self, signal: str) -> None:
        before = self.state
        advance(BREAKER, self, signal, self)
        if self.state != before:
            self.log(f"breaker {before} to {self.state}: {self.failures} failures in a row")

    def lets_call(self) -> bool:
        """Guards against more calls than the counter can answer: failures cut the part that is counted."""
        self.credit = min(2.0, self.credit + self.ration)
        if self.state == "open" and self.now >= self.until:
            self.tell("quarantine over")
            return True
        lets = self.state == "closed" and self.credit >= 1.0
        self.credit -= lets
        return lets

    def calm(self) -> bool:
        """All tasks are counted, and no call failed for a while: there is room for calls that can wait."""
        return self.ration >= 1.0 and self.now - self.failed_at > self.calm_ms

    def budget(self, most: float) -> float:
        """Guards against a counter only slower than assumed. Hurts where the wait makes tasks late."""
        return max(BUDGET_MS, min(most, BUDGET_MEANS * self.times.mean(self.now, 1.0, 0.0)))

    def cut(self) -> None:
        """Late and turned away calls say that the counter is crowded; connections that break do not."""
        self.failed_at, self.ration = self.now, max(LEAST_RATION, RATION_LESS * self.ration)

    def tally(self, _self) -> str | None:
        self.failures += 1
        return "tripped" if self.failures >= BREAKER_FAILURES else None

    def quarantine(self, _self) -> None:
        self.until = self.now + self.quarantine_ms

    def reset(self, _self) -> None:
        self.failures, self.ration = 0, min(1.0, self.ration + RATION_MORE)


class QuotaAccount:
    """One customer's account at this gateway: the two-window count, and the local buckets."""

    def __init__(
        self, plan: Plan, subset_size: int, now: float, subset_start: int = 0, began: float = 1e18
    ) -> None:
        self.plan, self.subset_size = plan, max(1, subset_size)
        self.active_members = self.subset_size  # of the emergency bucket
        longest = LONGEST_NAME_MS / NAMES_LAST
        fills_in = plan.burst / plan.rate if plan.rate > 0 else longest
        self.window_ms = plan.window_ms or min(longest, max(1000.0, WINDOW_OF_BURST * fills_in))
        self.allowance = plan.rate * self.window_ms + plan.burst
        self.window, self.current, self.previous = -1, 0.0, 0.0
        self.quota = SharedQuota(plan, subset_start, self.subset_size, self.window_ms)
        # Where uncounted units are shared: ours that ride on the next add, ours added, what the counter lost.
        self.journal, self.added, self.raw, self.lapse, self.still = 0.0, 0.0, 0.0, 0.0, 0
        self.heard, self.before = 0.0, 0.0  # uncounted units heard of in this window, and in the one before
        self.spell, self.seen_at = 0.0, now  # units used in this spell beyond what the rate has paid
        self.debt = 0.0  # units owed back to the current name
        self.in_flight, self.touched_at = 0, now
        self.local: TokenBucket | None = None  # the emergency bucket, while the counter gives no answers
        # A ceiling's share starts with the process, as low as the slack allows: it may be no first start.
        full = plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack / 2
        at = min(now, max(began, now - LONGEST_NAME_MS / 2))  # a book dropped before has rested for longer
        self.ceiling = TokenBucket(*(units / self.subset_size for units in full), at) if full[0] > 0 else None

    def turn(self, now: float) -> None:
        """Come to the window of now; the previous count is the last total told of that name."""
        window = int(now // self.window_ms)
        if window != self.window:
            self.previous = max(0.0, self.current - self.debt) if window == self.window + 1 else 0.0
            self.before = self.heard if window == self.window + 1 else 0.0
            self.window, self.current, self.debt = window, 0.0, 0.0
            self.journal = self.added = self.raw = self.lapse = self.heard = 0.0

    def whole(self, call: CounterCall, total: float, uncounted: float, before: float) -> float:
        """The total with what the counter does not know. Guards against a counter that comes back empty or
        with old totals: where one falls further than others would take back meanwhile, or below what we
        alone added, what it lost stays counted until the window ends. `before` is uncounted of the window
        before: what was told of it after its end is still of this spell."""
        if call.window == self.window:
            lost, self.added = self.raw + call.amount - total, self.added + call.amount
            if lost > max(SPELL_SLACK, self.plan.burst / 4) or total + self.lapse < self.added - SPELL_SLACK:
                self.lapse += max(0.0, lost)
            self.raw, self.heard = total, uncounted
            total += self.lapse
            self.spell += max(0.0, before - self.before)
            self.before = max(self.before, before)
        return total + uncounted

    def stale(self, call: CounterCall, total: float) -> bool:
        """Guards against a counter that answers with totals that stand still: one that is the same to the
        last digit after several adds of ours says nothing, and is taken as no answer."""
        if call.window == self.window and call.amount > 0:
            self.still = self.still + 1 if total == self.raw else 0
        return self.still >= STALE_AFTER

    def told(self, call: CounterCall, total: float, now: float, shared: bool = False) -> None:
        """Take in a total. What others added since the last one is taken as spread over that time."""
        if call.window == self.window:
            others, used = total - self.current - call.amount, self.spell_at(now)
            if shared and self.local is not None:
                # Guards good traffic against units counted twice: what the bucket says of the others is told
                # and added by them too. The larger of both, as of windows that are over nobody tells.
                counted = self.spell - self.plan.rate * (now - self.seen_at)
                used = max(used - others, counted + call.carried)
            mine = 0.0 if call.timed_out else call.amount - call.carried  # such units are in the local bucket
            self.spell = max(0.0, max(0.0, used + others) + mine)
            self.current, self.seen_at, self.local = total, now, None
        elif call.window == self.window - 1:
            self.previous = total

    def spell_at(self, now: float) -> float:
        """Guards against a fresh burst whenever the counter fails or comes back: the spell goes on in the
        emergency bucket, which is made as full as it leaves it, and is taken from there again."""
        if self.local is not None:
            used = self.local.depth - self.local.room(now)
            return min(used * self.active_members, max(self.plan.burst, used))
        return self.spell - self.plan.rate * (now - self.seen_at)

    def lets_in(self, units: float, now: float, active_members: int) -> bool:
        """The emergency bucket: an even share of rate and burst, among so many."""
        if self.local is None:
            self.active_members = active_members
            full = self.plan.rate, self.plan.burst, self.plan.burst - max(0.0, self.spell_at(now))
            self.local = TokenBucket(*(units / active_members for units in full), now)
        elif active_members != self.active_members:
            self.active_members = active_members
            self.local.become(self.plan.rate / active_members, self.plan.burst / active_members, now)
        return self.local.take(units, now)

    def over(self, now: float) -> bool:
        """The design's estimate, and the same over the spell, against a second burst in any window."""
        estimate = self.current + self.previous * (1.0 - now % self.window_ms / self.window_ms)
        return estimate > self.allowance or self.spell > self.plan.burst + SPELL_SLACK

    def name(self, customer: Customer) -> int:
        """The same at every gateway and after a restart, and apart for each window."""
        return (customer.key * 0x9E3779B97F4A7C15 + self.window * 0xBF58476D1CE4E5B9) % 2**63


class HostHealth:
    """What this gateway knows of one host from its own forwards."""

    def __init__(self, now: float) -> None:
        self.state, self.failures, self.until, self.back_at, self.answered_at = "trusted", 0, 0.0, 0.0, now
        self.outs: dict[Attempt, None] = {}
        self.pace = RollingWindow(4000.0)  # answer times, and the forwards they shared the host with
        self.refuses: dict[Plan, float] = {}  # until when it is taken to refuse a plan


class LoadBalancer:
    """The hosts: which are fit, which cold, and which one gets a task."""

    def __init__(
        self, now: float, seat: GatewayIdentity, request_classes: list[RequestClass], cold: SlowStart, log
    ) -> None:
        self.now, self.seat, self.draws, self.cold, self.log = now, seat, 0, cold, log
        self.known: dict[Host, None] = {}
        self.ready, self.reach = [], []  # the ready hosts, and their registered sizes added up
        self.look_at, self.cold_ones, self.parts, self.warm = now, [], [], 0.0  # see `look_round`
        self.credit = zlib.crc32(b"%d/%d" % (seat.seed, seat.number)) / 2**32  # mean tasks owed to cold hosts
        self.shared = False  # most hosts look bad at once
        self.judged: OutlierDetectionPort | None = (
            None  # what other gateways know of hosts, where they tell each other
        )
        self.request_classes, self.latency_objective_ms = (
            request_classes,
            min(request_class.latency_objective_ms for request_class in request_classes),
        )
        self.guess_ms = FIRST_GUESS * self.latency_objective_ms
        self.pace = RollingWindow(4000.0)  # answer times of tasks made mean ones, and answers, over all hosts
        self.load = RollingWindow(4000.0)  # the same times, and the forwards they shared a host with
        self.sends = RollingWindow(5000.0)  # first and further forwards
        self.earned = RollingWindow(20000.0)  # benefit of answered tasks, and their sizes
        self.sizes = {(): RollingWindow(20000.0)}  # answer times and answers, by a trait of the tasks

    def roster(self, sightings: list[EndpointUpdate], whole: bool) -> None:
        if whole:
            for host in self.known:
                host.status = EndpointStatus.GONE
        for seen in sightings:
            host = seen.host
            if host.health is None or seen.started_at > host.started_at:
                host.health = HostHealth(self.now)  # new, or restarted: what was known of it is void
            host.size, host.make, host.zone, host.cell = seen.size, seen.make, seen.zone, seen.cell
            host.started_at, host.status = seen.started_at, seen.status
            self.known[host] = None
        self.known = {
            host: None for host in self.known if host.status is not EndpointStatus.GONE or host.health.outs
        }
        self.ready = [host for host in self.known if host.status is EndpointStatus.READY]
        self.reach = list(accumulate(max(host.size, 1e-9) for host in self.ready))
        self.look_at = self.now

    def draw(self, hosts: list[Host]) -> Host:
        """One at random; of all the ready ones by registered size, where our own counts say too little."""
        reach = self.reach if hosts is self.ready else range(1, len(hosts) + 1)
        return hosts[bisect(reach, self.chance(2**32) / 2**32 * reach[-1])]

    def chance(self, sides: int) -> int:
        self.draws += 1
        return zlib.crc32(b"%d/%d" % (self.seat.seed, self.draws)) % sides

    def size(self, *trait) -> float:
        """How long tasks with this trait take, in mean tasks; by product alone a task counts by its units."""
        mean = self.sizes[()].mean(self.now, GUESS_WEIGHT, self.guess_ms)
        return self.sizes[trait].mean(self.now, GUESS_WEIGHT, mean) / mean if trait in self.sizes else 1.0

    def mean_answer(self) -> float:
        return self.pace.mean(self.now, GUESS_WEIGHT, self.guess_ms)

    def expected(self, host: Host) -> float:
        """When a mean task may be answered: this host's pace by its own answers, times our forwards."""
        fleet = self.load.mean(self.now, GUESS_WEIGHT, self.guess_ms)
        return host.health.pace.mean(self.now, GUESS_WEIGHT, fleet) * (len(host.health.outs) + 1)

    def longest_queue(self, part: float) -> float:
        """Guards against queues that bring every answer too late: what the most hasty product bears."""
        return min(
            part * request_class.latency_objective_ms / self.size(request_class)
            for request_class in self.request_classes
        )

    def earning(self, request: Request) -> float:
        """Under load, tasks that earn less for their time than the mean one wait behind shorter queues."""
        own = (
            request.request_class.priority_weight
            * request.units
            / self.size(request.request_class, round(request.units))
        )
        return 0.5 + 0.5 * min(1.0, own / self.earned.mean(self.now, GUESS_WEIGHT, own)) if own > 0 else 0.5

    def warmth(self, host: Host) -> float:
        """The part of capacity proved by age; one back from silence may have started unheard at its trial."""
        began = max(host.started_at, host.health.back_at)
        if not began or self.cold.warm_up_ms <= 0:
            return 1.0
        age = max(0.0, self.now - began) / self.cold.warm_up_ms
        return min(1.0, self.cold.initial_capacity_share + (1.0 - self.cold.initial_capacity_share) * age)

    def look_round(self) -> None:
        """Now and then: the cold hosts, the parts they bear, added up, and the size of the warm ones."""
        if self.now >= self.look_at:
            self.look_at = self.now + self.cold.overload_interval_ms
            self.cold_ones = [host for host in self.ready if self.warmth(host) < 1.0]
            self.credit = self.credit if self.cold_ones else self.credit % 1.0
            self.parts = list(accumulate(self.warmth(it) * max(it.size, 1e-9) for it in self.cold_ones))
            self.warm = sum(max(host.size, 1e-9) for host in self.ready if self.warmth(host) >= 1.0)
            bad = [host for host in self.ready if host.health.state != "trusted" or self.silent(host)]
            self.shared = 2 * len(bad) > len(self.ready)

    def earn(self, host: Host, size: float) -> None:
        """Cold hosts are owed their parts of what warm ones prove; where there are none, what they do."""
        if self.parts and (not self.warm or self.warmth(host) >= 1.0):
            self.credit = min(2.0, self.credit + size * (self.parts[-1] / self.warm if self.warm else 1.0))

    def cold_one(self, request: Request) -> Host | None:
        """Guards against pushing over cold hosts by the sum of all gateways: they send them what `earn` owes,
        and in a cold fleet a little more, to begin and to grow. Hurts a cold fleet: most has to wait."""
        if not self.warm and self.parts:
            self.credit += FIRST_PART * self.cold.overload_factor * self.parts[-1] / self.reach[-1]
        if self.credit < 1.0 or not self.parts:
            return None
        self.credit -= self.size(request.request_class, round(request.units))
        return self.cold_ones[bisect(self.parts, self.chance(2**32) / 2**32 * self.parts[-1])]

    def silent(self, host: Host) -> bool:
        """Guards against hosts that take tasks and answer none, and machines that vanish unheard."""
        outs, answered_at = host.health.outs, host.health.answered_at
        since = max(answered_at, next(iter(outs)).sent_at) if outs else self.now
        return since < self.now and self.now - since > SILENT_AFTER * self.mean_answer()

    def fit(self, host: Host, request: Request) -> bool:
        """Whether the verdicts speak for it; where most hosts look bad, the cause is shared."""
        health = host.health
        if self.now < health.refuses.get(request.plan, 0.0):
            return False
        risky, judged = request.request_class.kind is Idempotency.NON_IDEMPOTENT, self.judged
        if judged is not None and not self.shared and judged.is_ejected(host, risky, self.now):
            return False
        if health.state == "aside" and not self.shared:
            trial = self.now >= health.until and not risky
            return trial and (judged is None or judged.may_probe(host, self.now))
        return self.shared or (health.state == "trusted" and not self.silent(host))

    def pick(self, request: Request, hosts: list[Host], longest: float) -> Host | None:
        """Of two drawn at random, the one our own counts favour. Where it is too slow or unfit, more are
        drawn, since another host may have room. A cold host that is owed a task comes first."""
        self.look_round()
        tried = [attempt.host for attempt in request.attempts] if len(hosts) > len(request.attempts) else []
        best, spurned, fit, cold = None, None, 0, self.cold_one(request) if hosts is self.ready else None
        for draw in range(DRAWS) if hosts else ():
            host = cold if cold is not None and not draw else self.draw(hosts)
            if host in tried or (host is not cold and self.warmth(host) < 1.0):
                continue
            if not self.fit(host, request):
                spurned = host
                continue
            fit += 1
            if best is None or self.expected(host) < self.expected(best):
                best = host
            if (fit >= 2 or host is cold) and self.expected(best) <= longest:
                break
        return best or spurned

    def sent(self, attempt: Attempt) -> None:
        health = attempt.host.health
        advance(HOST, health, "quarantine over", self)
        health.outs[attempt] = None
        if self.judged is not None:
            self.judged.attempt_started(attempt.host)
        free = [other.outcome in NEVER_RAN for other in attempt.request.attempts[:-1]]
        self.sends.add(self.now, float(not free), float(not all(free)))

    def ended(self, attempt: Attempt, took_ms: float) -> None:
        health = attempt.host.health
        health.outs.pop(attempt, None)
        outcome, before, request = attempt.outcome, health.state, attempt.request
        size = self.size(request.request_class, round(request.units))
        if self.judged is not None:
            self.judged.attempt_finished(
                attempt.host, outcome, took_ms, request.request_class.latency_objective_ms, self.now
            )
        signal = "answered" if outcome in (Outcome.DONE, Outcome.OVERLOADED) else "failed"
        if outcome is Outcome.OVERLOADED:
            # Guards against hosts that refuse for want of room, or one plan's tasks only: that plan's go
            # elsewhere for a while. Hurts where there is room sooner than that.
            health.refuses[request.plan] = self.now + ASIDE * self.latency_objective_ms
            for pace in (health.pace, self.load):
                pace.add(self.now, request.request_class.latency_objective_ms, 1.0)
        if outcome is Outcome.ABANDONED or (
            outcome is Outcome.TIMEOUT and took_ms < FAIR_TIME * self.mean_answer()
        ):
            signal = "unproved"  # a client in a hurry says nothing of the host
        elif outcome in (Outcome.DONE, Outcome.TIMEOUT, Outcome.CANCELLED):
            took_ms = (
                took_ms
                if outcome is Outcome.DONE
                else min(took_ms, request.request_class.latency_objective_ms)
            )
            shared = attempt.in_flight_at_send + 1.0
            health.pace.add(self.now, took_ms / size, shared)
            self.load.add(self.now, took_ms / size, shared)
            self.pace.add(self.now, took_ms / size, 1.0)
            self.earned.add(self.now, request.request_class.priority_weight * request.units, size)
            for weight, *trait in (
                (1.0,),
                (request.units, request.request_class),
                (1.0, request.request_class, round(request.units)),
            ):
                self.sizes.setdefault(tuple(trait), RollingWindow(20000.0)).add(
                    self.now, took_ms * weight, weight
                )
        if outcome is Outcome.DONE:
            self.earn(attempt.host, size)
        if outcome in (Outcome.DONE, Outcome.ERROR, Outcome.OVERLOADED):
            health.answered_at = self.now
        advance(HOST, health, signal, self)
        if health.state != before:
            self.log(f"host {before} to {health.state}: {health.failures} failures, {len(health.outs)} out")

    def tally(self, health: HostHealth) -> str | None:
        health.failures += 1
        return "tripped" if health.failures >= HOST_FAILURES else None

    def set_aside(self, health: HostHealth) -> None:
        health.until = self.now + ASIDE * self.latency_objective_ms

    def clear(self, health: HostHealth) -> None:
        health.failures = 0

    def let_back(self, health: HostHealth) -> None:
        health.failures, health.back_at = 0, self.now

    def tries(self, over: float) -> bool:
        """Whether a host with no forward of ours is tried though answers are late: by a chance that falls
        with the lateness. Guards against overload unseen for want of forwards. Hurts where that is off."""
        at_a_host = sum(self.sends.sums(self.now)) / 5000.0 * self.guess_ms / len(self.ready)
        return over < float("inf") and (at_a_host > ENOUGH or self.chance(1000) * over**2 < 1000)

    def spare(self) -> bool:
        """Guards against a storm of further forwards on a fleet that is slow as a whole."""
        first, further = self.sends.sums(self.now)
        return further < SPARE_FORWARDS * first + SPARE_AT_LEAST


class Gateway:
    """One api gateway: every task's way from its taking to its one final answer."""

    def __init__(
        self,
        door: EffectHandler,
        now: float,
        seat: GatewayIdentity,
        goods: list,
        leave: PermittedFeatures,
        cold: SlowStart,
        counter: bool,
    ) -> None:
        self.door, self.began, self.now, self.leave, self.has_counter = door, now, now, leave, counter
        self.peers: MembershipPort | None = None  # a view of the other gateways, where there is one
        self.shared: QuotaSharingPort | None = (
            None  # units let in without the counter, where gateways tell each other
        )
        self.lefts, self.usual = {}, {}  # how often each time left was seen, and the most usual, by product
        self.fleet = LoadBalancer(now, seat, goods, cold, door.log_decision)
        self.breaker = CircuitBreaker(self.fleet.latency_objective_ms, door.log_decision)
        self.update_endpoints, self.open_book = (
            self.fleet.roster,
            QuotaAccount,
        )  # another where plans change in service
        self.accounts: dict[Customer, None] = {}  # the longest not looked at first

    def advance_clock(self, now: float) -> None:
        self.now = self.fleet.now = self.breaker.now = now

    def handle_request(self, request: Request) -> None:
        self.account(request).turn(self.now)
        advance(TASK, request, "arrived", self)

    def counter_call_finished(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        account, request = call.customer.account, call.request
        call.answered, told = True, outcome is Outcome.DONE
        call.applied = told or outcome is Outcome.ERROR  # error: added, but no total came
        if self.shared is not None:
            self.shared.counter_call_finished(call, outcome, total or 0.0)
            if told and account is not None and account.stale(call, total):
                told, call.applied = False, True
            elif told and account is not None:
                key, ask = call.customer.key, self.shared.uncounted_elsewhere
                uncounted = [ask(key, call.window - n, account.quota, self.now) for n in (0, 1)]
                total = account.whole(call, total, *uncounted)
            self.square(call, outcome)
        if account is not None:
            account.turn(self.now)
            if told:
                self.breaker.times.add(self.now, self.now - call.sent_at, 1.0)
                account.told(call, total, self.now, self.shared is not None)
            elif call.applied:
                account.current += call.amount * (call.window == account.window)
            elif outcome in NEVER_RAN and call.window == account.window:
                # Proved not added.
                account.debt += (request.units if request is not None else 0.0) + call.carried - call.amount
        if request is None:
            return
        if call.applied and request.state == "over" and not request.attempts:
            self.settle(call, -request.units)  # late, or the client left: it never went out; else they stay
        if not call.timed_out:
            if outcome in NEVER_RAN or outcome is Outcome.TIMEOUT:
                self.breaker.cut()
            self.breaker.tell("succeeded" if told else "failed")
            verdict = ("over" if account.over(self.now) else "within") if told else "unanswered"
            advance(TASK, request, verdict, self)

    def attempt_finished(
        self, attempt: Attempt, outcome: Outcome, took_ms: float, final: bool, units: float, used: int
    ) -> None:
        request = attempt.request
        attempt.outcome = outcome
        request.in_flight -= 1
        request.customer.account.in_flight -= 1
        self.fleet.ended(attempt, took_ms)
        if outcome is Outcome.DONE and units > 0:
            self.settle(request.counter_call, units - request.units)
        advance(TASK, request, "served" if final else "lost", self)

    def response_started(self, attempt: Attempt) -> None:
        advance(TASK, attempt.request, "flowing", self)

    def client_disconnected(self, request: Request) -> None:
        advance(TASK, request, "client gone", self)

    def timer_fired(self, why: CounterCall | Attempt) -> None:
        """The budget of a call is up, or a forward has been out for long."""
        if isinstance(why, Attempt):
            if why.outcome is None:
                advance(TASK, why.request, "stuck", self)
        elif not why.answered and not why.timed_out:
            why.timed_out = True
            self.breaker.cut()
            self.breaker.tell("failed")
            advance(TASK, why.request, "unanswered", self)

    def ask(self, request: Request) -> str | None:
        account, plan = request.customer.account, request.plan
        if self.stale(request) and not self.breaker.calm():
            return "stale"
        if plan.max_in_flight and account.in_flight >= max(1, plan.max_in_flight // account.subset_size):
            return "over"
        if plan.rate <= 0:
            return "within"
        over = account.local is None and account.spell_at(self.now) + request.units > plan.burst + SPELL_SLACK
        if over and not self.breaker.calm():
            return "over"  # guards a crowded counter: others only add, so a call cannot change the answer
        if not self.has_counter or not self.breaker.lets_call():
            return "unanswered"
        if self.shared is not None:
            account.journal += self.shared.carry_over(request.customer.key, account.window)
        amount, account.debt = request.units - account.debt + account.journal, 0.0
        carried, account.journal = account.journal, 0.0
        request.counter_call = self.call(request.customer, amount)
        request.counter_call.request, request.counter_call.carried = request, carried
        budget = self.breaker.budget(BUDGET_MOST * request.request_class.latency_objective_ms)
        self.door.start_timer(max(0.0, min(budget, (request.deadline - self.now) / 2)), request.counter_call)
        return None

    def stale(self, request: Request) -> bool:
        """Guards a crowded counter against tries past the quoted time, told by how little time they have."""
        request_class, left = (
            request.request_class,
            int(min(request.deadline - request.received_at, request.request_class.deadline_ms) // 50.0),
        )
        seen = self.lefts.setdefault(request_class, {})
        seen[left] = seen.get(left, 0) + 1
        usual = self.usual[request_class] = max(
            left, self.usual.get(request_class, left), key=seen.__getitem__
        )
        waited = request_class.deadline_ms - left * 50.0 if left < usual - 1 else 0.0
        return waited > request_class.latency_objective_ms and not request_class.late_priority_weight

    def emergency(self, request: Request) -> str:
        """Guards against shares of gateways that have ended, which nobody would take; without a view it is
        the whole set's even share. Hurts by what a gateway takes that is back before its return is heard."""
        account = request.customer.account
        active_members = (
            account.subset_size
            if self.peers is None
            else self.peers.active_members(request.subset_start, account.subset_size)
        )
        if not account.lets_in(request.units, self.now, active_members):
            return "over"
        if self.shared is not None and (request.counter_call is None or not request.counter_call.applied):
            self.lend(request)
        return "within"

    def lend(self, request: Request) -> None:
        """Units let in that the counter does not know are told to the others, and ride on our next add to
        the name. Of an add whose end is not known they stay told, and are not added again: it may have
        landed; counting twice refuses some, where not counting would let more in than the quota."""
        call, account, units = request.counter_call, request.customer.account, request.units
        self.shared.record_uncounted(request.customer.key, account.window, account.quota, units)
        if call is None or call.recorded_uncounted < 0:  # never sent, or proved not added
            account.journal += units
        else:
            call.recorded_uncounted = units

    def square(self, call: CounterCall, outcome: Outcome) -> None:
        """The end of an add is known: what it carried, and what was let in while it was out, is paid or rides
        on the next one."""
        account, units = call.customer.account, call.carried + call.recorded_uncounted
        if call.applied and units:
            self.shared.reconcile(call.customer.key, call.window, units)
        elif outcome in NEVER_RAN:
            if account is not None and call.window == account.window:
                account.journal += units
            call.recorded_uncounted = -1.0  # proved not added

    def beyond(self, request: Request) -> str:
        self.refund(request)
        return (
            self.place(request)
            if request.plan.over_quota_weight > request.plan.over_quota_cost
            else "nowhere"
        )

    def refund(self, request: Request) -> None:
        call, request.counter_call = request.counter_call, None  # once only
        if call is not None and call.applied and not call.timed_out:
            self.settle(call, -request.units)

    def settle(self, call: CounterCall | None, units: float) -> None:
        """Owe units to the name counted under: they ride on its next add, or go alone while all is calm."""
        account = call.customer.account if call is not None else None
        if account is not None and call.window == account.window and units:
            account.debt -= units
            if self.breaker.calm():
                amount, account.debt = -account.debt, 0.0
                self.call(call.customer, amount)

    def call(self, customer: Customer, amount: float) -> CounterCall:
        account = customer.account
        life = min(LONGEST_NAME_MS, NAMES_LAST * account.window_ms)
        call = CounterCall(customer, account.name(customer), account.window, amount, life, self.now)
        self.door.call_counter(call)
        return call

    def account(self, request: Request) -> QuotaAccount:
        """The customer's book. Guards against floods of customers seen once: old ones are dropped."""
        customer = request.customer
        if customer.account is None:
            customer.account = self.open_book(
                request.plan, request.subset_size, self.now, request.subset_start, self.began
            )
        self.accounts.pop(customer, None)
        self.accounts[customer] = None
        customer.account.touched_at = self.now
        oldest = next(iter(self.accounts))
        del self.accounts[
            oldest
        ]  # one look a task; a book at rest is as good as a new one, but for its ceiling
        life = LONGEST_NAME_MS if oldest.account.ceiling else 2.0 * oldest.account.window_ms
        if self.now - oldest.account.touched_at > life and not oldest.account.in_flight:
            oldest.account = None
        else:
            self.accounts[oldest] = None
        return customer.account

    def place(self, request: Request) -> str:
        account = request.customer.account
        quoted_left = (
            min(request.received_at + request.request_class.latency_objective_ms, request.deadline) - self.now
        )
        sure = request.plan.rate <= 0 or (
            request.counter_call is not None
            and request.counter_call.applied
            and not request.counter_call.timed_out
        )
        part = TOO_LATE if sure or self.breaker.state == "open" else TOO_LATE_UNSURE
        longest = self.fleet.longest_queue(part) * self.fleet.earning(request)
        host = self.fleet.pick(request, self.allowed(request), longest)
        if host is None:
            return "nowhere"
        expected = self.fleet.expected(host)
        own = expected * self.fleet.size(request.request_class, round(request.units))
        over = max(expected / longest, own / (LATE * quoted_left)) if quoted_left > 0 else float("inf")
        if over > 1.0 and (host.health.outs or not self.fleet.tries(over)):
            return "nowhere"
        if (
            not request.attempts
            and account.ceiling is not None
            and not account.ceiling.take(request.units, self.now)
        ):
            return "nowhere"
        attempt, ran = Attempt(request, host, self.now, len(host.health.outs)), self.may_have_run(request)
        if ran is not None and MAY_HAVE_RUN[request.request_class.kind][0] == "group":
            attempt.send_before = (
                ran.sent_at + request.request_class.idempotency_window_ms
            )  # guards against a dial that outlasts it
        request.attempts.append(attempt)
        request.in_flight += 1
        account.in_flight += 1
        self.fleet.sent(attempt)
        # Guards against hosts busy with what is too late; a harmless task's client would only ask again.
        stops = (
            request.request_class.kind is not Idempotency.IDEMPOTENT
            and not request.request_class.late_priority_weight
        )
        self.door.send_attempt(
            attempt, request.received_at + request.request_class.latency_objective_ms if stops else None
        )
        self.watch(attempt)
        return "sent"

    def watch(self, attempt: Attempt) -> None:
        request = attempt.request
        if MAY_HAVE_RUN[request.request_class.kind][0] == "no" or not self.leave.withdraw:
            return
        mean = self.fleet.mean_answer() * self.fleet.size(request.request_class, round(request.units))
        if (
            self.now + (PATIENCE + 1.0) * mean
            < request.received_at + request.request_class.latency_objective_ms
        ):
            self.door.start_timer(PATIENCE * mean, attempt)

    def pull(self, request: Request) -> None:
        """Guards against hosts that hang, vanish or lose answers: none since. Others are only slow."""
        attempt = request.attempts[-1]
        if attempt.host.health.answered_at > attempt.sent_at:
            self.watch(attempt)
        elif len(request.attempts) < self.leave.max_attempts and self.fleet.spare():
            self.door.cancel(attempt)

    def may_have_run(self, request: Request) -> Attempt | None:
        return next((f for f in request.attempts if f.outcome not in NEVER_RAN), None)

    def allowed(self, request: Request) -> list[Host]:
        """The ready hosts that may get the task."""
        hosts, ran, right = (
            self.fleet.ready,
            self.may_have_run(request),
            MAY_HAVE_RUN[request.request_class.kind][0],
        )
        if request.in_flight or not hosts or (ran is not None and not self.fleet.spare()):
            return []
        if len(request.attempts) >= self.leave.max_attempts or (ran is not None and right == "no"):
            return []
        if ran is not None and right == "group":
            if self.now - ran.sent_at >= request.request_class.idempotency_window_ms:
                return []
            if request.request_class.group in GROUP_OF:
                of = GROUP_OF[request.request_class.group]
                hosts = [host for host in hosts if of(host) == of(ran.host)]
        return hosts

    def give_up(self, request: Request) -> None:
        """The one final answer, at once: a deferral where trying again is proved harmless."""
        ran, request_class = self.may_have_run(request), request.request_class
        if not request.attempts:
            self.refund(request)
        right = "yes" if ran is None else MAY_HAVE_RUN[request_class.kind][1]
        if right == "whole group" and request_class.group is IdempotencyScope.ALL:
            right = "yes" if self.now - ran.sent_at < request_class.idempotency_window_ms else "no"
        if right == "yes":
            self.door.reject(request, self.retry_after_ms(request) if self.leave.retry_after else None)
        else:
            self.door.fail(request)

    def retry_after_ms(self, request: Request) -> float:
        account, waits = request.customer.account, [self.fleet.mean_answer()]
        if request.plan.rate > 0:
            waits.append(
                (account.spell_at(self.now) + request.units - request.plan.burst) / request.plan.rate
            )
        if account.ceiling is not None and not request.attempts:
            waits.append((request.units - account.ceiling.room(self.now)) / account.ceiling.rate)
        return min(max(waits), self.leave.max_retry_after_ms)
