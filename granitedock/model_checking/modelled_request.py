"""A request, its attempts and its answers, as observed by its client and the hosts. Times are Unix ms."""

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
    """An answer that a client read; `kind` is DONE, REJECTED or FAILED of `gateway_moves`."""

    answered_at: float
    kind: str


@dataclass(slots=True)
class ModelledAttempt:
    """An attempt as observed by its host. `ending` is the host's outcome, IN_FLIGHT or CANCELLED.

    `cell` is that of the process that received it, which may have replaced the host.
    """

    host: int
    sent_at: float
    cell: int = 0
    ended_at: float | None = None
    ending: str = move_names.IN_FLIGHT

    def end(self, now: float, ending: str) -> None:
        """Record the ending; only the first one counts."""
        if self.ended_at is None:
            self.ended_at = now
            self.ending = ending

    def may_have_run(self) -> bool:
        """Return whether the host has, or may have, started to process the attempt."""
        return self.ending != move_names.OVERLOADED


@dataclass(slots=True)
class ModelledRequest:
    """A request, its answers, and its attempts by number.

    `orphaned`: its gateway does not run any more, and the request needs no answer.
    """

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
        """Return the idempotency of the request's class."""
        return REQUEST_CLASSES[self.request_class]

    def awaits_answer(self) -> bool:
        """Return whether the request has no answer yet and needs one; it may still be unsent."""
        return not self.answers and not self.orphaned
