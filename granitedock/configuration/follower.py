"""Following the configuration of one of several control processes. No I/O.

The state machine of a follower, gateway or replica alike: which address, when, what each line means for the
document, and when a connection is given up. What it has is never taken back to an older version, and it goes
on by it for as long as no control process can be reached."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import sha256
from random import Random
from typing import Any, Protocol

from granitedock.configuration.document import ConfigurationError, Edit, digest_text
from granitedock.configuration.messages import (
    Current,
    InForce,
    Malformed,
    Message,
    Page,
    Resend,
    SnapshotBegins,
    SnapshotEnds,
    VersionedChange,
    decoded,
)
from granitedock.state_table import advance

# `asked`: up, and no line has come. `gone`: given up, another connection takes its place.
STATES = {
    ("closed", "due"): ("dialling", "dial"),
    ("dialling", "up"): ("asked", None),
    ("dialling", "down"): ("gone", "try_next"),
    ("asked", "heard"): ("following", None),
    ("asked", "down"): ("gone", "try_next"),
    ("asked", "refused"): ("gone", "abort_try_next"),
    ("asked", "silent"): ("gone", "abort_try_next"),
    ("following", "down"): ("gone", "try_next"),
    ("following", "refused"): ("gone", "abort_try_next"),
    ("following", "silent"): ("gone", "abort_try_next"),
    ("following", "behind"): ("gone", "abort_try_next"),
    ("following", "return"): ("gone", "abort_try_first"),
    ("gone", "up"): ("gone", "abort"),  # its dial was under way when it was given up
}


@dataclass(frozen=True, slots=True)
class Pace:
    """Times of a follower, ms. A heartbeat comes each second."""

    first_line_ms: float = 2000.0
    silence_ms: float = 3000.0
    behind_ms: float = 3000.0  # a control process that stays behind this follower is left after it
    redial_ms: float = 100.0
    redial_most_ms: float = 1500.0
    return_ms: float = 60_000.0  # the first address is tried again after this to twice as long


class Document(Protocol):
    """What the follower keeps its configuration in."""

    version: int
    digest: int

    def change(self, change: VersionedChange) -> None:
        """In force, whole, or not at all. Raises ConfigurationError."""
        ...

    def begin(self) -> None:
        """A whole document is to come; what is in force stays until its end."""
        ...

    def page(self, edit: Edit) -> None:
        """Entries of it. Raises ConfigurationError."""
        ...

    def end(self, version: int, digest: int) -> None:
        """All of it is there: in force, or not at all. Raises ConfigurationError."""
        ...


class Carrier(Protocol):
    """What the follower asks of whoever carries its bytes."""

    def dial(self, connection: Connection, address: str) -> None: ...

    def send(self, connection: Connection, message: Message) -> None: ...

    def abort(self, connection: Connection) -> None: ...

    def later(self, after_ms: float, act: Callable[[], None]) -> None: ...


@dataclass(eq=False, slots=True)
class Connection:
    """One connection to a control process, from its dial on."""

    address: str
    state: str = "closed"
    link: Any = None
    heard_at: float = 0.0
    behind_since: float | None = None
    resent: bool = False  # a whole snapshot was asked for; once a connection
    snapshot: SnapshotBegins | None = None  # on its way
    next_page: int = 0
    skipping: bool = False  # a snapshot that is older than what is in force


def own_order(name: str, addresses: list[str]) -> list[str]:
    """The addresses in this follower's own order (rendezvous hashing, Thaler and Ravishankar, 1998), so that
    followers spread over them, and those of a lost one over the rest."""
    return sorted(addresses, key=lambda address: sha256(f"{name}|{address}".encode()).digest())


class Follower:
    """One follower. `log(event, **figures)` tells what an operator should see, `counted(name)` counts it."""

    def __init__(
        self,
        name: str,
        cluster: str,
        addresses: list[str],
        document: Document,
        carrier: Carrier,
        chance: Random,
        log: Callable[..., None],
        pace: Pace | None = None,
        counted: Callable[[str], None] = lambda name: None,
    ) -> None:
        self.name, self.cluster, self.document = name, cluster, document
        self.addresses = own_order(name, addresses)
        self.carrier, self.chance, self.log, self.pace = carrier, chance, log, pace or Pace()
        self.now = 0.0
        self.turn = 0  # which address is next, counted from the first
        self.misses = 0
        self.connection = Connection(self.addresses[0])
        self.return_at = float("inf")
        self.counts: Counter[str] = Counter()
        self.counted = counted
        self.on = False

    def count(self, name: str) -> None:
        self.counts[name] += 1
        self.counted(name)

    def status(self) -> dict[str, Any]:
        """Whom it follows and what it counted, as JSON can hold it."""
        connection = self.connection
        return {
            "control": connection.address,
            "state": connection.state,
            "addresses": self.addresses,
            "counts": dict(self.counts),
        }

    # Inputs. `now` is in ms of any clock that never steps back.

    def start(self, now: float) -> None:
        self.now, self.on = now, True
        self.signal("due")

    def stop(self, now: float) -> None:
        """No further connection; the one that there is ends."""
        self.now, self.on = now, False
        if self.connection.link is not None:
            self.carrier.abort(self.connection)

    def up(self, connection: Connection, link: Any, now: float) -> None:
        self.now, connection.link, connection.heard_at = now, link, now
        self.advance(connection, "up")

    def down(self, connection: Connection, now: float) -> None:
        self.now = now
        self.advance(connection, "down")

    def refused(self, connection: Connection, why: str, now: float) -> None:
        """What came is no watch on the configuration: another status, another cluster, no message."""
        self.now = now
        self.count("refused")
        self.log("configuration refused", control=connection.address, why=why[:200])
        self.advance(connection, "refused")

    def line(self, connection: Connection, line: bytes, now: float) -> None:
        """One line from control."""
        self.now = now
        if connection is not self.connection or connection.state not in ("asked", "following"):
            return
        connection.heard_at = now
        if not line.strip():
            self.advance(connection, "heard")
            return
        try:
            message = decoded(line)
            self.advance(connection, "heard")
            self.take(connection, message)
        except ConfigurationError as fault:
            self.refused(connection, str(fault), now)

    def sweep(self, now: float) -> None:
        """Now and then: silence, control that stays behind, and the way back to the first address."""
        self.now = now
        connection, pace = self.connection, self.pace
        patience = {"asked": pace.first_line_ms, "following": pace.silence_ms}.get(connection.state)
        if patience is not None and now - connection.heard_at > patience:
            self.count("silences")
            self.advance(connection, "silent")
        elif connection.behind_since is not None and now - connection.behind_since > pace.behind_ms:
            self.count("behind")
            self.log("control is behind", control=connection.address, version=self.document.version)
            self.advance(connection, "behind")
        elif now >= self.return_at and connection.snapshot is None:
            self.advance(connection, "return")

    # What lines mean.

    def take(self, connection: Connection, message: Message) -> None:
        self.misses = 0
        if isinstance(message, Current):
            self.current(connection, message)
        elif isinstance(message, VersionedChange):
            self.changed(connection, message)
        elif isinstance(message, SnapshotBegins):
            self.snapshot_begins(connection, message)
        elif isinstance(message, Page):
            self.page(connection, message)
        elif isinstance(message, SnapshotEnds):
            self.snapshot_ends(connection, message)
        else:
            raise Malformed("a follower's message from control")

    def same_cluster(self, cluster: str) -> None:
        if cluster != self.cluster:
            raise Malformed(f"the configuration of cluster {cluster!r}, not {self.cluster!r}")

    def current(self, connection: Connection, message: Current) -> None:
        self.same_cluster(message.cluster)
        if message.version < self.document.version:
            connection.behind_since = connection.behind_since or self.now
        elif (message.version, message.digest) != (self.document.version, self.document.digest):
            self.resend(connection, "digest")

    def changed(self, connection: Connection, message: VersionedChange) -> None:
        """Guards against changes that come twice (left alone) and such that leave one out, or begin at none
        (a whole snapshot is asked for, once a connection)."""
        document = self.document
        if connection.snapshot is not None:
            raise Malformed("a change within a snapshot")
        if message.version <= document.version:
            self.count("doubled")
            if message.version == document.version:
                connection.behind_since = None
        elif message.version > document.version + 1 or not document.version:
            self.count("gaps")
            self.resend(connection, "gap")
        else:
            try:
                document.change(message)
            except ConfigurationError as fault:
                self.count("differing")
                self.resend(connection, str(fault))
                return
            connection.behind_since = None
            self.in_force(connection)

    def in_force(self, connection: Connection) -> None:
        self.count("in_force")
        self.carrier.send(connection, InForce(self.document.version, self.document.digest))

    def resend(self, connection: Connection, why: str) -> None:
        """Ask for a whole snapshot; a second need on one connection ends it."""
        if connection.resent:
            if connection.snapshot is None and why != "gap":
                raise Malformed(f"does not fit after a whole snapshot either: {why}")
            return
        connection.resent = True
        self.count("resends")
        self.log("configuration asked for whole", control=connection.address, why=why[:200])
        self.carrier.send(connection, Resend())

    def snapshot_begins(self, connection: Connection, message: SnapshotBegins) -> None:
        self.same_cluster(message.cluster)
        connection.snapshot, connection.next_page = message, 0
        connection.skipping = message.version < self.document.version
        if connection.skipping:
            connection.behind_since = connection.behind_since or self.now
        else:
            self.document.begin()

    def page(self, connection: Connection, message: Page) -> None:
        if connection.snapshot is None or message.number != connection.next_page:
            raise Malformed(f"page {message.number} out of turn")
        connection.next_page += 1
        if not connection.skipping:
            self.document.page(message.edit)

    def snapshot_ends(self, connection: Connection, message: SnapshotEnds) -> None:
        begun = connection.snapshot
        if begun is None or connection.next_page != begun.pages or message.version != begun.version:
            raise Malformed("a snapshot's end out of turn")
        connection.snapshot = None
        if not connection.skipping:
            self.document.end(message.version, message.digest)
            connection.behind_since = None
            self.count("snapshots")
            self.log(
                "configuration taken whole",
                control=connection.address,
                version=message.version,
                digest=digest_text(message.digest),
            )
            self.in_force(connection)

    # What the table asks for.

    def signal(self, signal: str) -> None:
        self.advance(self.connection, signal)

    def advance(self, connection: Connection, signal: str) -> None:
        advance(STATES, connection, signal, self)

    def dial(self, connection: Connection) -> None:
        self.count("dials")
        first = connection.address == self.addresses[0]
        wait = self.pace.return_ms * (1.0 + self.chance.random())
        self.return_at = float("inf") if first else self.now + wait
        self.carrier.dial(connection, connection.address)

    def try_next(self, connection: Connection) -> None:
        """Guards control against followers that all come back at once: each miss in a row doubles the wait,
        at a random part of it; and against an address that is lost: the next in order is tried."""
        if connection is not self.connection or not self.on:
            return
        self.turn += 1
        pace = self.pace
        wait = min(pace.redial_most_ms, pace.redial_ms * 2**self.misses) * (0.5 + 0.5 * self.chance.random())
        self.misses = min(self.misses + 1, 16)
        self.connect_later(wait)

    def connect_later(self, wait_ms: float) -> None:
        self.connection = Connection(self.addresses[self.turn % len(self.addresses)])
        self.carrier.later(wait_ms, self.due)

    def due(self) -> None:
        if self.on:
            self.signal("due")

    def abort(self, connection: Connection) -> None:
        self.carrier.abort(connection)

    def abort_try_next(self, connection: Connection) -> None:
        self.abort(connection)
        self.try_next(connection)

    def abort_try_first(self, connection: Connection) -> None:
        """Guards against a load that stays uneven once a lost control process is back."""
        self.abort(connection)
        if connection is self.connection and self.on:
            self.turn = 0
            self.connect_later(0.0)
