"""The limits of one gateway process: every size, count and time that bounds it.

Filled once at the start from the platform file and the operators' settings, and handed down. They decide
nothing about a request, and nothing changes them while the gateway runs.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

KIB = 1024
MIB = 1024 * KIB
PROCESS_BYTES = 26 * MIB  # the process itself, with its connections and records
DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024
SPARE_SOCKETS = 20  # standard streams, the reactor's own, the listener, the watch, and some to spare
MAX_COUNTER_LINKS = 4
DEFAULT_MAX_HELD_REQUESTS = 20000
BYTES_PER_REQUEST = 32 * KIB  # of memory, by which the requests held at once are bounded
DEFAULT_MAX_UNITS = 1e9
DEFAULT_CONNECT_MS = 250.0
DEFAULT_HOST_IDLE_MS = 15000.0
REDIAL_MS = 100.0
WATCH_MOST_MS = 1500.0
DEFAULT_DEADLINE_MS = 3000.0  # where there is no request class; and the longest that a shutdown waits for one
ANSWERED_MARGIN_MS = 480.0  # of a shutdown, from the longest deadline until all is answered
EXIT_MARGIN_MS = 590.0  # and until the process ends


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Each limit with its unit: bytes, counts, or milliseconds where the name ends with `_ms`."""

    # Sizes, in bytes.
    value: int = 64 * KIB  # one bulk string
    whole: int = 68 * KIB  # one command or answer with all it holds
    line: int = KIB  # one line of the framing
    document: int = 4 * MIB  # one line of the list of hosts
    held: int  # all commands and answers in flight or queued here
    unread: int = 256 * KIB  # answers that one client leaves unread
    # Counts.
    items: int = 64  # of one array
    depth: int = 4  # of arrays in arrays
    requests: int  # held at once
    queue: int = 64  # commands of one client's connection that wait for answers
    client_links: int  # beyond this one that waits for nothing is closed
    client_most: int  # beyond this none is accepted
    client_over: int  # and beyond this one that slipped in is closed at once
    host_links: int
    counter_links: int  # in use at once
    counter_old: int  # silent ones that are kept for late totals
    backlog: int = 512
    accepts: int = 8  # connections accepted in a turn of the event loop; what they send is read between
    log_lines: int = 50  # of the event log, a second
    gateways: int  # of the deployment, numbered from 0
    units: float  # of one request
    true_units: float  # as a host may state them behind an answer; 0 where they are not settled
    # Times, in milliseconds.
    connect_ms: float
    host_idle_ms: float  # a connection to a host is closed when idle so long, before the host does
    wary_ms: float = 5000.0  # kept ones are not trusted with what can't be repeated, after one was cut in use
    settle_ms: float = 5.0  # and used again no sooner after an answer, for what may follow behind
    answer_ms: float = 250.0  # an answer begun and not ended, since its last bytes
    answer_most_ms: float = 2000.0  # and since its first ones
    total_ms: float = 50.0  # and one of the counter, which is a line
    counter_ping_ms: float = 3000.0  # an idle connection to the counter is used at least so often
    counter_silence_ms: float = 1000.0  # with calls waiting, it is taken for dead after this
    counter_linger_ms: float = 10000.0  # and kept so long for late totals
    watch_silence_ms: float = 2500.0  # a watch without a line for so long is dead
    watch_first_ms: float = 800.0  # and one that came up, without its first line
    watch_list_ms: float = 500.0  # or, once that has begun, without its end
    watch_connect_ms: float
    redial_ms: float = REDIAL_MS  # the backoff of a watch begins with this
    watch_most_ms: float = WATCH_MOST_MS  # a watch turned away again and again is dialled at most so seldom
    watch_refusals: int = 3  # in a row while starting: the list as last had serves without waiting longer
    half_ms: float = 1500.0  # a command begun and not ended, since its last bytes, or a first one not begun
    half_most_ms: float = 5000.0  # and since it was first found so
    spoilt_ms: float = 1500.0  # requests before a malformed command are waited for
    fresh_ms: float = 100.0  # a client's connection that has said nothing may be closed to make room
    rest_ms: float = 2000.0  # one without a command for so long since its last answer is closed
    close_ms: float = 300.0  # we have closed our side of a connection, the client not its own
    flush_ms: float = 5000.0  # answers are written to a connection that is to close, and not read
    margin_ms: float = 8.0  # answers leave so long before the client's time is up
    ready_ms: float = 1000.0  # the longest wait for a first list at start, where there is an old one
    ready_most_ms: float = 5000.0  # and without one, from the process's start
    open_ms: float = 500.0  # after SIGTERM new connections are accepted for so long
    leave_ms: float  # after SIGTERM all is answered by then
    leave_most_ms: float  # and the process ends, read or not
    sweep_ms: float = 100.0  # between two turns of the periodic maintenance

    @classmethod
    def from_platform_file(cls, contents: dict[str, Any]) -> Limits:
        """By the checked contents of a platform file: the process's own limits, and those that the deployment
        states."""
        own = contents.get("limits") or {}
        settings = contents["settings"]
        memory = float(own.get("memory_mb") or DEFAULT_MEMORY_MB) * MIB
        sockets = int(own.get("sockets") or DEFAULT_SOCKETS)
        counter = min(MAX_COUNTER_LINKS, max(1, sockets // 32))
        links = max(8, sockets - 2 * counter - SPARE_SOCKETS)
        allowed = settings.get("Allowed") or {}
        special = settings.get("Specifics") or {}
        units = float(special.get("MaxUnits") or DEFAULT_MAX_UNITS)
        connect_ms = float(allowed.get("ConnectTimeoutMs") or DEFAULT_CONNECT_MS)
        max_requests = int(allowed.get("MostHeld") or DEFAULT_MAX_HELD_REQUESTS)
        longest_ms = max((float(lane["GiveUpMs"]) for lane in settings["Lanes"]), default=DEFAULT_DEADLINE_MS)
        shutdown_ms = min(longest_ms, DEFAULT_DEADLINE_MS)
        return cls(
            held=int(max(memory / 32, (memory - PROCESS_BYTES) / 4)),
            requests=min(max_requests, int(memory / BYTES_PER_REQUEST)),
            client_links=int(links * 0.45),
            client_most=int(links * 0.5),
            client_over=int(links * 0.6),
            host_links=int(links * 0.4),
            counter_links=counter,
            counter_old=counter,
            gateways=max(1, int(settings.get("Balancers") or 1)),
            units=units,
            true_units=units if special.get("TruedUp") else 0.0,
            connect_ms=connect_ms,
            host_idle_ms=float(allowed.get("ConnIdleMs") or DEFAULT_HOST_IDLE_MS) / 2,
            watch_connect_ms=min(DEFAULT_CONNECT_MS, connect_ms),
            leave_ms=shutdown_ms + ANSWERED_MARGIN_MS,
            leave_most_ms=shutdown_ms + EXIT_MARGIN_MS,
        )
