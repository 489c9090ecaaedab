"""Checks of the five rules from outside the gateways.

The tests guard against checks that miss a violation, so that a faulty gateway passes, and against checks that
report permitted behaviour as a violation.
"""

import socket
import threading
import time
from contextlib import contextmanager, suppress
from math import inf

from load_cleanup import load_stopped_at_exit
from pytest import mark, raises

from granitedock.lab.cluster.cluster import GatewayCluster
from granitedock.lab.faults.host_faults import ReplyKind
from granitedock.lab.load.generator import Interval, LoadGenerator
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


def client_request(outcome="done", latency_ms=100.0, request_class="read", **more):
    outcome = RequestOutcome(outcome)
    return ClientRequest(1, 0, 161, request_class, 1.0, 10.0, 1000.0, outcome, latency_ms, **more)


def attempt(at_s, until_s=None, reply="value", host="a"):
    return HostAttempt(1, host, at_s, at_s + 0.05 if until_s is None else until_s, ReplyKind(reply))


RESET = [attempt(10.1, reply="reset"), attempt(10.2, host="b")]
CASES = {
    # By name: the start of the expected line, or "" for none; the request; its attempts.
    "answered in time": ("", client_request(), [attempt(10.0)]),
    "answered late": (
        "rule 1: task 1 at gateway/0 was answered 100 ms late",
        client_request(latency_ms=1100),
        [],
    ),
    "late only by the pause of its gateway": ("", client_request(latency_ms=4000, paused_s=3.0), []),
    "never answered": ("rule 1: task 1 at gateway/0 was never answered", client_request("open", 0.0), []),
    "not answered as its gateway was killed": (
        "",
        client_request("lost", 0.0, gateway_ended=True),
        [attempt(10.0)],
    ),
    "sent to a host after its answer": (
        "rule 1: task 1 at gateway/0 was sent to a 300 ms",
        client_request(),
        [attempt(10.4)],
    ),
    "two attempts in flight": (
        "rule 2: task 1 (read) was out at a and b",
        client_request(),
        [attempt(10), attempt(10.02, host="b")],
    ),
    "idempotent, sent again": ("", client_request(latency_ms=300), RESET),
    "non-idempotent, sent again after it never ran": (
        "",
        client_request(latency_ms=300, request_class="once"),
        [attempt(10.1, reply="busy"), attempt(10.2)],
    ),
    "non-idempotent, sent again": (
        "rule 2: task 1 (once) may have run at a",
        client_request(latency_ms=300, request_class="once"),
        RESET,
    ),
    "non-idempotent, rejected": (
        "rule 2: task 1 (once) may have run at a and was deferred",
        client_request("deferred", 200, "once"),
        RESET[:1],
    ),
    "non-idempotent, failed": ("", client_request("errored", 200, "once"), RESET[:1]),
    "keyed, sent again within the window": (
        "",
        client_request(latency_ms=300, request_class="mark"),
        RESET,
    ),
    "keyed, sent again after the window": (
        "rule 2: task 1 (mark) may have run at a and was sent to b",
        client_request(latency_ms=3900, request_class="mark", paused_s=9.0),
        [attempt(10.1, reply="reset"), attempt(13.5, host="b")],
    ),
    "keyed, rejected within the window": ("", client_request("deferred", 300, "mark"), RESET),
}


@mark.parametrize("name", CASES)
def test_each_violation_of_rules_1_and_2_is_reported_and_nothing_else(name):
    """Guards against a missed late or duplicate execution, and against false reports of permitted retries."""
    expected, request, attempts = CASES[name]
    reported = rule_violations(Observations([request], attempts, request_classes=REQUEST_CLASSES))
    assert (reported == []) if not expected else (len(reported) == 1 and reported[0].startswith(expected)), (
        reported
    )


def test_draining_hosts_slow_start_and_ceilings_are_checked_over_all_gateways():
    """Guards against limits that are checked per gateway or without their slack.

    Rule 3 applies only to the gateway that was notified of the drain. The load of a warming host and the
    units under a ceiling add up over all gateways.
    """
    changes = [(9.0, frozenset()), (10.0, frozenset({"a"})), (14.0, frozenset())]
    lists = [WrittenList(*change) for change in changes]
    # In the first check gateway 0 is notified of the drain at 10 s, in the second gateway 1.
    for at_s, permitted in ((10.9, True), (11.2, False), (14.1, True)):
        request = ClientRequest(1, 0, 161, "read", 1.0, at_s, 1000.0, RequestOutcome.DONE, 100.0)
        reported = rule_violations(Observations([request], [attempt(at_s)], lists={0: lists}))
        assert (reported == []) is permitted and all(
            line.startswith("rule 3: task 1 of gateway/0") for line in reported
        )
        other_gateway_notified = Observations([request], [attempt(at_s)], lists={1: lists})
        assert rule_violations(other_gateway_notified) == []
    # The limit is 2 x 30 requests in the first second, plus the margin for random arrivals.
    start = HostStart("a", 20.0, 50.0)
    for count, permitted in ((60, True), (86, True), (90, False)):
        attempts = [HostAttempt(n, "a", 20.0 + n / 100, 20.1) for n in range(count)]
        reported = rule_violations(Observations([], attempts, starts=[start]))
        assert (reported == []) is permitted, (count, reported)
    # The ceiling is a burst of 22, 10 per second, a slack of 2 and what 150 ms yield: 45.5 in two seconds.
    for units, permitted in ((40, True), (60, False)):
        requests = [
            ClientRequest(n, n % 2, 161, "read", units / 40, 0.0, 6000.0, RequestOutcome.DONE, 5000.0)
            for n in range(40)
        ]
        attempts = [HostAttempt(n, "a", 2.0 + n / 20, 9.0) for n in range(40)]
        reported = rule_violations(Observations(requests, attempts, ceilings={161: Ceiling(10.0, 22.0, 2.0)}))
        assert (reported == []) is permitted, reported
    assert rule_violations(Observations([], [], unexpected_answers=2)) == ["rule 1: 2 answers to no task"]


ONE_GATEWAY_SCENARIO = """
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
def emulated_gateway(answer):
    """Run a gateway that answers as instructed, and yield its address.

    `answer(n)` returns the bytes that it writes for the nth request, and the delay in seconds.
    """
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve():
            connection, _ = server.accept()
            # The load generator ends the connection with a reset.
            with connection, connection.makefile("rb") as reader, suppress(OSError):
                count = 0
                while reader.readline():  # The header of an array; its items follow.
                    for _ in range(4):
                        size = int(reader.readline()[1:])
                        reader.read(size + 2)
                    reply, delay_s = answer(count)
                    time.sleep(delay_s)
                    connection.sendall(reply)
                    count += 1

        threading.Thread(target=serve, daemon=True).start()
        yield f"127.0.0.1:{server.getsockname()[1]}"


@mark.parametrize(
    ("answer", "expected"),
    [
        (lambda n: (b"$2\r\nok\r\n", 0), ""),
        (lambda n: (b"$2\r\nok\r\n" * (2 if n == 3 else 1), 0), "answers to no task"),
        (lambda n: (b"$2\r\nok\r\n", 0.4 if n == 3 else 0), "ms late"),
        (lambda n: (b"" if n == 30 else b"$2\r\nok\r\n", 0), "never answered"),
    ],
    ids=["correct", "answers twice", "answers late", "leaves one unanswered"],
)
def test_a_gateway_that_answers_twice_late_or_never_is_reported(answer, expected):
    """Guards against a load generator that drops or misattributes answers, so that rule 1 seems to hold."""
    with emulated_gateway(answer) as address:
        load = LoadGenerator(parse(ONE_GATEWAY_SCENARIO), [address])
        load.run(1.0)
        reported = violations(load)
        assert len(load.records) > 20
        assert (reported == []) if not expected else any(expected in line for line in reported), reported


@contextmanager
def closing_gateway():
    """Run a gateway that closes each connection at its first request, and yield its address."""
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve():
            with suppress(OSError):  # The server is shut down at the end.
                while True:
                    connection, _ = server.accept()
                    with connection:
                        connection.recv(1)

        thread = threading.Thread(target=serve)
        thread.start()
        try:
            yield f"127.0.0.1:{server.getsockname()[1]}"
        finally:
            server.shutdown(socket.SHUT_RDWR)
            thread.join()


@mark.parametrize(
    ("kills", "reported"),
    [
        ([Interval(0.0, inf)], False),
        ([Interval(0.0, 1.0)], True),
        ([], True),
    ],
    ids=["a killed process has not ended", "it has ended before", "none was killed"],
)
def test_requests_are_lost_unless_a_killed_process_closes_their_connections(kills, reported):
    """Guards against false reports: a killed process may accept connections until its last socket closes."""
    with closing_gateway() as address:
        load = LoadGenerator(parse(ONE_GATEWAY_SCENARIO), [address], kills_of=lambda gateway: kills)
        load.run(0.5)
        lost = [record for record in load.records if record.outcome == "lost" and record.gateway == 0]
        assert lost
        assert len(violations(load)) == (len(lost) if reported else 0)


def test_load_that_a_failed_test_left_running_is_stopped():
    """Guards against requests of a failed test that disturb the tests after it in the same process."""
    with emulated_gateway(lambda _: (b"$2\r\nok\r\n", 0)) as address:
        with raises(ZeroDivisionError), load_stopped_at_exit():
            load = LoadGenerator(parse(ONE_GATEWAY_SCENARIO), [address])
            load.start()
            assert load.running
            raise ZeroDivisionError
        assert not load.running and not load.has_open_requests()


FAULTS_SCENARIO = """
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
    FAULTS_SCENARIO += f'[[clients]]\ncustomer = {161 + number}\nproduct = "{product}"\nplan = "p"\n'
    FAULTS_SCENARIO += "rate = 40\nspread = 2\nleft_ms = 1500\n"


def test_all_rules_hold_under_faults_of_hosts_counter_discovery_and_gateways(tmp_path):
    """Guards against violations that only combined faults on real sockets bring about.

    Hosts stall, do not answer, reset connections, drain, are killed and slow down; the counter restarts, one
    gateway loses discovery, another restarts, and one is paused.
    """
    with GatewayCluster(parse(FAULTS_SCENARIO), tmp_path) as cluster:
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
        cluster.cut([0], "discovery")  # For longer than a watch may stay silent.
        cluster.restart(1)
        cluster.wait_until_ready(1)
        # All hosts of one zone slow down.
        for n in range(3):
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
        assert {"value", "half", "silent", "reset"} <= replies  # Some requests met the faults.
        lists = [written for discovery in cluster.discoveries for written in discovery.written_lists]
        assert any(written.unavailable for written in lists)
        assert any(host.starts for host in cluster.hosts)
