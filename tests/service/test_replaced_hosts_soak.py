"""A seeded soak: hosts crash, processes of another cell start at their addresses, and discovery is late.

Guards against a keyed request that runs in two cells, and against a living host that gets no work, whatever
discovery still names (docs/incidents/2026-12-06-an-ended-host-that-is-new-again.md). Sockets and kernel are
real; the clock advances in steps of the test. A long run by hand:
`REPLACED_HOST_SEEDS=500 python -m pytest tests/service/test_replaced_hosts_soak.py`.
"""

import os
import socket
from collections import Counter
from dataclasses import dataclass
from random import Random

import pytest
from command_reader import CommandReader
from endpoint_lists import Entry, ready_hosts, send_entries
from fake_gateway import SETTINGS
from loopback import VALUE

from granitedock.service.socket_queue import NO_LINGER

SEEDS = int(os.environ.get("REPLACED_HOST_SEEDS", "12"))
STEP_MS = 20.0
STORY_MS = 12000.0
DEADLINE_MS = 2500.0
SLACK_MS = 200.0
HOSTS = 6
LANES = [
    lane | {"TargetMs": DEADLINE_MS, "GiveUpMs": DEADLINE_MS, "WindowMs": 1000, "DedupScope": "cell"}
    for lane in SETTINGS["Lanes"]
]
# When discovery tells a start and an end, in ms after it (the site's file, [discovery]).
START_TOLD_MS = (640.0, 1900.0)
END_TOLD_MS = (840.0, 4700.0)
NOISE = b"+noise\r\n"
# Shares of the steps: in which a client sends a request, a host crashes, and discovery sends a whole list.
REQUEST_SHARE, CRASH_SHARE, LIST_SHARE = 0.6, 0.03, 0.05
RESTART_SHARE = 0.3  # Of the processes after a crash, those of the same host; the others are new hosts.
ANSWER_SHARE, NOISE_SHARE, RESET_SHARE = 0.75, 0.1, 0.1  # Of the requests; to the rest there is no answer.


@dataclass(eq=False)
class Process:
    """One process of a host; `told` is whether the gateway has been told of it."""

    entry: Entry
    told: bool = False


class HostConnection:
    """A host's end of a connection."""

    def __init__(self, process, peer):
        self.process, self.peer, self.reader = process, peer, CommandReader()

    def requests(self):
        """Return the ids of the requests that have arrived since the last call."""
        self.reader.dataReceived(self.peer.read())
        ids = [words[2] for words in self.reader.commands]
        self.reader.commands.clear()
        return ids


class Story:
    """One seeded run; `violations` says what went wrong, and `events` counts what happened."""

    def __init__(self, make_gateway, seed):
        self.random = Random(f"replaced hosts {seed}")
        self.gateway = make_gateway(
            hosts=HOSTS,
            listed=False,
            lanes=LANES,
            sockets=512,
            Safety=SETTINGS["Safety"] | {"ColdMs": 0},
            Tariffs=[{"Name": "p", "Refill": 1000, "MostAtOnce": 1000}],
        )
        self.began_ms = self.gateway.now_ms
        self.alive = [
            Process(Entry(f"h{number}", cell=number % 2, host=number), told=True) for number in range(HOSTS)
        ]
        self.listed = {process.entry.name: process.entry for process in self.alive}  # By discovery.
        self.latest_starts = {}  # By name, as told.
        self.due = []  # What discovery will tell: (time, process, whether it is the end).
        self.processes = list(self.alive)
        self.connections, self.clients = [], {}
        self.runs = {}  # By request id, the processes that have received it.
        self.violations, self.events = [], Counter()
        send_entries(self.gateway, *self.listed.values(), reset=True)

    @property
    def now(self):
        return self.gateway.now_ms - self.began_ms

    def play(self):
        while self.now < STORY_MS + DEADLINE_MS + SLACK_MS:
            if self.now < STORY_MS:
                self.begin_events()
            self.tell_due()
            self.gateway.pass_ms(STEP_MS)
            self.play_hosts()
            self.play_clients()
            self.check_ready()
        self.violations += [f"{request_id} was never answered" for request_id in self.clients]

    def begin_events(self):
        if self.random.random() < REQUEST_SHARE:
            self.send_request()
        if self.random.random() < CRASH_SHARE:
            self.replace(self.random.randrange(HOSTS))
        if self.random.random() < LIST_SHARE:
            self.tell(list(self.listed.values()), reset=True)
        elif self.now % 1000.0 < STEP_MS:
            self.gateway.newest_watch().send(b"1\r\n\n\r\n")  # The heartbeat of discovery.

    # Hosts and discovery.

    def replace(self, number):
        """Crash a process, and start one of the other cell at its address."""
        before = self.alive[number]
        for connection in self.connections:
            if connection.process is before and not connection.peer.ended:
                connection.peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                connection.peer.close()
                connection.peer.ended = "crashed"
        restarts = self.random.random() < RESTART_SHARE
        name = before.entry.name if restarts else f"p{len(self.processes)}"
        entry = Entry(name, self.gateway.now_ms, cell=1 - before.entry.cell, host=number)
        process = self.alive[number] = Process(entry)
        self.processes.append(process)
        self.due.append((self.now + self.random.uniform(*START_TOLD_MS), process, False))
        self.due.append((self.now + self.random.uniform(*END_TOLD_MS), before, True))
        self.events["restarts" if restarts else "replacements"] += 1

    def tell_due(self):
        for news in sorted((news for news in self.due if news[0] <= self.now), key=lambda news: news[0]):
            self.due.remove(news)
            _, process, is_end = news
            entry = process.entry
            if entry.started_at_ms < self.latest_starts.get(entry.name, 0.0):
                continue  # Discovery knows that the host has restarted since.
            if not is_end:
                self.listed[entry.name] = entry
                self.latest_starts[entry.name] = entry.started_at_ms
                self.tell([entry], reset=False)
            elif entry.name in self.listed:
                del self.listed[entry.name]
                self.tell([entry._replace(lifecycle="terminated")], reset=False)

    def tell(self, entries, reset):
        """Send a list; what the gateway writes before it has read the list counts as before the news."""
        self.random.shuffle(entries)
        self.play_hosts()
        send_entries(self.gateway, *entries, reset=reset)
        self.play_hosts()
        named = {(entry.name, entry.started_at_ms) for entry in entries}
        for process in self.processes:
            process.told = process.told or (process.entry.name, process.entry.started_at_ms) in named
        addresses = Counter(entry.host for entry in entries)
        self.events["lists with two processes at an address"] += any(
            count > 1 for count in addresses.values()
        )

    def check_ready(self):
        """Check that of the processes at an address the one that was told last is used, and no other."""
        last_told = {process.entry.host: process for process in self.processes if process.told}
        expected = {
            process.entry.name
            for process in last_told.values()
            if self.listed.get(process.entry.name) == process.entry
        }
        if ready_hosts(self.gateway) != expected:
            self.violations.append(f"at {self.now}: {ready_hosts(self.gateway)} ready, not {expected}")

    # Requests.

    def send_request(self):
        key = b",k=%016x" % self.gateway.next_id
        data = self.gateway.request("mark", d=DEADLINE_MS, more=key, body=(b"short",))
        client = self.gateway.client()
        client.send(data)
        self.clients[b"%016x" % self.gateway.next_id] = client

    def play_clients(self):
        for request_id, client in list(self.clients.items()):
            if data := client.read():
                self.events["served" if data == VALUE else "not served"] += 1
                client.close()
                del self.clients[request_id]

    def play_hosts(self):
        for number, host in enumerate(self.gateway.hosts):
            while (peer := host.accept()) is not None:
                self.gateway.host_peers.append(peer)
                self.connections.append(HostConnection(self.alive[number], peer))
        for connection in self.connections:
            if not connection.peer.ended:
                for request_id in connection.requests():
                    self.arrived(connection, request_id)
        self.connections = [connection for connection in self.connections if not connection.peer.ended]

    def arrived(self, connection, request_id):
        """Check a request that a process has received, and answer it."""
        process, earlier = connection.process, self.runs.setdefault(request_id, [])
        for other in earlier:
            # A process of which the gateway has not been told receives attempts at the one before it.
            if other.told and process.told and other.entry.cell != process.entry.cell:
                self.violations.append(f"at {self.now}: {request_id} ran at {other} and {process}")
        self.events["repeats"] += bool(earlier)
        earlier.append(process)
        draw = self.random.random()
        if draw < ANSWER_SHARE:
            connection.peer.send(VALUE)
        elif draw < ANSWER_SHARE + NOISE_SHARE:
            connection.peer.send(NOISE)
        elif draw < ANSWER_SHARE + NOISE_SHARE + RESET_SHARE:
            connection.peer.close()
            connection.peer.ended = "closed by the host"


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_keyed_request_runs_in_two_cells_and_each_living_host_is_used(make_gateway, seed):
    story = Story(make_gateway, seed)
    story.play()
    assert not story.violations, (story.violations[:5], story.events)
    for event in ("replacements", "lists with two processes at an address", "served", "repeats"):
        assert story.events[event], story.events
