"""The datagrams between gateways: MessagePack, with a version and the cluster's name, of up to 1,200 bytes.

A message is an array [version, cluster, kind, sender, number, word, updates]. A member is [name, address,
started_at, refutations, state, slot, settings_checksum]; in updates, an eighth item names the member that
suspects it (text) or gives the ms since its end (a number). Messages of payload kinds have an eighth item, an
array of rows in the format of their service. Any other datagram raises `MalformedMessageError` with the
reason, and no other error is raised.
"""

from __future__ import annotations

from functools import lru_cache
from ipaddress import IPv4Address
from typing import Any

import msgpack

from granitedock.membership.errors import Malformation, MalformedMessageError, PayloadKindError
from granitedock.membership.member import Member, MemberState, MemberUpdate
from granitedock.membership.messages import NO_PAYLOADS, Message, MessageKind, PayloadTypes

VERSION = 1
MAX_BYTES = 1200
MAX_NAME_LENGTH = 64  # Characters.
HEADER_BYTES = 40  # A message without the cluster's name, the sender, the word and the updates.
MEMBER_BYTES = 40  # The maximum size of a member's numbers.
MAX_CACHED_ADDRESSES = 4096
MAX_PORT = 65_535

# Exclusive upper bounds of the numbers in datagrams.
MAX_TIME = 2**53
MAX_COUNT = 2**32
MAX_SLOT = 2**20
MAX_AGE_MS = 2**40

MESSAGE_ITEMS = 7  # Items in a message's array, without a payload.
MEMBER_ITEMS = 7
PROTOCOL_KINDS = frozenset(int(kind) for kind in MessageKind)


def update_size(update: MemberUpdate) -> int:
    """Return an upper bound of the encoded size of an update, in bytes."""
    member = update.member
    return len(member.name) + len(member.address) + len(update.suspected_by) + MEMBER_BYTES


def update_budget(cluster: str, sender: Member) -> int:
    """Return the bytes left for updates in a message of this sender, with the longest word."""
    return MAX_BYTES - HEADER_BYTES - MAX_NAME_LENGTH - len(cluster) - update_size(MemberUpdate(sender))


def encode(cluster: str, message: Message, payload_types: PayloadTypes = NO_PAYLOADS) -> bytes:
    """Return the message as a datagram.

    Raises PayloadKindError for a kind that is neither a MessageKind nor one of `payload_types`.
    """
    body: list[Any] = [
        VERSION,
        cluster,
        int(message.kind),
        encode_member(message.sender),
        message.number,
        message.word,
        [encode_update(update) for update in message.updates],
    ]
    if message.kind not in PROTOCOL_KINDS:
        payload_type = payload_types.get(message.kind)
        if payload_type is None:
            reason = f"payload kind {message.kind} is not registered"
            raise PayloadKindError(reason)
        body.append([payload_type.encode_row(row) for row in message.payload])
    return msgpack.packb(body)


def encode_member(member: Member) -> list[Any]:
    """Return a member as an array of seven items."""
    return [
        member.name,
        member.address,
        member.started_at,
        member.refutations,
        int(member.state),
        member.slot,
        member.settings_checksum,
    ]


def encode_update(update: MemberUpdate) -> list[Any]:
    """Return an update as a member's array, with an eighth item for a suspicion's source or an age."""
    row = encode_member(update.member)
    if update.suspected_by or update.ended_ms_ago:
        row.append(update.suspected_by or int(update.ended_ms_ago))
    return row


def decode(cluster: str, data: bytes, payload_types: PayloadTypes = NO_PAYLOADS) -> Message:
    """Return the message in a datagram; raises MalformedMessageError."""
    body = unpack_envelope(cluster, data)
    _, _, kind, sender_row, number, word, update_rows = body[:MESSAGE_ITEMS]
    payload_rows = body[MESSAGE_ITEMS] if len(body) > MESSAGE_ITEMS else []
    if type(kind) is not int or (kind not in PROTOCOL_KINDS and kind not in payload_types):
        raise MalformedMessageError(Malformation.UNKNOWN_KIND)
    if type(payload_rows) is not list or (kind in payload_types) != (len(body) > MESSAGE_ITEMS):
        raise MalformedMessageError(Malformation.MISPLACED_PAYLOAD)
    if type(update_rows) is not list or type(word) is not str or len(word) > MAX_NAME_LENGTH:
        raise MalformedMessageError(Malformation.WRONG_FIELDS)
    sender = decode_member(sender_row)
    if sender.state not in (MemberState.ALIVE, MemberState.LEFT):
        raise MalformedMessageError(Malformation.SENDER_NOT_ALIVE)
    updates = tuple(decode_update(row) for row in update_rows)
    if kind in PROTOCOL_KINDS:
        return Message(MessageKind(kind), sender, bounded_int(number, MAX_COUNT), word, updates)
    payload = tuple(payload_types[kind].decode_row(row) for row in payload_rows)
    return Message(kind, sender, bounded_int(number, MAX_COUNT), word, updates, payload)


def unpack_envelope(cluster: str, data: bytes) -> list[Any]:
    """Return the array of a datagram of this version and cluster; raises MalformedMessageError."""
    if len(data) > MAX_BYTES:
        raise MalformedMessageError(Malformation.TOO_LONG)
    try:
        body = msgpack.unpackb(data, strict_map_key=False)
    except Exception as error:  # noqa: BLE001 - the library raises many types, all caused by the sender
        reason = f"not MessagePack: {type(error).__name__}"
        raise MalformedMessageError(reason) from None
    if type(body) is not list or len(body) not in (MESSAGE_ITEMS, MESSAGE_ITEMS + 1) or body[0] != VERSION:
        raise MalformedMessageError(Malformation.WRONG_VERSION)
    if body[1] != cluster:
        raise MalformedMessageError(Malformation.OTHER_CLUSTER)
    return body


def bounded_int(value: Any, below: int) -> int:
    """Return `value` if it is an int of at least 0 and less than `below`; raises MalformedMessageError."""
    if type(value) is not int or not 0 <= value < below:
        raise MalformedMessageError(Malformation.NUMBER_OUT_OF_RANGE)
    return value


def decode_member(row: Any) -> Member:
    """Return the member in an array of seven items; raises MalformedMessageError."""
    if type(row) is not list or len(row) != MEMBER_ITEMS:
        raise MalformedMessageError(Malformation.NOT_A_MEMBER)
    name, address, started_at, refutations, state, slot, settings_checksum = row
    if type(name) is not str or not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable():
        raise MalformedMessageError(Malformation.NO_NAME)
    if type(address) is not str or not is_address(address):
        raise MalformedMessageError(Malformation.NO_ADDRESS)
    if type(slot) is not int or not -1 <= slot < MAX_SLOT:
        raise MalformedMessageError(Malformation.NO_SLOT)
    member_state = MemberState(bounded_int(state, len(MemberState)))
    return Member(
        name,
        address,
        bounded_int(started_at, MAX_TIME),
        bounded_int(refutations, MAX_COUNT),
        member_state,
        slot,
        bounded_int(settings_checksum, MAX_COUNT),
    )


def decode_update(row: Any) -> MemberUpdate:
    """Return the update in an array of seven or eight items; raises MalformedMessageError."""
    if type(row) is not list or len(row) != MEMBER_ITEMS + 1:
        return MemberUpdate(decode_member(row))
    member = decode_member(row[:MEMBER_ITEMS])
    detail = row[MEMBER_ITEMS]
    if type(detail) is str and member.state is MemberState.SUSPECT and len(detail) <= MAX_NAME_LENGTH:
        return MemberUpdate(member, suspected_by=detail)
    if member.state > MemberState.SUSPECT:
        return MemberUpdate(member, ended_ms_ago=float(bounded_int(detail, MAX_AGE_MS)))
    raise MalformedMessageError(Malformation.NOT_AN_UPDATE)


@lru_cache(MAX_CACHED_ADDRESSES)
def is_address(text: str) -> bool:
    """Return whether `text` is "ip:port" over IPv4, which the platform's sockets use."""
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
        return port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    except ValueError:
        return False
