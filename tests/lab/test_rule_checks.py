"""The rules from the outside: each violation is found, what is allowed is not, a broken gateway is caught."""

import socket
import threading
import time
from contextlib import contextmanager, suppress

from load_cleanup import load_stopped_at_exit
from pytest import mark, raises

from granitedock.lab.cluster.cluster import GatewayCluster
from granitedock.lab.faults.host_faults import ReplyKind
from granitedock.lab.load.generator import LoadGenerator
from granitedock.lab.load.observations import (
    Ceiling,
    ClientRequest,
    HostAttempt,
    HostStart,
    IdempotencyTerms,
    Observations,
    RequestOutcome,
    WrittenList,
)
from granitedock.lab.load.rule_checks import rule_violations
from granitedock.lab.load.verification import cluster_load, violations
from granitedock.lab.scenario import parse
from granitedock.policy.types import Idempotency

REQUEST_CLASSES = {
    "read": IdempotencyTerms(Idempotency.IDEMPOTENT, 0.0),
    "mark": IdempotencyTerms(Idempotency.KEYED, 3000.0),
    "once": IdempotencyTerms(Idempotency.NON_IDEMPOTENT, 0.0),
}


def answer(outcome="done", latency_ms=100.0, request_class="read", **more):
    outcome = RequestOutcome(outcome)
    return ClientRequest(1, 0, 161, request_class, 1.0, 10.0, 1000.0, outcome, latency_ms, **more)


def attempt(at_s, until_s=None, reply="value", host="a"):
    return HostAttempt(1, host, at_s, at_s + 0.05 if until_s is None else until_s, ReplyKind(reply))


RESET = [attempt(10.1, reply="reset"), attempt(10.2, host="b")]
CASES = {
    # name: (what is found, the answer, the attempts)
    "an answer in time": ("", answer(), [attempt(10.0)]),
    "late": ("rule 1: task 1 at gateway/0 was answered 100 ms late", answer(latency_ms=1100), []),
    "late by what its gateway was stopped": ("", answer(latency_ms=4000, paused_s=3.0), []),
    "never answered": ("rule 1: task 1 at gateway/0 was never answered", answer("open", 0.0), []),
    "its gateway was killed": ("", answer("lost", 0.0, gateway_ended=True), [attempt(10.0)]),
    "sent after its answer": ("rule 1: task 1 at gateway/0 was sent to a 300 ms", answer(), [attempt(10.4)]),
    "two attempts in flight": (
        "rule 2: task 1 (read) was out at a and b",
        answer(),
        [attempt(10), attempt(10.02, host="b")],
    ),
    "idempotent, again": ("", answer(latency_ms=300), RESET),
    "non-idempotent, again after it never ran": (
        "",
        answer(latency_ms=300, request_class="once"),
        [attempt(10.1, reply="busy"), attempt(10.2)],
    ),
    "non-idempotent, again": (
        "rule 2: task 1 (once) may have run at a",
        answer(latency_ms=300, request_class="once"),
        RESET,
    ),
    "non-idempotent, deferred": (
        "rule 2: task 1 (once) may have run at a and was deferred",
        answer("deferred", 200, "once"),
        RESET[:1],
    ),
    "non-idempotent, errored": ("", answer("errored", 200, "once"), RESET[:1]),
    "keyed, again in time": ("", answer(latency_ms=300, request_class="mark"), RESET),
    "keyed, again too late": (
        "rule 2: task 1 (mark) may have run at a and was sent to b",
        answer(latency_ms=3900, request_class="mark", paused_s=9.0),
        [attempt(10.1, reply="reset"), attempt(13.5, host="b")],
    ),
    "keyed, deferred in time": ("", answer("deferred", 300, "mark"), RESET),
}


@mark.parametrize("name", CASES)
def test_each_break_of_rules_1_and_2_is_found_and_nothing_else(name):
    expected, request, attempts = CASES[name]
    found = rule_violations(Observations([request], attempts, request_classes=REQUEST_CLASSES))
    assert (found == []) if not expected else (len(found) == 1 and found[0].startswith(expected)), found


def test_drains_cold_hosts_and_ceilings_are_checked_over_all_gateways():
    changes = [(9.0, frozenset()), (10.0, frozenset({"a"})), (14.0, frozenset())]
    lists = [WrittenList(*change) for change in changes]
    for at_s, kept in ((10.9, True), (11.2, False), (14.1, True)):
        one = ClientRequest(1, 0, 161, "read", 1.0, at_s, 1000.0, RequestOutcome.DONE, 100.0)
        found = rule_violations(Observations([one], [attempt(at_s)], lists={0: lists}))
        assert (found == []) is kept and all(line.startswith("rule 3: task 1 of gateway/0") for line in found)
        other = Observations([one], [attempt(at_s)], lists={1: lists})
        assert rule_violations(other) == []  # another was notified, not this one
    start = HostStart("a", 20.0, 50.0)  # bears 2 x 30 in its first second, and chance
    for count, kept in ((60, True), (86, True), (90, False)):
        came = [HostAttempt(n, "a", 20.0 + n / 100, 20.1) for n in range(count)]
        found = rule_violations(Observations([], came, starts=[start]))
        assert (found == []) is kept, (count, found)
    for units, kept in ((40, True), (60, False)):  # 10 at once, 10 a second and 2 beyond: 33.5 in two seconds
        said = [
            ClientRequest(n, n % 2, 161, "read", units / 40, 0.0, 6000.0, RequestOutcome.DONE, 5000.0)
            for n in range(40)
        ]
        came = [HostAttempt(n, "a", 2.0 + n / 20, 9.0) for n in range(40)]
        found = rule_violations(Observations(said, came, ceilings={161: Ceiling(10.0, 22.0, 2.0)}))
        assert (found == []) is kept, found
    assert rule_violations(Observations([], [], unexpected_answers=2)) == ["rule 1: 2 answers to no task"]


DOUBLE = """
length_s = 5
[fleet]
gateways = 1
[[fleet.zones]]
name = "east"
hosts = 1
[[clients]]
customer = 161
product = "read"
plan = "p"
rate = 50
left_ms = 200
"""


@contextmanager
def double(answers):
    """A gateway that is broken on purpose: `answers(n)` gives what it writes to its nth request, how late."""
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve():
            line, _ = server.accept()
            with line, line.makefile("rb") as said, suppress(OSError):  # until the load generator ends it
                count = 0
                while said.readline():  # an array's head; its items follow
                    for _ in range(4):
                        size = int(said.readline()[1:])
                        said.read(size + 2)
                    what, after_s = answers(count)
                    time.sleep(after_s)
                    line.sendall(what)
                    count += 1

        threading.Thread(target=serve, daemon=True).start()
        yield f"127.0.0.1:{server.getsockname()[1]}"


@mark.parametrize(
    ("answers", "expected"),
    [
        (lambda n: (b"$2\r\nok\r\n", 0), ""),
        (lambda n: (b"$2\r\nok\r\n" * (2 if n == 3 else 1), 0), "answers to no task"),
        (lambda n: (b"$2\r\nok\r\n", 0.4 if n == 3 else 0), "ms late"),
        (lambda n: (b"" if n == 30 else b"$2\r\nok\r\n", 0), "never answered"),
    ],
    ids=["sound", "answers twice", "answers late", "forgets one"],
)
def test_a_gateway_that_answers_twice_late_or_not_is_caught_by_the_load_generator(answers, expected):
    with double(answers) as address:
        load = LoadGenerator(parse(DOUBLE), [address])
        load.run(1.0)
        found = violations(load)
        assert len(load.records) > 20
        assert (found == []) if not expected else any(expected in line for line in found), found


def test_load_that_a_failed_test_left_running_is_stopped():
    with double(lambda _: (b"$2\r\nok\r\n", 0)) as address:
        with raises(ZeroDivisionError), load_stopped_at_exit():
            load = LoadGenerator(parse(DOUBLE), [address])
            load.start()
            assert load.running
            raise ZeroDivisionError
        assert not load.running and not load.has_open_requests()


HARD = """
seed = 5
length_s = 30
[fleet]
gateways = 2
[[plans]]
name = "p"
rate = 200
burst = 200
ceiling_rate = 60
ceiling_burst = 60
ceiling_slack = 6
[[fleet.zones]]
name = "east"
hosts = 3
service = { kind = "fixed", mean_ms = 8 }
[[fleet.zones]]
name = "west"
hosts = 3
service = { kind = "fixed", mean_ms = 8 }
"""
for number, product in enumerate(("read", "mark", "once")):
    HARD += f'[[clients]]\ncustomer = {161 + number}\nproduct = "{product}"\nplan = "p"\n'
    HARD += "rate = 40\nspread = 2\nleft_ms = 1500\n"


def test_all_rules_hold_while_hosts_stall_fall_silent_cut_drain_die_and_the_counter_and_lists_fail(tmp_path):
    with GatewayCluster(parse(HARD), tmp_path) as cluster:
        cluster.wait_until_ready()
        load = cluster_load(cluster)
        load.start()
        time.sleep(1.5)
        cluster.add_host_fault("east/0", "half", for_s=2.0)
        cluster.add_host_fault("east/1", "silent", for_s=2.0)
        cluster.add_host_fault("west/0", "reset", for_s=3.0, rate=0.5)
        time.sleep(2.5)
        cluster.add_host_fault("west/1", "drain", for_s=3.0)
        cluster.add_host_fault("west/2", "kill", for_s=1.0)
        cluster.restart_counter(type(cluster.counter.counts)())
        time.sleep(1.5)
        cluster.cut([0], "discovery")  # for longer than a watch may be silent
        cluster.restart(1)
        cluster.wait_until_ready(1)
        for n in range(3):  # a zone slows as a whole
            cluster.add_host_fault(f"east/{n}", "slow", for_s=2.0, factor=20)
        time.sleep(4)
        cluster.heal()
        cluster.pause(0)
        time.sleep(0.5)
        cluster.resume(0)
        time.sleep(2)
        records = load.stop()
        assert violations(load, cluster) == []
        done = [record for record in records if record.outcome == "done"]
        assert len(done) > 0.5 * len(records) and {record.request_class for record in done} == {
            "read",
            "mark",
            "once",
        }
        replies = {attempt.reply for host in cluster.hosts for attempt in host.attempts}
        assert {"value", "half", "silent", "reset"} <= replies  # the faults were met
        lists = [one for discovery in cluster.discoveries for one in discovery.written_lists]
        assert any(one.unavailable for one in lists)
        assert any(host.starts for host in cluster.hosts)
