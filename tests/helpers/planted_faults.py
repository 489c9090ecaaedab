"""Faults that tests plant in the program: at least one for each checked rule, and two for membership.

A search has to report each of them (tests/model_checking).
"""

from functools import wraps

from granitedock.membership.anti_entropy import AntiEntropy
from granitedock.membership.member import ENDED_STATES, MemberState
from granitedock.membership.member_slots import MemberSlots
from granitedock.membership.timers import NEVER, Timer
from granitedock.model_checking.gateway_world_shape import GatewayWorldShape
from granitedock.policy.address_ownership import AddressOwnership
from granitedock.policy.load_balancer import LoadBalancer
from granitedock.policy.retry_rules import NEVER_RAN, REPEAT_RULES, RepeatCondition, RepeatRules
from granitedock.policy.token_bucket import TokenBucket
from granitedock.policy.types import EndpointStatus, Idempotency
from granitedock.service.dispatcher import HANDLERS
from granitedock.service.host_connections import HostConnections
from granitedock.service.inputs import Input
from granitedock.service.reply_queues import ReplyQueues


def answer_twice(monkeypatch):
    """Write each answer twice."""
    fill = ReplyQueues.fill

    def fill_twice(self, client, waiting, answer):
        fill(self, client, waiting, answer)
        self.context.emit(client.link.send, answer)

    monkeypatch.setattr(ReplyQueues, "fill", fill_twice)


def repeat_non_idempotent(monkeypatch):
    """Repeat a non-idempotent request after an attempt that may have run."""
    monkeypatch.setitem(
        REPEAT_RULES, Idempotency.NON_IDEMPOTENT, RepeatRules(RepeatCondition.ALWAYS, RepeatCondition.NEVER)
    )


def reject_after_run(monkeypatch):
    """Reject a non-idempotent request after an attempt that may have run."""
    monkeypatch.setitem(
        REPEAT_RULES, Idempotency.NON_IDEMPOTENT, RepeatRules(RepeatCondition.NEVER, RepeatCondition.ALWAYS)
    )


def never_answer(monkeypatch):
    """Disable the deadline of an attempt and the watchdog of a request."""
    monkeypatch.setitem(HANDLERS, Input.ATTEMPT_DEADLINE, lambda gateway, connection, attempt: None)
    monkeypatch.setitem(HANDLERS, Input.REQUEST_WATCHDOG, lambda gateway, request: None)


def send_to_draining_hosts(monkeypatch):
    """Change every status in endpoint updates to READY, so that no host is listed as draining."""
    update_endpoints = LoadBalancer.update_endpoints

    @wraps(update_endpoints)  # A bound method is pickled by its name.
    def update_as_ready(self, updates, complete):
        for update in updates:
            object.__setattr__(update, "status", EndpointStatus.READY)
        update_endpoints(self, updates, complete)

    monkeypatch.setattr(LoadBalancer, "update_endpoints", update_as_ready)


def ignore_ceiling(monkeypatch):
    """Let token buckets admit every request."""
    monkeypatch.setattr(TokenBucket, "take", lambda self, units, now: True)


def keep_cancelled_attempts(monkeypatch):
    """Leave the connection of a cancelled attempt open while the request is retried."""
    cancel_waiting = HostConnections.cancel_waiting

    def cancel_without_effects(self, connection):
        before = len(self.context.effects)
        cancel_waiting(self, connection)
        del self.context.effects[before:]

    monkeypatch.setattr(HostConnections, "cancel_waiting", cancel_without_effects)


def forget_ended_processes(monkeypatch):
    """Let each listed process run, whichever process has its address."""
    monkeypatch.setattr(AddressOwnership, "superseded_by", lambda self, entry: None)


def forget_successors(monkeypatch):
    """Leave out, of the processes that may have run a request, those that took the addresses of its hosts."""

    def hosts_of_attempts(request):
        return (attempt.host for attempt in request.attempts if attempt.outcome not in NEVER_RAN)

    monkeypatch.setattr("granitedock.policy.retry_rules.possible_executors", hosts_of_attempts)


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
    "ended host again": (
        forget_ended_processes,
        GatewayWorldShape(1, 2, ("mark",), 1, replacement=True),
        "rule 2: t0 was sent to h1, whose address has a later process",
    ),
    "another cell": (
        forget_successors,
        GatewayWorldShape(1, 4, ("mark",), 2, replacement=True),
        "rule 2: t0 may have run in cell 1, not 0",
    ),
    "ceiling": (ignore_ceiling, GatewayWorldShape(2, 1, ("read!",) * 3, 0), "rule 5: over the ceiling"),
}


def treat_dead_as_ended(monkeypatch):
    """Count a member that is only DEAD as ended, so that its slot is vacant at once."""
    monkeypatch.setattr(
        "granitedock.membership.member_slots.ENDED_STATES", frozenset({MemberState.DEAD, *ENDED_STATES})
    )
    monkeypatch.setattr(MemberSlots, "is_vacant", lambda self, now, slot: slot in self.vacancies)


def disable_anti_entropy(monkeypatch):
    """Disable anti-entropy, so that members that are not live are never contacted again."""
    timers = {"revive": Timer.REVIVE, "sync": Timer.SYNC, "join": Timer.JOIN}
    for method, timer in timers.items():
        monkeypatch.setattr(
            AntiEntropy, method, lambda self, timer=timer: self.state.timers.update({timer: NEVER})
        )
