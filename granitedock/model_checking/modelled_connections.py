"""Connections of a modelled gateway, as its state machine sees them (`granitedock.service.ports`).

What is written goes to the world; nothing comes in parts, and no received byte lies unread.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, ClassVar

from granitedock.model_checking import gateway_moves as move_names
from granitedock.service.inputs import Input

if TYPE_CHECKING:
    from granitedock.model_checking.modelled_gateway import ModelledGateway


@dataclass(eq=False, slots=True)
class ModelledConnection:
    """An open connection. `record` is the state machine's own record of it."""

    modelled_gateway: ModelledGateway
    record: Any = None
    open: bool = True
    received_bytes: int = 0

    disconnected: ClassVar[Input]

    def abort(self) -> None:
        """Close at once; the end comes back as an input, once, as from a socket."""
        if self.open:
            self.open = False
            self.drop_pending()
            self.modelled_gateway.queue_input(self.disconnected, self.record)

    def drop_pending(self) -> None:
        """Forget what was to come on it, as this side has closed it."""

    def has_partial_message(self) -> bool:
        """Never: nothing comes in parts."""
        return False


@dataclass(eq=False, slots=True)
class ModelledClientConnection(ModelledConnection):
    """A client's connection."""

    disconnected: ClassVar[Input] = Input.CLIENT_DISCONNECTED

    def send(self, data: bytes) -> None:
        """The client reads at once."""
        self.modelled_gateway.world.client_received(self.record, data)

    def close(self) -> None:
        """As `abort`: all is written at once."""
        self.abort()

    def close_both_sides(self) -> None:
        """As `abort`: all is written at once."""
        self.abort()

    def check_unread(self, then: Input) -> None:
        """Bring `then`: no command ever lies unread."""
        if self.open:
            self.modelled_gateway.queue_input(then, self.record)

    def drain_input(self) -> None:
        """All is read already."""


@dataclass(eq=False, slots=True)
class ModelledHostConnection(ModelledConnection):
    """A connection to a host. `closes_early`: nothing written to it arrives whole.

    `attempt`: the name of the request and the number of the attempt that is in flight on it.
    """

    closes_early: bool = False
    attempt: tuple[str, int] | None = None

    disconnected: ClassVar[Input] = Input.HOST_DISCONNECTED

    def send(self, _data: bytes, _at_once: bool) -> None:
        """A request leaves for the host."""
        if not self.closes_early:
            self.modelled_gateway.world.attempt_sent(self.modelled_gateway, self)

    def drop_pending(self) -> None:
        """The attempt on it is cancelled."""
        self.end_attempt(move_names.CANCELLED)

    def end_attempt(self, ending: str) -> None:
        """Note how the attempt on it ended, if there is one."""
        if self.attempt is not None:
            self.modelled_gateway.world.attempt_ended(self.modelled_gateway.number, *self.attempt, ending)


@dataclass(eq=False, slots=True)
class ModelledCounterConnection(ModelledConnection):
    """A connection to the counter."""

    disconnected: ClassVar[Input] = Input.COUNTER_DISCONNECTED

    def send(self, _data: bytes) -> None:
        """Calls leave for the counter."""
        self.modelled_gateway.world.counter_calls_sent(self.modelled_gateway, self.record)

    def drop_pending(self) -> None:
        """Calls that wait on it are never answered."""
        self.modelled_gateway.world.pending.discard_calls(self.record)


@dataclass(eq=False, slots=True)
class ModelledWatchConnection(ModelledConnection):
    """A watch on discovery."""

    disconnected: ClassVar[Input] = Input.WATCH_DISCONNECTED

    def has_unread_bytes(self) -> bool:
        """Never: all is read at once."""
        return False
