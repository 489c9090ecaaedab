"""Each pair of a state and an event has a row in its table, or a reason why it changes nothing."""

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

COUNTERS = Path(__file__).parents[1] / "data" / "info_counters.txt"

# A table, the pairs it leaves out, its states and events, and the class whose methods are its effects.
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
def test_each_pair_of_a_state_and_an_event_stands_once_in_the_table_or_among_the_ignored(name):
    table, ignored, states, events, _ = TABLES[name]
    found = Counter(list(table)) + Counter(pair for reason in ignored for pair in ignored[reason])
    wanted = {(state, event) for state in states for event in events}
    assert set(found) == wanted
    assert not [pair for pair, times in found.items() if times != 1]


@pytest.mark.parametrize("name", TABLES)
def test_each_row_leads_to_a_state_and_each_effect_is_a_method_of_the_machine(name):
    table, _, states, _, machine = TABLES[name]
    for state, effect in table.values():
        assert isinstance(state, states)
        assert effect is None or inspect.isfunction(getattr(machine, effect, None)), effect


@pytest.mark.parametrize("name", TABLES)
def test_each_state_can_be_reached_and_each_event_changes_something_somewhere(name):
    table, _, states, events, _ = TABLES[name]
    first = next(iter(states))
    assert {state for state, _ in table.values()} | {first} == set(states)
    assert {event for _, event in table} == set(events)


def test_each_input_has_one_handler_and_a_name_of_its_own_in_the_event_log():
    assert set(HANDLERS) == set(Input)
    assert all(isinstance(handler, types.FunctionType) for handler in HANDLERS.values())
    assert issubclass(Input, Enum) and len({happened.value for happened in Input}) == len(Input)


def test_each_counter_that_the_state_machines_keep_is_one_that_info_lists():
    listed = COUNTERS.read_text().split()
    for constant, counter in vars(counter_names).items():
        if constant.endswith("_PREFIX"):
            assert any(name.startswith(counter) for name in listed), counter
        elif constant.isupper():
            assert counter in listed, counter
