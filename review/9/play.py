"""Silent clients open hundreds of connections; behind them a client sends a request, gives up and closes."""

from __future__ import annotations

import asyncio
import socket
import struct
import time

from stand_ins.case import Case, main
from stand_ins.client import Client
from stand_ins.counter import Counter
from stand_ins.discovery import Discovery, entry
from stand_ins.gateway import Gateway, free_address
from stand_ins.host import Host
from stand_ins.settings import platform_file, settings

SILENT_CLIENTS = 400
ROUNDS = 8
ROUND_S = 5.0
LEAVERS = 10
LEAVE_AFTER_S = 0.05
BEGIN_S = 0.1  # An attempt may begin so long after the close.
SLACK_S = 0.05  # Every time limit on sockets is 50 ms longer.
NO_LINGER = struct.pack("ii", 1, 0)


class Crowd:
    """Clients that open connections and say nothing; they read whatever comes."""

    def __init__(self, address: str) -> None:
        self.target = (address.rsplit(":", 1)[0], int(address.rsplit(":", 1)[1]))
        self.sockets: list[socket.socket] = []

    def arrive(self, count: int) -> None:
        """Open this many connections at once."""
        for _ in range(count):
            silent = socket.socket()
            silent.setblocking(False)
            silent.connect_ex(self.target)
            self.sockets.append(silent)

    def leave(self) -> None:
        """Close all connections."""
        for silent in self.sockets:
            silent.close()
        self.sockets.clear()


async def leave_early(case: Case, client: Client, closed_at: dict[str, float]) -> None:
    """Send one request, wait a moment, and close the connection with a reset."""
    name = "%016x" % client.random.getrandbits(64)
    await client.connect()
    sock = client.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    client.writer.write(client.command(name, "order", False, 3000))
    case.log("sent", name, "by a client that will leave")
    await asyncio.sleep(LEAVE_AFTER_S)
    client.writer.transport.abort()
    client.writer = None
    await asyncio.sleep(0)
    closed_at[name] = time.time()
    case.log("closed", name)


async def play(case: Case) -> str:
    """Play the case; returns how the rule was broken, or ""."""
    hosts = [Host(f"s-{number}", case.log, 0.01) for number in (1, 2, 3)]
    counter = Counter()
    case.servers += [*hosts, counter]
    listed = [entry(host.name, await host.start()) for host in hosts]
    discovery = Discovery(41, listed, case.log)
    case.servers.append(discovery)
    contents = platform_file(
        "n0",
        free_address(),
        await discovery.start(),
        await counter.start(),
        {"generation": 41, "reset": True, "instances": listed},
        settings(0, 1),
    )
    contents["limits"]["sockets"] = 256
    gateway = Gateway(case.folder, contents)
    case.gateways.append(gateway)
    gateway.start()
    await gateway.wait_until_ready()
    case.log("gateway ready")
    closed_at: dict[str, float] = {}
    crowd = Crowd(gateway.address)
    end = time.time() + ROUNDS * ROUND_S
    served = []

    async def ask_on(client: Client) -> None:
        while time.time() < end:
            served.append(await client.ask("lookup", 2500))
            await asyncio.sleep(0.05)

    usual = [asyncio.ensure_future(ask_on(Client(gateway.address, case.log, seed))) for seed in range(3)]
    for number in range(ROUNDS):
        await asyncio.sleep(1.0)
        if case.trouble:
            crowd.arrive(SILENT_CLIENTS)
            case.log("a crowd of silent clients:", SILENT_CLIENTS)
        leavers = [Client(gateway.address, case.log, 100 + 10 * number + seed) for seed in range(LEAVERS)]
        await asyncio.gather(*(leave_early(case, client, closed_at) for client in leavers))
        await asyncio.sleep(ROUND_S - 2.0)
        crowd.leave()
    await asyncio.gather(*usual)
    late = []
    for host in hosts:
        for begun_at, name, _ in host.begun:
            after = begun_at - closed_at.get(name, begun_at)
            if after > BEGIN_S + SLACK_S:
                late.append(after)
                case.log(f"attempt for {name} began {after:.3f} s after its client had closed")
    case.log("clients that left:", len(closed_at), "attempts for them after the limit:", len(late))
    if not served:
        raise RuntimeError("nothing was served")
    if late:
        return f"{len(late)} attempts began for clients that had gone, the latest {max(late):.2f} s after the close"
    return ""


main(__file__, play)
