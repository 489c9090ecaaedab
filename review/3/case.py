"""Bad clients that send hundreds of commands at once, and the usual clients whose requests then wait."""

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
RATE = 25.0  # Requests a second at each gateway: with two gateways the site's 51 a second.
SECONDS = 40.0
BAD_CLIENTS = 12  # At a gateway, at each of BAD_AT_S.
BAD_AT_S = (10.0, 25.0)
COMMANDS = 999  # "Hundreds", from each bad client, then half a command.
WAIT_S = 10.0  # So long after its time a client still waits, to see when the answer comes.
LATE_S = 0.55  # Half a second after its time an answer only earns nothing; limits are 50 ms longer on sockets.


async def bad_client(gateway, record) -> None:
    """Send hundreds of commands at once and half a command, read what is sent, and close."""
    reader, writer = await asyncio.open_connection(s.LOOPBACK, gateway.port)
    try:
        writer.write(s.command(b"PING") * COMMANDS + b"*4\r\n$8\r\nAPI.READ\r\n")
        began, got = time.time(), 0
        record.line("bad client sent", gateway=gateway.name, commands=COMMANDS)
        while time.time() < began + 3.0:
            data = await asyncio.wait_for(reader.read(65536), began + 3.0 - time.time())
            if not data:
                break
            got += len(data)
    except (asyncio.TimeoutError, *s.ENDED):
        pass
    record.line("bad client closes", gateway=gateway.name, got_bytes=got)
    writer.close()


async def play(record, temporary, gateways) -> int:
    chance = random.Random(SEED)
    hosts = [s.Host(f"s-{n:08x}", record, chance, s.work_source(chance)) for n in range(9)]
    for host in hosts:
        await host.start()
    counter = s.Counter()
    await counter.start()
    discovery = s.Discovery(hosts, record)
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
    tasks, bad = [], list(BAD_AT_S) if s.TROUBLE else []
    due = began = time.time()
    while (due := due + chance.expovariate(RATE * len(fronts))) < began + SECONDS:
        await asyncio.sleep(max(0.0, due - time.time()))
        if bad and time.time() > began + bad[0]:
            bad.pop(0)
            tasks += [asyncio.ensure_future(bad_client(gateways[0], record)) for _ in range(BAD_CLIENTS)]
        front = chance.choice(fronts)
        product = s.pick_product(chance)
        left_ms = round(s.PRODUCTS[product][3] * chance.uniform(0.5, 1.0))
        asked = front.new(product, chance.randrange(100), left_ms)
        tasks.append(asyncio.ensure_future(front.ask(asked, wait_s=WAIT_S)))
    await asyncio.gather(*tasks, return_exceptions=True)
    everything = [asked for front in fronts for asked in front.all]
    lost = 0
    for gateway in gateways:
        late, never = [], 0
        for asked in everything:
            if asked.gateway != gateway.name or not asked.sent_at or asked.outcome == "closed":
                continue
            over_s = asked.answered_at - asked.sent_at - asked.left_ms / 1000
            if not asked.answered_at:
                never += 1
                record.line("lost", id=asked.id.decode(), why=f"no answer {WAIT_S} s after its time")
            elif over_s > LATE_S:
                late.append(over_s)
                record.line("lost", id=asked.id.decode(), why=f"{asked.outcome} {over_s:.2f} s after its time")
        lost += len(late) + never
        record.say(f"{gateway.name}: answered over half a second after their time: {len(late)}, the latest "
                   f"{max(late, default=0):.1f} s after it; without an answer {WAIT_S:.0f} s after their time: {never}")
    record.say(f"requests {len(everything)}, {s.counts(everything)}")
    return s.BROKEN if lost else s.HELD


s.main(play, Path(__file__).resolve().parent)
