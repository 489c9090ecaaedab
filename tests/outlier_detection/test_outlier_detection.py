"""Outlier detection in one process: the verdicts, the probe turns, and the merge of observations.

The tests guard against the ejection of healthy hosts and against requests to failing or draining ones.
"""

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
    detector = OutlierDetector(name, 1, OutlierDetectionSettings(), lambda: sorted(live))
    hosts_by_name = {f"h{n}": Host(zone="ab"[n % 2], name=f"h{n}", started_at=5.0) for n in range(hosts)}
    detector.update_hosts(hosts_by_name, 0.0)
    return detector, hosts_by_name


def observation(gateway, host="h0", sequence=1, failures=2, failed=100, answered=-1, started=5, **fields):
    return HostObservation(gateway, 1, sequence, host, started, failures, failed, answered, **fields)


def ejected(detector, now, *observations):
    """Return the ejected hosts and the reasons, as in the report, after these observations."""
    detector.receive(observations, now)
    detector.evaluated_at = float("-inf")
    detector.update_verdicts(now)
    return {name: reason.value for name, reason in detector.ejected.items()}


def test_a_host_is_ejected_by_several_fresh_negative_observations_that_outnumber_the_positive():
    detector, hosts_by_name = detector_of()
    # A failure at one gateway only is likely to be that gateway's own.
    assert not ejected(detector, 1000.0, observation("g1", failures=9))
    assert ejected(detector, 1000.0, observation("g2", failures=1)) == {"h0": "failing"}
    assert not ejected(detector, 8000.0)  # The observations have expired.
    detector, hosts_by_name = detector_of()
    positive = observation("g3", failures=0, failed=-1, answered=50)
    assert ejected(detector, 1000.0, observation("g1"), observation("g2"), positive) == {"h0": "failing"}
    detector, hosts_by_name = detector_of(live=("g0", "g1", "g2", "g3", "g4"))
    assert not ejected(
        detector,
        1000.0,
        observation("g1"),
        observation("g2"),
        positive,
        observation("g4", failures=0, failed=-1, answered=50),
    )
    detector, hosts_by_name = detector_of()
    detector.attempt_finished(hosts_by_name["h0"], Outcome.DONE, 10.0, 1000.0, 900.0)
    # A fresh answer to this gateway outweighs the observations.
    assert not ejected(detector, 1000.0, observation("g1"), observation("g2"))
    assert ejected(detector, 3000.0) == {"h0": "failing"}
    detector, hosts_by_name = detector_of()
    # Observations of the host's previous process do not count.
    assert not ejected(detector, 1000.0, observation("g1", started=4), observation("g2", started=4))
    assert not ejected(detector, 1000.0, observation("x1"), observation("x2"))  # Not members.


def test_an_attempt_at_the_process_before_a_restart_is_no_observation_of_the_one_after_it():
    """Guards against the ejection of a healthy process for failures of the one that it has replaced."""
    detector, hosts_by_name = detector_of()
    before, after = hosts_by_name["h0"], Host(zone="a", name="h0", started_at=6.0)
    for _ in range(3):
        detector.attempt_started(before)
    detector.update_hosts(hosts_by_name | {"h0": after}, 10.0)
    detector.attempt_started(after)
    for _ in range(3):
        detector.attempt_finished(before, Outcome.RESET, 10.0, 1000.0, 20.0)
    statistics = detector.statistics["h0"]
    assert statistics.host_started_at == 6.0 and statistics.in_flight == 1 and not statistics.failures
    assert detector.observations.local_observation("h0") is None  # Nothing is published for others.


def test_the_limits_of_ejection_hold_whatever_is_observed():
    """Guards against observations that eject so many hosts that the rest, or a zone, lacks capacity."""
    detector, hosts_by_name = detector_of(live=[f"g{n}" for n in range(9)])
    received = [observation(f"g{n}", host) for n in range(1, 9) for host in ("h0", "h1", "h2")]
    assert len(ejected(detector, 1000.0, *received)) <= 2 and len(detector.distrusted) == 0
    received = [observation(f"g{n}", f"h{m}", sequence=2) for n in range(1, 9) for m in range(8)]
    # Gateways with negative observations of all hosts are distrusted.
    assert not ejected(detector, 1000.0, *received) and len(detector.distrusted) == 8
    small_detector, hosts_by_name = detector_of(hosts=4)
    for name in ("h1", "h2", "h3"):
        hosts_by_name[name].zone = "b"
    # The last host of a zone is never ejected.
    assert "h0" not in ejected(small_detector, 1000.0, observation("g1"), observation("g2"))


def test_live_members_probe_an_ejected_host_in_turn_and_never_with_a_non_idempotent_request():
    live = [f"g{n}" for n in range(4)]
    detectors = [detector_of(name, live) for name in live]
    probed_by = []
    for second in range(8):
        now = 100_000.0 + 1000 * second
        probing_gateways = []
        for detector, hosts_by_name in detectors:
            received = [
                observation(f"g{n}", sequence=second + 1) for n in range(4) if f"g{n}" != detector.gateway
            ]
            assert ejected(detector, now, *received) == {"h0": "failing"}
            assert detector.is_ejected(hosts_by_name["h0"], True, now)
            probing_gateways += [detector.gateway] * (
                not detector.is_ejected(hosts_by_name["h0"], False, now)
            )
        assert len(probing_gateways) == 1
        probed_by += probing_gateways
    assert sorted(probed_by) == sorted(live * 2)


def test_draining_is_broadcast_at_once_and_ends_when_the_host_is_ready_again():
    detector, hosts_by_name = detector_of()
    other_detector, other_hosts = detector_of("g1")
    other_hosts["h0"].status = EndpointStatus.DRAINING
    other_detector.update_hosts(other_hosts, 1000.0)
    assert ejected(detector, 1200.0, *other_detector.broadcasts_due(9, 1100.0)) == {"h0": "draining"}
    assert detector.is_ejected(hosts_by_name["h0"], False, 1200.0)
    other_hosts["h0"].status = EndpointStatus.READY
    other_detector.update_hosts(other_hosts, 3000.0)
    assert not ejected(detector, 3300.0, *other_detector.broadcasts_due(9, 3200.0))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(0, 5)), max_size=40),
    st.integers(0, 9999),
)
def test_reordered_lost_and_duplicated_observations_end_in_the_same_state(steps, seed):
    check_same_state(steps, seed)


def check_same_state(steps, seed):
    sent, sequences = [], [0, 0, 0]
    for gateway, host, failures in steps:
        sequences[gateway] += 1
        sent.append(observation(f"g{gateway}", f"h{host}", sequences[gateway], failures))
    newest = {}
    for sent_observation in sent:
        newest[sent_observation.key()] = sent_observation
    random, states = Random(seed), []
    for _ in range(2):
        reader = Observations("reader", 1, 100, 1e9)
        received = [sent_observation for sent_observation in sent if random.random() < 0.6] * 2 + list(
            newest.values()
        )
        random.shuffle(received)
        for received_observation in received:
            reader.merge(received_observation, 0.0)
        states.append(
            {stored.observation for by_gateway in reader.by_host.values() for stored in by_gateway.values()}
        )
    assert states[0] == states[1] == set(newest.values())


def test_a_merge_by_order_of_arrival_fails_the_same_check(monkeypatch):
    """Guards against a check that passes for a merge that depends on the order of arrival."""
    steps = [(0, 0, 1), (0, 0, 2), (0, 0, 3)]
    for seed in range(20):
        check_same_state(steps, seed)
    monkeypatch.setattr(HostObservation, "rank", lambda _: (0, time.perf_counter_ns()))
    with raises(AssertionError):
        for seed in range(20):
            check_same_state(steps, seed)


def test_the_older_observation_never_wins_and_datagrams_carry_observations_unchanged():
    newer, older = observation("g1", sequence=2, failures=0), observation("g1", sequence=1)
    reader = Observations("reader", 1, 100, 1e9)
    assert (
        reader.merge(newer, 0.0)
        and not reader.merge(older, 0.0)
        and reader.by_host["h0"]["g1"].observation == newer
    )
    sender = Member("n" * 64, "100.100.100.100:65535", 2**52, 2**31, MemberState.ALIVE, 7, 2**31)
    rows = tuple(
        HostObservation("n" * 20, 2**42, 2**31, "h" * 24, 2**42, 999, 2**31, 2**31, 999, 999, 9999, 999, True)
        for _ in range(10)
    )
    data = encode("c" * 32, Message(HOST_PAYLOAD.kind, sender, 2**31, payload=rows), PAYLOAD_TYPES)
    assert len(data) <= MAX_BYTES and decode("c" * 32, data, PAYLOAD_TYPES).payload == rows
