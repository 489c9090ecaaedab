"""A seeded soak in CI: real gateways with small limits, abusive clients, crowds and signals in series.

Guards against late or lost answers, attempts for departed clients and memory over the limit. Clients use
their open connections until the SIGKILL, which comes as early as the platform's terms allow. A long run
by hand: `python -m granitedock.lab.soak 1 50 FOLDER`.
"""

import pytest

from granitedock.lab.soak.abuse import Abuse, AbuseSource
from granitedock.lab.soak.player import play_story
from granitedock.lab.soak.story import CROWDS, FLOODS, KILL_AFTER_S, draw_story
from granitedock.service.parsed_request import MAX_FIELDS


@pytest.mark.parametrize("seed", [1, 3, 4, 6])
def test_rules_and_limits_hold_beside_abusive_clients_and_signals(tmp_path, seed):
    result = play_story(draw_story(seed), tmp_path)
    assert not result.violations, result.line()
    assert result.outcomes["done"]


def test_a_seed_draws_the_same_story_and_the_seeds_cover_every_abuse():
    stories = [draw_story(seed) for seed in range(1, 51)]
    assert stories == [draw_story(seed) for seed in range(1, 51)]
    assert {run.abuse for story in stories for run in story.abuses} == {*FLOODS, *CROWDS}
    for story in stories:
        at_s = {entry.number.name: entry.at_s for entry in reversed(story.signals)}
        assert at_s["SIGKILL"] - at_s["SIGTERM"] == pytest.approx(KILL_AFTER_S)


def test_a_source_sends_new_ids_and_what_its_kind_says():
    source = AbuseSource(3, "seed")
    first, second = (next(source.pieces(Abuse.SMALL_REQUEST)) for _ in range(2))
    assert first.data != second.data and first.data.count(b"API.READ") == second.data.count(b"API.READ")
    assert len({*first.request_ids, *second.request_ids}) == 2 * first.data.count(b"API.READ")
    assert next(source.pieces(Abuse.MANY_FIELDS)).data.count(b",") > MAX_FIELDS
    assert list(source.pieces(Abuse.IDLE)) == []
    whole = b"".join(piece.data for piece in source.pieces(Abuse.SLOW_BODY))
    assert whole.startswith(b"*5\r\n") and whole.endswith(b"\r\n")
