"""Hosts crash and new ones with new ids take their addresses; watches are reset; some answers are spoilt."""

from __future__ import annotations

import asyncio
import time

from stand_ins.case import Case, main
from stand_ins.client import Client
from stand_ins.counter import Counter
from stand_ins.discovery import Discovery, entry
from stand_ins.gateway import Gateway, free_address
from stand_ins.host import Host, HostLink
from stand_ins.settings import lane, platform_file, settings

SPOILT_SHARE = 0.1  # Of the answers.
NOTICE_S = 4.5  # From a crash until discovery tells it.
ADD_S = 1.0  # From the start of a new host until discovery tells it.
REPLACED_AFTER_S = 0.3  # From a crash to the start of the new host.
RESET_AFTER_S = 1.6  # From a crash to the reset of the open watch.
REOPENED_S = 0.5  # By then the gateway has opened the watch anew and read the whole list.
PLAY_S = 60.0
ROUND_S = 9.0
CLIENTS = 6
PAUSE_S = 0.03
COLD_MS = 8000.0


class CellHost(Host):
    """A host of a cell, which drops repeats of what its cell has run; it spoils some answers."""

    spoils = False

    def __init__(self, name: str, cell: int, case: Case, attempts: dict[str, list[tuple[float, str, int]]]) -> None:
        super().__init__(name, case.log, 0.02, seed=sum(name.encode()))
        self.cell = cell
        self.attempts = attempts
        self.started_at_ms = 0

    async def handle(self, link: HostLink, words: list[bytes]) -> None:
        """Run one request; spoil some answers."""
        name = words[2].decode()
        self.attempts.setdefault(name, []).append((time.time(), self.name, self.cell))
        await asyncio.sleep(self.work_s)
        spoilt = self.spoils and self.random.random() < SPOILT_SHARE
        self.log(self.name, "cell", self.cell, "ran", name, "and spoils the answer" if spoilt else "")
        link.writer.write(b"+noise\r\n" if spoilt else self.answer(name))

    def entry(self, lifecycle: str = "in_service") -> dict[str, object]:
        """Return the host's entry in a list."""
        return entry(self.name, self.address, lifecycle, cell=self.cell, startedAtMs=self.started_at_ms)


async def replace(case: Case, old: CellHost, new: CellHost, discovery: Discovery, told: list[float]) -> None:
    """Crash a host, and start a new one at its address."""
    crashed_at = time.time()
    old.close()
    await old.server.wait_closed()
    case.log(old.name, "crashed")
    await asyncio.sleep(REPLACED_AFTER_S)
    new.started_at_ms = int(time.time() * 1000)
    host, port = old.address.rsplit(":", 1)
    new.server = await asyncio.start_server(new.serve, host, int(port))
    new.address = old.address
    case.servers.append(new)
    case.log(new.name, "cell", new.cell, "started at the address of", old.name)
    await asyncio.sleep(ADD_S)
    discovery.change(new.entry())
    case.log("discovery told", new.name)
    await asyncio.sleep(max(0.0, crashed_at + RESET_AFTER_S - time.time()))
    case.log("the open watch is reset")
    for writer in list(discovery.watches):
        writer.transport.abort()
    told.append(time.time() + REOPENED_S)
    await asyncio.sleep(max(0.0, crashed_at + NOTICE_S - time.time()))
    discovery.change(old.entry("terminated"))
    del discovery.hosts[old.name]
    case.log("discovery told the end of", old.name)


async def play(case: Case) -> str:
    """Play the case; returns how the rule was broken, or ""."""
    attempts: dict[str, list[tuple[float, str, int]]] = {}
    hosts = [CellHost(f"s-{number}", number % 2, case, attempts) for number in range(1, 7)]
    counter = Counter()
    case.servers += [*hosts, counter]
    for host in hosts:
        await host.start()
        host.spoils = case.trouble
    listed = [host.entry() for host in hosts]
    discovery = Discovery(41, listed, case.log)
    discovery.whole_first = True
    case.servers.append(discovery)
    classes = [{**lane("mark", "keyed", 1000.0, 2500.0), "DedupScope": "cell"}]
    gateway = Gateway(
        case.folder,
        platform_file(
            "n0",
            free_address(),
            await discovery.start(),
            await counter.start(),
            {"generation": 41, "reset": True, "instances": listed},
            settings(0, 1, Lanes=classes, Safety={"ColdMs": COLD_MS}),
        ),
    )
    case.gateways.append(gateway)
    gateway.start()
    await gateway.wait_until_ready()
    case.log("gateway ready")
    end = time.time() + PLAY_S
    answers = []
    told: list[float] = []  # When each whole list that names a new host beside the old one has been read.

    async def ask_on(client: Client) -> None:
        while time.time() < end:
            answers.append(await client.ask("mark", 2500, safe=False, key=True))
            await asyncio.sleep(PAUSE_S * (0.5 + client.random.random()))
        client.close()

    usual = [asyncio.ensure_future(ask_on(Client(gateway.address, case.log, seed))) for seed in range(CLIENTS)]
    for number, old in enumerate(hosts[:6]):
        await asyncio.sleep(1.0)
        new = CellHost(f"n-{number}", 1 - old.cell, case, attempts)
        new.spoils = case.trouble
        if case.trouble:
            await replace(case, old, new, discovery, told)
        await asyncio.sleep(ROUND_S - 1.0 - NOTICE_S if case.trouble else ROUND_S - 1.0)
    await asyncio.gather(*usual)
    broken = []
    before = 0  # Those whose gateway had been told of the new host for less than that.
    for name, its_attempts in attempts.items():
        if len({cell for _, _, cell in its_attempts}) > 1:
            begun_at = its_attempts[0][0]
            if any(at <= begun_at <= at + NOTICE_S for at in told):
                broken.append(name)
                runs = [f"at {at - case.record.began:.3f} s by {host}, cell {cell}" for at, host, cell in its_attempts]
                case.log("run in two cells:", name, *runs)
            else:
                before += 1
    repeated = sum(len(its_attempts) > 1 for its_attempts in attempts.values())
    case.log("requests run:", len(attempts), "run again:", repeated, "in two cells:", len(broken), "not counted:", before)
    if not attempts:
        raise RuntimeError("nothing ran")
    return f"{len(broken)} keyed requests ran in two cells" if broken else ""


main(__file__, play)
