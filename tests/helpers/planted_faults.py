"""Faults that tests plant in the program: one for each rule, and two for membership. Each is found."""

from functools import wraps

from granitedock.membership.anti_entropy import AntiEntropy
from granitedock.membership.member import ENDED_STATES, MemberState
from granitedock.membership.member_slots import MemberSlots
from granitedock.membership.timers import NEVER, Timer
from granitedock.model_checking.gateway_world_shape import GatewayWorldShape
from granitedock.policy.load_balancer import LoadBalancer
from granitedock.policy.retry_rules import REPEAT_RIGHTS, RepeatRights, Right
from granitedock.policy.token_bucket import TokenBucket
from granitedock.policy.types import EndpointStatus, Idempotency
from granitedock.service.dispatcher import HANDLERS
from granitedock.service.host_connections import HostConnections
from granitedock.service.inputs import Input
from granitedock.service.reply_queues import ReplyQueues


def twice(monkeypatch):
    fill = ReplyQueues.fill

    def filled(self, client, waiting, answer):
        fill(self, client, waiting, answer)
        self.context.emit(client.link.send, answer)

    monkeypatch.setattr(ReplyQueues, "fill", filled)


def sent_again(monkeypatch):
    monkeypatch.setitem(REPEAT_RIGHTS, Idempotency.NON_IDEMPOTENT, RepeatRights(Right.ALWAYS, Right.NEVER))


def deferred_though_it_ran(monkeypatch):
    monkeypatch.setitem(REPEAT_RIGHTS, Idempotency.NON_IDEMPOTENT, RepeatRights(Right.NEVER, Right.ALWAYS))


def never_brought_back(monkeypatch):
    monkeypatch.setitem(HANDLERS, Input.ATTEMPT_DEADLINE, lambda gateway, connection, attempt: None)
    monkeypatch.setitem(HANDLERS, Input.REQUEST_WATCHDOG, lambda gateway, request: None)


def sent_to_those_that_drain(monkeypatch):
    update_endpoints = LoadBalancer.update_endpoints

    @wraps(update_endpoints)  # a bound method is pickled by its name
    def updated(self, updates, complete):
        for update in updates:
            object.__setattr__(update, "status", EndpointStatus.READY)
        update_endpoints(self, updates, complete)

    monkeypatch.setattr(LoadBalancer, "update_endpoints", updated)


def ceiling_not_kept(monkeypatch):
    monkeypatch.setattr(TokenBucket, "take", lambda self, units, now: True)


def two_copies(monkeypatch):
    """A forward that is withdrawn is made again while its connection stays open."""
    cancel_waiting = HostConnections.cancel_waiting

    def kept(self, connection):
        before = len(self.context.effects)
        cancel_waiting(self, connection)
        del self.context.effects[before:]

    monkeypatch.setattr(HostConnections, "cancel_waiting", kept)


PLANTED = {
    "answers twice": (twice, GatewayWorldShape(1, 1, ("read",), 0), "rule 1: t0 was answered 2 times"),
    "never answers": (
        never_brought_back,
        GatewayWorldShape(1, 1, ("once",), 1),
        "rule 1: t0 was answered late",
    ),
    "two copies": (
        two_copies,
        GatewayWorldShape(1, 2, ("read",), 1, warm_up_requests=12),
        "rule 2: t0 is out at",
    ),
    "one-shot again": (
        sent_again,
        GatewayWorldShape(1, 2, ("once",), 1),
        "rule 2: t0 (once) may have run at",
    ),
    "one-shot deferred": (
        deferred_though_it_ran,
        GatewayWorldShape(1, 2, ("once",), 1),
        "rule 2: t0 (once) may have run",
    ),
    "drains": (sent_to_those_that_drain, GatewayWorldShape(1, 1, ("read",), 2), "rule 3: t"),
    "ceiling": (ceiling_not_kept, GatewayWorldShape(2, 1, ("read!",) * 3, 0), "rule 5: over the ceiling"),
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
