"""Validation rules for the fields of JSON objects; an error has the form `FIELD: REASON`.

These rules are used instead of pydantic because a serving gateway validates its platform file with them, and
importing pydantic there would cost each process 7 MB and each start 0.1 s. A rule accepts or rejects a value;
it must never fill one in.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from math import isfinite
from typing import Any

MAX_PORT = 65_535
MAX_SHOWN_VALUE_CHARACTERS = 60  # Error texts truncate a longer rejected value.

Predicate = Callable[[Any], bool]
match_hex_seed = re.compile(r"[0-9a-fA-F]{1,16}").fullmatch


@dataclass(frozen=True, slots=True)
class FieldType:
    """A type of value: its predicate, and the phrase for it in error texts."""

    accepts: Predicate
    expected: str


@dataclass(frozen=True, slots=True)
class FieldRule:
    """The rule for one field; a field that is not required may be absent or null."""

    name: str
    accepts: Predicate
    expected: str
    required: bool


def is_non_negative_number(value: Any) -> bool:
    """Return whether the value is a finite number of at least 0; a bool is not a number."""
    return type(value) in (int, float) and isfinite(value) and value >= 0


def is_positive_number(value: Any) -> bool:
    """Return whether the value is a finite number above 0; a bool is not a number."""
    return is_non_negative_number(value) and value > 0


def is_whole_number(value: Any) -> bool:
    """Return whether the value is a number of at least 0 without a fraction; 2.0 is accepted."""
    return is_non_negative_number(value) and value == int(value)


def is_non_empty_string(value: Any) -> bool:
    """Return whether the value is a string of at least one character."""
    return type(value) is str and value != ""


def is_address(value: Any) -> bool:
    """Return whether the value is a string of the form HOST:PORT."""
    if type(value) is not str:
        return False
    host, _, port = value.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT


def is_object(value: Any) -> bool:
    """Return whether the value is a JSON object."""
    return type(value) is dict


def is_list_of_objects(value: Any) -> bool:
    """Return whether the value is a list of JSON objects."""
    return type(value) is list and all(type(entry) is dict for entry in value)


OBJECT = FieldType(is_object, "an object")
OBJECT_LIST = FieldType(is_list_of_objects, "a list of objects")
BOOLEAN = FieldType(lambda value: type(value) is bool, "true or false")
NON_NEGATIVE_NUMBER = FieldType(is_non_negative_number, "a number from 0")
POSITIVE_NUMBER = FieldType(is_positive_number, "a number above 0")
WHOLE_NUMBER = FieldType(is_whole_number, "a whole number from 0")
NON_EMPTY_STRING = FieldType(is_non_empty_string, "a text")
ADDRESS = FieldType(is_address, "an address, HOST:PORT")
OPTIONAL_ADDRESS = FieldType(
    lambda value: value == "" or is_address(value), "an address, HOST:PORT, or empty"
)
HEX_SEED = FieldType(
    lambda value: type(value) is str and match_hex_seed(value) is not None, "1 to 16 hex digits"
)


def one_of(*values: str) -> FieldType:
    """Return the type whose values are these strings."""
    return FieldType(lambda value: value in values, "one of " + ", ".join(values))


def required(field_type: FieldType, *names: str) -> list[FieldRule]:
    """Return rules for fields of one type that must be present and not null."""
    return [FieldRule(name, field_type.accepts, field_type.expected, True) for name in names]


def optional(field_type: FieldType, *names: str) -> list[FieldRule]:
    """Return rules for fields of one type that may be absent or null."""
    return [FieldRule(name, field_type.accepts, field_type.expected, False) for name in names]


def record_errors(record: Any, rules: list[FieldRule], prefix: str) -> list[str]:
    """Return the errors in one object's fields, each as `FIELD: REASON`.

    `prefix` precedes each field's name. A value that is not an object has no errors here, because the rule of
    the enclosing field reports it.
    """
    if type(record) is not dict:
        return []
    errors = []
    for rule in rules:
        value = record.get(rule.name)
        if value is None:
            if rule.required:
                errors.append(f"{prefix}{rule.name}: missing; {rule.expected} is wanted")
        elif not rule.accepts(value):
            errors.append(
                f"{prefix}{rule.name}: {rule.expected} is wanted, not {value!r:.{MAX_SHOWN_VALUE_CHARACTERS}}"
            )
    return errors


def list_errors(records: Any, rules: list[FieldRule], prefix: str) -> list[str]:
    """Return the errors in the fields of each object of a list or, if there are none, its duplicate names.

    Each of the two checks makes one pass over the list. A value that is not a list of objects has no errors
    here, because the rule of the enclosing field reports it.
    """
    if not is_list_of_objects(records):
        return []
    errors = []
    for index, record in enumerate(records):
        errors += record_errors(record, rules, f"{prefix}[{index}].")
    return errors or duplicate_name_errors(records, prefix)


def duplicate_name_errors(records: list[dict[str, Any]], prefix: str) -> list[str]:
    """Return an error for each value of "Name" that more than one object has."""
    counts = Counter(record["Name"] for record in records)
    duplicates = sorted(name for name, count in counts.items() if count > 1)
    return [f"{prefix}[].Name: {name!r} stands twice" for name in duplicates]
