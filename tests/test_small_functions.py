"""Examples of small functions, by module: what each gives for what (they stood in docstrings before)."""

import re

import pytest


def test_membership_broadcast_queue_transmit_limit():
    from granitedock.membership.broadcast_queue import transmit_limit

    assert (transmit_limit(2), transmit_limit(40), transmit_limit(1000)) == (10, 12, 15)


def test_membership_settings_may_talk():
    from granitedock.membership.settings import may_talk

    assert (may_talk({"Specifics": {"MailPerS": 40}}), may_talk({"Specifics": {}}), may_talk({})) == (
        True,
        False,
        False,
    )


def test_membership_settings_settings_checksum():
    from granitedock.membership.settings import settings_checksum

    assert settings_checksum({"Me": 1, "Balancers": 4}) == settings_checksum({"Balancers": 4, "Me": 2})


def test_membership_codec_decode():
    from granitedock.membership.codec import decode, encode
    from granitedock.membership.member import Member, MemberState
    from granitedock.membership.messages import Message, MessageKind

    me = Member("a", "127.0.0.1:7946", 5, 0, MemberState.ALIVE)
    assert decode("c", encode("c", Message(MessageKind.PING, me, 3, "b"))).word == "b"


def test_membership_codec_is_address():
    from granitedock.membership.codec import is_address

    assert [is_address(text) for text in ("127.0.0.1:7946", "127.0.0.1", "localhost:1", "1.2.3.4:70000")] == [
        True,
        False,
        False,
        False,
    ]


def test_lab_life_condition():
    from granitedock.lab.life import Fault, condition

    slow = Fault(at_s=20, what="slow", target="east", for_s=15, factor=6)
    assert [condition([slow], 0, ms).slower for ms in (19999, 20000, 35000)] == [1.0, 6.0, 1.0]


def test_lab_life_service_ms():
    from granitedock.lab.life import Random, Service, service_ms

    assert service_ms(Service(kind="fixed", mean_ms=12), Random(1)) == 12.0


def test_lab_load_frozen_s():
    from granitedock.lab.load import frozen_s

    assert frozen_s([[2.0, 5.0], [9.0, float("inf")]], 4.0, 10.0) == 2.0


def test_lab_rules_held():
    from granitedock.lab.rules import held

    assert held(
        [(1.0, frozenset()), (2.0, frozenset({"a"})), (3.0, frozenset({"a"})), (9.0, frozenset())]
    ) == {"a": [(2.0, 9.0)]}


def test_lab_rules_can():
    from granitedock.lab.rules import Start

    start = Start("east/0", 10.0, 100.0)
    assert (round(start.can(10.0, 11.0)), round(start.can(11.0, 12.0)), round(start.can(10.5, 11.5))) == (
        60,
        100,
        90,
    )


def test_lab_scenario_numbers():
    from granitedock.lab.scenario import numbers

    assert (
        numbers("gateway/0-2,5", 6),
        numbers("gateway/6", 6),
        numbers("gateway/", 6),
        numbers("east", 6),
    ) == ([0, 1, 2, 5], [], [], [])


def test_lab_scenario_target_kinds():
    from granitedock.lab.scenario import target_kinds

    assert (sorted(target_kinds("east/3", {"east": 4})), sorted(target_kinds("east/4", {"east": 4}))) == (
        ["host"],
        [],
    )


def test_lab_wires_arrivals():
    from granitedock.lab.wires import FINE, Fate, Random, arrivals

    assert (arrivals(Fate(cut=True), b"abc", Random(1)), arrivals(FINE, b"abc", Random(1))) == (
        [],
        [(0.0, b"abc")],
    )
    assert arrivals(Fate(twice=1, late_ms=5, short=1), b"abcd", Random(1)) == [(5.0, b"ab"), (5.0, b"ab")]


def test_metrics_figures():
    from granitedock.metrics import figures

    assert figures(b"done:7\r\ntasks_now:2\r\nbad line\r\nhalf:\r\n") == {"done": 7, "tasks_now": 2}


def test_model_canon_digest():
    from granitedock.model_checking.canon import digest

    a, b = [1, "x", {2: 3.0}], [1, "x", {2: 3.0}]
    assert (digest(a) == digest(b), digest(a) == digest([1, "x", {2: 3.5}])) == (True, False)


def test_ring_ring():
    from granitedock.rolling_window import RollingWindow

    ring = RollingWindow(800.0)
    ring.add(0.0, 30.0, 1.0)
    ring.add(700.0, 50.0, 1.0)
    assert (ring.sums(700.0), ring.sums(1400.0), ring.sums(1600.0)) == ((80.0, 2.0), (50.0, 1.0), (0, 0))
    assert ring.mean(700.0, 2.0, 20.0) == 30.0


def test_service_clients_read():
    from granitedock.service.client_protocol import Limits, read
    from granitedock.service.resp import command

    text = b"c=r,t=p,d=480,units=2,spread=3,first=1"
    words = [b"API.READ", b"00000000000000a1", b"9b1f03aa5c7e2d41", text]
    limits = Limits.told({"settings": {"Balancers": 4, "Lanes": []}})
    ask = read(words, command(*words).split(b"\r\n")[:-1], limits)
    assert (ask.request_class, ask.customer, ask.left_ms, ask.subset_size, ask.head, ask.tail) == (
        "r",
        161,
        480.0,
        3,
        b"c=r,t=p,d=",
        b",units=2,spread=3,first=1",
    )


def test_service_counter_amount():
    from granitedock.service.counter_protocol import amount

    assert (amount(2.0), amount(-2.5), amount(1e-09), amount(0.1 + 0.2)) == (b"2", b"-2.5", b"0", b"0.3")


def test_service_discovery_listing():
    from granitedock.service.discovery_protocol import EndpointStatus, Entry, listing

    instance = {"instanceId": "s-1", "hostPort": "127.0.0.1:1", "lifecycle": "terminating"}
    listed = listing({"generation": 4, "reset": True, "instances": [instance]})
    assert listed.entries[0] == Entry("s-1", "127.0.0.1:1", 1.0, "", "", 0, 0.0, EndpointStatus.DRAINING)


def test_service_hosts_figures():
    from granitedock.service.host_protocol import figures

    assert (figures(b"used=86,cost=3", 4.0), figures(None, 4.0), figures(86, 4.0), figures(b"?", 4.0)) == (
        (3.0, 86),
        (0.0, 0),
        (0.0, 86),
        (0.0, 0),
    )
    assert [figures(b"used=%b,cost=%b" % (it, it), 4.0) for it in (b"nan", b"inf", b"1_0", b"-1", b"9")] == [
        (0.0, 0),
        (0.0, 0),
        (0.0, 0),
        (0.0, 0),
        (0.0, 9),
    ]


def test_service_resp_bulk():
    from granitedock.service.resp import bulk

    assert bulk(b"ab") == b"$2\r\nab\r\n"


def test_service_resp_command():
    from granitedock.service.resp import command

    assert command(b"PING") == b"*1\r\n$4\r\nPING\r\n"


def test_service_resp_length():
    from granitedock.service.resp import length

    assert (length(b"16"), length(b"0"), length(b"016"), length(b"+1"), length(b"")) == (16, 0, -1, -1, -1)


def test_service_resp_whole():
    from granitedock.service.resp import whole

    assert whole([b"$2", b"ab"]) == b"$2\r\nab\r\n"


def test_shared_bound_detection_ms():
    from granitedock.quota_sharing.bound import Timing, detection_ms

    assert (detection_ms(Timing()), detection_ms(Timing(), 200) > 13300) == (9500.0, True)


def test_shared_bound_excess():
    from granitedock.quota_sharing.bound import Plan, Timing, excess

    plan = Plan("p", 0.04, 40, 0, 1, 0, 0, 0, 0, 0)
    assert excess(plan, 4, Timing(), 100.0).of(isolated=2) == 210.0


def test_shared_counts_merged():
    from granitedock.quota_sharing.counts import Row, merged

    row = Row("g1", 5, 161, 7, 1000, 3000, 1000)
    assert merged(row, Row("g1", 5, 161, 7, 1000, 2000, 2000)).paid == 2000


def test_shared_snapshot_unpack():
    from granitedock.quota_sharing.snapshot import Refused, Row, pack, unpack

    row = Row("g1", 5, 161, 7, 1000, 3000)
    assert unpack("g1", pack("g1", [row])) == [row]
    with pytest.raises(Refused, match=re.escape("torn: its checksum is another")):
        unpack("g1", pack("g1", [row])[:-1])


def test_shared_state_reserve():
    from granitedock.policy.types import Plan
    from granitedock.quota_sharing.state import SharedQuota, reserve

    quota = SharedQuota(Plan("p", 0.04, 40, 0, 1, 0, 0, 0, 0, 0), 0, 4, 2000.0)
    assert (reserve(quota, 5, 11000.0, 11500.0), reserve(quota, 5, 3000.0, 11500.0)) == (15.0, 15.0)


def test_tomlfile_line_of():
    from granitedock.toml_file import line_of

    text = "[fleet]\ngateways = 0\n[[clients]]\nrate = 1\n[[clients]]\nrate = -1\n"
    assert line_of(text, ("clients", 1, "rate")) == 6
