"""Tests of every pair of a state and an event in the policy's tables: a usable row, or none."""

from itertools import product
from types import SimpleNamespace

import pytest

from granitedock.policy.circuit_breaker import BREAKER, CircuitBreaker
from granitedock.policy.gateway import Gateway
from granitedock.policy.host_health import HOST
from granitedock.policy.outlier_ejection import OutlierEjection
from granitedock.policy.request_lifecycle import REQUEST
from granitedock.policy.states import (
    BreakerEvent,
    BreakerState,
    HostEvent,
    HostState,
    RequestEvent,
    RequestState,
)
from granitedock.state_table import advance

TABLES = {
    "request": (REQUEST, RequestState, RequestEvent, Gateway),
    "breaker": (BREAKER, BreakerState, BreakerEvent, CircuitBreaker),
    "host": (HOST, HostState, HostEvent, OutlierEjection),
}


@pytest.mark.parametrize("name", TABLES)
def test_each_pair_follows_its_row_and_a_pair_without_one_changes_nothing(name):
    """A row with the wrong method name fails only when its event occurs, so every row is followed here."""
    table, states, events, owner = TABLES[name]
    assert set(table) <= set(product(states, events))
    for state, event in product(states, events):
        machine, called = SimpleNamespace(state=state), []
        next_state, effect = table.get((state, event), (state, None))
        effects = SimpleNamespace(**({effect: called.append} if effect else {}))
        advance(table, machine, event, effects)
        assert machine.state is next_state
        assert called == ([machine] if effect else [])
        assert effect is None or callable(getattr(owner, effect))


@pytest.mark.parametrize("name", TABLES)
def test_each_state_is_reachable_and_each_event_has_a_row(name):
    table, states, events, _ = TABLES[name]
    initial = next(iter(states))
    assert {next_state for next_state, _ in table.values()} | {initial} == set(states)
    assert {event for _, event in table} == set(events)
