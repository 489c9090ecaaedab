"""Small worlds explored through the program's state machines, without and with planted faults.

The tests guard against a state machine that breaks a rule on some path through a small world, and against a
search that misses such a path: each planted fault has to be reported with a trace that replays it.
"""

import subprocess
import sys

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st
from planted_faults import PLANTED, disable_anti_entropy, treat_dead_as_ended
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
    ("shape", "min_states"),
    [
        (GatewayWorldShape(1, 2, ("once",), 2), 1000),
        (GatewayWorldShape(2, 2, ("mark", "read"), 1), 500),
        (GatewayWorldShape(1, 2, ("once", "read"), 1, warm_up_requests=12), 300),
        (GatewayWorldShape(2, 1, ("read!", "read!", "read!"), 0), 20),
        (GatewayWorldShape(1, 4, ("mark",), 2, replacement=True), 16000),
        (GatewayWorldShape(1, 3, ("mark",), 1, warm_up_requests=12, replacement=True), 100),
    ],
    ids=[
        "non-idempotent request, two faults",
        "two gateways",
        "kept connections",
        "under a ceiling",
        "a replaced host, two faults",
        "a replaced host, kept connections",
    ],
)
def test_no_state_of_a_small_world_violates_a_rule(shape, min_states):
    result = explore.explore(GatewayWorld(shape))
    assert result.complete and not result.violations and result.states >= min_states and result.ends > 10, (
        result
    )


def test_a_search_reaches_late_events_kills_stops_drains_and_retries():
    """A rule holds trivially where the search never reaches the cases that can break it.

    These are late replies, retries after a kill, drains and refunds.
    """
    world = GatewayWorld(GatewayWorldShape(2, 2, ("mark", "once"), 1))
    visited, stack, reached = {world.digest()}, [[]], set()
    while stack:
        trace = stack.pop()
        world = GatewayWorld(GatewayWorldShape(2, 2, ("mark", "once"), 1))
        for move in trace:
            world.play(move)
        for move in world.moves():
            reached.add((move[0], move[1] if move[0] == "due" else ""))
        for request in world.requests.values():
            reached |= {("answer", kind) for _, kind in request.answers}
            reached.add(("attempts", len(request.attempts)))
            reached |= {("ended", attempt.ending) for attempt in request.attempts.values()}
        for move in world.moves() if len(trace) < 9 else ():
            next_state = GatewayWorld(GatewayWorldShape(2, 2, ("mark", "once"), 1))
            for step in [*trace, move]:
                next_state.play(step)
            if next_state.digest() not in visited and len(visited) < 1600:
                visited.add(next_state.digest())
                stack.append([*trace, move])
    for kind in ("ask", "dial", "answer", "total", "list"):
        assert ("due", kind) in reached, kind
    assert {("late", ""), ("kill", ""), ("stop", ""), ("drain", ""), ("time", "")} <= reached
    assert {("answer", kind) for kind in ("done", "errored")} <= reached
    assert {("attempts", 2), ("ended", "reset"), ("ended", "busy"), ("ended", "value")} <= reached, reached


@mark.parametrize("name", PLANTED)
def test_a_search_reports_a_planted_fault_with_a_trace_that_replays_it(name, monkeypatch, tmp_path):
    plant, shape, violation = PLANTED[name]
    assert not explore.explore(GatewayWorld(shape)).violations
    plant(monkeypatch)
    trace_path = tmp_path / "trace.json"
    assert command.check(describe_gateways(shape), 20_000, 1, str(trace_path), lambda _: None) == 1
    assert orjson.loads(trace_path.read_bytes())["broken"][0].startswith(violation)
    lines = []
    assert command.replay(str(trace_path), lines.append) == 1
    assert lines[-1].startswith(f"BROKEN {violation}")
    monkeypatch.undo()
    # Without the fault, the same trace either ends without a violation or contains a move that is impossible.
    try:
        assert command.replay(str(trace_path), lines.append) == 0
    except TraceError as error:
        assert "cannot happen here" in str(error)


def test_after_any_single_fault_views_agree_and_no_share_is_divided_among_too_few():
    result = explore.explore(MembershipWorld(MembershipWorldShape(3, 1, 200.0)))
    assert result.complete and not result.violations and result.ends > 100, result


@mark.parametrize(
    ("plant", "violation"),
    [(treat_dead_as_ended, "divides by"), (disable_anti_entropy, "views differ")],
)
def test_a_search_reports_a_fault_planted_in_membership(plant, violation, monkeypatch):
    plant(monkeypatch)
    result = explore.explore(MembershipWorld(MembershipWorldShape(3, 1, 50.0)))
    assert result.violations and violation in result.violations[0], result


def test_the_command_reports_its_result_and_rejects_an_invalid_trace(tmp_path):
    check_model = [sys.executable, "-m", "granitedock", "check-model", "--gateways", "1", "--hosts", "1"]
    completed = subprocess.run(
        [*check_model, "--task", "read", "--workers", "2"], capture_output=True, text=True, timeout=60
    )
    assert completed.returncode == 0 and completed.stdout.endswith("no violation\n"), completed
    completed = subprocess.run([*check_model, "--task", "most"], capture_output=True, text=True, timeout=60)
    assert completed.returncode == 1 and "no tasks" in completed.stderr
    limited = subprocess.run(
        [*check_model, "--task", "once", "--most", "5"], capture_output=True, text=True, timeout=60
    )
    assert limited.returncode == 2 and "ended at 5 states" in limited.stdout
    trace_path = tmp_path / "trace.json"
    description = describe_gateways(GatewayWorldShape(1, 1, ("read",), 0))
    for text, reason in (
        ("{", "no trace"),
        (orjson.dumps(description | {"moves": [["kill", 0]]}).decode(), "cannot"),
    ):
        trace_path.write_text(text)
        with raises(TraceError, match=reason):
            command.replay(str(trace_path), lambda _: None)


def test_each_event_and_each_move_of_a_world_has_a_handler():
    """A kind of event or a move without a handler would end a search with a KeyError."""
    assert set(gateway_events.EVENTS) == set(gateway_moves.OUTCOMES)
    assert set(gateway_events.FAULTS) == {
        gateway_moves.KILL,
        gateway_moves.STOP,
        gateway_moves.DRAIN,
        gateway_moves.REPLACE,
    }
    tables = membership_world.ARRIVALS_MS, membership_world.CLUSTER_MOVES, membership_world.GATEWAY_FAULTS
    names = [name for table in tables for name in table]
    stored_names = "pass lose twice late event mend settle crash vanish start pause part"  # In trace files.
    assert sorted(names) == sorted(stored_names.split())


# Properties of pure functions and of accounts, for generated inputs.


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.floats(0, 500), st.floats(0.1, 3)), max_size=40), st.integers(1, 8))
def test_local_buckets_of_all_members_admit_at_most_rate_and_burst_and_one_request_each(
    steps, active_members
):
    """Each member has an even share; a share smaller than a request still admits one.

    The bucket's level is negative after that.
    """
    plan, now, admitted = Plan("p", 0.01, 5.0, 0, 1, 0, 0, 0, 0, 0), 0.0, 0.0
    accounts = [QuotaAccount(plan, active_members, now) for _ in range(active_members)]
    for index, (wait, units) in enumerate(steps):
        now += wait
        admitted += units * accounts[index % active_members].admit_locally(units, now, active_members)
    assert admitted <= plan.burst + plan.rate * now + 3.0 * active_members + 1e-6


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.floats(0, 400), st.integers(1, 3)), min_size=1, max_size=40))
def test_the_sliding_window_counter_of_one_gateway_admits_at_most_rate_times_length_and_burst(steps):
    plan, now, admitted, totals = Plan("p", 0.01, 10.0, 0, 1, 0, 0, 0, 0, 0), 1_000_000.0, 0.0, {}
    account, customer = QuotaAccount(plan, 1, now), Customer(161)
    for wait, units in steps:
        now += wait
        account.advance_window(now)
        call = CounterCall(customer, 1, account.window, units - account.refund_due, 4000.0, now)
        account.refund_due = 0.0
        totals[account.window] = totals.get(account.window, 0.0) + call.amount
        account.apply_total(call, totals[account.window], now)
        if account.is_over_quota(now):
            account.refund_due += units  # A rejected request's units are refunded with the next increment.
        else:
            admitted += units
    assert admitted <= plan.burst + plan.rate * (now - 1_000_000.0) + 0.5 + 1e-6


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.dictionaries(
        st.sampled_from(["Refill", "MostAtOnce", "CeilingRate", "Concurrency"]), st.floats(0, 1e6)
    )
)
def test_rate_burst_and_concurrency_of_a_plan_are_as_set_and_0_if_absent(tariff):
    plan = platform_settings.plans({"Tariffs": [{"Name": "p"} | tariff]})[0]
    assert plan.rate * 1000 == tariff.get("Refill", 0.0) or abs(plan.rate * 1000 - tariff["Refill"]) < 1e-6
    assert plan.burst == tariff.get("MostAtOnce", 0.0) and plan.max_in_flight == int(
        tariff.get("Concurrency", 0)
    )


def test_the_digest_distinguishes_states_by_content_and_not_by_identity():
    first, second = (
        GatewayWorld(GatewayWorldShape(1, 1, ("read",), 0)),
        GatewayWorld(GatewayWorldShape(1, 1, ("read",), 0)),
    )
    assert first.digest() == second.digest()
    first.play(("due", "ask", 0, "t0", "asked"))
    assert first.digest() != second.digest()
    second.play(("due", "ask", 0, "t0", "asked"))
    assert first.digest() == second.digest()
    shared = [1.5]
    assert state_digest([shared, shared]) == state_digest([[1.5], [1.5]])
