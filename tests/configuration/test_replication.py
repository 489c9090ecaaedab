"""A follower converges on the writer's version under line loss, duplication, disconnects and lag."""

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
def test_a_follower_converges_whatever_lines_are_lost_or_doubled_and_connections_cut(
    tmp_path_factory, steps, seed
):
    """Guards against a follower whose version decreases, or that stays behind once the faults stop.

    Lines are lost and doubled, connections are cut, and the follower changes between two control processes,
    one of which lags. At the end it must have the writer's version, digest and plans.
    """
    folder = tmp_path_factory.mktemp("any")
    rng = Random(seed)
    writer, replica = control_node(folder / "w.db", plans=3), control_node(folder / "r.db", plans=3)
    transport = LoopbackTransport({"a": writer, "b": replica})
    transport.start()
    previous_version = 0
    for step in steps:
        if step == "change":
            names = [f"n{rng.randrange(4)}" for _ in range(2)]
            plans_by_name = {name: PLAN | {"Name": name, "Refill": rng.randrange(1, 90)} for name in names}
            applied = writer.apply(change(writer.contents.version, plans_by_name.values()), "test")
            if rng.random() < 0.5:
                for missed in writer.store.changes()[replica.contents.version : applied.version]:
                    replica.document.apply_change(missed)
        elif step == "cut":
            transport.cut_connection()
            transport.establish_connection()
        elif step == "swap":
            transport.now += 5000.0
            transport.follower.check_timeouts(transport.now)
            if transport.connecting or transport.timers:
                transport.establish_connection()
        elif (line := transport.next_line()) is not None:
            for _ in range({"line": 1, "lose": 0, "double": 2}[step]):
                if transport.connection is transport.follower.connection:
                    transport.deliver(line)
            for message in transport.sent:
                transport.control_node.publisher.message_received(transport.session, message)
            transport.sent.clear()
        if transport.connection is not transport.follower.connection:
            transport.establish_connection()
        assert transport.document.version >= previous_version
        previous_version = transport.document.version
    for missed in writer.store.changes()[replica.contents.version :]:
        replica.document.apply_change(missed)
    for _ in range(2):
        transport.cut_connection()
        transport.establish_connection()
        transport.deliver_all()
    assert transport.is_in_sync_with(writer)
    follower_plans = transport.document.contents.values[Section.PLANS].values()
    assert sorted(map(canonical_json, follower_plans)) == sorted(
        map(canonical_json, writer.document_record()["plans"])
    )
    for control in (writer, replica):
        control.store.close()
