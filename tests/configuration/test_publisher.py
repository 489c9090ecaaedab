"""What a control process sends to its followers, and in which order. Times are in ms."""

from configuration_helpers import PLAN, LoopbackTransport, change

from granitedock.configuration import publisher as publisher_module


def test_the_number_of_concurrent_snapshots_is_limited(writer, monkeypatch):
    """25 gateways start at once; their snapshots together must not occupy the process's core and memory."""
    monkeypatch.setattr(publisher_module, "MAX_ACTIVE_SNAPSHOTS", 4)
    publisher, max_active = writer.publisher, 0
    sessions = [publisher.open_session(f"g{n}", "gateway", None, 0, 0, 0.0) for n in range(25)]
    completed = set()
    while len(completed) < len(sessions):
        max_active = max(max_active, len(publisher.active_snapshots))
        for session in sessions:
            publisher.next_line(session, 0.0)
            if session.cursor == 1:
                completed.add(session)
        publisher.start_queued_snapshots()
    assert max_active == 4 and not publisher.active_snapshots and not publisher.snapshot_queue
    assert publisher.counts["snapshots"] == 25


def test_a_stalled_snapshot_is_reported_and_its_slot_goes_to_the_next_session(writer, monkeypatch):
    """A follower that reads nothing would otherwise keep its snapshot slot while it stays connected."""
    monkeypatch.setattr(publisher_module, "MAX_ACTIVE_SNAPSHOTS", 1)
    publisher = writer.publisher
    stalled = publisher.open_session("stalled", "gateway", None, 0, 0, 0.0)
    waiting = publisher.open_session("waiting", "gateway", None, 0, 0, 0.0)
    assert publisher.next_line(stalled, 0.0) and publisher.next_line(waiting, 0.0) is None
    assert publisher.stalled_sessions(5001.0) == [stalled]
    publisher.close_session(stalled)
    assert publisher.start_queued_snapshots() == [waiting]
    assert publisher.next_line(waiting, 5002.0)


def test_a_change_of_many_entries_is_sent_as_a_snapshot_in_pages(writer):
    """A single line with 600 entries would stall the event loop of the gateway that decodes it."""
    transport = LoopbackTransport({"a": writer})
    transport.start()
    transport.deliver_all()
    writer.apply(change(1, [PLAN | {"Name": f"p{n}"} for n in range(600)]), "test")
    lines = list(transport.pending_lines())
    assert len(lines) == 5 and max(map(len, lines)) < 64 * 1024
    for line in lines:
        transport.deliver(line)
    assert transport.is_in_sync_with(writer)


def test_lag_counts_from_the_time_the_first_missing_version_became_known(writer):
    transport = LoopbackTransport({"a": writer})
    transport.start()
    transport.deliver_all()
    writer.clock.now = 1000.0
    writer.apply(change(1, [PLAN]), "test")
    writer.clock.now = 2500.0
    writer.apply(change(2, [PLAN | {"Refill": 1}]), "test")
    (status,) = writer.publisher.status(3000.0)
    assert (status.version, status.lag_ms) == (1, 2000.0)
