"""Stories of clients that leave before their answer, behind crowds that wait to be accepted."""

from __future__ import annotations

from random import Random

from granitedock.lab.soak.abuse import Abuse
from granitedock.lab.soak.story import (
    GATEWAYS,
    LEAST_MEMORY_MB,
    LENGTH_S,
    AbuseRun,
    Story,
    UsualClient,
    draw_signals,
    make_scenario,
)

LEAVERS = (Abuse.LEAVE, Abuse.RESET, Abuse.RESET_MANY, Abuse.DEPART)
# Half of it is for clients, so that each crowd fills the listener's backlog.
SOCKETS = 256
RESTART_SHARE = 0.5  # Of the stories, which have a planned restart.
# With time left for a wait in the backlog.
USUAL_CLIENTS = (UsualClient(161, "read", 20, 3000), UsualClient(163, "once", 10, 3000))


def draw_departure_story(seed: int) -> Story:
    """Return the story of a seed: idle clients and clients that leave, at one gateway."""
    random = Random(f"departures {seed}")
    gateway = random.randrange(GATEWAYS)
    crowd = AbuseRun(Abuse.IDLE, random.randint(350, 600), gateway, 0.2, LENGTH_S - 1.0)
    leavers = [
        AbuseRun(abuse, random.randint(2, 12), gateway, random.uniform(0.3, 3.0), random.uniform(3.0, 5.0))
        for abuse in random.sample(LEAVERS, 2)
    ]
    memory_mb = random.choice((LEAST_MEMORY_MB, 192))
    signals = draw_signals(random) if random.random() < RESTART_SHARE else ()
    scenario = make_scenario(seed, memory_mb, SOCKETS, USUAL_CLIENTS)
    return Story(seed, scenario, (crowd, *leavers), signals)
