"""Wires between processes that fail: relays on loopback for datagrams and for TCP.

Every gateway has one address that stands for it towards the others. What the others send there reaches the
gateway from *their* standing addresses, so each directed pair (from, to) can be given a fate of its own:
lost, late, out of order, twice, cut short, or cut off in one direction only. TCP wires lead from one gateway
to one party (the counter, discovery, a host) in the same way. Chance is seeded; nothing here needs a
privilege. No decision about a task is made here. Source: docs/lab-design.md ("Wires that fail").
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory, Protocol


@dataclass(frozen=True, slots=True)
class Fate:
    """What befalls data in one direction. `cut` loses all datagrams, and holds a TCP stream until it heals,
    as retransmission would; the shares are of datagrams, the times in ms."""

    cut: bool = False
    lost: float = 0.0
    late_ms: float = 0.0
    jitter_ms: float = 0.0  # added at random up to this, so that datagrams overtake each other
    twice: float = 0.0
    short: float = 0.0


FINE = Fate()


def arrivals(fate: Fate, data: bytes, chance: Random) -> list[tuple[float, bytes]]:
    """When (ms from now) and as what a datagram arrives: not at all, once, or twice."""
    if fate.cut or chance.random() < fate.lost:
        return []
    if chance.random() < fate.short:
        data = data[: len(data) // 2]
    copies = 2 if chance.random() < fate.twice else 1
    return [(fate.late_ms + fate.jitter_ms * chance.random(), data) for _ in range(copies)]


class Weather:
    """The fate of each directed pair of names; what is not named is fine."""

    def __init__(self, seed: int) -> None:
        self.chance = Random(seed)
        self.fates: dict[tuple[str, str], Fate] = {}
        self.changed: list[Callable[[], None]] = []  # told after each change

    def of(self, source: str, target: str) -> Fate:
        return self.fates.get((source, target), FINE)

    def set(self, fate: Fate, pairs: list[tuple[str, str]]) -> None:
        """The fate of these directed pairs from now on; FINE heals them."""
        for pair in pairs:
            if fate == FINE:
                self.fates.pop(pair, None)
            else:
                self.fates[pair] = fate
        for told in self.changed:
            told()


class Stand(DatagramProtocol):
    """The datagram socket that stands for one gateway towards the others."""

    def __init__(self, wires: DatagramWires, name: str, own: tuple[str, int]) -> None:
        self.wires, self.name, self.own = wires, name, own

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        source = self.wires.names.get(addr[0])
        if source is None:  # a stranger's (a test that sends garbage): it goes through as it came
            self.transport.write(data, self.own)
            return
        self.wires.counts[(source, self.name)] = self.wires.counts.get((source, self.name), 0) + 1
        fate = self.wires.weather.of(source, self.name)
        for after_ms, what in arrivals(fate, data, self.wires.weather.chance):
            if after_ms:
                self.wires.reactor.callLater(after_ms / 1000.0, self.wires.carry, source, self.own, what)
            else:
                self.wires.carry(source, self.own, what)


class DatagramWires:
    """The datagrams between gateways, each through the socket that stands for its receiver."""

    def __init__(self, reactor: Any, weather: Weather) -> None:
        self.reactor, self.weather = reactor, weather
        self.names: dict[str, str] = {}  # by the addresses the gateways send from
        self.stands: dict[str, Stand] = {}
        self.ports: dict[str, Any] = {}
        self.counts: dict[tuple[str, str], int] = {}  # datagrams sent, by directed pair

    def add(self, name: str, own: tuple[str, int], stand: tuple[str, int]) -> None:
        """Gateway `name` listens at `own`; the others know it by `stand`."""
        self.names[own[0]] = name
        self.stands[name] = Stand(self, name, own)
        self.ports[name] = (stand, None)
        self.open(name)

    def carry(self, source: str, own: tuple[str, int], data: bytes) -> None:
        port = self.ports[source][1]
        if port is not None:
            port.write(data, own)

    def open(self, name: str) -> None:
        stand, port = self.ports[name]
        if port is None:
            opened = self.reactor.listenUDP(stand[1], self.stands[name], interface=stand[0])
            self.ports[name] = (stand, opened)

    def close(self, name: str) -> Any:
        """The process behind it is gone: the kernel now refuses what is sent here, as it does for a port that
        nobody listens at. While a cut holds towards it, it stays open and silent instead."""
        stand, port = self.ports[name]
        cut = any(self.weather.of(other, name).cut for other in self.ports)
        if port is None or cut:
            return None
        self.ports[name] = (stand, None)
        return port.stopListening()

    def end(self) -> list[Any]:
        ports = [port for _, port in self.ports.values() if port is not None]
        self.ports = {name: (stand, None) for name, (stand, _) in self.ports.items()}
        return [port.stopListening() for port in ports]


class Half(Protocol):
    """One side of a relayed TCP connection."""

    def __init__(self, wire: TcpWire, source: str, target: str) -> None:
        self.wire, self.source, self.target = wire, source, target
        self.other: Half | None = None
        self.held: list[bytes] = []
        self.due = 0.0
        self.ended = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.wire.halves.add(self)

    def dataReceived(self, data: bytes) -> None:
        fate = self.wire.weather.of(self.source, self.target)
        if fate.cut or self.held or self.other is None or self.other.transport is None:
            self.held.append(data)
        elif fate.late_ms:
            now = self.wire.reactor.seconds()
            self.due = max(
                self.due, now + (fate.late_ms + fate.jitter_ms * self.wire.weather.chance.random()) / 1000
            )
            self.wire.reactor.callLater(self.due - now, self.other.write, data)
        else:
            self.other.write(data)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.ended:
            self.transport.write(data)

    def release(self) -> None:
        if (
            self.ended
            and self.other is not None
            and not self.other.ended
            and self.other.transport is not None
        ):
            if not self.wire.weather.of(self.source, self.target).cut:
                self.other.transport.abortConnection()
            return
        if self.held and self.other is not None and self.other.transport is not None:
            if not self.wire.weather.of(self.source, self.target).cut:
                held, self.held = b"".join(self.held), []
                self.dataReceived(held)

    def connectionLost(self, reason: Any = None) -> None:
        self.ended = True
        self.wire.halves.discard(self)
        self.held.clear()  # nobody is left to send it again
        if self.other is not None and self.other.transport is not None and not self.other.ended:
            if self.wire.weather.of(self.source, self.target).cut:
                # The end does not get through either: the other side stays open and silent until the cut is
                # over. Who asks what was out meanwhile has to know when this side ended.
                self.wire.ends[self.other.transport.getHost().port] = time.monotonic()
                return
            self.other.transport.abortConnection()


class Onward(ClientFactory):
    noisy = False

    def __init__(self, half: Half) -> None:
        self.half = half

    def buildProtocol(self, addr: Any) -> Half:
        wire = self.half.wire
        other = Half(wire, self.half.target, self.half.source)
        other.other, self.half.other = self.half, other
        wire.reactor.callLater(0, self.half.release)
        return other

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        if self.half.transport is not None:
            self.half.transport.abortConnection()


class TcpWire:
    """The way from one gateway to one party: a listener of the gateway's own, led on to the party."""

    def __init__(self, reactor: Any, weather: Weather, gateway: str, party: str, at: str, to: str) -> None:
        """Listens at address `at` (port 0: any free one) and leads to address `to`."""
        self.reactor, self.weather, self.gateway, self.party, self.to = reactor, weather, gateway, party, to
        self.halves: set[Half] = set()
        self.ends: dict[int, float] = {}  # when a side ended unheard, by the port of its other side
        self.fillers: list[socket.socket] = []
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = self.taken
        host, _, port = at.rpartition(":")
        self.port = reactor.listenTCP(int(port), factory, interface=host)
        self.address = f"{host}:{self.port.getHost().port}"
        weather.changed.append(self.turned)

    def taken(self, addr: Any) -> Half:
        half = Half(self, self.gateway, self.party)
        host, _, port = self.to.rpartition(":")
        self.reactor.connectTCP(host, int(port), Onward(half), timeout=2)
        return half

    def cut(self) -> bool:
        pairs = (self.gateway, self.party), (self.party, self.gateway)
        return any(self.weather.of(*pair).cut for pair in pairs)

    def turned(self) -> None:
        """The weather changed. While the wire is cut, new connections never come up: the listener's queue is
        made as short as it goes and filled, so that the kernel drops what else would connect."""
        if self.cut() and not self.fillers:
            self.port.stopReading()
            self.port.socket.listen(0)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.port.socket.getsockname())
                self.fillers.append(filler)
        elif not self.cut() and self.fillers:
            for filler in self.fillers:
                filler.close()
            self.fillers = []
            self.port.socket.listen(50)
            self.port.startReading()
        for half in [half for one in self.halves for half in (one, one.other) if half is not None]:
            half.release()

    def end(self) -> Any:
        self.weather.changed.remove(self.turned)
        for filler in self.fillers:
            filler.close()
        for half in list(self.halves):
            half.transport.abortConnection()
        return self.port.stopListening()
