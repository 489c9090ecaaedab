"""Parsing of operators' changes: valid ones are accepted; a fault is reported with its source and field."""

import pytest
from configuration_helpers import CLASS, PLAN, change

from granitedock.configuration.change_codec import change_from_record, parse_change
from granitedock.configuration.document import Change
from granitedock.configuration.errors import ChangeRejectedError


@pytest.mark.parametrize(
    ("record", "fault"),
    [
        ([], "(whole change): expected an object"),
        (
            {"plans": {"upsert": [PLAN]}},
            "base: expected a non-negative integer (the version the change is based on)",
        ),
        (
            {"base": True, "plans": {"upsert": [PLAN]}},
            "base: expected a non-negative integer (the version the change is based on)",
        ),
        ({"base": 1}, "(whole change): expected at least one record to upsert or name to remove"),
        ({"base": 1, "plan": {}}, "plan: no such field"),
        ({"base": 1, "plans": []}, "plans: expected an object"),
        ({"base": 1, "plans": {"put": [PLAN]}}, "plans.put: no such field"),
        ({"base": 1, "plans": {"upsert": PLAN}}, "plans.upsert: expected a list of objects"),
        ({"base": 1, "plans": {"upsert": [PLAN | {"Refil": 1}]}}, "plans.upsert[0].Refil: no such field"),
        (
            {"base": 1, "plans": {"upsert": [PLAN | {"WindowMs": 1}]}},
            "plans.upsert[0].WindowMs: no such field",
        ),
        ({"base": 1, "plans": {"upsert": [{"Refill": 1}]}}, "plans.upsert[0].Name: missing"),
        (
            {"base": 1, "plans": {"upsert": [PLAN | {"Refill": -1}]}},
            "plans.upsert[0].Refill: a number from 0",
        ),
        (
            {"base": 1, "plans": {"upsert": [PLAN | {"Refill": "9"}]}},
            "plans.upsert[0].Refill: a number from 0",
        ),
        ({"base": 1, "plans": {"upsert": [PLAN, PLAN]}}, "plans: 'gold' is listed more than once"),
        (
            {"base": 1, "plans": {"upsert": [PLAN], "remove": ["gold"]}},
            "plans: 'gold' is listed more than once",
        ),
        ({"base": 1, "plans": {"remove": "gold"}}, "plans.remove: expected a list of non-empty names"),
        (
            {"base": 1, "classes": {"upsert": [CLASS | {"Repeat": "twice"}]}},
            "classes.upsert[0].Repeat: one of",
        ),
    ],
)
def test_an_invalid_change_is_rejected_whole_with_its_source_and_field(record, fault):
    with pytest.raises(ChangeRejectedError) as rejected:
        change_from_record(record, "new.json")
    assert any(line.startswith(f"new.json: {fault}") for line in rejected.value.faults), rejected.value.faults


def test_a_change_that_is_not_json_or_exceeds_the_size_limit_is_rejected(monkeypatch):
    with pytest.raises(ChangeRejectedError, match="new.json: .*not JSON"):
        parse_change(b"{", "new.json")
    monkeypatch.setattr("granitedock.configuration.change_codec.MAX_CHANGE_BYTES", 10)
    with pytest.raises(ChangeRejectedError, match="exceeds the limit of 10 bytes"):
        parse_change(b" " * 11, "new.json")


def test_a_parsed_change_has_its_base_and_edit():
    parsed = change(7, [PLAN], ["old"])
    assert isinstance(parsed, Change) and (parsed.base, len(parsed.edit)) == (7, 2)
