"""A seeded soak in CI: clients that leave before their answer, by a close or a reset, behind a crowd.

Guards against attempts that begin after their client has gone, also where it left before its connection was
accepted (docs/incidents/2026-12-06-clients-gone-before-the-accept.md). A long run by hand:
`python -m granitedock.lab.soak 1 50 FOLDER departures`.
"""

import pytest

from granitedock.lab.soak.__main__ import main, parse_arguments
from granitedock.lab.soak.abuse import Abuse
from granitedock.lab.soak.departure_story import LEAVERS, draw_departure_story
from granitedock.lab.soak.player import play_story


@pytest.mark.parametrize("seed", [1, 3, 4])
def test_no_attempt_begins_for_clients_that_left_behind_a_crowd(tmp_path, seed):
    result = play_story(draw_departure_story(seed), tmp_path)
    assert not result.violations, result.line()
    assert result.outcomes["done"]


def test_a_seed_draws_the_same_departures_and_the_seeds_cover_every_way_to_leave():
    stories = [draw_departure_story(seed) for seed in range(1, 51)]
    assert stories == [draw_departure_story(seed) for seed in range(1, 51)]
    assert {run.abuse for story in stories for run in story.abuses} == {Abuse.IDLE, *LEAVERS}
    assert {bool(story.signals) for story in stories} == {True, False}


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["1"], "arguments: '1' is not FIRST LAST FOLDER [KIND]"),
        (["x", "2", "f"], "FIRST: 'x' is not a whole number from 0 on"),
        (["3", "2", "f"], "LAST: '2' is not at least FIRST, 3"),
        (["1", "2", "f", "storms"], "KIND: 'storms' is not overload or departures"),
    ],
)
def test_a_wrong_argument_of_the_soak_is_named(capsys, arguments, message):
    assert main(arguments) == 2
    assert capsys.readouterr().err == message + "\n"


def test_the_soak_plays_overload_unless_departures_are_named():
    assert parse_arguments(["1", "2", "f"]).draw(1) == parse_arguments(["1", "2", "f", "overload"]).draw(1)
    assert parse_arguments(["1", "1", "f", "departures"]).draw(1) == draw_departure_story(1)
