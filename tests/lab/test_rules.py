"""The rules from the outside: each break is told, what is allowed is not, and a broken gateway is caught."""

import socket
import threading
import time
from contextlib import contextmanager, suppress

from pytest import mark

from granitedock.lab.cluster.cluster import Rig
from granitedock.lab.load.generator import Load, broken, load_on
from granitedock.lab.load.rule_checks import Answer, Ceiling, Records, Seen, Start, check
from granitedock.lab.scenario import parse

REPEATS = {"read": ("safe", 0.0), "mark": ("keyed", 3000.0), "once": ("unsafe", 0.0)}


def answer(kind="done", took_ms=100.0, product="read", **more):
    return Answer(1, 0, 161, product, 1.0, 10.0, 1000.0, kind, took_ms, **more)


def seen(at_s, until_s=None, kind="value", host="a"):
    return Seen(1, host, at_s, at_s + 0.05 if until_s is None else until_s, kind)


RESET = [seen(10.1, kind="reset"), seen(10.2, host="b")]
CASES = {
    # name: (what is told, the answer, the forwards)
    "an answer in time": ("", answer(), [seen(10.0)]),
    "late": ("rule 1: task 1 at gateway/0 was answered 100 ms late", answer(took_ms=1100), []),
    "late by what its gateway was stopped": ("", answer(took_ms=4000, paused_s=3.0), []),
    "never answered": ("rule 1: task 1 at gateway/0 was never answered", answer("open", 0.0), []),
    "its gateway was killed": ("", answer("lost", 0.0, ended=True), [seen(10.0)]),
    "sent after its answer": ("rule 1: task 1 at gateway/0 was sent to a 300 ms", answer(), [seen(10.4)]),
    "two copies out": (
        "rule 2: task 1 (read) was out at a and b",
        answer(),
        [seen(10), seen(10.02, host="b")],
    ),
    "harmless, again": ("", answer(took_ms=300), RESET),
    "one-shot, again after it never ran": (
        "",
        answer(took_ms=300, product="once"),
        [seen(10.1, kind="busy"), seen(10.2)],
    ),
    "one-shot, again": (
        "rule 2: task 1 (once) may have run at a",
        answer(took_ms=300, product="once"),
        RESET,
    ),
    "one-shot, deferred": (
        "rule 2: task 1 (once) may have run at a and was deferred",
        answer("deferred", 200, "once"),
        RESET[:1],
    ),
    "one-shot, errored": ("", answer("errored", 200, "once"), RESET[:1]),
    "stamped, again in time": ("", answer(took_ms=300, product="mark"), RESET),
    "stamped, again too late": (
        "rule 2: task 1 (mark) may have run at a and was sent to b",
        answer(took_ms=3900, product="mark", paused_s=9.0),
        [seen(10.1, kind="reset"), seen(13.5, host="b")],
    ),
    "stamped, deferred in time": ("", answer("deferred", 300, "mark"), RESET),
}


@mark.parametrize("name", CASES)
def test_each_break_of_rules_1_and_2_is_told_and_nothing_else(name):
    told, said, forwards = CASES[name]
    found = check(Records([said], forwards, repeats=REPEATS))
    assert (found == []) if not told else (len(found) == 1 and found[0].startswith(told)), found


def test_drains_cold_hosts_and_ceilings_are_checked_over_all_gateways():
    lists = [(9.0, frozenset()), (10.0, frozenset({"a"})), (14.0, frozenset())]
    for at_s, kept in ((10.9, True), (11.2, False), (14.1, True)):
        one = Answer(1, 0, 161, "read", 1.0, at_s, 1000.0, "done", 100.0)
        found = check(Records([one], [seen(at_s)], told={0: lists}))
        assert (found == []) is kept and all(line.startswith("rule 3: task 1 of gateway/0") for line in found)
        assert check(Records([one], [seen(at_s)], told={1: lists})) == []  # another was told, not this one
    start = Start("a", 20.0, 50.0)  # bears 2 x 30 in its first second, and chance
    for count, kept in ((60, True), (86, True), (90, False)):
        came = [Seen(n, "a", 20.0 + n / 100, 20.1) for n in range(count)]
        found = check(Records([], came, starts=[start]))
        assert (found == []) is kept, (count, found)
    for units, kept in ((40, True), (60, False)):  # 10 at once, 10 a second and 2 beyond: 33.5 in two seconds
        said = [Answer(n, n % 2, 161, "read", units / 40, 0.0, 6000.0, "done", 5000.0) for n in range(40)]
        came = [Seen(n, "a", 2.0 + n / 20, 9.0) for n in range(40)]
        found = check(Records(said, came, ceilings={161: Ceiling(10.0, 22.0, 2.0)}))
        assert (found == []) is kept, found
    assert check(Records([], [], unasked=2)) == ["rule 1: 2 answers to no task"]


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
    """A gateway that is broken on purpose: `answers(n)` gives what it writes to its nth task, how late."""
    with socket.create_server(("127.0.0.1", 0)) as door:

        def serve():
            line, _ = door.accept()
            with line, line.makefile("rb") as said, suppress(OSError):  # until the load tool ends it
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
        yield f"127.0.0.1:{door.getsockname()[1]}"


@mark.parametrize(
    ("answers", "told"),
    [
        (lambda n: (b"$2\r\nok\r\n", 0), ""),
        (lambda n: (b"$2\r\nok\r\n" * (2 if n == 3 else 1), 0), "answers to no task"),
        (lambda n: (b"$2\r\nok\r\n", 0.4 if n == 3 else 0), "ms late"),
        (lambda n: (b"" if n == 30 else b"$2\r\nok\r\n", 0), "never answered"),
    ],
    ids=["sound", "answers twice", "answers late", "forgets one"],
)
def test_a_gateway_that_answers_twice_late_or_not_is_caught_by_the_load_tool(answers, told):
    with double(answers) as address:
        load = Load(parse(DOUBLE), [address])
        load.run(1.0)
        found = broken(load)
        assert len(load.rows) > 20
        assert (found == []) if not told else any(told in line for line in found), found


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
    with Rig(parse(HARD), tmp_path) as rig:
        rig.ready()
        load = load_on(rig)
        load.start()
        time.sleep(1.5)
        rig.host_fault("east/0", "half", for_s=2.0)
        rig.host_fault("east/1", "silent", for_s=2.0)
        rig.host_fault("west/0", "reset", for_s=3.0, rate=0.5)
        time.sleep(2.5)
        rig.host_fault("west/1", "drain", for_s=3.0)
        rig.host_fault("west/2", "kill", for_s=1.0)
        rig.counter_back(type(rig.counter.counts)())
        time.sleep(1.5)
        rig.cut([0], "discovery")  # for longer than a watch may be silent
        rig.restart(1)
        rig.ready(1)
        for n in range(3):  # a zone slows as a whole
            rig.host_fault(f"east/{n}", "slow", for_s=2.0, factor=20)
        time.sleep(4)
        rig.heal()
        rig.pause(0)
        time.sleep(0.5)
        rig.wake(0)
        time.sleep(2)
        rows = load.stop()
        assert broken(load, rig) == []
        done = [row for row in rows if row.kind == "done"]
        assert len(done) > 0.5 * len(rows) and {row.product for row in done} == {"read", "mark", "once"}
        kinds = {seen.kind for host in rig.hosts for seen in host.record}
        assert {"value", "half", "silent", "reset"} <= kinds  # the faults were met
        assert any(names for discovery in rig.discoveries for _, names in discovery.told)
        assert any(host.starts for host in rig.hosts)
