"""The state of outlier detection as plain values, under the keys that `granitedock hosts` reads."""

from __future__ import annotations

from typing import Any

from granitedock.outlier_detection.detector import OutlierDetector
from granitedock.outlier_detection.observations import ReceivedObservation


def outlier_report(detector: OutlierDetector, now: float) -> dict[str, Any]:
    """Return the HOSTS reply (`now` in ms of the detector's clock); see docs/outlier-detection.md."""
    hosts = {}
    for name, host in sorted(detector.hosts.items()):
        reason = detector.ejected.get(name)
        observations = detector.observations.by_host.get(name, {})
        hosts[name] = {
            "status": host.status.value,
            "state": getattr(host.health, "state", None),
            "out": reason.value if reason is not None else None,
            "ours_to_ask": detector.has_probe_turn(name, now) if reason is not None else None,
            "told": [_observation_report(received, now) for _, received in sorted(observations.items())],
        }
    return {
        "hosts": hosts,
        "set_apart": sorted(detector.distrusted),
        "counts": dict(detector.counts + detector.observations.counts),
    }


def _observation_report(received: ReceivedObservation, now: float) -> dict[str, Any]:
    observation = received.current(now)
    return {
        "by": observation.gateway,
        "age_ms": round(now - received.received_at),
        "failures": observation.failures,
        "failed_ms": observation.failure_age_ms,
        "answered_ms": observation.answer_age_ms,
        "timeouts": observation.timeouts,
        "full": observation.overloads,
        "pace_pct": observation.latency_percent,
        "out": observation.in_flight,
        "drains": observation.draining,
    }
