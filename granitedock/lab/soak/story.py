"""Stories of the soak: what a seed draws of abusive clients, signals and limits."""

from __future__ import annotations

import signal
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from granitedock.lab.scenario import Scenario, parse
from granitedock.lab.soak.abuse import Abuse

GATEWAYS = 2
LENGTH_S = 9.0
# The platform's terms: SIGKILL may come after SIGTERM as early as the longest deadline (counted as 3 s at
# most) plus 0.7 s. The longest deadline of the laboratory's classes is 4 s.
KILL_AFTER_S = 3.0 + 0.7
LEAST_MEMORY_MB = 32  # The least that the platform's pages name.
SOCKETS = 1024
FLOODS = (
    Abuse.PING,
    Abuse.INFO,
    Abuse.UNKNOWN_COMMAND,
    Abuse.SMALL_REQUEST,
    Abuse.NEW_CUSTOMER,
    Abuse.UNKNOWN_PLAN,
    Abuse.INVALID_FIELD,
    Abuse.MANY_FIELDS,
    Abuse.DEPART,
)
CROWDS = (
    Abuse.SLOW_BODY,
    Abuse.HALF_BODY,
    Abuse.HALF_FIELDS,
    Abuse.MANY_WORDS,
    Abuse.UNREAD,
    Abuse.IDLE,
)
CROWD_SHARE = 0.6  # Of the stories, which have a crowd beside the floods.
FLEET = """
seed = %d
length_s = 60
[fleet]
gateways = 2
memory_mb = %d
sockets = %d
[[plans]]
rate = 200
burst = 200
[[fleet.zones]]
name = "east"
hosts = 4
service = { kind = "exponential", mean_ms = 8 }
"""
CLIENT = """
[[clients]]
customer = %d
product = "%s"
plan = "p"
rate = %d
spread = 2
left_ms = %d
"""


@dataclass(frozen=True, slots=True)
class UsualClient:
    """The steady requests of one customer, beside those of abusive clients."""

    customer: int
    request_class: str
    rate_per_s: int
    left_ms: int  # Until the deadline, when the client sends.


USUAL_CLIENTS = (
    UsualClient(161, "read", 20, 400),
    UsualClient(162, "mark", 10, 600),
    UsualClient(163, "once", 10, 600),
)


def make_scenario(seed: int, memory_mb: int, sockets: int, clients: Iterable[UsualClient]) -> Scenario:
    """Return a scenario of two gateways with these limits."""
    texts = [CLIENT % (each.customer, each.request_class, each.rate_per_s, each.left_ms) for each in clients]
    return parse(FLEET % (seed, memory_mb, sockets) + "".join(texts))


@dataclass(frozen=True, slots=True)
class AbuseRun:
    """One process of abusive clients, at one gateway."""

    abuse: Abuse
    connections: int
    gateway: int
    at_s: float
    for_s: float


@dataclass(frozen=True, slots=True)
class SignalAt:
    """A signal to a gateway; after SIGKILL the gateway is started again."""

    at_s: float
    gateway: int
    number: signal.Signals


@dataclass(frozen=True, slots=True)
class Story:
    """Everything that a seed fixes."""

    seed: int
    scenario: Scenario
    abuses: tuple[AbuseRun, ...]
    signals: tuple[SignalAt, ...]


def draw_story(seed: int) -> Story:
    """Return the story of a seed."""
    random = Random(f"soak {seed}")
    memory_mb = random.choice((LEAST_MEMORY_MB, LEAST_MEMORY_MB, 192))
    abuses = [
        AbuseRun(
            random.choice(FLOODS),
            random.randint(1, 12),
            random.randrange(GATEWAYS),
            random.uniform(0.3, 3.0),
            random.uniform(2.0, 6.0),
        )
        for _ in range(random.randint(1, 3))
    ]
    if random.random() < CROWD_SHARE:
        connections = random.randint(150, 400)
        abuses.append(
            AbuseRun(random.choice(CROWDS), connections, random.randrange(GATEWAYS), 0.2, LENGTH_S - 1.0)
        )
    scenario = make_scenario(seed, memory_mb, SOCKETS, USUAL_CLIENTS)
    return Story(seed, scenario, tuple(abuses), draw_signals(random))


def draw_signals(random: Random) -> tuple[SignalAt, ...]:
    """Return signals in series to one gateway: reloads, a planned restart, further signals meanwhile."""
    gateway = random.randrange(GATEWAYS)
    ends_at = random.uniform(1.5, 4.0)
    series = [
        (ends_at, signal.SIGTERM),
        (ends_at + KILL_AFTER_S, signal.SIGKILL),
        (random.uniform(0.5, ends_at), signal.SIGHUP),
        (ends_at + random.uniform(0.0, 1.0), random.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1))),
    ]
    return tuple(SignalAt(at_s, gateway, number) for at_s, number in sorted(series))
