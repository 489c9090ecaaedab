"""The watch on discovery: opened, taken for dead, opened again.

Owns the state of the watch, its table and its back-off; has no I/O. Bound: what discovery has and can be
reached for is told within 6 s (`told_within`), 4 s after SIGHUP, whatever is refused or falls silent on the
way. It must never keep the list of hosts.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.state_table import advance

# `asked`: up, and no line has come. `left`: given up, another has taken its place.
STATES = {
    ("closed", "due"): ("dialling", "dial"),
    ("closed", "moved"): ("left", "anew"),
    ("dialling", "up"): ("asked", None),
    ("dialling", "down"): ("closed", "later"),
    ("dialling", "moved"): ("left", "anew"),
    ("asked", "heard"): ("open", None),
    ("asked", "down"): ("closed", "later"),
    ("asked", "silent"): ("left", "turn_away"),
    ("asked", "moved"): ("left", "abort_anew"),
    ("open", "down"): ("closed", "later"),
    ("open", "silent"): ("left", "abort_anew"),
    ("open", "moved"): ("left", "abort_anew"),
    ("left", "up"): ("left", "abort"),  # its dial was under way when another took its place
}


def told_within(limits: Limits) -> float:
    """The longest that news waits here, in ms, from when discovery has it and can be reached: a watch has
    just fallen silent, or one has just been turned away at the longest back-off; then a new one is silent and
    another begins a list and does not end it, or never comes up; and the one after speaks. Sweeps, which look
    for silence, are in it."""
    silent = limits.watch_connect_ms + limits.watch_first_ms + limits.sweep_ms + limits.redial_ms
    unended = silent + limits.watch_list_ms
    begins = max(limits.watch_silence_ms + limits.sweep_ms, limits.watch_most_ms)
    return begins + silent + unended + limits.watch_connect_ms


@dataclass(eq=False, slots=True)
class Watch:
    version: int
    state: str = "closed"
    link: Any = None
    heard_at: float = 0.0  # a line, the beginning of one, or the connection's coming up
    begun_at: float | None = None  # the first bytes of a first list
    misses: int = 0  # watches before it that were turned away


class DiscoveryWatch:
    """The one watch in use. `owner` is the reducer: its clock, timers, effects, limits and log."""

    def __init__(self, owner: Any) -> None:
        self.owner, self.now_used = owner, Watch(0)

    def signal(self, watch: Watch, signal: str) -> None:
        advance(STATES, watch, signal, self)

    def up(self, watch: Watch, link: Any) -> None:
        watch.link, watch.heard_at = link, self.owner.now
        self.signal(watch, "up")

    def heard(self, watch: Watch) -> bool:
        """A line came. Whether the watch is the one in use."""
        if watch is not self.now_used:
            return False
        watch.heard_at, watch.misses = self.owner.now, 0
        self.signal(watch, "heard")
        return True

    def begun(self, watch: Watch) -> None:
        """A first list has begun and not ended. Guards large ones against the short wait for a first line:
        it counts from the last bytes, as long as the list is not given up for its length of time."""
        if watch.state == "asked":
            if watch.begun_at is None:
                watch.begun_at = self.owner.now
            if self.owner.now - watch.begun_at <= self.owner.limits.watch_list_ms:
                watch.heard_at = self.owner.now

    def spoilt(self, watch: Watch, why: str) -> None:
        """What came is no list, or not 200: the list as last had stands."""
        self.owner.counts["watch_spoilt"] += 1
        self.owner.event_log.event("watch spoilt", why=why[:200])

    def due(self) -> None:
        self.signal(self.now_used, "due")

    def sweep(self) -> None:
        """Guards against a watch that is open and dead: discovery writes a line every 2 s, and a first one at
        once. Bytes that lie unread are life: it was we who were slow."""
        owner, watch = self.owner, self.now_used
        limits = owner.limits
        patience = {"asked": limits.watch_first_ms, "open": limits.watch_silence_ms}.get(watch.state)
        if patience is not None and owner.now - watch.heard_at > patience and not watch.link.lies_unread():
            self.signal(watch, "silent")

    # What the table asks for.

    def dial(self, watch: Watch) -> None:
        self.owner.counts["watches"] += 1
        self.owner.do(self.owner.doors.connect_watch, watch)

    def later(self, watch: Watch) -> None:
        """Guards against loading a discovery that is overbooked: on herd+vast it turns every watch away (503)
        from 2.4 s on, and forty gateways that each asked again every 100 ms made 336 dials a second. Each
        miss in a row doubles the wait, up to `watch_most_ms`, at a random part of it, so that gateways
        do not come back in step. At the start, the wait for a first list ends once, at `watch_refusals`."""
        owner, limits = self.owner, self.owner.limits
        self.now_used = Watch(watch.version, misses=watch.misses + 1)
        if owner.state == "starting" and self.now_used.misses == limits.watch_refusals:
            owner.inbox.append((owner.mode, "waited"))  # discovery said no: waiting for it would be lost
        wait = min(limits.watch_most_ms, limits.redial_ms * 2**watch.misses)
        owner.schedule(owner.now + wait * (0.5 + 0.5 * owner.chance.random()), Input.WATCH_RECONNECT)

    def turn_away(self, watch: Watch) -> None:
        """Up, and not a line. That is no refusal: the next try is soon, however long the waits had become
        before it, as news would else wait for both."""
        self.abort(watch)
        watch.misses = 0
        self.later(watch)

    def abort_anew(self, watch: Watch) -> None:
        self.owner.event_log.event(
            "watch anew", heard_ms_ago=self.owner.now - watch.heard_at, version=watch.version
        )
        self.abort(watch)
        self.anew(watch)

    def anew(self, watch: Watch) -> None:
        self.now_used = Watch(watch.version)
        self.due()

    def abort(self, watch: Watch) -> None:
        self.owner.do(watch.link.abort)
