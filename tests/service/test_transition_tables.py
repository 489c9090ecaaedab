"""Transition tables: each pair of a state and an event has a row, or a reason why the event is ignored.

Guards against an event that is lost without notice because its row was forgotten, against rows that name a
missing effect, and against counters that `INFO` does not list.
"""

import inspect
import types
from collections import Counter
from enum import Enum
from pathlib import Path

import pytest

from granitedock.service import (
    counter_connection,
    counter_connections,
    counter_names,
    discovery_watch,
    host_connection,
    host_connections,
    lifecycle,
)
from granitedock.service.dispatcher import HANDLERS
from granitedock.service.inputs import Input

INFO_COUNTERS = Path(__file__).parents[1] / "data" / "info_counters.txt"

# By name: a table, the pairs that it ignores, its states, its events, and the class whose methods are its
# effects.
TABLES = {
    "host connection": (
        host_connection.HOST_CONNECTION,
        host_connection.IGNORED,
        host_connection.HostConnectionState,
        host_connection.HostConnectionEvent,
        host_connections.HostConnections,
    ),
    "counter connection": (
        counter_connection.COUNTER_CONNECTION,
        counter_connection.IGNORED,
        counter_connection.CounterConnectionState,
        counter_connection.CounterConnectionEvent,
        counter_connections.CounterConnections,
    ),
    "watch": (
        discovery_watch.WATCH,
        discovery_watch.IGNORED,
        discovery_watch.WatchState,
        discovery_watch.WatchEvent,
        discovery_watch.DiscoveryWatch,
    ),
    "lifecycle": (
        lifecycle.LIFECYCLE,
        lifecycle.IGNORED,
        lifecycle.LifecycleState,
        lifecycle.LifecycleEvent,
        lifecycle.Lifecycle,
    ),
}


@pytest.mark.parametrize("name", TABLES)
def test_each_pair_of_a_state_and_an_event_has_one_row_or_one_reason_to_be_ignored(name):
    table, ignored, states, events, _ = TABLES[name]
    counts = Counter(list(table)) + Counter(pair for reason in ignored for pair in ignored[reason])
    all_pairs = {(state, event) for state in states for event in events}
    assert set(counts) == all_pairs
    assert not [pair for pair, count in counts.items() if count != 1]


@pytest.mark.parametrize("name", TABLES)
def test_each_row_names_a_state_and_a_method_of_the_state_machine(name):
    table, _, states, _, machine = TABLES[name]
    for state, effect in table.values():
        assert isinstance(state, states)
        assert effect is None or inspect.isfunction(getattr(machine, effect, None)), effect


@pytest.mark.parametrize("name", TABLES)
def test_each_state_is_reachable_and_each_event_has_a_row(name):
    table, _, states, events, _ = TABLES[name]
    initial = next(iter(states))
    assert {state for state, _ in table.values()} | {initial} == set(states)
    assert {event for _, event in table} == set(events)


def test_each_input_has_a_handler_and_a_unique_name():
    assert set(HANDLERS) == set(Input)
    assert all(isinstance(handler, types.FunctionType) for handler in HANDLERS.values())
    assert issubclass(Input, Enum) and len({input_kind.value for input_kind in Input}) == len(Input)


def test_info_lists_each_counter_of_the_state_machines():
    listed_names = INFO_COUNTERS.read_text().split()
    for constant, counter in vars(counter_names).items():
        if constant.endswith("_PREFIX"):
            assert any(name.startswith(counter) for name in listed_names), counter
        elif constant.isupper():
            assert counter in listed_names, counter
