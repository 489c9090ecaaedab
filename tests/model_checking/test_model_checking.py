"""Small worlds explored through the real state machines, and planted faults that the explorer must find."""

import subprocess
import sys

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st
from planted_faults import PLANTED, never_search_for_ended_members, take_silence_for_proof
from pytest import mark, raises

from granitedock import platform_settings
from granitedock.model_checking import command, explore, gateway_events, gateway_moves, membership_world
from granitedock.model_checking.errors import TraceError
from granitedock.model_checking.gateway_world import GatewayWorld
from granitedock.model_checking.gateway_world_shape import GatewayWorldShape
from granitedock.model_checking.membership_world import MembershipWorld, MembershipWorldShape
from granitedock.model_checking.state_digest import state_digest
from granitedock.model_checking.trace import describe_gateways
from granitedock.policy.quota_account import QuotaAccount
from granitedock.policy.types import CounterCall, Customer, Plan


@mark.parametrize(
    ("shape", "least"),
    [
        (GatewayWorldShape(1, 2, ("once",), 2), 1000),
        (GatewayWorldShape(2, 2, ("mark", "read"), 1), 500),
        (GatewayWorldShape(1, 2, ("once", "read"), 1, warm_up_requests=12), 300),
        (GatewayWorldShape(2, 1, ("read!", "read!", "read!"), 0), 20),
    ],
    ids=["one-shot, two faults", "two gateways", "kept connections", "under a ceiling"],
)
def test_every_state_of_a_small_world_keeps_the_rules(shape, least):
    found = explore.explore(GatewayWorld(shape))
    assert found.complete and not found.violations and found.states >= least and found.ends > 10, found


def test_the_ways_that_matter_are_reached():
    """Exploring says nothing of what it never meets: late replies, retries after a kill, drains, refunds."""
    world = GatewayWorld(GatewayWorldShape(2, 2, ("mark", "once"), 1))
    seen, stack, met = {world.digest()}, [[]], set()
    while stack:
        trace = stack.pop()
        world = GatewayWorld(GatewayWorldShape(2, 2, ("mark", "once"), 1))
        for move in trace:
            world.play(move)
        for move in world.moves():
            met.add((move[0], move[1] if move[0] == "due" else ""))
        for request in world.requests.values():
            met |= {("answer", kind) for _, kind in request.answers}
            met.add(("forwards", len(request.attempts)))
            met |= {("ended", attempt.ending) for attempt in request.attempts.values()}
        for move in world.moves() if len(trace) < 9 else ():
            after = GatewayWorld(GatewayWorldShape(2, 2, ("mark", "once"), 1))
            for step in [*trace, move]:
                after.play(step)
            if after.digest() not in seen and len(seen) < 1600:
                seen.add(after.digest())
                stack.append([*trace, move])
    for way in ("ask", "dial", "answer", "total", "list"):
        assert ("due", way) in met, way
    assert {("late", ""), ("kill", ""), ("stop", ""), ("drain", ""), ("time", "")} <= met
    assert {("answer", kind) for kind in ("done", "errored")} <= met
    assert {("forwards", 2), ("ended", "reset"), ("ended", "busy"), ("ended", "value")} <= met, met


@mark.parametrize("name", PLANTED)
def test_a_planted_fault_is_found_with_a_trace_that_plays_again(name, monkeypatch, tmp_path):
    plant, shape, told = PLANTED[name]
    assert not explore.explore(GatewayWorld(shape)).violations
    plant(monkeypatch)
    keep = tmp_path / "trace.json"
    assert command.check(describe_gateways(shape), 20_000, 1, str(keep), lambda _: None) == 1
    assert orjson.loads(keep.read_bytes())["broken"][0].startswith(told)
    said = []
    assert command.replay(str(keep), said.append) == 1
    assert said[-1].startswith(f"BROKEN {told}")
    monkeypatch.undo()
    try:
        assert command.replay(str(keep), said.append) == 0  # without the fault the same way ends well,
    except TraceError as fault:
        assert "cannot happen here" in str(fault)  # or cannot be gone


def test_views_agree_and_no_share_is_taken_over_whatever_single_fault_comes_first():
    found = explore.explore(MembershipWorld(MembershipWorldShape(3, 1, 200.0)))
    assert found.complete and not found.violations and found.ends > 100, found


@mark.parametrize(
    ("plant", "told"),
    [(take_silence_for_proof, "divides by"), (never_search_for_ended_members, "views differ")],
)
def test_a_fault_planted_in_the_view_is_found(plant, told, monkeypatch):
    plant(monkeypatch)
    found = explore.explore(MembershipWorld(MembershipWorldShape(3, 1, 50.0)))
    assert found.violations and told in found.violations[0], found


def test_the_command_says_what_it_did_and_a_wrong_trace_is_refused(tmp_path):
    run = [sys.executable, "-m", "granitedock", "check-model", "--gateways", "1", "--hosts", "1"]
    said = subprocess.run(
        [*run, "--task", "read", "--workers", "2"], capture_output=True, text=True, timeout=60
    )
    assert said.returncode == 0 and said.stdout.endswith("no violation\n"), said
    said = subprocess.run([*run, "--task", "most"], capture_output=True, text=True, timeout=60)
    assert said.returncode == 1 and "no tasks" in said.stderr
    few = subprocess.run([*run, "--task", "once", "--most", "5"], capture_output=True, text=True, timeout=60)
    assert few.returncode == 2 and "ended at 5 states" in few.stdout
    trace = tmp_path / "trace.json"
    told = describe_gateways(GatewayWorldShape(1, 1, ("read",), 0))
    for text, why in (("{", "no trace"), (orjson.dumps(told | {"moves": [["kill", 0]]}).decode(), "cannot")):
        trace.write_text(text)
        with raises(TraceError, match=why):
            command.replay(str(trace), lambda _: None)


def test_each_event_and_each_move_of_a_world_has_its_handler():
    assert set(gateway_events.EVENTS) == set(gateway_moves.OUTCOMES)
    assert set(gateway_events.FAULTS) == {gateway_moves.KILL, gateway_moves.STOP, gateway_moves.DRAIN}
    tables = membership_world.ARRIVALS_MS, membership_world.CLUSTER_MOVES, membership_world.GATEWAY_FAULTS
    names = [name for table in tables for name in table]
    stored = "pass lose twice late event mend settle crash vanish start pause part"  # by trace files
    assert sorted(names) == sorted(stored.split())


# The pure parts, by any inputs.


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.floats(0, 500), st.floats(0.1, 3)), max_size=40), st.integers(1, 8))
def test_local_buckets_of_a_whole_set_never_let_in_more_than_rate_and_burst_and_a_task_each(
    steps, active_members
):
    """Each holds an even share; a share smaller than a task lets one in and owes it."""
    plan, now, let_in = Plan("p", 0.01, 5.0, 0, 1, 0, 0, 0, 0, 0), 0.0, 0.0
    accounts = [QuotaAccount(plan, active_members, now) for _ in range(active_members)]
    for n, (wait, units) in enumerate(steps):
        now += wait
        let_in += units * accounts[n % active_members].admit_locally(units, now, active_members)
    assert let_in <= plan.burst + plan.rate * now + 3.0 * active_members + 1e-6


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.floats(0, 400), st.integers(1, 3)), min_size=1, max_size=40))
def test_the_two_window_count_of_one_gateway_lets_in_no_more_than_rate_times_length_and_burst(steps):
    plan, now, used, totals = Plan("p", 0.01, 10.0, 0, 1, 0, 0, 0, 0, 0), 1_000_000.0, 0.0, {}
    account, customer = QuotaAccount(plan, 1, now), Customer(161)
    for wait, units in steps:
        now += wait
        account.advance_window(now)
        call = CounterCall(customer, 1, account.window, units - account.refund_due, 4000.0, now)
        account.refund_due = 0.0
        totals[account.window] = totals.get(account.window, 0.0) + call.amount
        account.apply_total(call, totals[account.window], now)
        if account.is_over_quota(now):
            account.refund_due += units  # a refused task's units go back, on the next add to the name
        else:
            used += units
    assert used <= plan.burst + plan.rate * (now - 1_000_000.0) + 0.5 + 1e-6


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.dictionaries(
        st.sampled_from(["Refill", "MostAtOnce", "CeilingRate", "Concurrency"]), st.floats(0, 1e6)
    )
)
def test_settings_decode_to_the_same_plan_whatever_is_left_out(told):
    plan = platform_settings.plans({"Tariffs": [{"Name": "p"} | told]})[0]
    assert plan.rate * 1000 == told.get("Refill", 0.0) or abs(plan.rate * 1000 - told["Refill"]) < 1e-6
    assert plan.burst == told.get("MostAtOnce", 0.0) and plan.max_in_flight == int(told.get("Concurrency", 0))


def test_the_digest_tells_states_apart_by_content_and_not_by_identity():
    one, other = (
        GatewayWorld(GatewayWorldShape(1, 1, ("read",), 0)),
        GatewayWorld(GatewayWorldShape(1, 1, ("read",), 0)),
    )
    assert one.digest() == other.digest()
    one.play(("due", "ask", 0, "t0", "asked"))
    assert one.digest() != other.digest()
    other.play(("due", "ask", 0, "t0", "asked"))
    assert one.digest() == other.digest()
    shared = [1.5]
    assert state_digest([shared, shared]) == state_digest([[1.5], [1.5]])
