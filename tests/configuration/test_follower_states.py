"""Transition table of a follower's connection: the expected row for each pair of state and event."""

import pytest

from granitedock.configuration.follower import Follower
from granitedock.configuration.follower_states import (
    TRANSITIONS,
    Connection,
    ConnectionEvent,
    ConnectionState,
)
from granitedock.state_table import advance

ABANDONING_ROWS = {
    ("dialling", "DISCONNECTED"): "try_next_address",
    ("asked", "DISCONNECTED"): "try_next_address",
    ("asked", "REJECTED"): "abort_and_try_next",
    ("asked", "TIMED_OUT"): "abort_and_try_next",
    ("following", "DISCONNECTED"): "try_next_address",
    ("following", "REJECTED"): "abort_and_try_next",
    ("following", "TIMED_OUT"): "abort_and_try_next",
    ("following", "BEHIND"): "abort_and_try_next",
    ("following", "RETURN_DUE"): "abort_and_try_first",
}
ROWS = {pair: ("gone", effect) for pair, effect in ABANDONING_ROWS.items()} | {
    ("closed", "CONNECT_DUE"): ("dialling", "connect"),
    ("dialling", "CONNECTED"): ("asked", None),
    ("asked", "LINE_RECEIVED"): ("following", None),
    ("gone", "CONNECTED"): ("gone", "abort"),
}


class Effects:
    """Records the effects that the table calls."""

    def __init__(self):
        self.called = []

    def __getattr__(self, name):
        return lambda connection: self.called.append(name)


@pytest.mark.parametrize("event", ConnectionEvent)
@pytest.mark.parametrize("state", ConnectionState)
def test_each_state_handles_each_event_as_in_the_table(state, event):
    connection, effects = Connection("a:1", state), Effects()
    advance(TRANSITIONS, connection, event, effects)
    after, effect = ROWS.get((state.value, event.name), (state.value, None))
    assert connection.state.value == after
    assert effects.called == ([effect] if effect else [])


def test_each_effect_of_the_table_is_a_method_of_the_follower():
    assert all(callable(getattr(Follower, effect)) for _, effect in TRANSITIONS.values() if effect)
