"""A follower and control nodes in one process: snapshots, changes, faults, timeouts. Times are in ms."""

import pytest
from configuration_helpers import PLAN, Clock, LoopbackTransport, change, control_node

from granitedock.configuration.control_node import ControlNode
from granitedock.configuration.document_store import DocumentStore
from granitedock.configuration.follower_timing import address_order
from granitedock.configuration.message_codec import encode
from granitedock.configuration.messages import Resend
from granitedock.lab.scale.platform import platform_settings


def test_a_follower_applies_the_snapshot_and_then_each_change(writer):
    transport = LoopbackTransport({"a": writer})
    transport.start()
    transport.deliver_all()
    assert transport.is_in_sync_with(writer) and transport.follower.counts["in_force"] == 1
    for n in range(3):
        writer.apply(change(1 + n, [PLAN | {"Refill": 10 + n}]), "test")
        transport.deliver_all()
        assert transport.is_in_sync_with(writer)
    assert writer.publisher.status(0.0)[0].version == 4
    assert writer.publisher.status(0.0)[0].lag_ms == 0.0


def test_a_follower_without_a_version_requests_a_snapshot_instead_of_applying_the_first_change(tmp_path):
    """Prevents plans of the platform file from staying in force, which a change alone would not remove."""
    empty = ControlNode(DocumentStore(tmp_path / "w.db", "lab"), True, Clock(), lambda followers: None)
    transport = LoopbackTransport({"a": empty})
    transport.start()
    transport.deliver_all()
    assert transport.document.version == 0
    first = empty.import_settings(platform_settings(2), "platform.json")
    transport.deliver(encode(first))
    assert transport.document.version == 0 and transport.sent == [Resend()]
    transport.deliver_all()
    assert transport.is_in_sync_with(empty) and transport.follower.counts["gaps"] == 1


def test_a_duplicate_change_is_ignored_and_a_gap_causes_one_snapshot_request(writer):
    transport = LoopbackTransport({"a": writer})
    transport.start()
    transport.deliver_all()
    lines = []
    for n in range(4):
        writer.apply(change(1 + n, [PLAN | {"Refill": 10 + n}]), "test")
        lines += transport.pending_lines()
    transport.deliver(lines[0])
    transport.deliver(lines[0])
    assert transport.document.version == 2 and transport.follower.counts["doubled"] == 1
    transport.deliver(lines[2])
    transport.deliver(lines[3])
    assert transport.document.version == 2
    assert [message for message in transport.sent if isinstance(message, Resend)] == [Resend()]
    transport.deliver_all()
    assert transport.is_in_sync_with(writer) and writer.publisher.counts["resends"] == 1


def test_an_incomplete_snapshot_changes_nothing(writer):
    transport = LoopbackTransport({"a": writer})
    transport.start()
    *all_but_last, _ = transport.pending_lines()
    for line in all_but_last:
        transport.deliver(line)
    assert transport.document.version == 0 and transport.document.contents.count() == 0
    transport.cut_connection()
    transport.establish_connection()
    transport.deliver_all()
    assert transport.is_in_sync_with(writer)


def test_a_digest_mismatch_causes_one_snapshot_request_and_a_second_one_abandons_the_address(writer):
    transport = LoopbackTransport({"a": writer})
    transport.start()
    transport.deliver_all()
    writer.apply(change(1, [PLAN]), "test")
    (line,) = transport.pending_lines()
    transport.deliver(line.replace(b'"Refill":50', b'"Refill":51'))
    assert transport.document.version == 1 and transport.follower.counts["differing"] == 1
    transport.deliver_all()
    assert transport.is_in_sync_with(writer) and transport.follower.counts["resends"] == 1
    writer.apply(change(2, [PLAN | {"Refill": 60}]), "test")
    (line,) = transport.pending_lines()
    transport.deliver(line.replace(b'"Refill":60', b'"Refill":61'))
    assert transport.aborted == [transport.connection] and transport.document.version == 2
    transport.establish_connection()
    transport.deliver_all()
    assert transport.is_in_sync_with(writer)


def test_a_follower_never_reverts_to_an_older_version_and_abandons_a_control_process_that_stays_behind(
    writer, tmp_path
):
    old = control_node(tmp_path / "old.db", plans=5)
    writer.apply(change(1, [PLAN]), "test")
    first, second = address_order("g1", ["a", "b"])
    transport = LoopbackTransport({first: writer, second: old})
    transport.start()
    transport.deliver_all()
    assert transport.document.version == 2
    transport.cut_connection()
    transport.establish_connection()
    assert transport.control_node is old
    transport.deliver_all()
    assert transport.document.version == 2
    transport.now += 3001.0
    transport.follower.line_received(transport.connection, b"", transport.now)
    transport.follower.check_timeouts(transport.now)
    assert transport.follower.counts["behind"] == 1
    transport.establish_connection()
    assert transport.control_node is writer and transport.document.version == 2


def test_an_older_snapshot_is_skipped(writer, tmp_path):
    """A control process that has lost its log sends one, as it does not know that the follower is ahead."""
    transport = LoopbackTransport({"a": writer})
    transport.start()
    older = list(transport.pending_lines())
    for line in older:
        transport.deliver(line)
    writer.apply(change(1, [PLAN]), "test")
    transport.deliver_all()
    for line in older:
        transport.deliver(line)
    assert transport.is_in_sync_with(writer) and transport.follower.counts["snapshots"] == 1


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
def test_an_invalid_line_or_another_clusters_message_ends_only_its_connection(writer, line):
    transport = LoopbackTransport({"a": writer, "b": writer})
    first = transport.start()
    transport.deliver(line)
    assert transport.aborted == [first] and transport.document.version == 0
    transport.establish_connection()
    assert transport.connection.address != first.address
    transport.deliver_all()
    assert transport.is_in_sync_with(writer)


def test_heartbeats_keep_a_connection_open_and_silence_ends_it(writer):
    transport = LoopbackTransport({"a": writer, "b": writer})
    transport.start()
    transport.deliver_all()
    for _ in range(10):
        transport.now += 1000.0
        transport.deliver(b"\n")
        transport.follower.check_timeouts(transport.now)
    assert not transport.aborted
    transport.now += 3001.0
    transport.follower.check_timeouts(transport.now)
    assert transport.aborted == [transport.connection] and transport.follower.counts["silences"] == 1
