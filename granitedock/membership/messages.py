"""The protocol's messages, and the payloads that other services send in messages of their own kinds."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from types import MappingProxyType
from typing import Any

from granitedock.membership.member import Member, MemberUpdate


class MessageKind(IntEnum):
    """The protocol's own kinds of message, with their numbers in datagrams."""

    PING = 0  # `number` is the sequence number, `word` the target's name.
    ACK = 1  # `number` is the ping's, `word` the name of the member that answered it.
    PING_REQ = 2  # Asks for an indirect probe of the member `word`, whose address is in the updates.
    NACK = 3  # `number` is the requester's; the target has not answered the helper's ping in time.
    GOSSIP = 4  # Carries only updates.
    PULL = 5  # Asks for the members with names after `word`.
    PAGE = 6  # Some members; `word` is the name to resume after, empty at the end of the table.


@dataclass(frozen=True, slots=True)
class PayloadType:
    """A service's kind of message: its number in datagrams, and the codec of one row.

    Rows are the service's own types. `decode_row` raises MalformedMessageError.
    """

    kind: int
    encode_row: Callable[[Any], list[Any]]
    decode_row: Callable[[Any], Any]


PayloadTypes = Mapping[int, PayloadType]  # By kind.
NO_PAYLOADS: PayloadTypes = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram; the kind determines the meaning of `number` and `word`.

    `kind` is a MessageKind or the kind of a payload type, whose rows are in `payload`.
    """

    kind: int
    sender: Member
    number: int = 0
    word: str = ""
    updates: tuple[MemberUpdate, ...] = ()
    payload: tuple[Any, ...] = ()
