"""Faults that tests plant in the program: one for each rule, and two for membership. Each is found."""

from functools import wraps

from granitedock.membership.anti_entropy import AntiEntropy
from granitedock.membership.member import ENDED_STATES, MemberState
from granitedock.membership.member_slots import MemberSlots
from granitedock.membership.timers import NEVER, Timer
from granitedock.model_checking.gateways import Shape
from granitedock.policy import decisions
from granitedock.policy.decisions import TokenBucket
from granitedock.policy.types import EndpointStatus, Idempotency
from granitedock.service.reducer import INPUTS, Reducer


def twice(monkeypatch):
    fill = Reducer.fill

    def filled(self, caller, waiting, answer):
        fill(self, caller, waiting, answer)
        self.do(caller.link.send, answer)

    monkeypatch.setattr(Reducer, "fill", filled)


def sent_again(monkeypatch):
    monkeypatch.setitem(decisions.MAY_HAVE_RUN, Idempotency.NON_IDEMPOTENT, ("yes", "no"))


def deferred_though_it_ran(monkeypatch):
    monkeypatch.setitem(decisions.MAY_HAVE_RUN, Idempotency.NON_IDEMPOTENT, ("no", "yes"))


def never_brought_back(monkeypatch):
    monkeypatch.setitem(INPUTS, "late", lambda self, lane, attempt: None)
    monkeypatch.setitem(INPUTS, "forgotten", lambda self, errand: None)


def sent_to_those_that_drain(monkeypatch):
    roster = decisions.LoadBalancer.roster

    @wraps(roster)  # a bound method is pickled by its name
    def listed(self, sightings, whole):
        for sighting in sightings:
            object.__setattr__(sighting, "status", EndpointStatus.READY)
        roster(self, sightings, whole)

    monkeypatch.setattr(decisions.LoadBalancer, "roster", listed)


def ceiling_not_kept(monkeypatch):
    monkeypatch.setattr(TokenBucket, "take", lambda self, units, now: True)


def two_copies(monkeypatch):
    """A forward that is withdrawn is made again while its connection stays open."""
    called_off = Reducer.called_off

    def kept(self, lane):
        do, self.do = self.do, lambda *effect: None
        called_off(self, lane)
        self.do = do

    monkeypatch.setattr(Reducer, "called_off", kept)


PLANTED = {
    "answers twice": (twice, Shape(1, 1, ("read",), 0), "rule 1: t0 was answered 2 times"),
    "never answers": (never_brought_back, Shape(1, 1, ("once",), 1), "rule 1: t0 was answered late"),
    "two copies": (two_copies, Shape(1, 2, ("read",), 1, warm=12), "rule 2: t0 is out at"),
    "one-shot again": (sent_again, Shape(1, 2, ("once",), 1), "rule 2: t0 (once) may have run at"),
    "one-shot deferred": (
        deferred_though_it_ran,
        Shape(1, 2, ("once",), 1),
        "rule 2: t0 (once) may have run",
    ),
    "drains": (sent_to_those_that_drain, Shape(1, 1, ("read",), 2), "rule 3: t"),
    "ceiling": (ceiling_not_kept, Shape(2, 1, ("read!",) * 3, 0), "rule 5: over the ceiling"),
}


def silence_taken_for_proof(monkeypatch):
    monkeypatch.setattr(
        "granitedock.membership.member_slots.ENDED_STATES", frozenset({MemberState.DEAD, *ENDED_STATES})
    )
    monkeypatch.setattr(MemberSlots, "is_vacant", lambda self, now, slot: slot in self.vacancies)


def nobody_looks_for_those_that_are_over(monkeypatch):
    ways = {"revive": Timer.REVIVE, "sync": Timer.SYNC, "join": Timer.JOIN}
    for way, timer in ways.items():
        monkeypatch.setattr(
            AntiEntropy, way, lambda self, timer=timer: self.state.timers.update({timer: NEVER})
        )
