"""The datagrams between gateways: MessagePack, a version and the cluster's name in each, 1,200 bytes at most.

One message is an array [version, cluster, kind, sender, number, word, updates]; a member is [name, address,
started_at, refutations, state, slot, settings_checksum], and in updates an eighth item says who suspects it
(text) or how many ms ago it ended (a number). Whatever is not exactly so is a `MalformedMessageError`, with
why; nothing else is raised.
"""

from __future__ import annotations

from dataclasses import astuple
from functools import lru_cache
from ipaddress import IPv4Address
from typing import Any

import msgpack

from granitedock.membership.errors import MalformedMessageError
from granitedock.membership.member import Member, MemberState, MemberUpdate
from granitedock.membership.messages import Message, MessageKind
from granitedock.outlier_detection.evidence import Row as HostRow
from granitedock.quota_sharing.counts import Row

VERSION = 1
MAX_BYTES = 1200
MAX_NAME = 64  # characters
HEADER_BYTES = 40  # round the cluster's name, the sender and the updates
MEMBER_BYTES = 40  # of a member's numbers, at most
ADDRESSES_CACHED = 4096
MAX_PORT = 65_535

# Bounds of the numbers in datagrams: each is below.
MAX_TIME = 2**53
MAX_COUNT = 2**32
MAX_SLOT = 2**20
MAX_AGE_MS = 2**40


def update_size(update: MemberUpdate) -> int:
    """An upper bound of the bytes that an update takes."""
    member = update.member
    return len(member.name) + len(member.address) + len(update.suspected_by) + MEMBER_BYTES


def update_budget(cluster: str, sender: Member) -> int:
    """The bytes left for updates in a message of this sender, with the longest word."""
    return MAX_BYTES - HEADER_BYTES - MAX_NAME - len(cluster) - update_size(MemberUpdate(sender))


def encode(cluster: str, message: Message) -> bytes:
    """The message as a datagram."""
    body = [
        VERSION,
        cluster,
        int(message.kind),
        encode_member(message.sender),
        message.number,
        message.word,
        [encode_update(update) for update in message.updates],
    ]
    if message.kind is MessageKind.ROWS:
        body.append(
            [
                [row.teller, row.born, row.customer, row.window, row.window_ms, row.let_in, row.paid]
                for row in message.rows
            ]
        )
    if message.kind is MessageKind.EVIDENCE:
        body.append([list(astuple(row)) for row in message.evidence])
    return msgpack.packb(body)


def encode_member(member: Member) -> list[Any]:
    """A member as an array of seven."""
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
    """An update as a member's array, with an eighth item where it names an accuser or an age."""
    row = encode_member(update.member)
    if update.suspected_by or update.ended_ms_ago:
        row.append(update.suspected_by or int(update.ended_ms_ago))
    return row


def decode(cluster: str, data: bytes) -> Message:
    """The message in a datagram. Raises MalformedMessageError."""
    body = unpack_envelope(cluster, data)
    _, _, kind, sender_row, number, word, update_rows = body[:7]
    rows = body[7] if len(body) == 8 else []
    if type(kind) is not int or not 0 <= kind <= max(MessageKind):
        raise MalformedMessageError("unknown kind")
    if type(rows) is not list or (kind in (MessageKind.ROWS, MessageKind.EVIDENCE)) != (len(body) == 8):
        raise MalformedMessageError("rows where none belong, or none where they do")
    if type(update_rows) is not list or type(word) is not str or len(word) > MAX_NAME:
        raise MalformedMessageError("not a message's fields")
    sender = decode_member(sender_row)
    if sender.state not in (MemberState.ALIVE, MemberState.LEFT):
        raise MalformedMessageError("a sender that is not alive")
    updates = tuple(decode_update(row) for row in update_rows)
    evidence = tuple(host_row_in(row) for row in rows) if kind == MessageKind.EVIDENCE else ()
    rows = tuple(row_in(row) for row in rows) if kind == MessageKind.ROWS else ()
    return Message(MessageKind(kind), sender, bounded_int(number, MAX_COUNT), word, updates, rows, evidence)


def unpack_envelope(cluster: str, data: bytes) -> list[Any]:
    """The array of a datagram, of this version and cluster. Raises MalformedMessageError."""
    if len(data) > MAX_BYTES:
        raise MalformedMessageError("too long")
    try:
        body = msgpack.unpackb(data, strict_map_key=False)
    except Exception as error:  # noqa: BLE001 - the library raises many kinds, all of the sender's making
        raise MalformedMessageError(f"not MessagePack: {type(error).__name__}") from None
    if type(body) is not list or len(body) not in (7, 8) or body[0] != VERSION:
        raise MalformedMessageError("not a message of this version")
    if body[1] != cluster:
        raise MalformedMessageError("another cluster's")
    return body


def host_row_in(row: Any) -> HostRow:
    if type(row) is not list or len(row) != 13:
        raise MalformedMessageError("not a row on a host")
    teller, born, number, host, *figures, drains = row
    for name in (teller, host):
        if type(name) is not str or not 0 < len(name) <= MAX_NAME:
            raise MalformedMessageError("no name")
    if type(drains) is not bool:
        raise MalformedMessageError("not a row on a host")
    started, failures, failed_ms, answered_ms, *rest = figures
    for age in (failed_ms, answered_ms):
        if type(age) is not int or not -1 <= age < 2**53:
            raise MalformedMessageError("not an age")
    rest = [bounded_int(figure, 2**20) for figure in rest]
    return HostRow(
        teller,
        bounded_int(born, 2**53),
        bounded_int(number, 2**53),
        host,
        bounded_int(started, 2**53),
        bounded_int(failures, 2**20),
        failed_ms,
        answered_ms,
        *rest,
        drains,
    )


def row_in(row: Any) -> Row:
    if type(row) is not list or len(row) != 7 or type(row[0]) is not str or not 0 < len(row[0]) <= MAX_NAME:
        raise MalformedMessageError("not a row")
    teller, born, customer, window, window_ms, let_in, paid = row
    return Row(
        teller,
        bounded_int(born, 2**53),
        bounded_int(customer, 2**33),
        bounded_int(window, 2**53),
        bounded_int(window_ms, 2**20) or 1,
        bounded_int(let_in, 2**53),
        bounded_int(paid, 2**53),
    )


def bounded_int(value: Any, below: int) -> int:
    """The value, if it is an int of at least 0 and less than `below`. Raises MalformedMessageError."""
    if type(value) is not int or not 0 <= value < below:
        raise MalformedMessageError("not a number in range")
    return value


def decode_member(row: Any) -> Member:
    """The member of an array of seven. Raises MalformedMessageError."""
    if type(row) is not list or len(row) != 7:
        raise MalformedMessageError("not a member")
    name, address, started_at, refutations, state, slot, settings_checksum = row
    if type(name) is not str or not 0 < len(name) <= MAX_NAME or not name.isprintable():
        raise MalformedMessageError("no name")
    if type(address) is not str or not is_address(address):
        raise MalformedMessageError("no address")
    if type(slot) is not int or not -1 <= slot < MAX_SLOT:
        raise MalformedMessageError("no seat")
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
    """The update of an array of seven or eight. Raises MalformedMessageError."""
    if type(row) is not list or len(row) != 8:
        return MemberUpdate(decode_member(row))
    member = decode_member(row[:7])
    detail = row[7]
    if type(detail) is str and member.state is MemberState.SUSPECT and len(detail) <= MAX_NAME:
        return MemberUpdate(member, suspected_by=detail)
    if member.state > MemberState.SUSPECT:
        return MemberUpdate(member, ended_ms_ago=float(bounded_int(detail, MAX_AGE_MS)))
    raise MalformedMessageError("not a piece of news")


@lru_cache(ADDRESSES_CACHED)
def is_address(text: str) -> bool:
    """Whether this is "ip:port" over IPv4, as the platform's sockets are."""
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
        return port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    except ValueError:
        return False
