"""The datagrams between gateways: MessagePack, a version and the cluster's name in each, 1,200 bytes at most.

One message is an array [version, cluster, kind, sender, number, word, news]; a member is [name, address,
born, bump, state, seat, settings], and in news an eighth item says who suspects it (text) or how many ms
ago it ended (a number). Whatever is not exactly so is `Malformed`, with why; nothing else is raised.
"""

from __future__ import annotations

from dataclasses import astuple, dataclass
from enum import IntEnum
from functools import lru_cache
from ipaddress import IPv4Address
from typing import Any

import msgpack

from granitedock.membership.member import Member, News, State
from granitedock.outlier_detection.observations import HostObservation
from granitedock.quota_sharing.uncounted_usage import UsageRow

VERSION = 1
MOST_BYTES = 1200
MOST_NAME = 64
HEADER = 40  # bytes round the cluster's name, the sender and the news


class Kind(IntEnum):
    PING = 0  # number, and whom it means
    ACK = 1  # number, and who is well
    ASK = 2  # ping that member for me: number, and whom; its address is in the news
    NACK = 3  # number: it has not answered me either
    NEWS = 4
    PULL = 5  # the members after this name
    ROWS = 7  # units let in uncounted (granitedock/quota_sharing), in an eighth item
    EVIDENCE = 8  # what the sender knows of hosts (granitedock/outlier_detection); number: its list's version
    PAGE = 6  # some members; the word is the name to ask on from, empty if these were the last


@dataclass(frozen=True, slots=True)
class Message:
    kind: Kind
    sender: Member
    number: int = 0
    word: str = ""
    news: tuple[News, ...] = ()
    rows: tuple[UsageRow, ...] = ()
    evidence: tuple[HostObservation, ...] = ()


class Malformed(ValueError):
    """A datagram that is not a message of this cluster."""


def cost(news: News) -> int:
    """An upper bound of the bytes that a piece of news takes."""
    member = news.member
    return len(member.name) + len(member.address) + len(news.by) + 40


def room(cluster: str, sender: Member) -> int:
    """The bytes left for news in a message of this sender, with the longest word."""
    return MOST_BYTES - HEADER - MOST_NAME - len(cluster) - cost(News(sender))


def encode(cluster: str, message: Message) -> bytes:
    news = []
    for item in message.news:
        row = row_of(item.member)
        if item.by or item.age_ms:
            row.append(item.by or int(item.age_ms))
        news.append(row)
    body = [VERSION, cluster, int(message.kind), row_of(message.sender), message.number, message.word, news]
    if message.kind is Kind.ROWS:
        body.append(
            [
                [
                    row.gateway,
                    row.started_at,
                    row.customer,
                    row.window,
                    row.window_ms,
                    row.admitted,
                    row.reconciled,
                ]
                for row in message.rows
            ]
        )
    if message.kind is Kind.EVIDENCE:
        body.append([list(astuple(row)) for row in message.evidence])
    return msgpack.packb(body)


def row_of(member: Member) -> list[Any]:
    return [
        member.name,
        member.address,
        member.born,
        member.bump,
        int(member.state),
        member.seat,
        member.settings,
    ]


def decode(cluster: str, data: bytes) -> Message:
    """The message in a datagram. Raises Malformed."""
    if len(data) > MOST_BYTES:
        raise Malformed("too long")
    try:
        body = msgpack.unpackb(data, strict_map_key=False)
    except Exception as fault:  # guards the port: the library names many faults, all of the sender's making
        raise Malformed(f"not MessagePack: {type(fault).__name__}") from None
    if type(body) is not list or len(body) not in (7, 8) or body[0] != VERSION:
        raise Malformed("not a message of this version")
    if body[1] != cluster:
        raise Malformed("another cluster's")
    _, _, kind, sender, number, word, news = body[:7]
    rows = body[7] if len(body) == 8 else []
    if type(kind) is not int or not 0 <= kind <= max(Kind):
        raise Malformed("unknown kind")
    if type(rows) is not list or (kind in (Kind.ROWS, Kind.EVIDENCE)) != (len(body) == 8):
        raise Malformed("rows where none belong, or none where they do")
    if type(news) is not list or type(word) is not str or len(word) > MOST_NAME:
        raise Malformed("not a message's fields")
    heard = member_of(sender)
    if heard.state not in (State.ALIVE, State.LEFT):
        raise Malformed("a sender that is not alive")
    news = tuple(news_of(row) for row in news)
    evidence = tuple(host_row_in(row) for row in rows) if kind == Kind.EVIDENCE else ()
    rows = tuple(row_in(row) for row in rows) if kind == Kind.ROWS else ()
    return Message(Kind(kind), heard, whole(number, 2**32), word, news, rows, evidence)


def host_row_in(row: Any) -> HostObservation:
    if type(row) is not list or len(row) != 13:
        raise Malformed("not a row on a host")
    teller, born, number, host, *figures, drains = row
    for name in (teller, host):
        if type(name) is not str or not 0 < len(name) <= MOST_NAME:
            raise Malformed("no name")
    if type(drains) is not bool:
        raise Malformed("not a row on a host")
    started, failures, failed_ms, answered_ms, *rest = figures
    for age in (failed_ms, answered_ms):
        if type(age) is not int or not -1 <= age < 2**53:
            raise Malformed("not an age")
    rest = [whole(figure, 2**20) for figure in rest]
    return HostObservation(
        teller,
        whole(born, 2**53),
        whole(number, 2**53),
        host,
        whole(started, 2**53),
        whole(failures, 2**20),
        failed_ms,
        answered_ms,
        *rest,
        drains,
    )


def row_in(row: Any) -> UsageRow:
    if type(row) is not list or len(row) != 7 or type(row[0]) is not str or not 0 < len(row[0]) <= MOST_NAME:
        raise Malformed("not a row")
    teller, born, customer, window, window_ms, let_in, paid = row
    return UsageRow(
        teller,
        whole(born, 2**53),
        whole(customer, 2**33),
        whole(window, 2**53),
        whole(window_ms, 2**20) or 1,
        whole(let_in, 2**53),
        whole(paid, 2**53),
    )


def whole(value: Any, below: int) -> int:
    if type(value) is not int or not 0 <= value < below:
        raise Malformed("not a number in range")
    return value


def member_of(row: Any) -> Member:
    if type(row) is not list or len(row) != 7:
        raise Malformed("not a member")
    name, address, born, bump, state, seat, settings = row
    if type(name) is not str or not 0 < len(name) <= MOST_NAME or not name.isprintable():
        raise Malformed("no name")
    if type(address) is not str or not is_address(address):
        raise Malformed("no address")
    if type(seat) is not int or not -1 <= seat < 2**20:
        raise Malformed("no seat")
    state = State(whole(state, len(State)))
    return Member(name, address, whole(born, 2**53), whole(bump, 2**32), state, seat, whole(settings, 2**32))


def news_of(row: Any) -> News:
    if type(row) is list and len(row) == 8:
        member, more = member_of(row[:7]), row[7]
        if type(more) is str and member.state is State.SUSPECT and len(more) <= MOST_NAME:
            return News(member, by=more)
        if member.state > State.SUSPECT:
            return News(member, age_ms=float(whole(more, 2**40)))
        raise Malformed("not a piece of news")
    return News(member_of(row))


@lru_cache(4096)
def is_address(text: str) -> bool:
    """Whether this is "ip:port" over IPv4, as the platform's sockets are."""
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
        return port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError:
        return False
