"""The process's lifecycle: starting, serving, draining, closing, ended, left.

Owns the state of the process and the table by which it changes; has no I/O. What follows for connections and
requests is asked of the owner, the reducer. It must never decide about a request.
"""

from __future__ import annotations

from typing import Any

from granitedock.service.inputs import Input
from granitedock.state_table import advance

STATES = {
    ("starting", "listed"): ("serving", "open_up"),
    ("starting", "waited"): ("starting", "go_by_known"),
    ("starting", "overlong"): ("serving", "open_up"),
    ("starting", "ending"): ("draining", "stay_open"),
    ("serving", "ending"): ("draining", "stay_open"),
    ("draining", "listed"): ("draining", "hear_list"),
    ("draining", "shut"): ("closing", "shut_door"),
    ("closing", "look"): ("closing", "look_round"),
    ("closing", "idle"): ("left", "leave"),
    ("closing", "overdue"): ("ended", "answer_rest"),
    ("ended", "look"): ("ended", "look_round"),
    ("ended", "idle"): ("left", "leave"),
    ("ended", "bound"): ("left", "leave"),
}
SHUTTING = frozenset({"closing", "ended", "left"})  # no request is taken any more


class Lifecycle:
    def __init__(self, owner: Any) -> None:
        self.owner, self.state, self.shut_at = owner, "starting", float("inf")
        self.opened = False  # a list was heard, or waited for as long as it may be

    @property
    def shutting(self) -> bool:
        return self.state in SHUTTING

    @property
    def refusing(self) -> bool:
        """Requests are refused at once: the process shuts, or was told to before it had heard a list. Guards
        hosts that drain by a list that the process never heard: what it was handed may be old."""
        return self.shutting or (self.state == "draining" and not self.opened)

    def signal(self, signal: str) -> None:
        owner, before = self.owner, self.state
        advance(STATES, self, signal, self)
        if self.state != before:
            owner.event_log.event("mode", was=before, now=self.state, requests=len(owner.requests))

    def begin(self) -> None:
        """Bound on the start: nine in ten restarted processes have to be ready within 10 s of their start."""
        owner = self.owner
        owner.schedule(owner.now + owner.limits.ready_ms, Input.LIFECYCLE, "waited")
        owner.schedule(
            max(owner.now, owner.began_at + owner.limits.ready_most_ms), Input.LIFECYCLE, "overlong"
        )

    def go_by_known(self, _self: Any) -> str | None:
        """Guards against discovery that is down at the start: an old list serves. Without one there is longer
        to wait, since every request would be refused; but not for ever, as the front holds back until
        PONG."""
        return "listed" if self.owner.endpoints else None

    def hear_list(self, _self: Any) -> None:
        self.opened = True

    def open_up(self, _self: Any) -> None:
        self.opened = True
        self.owner.answer_pings(b"+PONG\r\n")
        self.owner.hand_over()

    def stay_open(self, _self: Any) -> None:
        """A PING that waited for the start is told the truth: guards the requests behind it on its
        connection, whose answers would else wait for the PONG until the process is gone."""
        owner = self.owner
        owner.answer_pings(b"-ERR closing\r\n")
        owner.hand_over()
        for after_ms, signal in (
            (owner.limits.open_ms, "shut"),
            (owner.limits.leave_ms, "overdue"),
            (owner.limits.leave_most_ms, "bound"),
        ):
            owner.schedule(owner.now + after_ms, Input.LIFECYCLE, signal)

    def shut_door(self, _self: Any) -> None:
        """No new connection, once those that wait for us to accept them are in; who waits for no answer is
        parted with, unless bytes of theirs lie unread."""
        owner = self.owner
        self.shut_at = owner.now
        owner.do(owner.doors.stop_listening)
        for client in list(owner.clients):
            owner.offer_end(client)
        owner.schedule(owner.now + owner.limits.fresh_ms, Input.LIFECYCLE, "look")

    def look_round(self, _self: Any) -> str | None:
        return None if self.owner.clients else "idle"

    def answer_rest(self, _self: Any) -> str | None:
        """Guards against a stop that finds requests in hand: an error promises nothing, and comes in time.
        The process ends once every client has read what it was told and gone, or at the bound, before
        SIGKILL."""
        owner = self.owner
        for request in list(owner.requests):
            owner.fail(request)
        for client in list(owner.clients):
            owner.offer_end(client)
        return self.look_round(self)

    def leave(self, _self: Any) -> None:
        self.owner.do(self.owner.doors.stop_process)
