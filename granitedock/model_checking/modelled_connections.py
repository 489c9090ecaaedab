"""Connections of a modelled gateway, with the interfaces of `granitedock.service.ports`.

Written data goes to the world. Messages arrive in full, and all received bytes are read at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING, Any, ClassVar

from granitedock.model_checking import gateway_moves as move_names
from granitedock.service.inputs import Input

if TYPE_CHECKING:
    from granitedock.model_checking.modelled_gateway import ModelledGateway


@dataclass(eq=False, slots=True)
class ModelledConnection:
    """An open connection. `record` is the state machine's record of it."""

    modelled_gateway: ModelledGateway
    record: Any = None
    open: bool = True
    received_bytes: int = 0

    disconnected: ClassVar[Input]

    def abort(self) -> None:
        """Close the connection at once, and queue the input `disconnected` once, as a socket does."""
        if self.open:
            self.open = False
            self.drop_pending()
            self.modelled_gateway.queue_input(self.disconnected, self.record)

    def drop_pending(self) -> None:
        """Discard the pending events of this connection, which the gateway has closed."""

    def has_partial_message(self) -> bool:
        """Return False: messages arrive in full."""
        return False


@dataclass(eq=False, slots=True)
class ModelledClientConnection(ModelledConnection):
    """A client's connection."""

    disconnected: ClassVar[Input] = Input.CLIENT_DISCONNECTED
    earliest_arrival_ms: ClassVar[float] = inf

    def send(self, data: bytes) -> None:
        """Pass the data to the client, which reads it at once."""
        self.modelled_gateway.world.client_received(self.record, data)

    def close(self) -> None:
        """Close the connection as `abort` does: all output is already written."""
        self.abort()

    def close_both_sides(self) -> None:
        """Close the connection as `abort` does: all output is already written."""
        self.abort()

    def check_peer(self, look_ahead: bool = True) -> bool:  # noqa: ARG002 - The signature is the port's.
        """Return whether the client has closed the connection, which is noticed at once."""
        return not self.open

    def unsent_bytes(self) -> int:
        """Return 0: clients read replies at once."""
        return 0

    def input_waits(self) -> bool:
        """Return False: all input is handled at once."""
        return False

    def hold_input(self) -> None:
        """Do nothing: few commands are pending."""

    def release_input(self) -> None:
        """Do nothing: input is never held."""

    def check_unread(self, then: Input) -> None:
        """Queue the input `then`: no command is ever unread."""
        if self.open:
            self.modelled_gateway.queue_input(then, self.record)

    def drain_input(self) -> None:
        """Do nothing: all input is already read."""


@dataclass(eq=False, slots=True)
class ModelledHostConnection(ModelledConnection):
    """A connection to a host. `closes_early`: no request written to it arrives in full.

    `attempt`: the name of the request and the number of the attempt that is in flight on it.
    """

    closes_early: bool = False
    attempt: tuple[str, int] | None = None

    disconnected: ClassVar[Input] = Input.HOST_DISCONNECTED

    def unacknowledged_bytes(self) -> int:
        """Return 0: messages arrive in full."""
        return 0

    def send(self, _data: bytes, _at_once: bool) -> None:
        """Pass an attempt's request to the host."""
        if not self.closes_early:
            self.modelled_gateway.world.attempt_sent(self.modelled_gateway, self)

    def drop_pending(self) -> None:
        """Cancel the attempt on this connection."""
        self.end_attempt(move_names.CANCELLED)

    def reset(self) -> None:
        """Close the connection on behalf of its host; the caller passes the input to the gateway."""
        self.open = False
        self.end_attempt(move_names.RESET)

    def end_attempt(self, ending: str) -> None:
        """Record the ending of the attempt on this connection, if there is one."""
        if self.attempt is not None:
            self.modelled_gateway.world.attempt_ended(self.modelled_gateway.number, *self.attempt, ending)


@dataclass(eq=False, slots=True)
class ModelledCounterConnection(ModelledConnection):
    """A connection to the counter."""

    disconnected: ClassVar[Input] = Input.COUNTER_DISCONNECTED

    def send(self, _data: bytes) -> None:
        """Pass the written calls to the counter."""
        self.modelled_gateway.world.counter_calls_sent(self.modelled_gateway, self.record)

    def drop_pending(self) -> None:
        """Discard the calls of this connection that have no reply: they are never answered."""
        self.modelled_gateway.world.pending.discard_calls(self.record)


@dataclass(eq=False, slots=True)
class ModelledWatchConnection(ModelledConnection):
    """A watch on discovery."""

    disconnected: ClassVar[Input] = Input.WATCH_DISCONNECTED

    def has_unread_bytes(self) -> bool:
        """Return False: all input is read at once."""
        return False
