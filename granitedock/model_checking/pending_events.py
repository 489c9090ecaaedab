"""The events that can happen next in a world of gateways.

An event's key does not depend on the moves that led to the state: each path to it yields the same keys.
"""

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
    """A call that was written to the counter, and its connection."""

    connection: CounterConnection
    call: CounterCall

    def is_next(self) -> bool:
        """Return whether the next reply answers this call: replies arrive in the order of the calls."""
        return self.connection.waiting[0] is self.call


class PendingEvents:
    """The due events and the delayed events, each with its subject (a connection or a call)."""

    def __init__(self) -> None:
        self.due: dict[EventKey, Any] = {}
        self.delayed: dict[EventKey, Any] = {}

    def add(self, event: EventKey, subject: Any = None) -> None:
        """Add a due event."""
        self.due[event] = subject

    def pop(self, event: EventKey) -> Any:
        """Remove an event that happens, and return its subject."""
        return (self.due if event in self.due else self.delayed).pop(event)

    def delay(self, event: EventKey) -> None:
        """Delay a due event: it may happen at any later time."""
        self.delayed[event] = self.due.pop(event)

    def ready_due(self) -> list[EventKey]:
        """Return the due events that can happen next, sorted."""
        return _ready(self.due)

    def ready_delayed(self) -> list[EventKey]:
        """Return the delayed events that can happen next, sorted."""
        return _ready(self.delayed)

    def sent_calls(self) -> list[SentCall]:
        """Return the calls to the counter that have no reply yet."""
        return [call for events in self._tables() for _, call in _sent_calls(events)]

    def discard_response(self, gateway: int, request: str, attempt: int) -> None:
        """Remove the response to an attempt."""
        for events in self._tables():
            events.pop((RESPONSE, gateway, request, attempt), None)

    def discard_calls(self, connection: CounterConnection) -> None:
        """Remove the calls of a closed connection: the counter neither adds nor answers them."""
        for events in self._tables():
            for event, sent in _sent_calls(events):
                if sent.connection is connection:
                    del events[event]

    def discard_gateway(self, gateway: int) -> None:
        """Remove all events of a gateway."""
        for events in self._tables():
            for event in [event for event in events if event[1] == gateway]:
                del events[event]

    def in_order(self) -> list[tuple[EventKey, Any]]:
        """Return all events with their subjects: the due events, then the delayed ones, each sorted."""
        return [(event, events[event]) for events in self._tables() for event in sorted(events)]

    def _tables(self) -> Iterator[dict[EventKey, Any]]:
        yield self.due
        yield self.delayed


def _ready(events: dict[EventKey, Any]) -> list[EventKey]:
    return [event for event in sorted(events) if event[0] != COUNTER_REPLY or events[event].is_next()]


def _sent_calls(events: dict[EventKey, Any]) -> list[tuple[EventKey, SentCall]]:
    return [(event, subject) for event, subject in events.items() if event[0] == COUNTER_REPLY]
