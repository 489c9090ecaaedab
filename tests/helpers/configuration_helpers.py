"""Control nodes and followers without sockets, for tests. Times are in ms."""

from random import Random

from granitedock.configuration.change_codec import change_from_record
from granitedock.configuration.control_node import ControlNode
from granitedock.configuration.document_store import DocumentStore
from granitedock.configuration.follower import Follower, FollowerSettings
from granitedock.configuration.messages import Resend
from granitedock.configuration.replicated_document import ReplicatedDocument
from granitedock.lab.scale.platform import platform_settings

PLAN = {"Name": "gold", "Refill": 50, "MostAtOnce": 100}
CLASS = {"Name": "read", "Repeat": "safe", "TargetMs": 1000, "GiveUpMs": 4000}


def change(base, put=(), remove=()):
    return change_from_record({"base": base, "plans": {"upsert": list(put), "remove": list(remove)}}, "test")


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def control_node(path, plans=3, writes=True, cluster="lab"):
    """Return a control node over its store; a writer imports the platform settings into an empty store."""
    node = ControlNode(DocumentStore(path, cluster), writes, Clock(), lambda followers: None)
    if writes and not node.contents.version:
        node.import_settings(platform_settings(plans), "platform.json")
    return node


class RecordKeeper:
    """A document consumer that keeps records unchanged."""

    def make_value(self, section, record):
        return record

    def snapshot_started(self):
        pass

    def apply_change(self, change, prepared):
        pass

    def apply_snapshot(self, before, after):
        pass


class LoopbackTransport:
    """A follower's transport to control nodes in this process; the test delivers each line."""

    def __init__(self, controls):
        self.controls = controls
        self.connecting, self.sent, self.timers, self.aborted = [], [], [], []
        self.events = []
        self.document = ReplicatedDocument(RecordKeeper())
        self.follower = Follower(
            FollowerSettings("g1", "lab", list(controls)), self.document, self, Random(1), self.log
        )
        self.now = 0.0
        self.session = None

    def log(self, event, **figures):
        self.events.append(event)

    def connect(self, connection, address):
        self.connecting.append((connection, address))

    def send(self, connection, message):
        self.sent.append(message)

    def abort(self, connection):
        self.aborted.append(connection)
        self.follower.disconnected(connection, self.now)

    def call_later(self, after_ms, act):
        self.timers.append(act)

    def start(self):
        self.follower.start(self.now)
        return self.establish_connection()

    def establish_connection(self):
        """Establish the pending connection and open a session on the control node's publisher.

        Timers fire first until the follower connects.
        """
        while not self.connecting:
            self.timers.pop(0)()
        connection, address = self.connecting.pop()
        node = self.controls[address]
        self.control_node = node
        self.session = node.publisher.open_session(
            "g1", "gateway", self, self.document.version, self.document.digest, self.now
        )
        self.follower.connected(connection, self, self.now)
        self.connection = connection
        return connection

    def next_line(self):
        """Return the publisher's next line for this follower, or None."""
        return self.control_node.publisher.next_line(self.session, self.now)

    def pending_lines(self):
        while (line := self.next_line()) is not None:
            yield line

    def deliver(self, line):
        """Deliver one line of the control node to the follower."""
        self.follower.line_received(self.connection, line.rstrip(b"\n"), self.now)

    def deliver_all(self):
        """Deliver all pending lines, including those that the follower requests meanwhile."""
        while True:
            for line in self.pending_lines():
                self.deliver(line)
            sent, self.sent = self.sent, []
            for message in sent:
                self.control_node.publisher.message_received(self.session, message)
            if not any(isinstance(message, Resend) for message in sent):
                return

    def cut_connection(self):
        """End the connection on both sides."""
        self.control_node.publisher.close_session(self.session)
        self.follower.disconnected(self.connection, self.now)

    def is_in_sync_with(self, node):
        return (self.document.version, self.document.digest) == (node.contents.version, node.contents.digest)
