"""A request as its client and the hosts know it. Times are Unix ms."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from granitedock.model_checking import gateway_moves as move_names
from granitedock.model_checking.gateway_world_shape import PLAIN_PLAN, REQUEST_CLASSES
from granitedock.policy.types import Idempotency

if TYPE_CHECKING:
    from granitedock.service.client_connections import ClientConnection

NOT_SENT = -1.0


class ModelledAnswer(NamedTuple):
    """What a client read: DONE, REJECTED or FAILED of `gateway_moves`."""

    at: float
    kind: str


@dataclass(slots=True)
class ModelledAttempt:
    """An attempt as its host knows it. `ending`: the host's outcome, IN_FLIGHT or CANCELLED."""

    host: int
    sent_at: float
    ended_at: float | None = None
    ending: str = move_names.IN_FLIGHT

    def end(self, now: float, ending: str) -> None:
        """Note how it ended; only the first end counts."""
        if self.ended_at is None:
            self.ended_at = now
            self.ending = ending

    def may_have_run(self) -> bool:
        """Whether the host has, or may have, begun to work on it."""
        return self.ending != move_names.OVERLOADED


@dataclass(slots=True)
class ModelledRequest:
    """A request, its answers and its attempts by number. `orphaned`: its gateway ended, nothing is owed."""

    request_class: str
    gateway: int
    plan: str = PLAIN_PLAN
    sent_at: float = NOT_SENT
    answers: list[ModelledAnswer] = field(default_factory=list)
    attempts: dict[int, ModelledAttempt] = field(default_factory=dict)
    orphaned: bool = False
    connection: ClientConnection | None = None

    @property
    def idempotency(self) -> Idempotency:
        """What a repeat of it does."""
        return REQUEST_CLASSES[self.request_class]

    def awaits_answer(self) -> bool:
        """Whether its client waits, or is to come."""
        return not self.answers and not self.orphaned
