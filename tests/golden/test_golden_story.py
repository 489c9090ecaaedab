"""A long scenario through a real gateway, compared byte for byte with its recording (tests/data/README.md).

Prevents a change of the code from altering the bytes that a peer of the gateway receives, their order or
their times. The gateway runs on the loopback harness (`loopback.py`): the test drives its event loop and its
clock, and owns all its peers. The transcript lists what each peer received, in order, with the time in ms
since the scenario's start. The choices of hosts follow from the seed in the platform file that the harness
writes.
"""

import json
import socket
from collections import Counter
from pathlib import Path

from fake_gateway import SETTINGS
from loopback import START_MS, VALUE, LoopbackGateway, Peer, answer, chunk

from granitedock.service.resp import encode_command
from granitedock.service.socket_queue import NO_LINGER

RECORDED = Path(__file__).parents[1] / "data" / "golden_story.json"
BUSY, FAILED = b"-BUSY\r\n", b"-ERR failed\r\n"
CUSTOMER = b"00000000000000a1"
OVER_QUOTA = b"00000000000000b2"
# The initial total of each name that is first counted while `over_quota` is not empty.
OTHER_GATEWAYS_UNITS = 1000.0


def begin_shutdown(harness):
    """Begin the graceful shutdown that SIGTERM requests."""
    harness.service.shut_down()


def final_counters(harness):
    """Return the counters of INFO, also after the gateway has closed its listening socket."""
    return {name.decode(): number for name, number in harness.state_machine.commands.counters()}


class RecordedScenario(LoopbackGateway):
    """The loopback harness with a transcript, hosts with scripted answers and a counter that keeps totals."""

    def __init__(self, tmp_path, hosts):
        self.transcript, self.clients = [], {}
        self.connection_counts = Counter()  # Connections by kind of server.
        self.connections = {}  # Peer: [name, whether its end is in the transcript].
        # Answers by host, in order. The last one repeats; for None the host sends no answer.
        self.host_answers = {number: [VALUE] for number in range(hosts)}
        self.pending_replies = {}  # Counter connection: replies that are not sent yet.
        self.totals, self.over_quota, self.counter_silent = {}, set(), False
        self.next_heartbeat_ms, self.discovery_silent = START_MS, False
        lanes = [lane | {"GiveUpMs": 3000} for lane in SETTINGS["Lanes"]]
        super().__init__(tmp_path, hosts=hosts, lanes=lanes)

    # Steps of the harness's event loop, with the transcript recorded between them.

    def run_loop(self, iterations=6):
        for _ in range(iterations):
            self.reactor.iterate(0)
            self.poll_peers()

    def send_list(self, **more):
        self.poll_peers()
        super().send_list(**more)

    def poll_peers(self):
        """Accept connections, record received bytes, and let hosts and the counter answer."""
        self.accept_connections()
        for peer, name_and_end in list(self.connections.items()):
            data = peer.read()
            if data:
                self.record(name_and_end[0], data)
                self.react(peer, name_and_end[0], data)
            if peer.ended and not name_and_end[1]:
                name_and_end[1] = True
                self.record(name_and_end[0], peer.ended)

    def accept_connections(self):
        for number, server in enumerate(self.hosts):
            while peer := server.accept():
                self.host_peers.append(peer)
                self.add_connection(peer, f"host {number}")
        while peer := self.counter.accept():
            self.counter_peers.append(peer)
            self.add_connection(peer, "counter")
        while peer := self.discovery.accept():
            self.watches.append(peer)
            self.add_connection(peer, "discovery")

    def add_connection(self, peer, kind):
        self.connection_counts[kind] += 1
        self.connections[peer] = [f"{kind} connection {self.connection_counts[kind]}", False]
        self.record(self.connections[peer][0], "opened")

    def record(self, name, received):
        if isinstance(received, bytes):
            received = received.decode("latin-1").replace(self.discovery.address, "DISCOVERY").split("\r\n")
        self.transcript.append([round(self.now_ms - START_MS), name, received])

    def react(self, peer, name, data):
        if name.startswith("host"):
            self.answer_as_host(peer, int(name.split()[1]))
        elif name.startswith("counter"):
            self.pending_replies.setdefault(peer, []).extend(self.replies_to_calls(data))
            self.send_counter_replies()

    # Hosts.

    def answer_as_host(self, peer, number):
        queue = self.host_answers[number]
        reply = queue.pop(0) if len(queue) > 1 else queue[0]
        if reply == "reset":
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            self.close_connection(peer)
        elif reply is None:
            self.unanswered_peer = peer
        else:
            peer.send(reply)

    def close_connection(self, peer):
        """Close this connection from the scenario's side."""
        self.record(self.connections.pop(peer)[0], "ended by the story")
        peer.close()

    # Counter.

    def replies_to_calls(self, data):
        """Return the counter's replies to the calls in these bytes."""
        words = [word for word in data.split(b"\r\n") if word and word[:1] not in (b"*", b"$")]
        replies = []
        while words:
            if words.pop(0) == b"PING":
                replies.append(b"+PONG\r\n")
                continue
            name, amount, _ = (words.pop(0) for _ in range(3))
            total = self.totals.setdefault(name, OTHER_GATEWAYS_UNITS if self.over_quota else 0.0) + float(
                amount
            )
            self.totals[name] = total
            text = b"%g" % total
            replies.append(b"$%d\r\n%b\r\n" % (len(text), text))
        return replies

    def send_counter_replies(self):
        for peer, replies in self.pending_replies.items():
            if replies and not self.counter_silent and peer in self.connections:
                peer.send(b"".join(replies))
                replies.clear()

    # Clients.

    def open_client(self, name):
        peer = self.client()
        self.clients[name] = peer
        self.connections[peer] = [f"client {name}", False]
        return peer

    def send_requests(self, name, *kinds, customer=CUSTOMER, d=3000):
        """Send requests of these kinds at once from a client, on a new connection if it has no open one."""
        if name not in self.clients or self.clients[name].ended:
            self.open_client(name)
        sent = b""
        for kind in kinds:
            fields = b",k=x" if kind == "mark" else b""
            body = (b"body",) if kind == "mark" else ()
            sent += self.request(kind, d=d, more=fields, body=body).replace(CUSTOMER, customer)
        self.clients[name].send(sent)
        self.run_loop()

    def request_counters(self, name):
        self.clients[name].send(encode_command(b"INFO"))
        self.run_loop()

    # Discovery.

    def change_list(self, **lifecycles):
        """Send a change of the endpoint list that names only these hosts."""
        self.version += 1
        entries = [
            {"instanceId": name, "hostPort": self.hosts[int(name[1:])].address, "lifecycle": lifecycle}
            for name, lifecycle in lifecycles.items()
        ]
        change = {"generation": self.version, "instances": entries}
        self.watches[-1].send(chunk(json.dumps(change).encode() + b"\n"))
        self.run_loop()

    def pass_ms(self, ms, step=20.0):
        """Advance the clock; discovery writes an empty line each second on a watch that it has answered."""
        end = self.now_ms + ms
        while self.now_ms < end:
            watch = self.watches[-1]
            if (
                not self.discovery_silent
                and self.now_ms >= self.next_heartbeat_ms
                and getattr(watch, "head_sent", False)
                and watch in self.connections
            ):
                self.next_heartbeat_ms = self.now_ms + 1000.0
                if not watch.ended:
                    watch.send(chunk(b"\n"))
            super().pass_ms(min(step, end - self.now_ms), step)


def everyday(scenario):
    """Requests of each kind, pipelined and cut in two, and malformed or unknown commands."""
    scenario.open_client("a")
    scenario.clients["a"].send(
        encode_command(b"PING") + encode_command(b"SELECT", b"0") + encode_command(b"WHAT")
    )
    scenario.run_loop()
    scenario.send_requests("a", "read")
    scenario.send_requests("a", "read", "mark", "once", "read")
    scenario.open_client("b")
    half = scenario.request("read")
    scenario.clients["b"].send(half[:40])
    scenario.pass_ms(300)
    scenario.clients["b"].send(half[40:])
    scenario.run_loop()
    scenario.open_client("malformed")
    scenario.clients["malformed"].send(scenario.request("read") + b"nonsense\r\n")
    scenario.run_loop()
    scenario.open_client("wrong fields")
    scenario.clients["wrong fields"].send(encode_command(b"API.READ", CUSTOMER, b"id", b"c=read"))
    scenario.run_loop()
    scenario.open_client("wrong class")
    scenario.send_requests("wrong class", "nothing of that name")
    scenario.pass_ms(500)


def hosts_that_fail(scenario):
    """Hosts that fail, reject, reset or do not answer, and a client that leaves with requests in flight."""
    for reply in (FAILED, BUSY, "reset", b"nonsense\r\n"):
        for kind in ("read", "mark", "once"):
            scenario.host_answers = {number: [reply, VALUE] for number in scenario.host_answers}
            scenario.send_requests("a", kind)
            scenario.pass_ms(700)
    scenario.pass_ms(1000)
    scenario.host_answers = {number: [BUSY] for number in scenario.host_answers}
    scenario.send_requests("a", "read", "once")
    scenario.pass_ms(1500)
    scenario.host_answers = {number: [None, VALUE] for number in scenario.host_answers}
    scenario.pass_ms(1000)
    for kind in ("read", "mark", "once"):
        scenario.send_requests("a", kind, d=1200)
        scenario.pass_ms(1400)
    scenario.pass_ms(1000)
    scenario.host_answers = {number: [None, VALUE] for number in scenario.host_answers}
    scenario.open_client("leaves")
    scenario.send_requests("leaves", "read", "once")
    scenario.close_connection(scenario.clients["leaves"])
    scenario.run_loop()
    scenario.pass_ms(2000)
    scenario.host_answers = {number: [answer(b"later")] for number in scenario.host_answers}
    scenario.send_requests("a", "read", "mark", "once")


def connections_that_come_late(scenario):
    """Connections to hosts are established late, after the idle ones were closed."""
    scenario.pass_ms(9000)
    scenario.delay_connects()
    scenario.send_requests("a", "read", "once")
    scenario.pass_ms(200)
    scenario.release_connects()
    scenario.run_loop()
    scenario.pass_ms(500)
    scenario.release_connects()
    scenario.send_requests("a", "mark")
    scenario.release_connects()
    scenario.pass_ms(300)


def lists_that_change(scenario):
    """Hosts drain and are removed, one returns to service, a watch ends, and a complete list is sent."""
    scenario.change_list(h0="terminating")
    for _ in range(4):
        scenario.send_requests("a", "read")
        scenario.release_connects()
    scenario.pass_ms(500)
    scenario.change_list(h0="terminated", h1="terminating")
    scenario.send_requests("a", "read", "read", "once")
    scenario.release_connects()
    scenario.pass_ms(1000)
    scenario.change_list(h2="terminating")
    scenario.send_requests("a", "read")
    scenario.pass_ms(200)
    scenario.change_list(h0="in_service")
    scenario.release_connects()
    scenario.run_loop()
    scenario.pass_ms(300)
    scenario.release_connects()
    scenario.pass_ms(1000)
    scenario.close_connection(scenario.watches[-1])
    scenario.pass_ms(2000)
    scenario.release_connects()
    scenario.send_list()
    scenario.send_requests("a", "read", "read")
    scenario.release_connects()
    scenario.pass_ms(1000)


def discovery_and_counter_that_fail(scenario):
    """An open watch goes silent and the next is answered; counter connections close with calls in flight."""
    scenario.discovery_silent = True
    scenario.pass_ms(4000)
    scenario.discovery_silent = False
    scenario.send_list()
    scenario.send_requests("a", "read")
    scenario.release_connects()
    scenario.counter_silent = True
    scenario.send_requests("a", "read", "mark", "once")
    for peer in [
        peer for peer, name_and_end in scenario.connections.items() if name_and_end[0].startswith("counter")
    ]:
        scenario.close_connection(peer)
    scenario.run_loop()
    scenario.counter_silent = False
    for _ in range(5):
        scenario.pass_ms(200)
        scenario.release_connects()


def quotas(scenario):
    """A customer over the quota, many requests at once, and a counter that stops answering."""
    scenario.open_client("c")
    scenario.over_quota = {OVER_QUOTA}
    scenario.send_requests("c", "read", "read", customer=OVER_QUOTA)
    scenario.pass_ms(100)
    scenario.send_requests("c", "read", customer=OVER_QUOTA)
    scenario.over_quota = set()
    scenario.release_connects()
    scenario.pass_ms(5000)
    scenario.send_requests("c", *["read"] * 30)
    scenario.release_connects()
    scenario.pass_ms(500)
    scenario.release_connects()
    scenario.counter_silent = True
    scenario.send_requests("c", "read", "mark", "once")
    for _ in range(10):
        scenario.pass_ms(200)
        scenario.release_connects()
    scenario.send_requests("c", "read", "read", customer=OVER_QUOTA)
    for _ in range(10):
        scenario.pass_ms(200)
        scenario.release_connects()
    scenario.counter_silent = False
    scenario.send_counter_replies()
    scenario.run_loop()
    scenario.pass_ms(1000)
    scenario.send_requests("c", "read", "once")
    scenario.release_connects()
    scenario.pass_ms(3000)


def the_end(scenario):
    """Shutdown with requests in flight, half a command received and an idle connection."""
    scenario.open_client("rests")
    scenario.open_client("last")
    scenario.open_client("half")
    scenario.request_counters("last")
    scenario.host_answers = {number: [None] for number in scenario.host_answers}
    scenario.send_requests("last", "read", "once", d=2500)
    scenario.release_connects()
    scenario.run_loop()
    scenario.clients["half"].send(scenario.request("read")[:30])
    scenario.run_loop()
    begin_shutdown(scenario)
    scenario.send_requests("rests", "read", d=900)
    scenario.release_connects()
    for _ in range(20):
        scenario.pass_ms(200)
        scenario.release_connects()
    late = Peer(socket.socket())
    refused = late.sock.connect_ex(scenario.listen) != 0
    late.close()
    scenario.record("a further client", "refused" if refused else "taken in")
    for name in sorted(scenario.clients):
        if scenario.clients[name] in scenario.connections:
            scenario.close_connection(scenario.clients[name])
    scenario.pass_ms(1000)


def run_scenario(tmp_path):
    """Run the scenario; return its transcript, when the process ended, and the final counters.

    The recording contains the name of each part's function, with spaces instead of underscores.
    """
    scenario = RecordedScenario(tmp_path, 3)
    try:
        for part in (
            everyday,
            hosts_that_fail,
            connections_that_come_late,
            lists_that_change,
            discovery_and_counter_that_fail,
            quotas,
            the_end,
        ):
            scenario.record("story", part.__name__.replace("_", " "))
            part(scenario)
        ended = [round(at - START_MS) for at in scenario.exit_times_ms]
        return {
            "transcript": scenario.transcript,
            "process_ended_ms": ended,
            "counters": final_counters(scenario),
        }
    finally:
        scenario.close()


def test_each_peer_receives_the_recorded_bytes_at_the_recorded_times(tmp_path):
    actual, recorded = run_scenario(tmp_path), json.loads(RECORDED.read_bytes())
    for row, (actual_row, recorded_row) in enumerate(zip(actual["transcript"], recorded["transcript"])):
        assert actual_row == recorded_row, f"row {row} of the transcript"
    assert actual == recorded


def test_the_recording_contains_every_kind_of_event_that_the_scenario_covers():
    recorded = json.loads(RECORDED.read_bytes())
    text = json.dumps(recorded["transcript"])
    for expected in (
        "value",
        "-ERR failed",
        "-BUSY",
        "TALLY",
        "API.WRITE",
        "reset",
        "closed",
        "+PONG",
        "refused",
    ):
        assert expected in text, expected
    assert len(recorded["process_ended_ms"]) == 1
    assert "faults" not in recorded["counters"]
