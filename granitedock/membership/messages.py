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

    PING = 0  # number, and whom it means
    ACK = 1  # number, and who is well
    PING_REQ = 2  # ping that member for me: number, and whom; its address is in the updates
    NACK = 3  # number: it has not answered me either
    GOSSIP = 4  # updates only
    PULL = 5  # asks for the members after this name
    PAGE = 6  # some members; the word is the name to ask on from, empty if these were the last


@dataclass(frozen=True, slots=True)
class PayloadType:
    """A service's kind of message: its number in datagrams, and the codec of one row.

    `decode_row` raises MalformedMessageError. Rows are the service's own types.
    """

    kind: int
    encode_row: Callable[[Any], list[Any]]
    decode_row: Callable[[Any], Any]


PayloadTypes = Mapping[int, PayloadType]  # by kind
NO_PAYLOADS: PayloadTypes = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram; `number` and `word` mean what their kind says.

    `kind` is a MessageKind, or that of a payload type, whose rows stand in `payload`.
    """

    kind: int
    sender: Member
    number: int = 0
    word: str = ""
    updates: tuple[MemberUpdate, ...] = ()
    payload: tuple[Any, ...] = ()
