"""One long story through a real gateway, compared byte for byte with its recording (tests/data/README.md).

The gateway runs on the loopback harness (`loopback.py`): the test turns its loop and its clock, and holds all
its peers. The transcript says what each peer got, in order, with the story's time in ms; the choices of hosts
follow from the seed in the file that the harness hands the gateway.
"""

import json
import socket
from collections import Counter
from pathlib import Path

from fake_gateway import BORN
from loopback import START_MS, VALUE, Live, Peer, answer, chunk

from granitedock.service.resp import encode_command

RECORDED = Path(__file__).parents[1] / "data" / "golden_story.json"
BUSY, FAILED = b"-BUSY\r\n", b"-ERR failed\r\n"
CUSTOMER = b"00000000000000a1"
OVER_QUOTA = b"00000000000000b2"
OTHERS_UNITS = 1000.0  # what the counter adds to the total of the customer who is over the quota


def stop(gate):
    """What SIGTERM asks for."""
    gate.service.shut_down()


def final_counters(gate):
    """The counters that INFO shows, also once nobody can ask for them."""
    return {name.decode(): number for name, number in gate.state_machine.commands.counters()}


class Story(Live):
    """The harness with a transcript, hosts that answer as told and a counter that keeps totals."""

    def __init__(self, tmp_path, hosts):
        self.transcript, self.clients = [], {}
        self.opened_count = Counter()  # connections to each kind of server
        self.connections = {}  # peer: [name, whether its end was told]
        self.answers = {number: [VALUE] for number in range(hosts)}  # the last one stands; None: none comes
        self.pending = {}  # host connections whose answer is still to come
        self.totals, self.over, self.silent = {}, set(), False
        self.beat_at, self.discovery_silent = START_MS, False
        lanes = [lane | {"GiveUpMs": 3000} for lane in BORN["Lanes"]]
        super().__init__(tmp_path, hosts=hosts, lanes=lanes)

    # The harness's turns, with the transcript between them.

    def turn(self, turns=6):
        for _ in range(turns):
            self.reactor.iterate(0)
            self.look()

    def lists(self, **more):
        self.look()
        super().lists(**more)

    def look(self):
        """Take connections in, note what came, and have hosts and counter answer."""
        self.take_connections()
        for peer, known in list(self.connections.items()):
            data = peer.read()
            if data:
                self.note(known[0], data)
                self.react(peer, known[0], data)
            if peer.ended and not known[1]:
                known[1] = True
                self.note(known[0], peer.ended)

    def take_connections(self):
        for number, server in enumerate(self.hosts):
            while peer := server.take():
                self.host_peers.append(peer)
                self.named(peer, f"host {number}")
        while peer := self.counter.take():
            self.counter_peers.append(peer)
            self.named(peer, "counter")
        while peer := self.discovery.take():
            self.watches.append(peer)
            self.named(peer, "discovery")

    def named(self, peer, kind):
        self.opened_count[kind] += 1
        self.connections[peer] = [f"{kind} connection {self.opened_count[kind]}", False]
        self.note(self.connections[peer][0], "opened")

    def note(self, peer, what):
        if isinstance(what, bytes):
            what = what.decode("latin-1").replace(self.discovery.address, "DISCOVERY").split("\r\n")
        self.transcript.append([round(self.t - START_MS), peer, what])

    def react(self, peer, name, data):
        if name.startswith("host"):
            self.host_got(peer, int(name.split()[1]))
        elif name.startswith("counter"):
            self.pending.setdefault(peer, []).extend(self.counted(data))
            self.counter_answers()

    # Hosts.

    def host_got(self, peer, number):
        queue = self.answers[number]
        reply = queue.pop(0) if len(queue) > 1 else queue[0]
        if reply == "reset":
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self.drop(peer)
        elif reply is None:
            self.hanging = peer
        else:
            peer.send(reply)

    def drop(self, peer):
        """The story's own side ends this connection."""
        self.note(self.connections.pop(peer)[0], "ended by the story")
        peer.close()

    # Counter.

    def counted(self, data):
        """The answers to the calls in these bytes."""
        words = [word for word in data.split(b"\r\n") if word and word[:1] not in (b"*", b"$")]
        found = []
        while words:
            if words.pop(0) == b"PING":
                found.append(b"+PONG\r\n")
                continue
            name, amount, _ = (words.pop(0) for _ in range(3))
            total = self.totals.setdefault(name, OTHERS_UNITS if self.over else 0.0) + float(amount)
            self.totals[name] = total
            text = b"%g" % total
            found.append(b"$%d\r\n%b\r\n" % (len(text), text))
        return found

    def counter_answers(self):
        for peer, answers in self.pending.items():
            if answers and not self.silent and peer in self.connections:
                peer.send(b"".join(answers))
                answers.clear()

    # Clients.

    def opened(self, name):
        peer = self.client()
        self.clients[name] = peer
        self.connections[peer] = [f"client {name}", False]
        return peer

    def ask(self, name, *kinds, customer=CUSTOMER, d=3000):
        """A client sends requests of these kinds at once, on a new connection if it has none that is open."""
        if name not in self.clients or self.clients[name].ended:
            self.opened(name)
        sent = b""
        for kind in kinds:
            more = b",k=x" if kind == "mark" else b""
            body = (b"body",) if kind == "mark" else ()
            sent += self.request(kind, d=d, more=more, body=body).replace(CUSTOMER, customer)
        self.clients[name].send(sent)
        self.turn()

    def info(self, name):
        self.clients[name].send(encode_command(b"INFO"))
        self.turn()

    # Discovery.

    def changed(self, **lifecycles):
        """A change of the list that names only these hosts."""
        self.version += 1
        entries = [
            {"instanceId": name, "hostPort": self.hosts[int(name[1:])].address, "lifecycle": lifecycle}
            for name, lifecycle in lifecycles.items()
        ]
        told = {"generation": self.version, "instances": entries}
        self.watches[-1].send(chunk(json.dumps(told).encode() + b"\n"))
        self.turn()

    def pass_ms(self, ms, step=20.0):
        """Time passes while discovery writes an empty line a second on a watch that it has answered."""
        end = self.t + ms
        while self.t < end:
            watch = self.watches[-1]
            if (
                not self.discovery_silent
                and self.t >= self.beat_at
                and getattr(watch, "headed", False)
                and watch in self.connections
            ):
                self.beat_at = self.t + 1000.0
                if not watch.ended:
                    watch.send(chunk(b"\n"))
            super().pass_ms(min(step, end - self.t), step)


def everyday(story):
    """Requests of each kind, pipelined, in two halves, and commands that are none."""
    story.opened("a")
    story.clients["a"].send(
        encode_command(b"PING") + encode_command(b"SELECT", b"0") + encode_command(b"WHAT")
    )
    story.turn()
    story.ask("a", "read")
    story.ask("a", "read", "mark", "once", "read")
    story.opened("b")
    half = story.request("read")
    story.clients["b"].send(half[:40])
    story.pass_ms(300)
    story.clients["b"].send(half[40:])
    story.turn()
    story.opened("malformed")
    story.clients["malformed"].send(story.request("read") + b"nonsense\r\n")
    story.turn()
    story.opened("wrong fields")
    story.clients["wrong fields"].send(encode_command(b"API.READ", CUSTOMER, b"id", b"c=read"))
    story.turn()
    story.opened("wrong class")
    story.ask("wrong class", "nothing of that name")
    story.pass_ms(500)


def hosts_that_fail(story):
    """Errors, refusals, resets, silence, and a client that leaves while its request is out."""
    for reply in (FAILED, BUSY, "reset", b"nonsense\r\n"):
        for kind in ("read", "mark", "once"):
            story.answers = {number: [reply, VALUE] for number in story.answers}
            story.ask("a", kind)
            story.pass_ms(700)
    story.pass_ms(1000)
    story.answers = {number: [BUSY] for number in story.answers}
    story.ask("a", "read", "once")
    story.pass_ms(1500)
    story.answers = {number: [None, VALUE] for number in story.answers}
    story.pass_ms(1000)
    for kind in ("read", "mark", "once"):
        story.ask("a", kind, d=1200)
        story.pass_ms(1400)
    story.pass_ms(1000)
    story.answers = {number: [None, VALUE] for number in story.answers}
    story.opened("leaves")
    story.ask("leaves", "read", "once")
    story.drop(story.clients["leaves"])
    story.turn()
    story.pass_ms(2000)
    story.answers = {number: [answer(b"later")] for number in story.answers}
    story.ask("a", "read", "mark", "once")


def connections_that_come_late(story):
    """Connections to hosts come up only after a while; idle ones were closed before."""
    story.pass_ms(9000)
    story.hold_dials()
    story.ask("a", "read", "once")
    story.pass_ms(200)
    story.release()
    story.turn()
    story.pass_ms(500)
    story.release()
    story.ask("a", "mark")
    story.release()
    story.pass_ms(300)


def lists_that_change(story):
    """Hosts drain and go; one comes back; a whole list; a watch that ends."""
    story.changed(h0="terminating")
    for _ in range(4):
        story.ask("a", "read")
        story.release()
    story.pass_ms(500)
    story.changed(h0="terminated", h1="terminating")
    story.ask("a", "read", "read", "once")
    story.release()
    story.pass_ms(1000)
    story.changed(h2="terminating")
    story.ask("a", "read")
    story.pass_ms(200)
    story.changed(h0="in_service")
    story.release()
    story.turn()
    story.pass_ms(300)
    story.release()
    story.pass_ms(1000)
    story.drop(story.watches[-1])
    story.pass_ms(2000)
    story.release()
    story.lists()
    story.ask("a", "read", "read")
    story.release()
    story.pass_ms(1000)


def discovery_and_counter_that_fail(story):
    """An open watch falls silent and is answered anew; the counter's connections are reset with calls out."""
    story.discovery_silent = True
    story.pass_ms(4000)
    story.discovery_silent = False
    story.lists()
    story.ask("a", "read")
    story.release()
    story.silent = True
    story.ask("a", "read", "mark", "once")
    for peer in [peer for peer, known in story.connections.items() if known[0].startswith("counter")]:
        story.drop(peer)
    story.turn()
    story.silent = False
    for _ in range(5):
        story.pass_ms(200)
        story.release()


def quotas(story):
    """A customer who is over the quota, many requests at once, and a counter that falls silent."""
    story.opened("c")
    story.over = {OVER_QUOTA}
    story.ask("c", "read", "read", customer=OVER_QUOTA)
    story.pass_ms(100)
    story.ask("c", "read", customer=OVER_QUOTA)
    story.over = set()
    story.release()
    story.pass_ms(5000)
    story.ask("c", *["read"] * 30)
    story.release()
    story.pass_ms(500)
    story.release()
    story.silent = True
    story.ask("c", "read", "mark", "once")
    for _ in range(10):
        story.pass_ms(200)
        story.release()
    story.ask("c", "read", "read", customer=OVER_QUOTA)
    for _ in range(10):
        story.pass_ms(200)
        story.release()
    story.silent = False
    story.counter_answers()
    story.turn()
    story.pass_ms(1000)
    story.ask("c", "read", "once")
    story.release()
    story.pass_ms(3000)


def the_end(story):
    """Shutdown with requests out, half a command and a connection at rest."""
    story.opened("rests")
    story.opened("last")
    story.opened("half")
    story.info("last")
    story.answers = {number: [None] for number in story.answers}
    story.ask("last", "read", "once", d=2500)
    story.release()
    story.turn()
    story.clients["half"].send(story.request("read")[:30])
    story.turn()
    stop(story)
    story.ask("rests", "read", d=900)
    story.release()
    for _ in range(20):
        story.pass_ms(200)
        story.release()
    late = Peer(socket.socket())
    refused = late.sock.connect_ex(story.listen) != 0
    late.close()
    story.note("a further client", "refused" if refused else "taken in")
    for name in sorted(story.clients):
        if story.clients[name] in story.connections:
            story.drop(story.clients[name])
    story.pass_ms(1000)


def played(tmp_path):
    """The transcript of the story and the counters at its end."""
    story = Story(tmp_path, 3)
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
            story.note("story", part.__name__.replace("_", " "))
            part(story)
        ended = [round(at - START_MS) for at in story.left]
        return {"transcript": story.transcript, "process_ended_ms": ended, "counters": final_counters(story)}
    finally:
        story.close()


def test_the_story_gives_each_peer_the_recorded_bytes_at_the_recorded_times(tmp_path):
    found, recorded = played(tmp_path), json.loads(RECORDED.read_bytes())
    for row, (had, wanted) in enumerate(zip(found["transcript"], recorded["transcript"])):
        assert had == wanted, f"row {row} of the transcript"
    assert found == recorded


def test_the_recording_tells_of_all_that_the_story_is_meant_to_hold():
    recorded = json.loads(RECORDED.read_bytes())
    text = json.dumps(recorded["transcript"])
    for said in (
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
        assert said in text, said
    assert len(recorded["process_ended_ms"]) == 1
    assert "faults" not in recorded["counters"]
