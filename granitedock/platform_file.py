"""The platform file, which the platform provides to a gateway: its fields, and how it is loaded.

A gateway loads it at the start and on SIGHUP. An error has the form `FILE: FIELD: REASON`. This module only
validates: it must never fill in a value, or make a decision that depends on one.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson

from granitedock.errors import GranitedockError
from granitedock.field_rules import (
    ADDRESS,
    BOOLEAN,
    HEX_SEED,
    NON_EMPTY_STRING,
    NON_NEGATIVE_NUMBER,
    OBJECT,
    OBJECT_LIST,
    OPTIONAL_ADDRESS,
    POSITIVE_NUMBER,
    WHOLE_NUMBER,
    list_errors,
    one_of,
    optional,
    record_errors,
    required,
)

MAX_REPORTED_ERRORS = 8


class PlatformFileError(GranitedockError, ValueError):
    """A platform file that a gateway cannot use; the text names the file and the rejected fields."""


CLASS_RULES = [
    *required(NON_EMPTY_STRING, "Name"),
    *required(one_of("safe", "keyed", "unsafe"), "Repeat"),
    *optional(one_of("all", "zone", "cell"), "DedupScope"),
    *required(POSITIVE_NUMBER, "TargetMs", "GiveUpMs"),
    *optional(NON_NEGATIVE_NUMBER, "WindowMs", "Worth", "LateWorth"),
    *optional(BOOLEAN, "Stream"),
]
PLAN_RULES = [
    *required(NON_EMPTY_STRING, "Name"),
    *optional(
        NON_NEGATIVE_NUMBER, "Refill", "MostAtOnce", "Concurrency", "WorthFactor", "OverWorth", "ExcessCost"
    ),
    *optional(NON_NEGATIVE_NUMBER, "CeilingRate", "CeilingBurst", "Tolerance"),
]
FILE_RULES = [
    *required(NON_EMPTY_STRING, "name"),
    *required(ADDRESS, "listen", "discovery"),
    *optional(OPTIONAL_ADDRESS, "counter"),
    *required(HEX_SEED, "seed"),
    *optional(OBJECT, "limits", "known"),
    *required(OBJECT, "settings"),
]
LIMIT_RULES = optional(POSITIVE_NUMBER, "memory_mb", "sockets")
SETTING_RULES = [
    *optional(WHOLE_NUMBER, "Me", "Balancers"),
    *required(OBJECT_LIST, "Lanes", "Tariffs"),
    *required(OBJECT, "Allowed", "Safety"),
    *optional(OBJECT, "Specifics"),
]
ALLOWED_RULES = [
    *optional(
        NON_NEGATIVE_NUMBER, "MaxAttempts", "MaxRetryAfterMs", "ConnIdleMs", "ConnectTimeoutMs", "MostHeld"
    ),
    *optional(BOOLEAN, "Cancel", "SecondCopies", "RetryAfter", "Probes", "MayTell"),
]
SAFETY_RULES = optional(
    NON_NEGATIVE_NUMBER, "ColdFrom", "ColdMs", "DrainGraceMs", "OverloadFactor", "TipAfterMs"
)
SPECIFIC_RULES = [*optional(NON_NEGATIVE_NUMBER, "MaxUnits"), *optional(BOOLEAN, "Counter", "TruedUp")]


def validation_errors(document: Any) -> list[str]:
    """Return the errors in the decoded file, each as `FIELD: REASON`; the list is empty if it is valid."""
    if type(document) is not dict:
        return ["(whole file): an object is wanted"]
    settings = document.get("settings")
    sections = settings if type(settings) is dict else {}
    return [
        *record_errors(document, FILE_RULES, ""),
        *record_errors(document.get("limits"), LIMIT_RULES, "limits."),
        *record_errors(settings, SETTING_RULES, "settings."),
        *list_errors(sections.get("Lanes"), CLASS_RULES, "settings.Lanes"),
        *list_errors(sections.get("Tariffs"), PLAN_RULES, "settings.Tariffs"),
        *record_errors(sections.get("Allowed"), ALLOWED_RULES, "settings.Allowed."),
        *record_errors(sections.get("Safety"), SAFETY_RULES, "settings.Safety."),
        *record_errors(sections.get("Specifics"), SPECIFIC_RULES, "settings.Specifics."),
    ]


def load(path: str | Path) -> dict[str, Any]:
    """Load and validate the file.

    Returns the decoded object, and raises PlatformFileError if the file cannot be read or is not valid.
    """
    try:
        document = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        message = f"{path}: cannot be read: {error.strerror}"
        raise PlatformFileError(message) from None
    except orjson.JSONDecodeError as error:
        message = f"{path}: not JSON: {error}"
        raise PlatformFileError(message) from None
    if errors := validation_errors(document):
        raise PlatformFileError(error_summary(path, errors))
    return document


def error_summary(path: str | Path, errors: list[str]) -> str:
    """Return one line with the first errors, each after the path, and the count of those left out."""
    summary = "; ".join(f"{path}: {error}" for error in errors[:MAX_REPORTED_ERRORS])
    if len(errors) > MAX_REPORTED_ERRORS:
        summary += f"; and {len(errors) - MAX_REPORTED_ERRORS} more"
    return summary
