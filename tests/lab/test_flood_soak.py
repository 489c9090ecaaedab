"""The soak of CI: two gateways under steady load while bad clients flood them and hosts and the counter fail.

Guards against input of one client that holds the event loop of a gateway, and against floods whose commands
are lost. It is seeded; a long run is started by hand (docs/lab.md).
"""

from pathlib import Path
from random import Random

from command_reader import CommandReader
from pytest import raises

from granitedock.lab.load.flood_clients import FloodRecord, unserved_floods
from granitedock.lab.load.flood_input import COMMANDS, MALFORMED_VALUES, FloodInput, draw_flood
from granitedock.lab.scenario import ScenarioError, load, with_overrides
from granitedock.lab.scenario_runner import run_on_cluster

SOAK = Path(__file__).parents[2] / "docs" / "examples" / "flood-soak.toml"


def test_no_usual_client_and_no_flood_of_commands_goes_unserved_in_the_soak(tmp_path):
    lines = []
    assert run_on_cluster(load(SOAK), tmp_path, lines.append) == 0, "\n".join(lines)
    assert any(line.startswith("floods ") for line in lines)


def test_a_seed_draws_the_same_floods_of_every_kind():
    drawn = [draw_flood(random, 300) for random in [Random("5")] for _ in range(600)]
    again = [draw_flood(random, 300) for random in [Random("5")] for _ in range(600)]
    assert drawn == again and {flood.kind for flood in drawn} == {*COMMANDS, *MALFORMED_VALUES}
    assert {len(flood.pieces) > 1 for flood in drawn} == {True, False}


def test_a_flood_of_commands_has_as_many_as_it_is_owed_replies():
    random = Random("6")
    for flood in (draw_flood(random, 50) for _ in range(200)):
        reader = CommandReader()
        for piece in flood.pieces:
            reader.dataReceived(piece)
        # Some malformed values are no commands although they are valid RESP.
        assert flood.malformed or not reader.malformed_reason
        assert flood.malformed or len(reader.commands) == flood.replies


def test_a_flood_that_lacks_a_reply_an_error_or_a_close_is_reported():
    commands = FloodInput("ping", [b""], 2, False)
    malformed = FloodInput("integer", [b""], 0, True)
    records = [
        FloodRecord(0, commands, replies=2, finished=True),
        FloodRecord(0, commands, replies=1, rejected=True, finished=True),
        FloodRecord(1, malformed, rejected=True, finished=True),
        FloodRecord(1, malformed, finished=True),
        FloodRecord(1, malformed),
    ]
    assert unserved_floods(records) == [
        "flood of 'ping' at gateway/0: 1 of 2 replies, an error or close",
        "flood of 'integer' at gateway/1: 0 of 0 replies, no error or close",
    ]


def test_another_length_must_fit_the_expectations_and_the_timeline():
    assert with_overrides(load(SOAK), "soak", 900, 2).seed == 2
    with raises(ScenarioError, match=r"^soak: timeline\.1\.at_s: 25\.0 is not before length_s 20"):
        with_overrides(load(SOAK), "soak", 20, None)
