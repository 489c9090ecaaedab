"""Settings files in TOML, validated by pydantic; an error has the form `FILE:LINE: KEY: REASON`."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from granitedock.errors import GranitedockError

WHOLE_FILE = "(whole file)"  # Replaces the key in an error that belongs to no single key.

KeyPath = tuple[int | str, ...]  # Names of keys, and indexes of array entries.
FieldErrors = list[tuple[KeyPath, str]]  # (path of the key, reason)


class StrictModel(BaseModel):
    """A model that rejects unknown keys, because a mistyped key would silently leave a default in force."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TomlFileError(GranitedockError, ValueError):
    """A file that cannot be used; the text has one line, `FILE:LINE: KEY: REASON`, for each error."""


Model = TypeVar("Model", bound=StrictModel)


def no_cross_field_errors(_model: Any) -> FieldErrors:
    """Return no errors, for files whose fields do not depend on each other."""
    return []


def read_text(path: str | Path, error_type: type[TomlFileError] = TomlFileError) -> str:
    """Return the file's text; raises `error_type` if the file cannot be read or is not UTF-8."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        message = f"{path}: cannot be read: {error}"
        raise error_type(message) from None


def parse(
    text: str,
    name: str,
    model: type[Model],
    cross_field_errors: Callable[[Any], FieldErrors] = no_cross_field_errors,
    error_type: type[TomlFileError] = TomlFileError,
) -> Model:
    """Parse TOML text into a model.

    `name` is the file's name in error texts. `cross_field_errors` returns the errors of values that are valid
    on their own and not in combination. Raises `error_type` with a line for each error.
    """
    document = parse_document(text, name, error_type)
    try:
        parsed = model.model_validate(document)
    except ValidationError as error:
        errors = [(tuple(detail["loc"]), detail["msg"]) for detail in error.errors()]
    else:
        errors = cross_field_errors(parsed)
        if not errors:
            return parsed
    raise error_type("\n".join(error_line(text, name, path, reason) for path, reason in errors))


def parse_document(text: str, name: str, error_type: type[TomlFileError]) -> dict[str, Any]:
    """Parse TOML text into a dictionary; raises `error_type` if the text is not TOML."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        line_match = re.search(r"line (\d+)", str(error))
        message = f"{name}:{line_match.group(1) if line_match else '?'}: not TOML: {error}"
        raise error_type(message) from None


def error_line(text: str, name: str, path: KeyPath, reason: str) -> str:
    """Return one error as `FILE:LINE: KEY: REASON`."""
    key = ".".join(str(part) for part in path) or WHOLE_FILE
    return f"{name}:{line_of(text, path)}: {key}: {reason}"


def line_of(text: str, path: KeyPath) -> int:
    """Return the number, from 1, of the line in TOML text that is nearest to a key.

    This is the key's own line if there is one, else the header of the table or array entry that contains the
    key, else line 1.
    """
    lines = text.splitlines()
    start = 0
    end = len(lines)
    table = ""
    for part in path:
        if isinstance(part, int):
            start, end = entry_range(lines, start, end, table, part)
            continue
        table = f"{table}.{part}" if table else part
        for index in range(start, end):
            if re.match(rf"\s*{re.escape(part)}\s*=", lines[index]):
                return index + 1
            if is_array_header(lines[index], table):
                break  # The next part of the path is the index that selects the array entry.
            if re.match(rf"\s*\[\s*{re.escape(table)}\s*\]", lines[index]):
                start = index + 1
                break
    return start if start else 1


def is_array_header(line: str, table: str) -> bool:
    """Return whether the line is the header `[[table]]` of an entry of an array of tables."""
    return re.match(rf"\s*\[\[\s*{re.escape(table)}\s*\]\]", line) is not None


def entry_range(lines: list[str], start: int, end: int, table: str, index: int) -> tuple[int, int]:
    """Return the range of lines of one entry of an array of tables within [start, end).

    The range is unchanged if there is no entry with this index.
    """
    headers = [line_index for line_index in range(start, end) if is_array_header(lines[line_index], table)]
    if index >= len(headers):
        return start, end
    start = headers[index] + 1
    next_header = next(
        (line_index for line_index in range(start, end) if re.match(r"\s*\[", lines[line_index])), end
    )
    return start, next_header
