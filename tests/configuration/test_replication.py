"""Whatever happens between a follower and two control processes, it ends at the writer's version."""

from random import Random

from configuration_helpers import PLAN, LoopbackTransport, change, control_node
from hypothesis import given, settings
from hypothesis import strategies as st

from granitedock.configuration.document import Section, canonical_json

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
    writer, replica = control_node(folder / "w.db", plans=3), control_node(folder / "r.db", plans=3)
    transport = LoopbackTransport({"a": writer, "b": replica})
    transport.start()
    had = 0
    for step in steps:
        if step == "change":
            names = [f"n{chance.randrange(4)}" for _ in range(2)]
            put = {name: PLAN | {"Name": name, "Refill": chance.randrange(1, 90)} for name in names}
            made = writer.apply(change(writer.contents.version, put.values()), "test")
            if chance.random() < 0.5:
                for late in writer.store.changes()[replica.contents.version : made.version]:
                    replica.document.apply_change(late)
        elif step == "cut":
            transport.cut()
            transport.up()
        elif step == "swap":
            transport.now += 5000.0
            transport.follower.check_timeouts(transport.now)
            if transport.connecting or transport.timers:
                transport.up()
        elif (line := transport.line()) is not None:
            for _ in range({"line": 1, "lose": 0, "double": 2}[step]):
                if transport.connection is transport.follower.connection:
                    transport.hears(line)
            for message in transport.sent:
                transport.core.publisher.message_received(transport.session, message)
            transport.sent.clear()
        if transport.connection is not transport.follower.connection:
            transport.up()
        assert transport.document.version >= had
        had = transport.document.version
    for late in writer.store.changes()[replica.contents.version :]:
        replica.document.apply_change(late)
    for _ in range(2):
        transport.cut()
        transport.up()
        transport.hears_all()
    assert transport.same(writer)
    held = transport.document.contents.values[Section.PLANS].values()
    assert sorted(map(canonical_json, held)) == sorted(map(canonical_json, writer.document_record()["plans"]))
    for core in (writer, replica):
        core.store.close()
