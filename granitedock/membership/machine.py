"""The state machine of the view: observations in, messages, knocks and changes out; the clock is given.

SWIM with suspicion and incarnations, Lifeguard's parts for members that are slow themselves, pages of the
whole view in turn against lost news, and random tries at seeds and at those that are over, so that the sides
of a healed partition find each other. Every input is given with the time (ms, any steady clock); what it
brings about stands in `sends`, `knocks` and `changes` until the carrier takes it. Nothing here reads a clock,
a socket or a file. Options weighed and sources: docs/fleet-design.md.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random

from granitedock.membership.member import LIVE, OVER, Member, News, State
from granitedock.membership.news import NewsQueue
from granitedock.membership.pace import MOST_SLOW, Pace
from granitedock.membership.wire import Kind, Message, cost, room

NEVER = float("inf")
OLD_ADDRESSES = 16  # of members forgotten while over, tried among the seeds
FIRST_TOLD = 8  # when leaving


@dataclass(slots=True)
class Entry:
    """One other member, and what this one has of it at first hand."""

    member: Member
    since: float
    heard_at: float = -NEVER  # at first hand
    accusers: dict[str, None] = field(default_factory=dict)
    suspect_at: float = 0.0
    refused: int = 0  # knocks refused in a row since it was last heard
    refused_at: float = -NEVER


@dataclass(frozen=True, slots=True)
class Change:
    """What the view says of a member now; `was` is None for one not known before. `false`: it had been held
    for dead and was not."""

    member: Member
    was: State | None
    false: bool = False


@dataclass(slots=True)
class Probe:
    target: str
    number: int
    asked: int = 0  # helpers
    nacks: int = 0
    acked: bool = False


class View:
    """What one gateway holds of the others. `me` is its own record."""

    def __init__(
        self, me: Member, pace: Pace, seeds: tuple[str, ...], now: float, chance: Random, cluster: str = ""
    ) -> None:
        self.me, self.pace, self.chance, self.now, self.cluster = me, pace, chance, now, cluster
        self.seeds = tuple(seed for seed in seeds if seed != me.address)
        self.old_addresses: deque[str] = deque(maxlen=OLD_ADDRESSES)
        self.entries: dict[str, Entry] = {}
        self.by_address: dict[str, str] = {}
        self.suspects: dict[str, None] = {}
        self.over: dict[str, None] = {}  # dead, gone and left
        self.live: list[str] = []
        self.names: list[str] = []  # of all known, with our own, in order
        self.ring: list[str] = []
        self.first: list[str] = []  # to be asked before their turn
        self.stale = True  # `live` and `names` want making anew
        self.queue = NewsQueue()
        self.room = room(cluster, me)
        self.sends: list[tuple[str, Message]] = []
        self.knocks: list[str] = []
        self.changes: list[Change] = []
        self.counts: Counter[str] = Counter()
        self.slow = 0  # Lifeguard's local health: 0 is well
        self.doubt_until = -NEVER  # after a sleep nobody is accused or buried before this
        self.probe_out: Probe | None = None
        self.relays: dict[int, tuple[str, int, str, float]] = {}  # address, number, whom, until
        self.numbers, self.turns = chance.randrange(2**16), chance.randrange(2)
        self.seed_wait, self.cursor, self.pulled_at = pace.seeds_ms, "", -NEVER
        self.timers = {
            "probe": now + pace.period_ms * chance.random(),
            "hurry": NEVER,
            "knock_again": NEVER,
            "gossip": NEVER,
            "sync": now + pace.sync_ms * chance.random(),
            "seek": now,
            "revive": NEVER,
            "sweep": now + pace.forget_ms / 10,
        }
        self.again: list[str] = []  # addresses to knock at a second time
        self.expected = now
        self.queue.add(News(me))

    # Time.

    def due(self) -> float:
        """When it wants to be called next, if nothing comes before."""
        due = min(self.timers.values())
        for name in self.suspects:
            entry = self.entries[name]
            due = min(due, max(self.doubt_until, entry.suspect_at + self.lasts(entry)))
        for relay in self.relays.values():
            due = min(due, relay[3])
        return due

    def arrive(self, now: float) -> None:
        """Guards the others against a member that was paused or starved: its own clock gap is distrusted
        before anybody's silence. Whom it was asking is not blamed, suspicions begin anew, and for a while
        nobody is accused or buried."""
        gap = now - self.expected
        self.now = now
        if gap <= self.pace.gap_ms:
            return
        self.counts["slept"] += 1
        self.probe_out = None
        self.relays.clear()
        self.again = []
        self.timers["hurry"] = self.timers["knock_again"] = NEVER
        self.timers["probe"] = now + self.pace.period_ms * self.chance.random()
        self.doubt_until = now + self.pace.suspect_ms
        for name in self.suspects:
            self.entries[name].suspect_at = now
        for entry in self.entries.values():
            entry.refused = 0
        if self.pace.careful:
            self.slow = min(MOST_SLOW, self.slow + 1)

    def done(self) -> None:
        if self.queue and self.timers["gossip"] == NEVER:
            self.timers["gossip"] = self.now + self.pace.gossip_ms * (0.5 + 0.5 * self.chance.random())
        if self.over and self.timers["revive"] == NEVER:
            self.timers["revive"] = self.now + self.pace.revive_ms * self.chance.random()
        self.expected = max(self.now, self.due())

    def tick(self, now: float) -> None:
        """Whatever is due by now."""
        self.arrive(now)
        for name, due in self.timers.items():
            if due <= now:
                getattr(self, name)()
        for number, (address, asked, _, until) in list(self.relays.items()):
            if until <= now:
                del self.relays[number]
                self.send(address, Kind.NACK, asked)
        for name in list(self.suspects):
            self.judge(name)
        self.done()

    # Asking.

    def others(self) -> list[str]:
        """The live ones, without us."""
        if self.stale:
            self.stale = False
            self.live = [name for name, entry in self.entries.items() if entry.member.state in LIVE]
            self.names = sorted([self.me.name, *self.entries])
        return self.live

    def probe(self) -> None:
        self.timers["probe"] = self.now + self.pace.period_ms * (self.slow + 1)
        self.conclude()
        others = self.others()
        if not others:
            return
        self.turns += 1
        if self.first:
            target = self.first.pop(0)
        else:
            target = self.next_by_name() if self.turns % 2 else self.next_at_random(others)
        entry = self.entries.get(target)
        if entry is None or entry.member.state not in LIVE:
            return
        self.probe_out = Probe(target, self.number())
        self.ping(entry, self.probe_out.number)
        self.timers["hurry"] = self.now + self.pace.timeout_ms * (self.slow + 1)

    def next_by_name(self) -> str:
        """Every other time, the next in the order of names that is held alive. Guards against the chance that
        nobody asks a member for many periods: by random orders alone, one end in sixty was first suspected
        after 3.2 s in a fleet of forty; this way each is asked by the one before it every two periods."""
        after = bisect_right(self.names, self.me.name)
        for at in range(len(self.names)):
            name = self.names[(after + at) % len(self.names)]
            if name != self.me.name and self.entries[name].member.state is State.ALIVE:
                return name
        return ""

    def next_at_random(self, others: list[str]) -> str:
        """In a random order that is drawn anew each round: nobody waits longer than two rounds of anybody."""
        while self.ring and self.ring[-1] not in self.entries:
            self.ring.pop()
        if not self.ring:
            self.ring = self.chance.sample(others, len(others))
        return self.ring.pop()

    def number(self) -> int:
        self.numbers = (self.numbers + 1) % 2**32
        return self.numbers

    def ping(self, entry: Entry, number: int) -> None:
        self.send(entry.member.address, Kind.PING, number, entry.member.name, self.against(entry))

    def against(self, entry: Entry) -> list[News]:
        """What is said against a member goes to it first, so that it can answer at once (Lifeguard)."""
        if entry.member.state is State.ALIVE or not self.pace.careful:
            return []
        return [self.news_of(entry)]

    def news_of(self, entry: Entry, by: str = "") -> News:
        state = entry.member.state
        if state is State.SUSPECT:
            return News(entry.member, by=by or next(iter(entry.accusers), self.me.name))
        return News(entry.member, age_ms=max(1.0, self.now - entry.since) if state not in LIVE else 0.0)

    def hurry(self) -> None:
        """No answer in time: others ask for us, and a knock tells whether anybody listens there at all."""
        self.timers["hurry"] = NEVER
        probe = self.probe_out
        entry = self.entries.get(probe.target) if probe else None
        if probe is None or probe.acked or entry is None:
            return
        helpers = [name for name in self.others() if name != probe.target]
        helpers = self.chance.sample(helpers, min(self.pace.helpers, len(helpers)))
        probe.asked = len(helpers)
        for name in helpers:
            about = [News(entry.member.said(State.ALIVE))]
            self.send(self.entries[name].member.address, Kind.ASK, probe.number, probe.target, about)
        self.ping(entry, probe.number)
        self.knocks.append(entry.member.address)

    def conclude(self) -> None:
        """The end of the period: whom we asked is suspected if nothing came, by any way."""
        probe, self.probe_out = self.probe_out, None
        if probe is None or probe.acked:
            return
        entry = self.entries.get(probe.target)
        if self.pace.careful and not probe.nacks:
            # Helpers that all say nothing either speak against ourselves: we are the slow one, perhaps. One
            # that does answer says that our network is well, also where a cut has taken the others.
            self.slow = min(MOST_SLOW, self.slow + 1)
        if entry is not None and entry.member.state in LIVE and self.now >= self.doubt_until:
            self.accuse(entry, self.me.name)

    # Suspicion.

    def accuse(self, entry: Entry, by: str) -> None:
        if entry.member.state is State.ALIVE:
            entry.accusers, entry.suspect_at = {by: None}, self.now
            self.put(entry, entry.member.said(State.SUSPECT))
            self.queue.add(self.news_of(entry, by))
        elif by not in entry.accusers and len(entry.accusers) <= self.pace.confirmations:
            entry.accusers[by] = None
            self.queue.add(self.news_of(entry, by))

    def lasts(self, entry: Entry) -> float:
        """How long this suspicion lasts: the fewer share it, the longer (Lifeguard), since a lone accuser may
        be the one that is unwell."""
        pace = self.pace
        most = min(pace.confirmations, len(self.others()) - 1)
        if most <= 0 or not pace.careful:
            return pace.suspect_ms
        shared = min(1.0, math.log(len(entry.accusers)) / math.log(most + 1))
        return pace.suspect_most_ms - (pace.suspect_most_ms - pace.suspect_ms) * shared

    def judge(self, name: str) -> None:
        entry = self.entries[name]
        if self.now < max(self.doubt_until, entry.suspect_at + self.lasts(entry)):
            return
        if entry.heard_at > entry.suspect_at:
            # Guards against burying one that speaks to us while its answer to the suspicion is on its way.
            entry.suspect_at = self.now
            self.ping(entry, self.number())
            return
        self.put(entry, entry.member.said(State.DEAD))
        self.queue.add(self.news_of(entry))

    def refused(self, now: float, address: str) -> None:
        """A knock at this address was refused: nobody listens there. Twice, some time apart and with nothing
        heard between, proves that the process is gone; once may be a process that is just starting."""
        self.arrive(now)
        entry = self.entries.get(self.by_address.get(address, ""))
        if entry is not None and entry.member.state not in OVER:
            if entry.refused and now - entry.refused_at >= self.pace.knock_ms / 2:
                self.put(entry, entry.member.said(State.GONE))
                self.queue.add(self.news_of(entry))
            elif not entry.refused:
                entry.refused, entry.refused_at = 1, now
                self.again.append(address)
                self.timers["knock_again"] = min(self.timers["knock_again"], now + self.pace.knock_ms)
        self.done()

    def knock_again(self) -> None:
        self.timers["knock_again"] = NEVER
        self.knocks += self.again
        self.again = []

    # Telling.

    def send(
        self, address: str, kind: Kind, number: int = 0, word: str = "", first: list[News] | tuple = ()
    ) -> None:
        spent = sum(cost(news) for news in first)
        more = self.queue.take(self.room - spent, len(self.others()) + 1, cost) if kind != Kind.PAGE else []
        self.sends.append((address, Message(kind, self.me, number, word, (*first, *more))))

    def gossip(self) -> None:
        self.timers["gossip"] = NEVER
        others = self.others()
        for name in self.chance.sample(others, min(self.pace.fanout, len(others))):
            if not self.queue:
                break
            entry = self.entries[name]
            self.send(entry.member.address, Kind.NEWS, first=self.against(entry))

    def sync(self) -> None:
        """Guards against news that all tellers lost: the whole view goes round, a page at a time."""
        self.timers["sync"] = self.now + self.pace.sync_ms * (0.5 + self.chance.random())
        others = self.others()
        if others:
            # Half a datagram: the same load in a fleet of forty as in one of a thousand.
            page, self.cursor = self.page(self.cursor, self.room / 2)
            target = self.entries[self.chance.choice(others)].member.address
            self.send(target, Kind.PAGE, first=page)

    def page(self, after: str, room: float) -> tuple[list[News], str]:
        """The members whose names follow, as many as one datagram holds, and where to go on (empty: end)."""
        self.others()
        page, spent, last = [], 0, ""
        for name in self.names[bisect_right(self.names, after) :]:
            news = News(self.me) if name == self.me.name else self.news_of(self.entries[name])
            spent += cost(news)
            if spent > room:
                return page, last
            page.append(news)
            last = name
        return page, ""

    def seek(self) -> None:
        """Guards against standing alone, or on one side of a cut, for ever: seeds that are not among the
        live, and old addresses of those forgotten, are tried again and again, with growing random waits."""
        live = {self.entries[name].member.address for name in self.others()}
        missing = [at for at in dict.fromkeys((*self.seeds, *self.old_addresses)) if at not in live]
        if not live:
            for address in missing[:3]:
                self.send(address, Kind.PULL)
        elif missing:
            self.send(self.chance.choice(missing), Kind.PULL)
        self.timers["seek"] = self.now + self.seed_wait * (0.5 + 0.5 * self.chance.random())
        self.seed_wait = min(self.pace.seeds_most_ms, 2 * self.seed_wait)

    def revive(self) -> None:
        """One of those that are over is told so: if it lives after all, it says so, and both sides of what
        was a partition learn of each other from there."""
        self.timers["revive"] = NEVER
        names = [name for name in self.over if self.entries[name].member.state is not State.LEFT]
        if names:
            entry = self.entries[self.chance.choice(names)]
            self.send(
                entry.member.address, Kind.PING, self.number(), entry.member.name, [self.news_of(entry)]
            )
            if entry.member.state is State.DEAD:
                self.knocks.append(entry.member.address)

    def sweep(self) -> None:
        self.timers["sweep"] = self.now + self.pace.forget_ms / 10
        for name in list(self.over):
            entry = self.entries[name]
            if self.now - entry.since > self.pace.forget_ms:
                if entry.member.state is not State.LEFT and entry.member.address not in self.seeds:
                    self.old_addresses.append(entry.member.address)
                del self.entries[name], self.over[name]
                if self.by_address.get(entry.member.address) == name:
                    del self.by_address[entry.member.address]
                self.stale = True

    def leave(self, now: float) -> None:
        """We end, and say so, so that nobody has to suspect us."""
        self.arrive(now)
        self.me = self.me.said(State.LEFT)
        others = self.others()
        for name in self.chance.sample(others, min(FIRST_TOLD, len(others))):
            self.send(self.entries[name].member.address, Kind.NEWS)

    # Hearing.

    def heard(self, now: float, message: Message) -> None:
        """A message of this cluster came."""
        self.arrive(now)
        sender = message.sender
        if sender.name == self.me.name:
            if sender.address != self.me.address or sender.born != self.me.born:
                self.counts["namesakes"] += 1  # another process under our name, or ourselves before a restart
            self.done()
            return
        self.learn(News(sender), True, sender.name)
        entry = self.entries[sender.name]
        if sender.incarnation() >= entry.member.incarnation():
            entry.heard_at, entry.refused = now, 0
        for news in message.news:
            self.learn(news, message.kind is Kind.PAGE, sender.name)
        KINDS[message.kind](self, message, sender)
        if (
            entry.member.state is not State.ALIVE
            and sender.state is State.ALIVE
            and entry.member.incarnation() >= sender.incarnation()
            and message.kind is not Kind.PING  # the answer to that one says it already
        ):
            self.send(sender.address, Kind.NEWS, first=[self.news_of(entry)])
        self.done()

    def learn(self, news: News, page: bool, by: str) -> None:
        """Take in what is said of a member, if it is newer than what we hold. On a page, an end that only a
        silence spoke for is a suspicion: the other side of a healed cut would bury ours with it otherwise."""
        said = news.member
        if said.name == self.me.name:
            self.answer(said)
            return
        entry = self.entries.get(said.name)
        if entry is None:
            if said.state in LIVE or news.age_ms < self.pace.forget_ms:
                self.meet(news, by)
            return
        held = entry.member
        if said.state is State.SUSPECT and held.incarnation() == said.incarnation():
            if held.state in LIVE:
                if held.state is State.ALIVE:
                    self.look_ourselves(said.name)
                self.accuse(entry, news.by or by)
            return
        if said.rank() <= held.rank():
            return
        if page and said.state in (State.DEAD, State.GONE) and held.state in LIVE:
            if said.incarnation() > held.incarnation():
                self.put(entry, said.said(State.ALIVE))
            self.accuse(entry, by)
            return
        if said.state is State.SUSPECT:
            entry.accusers, entry.suspect_at = {(news.by or by): None}, self.now
        self.put(entry, said, news.age_ms)
        self.queue.add(news if said.state is not State.ALIVE else News(said))

    def look_ourselves(self, name: str) -> None:
        """A few of those that hear of a suspicion ask the suspect out of turn: a true one is shared by enough
        to end it soon, and a false one is answered by its victim, at a load that does not grow."""
        if self.chance.random() * len(self.others()) < 2 * self.pace.confirmations:
            self.first.append(name)

    def meet(self, news: News, by: str) -> None:
        said = news.member
        entry = self.entries[said.name] = Entry(said, self.now - news.age_ms)
        if said.state is State.SUSPECT:
            entry.accusers, entry.suspect_at = {(news.by or by): None}, self.now
        self.stale = True
        self.filed(entry)
        self.changes.append(Change(said, None))
        if said.state in LIVE:
            self.queue.add(news)
            # A place of its own in this round, at random, so that the new are asked as soon as the old.
            self.ring.insert(self.chance.randrange(len(self.ring) + 1), said.name)
            self.seed_wait = min(self.seed_wait, self.pace.seeds_most_ms / 4)

    def answer(self, said: Member) -> None:
        """Something was said of us. What is not so is contradicted at once, under a newer incarnation."""
        if self.me.state is State.LEFT or said.rank() <= self.me.rank():
            return
        if said.state is State.ALIVE and said.address == self.me.address:
            self.me = self.me.against(said)  # our own of before a restart, by a clock that was set back
        else:
            if said.state is not State.ALIVE:
                self.counts["refutations"] += 1
                if self.pace.careful:
                    self.slow = min(MOST_SLOW, self.slow + 1)
            self.me = self.me.against(said)
        self.queue.add(News(self.me))
        self.timers["gossip"] = self.now  # at once: a starved process may be paused again before its turn

    def put(self, entry: Entry, member: Member, age_ms: float = 0.0) -> None:
        was, state = entry.member, member.state
        false = was.state in (State.DEAD, State.GONE) and state in LIVE and was.born == member.born
        entry.member, entry.since = member, self.now - age_ms
        if was.address != member.address and self.by_address.get(was.address) == was.name:
            del self.by_address[was.address]
        self.filed(entry)
        if was.state != state or was.born != member.born:
            self.stale = True
            self.changes.append(Change(member, was.state, false))
            if state is State.SUSPECT:
                self.counts["suspicions"] += 1
            elif was.state is State.SUSPECT and state is State.ALIVE:
                self.counts["false_suspicions"] += 1
            self.counts["false_deaths"] += false
        if was.state not in LIVE and state in LIVE:
            self.ring.insert(self.chance.randrange(len(self.ring) + 1), member.name)
            if self.now - self.pulled_at > self.pace.sync_ms:
                # One that was over speaks: the other side of a cut may be behind it, so we ask for its view.
                self.pulled_at = self.now
                self.send(member.address, Kind.PULL)

    def filed(self, entry: Entry) -> None:
        member = entry.member
        self.by_address[member.address] = member.name
        self.suspects.pop(member.name, None)
        self.over.pop(member.name, None)
        if member.state is State.SUSPECT:
            self.suspects[member.name] = None
        elif member.state is not State.ALIVE:
            self.over[member.name] = None

    # The kinds of message.

    def on_ping(self, message: Message, sender: Member) -> None:
        if message.word != self.me.name:
            # Meant for one that had this address before; our own record goes back, which says who has it now.
            self.send(sender.address, Kind.NEWS)
            return
        entry = self.entries[sender.name]
        self.send(sender.address, Kind.ACK, message.number, self.me.name, self.against(entry))

    def on_ack(self, message: Message, sender: Member) -> None:
        probe = self.probe_out
        if probe and probe.number == message.number and probe.target == message.word:
            if not probe.acked and self.pace.careful:
                self.slow = max(0, self.slow - 1)
            probe.acked = True
            self.timers["hurry"] = NEVER
        relay = self.relays.get(message.number)
        if relay is not None and relay[2] == message.word == sender.name:
            del self.relays[message.number]
            about = [News(sender)] if sender.state in LIVE else []
            self.send(relay[0], Kind.ACK, relay[1], message.word, about)

    def on_ask(self, message: Message, sender: Member) -> None:
        about = next((news.member for news in message.news if news.member.name == message.word), None)
        if about is None or about.name == self.me.name:
            return
        number = self.number()
        until = self.now + self.pace.timeout_ms * 1.5
        self.relays[number] = (sender.address, message.number, about.name, until)
        entry = self.entries.get(about.name)
        self.send(
            about.address, Kind.PING, number, about.name, self.against(entry) if entry is not None else []
        )

    def on_nack(self, message: Message, sender: Member) -> None:
        probe = self.probe_out
        if probe and probe.number == message.number:
            probe.nacks += 1

    def on_news(self, message: Message, sender: Member) -> None:
        pass

    def on_pull(self, message: Message, sender: Member) -> None:
        page, word = self.page(message.word, self.room)
        self.send(sender.address, Kind.PAGE, 1, word, page)

    def on_page(self, message: Message, sender: Member) -> None:
        """Where we know better, we say so; and a view that we asked for is read to its end."""
        better = []
        for news in message.news:
            entry = self.entries.get(news.member.name)
            if entry is not None and entry.member.rank() > news.member.rank():
                better.append(self.news_of(entry))
            elif news.member.name == self.me.name and self.me.rank() > news.member.rank():
                better.append(News(self.me))
        if better:
            self.send(sender.address, Kind.NEWS, first=better)
        if message.word and message.number:
            self.send(sender.address, Kind.PULL, 0, message.word)


KINDS = {
    Kind.PING: View.on_ping,
    Kind.ACK: View.on_ack,
    Kind.ASK: View.on_ask,
    Kind.NACK: View.on_nack,
    Kind.NEWS: View.on_news,
    Kind.PULL: View.on_pull,
    Kind.PAGE: View.on_page,
    Kind.ROWS: View.on_news,  # its rows are for granitedock/quota_sharing
    Kind.EVIDENCE: View.on_news,  # and these for granitedock/outlier_detection
}
