"""Outlier detection in one process: the verdicts, who probes, and the merge of observations."""

import time
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from pytest import raises

from granitedock.membership.codec import MAX_BYTES, decode, encode
from granitedock.membership.member import Member, MemberState
from granitedock.membership.messages import Message
from granitedock.membership_services import PAYLOAD_TYPES
from granitedock.outlier_detection.detector import OutlierDetector
from granitedock.outlier_detection.observations import HostObservation, Observations
from granitedock.outlier_detection.payload import HOST_PAYLOAD
from granitedock.outlier_detection.settings import OutlierDetectionSettings
from granitedock.policy.types import EndpointStatus, Host, Outcome


def detector_of(name="g0", live=("g0", "g1", "g2", "g3"), hosts=8):
    one = OutlierDetector(name, 1, OutlierDetectionSettings(), lambda: sorted(live))
    places = {f"h{n}": Host(zone="ab"[n % 2], name=f"h{n}", started_at=5.0) for n in range(hosts)}
    one.update_hosts(places, 0.0)
    return one, places


def observation(gateway, host="h0", number=1, failures=2, failed=100, answered=-1, started=5, **more):
    return HostObservation(gateway, 1, number, host, started, failures, failed, answered, **more)


def ejected(one, now, *observations):
    """The ejected hosts and why, in the words of the report, once `one` received these."""
    one.receive(observations, now)
    one.evaluated_at = float("-inf")
    one.update_verdicts(now)
    return {name: reason.value for name, reason in one.ejected.items()}


def test_a_host_is_ejected_by_several_fresh_negative_observations_that_outnumber_the_positive():
    one, places = detector_of()
    assert not ejected(one, 1000.0, observation("g1", failures=9))  # one cannot reach it: its own fault
    assert ejected(one, 1000.0, observation("g2", failures=1)) == {"h0": "failing"}
    assert not ejected(one, 8000.0)  # it expires
    one, places = detector_of()
    for_it = observation("g3", failures=0, failed=-1, answered=50)
    assert ejected(one, 1000.0, observation("g1"), observation("g2"), for_it) == {"h0": "failing"}
    one, places = detector_of(live=("g0", "g1", "g2", "g3", "g4"))
    assert not ejected(
        one,
        1000.0,
        observation("g1"),
        observation("g2"),
        for_it,
        observation("g4", failures=0, failed=-1, answered=50),
    )
    one, places = detector_of()
    one.attempt_finished(places["h0"], Outcome.DONE, 10.0, 1000.0, 900.0)
    assert not ejected(
        one, 1000.0, observation("g1"), observation("g2")
    )  # our own fresh answer outweighs them
    assert ejected(one, 3000.0) == {"h0": "failing"}
    one, places = detector_of()
    assert not ejected(
        one, 1000.0, observation("g1", started=4), observation("g2", started=4)
    )  # of the process before this one
    assert not ejected(one, 1000.0, observation("x1"), observation("x2"))  # not members


def test_the_limits_of_ejection_hold_whatever_is_observed():
    one, places = detector_of(live=[f"g{n}" for n in range(9)])
    received = [observation(f"g{n}", host) for n in range(1, 9) for host in ("h0", "h1", "h2")]
    assert len(ejected(one, 1000.0, *received)) <= 2 and len(one.distrusted) == 0
    received = [observation(f"g{n}", f"h{m}", number=2) for n in range(1, 9) for m in range(8)]
    assert (
        not ejected(one, 1000.0, *received) and len(one.distrusted) == 8
    )  # who speaks against all is distrusted
    two, places = detector_of(hosts=4)
    for name in ("h1", "h2", "h3"):
        places[name].zone = "b"
    assert "h0" not in ejected(two, 1000.0, observation("g1"), observation("g2"))  # the last of its zone


def test_live_members_probe_an_ejected_host_in_turn_and_never_with_a_risky_request():
    live = [f"g{n}" for n in range(4)]
    detectors = [detector_of(name, live) for name in live]
    probed_by = []
    for second in range(8):
        now = 100_000.0 + 1000 * second
        may = []
        for one, places in detectors:
            received = [observation(f"g{n}", number=second + 1) for n in range(4) if f"g{n}" != one.gateway]
            assert ejected(one, now, *received) == {"h0": "failing"}
            assert one.is_ejected(places["h0"], True, now)
            may += [one.gateway] * (not one.is_ejected(places["h0"], False, now))
        assert len(may) == 1
        probed_by += may
    assert sorted(probed_by) == sorted(live * 2)


def test_draining_is_broadcast_at_once_and_ends_when_the_host_is_ready_again():
    one, places = detector_of()
    other, others = detector_of("g1")
    others["h0"].status = EndpointStatus.DRAINING
    other.update_hosts(others, 1000.0)
    assert ejected(one, 1200.0, *other.broadcasts_due(9, 1100.0)) == {"h0": "draining"}
    assert one.is_ejected(places["h0"], False, 1200.0)
    others["h0"].status = EndpointStatus.READY
    other.update_hosts(others, 3000.0)
    assert not ejected(one, 3300.0, *other.broadcasts_due(9, 3200.0))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(0, 5)), max_size=40),
    st.integers(0, 9999),
)
def test_reordered_lost_and_duplicated_observations_end_in_the_same_state(steps, seed):
    same_state(steps, seed)


def same_state(steps, seed):
    sent, numbers = [], [0, 0, 0]
    for gateway, host, failures in steps:
        numbers[gateway] += 1
        sent.append(observation(f"g{gateway}", f"h{host}", numbers[gateway], failures))
    newest = {}
    for one in sent:
        newest[one.key()] = one
    chance, states = Random(seed), []
    for _ in range(2):
        reader = Observations("reader", 1, 100, 1e9)
        received = [one for one in sent if chance.random() < 0.6] * 2 + list(newest.values())
        chance.shuffle(received)
        for one in received:
            reader.merge(one, 0.0)
        states.append(
            {held.observation for by_gateway in reader.by_host.values() for held in by_gateway.values()}
        )
    assert states[0] == states[1] == set(newest.values())


def test_a_merge_in_which_the_last_to_come_wins_fails_the_same_check(monkeypatch):
    steps = [(0, 0, 1), (0, 0, 2), (0, 0, 3)]
    for seed in range(20):
        same_state(steps, seed)
    monkeypatch.setattr(HostObservation, "rank", lambda _: (0, time.perf_counter_ns()))
    with raises(AssertionError):
        for seed in range(20):
            same_state(steps, seed)


def test_the_older_observation_never_wins_and_datagrams_carry_observations_unchanged():
    new, old = observation("g1", number=2, failures=0), observation("g1", number=1)
    reader = Observations("reader", 1, 100, 1e9)
    assert (
        reader.merge(new, 0.0)
        and not reader.merge(old, 0.0)
        and reader.by_host["h0"]["g1"].observation == new
    )
    me = Member("n" * 64, "100.100.100.100:65535", 2**52, 2**31, MemberState.ALIVE, 7, 2**31)
    rows = tuple(
        HostObservation("n" * 20, 2**42, 2**31, "h" * 24, 2**42, 999, 2**31, 2**31, 999, 999, 9999, 999, True)
        for _ in range(10)
    )
    data = encode("c" * 32, Message(HOST_PAYLOAD.kind, me, 2**31, payload=rows), PAYLOAD_TYPES)
    assert len(data) <= MAX_BYTES and decode("c" * 32, data, PAYLOAD_TYPES).payload == rows
