"""What may come next in a world of gateways, by keys that every way to a state gives alike."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from granitedock.model_checking.gateway_moves import COUNTER_REPLY, RESPONSE, EventKey

if TYPE_CHECKING:
    from granitedock.policy.types import CounterCall
    from granitedock.service.counter_connection import CounterConnection


@dataclass(frozen=True, slots=True)
class SentCall:
    """A call that was written to the counter, and the connection that it waits on."""

    connection: CounterConnection
    call: CounterCall

    def is_first(self) -> bool:
        """Whether it is answered next: replies come in the order of the calls."""
        return self.connection.waiting[0] is self.call


class PendingEvents:
    """Events that are due now, and those that were delayed; each with what it is about."""

    def __init__(self) -> None:
        self.due: dict[EventKey, Any] = {}
        self.delayed: dict[EventKey, Any] = {}

    def add(self, event: EventKey, subject: Any = None) -> None:
        """An event is due."""
        self.due[event] = subject

    def take(self, event: EventKey) -> Any:
        """Remove an event that happens; what it is about."""
        return (self.due if event in self.due else self.delayed).pop(event)

    def delay(self, event: EventKey) -> None:
        """An event that was due may come at any later moment."""
        self.delayed[event] = self.due.pop(event)

    def ready_due(self) -> list[EventKey]:
        """Due events that may happen next, sorted."""
        return _ready(self.due)

    def ready_delayed(self) -> list[EventKey]:
        """Delayed events that may happen next, sorted."""
        return _ready(self.delayed)

    def sent_calls(self) -> list[SentCall]:
        """Calls to the counter that have no reply."""
        return [call for events in self._both() for _, call in _sent_calls(events)]

    def discard_response(self, gateway: int, request: str, attempt: int) -> None:
        """No response comes for an attempt."""
        for events in self._both():
            events.pop((RESPONSE, gateway, request, attempt), None)

    def discard_calls(self, connection: CounterConnection) -> None:
        """A connection has ended: calls that wait on it are not added, and never answered."""
        for events in self._both():
            for event, sent in _sent_calls(events):
                if sent.connection is connection:
                    del events[event]

    def discard_gateway(self, gateway: int) -> None:
        """Nothing comes to a gateway any more."""
        for events in self._both():
            for event in [event for event in events if event[1] == gateway]:
                del events[event]

    def in_order(self) -> list[tuple[EventKey, Any]]:
        """All events with what they are about, due ones first, each part sorted."""
        return [(event, events[event]) for events in self._both() for event in sorted(events)]

    def _both(self) -> Iterator[dict[EventKey, Any]]:
        yield self.due
        yield self.delayed


def _ready(events: dict[EventKey, Any]) -> list[EventKey]:
    return [event for event in sorted(events) if event[0] != COUNTER_REPLY or events[event].is_first()]


def _sent_calls(events: dict[EventKey, Any]) -> list[tuple[EventKey, SentCall]]:
    return [(event, subject) for event, subject in events.items() if event[0] == COUNTER_REPLY]
