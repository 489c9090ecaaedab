"""Converts changes and edits from and to the JSON objects that operators write. No I/O.

    {"base": 7, "plans": {"upsert": [{"Name": "gold", "Refill": 50, ...}], "remove": ["old"]},
     "classes": {"upsert": [...], "remove": [...]}}

A fault rejects the whole change and is reported as SOURCE: FIELD: REASON (`change_validation.py`).
"""

from __future__ import annotations

from typing import Any

import orjson

from granitedock.configuration.change_validation import change_faults
from granitedock.configuration.document import Change, Edit, Record, Section
from granitedock.configuration.errors import ChangeRejectedError
from granitedock.platform_file import CLASS_RULES, PLAN_RULES

MAX_CHANGE_BYTES = 16 * 1024 * 1024
PLATFORM_SECTIONS = {Section.PLANS: ("Tariffs", PLAN_RULES), Section.CLASSES: ("Lanes", CLASS_RULES)}
"""The key of each section in the settings of a platform file, and the rules of its records."""


def without_nulls(record: Record) -> Record:
    """Return the record without null fields, which mean the same as absent fields."""
    return {name: value for name, value in record.items() if value is not None}


def edit_from_record(record: Record) -> Edit:
    """Return the edit in an object that has the form of a change."""
    upserts: dict[Section, tuple[Record, ...]] = {}
    removals: dict[Section, tuple[str, ...]] = {}
    for section in Section:
        part = record.get(section.value, {})
        if records := part.get("upsert"):
            upserts[section] = tuple(records)
        if names := part.get("remove"):
            removals[section] = tuple(names)
    return Edit(upserts, removals)


def edit_to_record(edit: Edit) -> Record:
    """Return the edit in the form of a change, without its base."""
    record: Record = {}
    for section in Section:
        part: Record = {}
        if records := edit.upserts.get(section):
            part["upsert"] = list(records)
        if names := edit.removals.get(section):
            part["remove"] = list(names)
        if part:
            record[section.value] = part
    return record


def change_from_record(record: Any, source: str) -> Change:
    """Return the change in a JSON value; `source` names the file or address that it came from.

    Raises ChangeRejectedError for an invalid change.
    """
    if faults := change_faults(record):
        raise ChangeRejectedError(source, faults)
    edit = edit_from_record(record)
    upserts = {section: tuple(map(without_nulls, records)) for section, records in edit.upserts.items()}
    return Change(record["base"], Edit(upserts, edit.removals))


def parse_change(data: bytes, source: str) -> Change:
    """Return the change in JSON text. Raises ChangeRejectedError for an oversized or invalid one."""
    if len(data) > MAX_CHANGE_BYTES:
        raise ChangeRejectedError(
            source, [f"(whole change): exceeds the limit of {MAX_CHANGE_BYTES:,} bytes"]
        )
    try:
        return change_from_record(orjson.loads(data), source)
    except orjson.JSONDecodeError as fault:
        raise ChangeRejectedError(source, [f"(whole change): not JSON: {fault}"]) from None


def edit_from_platform_settings(settings: Record) -> Edit:
    """Return all plans and classes in the `settings` of a platform file as upserts."""
    upserts: dict[Section, tuple[Record, ...]] = {}
    for section, (key, rules) in PLATFORM_SECTIONS.items():
        known = {rule.name for rule in rules}
        upserts[section] = tuple(
            {name: value for name, value in record.items() if name in known and value is not None}
            for record in settings[key]
        )
    return Edit(upserts)
