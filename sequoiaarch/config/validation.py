"""Validate documents and report all errors with their paths."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import json5
import msgspec
from pydantic import BaseModel, ConfigDict, ValidationError
from rapidfuzz import process

MIN_SIMILARITY = 70.0  # percent


class Options(BaseModel):
    """Base of all option classes; rejects unknown names."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """An error in a document: the path of the option and the reason."""

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path or '(document)'}: {self.reason}"


class InvalidDocument(Exception):
    """Raised with all problems of a document."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


OptionsT = TypeVar("OptionsT", bound=Options)


def parse_jsonc(text: str, source: str) -> Any:
    """Parse JSON text with comments; `source` names it in errors."""
    try:
        return json5.loads(text)
    except ValueError as error:
        raise InvalidDocument([Problem(path=source, reason=str(error))]) from None


def load_jsonc(path: Path) -> Any:
    """Parse a file of JSON with comments."""
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidDocument([Problem(path=str(path), reason=str(error))]) from None
    return parse_jsonc(text, str(path))


def validate(kind: type[OptionsT], value: Any, prefix: str = "") -> OptionsT:
    """Validate options of the kind; `prefix` is prepended to the paths of errors.

    Raises InvalidDocument with all problems.
    """
    try:
        return kind.model_validate(value)
    except ValidationError as error:
        problems = [_to_problem(kind, entry, prefix) for entry in error.errors()]
        raise InvalidDocument(problems) from None


def _to_problem(kind: type[BaseModel], entry: Any, prefix: str) -> Problem:
    location = entry["loc"]
    path = ".".join([prefix] * bool(prefix) + [str(part) for part in location])
    if entry["type"] == "extra_forbidden":
        return Problem(path=path, reason=_unknown_option_reason(kind, location))
    if entry["type"] == "missing":
        return Problem(path=path, reason="is missing; a value is required")
    given = repr(entry["input"])
    if len(given) > 60:
        given = given[:57] + "..."
    message = entry["msg"].removeprefix("Value error, ")
    return Problem(path=path, reason=f"{message}; given {given}")


def _unknown_option_reason(kind: type[BaseModel], location: tuple[Any, ...]) -> str:
    names = _option_names(kind, location[:-1])
    match = process.extractOne(str(location[-1]), names, score_cutoff=MIN_SIMILARITY)
    if match is not None:
        return f"is not an option; did you mean {match[0]!r}?"
    return f"is not an option; known are {', '.join(sorted(names))}"


def _option_names(kind: type[BaseModel], location: tuple[Any, ...]) -> list[str]:
    current: Any = kind
    for part in location:
        fields = getattr(current, "model_fields", {})
        if part not in fields:
            continue
        current = _find_model(fields[part].annotation)
    return list(getattr(current, "model_fields", {}))


def _find_model(annotation: Any) -> Any:
    if hasattr(annotation, "model_fields"):
        return annotation
    for argument in getattr(annotation, "__args__", ()):
        found = _find_model(argument)
        if found is not None:
            return found
    return None
