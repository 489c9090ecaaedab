"""Files in TOML, checked by pydantic: a fault is told as FILE:LINE: PATH: WHAT."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError


class Strict(BaseModel):
    """Guards against typing errors in a file: a key that is not known is a fault, not a silent default."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class FileError(ValueError):
    """A file that cannot be used; its text has a line for each fault, `FILE:LINE: PATH: WHAT`."""


Model = TypeVar("Model", bound=Strict)
Found = list[tuple[tuple, str]]


def read(path: str | Path, error: type[FileError] = FileError) -> str:
    """The file's text. Raises `error`."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as fault:
        raise error(f"{path}: cannot be read: {fault}") from None


def checked(
    text: str,
    name: str,
    model: type[Model],
    crossed: Callable[[Any], Found] = lambda _: [],
    error: type[FileError] = FileError,
) -> Model:
    """The model made of TOML text. `crossed` finds what each part allows alone but not with the others, as
    (path of keys, what is wrong); `name` stands for the file in errors. Raises `error`."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as fault:
        line = re.search(r"line (\d+)", str(fault))
        raise error(f"{name}:{line.group(1) if line else '?'}: not TOML: {fault}") from None
    try:
        made = model.model_validate(document)
    except ValidationError as faults:
        found = [(tuple(fault["loc"]), fault["msg"]) for fault in faults.errors()]
    else:
        found = crossed(made)
    if found:
        lines = []
        for loc, what in found:
            place = ".".join(str(part) for part in loc) or "(whole file)"
            lines.append(f"{name}:{line_of(text, loc)}: {place}: {what}")
        raise error("\n".join(lines))
    return made


def line_of(text: str, loc: tuple) -> int:
    """The line at which a path of keys stands in TOML text, as near as the text shows it: the key's own line,
    else that of the table or array entry that holds it, else 1."""
    rows = text.splitlines()
    start, end, table = 0, len(rows), ""
    for part in loc:
        if isinstance(part, int):
            headers = [
                n for n in range(start, end) if re.match(rf"\s*\[\[\s*{re.escape(table)}\s*\]\]", rows[n])
            ]
            if part < len(headers):
                start = headers[part] + 1
                nxt = [n for n in range(start, end) if re.match(r"\s*\[", rows[n])]
                end = nxt[0] if nxt else end
            continue
        table = f"{table}.{part}" if table else str(part)
        for n in range(start, end):
            if re.match(rf"\s*{re.escape(str(part))}\s*=", rows[n]):
                return n + 1
            if re.match(rf"\s*\[\[\s*{re.escape(table)}\s*\]\]", rows[n]):
                break  # an array of tables: the index that follows picks its entry
            if re.match(rf"\s*\[\s*{re.escape(table)}\s*\]", rows[n]):
                start = n + 1
                break
    return start if start else 1
