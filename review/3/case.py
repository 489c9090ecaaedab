"""A discovery that takes two seconds to write a first list, and hosts that begin to drain meanwhile."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))

import standins as s

SEED = int(os.environ.get("SEED", "1"))
RATE = 25.0  # Requests a second at each gateway.
TRICKLE_S = 2.0  # Time that a first list takes, in pieces.
DRAIN_AT_S, SECONDS = 8.0, 45.0
# Told at the latest 6 s after discovery had it; then the grace of the settings; limits are 50 ms longer on
# sockets, and a gateway may be held up for 0.15 s.
TOLD_S = 6.0
GRACE_S = s.SETTINGS["Safety"]["DrainGraceMs"] / 1000 + 0.05 + 0.15


async def play(record, temporary, gateways) -> int:
    chance = random.Random(SEED)
    hosts = [s.Host(f"s-{n:08x}", record, chance, s.work_source(chance)) for n in range(9)]
    for host in hosts:
        await host.start()
    counter = s.Counter()
    await counter.start()
    discovery = s.Discovery(hosts, record)
    discovery.trickle_s = TRICKLE_S if s.TROUBLE else 0.0
    await discovery.start()
    for number in range(2):
        gateway = s.Gateway(number, temporary, discovery, counter, gateways=2,
                            limits={"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                            known=[host.entry() for host in hosts])
        gateways.append(gateway)
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_until_ready()
    fronts = [s.Clients(gateway, record, chance) for gateway in gateways]
    tasks = []
    due = began = time.time()
    draining, had_at = [], 0.0
    while (due := due + chance.expovariate(RATE * len(fronts))) < began + SECONDS:
        await asyncio.sleep(max(0.0, due - time.time()))
        if not draining and time.time() > began + DRAIN_AT_S:
            draining, had_at = hosts[:2], time.time()
            for host in draining:
                discovery.change(host, "terminating")
        front = chance.choice(fronts)
        asked = front.new(s.pick_product(chance), chance.randrange(100))
        tasks.append(asyncio.ensure_future(front.ask(asked)))
    await asyncio.gather(*tasks)
    bound = had_at + TOLD_S + GRACE_S
    late = [(at - had_at, host.name, id_) for host in draining for at, id_ in host.arrived if at > bound]
    for after_s, name, id_ in sorted(late)[:20]:
        record.say(f"host {name} got request {id_.decode()} {after_s:.2f} s after discovery had its drain")
    everything = [asked for front in fronts for asked in front.all]
    record.say(f"requests {len(everything)}, {s.counts(everything)}; watches opened {len(discovery.opened)}; sent to "
               f"a draining host after the bound of {bound - had_at:.2f} s: {len(late)}, the last "
               f"{max(late, default=(0,))[0]:.1f} s after discovery had it")
    return s.BROKEN if late else s.HELD


s.main(play, Path(__file__).resolve().parent)
