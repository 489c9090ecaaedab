"""Settings files in TOML, checked by pydantic; each error is reported as FILE:LINE: PATH: WHAT."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from granitedock.errors import GranitedockError

WHOLE_FILE = "(whole file)"  # stands for the path of an error that belongs to no key

KeyPath = tuple[int | str, ...]  # names of keys, and indexes of entries of arrays
FieldErrors = list[tuple[KeyPath, str]]  # (path, what is wrong)


class StrictModel(BaseModel):
    """Guards against typing errors in a file: an unknown key is an error, not a silent default."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TomlFileError(GranitedockError, ValueError):
    """A file that cannot be used; its text has a line for each error, `FILE:LINE: PATH: WHAT`."""


Model = TypeVar("Model", bound=StrictModel)


def no_cross_field_errors(_model: Any) -> FieldErrors:
    """For files whose fields don't depend on each other."""
    return []


def read_text(path: str | Path, error_type: type[TomlFileError] = TomlFileError) -> str:
    """The file's text. Raises `error_type`."""
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
    """The model made of TOML text. Raises `error_type`.

    `cross_field_errors` finds what each field allows alone but not together with the others; `name` stands
    for the file in errors.
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
    raise error_type("\n".join(error_line(text, name, path, what) for path, what in errors))


def parse_document(text: str, name: str, error_type: type[TomlFileError]) -> dict[str, Any]:
    """The document in TOML text. Raises `error_type`."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        line = re.search(r"line (\d+)", str(error))
        message = f"{name}:{line.group(1) if line else '?'}: not TOML: {error}"
        raise error_type(message) from None


def error_line(text: str, name: str, path: KeyPath, what: str) -> str:
    """`FILE:LINE: PATH: WHAT`."""
    place = ".".join(str(part) for part in path) or WHOLE_FILE
    return f"{name}:{line_of(text, path)}: {place}: {what}"


def line_of(text: str, path: KeyPath) -> int:
    """The line (from 1) at which a path of keys stands in TOML text, as near as the text shows it.

    It is the key's own line, else that of the table or array entry that holds it, else 1.
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
        for number in range(start, end):
            if re.match(rf"\s*{re.escape(part)}\s*=", lines[number]):
                return number + 1
            if is_array_header(lines[number], table):
                break  # the index that follows picks its entry
            if re.match(rf"\s*\[\s*{re.escape(table)}\s*\]", lines[number]):
                start = number + 1
                break
    return start if start else 1


def is_array_header(line: str, table: str) -> bool:
    """Whether the line is the header `[[table]]` of an entry of an array of tables."""
    return re.match(rf"\s*\[\[\s*{re.escape(table)}\s*\]\]", line) is not None


def entry_range(lines: list[str], start: int, end: int, table: str, index: int) -> tuple[int, int]:
    """The range of lines of one entry of an array of tables, within [start, end); unchanged without one."""
    headers = [number for number in range(start, end) if is_array_header(lines[number], table)]
    if index >= len(headers):
        return start, end
    start = headers[index] + 1
    next_header = next((number for number in range(start, end) if re.match(r"\s*\[", lines[number])), end)
    return start, next_header
