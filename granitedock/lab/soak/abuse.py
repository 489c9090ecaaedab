"""What abusive clients send: each kind of abuse as an endless source of bytes for one connection.

A source is an iterator over pieces. Request ids are unique within a process: the number of the process in the
upper digits, then a counter. Source of the forms: the platform's protocol page.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum
from itertools import count
from random import Random

from granitedock.service.resp import encode_command

BLOCK_COMMANDS = 200  # commands that a flooding client writes at once
LONG_BODY_BYTES = 60_000  # under the platform's limit of 64 KiB for one value
LONG_FIELDS_BYTES = 60_000
CUSTOMERS = 2**33
PROCESS_ID_STEP = 2**40  # request ids of one process
DEADLINE_MS = 1500
STAY_S = 0.05  # how long a client that leaves early waits for its answer


class Abuse(StrEnum):
    """A kind of abuse; the value names it on the command line."""

    PING = "ping"
    INFO = "info"
    UNKNOWN_COMMAND = "unknown command"
    SMALL_REQUEST = "small request"  # requests of one customer, far beyond its quota
    NEW_CUSTOMER = "new customer"  # each request is of a customer never seen before
    UNKNOWN_PLAN = "unknown plan"
    INVALID_FIELD = "invalid field"
    SLOW_BODY = "slow body"  # a long request in small pieces
    HALF_BODY = "half body"  # half of a long request, then silence
    MANY_FIELDS = "many fields"  # a field list of thousands of short fields
    HALF_FIELDS = "half fields"  # half of such a list, then silence
    MANY_WORDS = "many words"  # an unfinished command of many short words
    DEPART = "depart"  # many requests at once, then a close
    LEAVE = "leave"  # one non-idempotent request, then soon a close
    RESET = "reset"  # the same with a reset
    RESET_MANY = "reset many"  # many requests at once, then soon a reset
    UNREAD = "unread"  # INFO without reading the replies
    IDLE = "idle"


@dataclass(frozen=True, slots=True)
class Manner:
    """How a client of one kind behaves beside what it sends.

    `interval_s` is the time between two pieces and after the last one, 0 for as fast as the gateway reads.
    `reads` is whether the client reads replies, `closes` whether it closes the connection after its last
    piece, and `resets` whether a close is a reset.
    """

    interval_s: float = 0.0
    reads: bool = True
    closes: bool = False
    resets: bool = False


MANNERS = {
    Abuse.SLOW_BODY: Manner(interval_s=0.03),
    Abuse.DEPART: Manner(closes=True),
    Abuse.LEAVE: Manner(interval_s=STAY_S, closes=True),
    Abuse.RESET: Manner(interval_s=STAY_S, closes=True, resets=True),
    Abuse.RESET_MANY: Manner(interval_s=STAY_S, closes=True, resets=True),
    Abuse.UNREAD: Manner(reads=False),
}


def manner_of(abuse: Abuse) -> Manner:
    """Return the manner of a kind of abuse."""
    return MANNERS.get(abuse, Manner())


@dataclass(frozen=True, slots=True)
class Piece:
    """Bytes that a client sends at once, and the ids of the requests that end in them."""

    data: bytes
    request_ids: Sequence[int] = ()


class AbuseSource:
    """Creates the bytes of one process's connections."""

    def __init__(self, process_number: int, seed: str) -> None:
        self.random = Random(seed)
        self.ids = count(process_number * PROCESS_ID_STEP + 1)

    def pieces(self, abuse: Abuse) -> Iterator[Piece]:
        """Return the pieces of a new connection; a source that ends leaves the connection open or closes."""
        return PIECES[abuse](self)

    def request(
        self, customer: int = 0, fields: bytes = b"", plan: bytes = b"p", body: bytes | None = None
    ) -> Piece:
        """Return an encoded request with a new id; `fields` are appended to the field list.

        With a body it is not idempotent.
        """
        request_id = next(self.ids)
        name = b"read" if body is None else b"once"
        command = b"API.READ" if body is None else b"API.WRITE"
        text = b"c=%b,t=%b,d=%d,units=1,spread=1,first=0%b" % (name, plan, DEADLINE_MS, fields)
        words = (command, b"%016x" % customer, b"%016x" % request_id, text)
        data = encode_command(*words) if body is None else encode_command(*words, body)
        return Piece(data, (request_id,))

    def flood(self, command: bytes) -> Iterator[Piece]:
        """Yield blocks of one command without end."""
        block = Piece(BLOCK_COMMANDS * command)
        while True:
            yield block

    def block(self, make_request: Callable[[], Piece]) -> Piece:
        """Return many requests as one piece."""
        requests = [make_request() for _ in range(BLOCK_COMMANDS)]
        data = b"".join(request.data for request in requests)
        return Piece(data, [request_id for request in requests for request_id in request.request_ids])

    def request_flood(self, make_request: Callable[[], Piece]) -> Iterator[Piece]:
        """Yield blocks of requests without end."""
        while True:
            yield self.block(make_request)

    def random_customer(self) -> int:
        """Return a customer drawn at random."""
        return self.random.randrange(CUSTOMERS)

    def new_customer_request(self) -> Piece:
        """Return a request of a customer drawn at random."""
        return self.request(self.random_customer())

    def single_requests(self, make_request: Callable[[], Piece]) -> Iterator[Piece]:
        """Yield one request; if its error or the client ends the connection, the client connects again."""
        yield make_request()

    def slow_body(self) -> Iterator[Piece]:
        """Yield a long request in small pieces."""
        data = self.request(body=self.random.randbytes(LONG_BODY_BYTES)).data
        piece_bytes = self.random.choice((7, 100, 400, 1400))
        for start in range(0, len(data), piece_bytes):
            yield Piece(data[start : start + piece_bytes])

    def half_body(self) -> Iterator[Piece]:
        """Yield nearly all of a long request."""
        yield Piece(self.request(body=self.random.randbytes(LONG_BODY_BYTES)).data[:-10])

    def many_fields(self) -> Iterator[Piece]:
        """Yield requests whose field lists have thousands of short fields."""
        fields = bytearray()
        for number in count():
            if len(fields) > LONG_FIELDS_BYTES:
                break
            fields += b",x%x=%d" % (number, number % 10)
        while True:
            yield self.request(fields=bytes(fields))

    def half_fields(self) -> Iterator[Piece]:
        """Yield nearly all of a request with thousands of short fields."""
        yield Piece(next(self.many_fields()).data[:-10])

    def many_words(self) -> Iterator[Piece]:
        """Yield a command of many short words, but for the last one."""
        yield Piece(b"*64\r\n$8\r\nAPI.READ\r\n" + 62 * (b"$900\r\n" + 900 * b"w" + b"\r\n"))

    def departures(self) -> Iterator[Piece]:
        """Yield many requests at once; the client closes after them."""
        yield self.block(self.new_customer_request)

    def one_shot(self) -> Iterator[Piece]:
        """Yield one request that is not idempotent; the client closes after it."""
        yield self.request(self.random_customer(), body=b"order")


PIECES: dict[Abuse, Callable[[AbuseSource], Iterator[Piece]]] = {
    Abuse.PING: lambda source: source.flood(encode_command(b"PING")),
    Abuse.INFO: lambda source: source.flood(encode_command(b"INFO")),
    Abuse.UNKNOWN_COMMAND: lambda source: source.flood(encode_command(b"XYZZY", b"a")),
    Abuse.SMALL_REQUEST: lambda source: source.request_flood(source.request),
    Abuse.NEW_CUSTOMER: lambda source: source.request_flood(source.new_customer_request),
    Abuse.UNKNOWN_PLAN: lambda source: source.single_requests(lambda: source.request(plan=b"none")),
    Abuse.INVALID_FIELD: lambda source: source.single_requests(lambda: source.request(fields=b",d=1")),
    Abuse.SLOW_BODY: AbuseSource.slow_body,
    Abuse.HALF_BODY: AbuseSource.half_body,
    Abuse.MANY_FIELDS: AbuseSource.many_fields,
    Abuse.HALF_FIELDS: AbuseSource.half_fields,
    Abuse.MANY_WORDS: AbuseSource.many_words,
    Abuse.DEPART: AbuseSource.departures,
    Abuse.LEAVE: AbuseSource.one_shot,
    Abuse.RESET: AbuseSource.one_shot,
    Abuse.RESET_MANY: AbuseSource.departures,
    Abuse.UNREAD: lambda source: source.flood(encode_command(b"INFO")),
    Abuse.IDLE: lambda _source: iter(()),
}
