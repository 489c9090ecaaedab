"""Faults that tests plant in the program: one for each rule, and two for membership. Each is found."""

from functools import wraps

from granitedock.membership.anti_entropy import AntiEntropy
from granitedock.membership.member import ENDED_STATES, MemberState
from granitedock.membership.member_slots import MemberSlots
from granitedock.membership.timers import NEVER, Timer
from granitedock.model_checking.gateway_world_shape import GatewayWorldShape
from granitedock.policy.load_balancer import LoadBalancer
from granitedock.policy.retry_rules import REPEAT_RULES, RepeatCondition, RepeatRules
from granitedock.policy.token_bucket import TokenBucket
from granitedock.policy.types import EndpointStatus, Idempotency
from granitedock.service.dispatcher import HANDLERS
from granitedock.service.host_connections import HostConnections
from granitedock.service.inputs import Input
from granitedock.service.reply_queues import ReplyQueues


def answer_twice(monkeypatch):
    """Each answer is written twice."""
    fill = ReplyQueues.fill

    def filled(self, client, waiting, answer):
        fill(self, client, waiting, answer)
        self.context.emit(client.link.send, answer)

    monkeypatch.setattr(ReplyQueues, "fill", filled)


def repeat_non_idempotent(monkeypatch):
    """A non-idempotent request is sent again after an attempt that may have run."""
    monkeypatch.setitem(
        REPEAT_RULES, Idempotency.NON_IDEMPOTENT, RepeatRules(RepeatCondition.ALWAYS, RepeatCondition.NEVER)
    )


def reject_after_run(monkeypatch):
    """A non-idempotent request is rejected after an attempt that may have run."""
    monkeypatch.setitem(
        REPEAT_RULES, Idempotency.NON_IDEMPOTENT, RepeatRules(RepeatCondition.NEVER, RepeatCondition.ALWAYS)
    )


def never_answer(monkeypatch):
    """Neither an attempt's deadline nor the request's watchdog does anything."""
    monkeypatch.setitem(HANDLERS, Input.ATTEMPT_DEADLINE, lambda gateway, connection, attempt: None)
    monkeypatch.setitem(HANDLERS, Input.REQUEST_WATCHDOG, lambda gateway, request: None)


def send_to_draining_hosts(monkeypatch):
    """Endpoint updates never say that a host drains."""
    update_endpoints = LoadBalancer.update_endpoints

    @wraps(update_endpoints)  # a bound method is pickled by its name
    def updated(self, updates, complete):
        for update in updates:
            object.__setattr__(update, "status", EndpointStatus.READY)
        update_endpoints(self, updates, complete)

    monkeypatch.setattr(LoadBalancer, "update_endpoints", updated)


def ignore_ceiling(monkeypatch):
    """Token buckets admit everything."""
    monkeypatch.setattr(TokenBucket, "take", lambda self, units, now: True)


def keep_cancelled_attempts(monkeypatch):
    """An attempt that is cancelled is made again while its connection stays open."""
    cancel_waiting = HostConnections.cancel_waiting

    def kept(self, connection):
        before = len(self.context.effects)
        cancel_waiting(self, connection)
        del self.context.effects[before:]

    monkeypatch.setattr(HostConnections, "cancel_waiting", kept)


PLANTED = {
    "answers twice": (answer_twice, GatewayWorldShape(1, 1, ("read",), 0), "rule 1: t0 was answered 2 times"),
    "never answers": (
        never_answer,
        GatewayWorldShape(1, 1, ("once",), 1),
        "rule 1: t0 was answered late",
    ),
    "two copies": (
        keep_cancelled_attempts,
        GatewayWorldShape(1, 2, ("read",), 1, warm_up_requests=12),
        "rule 2: t0 is out at",
    ),
    "one-shot again": (
        repeat_non_idempotent,
        GatewayWorldShape(1, 2, ("once",), 1),
        "rule 2: t0 (once) may have run at",
    ),
    "one-shot deferred": (
        reject_after_run,
        GatewayWorldShape(1, 2, ("once",), 1),
        "rule 2: t0 (once) may have run",
    ),
    "drains": (send_to_draining_hosts, GatewayWorldShape(1, 1, ("read",), 2), "rule 3: t"),
    "ceiling": (ignore_ceiling, GatewayWorldShape(2, 1, ("read!",) * 3, 0), "rule 5: over the ceiling"),
}


def take_silence_for_proof(monkeypatch):
    """A member that is only DEAD counts as ended, and its slot is vacant at once."""
    monkeypatch.setattr(
        "granitedock.membership.member_slots.ENDED_STATES", frozenset({MemberState.DEAD, *ENDED_STATES})
    )
    monkeypatch.setattr(MemberSlots, "is_vacant", lambda self, now, slot: slot in self.vacancies)


def never_search_for_ended_members(monkeypatch):
    """Members that are not live are never looked for again."""
    ways = {"revive": Timer.REVIVE, "sync": Timer.SYNC, "join": Timer.JOIN}
    for way, timer in ways.items():
        monkeypatch.setattr(
            AntiEntropy, way, lambda self, timer=timer: self.state.timers.update({timer: NEVER})
        )
