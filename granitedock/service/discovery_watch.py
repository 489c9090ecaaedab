"""The watch on discovery: opened, taken for dead, opened again.

Owns the state of the watch, its table and its backoff; has no I/O. Bound: what discovery has and can be
reached for is known here within 6 s (`update_bound_ms`), 4 s after SIGHUP, whatever is refused or falls
silent on the way. It never keeps the endpoint list.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import TYPE_CHECKING

from granitedock.service import counter_names
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import LifecycleEvent, LifecycleState
from granitedock.service.transitions import Ignored, pairs
from granitedock.state_table import advance

if TYPE_CHECKING:
    from granitedock.service.context import Context
    from granitedock.service.lifecycle import Lifecycle
    from granitedock.service.limits import Limits
    from granitedock.service.ports import WatchLinkPort

MOST_REASON = 200  # characters of the reason why an answer is malformed, in the event log


class WatchState(Enum):
    """The state of a watch."""

    CLOSED = "closed"
    CONNECTING = "connecting"
    CONNECTED = "connected"  # and no line has come
    OPEN = "open"
    REPLACED = "replaced"  # given up, another has taken its place

    __hash__ = object.__hash__


class WatchEvent(Enum):
    """What happens to a watch."""

    RECONNECT = "reconnect"
    CONNECTED = "connected"
    DISCONNECTED = "disconnected"
    LINE_RECEIVED = "line received"
    TIMED_OUT = "timed out"
    ADDRESS_CHANGED = "address changed"  # or another gateway has a newer list

    __hash__ = object.__hash__


_S = WatchState
_E = WatchEvent

WATCH = {
    (_S.CLOSED, _E.RECONNECT): (_S.CONNECTING, "connect"),
    (_S.CLOSED, _E.ADDRESS_CHANGED): (_S.REPLACED, "open_anew"),
    (_S.CONNECTING, _E.CONNECTED): (_S.CONNECTED, None),
    (_S.CONNECTING, _E.DISCONNECTED): (_S.CLOSED, "retry_later"),
    (_S.CONNECTING, _E.ADDRESS_CHANGED): (_S.REPLACED, "open_anew"),
    (_S.CONNECTED, _E.LINE_RECEIVED): (_S.OPEN, None),
    (_S.CONNECTED, _E.DISCONNECTED): (_S.CLOSED, "retry_later"),
    (_S.CONNECTED, _E.TIMED_OUT): (_S.REPLACED, "abort_retry"),
    (_S.CONNECTED, _E.ADDRESS_CHANGED): (_S.REPLACED, "abort_open_anew"),
    (_S.OPEN, _E.DISCONNECTED): (_S.CLOSED, "retry_later"),
    (_S.OPEN, _E.TIMED_OUT): (_S.REPLACED, "abort_open_anew"),
    (_S.OPEN, _E.ADDRESS_CHANGED): (_S.REPLACED, "abort_open_anew"),
    (_S.REPLACED, _E.CONNECTED): (_S.REPLACED, "abort"),  # it was connecting when another took its place
}

IGNORED: Ignored = {
    "a replaced watch changes nothing": pairs([_S.REPLACED], set(_E) - {_E.CONNECTED}),
    "a closed watch has no connection": pairs(
        [_S.CLOSED], [_E.CONNECTED, _E.DISCONNECTED, _E.LINE_RECEIVED, _E.TIMED_OUT]
    ),
    "no line is due before it is up": pairs([_S.CONNECTING], [_E.LINE_RECEIVED, _E.TIMED_OUT]),
    "it is connecting or up already": pairs([_S.CONNECTING, _S.CONNECTED, _S.OPEN], [_E.RECONNECT]),
    "a watch comes up once": pairs([_S.CONNECTED, _S.OPEN], [_E.CONNECTED]),
    "the first line has opened it": pairs([_S.OPEN], [_E.LINE_RECEIVED]),
}


def update_bound_ms(limits: Limits) -> float:
    """The longest that an endpoint update waits, in ms, once discovery has it and can be reached: a watch
    has just fallen silent, or one has just been refused at the longest backoff; then a new one is silent and
    another begins a list and does not end it, or never comes up; and the one after brings it. Periodic
    maintenance, which looks for silence, is in it."""
    silent = limits.watch_connect_ms + limits.watch_first_ms + limits.sweep_ms + limits.redial_ms
    unended = silent + limits.watch_list_ms
    begins = max(limits.watch_silence_ms + limits.sweep_ms, limits.watch_most_ms)
    return begins + silent + unended + limits.watch_connect_ms


@dataclass(eq=False, slots=True)
class Watch:
    """One watch. Times are Unix ms; `version` is that of the list as last had."""

    version: int
    state: WatchState = WatchState.CLOSED
    link: WatchLinkPort | None = None
    active_at: float = 0.0  # a line, the beginning of one, or the connection's coming up
    list_started_at: float | None = None  # the first bytes of a first list
    refusals: int = 0  # watches in a row before it that were refused


class DiscoveryWatch:
    """The state machine of the watch: the one in use, and those that it replaced."""

    lifecycle: Lifecycle

    def __init__(self, context: Context, seed: int) -> None:
        self.context = context
        self.current = Watch(0)
        self.random = Random(seed)

    def attach(self, lifecycle: Lifecycle) -> None:
        """Set the machine that this one calls."""
        self.lifecycle = lifecycle

    # Inputs.

    def connected(self, watch: Watch, link: WatchLinkPort) -> None:
        """The connection is up and discovery is queried."""
        watch.link = link
        watch.active_at = self.context.now
        advance(WATCH, watch, WatchEvent.CONNECTED, self)

    def disconnected(self, watch: Watch) -> None:
        """The connection has ended, or never came up."""
        advance(WATCH, watch, WatchEvent.DISCONNECTED, self)

    def line_received(self, watch: Watch, version: int | None) -> bool:
        """A line came, with a list of this version if any. Whether the watch is the one in use."""
        if watch is not self.current:
            return False
        watch.active_at = self.context.now
        watch.refusals = 0
        advance(WATCH, watch, WatchEvent.LINE_RECEIVED, self)
        if version is not None:
            watch.version = version
        return True

    def list_started(self, watch: Watch) -> None:
        """A first list has begun and not ended. Guards large ones against the short wait for a first line:
        it counts from the last bytes, as long as the list is not given up for its length of time."""
        if watch.state is WatchState.CONNECTED:
            now = self.context.now
            if watch.list_started_at is None:
                watch.list_started_at = now
            if now - watch.list_started_at <= self.context.limits.watch_list_ms:
                watch.active_at = now

    def malformed(self, _watch: Watch, why: str) -> None:
        """What came is no list, or not 200: the list as last had stands."""
        self.context.counts[counter_names.WATCH_SPOILT] += 1
        self.context.event_log.event("watch malformed", why=why[:MOST_REASON])

    def reconnect(self) -> None:
        """The backoff is over."""
        advance(WATCH, self.current, WatchEvent.RECONNECT, self)

    def reopen(self) -> None:
        """The platform file names another discovery."""
        advance(WATCH, self.current, WatchEvent.ADDRESS_CHANGED, self)

    def newer_elsewhere(self, version: int) -> None:
        """Another gateway has a list of this version: the watch opens again, unless it has come meanwhile."""
        if version > self.current.version:
            self.reopen()

    def start_from(self, version: int) -> None:
        """The list that the process was handed has this version."""
        self.current.version = version

    def maintain(self) -> None:
        """Guards against a watch that is open and dead: discovery writes a line every 2 s, and a first one at
        once. Bytes that lie unread are life: it was we who were slow."""
        watch = self.current
        limits = self.context.limits
        if watch.state is WatchState.CONNECTED:
            patience = limits.watch_first_ms
        elif watch.state is WatchState.OPEN:
            patience = limits.watch_silence_ms
        else:
            return
        silent = self.context.now - watch.active_at > patience
        if silent and not watch.link.has_unread_bytes():  # type: ignore[union-attr]  # it is up
            advance(WATCH, watch, WatchEvent.TIMED_OUT, self)

    # Effects of the table.

    def connect(self, watch: Watch) -> None:
        """Connect to discovery."""
        self.context.counts[counter_names.WATCHES] += 1
        self.context.emit(self.context.io.connect_watch, watch)

    def retry_later(self, watch: Watch) -> None:
        """Back off, then open another.

        Guards against loading a discovery that is overbooked: on herd+vast it refuses every watch (503) from
        2.4 s on, and forty gateways that each asked again every 100 ms made 336 connects a second. Each
        refusal in a row doubles the wait, up to `watch_most_ms`, at a random part of it, so that gateways do
        not come back in step. At the start, the wait for a first list ends once, at `watch_refusals`.
        """
        context = self.context
        limits = context.limits
        self.current = Watch(watch.version, refusals=watch.refusals + 1)
        starting = self.lifecycle.state is LifecycleState.STARTING
        if starting and self.current.refusals == limits.watch_refusals:
            # Discovery has refused: waiting for it would be lost.
            context.follow_up(self.lifecycle.signal, LifecycleEvent.ENDPOINTS_OVERDUE)
        wait = min(limits.watch_most_ms, limits.redial_ms * 2**watch.refusals)
        context.schedule(context.now + wait * (0.5 + 0.5 * self.random.random()), Input.WATCH_RECONNECT)

    def abort_retry(self, watch: Watch) -> None:
        """Up, and not a line. That is no refusal: the next try is soon, however long the backoff had become
        before it, as an update would else wait for both."""
        self.abort(watch)
        watch.refusals = 0
        self.retry_later(watch)

    def abort_open_anew(self, watch: Watch) -> None:
        """Give a watch up that is up, and open another at once."""
        self.context.event_log.event(
            "watch reopened", active_ms_ago=self.context.now - watch.active_at, version=watch.version
        )
        self.abort(watch)
        self.open_anew(watch)

    def open_anew(self, watch: Watch) -> None:
        """Open another at once."""
        self.current = Watch(watch.version)
        self.reconnect()

    def abort(self, watch: Watch) -> None:
        """Close at once."""
        self.context.emit(watch.link.abort)  # type: ignore[union-attr]  # only one that is up
