"""A gateway on real loopback sockets whose event loop and clock advance only in steps of the test.

The sockets, the kernel's closes and resets, and the gateway's connections and event loop are real. The hosts,
counter, discovery and clients are plain sockets that the test controls, so that the order of the test's steps
forces each race. Times are in milliseconds.
"""

import json
import os
import select
import socket
from collections import deque

from fake_gateway import SETTINGS

from granitedock.gateway_process import build_gateway
from granitedock.service.clock import Clock
from granitedock.service.reactor import GatewayReactor
from granitedock.service.resp import encode_command
from granitedock.service.socket_queue import has_unread_input, unsent_bytes
from granitedock.service.timer_queue import TimerQueue

# Unique to this process, so that no outgoing connection of another process on 127.0.0.1 takes the port.
GATEWAY_ADDRESS = f"127.{100 + os.getpid() // 250 % 100}.{os.getpid() % 250}.1"
START_MS = 1_700_000_000_000.0
ETHERNET_SEGMENT_BYTES = 1460
WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(text):
    return b"%x\r\n%b\r\n" % (len(text), text)


def answer(value=b"value"):
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


VALUE = answer()


class Peer:
    """The test's end of a connection, read without blocking."""

    def __init__(self, sock):
        self.sock, self.unread, self.ended = sock, b"", ""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # Prevents delays by Nagle's algorithm.

    def read(self, max_bytes=1 << 20):
        """Return the bytes received since the last call.

        `ended` becomes "closed" or "reset" when the other end closes or resets the connection.
        """
        while not self.ended and max_bytes > 0:
            try:
                data = self.sock.recv(min(max_bytes, 65536))
            except BlockingIOError:
                break
            except ConnectionResetError:
                self.ended = "reset"
                break
            if not data:
                self.ended = "closed"
                break
            self.unread, max_bytes = self.unread + data, max_bytes - len(data)
        data, self.unread = self.unread, b""
        return data

    def wait_until_readable(self):
        """Wait until the socket is readable: timers of the kernel may have to expire first."""
        assert select.select([self.sock], [], [], 10)[0]

    def send(self, data):
        self.sock.sendall(data)

    def close(self):
        self.sock.close()


class Server:
    """A listening socket whose connections the test accepts one by one.

    `buffer_bytes`, unless 0, bounds the receive buffers of its connections; they use the segments of an
    Ethernet then, since the loopback device's own are larger than the buffers.
    """

    def __init__(self, backlog=64, buffer_bytes=0):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if buffer_bytes:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT_BYTES)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(backlog)
        self.sock.setblocking(False)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

    def accept(self):
        """Return the oldest connection that is not accepted yet, or None."""
        try:
            return Peer(self.sock.accept()[0])
        except BlockingIOError:
            return None


class LoopbackGateway:
    """A gateway with `hosts` hosts; the counter answers at once unless `counter_answers` is False.

    `listed` is whether discovery sends its first list at the start, `known` whether the platform file
    contains an endpoint list, or a function from the gateway to that list, and `configuration` an operators'
    file of the configuration service.
    `host_buffer_bytes`, unless 0, bounds the receive buffers of the hosts. With `slices_in_real_time` the
    input scheduler's clock is real, so that long input is cut into slices.
    `exit_times_ms` lists the times at which the gateway ended the process.
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
        host_buffer_bytes=0,
        slices_in_real_time=False,
        memory_mb=192,
        **settings,
    ):
        self.now_ms, self.next_id, self.version = START_MS, 1, 1
        clock = Clock(lambda: self.now_ms / 1000.0, lambda: self.now_ms / 1000.0)
        self.reactor = GatewayReactor(TimerQueue(clock), self.now_ms)
        # The reactor's own timers, above all connect timeouts, use the test's clock as well. In real time a
        # timeout expired between two steps on a busy machine, and no connection was retried because the
        # test's clock had not advanced.
        self.reactor.seconds = lambda: self.now_ms / 1000.0
        if not slices_in_real_time:
            # Input is parsed as though parsing took no time.
            self.reactor.input_scheduler.clock = lambda: self.now_ms / 1000.0
        self.reactor.ms_since_last_data = lambda _transport: 0.0  # The kernel's clock is real.
        self.hosts = [Server(buffer_bytes=host_buffer_bytes) for _ in range(hosts)]
        self.counter, self.discovery = Server(), Server()
        self.counter_peers, self.watches, self.counter_answers, self.delayed_connects = [], [], True, deque()
        self.host_peers = []  # Keeps a reference to each peer: a socket without one is closed.
        with socket.create_server((GATEWAY_ADDRESS, 0)) as unused:
            self.listen = unused.getsockname()
        platform_settings = SETTINGS | {"Lanes": lanes or SETTINGS["Lanes"]} | settings
        platform_file = {
            "name": "g0",
            "listen": f"{GATEWAY_ADDRESS}:{self.listen[1]}",
            "discovery": self.discovery.address,
            "counter": self.counter.address,
            "seed": "07",
            "limits": {"sockets": sockets, "memory_mb": memory_mb},
            "settings": platform_settings,
            "known": known(self) if callable(known) else self.endpoint_list() if known else None,
        }
        path = tmp_path / "told.json"
        path.write_text(json.dumps(platform_file))
        gateway = build_gateway(str(path), self.reactor, configuration_file=configuration)
        self.service, self.configuration = gateway.service, gateway.configuration
        self.state_machine, self.limits = self.service.state_machine, self.service.limits
        self.log = self.service.log
        self.log.event = lambda event, **figures: self.log_events.append((event, figures))
        self.log_events, self.exit_times_ms = [], []
        self.reactor.callLater = self.call_later
        self.service.start()
        self.run_loop()
        if listed:
            self.send_list()

    def call_later(self, delay, act, *args, **named):
        """Record the exit of the process instead of scheduling it; all other calls go to Twisted."""
        if act == self.reactor.stop:
            self.exit_times_ms.append(self.now_ms)
            return None
        return type(self.reactor).callLater(self.reactor, delay, act, *args, **named)

    def endpoint_list(self, lifecycle="in_service", **more):
        self.version += 1
        entries = [
            {"instanceId": f"h{n}", "hostPort": host.address, "lifecycle": lifecycle, **more}
            for n, host in enumerate(self.hosts)
        ]
        return {"generation": self.version, "reset": True, "instances": entries}

    def run_loop(self, iterations=6):
        """Run iterations of the event loop; the counter answers after each of them."""
        for _ in range(iterations):
            self.reactor.iterate(0)
            while peer := self.counter.accept():
                self.counter_peers.append(peer)
            for peer in self.counter_peers if self.counter_answers else ():
                calls = peer.read().count(b"TALLY")
                if calls:
                    peer.send(calls * b"$1\r\n1\r\n")

    def pass_ms(self, ms, step=20.0):
        """Advance the clock by `ms` in steps of `step` ms, with iterations of the event loop after each."""
        end = self.now_ms + ms
        while self.now_ms < end:
            self.now_ms = min(end, self.now_ms + step)
            self.run_loop(2)
        self.run_loop()

    def newest_watch(self):
        """Return the newest watch connection, after reading its request."""
        while peer := self.discovery.accept():
            self.watches.append(peer)
        self.watches[-1].read()
        return self.watches[-1]

    def next_watch(self, within_ms=6000.0):
        """Advance the clock until a new watch opens, and return it; no watch is answered meanwhile."""
        end, seen = self.now_ms + within_ms, self.newest_watch()
        while self.newest_watch() is seen:
            assert self.now_ms < end
            self.pass_ms(20)
        return self.watches[-1]

    def send_list(self, **more):
        """Send a full endpoint list on the newest watch."""
        watch = self.newest_watch()
        head = b"" if getattr(watch, "head_sent", False) else WATCH_RESPONSE_HEAD
        watch.head_sent = True
        watch.send(head + chunk(json.dumps(self.endpoint_list(**more)).encode() + b"\n"))
        self.run_loop()

    def client(self, buffer_bytes=0):
        """Connect a client; `buffer_bytes`, unless 0, sets the size of the socket buffers on both sides."""
        sock = socket.socket()
        if buffer_bytes:
            self.service.effects.port.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        sock.connect(self.listen)
        self.run_loop()
        return Peer(sock)

    def request(self, name="read", d=3000, more=b"", body=()):
        """Return the encoded command of a request of the class `name`, with `d` ms left and a new id."""
        text = b"c=%b,t=p,d=%d,units=1,spread=1,first=0%b" % (name.encode(), d, more)
        command = b"API.READ" if name == "read" else b"API.WRITE"
        self.next_id += 1
        return encode_command(command, b"00000000000000a1", b"%016x" % self.next_id, text, *body)

    def accept_at_host(self, number=0):
        """Accept the oldest pending connection to this host, and return it, or None if there is none."""
        for _ in range(3):
            self.run_loop()
            if (peer := self.hosts[number].accept()) is not None:
                self.host_peers.append(peer)
                return peer
        return None

    def answer_from_host(self, host, client):
        """Answer a request from the host, and check that the client receives this answer and nothing else."""
        host.send(VALUE)
        self.run_loop()
        assert client.read() == VALUE

    def delay_connects(self):
        """Delay all further connections to hosts until `release_connects` is called, as on a slow network."""
        hosts = self.service.effects.hosts
        connect = type(hosts).connect
        hosts.connect = lambda connection, address: self.delayed_connects.append((connection, address))
        self.release_connects = lambda: (
            [connect(hosts, *self.delayed_connects.popleft()) for _ in range(len(self.delayed_connects))]
            and self.run_loop()
        )

    def client_links(self):
        """Return the protocols of the open client connections."""
        return [client.link for client in self.state_machine.clients.connections]

    @staticmethod
    def partial_bytes(link):
        """Return the bytes that the gateway holds of a connection's incomplete command."""
        return len(link._buffer) + len(link.text) + sum(map(len, link.parts))

    def has_unread_input_of(self, client):
        """Return whether the gateway has yet to read input of this client."""
        port = client.sock.getsockname()[1]
        return any(
            has_unread_input(link.transport)
            for link in self.client_links()
            if link.transport.getPeer().port == port
        )

    def has_waiting_input(self):
        """Return whether received input waits for the input scheduler."""
        return self.reactor.input_scheduler.seconds_until_turn() is not None

    def unsent_bytes_to_clients(self):
        """Return how many bytes of replies wait in the gateway's process for clients to read."""
        return sum(unsent_bytes(client.link.transport) for client in self.state_machine.clients.connections)

    def close(self):
        for reader_or_writer in [*self.reactor.getReaders(), *self.reactor.getWriters()]:
            self.reactor.removeReader(reader_or_writer)
            self.reactor.removeWriter(reader_or_writer)
            if hasattr(reader_or_writer, "socket"):
                reader_or_writer.socket.close()
        for server in [*self.hosts, self.counter, self.discovery]:
            server.sock.close()
        for peer in [*self.counter_peers, *self.watches, *self.host_peers]:
            peer.close()
        self.reactor._poller.close()
