"""What a control process sends to its followers, and in which order. Times in ms."""

from configuration_helpers import PLAN, LoopbackTransport, change

from granitedock.configuration import publisher as publisher_module


def test_snapshots_are_on_their_way_to_only_so_many_at_once(writer, monkeypatch):
    """A rack of 25 gateways starts in one moment."""
    monkeypatch.setattr(publisher_module, "MAX_ACTIVE_SNAPSHOTS", 4)
    publisher, most = writer.publisher, 0
    rack = [publisher.open_session(f"g{n}", "gateway", None, 0, 0, 0.0) for n in range(25)]
    done = set()
    while len(done) < len(rack):
        most = max(most, len(publisher.active_snapshots))
        for follower in rack:
            publisher.next_line(follower, 0.0)
            if follower.cursor == 1:
                done.add(follower)
        publisher.start_queued_snapshots()
    assert most == 4 and not publisher.active_snapshots and not publisher.snapshot_queue
    assert publisher.counts["snapshots"] == 25


def test_a_snapshot_that_does_not_move_gives_up_its_place(writer, monkeypatch):
    monkeypatch.setattr(publisher_module, "MAX_ACTIVE_SNAPSHOTS", 1)
    publisher = writer.publisher
    stuck = publisher.open_session("stuck", "gateway", None, 0, 0, 0.0)
    waiting = publisher.open_session("waiting", "gateway", None, 0, 0, 0.0)
    assert publisher.next_line(stuck, 0.0) and publisher.next_line(waiting, 0.0) is None
    assert publisher.stalled_sessions(5001.0) == [stuck]
    publisher.close_session(stuck)
    assert publisher.start_queued_snapshots() == [waiting]
    assert publisher.next_line(waiting, 5002.0)


def test_a_change_of_many_entries_goes_out_in_pages(writer):
    transport = LoopbackTransport({"a": writer})
    transport.start()
    transport.hears_all()
    writer.apply(change(1, [PLAN | {"Name": f"p{n}"} for n in range(600)]), "test")
    lines = list(transport.lines())
    assert len(lines) == 5 and max(map(len, lines)) < 64 * 1024
    for line in lines:
        transport.hears(line)
    assert transport.same(writer)


def test_lag_counts_from_when_the_first_version_that_is_lacking_was_known(writer):
    transport = LoopbackTransport({"a": writer})
    transport.start()
    transport.hears_all()
    writer.clock.now = 1000.0
    writer.apply(change(1, [PLAN]), "test")
    writer.clock.now = 2500.0
    writer.apply(change(2, [PLAN | {"Refill": 1}]), "test")
    (status,) = writer.publisher.status(3000.0)
    assert (status.version, status.lag_ms) == (1, 2000.0)
