"""The limits of one gateway process: every size, count and time that bounds it.

Owns the figures, filled once at start from what the gateway is told, and handed down. It must never
decide anything about a task, and nothing may change it while the gateway runs.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

KIB = 1024
MIB = 1024 * KIB
PROCESS = 26 * MIB  # the process itself, with its connections and notes


@dataclass(frozen=True, slots=True)
class Limits:
    # Sizes, in bytes.
    value: int  # one bulk string
    whole: int  # one command or answer with all it holds
    line: int  # one line of the framing
    document: int  # one line of the list of hosts
    held: int  # all commands and answers that wait here
    unread: int  # answers that one client leaves unread
    # Counts.
    items: int  # of one array
    depth: int  # of arrays in arrays
    requests: int  # held at once
    queue: int  # commands of one client's connection that wait for answers
    client_links: int  # beyond this one that waits for nothing is closed
    client_most: int  # beyond this none is taken in
    client_over: int  # and beyond this one that slipped in is closed at once
    host_links: int
    counter_links: int  # in use at once
    counter_old: int  # silent ones that are kept for late totals
    backlog: int
    accepts: int  # connections taken in at a turn of the loop, so that what they say is read between
    log_lines: int  # a second
    gateways: int  # numbered from 0 in a customer's set
    units: float  # of one task
    true_units: float  # as a host may tell them behind an answer; 0 where they are not settled
    # Times, in milliseconds.
    connect_ms: float
    host_idle_ms: float  # a connection to a host is closed when idle so long, before the host does
    wary_ms: float  # kept ones are not trusted with what can't be repeated, after one was cut in use
    settle_ms: float  # and used again no sooner after an answer, for what may follow behind
    answer_ms: float  # an answer begun and not ended, since its last bytes
    answer_most_ms: float  # and since its first ones
    total_ms: float  # and one of the counter, which is a line
    counter_ping_ms: float  # an idle connection to the counter is used at least so often
    counter_silence_ms: float  # with calls waiting, it is taken for dead after this
    counter_linger_ms: float  # and kept so long for late totals
    watch_silence_ms: float  # a watch without a line for so long is dead
    watch_first_ms: float  # and one that came up, without its first line
    watch_list_ms: float  # or, once that has begun, without its end
    watch_connect_ms: float
    redial_ms: float
    watch_most_ms: float  # a watch turned away again and again is dialled at most so seldom
    watch_refusals: int  # in a row while starting: the list as last had serves without waiting longer
    half_ms: float  # a command begun and not ended, since its last bytes, or a first one not begun
    half_most_ms: float  # and since it was first found so
    spoilt_ms: float  # tasks before a malformed command are waited for
    fresh_ms: float  # a client's connection that has said nothing may be closed to make room
    rest_ms: float  # one without a command for so long since its last answer is closed
    close_ms: float  # we have closed our side of a connection, the client not its own
    flush_ms: float  # answers are written to a connection that is to close, and not read
    margin_ms: float  # answers leave so long before the client's time is up
    ready_ms: float  # the longest wait for a first list at start, where there is an old one
    ready_most_ms: float  # and without one, from the process's birth
    open_ms: float  # after SIGTERM new connections are taken for so long
    leave_ms: float  # after SIGTERM all is answered by then
    leave_most_ms: float  # and the process ends, read or not
    sweep_ms: float

    @classmethod
    def told(cls, told: dict[str, Any]) -> Limits:
        """From the file the gateway is started with: its own limits, and those the deployment states."""
        own, born = told.get("limits") or {}, told["settings"]
        memory = float(own.get("memory_mb") or 192) * MIB
        sockets = int(own.get("sockets") or 1024)
        counter = min(4, max(1, sockets // 32))
        # Beside the links: standard streams, the reactor's own, the listener, the watch, and some to spare.
        links = max(8, sockets - 2 * counter - 20)
        allowed = born.get("Allowed") or {}
        special = born.get("Specifics") or {}
        units = float(special.get("MaxUnits") or 1e9)
        longest = max((float(lane["GiveUpMs"]) for lane in born["Lanes"]), default=3000.0)
        return cls(
            value=64 * KIB,
            whole=68 * KIB,
            line=KIB,
            document=4 * MIB,
            held=int(max(memory / 32, (memory - PROCESS) / 4)),
            unread=256 * KIB,
            items=64,
            depth=4,
            requests=min(int(allowed.get("MostHeld") or 20000), int(memory / (32 * KIB))),
            queue=64,
            client_links=int(links * 0.45),
            client_most=int(links * 0.5),
            client_over=int(links * 0.6),
            host_links=int(links * 0.4),
            counter_links=counter,
            counter_old=counter,
            backlog=512,
            accepts=8,
            log_lines=50,
            gateways=max(1, int(born.get("Balancers") or 1)),
            units=units,
            true_units=units if special.get("TruedUp") else 0.0,
            connect_ms=float(allowed.get("ConnectTimeoutMs") or 250.0),
            host_idle_ms=float(allowed.get("ConnIdleMs") or 15000.0) / 2,
            wary_ms=5000.0,
            settle_ms=5.0,
            answer_ms=250.0,
            answer_most_ms=2000.0,
            total_ms=50.0,
            counter_ping_ms=3000.0,
            counter_silence_ms=1000.0,
            counter_linger_ms=10000.0,
            watch_silence_ms=2500.0,
            watch_first_ms=800.0,
            watch_list_ms=500.0,
            watch_connect_ms=min(250.0, float(allowed.get("ConnectTimeoutMs") or 250.0)),
            redial_ms=100.0,
            watch_most_ms=1500.0,
            watch_refusals=3,
            half_ms=1500.0,
            half_most_ms=5000.0,
            spoilt_ms=1500.0,
            fresh_ms=100.0,
            rest_ms=2000.0,
            close_ms=300.0,
            flush_ms=5000.0,
            margin_ms=8.0,
            ready_ms=1000.0,
            ready_most_ms=5000.0,
            open_ms=500.0,
            leave_ms=min(longest, 3000.0) + 480.0,
            leave_most_ms=min(longest, 3000.0) + 590.0,
            sweep_ms=100.0,
        )
