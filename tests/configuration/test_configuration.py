"""Documents, changes, stores, publishers and followers, by themselves: no sockets. Times in ms."""

import signal
import sqlite3
import subprocess
import sys
from collections import Counter
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitedock.configuration import publisher as publishing
from granitedock.configuration.attach import ConfigurationLink
from granitedock.configuration.change_form import ChangeRefused, WrongBase, change_of, parsed
from granitedock.configuration.control import Control, NotWriter
from granitedock.configuration.copy_file import CopyFile
from granitedock.configuration.document import Change, Section, canonical
from granitedock.configuration.followed import FollowedDocument
from granitedock.configuration.follower import Follower, own_order
from granitedock.configuration.messages import (
    Current,
    InForce,
    Malformed,
    Page,
    Resend,
    SnapshotBegins,
    decoded,
    encoded,
)
from granitedock.configuration.settings import GatewayFile
from granitedock.configuration.store import Store, StoreError
from granitedock.lab.scale.hosts import reducer
from granitedock.lab.scale.platform import platform_file
from granitedock.lab.scale.platform import settings as platform_settings

PLAN = {"Name": "gold", "Refill": 50, "MostAtOnce": 100}
CLASS = {"Name": "read", "Repeat": "safe", "TargetMs": 1000, "GiveUpMs": 4000}


def change(base, put=(), remove=()):
    return change_of({"base": base, "plans": {"upsert": list(put), "remove": list(remove)}}, "test")


@pytest.mark.parametrize(
    ("told", "fault"),
    [
        ([], "(whole change): an object is wanted"),
        ({"plans": {"upsert": [PLAN]}}, "base: a whole number from 0 is wanted"),
        ({"base": True, "plans": {"upsert": [PLAN]}}, "base: a whole number from 0 is wanted"),
        ({"base": 1}, "(whole change): nothing is put or removed"),
        ({"base": 1, "plan": {}}, "plan: no such field"),
        ({"base": 1, "plans": []}, "plans: an object is wanted"),
        ({"base": 1, "plans": {"put": [PLAN]}}, "plans.put: no such field"),
        ({"base": 1, "plans": {"upsert": PLAN}}, "plans.upsert: a list of objects is wanted"),
        ({"base": 1, "plans": {"upsert": [PLAN | {"Refil": 1}]}}, "plans.upsert[0].Refil: no such field"),
        (
            {"base": 1, "plans": {"upsert": [PLAN | {"WindowMs": 1}]}},
            "plans.upsert[0].WindowMs: no such field",
        ),
        ({"base": 1, "plans": {"upsert": [{"Refill": 1}]}}, "plans.upsert[0].Name: missing"),
        (
            {"base": 1, "plans": {"upsert": [PLAN | {"Refill": -1}]}},
            "plans.upsert[0].Refill: a number from 0",
        ),
        (
            {"base": 1, "plans": {"upsert": [PLAN | {"Refill": "9"}]}},
            "plans.upsert[0].Refill: a number from 0",
        ),
        ({"base": 1, "plans": {"upsert": [PLAN, PLAN]}}, "plans: 'gold' stands twice"),
        ({"base": 1, "plans": {"upsert": [PLAN], "remove": ["gold"]}}, "plans: 'gold' stands twice"),
        ({"base": 1, "plans": {"remove": "gold"}}, "plans.remove: a list of names is wanted"),
        (
            {"base": 1, "classes": {"upsert": [CLASS | {"Repeat": "twice"}]}},
            "classes.upsert[0].Repeat: one of",
        ),
    ],
)
def test_a_change_that_is_not_right_is_refused_whole_with_its_source_and_field(told, fault):
    with pytest.raises(ChangeRefused) as refused:
        change_of(told, "new.json")
    assert any(line.startswith(f"new.json: {fault}") for line in refused.value.faults), refused.value.faults


def test_a_change_that_is_no_json_or_has_no_end_is_refused(monkeypatch):
    with pytest.raises(ChangeRefused, match="new.json: .*not JSON"):
        parsed(b"{", "new.json")
    monkeypatch.setattr("granitedock.configuration.change_form.MOST_CHANGE_BYTES", 10)
    with pytest.raises(ChangeRefused, match="more than 10 bytes"):
        parsed(b" " * 11, "new.json")


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def control(path, plans=3, writes=True, cluster="lab"):
    """A control process's core over its store; the writer's is filled where it is empty."""
    made = Control(Store(path, cluster), writes, Clock(), lambda followers: None)
    if writes and not made.contents.version:
        made.import_settings(platform_settings(plans), "platform.json")
    return made


def test_a_change_makes_exactly_one_version_and_a_refused_one_none(tmp_path):
    writer = control(tmp_path / "w.db")
    made = writer.apply(change(1, [PLAN], ["tenant-00001"]), "test")
    assert (made.version, writer.contents.version) == (2, 2)
    before = writer.shown()
    for wrong, fault in (
        (change(1, [PLAN]), WrongBase),
        (change(3, [PLAN]), WrongBase),
        (change(2, [PLAN], ["tenant-00001"]), ChangeRefused),
        (change_of({"base": 2, "classes": {"remove": ["read", "mark", "once"]}}, "test"), ChangeRefused),
    ):
        with pytest.raises(fault):
            writer.apply(wrong, "test")
        assert writer.shown() == before == control(tmp_path / "w.db").shown()
    with pytest.raises(NotWriter):
        control(tmp_path / "r.db", writes=False).apply(change(0, [PLAN]), "test")


def test_the_digest_is_the_same_whatever_the_order_and_the_way(tmp_path):
    one, other = control(tmp_path / "a.db"), control(tmp_path / "b.db")
    one.apply(change(1, [PLAN | {"Name": "a"}, PLAN | {"Name": "b"}]), "test")
    other.apply(change(1, [PLAN | {"Name": "b"}]), "test")
    other.apply(change(2, [PLAN | {"Name": "c"}, PLAN | {"Name": "a"}]), "test")
    assert one.contents.digest != other.contents.digest
    other.apply(change(3, (), ["c"]), "test")
    assert one.contents.digest == other.contents.digest


# Stores.


def test_a_store_that_is_torn_is_not_served(tmp_path):
    path = tmp_path / "w.db"
    control(path).store.close()
    with sqlite3.connect(path) as link:
        link.execute("UPDATE entries SET record = replace(record, '\"Refill\":11', '\"Refill\":12')")
    with pytest.raises(StoreError, match="w.db: torn: its entries make digest"):
        control(path)
    path.write_bytes(path.read_bytes()[:8192] + b"\0" * 4096)
    with pytest.raises(StoreError, match="w.db: "):
        control(path)


def test_a_store_of_another_cluster_or_that_cannot_be_written_is_named(tmp_path):
    path = tmp_path / "w.db"
    writer = control(path)
    with pytest.raises(StoreError, match="w.db: the store of cluster 'lab', not 'other'"):
        Store(path, "other")
    with pytest.raises(StoreError, match="cannot be used as a store"):
        Store(tmp_path / "none" / "w.db", "lab")
    before = writer.shown()
    writer.store.link.execute("PRAGMA query_only = ON")
    with pytest.raises(StoreError, match="w.db: cannot be written"):
        writer.apply(change(1, [PLAN]), "test")
    assert writer.shown() == before


KILLED = """
import os, signal, sys
sys.path[:0] = [{root!r}, {tests!r}]
from pathlib import Path
from granitedock.configuration.store import Store
from test_configuration import PLAN, change, control
writer = control(Path({path!r}))
writer.apply(change(1, [PLAN]), "test")
Store.{step} = lambda *_: os.kill(os.getpid(), signal.SIGKILL)
writer.apply(change(2, [PLAN | {{"Name": "silver"}}], ["tenant-00001"]), "test")
"""


@pytest.mark.parametrize("step", ["put", "logged", "stated"])
def test_control_killed_in_the_middle_of_an_apply_has_the_version_before_whole(tmp_path, step):
    path, here = tmp_path / "w.db", Path(__file__).parent
    code = KILLED.format(root=str(here.parents[1]), tests=str(here), path=str(path), step=step)
    ended = subprocess.run([sys.executable, "-c", code], capture_output=True)
    assert ended.returncode == -signal.SIGKILL, ended.stderr.decode()
    again = control(path)
    assert again.contents.version == 2
    assert "tenant-00001" in again.contents.values[Section.PLANS]
    assert [one.version for one in again.store.changes()] == [1, 2]
    assert again.apply(change(2, [PLAN | {"Name": "silver"}], ["tenant-00001"]), "test").version == 3


# Followers.


class Keeper:
    """Keeps records as they are."""

    def keep(self, section, record):
        return record

    def begin(self):
        pass

    def change(self, change, prepared):
        pass

    def replace(self, before, fresh):
        pass


class Wire:
    """A follower's carrier that connects it to control cores in this process, line by line, as told."""

    def __init__(self, controls):
        self.controls, self.dials, self.sent, self.timers, self.aborted = controls, [], [], [], []
        self.events = []
        self.document = FollowedDocument(Keeper())
        self.follower = Follower("g1", "lab", list(controls), self.document, self, Random(1), self.log)
        self.now = 0.0
        self.record = None

    def log(self, event, **figures):
        self.events.append(event)

    def dial(self, connection, address):
        self.dials.append((connection, address))

    def send(self, connection, message):
        self.sent.append(message)

    def abort(self, connection):
        self.aborted.append(connection)
        self.follower.down(connection, self.now)

    def later(self, after_ms, act):
        self.timers.append(act)

    def start(self):
        self.follower.start(self.now)
        return self.up()

    def up(self):
        """The dial under way succeeds: the control core's publisher has a new follower."""
        while not self.dials:
            self.timers.pop(0)()
        connection, address = self.dials.pop()
        core = self.controls[address]
        self.core = core
        self.record = core.publisher.opened(
            "g1", "gateway", self, self.document.version, self.document.digest, self.now
        )
        self.follower.up(connection, self, self.now)
        self.connection = connection
        return connection

    def line(self):
        return self.core.publisher.next_line(self.record, self.now)

    def lines(self):
        while (line := self.line()) is not None:
            yield line

    def hears(self, line):
        self.follower.line(self.connection, line.rstrip(b"\n"), self.now)

    def hears_all(self):
        """Everything that is due, also what the follower asks for meanwhile."""
        while True:
            for line in self.lines():
                self.hears(line)
            asked, self.sent = self.sent, []
            for message in asked:
                self.core.publisher.heard(self.record, message)
            if not any(isinstance(message, Resend) for message in asked):
                return

    def cut(self):
        self.core.publisher.closed(self.record)
        self.follower.down(self.connection, self.now)

    def same(self, core):
        return (self.document.version, self.document.digest) == (core.contents.version, core.contents.digest)


@pytest.fixture
def writer(tmp_path):
    return control(tmp_path / "w.db", plans=5)


def test_a_follower_takes_the_whole_document_and_then_each_change(writer):
    wire = Wire({"a": writer})
    wire.start()
    wire.hears_all()
    assert wire.same(writer) and wire.follower.counts["in_force"] == 1
    for n in range(3):
        writer.apply(change(1 + n, [PLAN | {"Refill": 10 + n}]), "test")
        wire.hears_all()
        assert wire.same(writer)
    assert writer.publisher.status(0.0)[0].version == 4
    assert writer.publisher.status(0.0)[0].lag_ms == 0.0


def test_a_follower_without_a_version_gets_the_whole_document_also_where_a_first_change_comes(tmp_path):
    """It may have plans of the platform's file, which a change would leave in force."""
    empty = Control(Store(tmp_path / "w.db", "lab"), True, Clock(), lambda followers: None)
    wire = Wire({"a": empty})
    wire.start()
    wire.hears_all()
    assert wire.document.version == 0
    first = empty.import_settings(platform_settings(2), "platform.json")
    wire.hears(encoded(first))
    assert wire.document.version == 0 and wire.sent == [Resend()]
    wire.hears_all()
    assert wire.same(empty) and wire.follower.counts["gaps"] == 1


def test_a_doubled_change_is_left_alone_and_a_gap_asks_for_a_whole_snapshot_once(writer):
    wire = Wire({"a": writer})
    wire.start()
    wire.hears_all()
    lines = []
    for n in range(4):
        writer.apply(change(1 + n, [PLAN | {"Refill": 10 + n}]), "test")
        lines += wire.lines()
    wire.hears(lines[0])
    wire.hears(lines[0])
    assert wire.document.version == 2 and wire.follower.counts["doubled"] == 1
    wire.hears(lines[2])
    wire.hears(lines[3])
    assert wire.document.version == 2
    assert [message for message in wire.sent if isinstance(message, Resend)] == [Resend()]
    wire.hears_all()
    assert wire.same(writer) and writer.publisher.counts["resends"] == 1


def test_a_snapshot_cut_short_changes_nothing(writer):
    wire = Wire({"a": writer})
    wire.start()
    *most, _ = wire.lines()
    for line in most:
        wire.hears(line)
    assert wire.document.version == 0 and wire.document.contents.count() == 0
    wire.cut()
    wire.up()
    wire.hears_all()
    assert wire.same(writer)


def test_a_digest_that_differs_asks_for_a_whole_snapshot_once_and_then_gives_the_address_up(writer):
    wire = Wire({"a": writer})
    wire.start()
    wire.hears_all()
    writer.apply(change(1, [PLAN]), "test")
    (line,) = wire.lines()
    wire.hears(line.replace(b'"Refill":50', b'"Refill":51'))
    assert wire.document.version == 1 and wire.follower.counts["differing"] == 1
    wire.hears_all()
    assert wire.same(writer) and wire.follower.counts["resends"] == 1
    writer.apply(change(2, [PLAN | {"Refill": 60}]), "test")
    (line,) = wire.lines()
    wire.hears(line.replace(b'"Refill":60', b'"Refill":61'))
    assert wire.aborted == [wire.connection] and wire.document.version == 2
    wire.up()
    wire.hears_all()
    assert wire.same(writer)


def test_a_follower_never_goes_back_to_an_older_version_and_leaves_control_that_stays_behind(
    writer, tmp_path
):
    old = control(tmp_path / "old.db", plans=5)
    writer.apply(change(1, [PLAN]), "test")
    first, second = own_order("g1", ["a", "b"])
    wire = Wire({first: writer, second: old})
    wire.start()
    wire.hears_all()
    assert wire.document.version == 2
    wire.cut()
    wire.up()
    assert wire.core is old
    wire.hears_all()
    assert wire.document.version == 2
    wire.now += 3001.0
    wire.follower.line(wire.connection, b"", wire.now)
    wire.follower.sweep(wire.now)
    assert wire.follower.counts["behind"] == 1
    wire.up()
    assert wire.core is writer and wire.document.version == 2


def test_an_older_snapshot_is_read_past(writer, tmp_path):
    """As control sends it that has lost its log and does not know that the follower is ahead."""
    wire = Wire({"a": writer})
    wire.start()
    older = list(wire.lines())
    for line in older:
        wire.hears(line)
    writer.apply(change(1, [PLAN]), "test")
    wire.hears_all()
    for line in older:
        wire.hears(line)
    assert wire.same(writer) and wire.follower.counts["snapshots"] == 1


@pytest.mark.parametrize(
    "line",
    [
        b"<html><body>login</body></html>",
        b'{"type":"current","cluster":"other","version":1,"digest":"%032x"}' % 0,
        b'{"type":"change","version":-1,"digest":"00"}',
        b'{"type":"page","number":0}',
        b'{"type":"page","number":0,"plans":{"upsert":[{"Refill":1}]}}',
        b'{"type":"resend"}',
        b"[]",
        b'{"type":[]}',
        b'{"type":"page","number":0,"plans":{"upsert":7}}',
    ],
)
def test_what_is_no_watch_on_this_clusters_configuration_ends_its_connection_only(writer, line):
    wire = Wire({"a": writer, "b": writer})
    first = wire.start()
    wire.hears(line)
    assert wire.aborted == [first] and wire.document.version == 0
    wire.up()
    assert wire.connection.address != first.address
    wire.hears_all()
    assert wire.same(writer)


def test_silence_ends_a_connection_and_heartbeats_keep_it(writer):
    wire = Wire({"a": writer, "b": writer})
    wire.start()
    wire.hears_all()
    for _ in range(10):
        wire.now += 1000.0
        wire.hears(b"\n")
        wire.follower.sweep(wire.now)
    assert not wire.aborted
    wire.now += 3001.0
    wire.follower.sweep(wire.now)
    assert wire.aborted == [wire.connection] and wire.follower.counts["silences"] == 1


def test_the_first_address_is_tried_again_after_a_while(writer):
    first, second = own_order("g1", ["a", "b"])
    wire = Wire({"a": writer, "b": writer})
    wire.start()
    wire.cut()
    wire.up()
    assert wire.connection.address == second
    for _ in range(121):
        wire.now += 1000.0
        wire.hears(b"\n")
        wire.follower.sweep(wire.now)
    wire.up()
    assert wire.connection.address == first


def test_followers_of_a_lost_address_spread_over_the_rest():
    addresses = [f"10.0.0.{n}:7700" for n in range(4)]
    orders = [own_order(f"gateway-{n:04d}", addresses) for n in range(500)]
    lost = addresses[0]
    firsts = [order[0] for order in orders]
    seconds = [order[1] for order in orders if order[0] == lost]
    assert all(90 < firsts.count(address) < 160 for address in addresses)
    assert all(seconds.count(address) > 20 for address in addresses[1:])


def test_snapshots_are_on_their_way_to_only_so_many_at_once(writer, monkeypatch):
    """A rack of 25 gateways starts in one moment."""
    monkeypatch.setattr(publishing, "MOST_SNAPSHOTS", 4)
    publisher, most = writer.publisher, 0
    rack = [publisher.opened(f"g{n}", "gateway", None, 0, 0, 0.0) for n in range(25)]
    done = set()
    while len(done) < len(rack):
        most = max(most, len(publisher.active))
        for follower in rack:
            publisher.next_line(follower, 0.0)
            if follower.cursor == 1:
                done.add(follower)
        publisher.next_snapshots()
    assert most == 4 and not publisher.active and not publisher.waiting
    assert publisher.counts["snapshots"] == 25


def test_a_snapshot_that_does_not_move_gives_up_its_place(writer, monkeypatch):
    monkeypatch.setattr(publishing, "MOST_SNAPSHOTS", 1)
    publisher = writer.publisher
    stuck = publisher.opened("stuck", "gateway", None, 0, 0, 0.0)
    waiting = publisher.opened("waiting", "gateway", None, 0, 0, 0.0)
    assert publisher.next_line(stuck, 0.0) and publisher.next_line(waiting, 0.0) is None
    assert publisher.stalled(5001.0) == [stuck]
    publisher.closed(stuck)
    assert publisher.next_snapshots() == [waiting]
    assert publisher.next_line(waiting, 5002.0)


def test_a_change_of_many_entries_goes_out_in_pages(writer):
    wire = Wire({"a": writer})
    wire.start()
    wire.hears_all()
    writer.apply(change(1, [PLAN | {"Name": f"p{n}"} for n in range(600)]), "test")
    lines = list(wire.lines())
    assert len(lines) == 5 and max(map(len, lines)) < 64 * 1024
    for line in lines:
        wire.hears(line)
    assert wire.same(writer)


def test_lag_counts_from_when_the_first_version_that_is_lacking_was_known(writer):
    wire = Wire({"a": writer})
    wire.start()
    wire.hears_all()
    writer.clock.now = 1000.0
    writer.apply(change(1, [PLAN]), "test")
    writer.clock.now = 2500.0
    writer.apply(change(2, [PLAN | {"Refill": 1}]), "test")
    (status,) = writer.publisher.status(3000.0)
    assert (status.version, status.lag_ms) == (1, 2000.0)


def test_messages_come_back_as_they_were():
    edit = change(0, [PLAN], ["old"]).edit
    for message in (
        Current("lab", 3, 2**127),
        publishing.VersionedChange(4, 17, 1.5, edit),
        InForce(4, 17),
        Resend(),
    ):
        assert decoded(encoded(message)) == message
    for line in (b"", b"1", b'{"type":"none"}', b'{"type":"in_force","version":1,"digest":"zz"}'):
        with pytest.raises(Malformed):
            decoded(line)


STEPS = st.lists(
    st.sampled_from(["change", "line", "line", "line", "lose", "double", "cut", "swap"]), max_size=60
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(STEPS, st.integers(0, 2**32))
def test_whatever_is_lost_doubled_or_cut_all_end_at_the_same_version_and_digest(
    tmp_path_factory, steps, seed
):
    """Lines are lost and doubled, connections cut, and the follower changes between two control processes,
    one of which lags; it never goes back, and once all is quiet it has what the writer has."""
    folder = tmp_path_factory.mktemp("any")
    chance = Random(seed)
    writer, replica = control(folder / "w.db", plans=3), control(folder / "r.db", plans=3)
    wire = Wire({"a": writer, "b": replica})
    wire.start()
    had = 0
    for step in steps:
        if step == "change":
            names = [f"n{chance.randrange(4)}" for _ in range(2)]
            put = {name: PLAN | {"Name": name, "Refill": chance.randrange(1, 90)} for name in names}
            made = writer.apply(change(writer.contents.version, put.values()), "test")
            if chance.random() < 0.5:
                for late in writer.store.changes()[replica.contents.version : made.version]:
                    replica.document.change(late)
        elif step == "cut":
            wire.cut()
            wire.up()
        elif step == "swap":
            wire.now += 5000.0
            wire.follower.sweep(wire.now)
            if wire.dials or wire.timers:
                wire.up()
        elif (line := wire.line()) is not None:
            for _ in range({"line": 1, "lose": 0, "double": 2}[step]):
                if wire.connection is wire.follower.connection:
                    wire.hears(line)
            for message in wire.sent:
                wire.core.publisher.heard(wire.record, message)
            wire.sent.clear()
        if wire.connection is not wire.follower.connection:
            wire.up()
        assert wire.document.version >= had
        had = wire.document.version
    for late in writer.store.changes()[replica.contents.version :]:
        replica.document.change(late)
    for _ in range(2):
        wire.cut()
        wire.up()
        wire.hears_all()
    assert wire.same(writer)
    held = wire.document.contents.values[Section.PLANS].values()
    assert sorted(map(canonical, held)) == sorted(map(canonical, writer.shown()["plans"]))
    for core in (writer, replica):
        core.store.close()


def test_nothing_of_it_is_imported_where_it_is_off():
    code = "import sys, granitedock.gateway_process\nprint([m for m in sys.modules if 'configuration' in m])"
    said = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert said.strip() == "[]"


def test_a_change_is_typed():
    made = change(7, [PLAN], ["old"])
    assert isinstance(made, Change) and (made.base, len(made.edit)) == (7, 2)


def test_a_start_by_the_same_command_leaves_the_import_alone_where_there_is_a_version(tmp_path):
    from granitedock.configuration.process import ControlProcess
    from granitedock.configuration.settings import ControlFile

    file = ControlFile(name="c", listen="127.0.0.1:0", store=str(tmp_path / "c.db"), cluster="lab")
    first = ControlProcess(file)
    first.imported(platform_settings(2), "platform.json")
    first.control.apply(change(1, [PLAN]), "test")
    first.control.store.close()
    again = ControlProcess(file)
    again.imported(platform_settings(9), "platform.json")
    assert again.control.contents.version == 2
    assert "tenant-00008" not in again.control.contents.values[Section.PLANS]


class FarEnd:
    """A transport that notes what becomes of it."""

    def __init__(self):
        self.written, self.aborted = b"", False

    def write(self, data):
        self.written += data

    def abortConnection(self):
        self.aborted = True

    registerProducer = setTcpNoDelay = unregisterProducer = loseConnection = lambda self, *_: None


def test_a_connection_that_asks_for_nothing_whole_ends_and_a_watch_stays(writer):
    from granitedock.configuration.server import ControlLink, ControlService

    service = ControlService(None, writer, lambda event, **figures: None)
    query = b"name=g1&role=gateway&cluster=lab&after=0&digest=%032x" % 0
    asked = b"POST /configuration/watch?%b HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n" % query
    links = []
    for said in (b"", b"GET /configuration/stat", asked):
        link = ControlLink(service)
        link.makeConnection(FarEnd())
        if said:
            link.dataReceived(said)
        links.append(link)
    writer.clock.now += 30_001.0
    for link in links:
        link.heartbeat()
    assert [link.transport.aborted for link in links] == [True, True, False]
    assert links[2].transport.written.endswith(b"1\r\n\n\r\n") and writer.publisher.counts["idle"] == 2


UNNAMED = b"POST /configuration/watch?name=g HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n"
UNKNOWN = b"GET /configuration/none HTTP/1.1\r\nHost: c\r\n\r\n"


@pytest.mark.parametrize(
    ("line", "status"),
    [(UNKNOWN, b"HTTP/1.1 404"), (UNNAMED, b"HTTP/1.1 400"), (b"not http at all\r\n\r\n", b"")],
)
def test_a_request_that_is_none_costs_its_own_connection_and_is_counted(writer, line, status):
    from granitedock.configuration.server import ControlLink, ControlService

    told = []
    service = ControlService(None, writer, lambda event, **figures: told.append(event))
    link = ControlLink(service)
    link.makeConnection(FarEnd())
    link.dataReceived(line)
    assert link.over and link.transport.written.startswith(status)
    assert told == ["request refused"] and writer.publisher.counts["refused"] == 1


class Gateway:
    """Reactor and log of a gateway's part; what a thread asks of the loop is done at once."""

    def __init__(self):
        self.counts, self.events = Counter(), []

    def event(self, event, **figures):
        self.events.append(event)

    def callFromThread(self, act, *what, **named):
        act(*what, **named)


def followed_by_gateway(tmp_path, copy):
    """A gateway's part that keeps a copy, with no connection to control."""
    told = platform_file()
    gateway = Gateway()
    file = GatewayFile(enabled=True, cluster="lab", control=["127.0.0.1:1"], copy_file=str(copy))
    link = ConfigurationLink(file, "g1", reducer(told), gateway, lambda: 1e12, gateway)
    link.copy = CopyFile(copy, "lab", link.unwritten)
    return link, gateway


def take_in(link, lines):
    """A snapshot's lines, as far as they are given."""
    for line in lines:
        message = decoded(line)
        if isinstance(message, SnapshotBegins):
            link.document.begin()
        elif isinstance(message, Page):
            link.document.page(message.edit)
        else:
            link.document.end(message.version, message.digest)


def test_a_snapshot_cut_short_leaves_nothing_in_the_copy_of_the_next(writer, tmp_path):
    link, gateway = followed_by_gateway(tmp_path, tmp_path / "g.copy")
    link.copy.start()
    take_in(link, writer.snapshot()[:-1])
    writer.apply(change(1, [PLAN], ["tenant-00001"]), "test")
    take_in(link, writer.snapshot())
    link.copy.stop()
    again, gateway = followed_by_gateway(tmp_path, tmp_path / "g.copy")
    again.read_copy()
    assert gateway.events == ["configuration copy read"]
    assert again.document.version == 2
    again.copy.stop()


def test_a_copy_that_cannot_be_written_is_named_and_nothing_waits_for_it(writer, tmp_path):
    link, gateway = followed_by_gateway(tmp_path, tmp_path / "none" / "g.copy")
    thread = link.copy.thread
    link.copy.start()
    thread.join(5.0)
    assert gateway.events == ["configuration copy unwritten"]
    take_in(link, writer.snapshot())
    assert link.copy is None and link.records == [] and link.document.version == 1
