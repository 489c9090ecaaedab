"""The protocol's messages."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from granitedock.membership.member import Member, MemberUpdate
from granitedock.outlier_detection.evidence import Row as HostRow
from granitedock.quota_sharing.counts import Row


class MessageKind(IntEnum):
    """The kinds of message, with their numbers in datagrams."""

    PING = 0  # number, and whom it means
    ACK = 1  # number, and who is well
    PING_REQ = 2  # ping that member for me: number, and whom; its address is in the updates
    NACK = 3  # number: it has not answered me either
    GOSSIP = 4  # updates only
    PULL = 5  # asks for the members after this name
    PAGE = 6  # some members; the word is the name to ask on from, empty if these were the last
    ROWS = 7  # units admitted uncounted (quota_sharing), in an eighth item
    EVIDENCE = 8  # observations of hosts (outlier_detection); number: the version of the sender's list


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram; `number` and `word` mean what their kind says."""

    kind: MessageKind
    sender: Member
    number: int = 0
    word: str = ""
    updates: tuple[MemberUpdate, ...] = ()
    rows: tuple[Row, ...] = ()
    evidence: tuple[HostRow, ...] = ()
