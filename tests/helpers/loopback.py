"""A gateway on real loopback sockets whose event loop and clock advance only when the test says so.

The sockets, the kernel's closes and resets, and the gateway's connections and event loop are real. Hosts,
counter, discovery and clients are plain sockets that the test controls, so that the order of the test's steps
forces each race. Times are in milliseconds.
"""

import json
import os
import select
import socket
from collections import deque

from fake_gateway import BORN

from granitedock.gateway_process import build_gateway
from granitedock.service.clock import Clock
from granitedock.service.reactor import GatewayReactor
from granitedock.service.resp import encode_command
from granitedock.service.timer_queue import TimerQueue

# Unique to this process, so that no outgoing connection of another process on 127.0.0.1 takes the port.
OWN_ADDRESS = f"127.{100 + os.getpid() // 250 % 100}.{os.getpid() % 250}.1"
START_MS = 1_700_000_000_000.0
WATCHED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(text):
    return b"%x\r\n%b\r\n" % (len(text), text)


def answer(value=b"value"):
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


VALUE = answer()


class Peer:
    """The test's end of a connection, read without blocking."""

    def __init__(self, sock):
        self.sock, self.came, self.ended = sock, b"", ""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # no byte is delayed by Nagle's algorithm

    def read(self, most=1 << 20):
        """Return what arrived since the last call; `ended` becomes "closed" or "reset" when the peer ends."""
        while not self.ended and most > 0:
            try:
                data = self.sock.recv(min(most, 65536))
            except BlockingIOError:
                break
            except ConnectionResetError:
                self.ended = "reset"
                break
            if not data:
                self.ended = "closed"
                break
            self.came, most = self.came + data, most - len(data)
        came, self.came = self.came, b""
        return came

    def wait(self):
        """Wait until there is something to read, as timers of the kernel may have to expire first."""
        assert select.select([self.sock], [], [], 10)[0]

    def send(self, data):
        self.sock.sendall(data)

    def close(self):
        self.sock.close()


class Server:
    """A listening socket of the test, which accepts a connection when the test calls `take`."""

    def __init__(self, backlog=64):
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        self.sock.setblocking(False)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

    def take(self):
        try:
            return Peer(self.sock.accept()[0])
        except BlockingIOError:
            return None


class Live:
    """A gateway with `hosts` hosts. The counter answers at once unless `counts` is off.

    `configuration`: an operators' file of the configuration service.
    """

    def __init__(
        self,
        tmp_path,
        hosts=1,
        listed=True,
        sockets=64,
        lanes=None,
        known=True,
        configuration=None,
        **settings,
    ):
        self.t, self.next_id, self.version = START_MS, 1, 1
        clock = Clock(lambda: self.t / 1000.0, lambda: self.t / 1000.0)
        self.reactor = GatewayReactor(TimerQueue(clock), self.t)
        # The reactor's own timers, above all connect timeouts, use the test's clock as well. In real time a
        # timeout expired between two steps on a busy machine, and there is no reconnect while the test's
        # clock stands still.
        self.reactor.seconds = lambda: self.t / 1000.0
        self.hosts = [Server() for _ in range(hosts)]
        self.counter, self.discovery = Server(), Server()
        self.counter_peers, self.watches, self.counts, self.held = [], [], True, deque()
        self.host_peers = []  # referenced here, as a socket without a reference closes
        with socket.create_server((OWN_ADDRESS, 0)) as free:
            self.listen = free.getsockname()
        born = BORN | {"Lanes": lanes or BORN["Lanes"]} | settings
        told = {
            "name": "g0",
            "listen": f"{OWN_ADDRESS}:{self.listen[1]}",
            "discovery": self.discovery.address,
            "counter": self.counter.address,
            "seed": "07",
            "limits": {"sockets": sockets},
            "settings": born,
            "known": self.listing() if known else None,
        }
        path = tmp_path / "told.json"
        path.write_text(json.dumps(told))
        gateway = build_gateway(str(path), self.reactor, configuration_file=configuration)
        self.service, self.configuration = gateway.service, gateway.configuration
        self.state_machine, self.limits = self.service.state_machine, self.service.limits
        self.log = self.service.log
        self.log.event = lambda event, **figures: self.events.append((event, figures))
        self.events, self.left = [], []
        self.reactor.callLater = self.later
        self.service.start()
        self.turn()
        if listed:
            self.lists()

    def later(self, delay, act, *args, **named):
        """Record the exit of the process instead of scheduling it; all other calls go to Twisted."""
        if act == self.reactor.stop:
            self.left.append(self.t)
            return None
        return type(self.reactor).callLater(self.reactor, delay, act, *args, **named)

    def listing(self, lifecycle="in_service", **more):
        self.version += 1
        entries = [
            {"instanceId": f"h{n}", "hostPort": host.address, "lifecycle": lifecycle, **more}
            for n, host in enumerate(self.hosts)
        ]
        return {"generation": self.version, "reset": True, "instances": entries}

    def turn(self, turns=6):
        """Run iterations of the event loop, with the counter's answers between them."""
        for _ in range(turns):
            self.reactor.iterate(0)
            while peer := self.counter.take():
                self.counter_peers.append(peer)
            for peer in self.counter_peers if self.counts else ():
                calls = peer.read().count(b"TALLY")
                if calls:
                    peer.send(calls * b"$1\r\n1\r\n")

    def pass_ms(self, ms, step=20.0):
        end = self.t + ms
        while self.t < end:
            self.t = min(end, self.t + step)
            self.turn(2)
        self.turn()

    def watch(self):
        """Return the newest watch, with its request read."""
        while peer := self.discovery.take():
            self.watches.append(peer)
        self.watches[-1].read()
        return self.watches[-1]

    def next_watch(self, within_ms=6000.0):
        """Advance the clock until a new watch opens, and return it; earlier ones get no answer."""
        end, seen = self.t + within_ms, self.watch()
        while self.watch() is seen:
            assert self.t < end
            self.pass_ms(20)
        return self.watches[-1]

    def lists(self, **more):
        watch = self.watch()
        head = b"" if getattr(watch, "headed", False) else WATCHED
        watch.headed = True
        watch.send(head + chunk(json.dumps(self.listing(**more)).encode() + b"\n"))
        self.turn()

    def client(self, narrow=0):
        """Connect a client. `narrow`: the size of the socket buffers on each side, in bytes, unless 0."""
        sock = socket.socket()
        if narrow:
            self.service.effects.port.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, narrow)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, narrow)
        sock.connect(self.listen)
        self.turn()
        return Peer(sock)

    def request(self, name="read", d=3000, more=b"", body=()):
        text = b"c=%b,t=p,d=%d,units=1,spread=1,first=0%b" % (name.encode(), d, more)
        word = b"API.READ" if name == "read" else b"API.WRITE"
        self.next_id += 1
        return encode_command(word, b"00000000000000a1", b"%016x" % self.next_id, text, *body)

    def at_host(self, number=0):
        """Return the oldest connection to this host that is not accepted yet, or None."""
        for _ in range(3):
            self.turn()
            if (peer := self.hosts[number].take()) is not None:
                self.host_peers.append(peer)
                return peer
        return None

    def answered(self, host, client):
        """Answer a request from the host, and check that the client receives this answer and nothing else."""
        host.send(VALUE)
        self.turn()
        assert client.read() == VALUE

    def hold_dials(self):
        """Delay all further connections to hosts until `release` is called, as on a slow network."""
        hosts = self.service.effects.hosts
        dial = type(hosts).connect
        hosts.connect = lambda lane, address: self.held.append((lane, address))
        self.release = lambda: (
            [dial(hosts, *self.held.popleft()) for _ in range(len(self.held))] and self.turn()
        )

    def close(self):
        for link in [*self.reactor.getReaders(), *self.reactor.getWriters()]:
            self.reactor.removeReader(link)
            self.reactor.removeWriter(link)
            if hasattr(link, "socket"):
                link.socket.close()
        for server in [*self.hosts, self.counter, self.discovery]:
            server.sock.close()
        for peer in [*self.counter_peers, *self.watches, *self.host_peers]:
            peer.close()
        self.reactor._poller.close()
