"""The watch on discovery: its connection, the detection of a dead one, and reconnection with backoff.

Owns the state of the watch, its transition table and its backoff; has no I/O and never keeps the endpoint
list. Once discovery has an endpoint update and is reachable, the update arrives within 6 s
(`update_bound_ms`), or within 4 s of a SIGHUP, whichever watches are refused or fall silent before it.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from granitedock.service import counter_names
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import LifecycleEvent, LifecycleState
from granitedock.service.transitions import Ignored, pairs
from granitedock.state_table import StateEnum, advance

if TYPE_CHECKING:
    from granitedock.service.context import Context
    from granitedock.service.lifecycle import Lifecycle
    from granitedock.service.limits import Limits
    from granitedock.service.ports import WatchLinkPort

MAX_REASON_CHARACTERS = 200  # Of the reason why a response is malformed, in the event log.


class WatchState(StateEnum):
    """The state of a watch."""

    CLOSED = "closed"
    CONNECTING = "connecting"
    CONNECTED = "connected"  # Connected, without a line so far.
    OPEN = "open"
    REPLACED = "replaced"  # Another watch has replaced this one.


class WatchEvent(StateEnum):
    """An event of a watch."""

    RECONNECT = "reconnect"
    CONNECTED = "connected"
    DISCONNECTED = "disconnected"
    LINE_RECEIVED = "line received"
    TIMED_OUT = "timed out"
    ADDRESS_CHANGED = "address changed"  # Also raised if another gateway has a newer list.


_S = WatchState
_E = WatchEvent

WATCH = {
    (_S.CLOSED, _E.RECONNECT): (_S.CONNECTING, "connect"),
    (_S.CLOSED, _E.ADDRESS_CHANGED): (_S.REPLACED, "open_replacement"),
    (_S.CONNECTING, _E.CONNECTED): (_S.CONNECTED, None),
    (_S.CONNECTING, _E.DISCONNECTED): (_S.CLOSED, "retry_later"),
    (_S.CONNECTING, _E.ADDRESS_CHANGED): (_S.REPLACED, "open_replacement"),
    (_S.CONNECTED, _E.LINE_RECEIVED): (_S.OPEN, None),
    (_S.CONNECTED, _E.DISCONNECTED): (_S.CLOSED, "retry_later"),
    (_S.CONNECTED, _E.TIMED_OUT): (_S.REPLACED, "abort_and_retry_later"),
    (_S.CONNECTED, _E.ADDRESS_CHANGED): (_S.REPLACED, "abort_and_open_replacement"),
    (_S.OPEN, _E.DISCONNECTED): (_S.CLOSED, "retry_later"),
    (_S.OPEN, _E.TIMED_OUT): (_S.REPLACED, "abort_and_open_replacement"),
    (_S.OPEN, _E.ADDRESS_CHANGED): (_S.REPLACED, "abort_and_open_replacement"),
    (_S.REPLACED, _E.CONNECTED): (_S.REPLACED, "abort"),  # The watch was replaced while it was connecting.
}

IGNORED: Ignored = {
    "events of a replaced watch have no effect": pairs([_S.REPLACED], set(_E) - {_E.CONNECTED}),
    "a closed watch has no connection": pairs(
        [_S.CLOSED], [_E.CONNECTED, _E.DISCONNECTED, _E.LINE_RECEIVED, _E.TIMED_OUT]
    ),
    "no line is expected before the watch is connected": pairs(
        [_S.CONNECTING], [_E.LINE_RECEIVED, _E.TIMED_OUT]
    ),
    "the watch is connecting or connected already": pairs(
        [_S.CONNECTING, _S.CONNECTED, _S.OPEN], [_E.RECONNECT]
    ),
    "a watch connects once": pairs([_S.CONNECTED, _S.OPEN], [_E.CONNECTED]),
    "the first line has opened the watch": pairs([_S.OPEN], [_E.LINE_RECEIVED]),
}


def update_bound_ms(limits: Limits) -> float:
    """Return the longest delay of an endpoint update, in ms, once discovery has it and is reachable.

    In the worst case the open watch has just fallen silent, or a watch has just been refused at the longest
    backoff. The next watch is silent, and the one after it begins a list and does not complete it, or never
    connects. The watch that follows delivers the update. The period of the maintenance, which detects
    silence, is included.
    """
    silent_ms = limits.watch_connect_ms + limits.watch_first_ms + limits.sweep_ms + limits.redial_ms
    incomplete_ms = silent_ms + limits.watch_list_ms
    initial_ms = max(limits.watch_silence_ms + limits.sweep_ms, limits.watch_most_ms)
    return initial_ms + silent_ms + incomplete_ms + limits.watch_connect_ms


@dataclass(eq=False, slots=True)
class Watch:
    """One watch. Times are Unix ms; `version` is the version of the latest endpoint list."""

    version: int
    state: WatchState = WatchState.CLOSED
    link: WatchLinkPort | None = None
    active_at: float = 0.0  # The time of the latest line, bytes of a first list, or connection set-up.
    list_started_at: float | None = None  # Arrival of the first bytes of the first list.
    refusals: int = 0  # Watches refused in a row before this one.


class DiscoveryWatch:
    """The state machine of the current watch and of those that it has replaced."""

    lifecycle: Lifecycle

    def __init__(self, context: Context, seed: int) -> None:
        self.context = context
        self.current = Watch(0)
        self.random = Random(seed)

    def attach(self, lifecycle: Lifecycle) -> None:
        """Set the state machine that this one calls."""
        self.lifecycle = lifecycle

    # Inputs.

    def connected(self, watch: Watch, link: WatchLinkPort) -> None:
        """Record that the watch is connected and its query is sent."""
        watch.link = link
        watch.active_at = self.context.now
        advance(WATCH, watch, WatchEvent.CONNECTED, self)

    def disconnected(self, watch: Watch) -> None:
        """Handle the end of a connection, or a failure to connect."""
        advance(WATCH, watch, WatchEvent.DISCONNECTED, self)

    def line_received(self, watch: Watch, version: int | None) -> bool:
        """Record a received line and return whether it belongs to the current watch.

        `version` is that of the list on the line, or None for a line without one.
        """
        if watch is not self.current:
            return False
        watch.active_at = self.context.now
        watch.refusals = 0
        advance(WATCH, watch, WatchEvent.LINE_RECEIVED, self)
        if version is not None:
            watch.version = version
        return True

    def list_started(self, watch: Watch) -> None:
        """Record that bytes of a first list have arrived and that the list is incomplete.

        Prevents the short timeout of a first line from ending a watch that receives a large list: the timeout
        counts from the latest bytes, until the list has taken longer than `watch_list_ms`.
        """
        if watch.state is WatchState.CONNECTED:
            now = self.context.now
            if watch.list_started_at is None:
                watch.list_started_at = now
            if now - watch.list_started_at <= self.context.limits.watch_list_ms:
                watch.active_at = now

    def malformed(self, _watch: Watch, reason: str) -> None:
        """Count and log a response that is no endpoint list or not 200; the latest list stays in force."""
        self.context.counts[counter_names.WATCH_SPOILT] += 1
        self.context.event_log.event("watch malformed", why=reason[:MAX_REASON_CHARACTERS])

    def reconnect(self) -> None:
        """Connect after the backoff."""
        advance(WATCH, self.current, WatchEvent.RECONNECT, self)

    def reopen(self) -> None:
        """Replace the watch at once, because the address of discovery changed or a newer list exists."""
        advance(WATCH, self.current, WatchEvent.ADDRESS_CHANGED, self)

    def newer_elsewhere(self, version: int) -> None:
        """Replace the watch if another gateway has a list of this version and it has not arrived here."""
        if version > self.current.version:
            self.reopen()

    def set_initial_version(self, version: int) -> None:
        """Set the version of the initial endpoint list."""
        self.current.version = version

    def maintain(self) -> None:
        """Time out a watch that is connected but silent.

        Discovery writes the first line at once and then one line every 2 s. Unread bytes in the socket show
        that the watch is alive and that this process has been slow to read.
        """
        watch = self.current
        limits = self.context.limits
        if watch.state is WatchState.CONNECTED:
            timeout_ms = limits.watch_first_ms
        elif watch.state is WatchState.OPEN:
            timeout_ms = limits.watch_silence_ms
        else:
            return
        is_silent = self.context.now - watch.active_at > timeout_ms
        if is_silent and not watch.link.has_unread_bytes():  # type: ignore[union-attr]  # It is connected.
            advance(WATCH, watch, WatchEvent.TIMED_OUT, self)

    # Effects of the transition table.

    def connect(self, watch: Watch) -> None:
        """Connect to discovery."""
        self.context.counts[counter_names.WATCHES] += 1
        self.context.emit(self.context.io.connect_watch, watch)

    def retry_later(self, watch: Watch) -> None:
        """Schedule the next watch, with exponential backoff and jitter.

        Prevents excess load on an overloaded discovery: on herd+vast it refuses every watch (503) from 2.4 s
        on, and forty gateways that each retried every 100 ms made 336 connects a second. Each refusal in a
        row doubles the backoff, up to `watch_most_ms`; the jitter prevents the gateways from reconnecting in
        step. During the start, `watch_refusals` refusals in a row end the wait for a first list, if there is
        an initial list.
        """
        context = self.context
        limits = context.limits
        self.current = Watch(watch.version, refusals=watch.refusals + 1)
        starting = self.lifecycle.state is LifecycleState.STARTING
        if starting and self.current.refusals == limits.watch_refusals:
            # Discovery refuses watches, so a longer wait for a first list would be in vain.
            context.follow_up(self.lifecycle.signal, LifecycleEvent.ENDPOINTS_OVERDUE)
        backoff_ms = min(limits.watch_most_ms, limits.redial_ms * 2**watch.refusals)
        context.schedule(context.now + backoff_ms * (0.5 + 0.5 * self.random.random()), Input.WATCH_RECONNECT)

    def abort_and_retry_later(self, watch: Watch) -> None:
        """Abort a watch that connected and received no line; schedule the next after the shortest backoff.

        This is not a refusal, so the backoff starts again. Otherwise an endpoint update would wait for this
        timeout and for a long backoff.
        """
        self.abort(watch)
        watch.refusals = 0
        self.retry_later(watch)

    def abort_and_open_replacement(self, watch: Watch) -> None:
        """Abort a connected watch and open another at once."""
        self.context.event_log.event(
            "watch reopened", active_ms_ago=self.context.now - watch.active_at, version=watch.version
        )
        self.abort(watch)
        self.open_replacement(watch)

    def open_replacement(self, watch: Watch) -> None:
        """Open another watch at once."""
        self.current = Watch(watch.version)
        self.reconnect()

    def abort(self, watch: Watch) -> None:
        """Close the connection at once."""
        self.context.emit(watch.link.abort)  # type: ignore[union-attr]  # Only connected watches are aborted.
