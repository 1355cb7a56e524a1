"""Schema types for settings documents, and validation that reports all faults in one pass."""

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from siskinspoke.core.checks import Fault

REQUIRED = object()

NAME_PATTERN = r"[a-z0-9][a-z0-9-]{0,62}"


@dataclass(frozen=True)
class Integer:
    """An integer within bounds."""

    low: int
    high: int
    default: Any = REQUIRED
    doc: str = ""


@dataclass(frozen=True)
class Number:
    """A real number within bounds."""

    low: float
    high: float
    default: Any = REQUIRED
    doc: str = ""


@dataclass(frozen=True)
class Text:
    """A string that matches a pattern in full."""

    pattern: str = r".{0,256}"
    default: Any = REQUIRED
    doc: str = ""


@dataclass(frozen=True)
class Boolean:
    """A boolean."""

    default: Any = REQUIRED
    doc: str = ""


@dataclass(frozen=True)
class ListOf:
    """A list whose items share a schema."""

    item: Any
    default: Any = REQUIRED
    doc: str = ""


@dataclass(frozen=True)
class MapOf:
    """An object whose keys are names and whose values share a schema."""

    item: Any
    default: Any = REQUIRED
    doc: str = ""


@dataclass(frozen=True)
class Record:
    """An object with known fields."""

    fields: dict[str, Any] = field(default_factory=dict)
    default: Any = REQUIRED
    doc: str = ""


def validate(schema: Any, value: Any, path: str = "$") -> Iterator[Fault]:
    """Yield every violation of ``schema`` in ``value``."""
    match schema:
        case Integer(low=low, high=high):
            if isinstance(value, bool) or not isinstance(value, int):
                yield Fault("settings.E001", path, "is not an integer", f"use {low}..{high}")
            elif not low <= value <= high:
                yield Fault("settings.E002", path, f"{value} is out of range", f"use {low}..{high}")
        case Number(low=low, high=high):
            if isinstance(value, bool) or not isinstance(value, int | float):
                yield Fault("settings.E001", path, "is not a number", f"use {low}..{high}")
            elif not low <= value <= high:
                yield Fault("settings.E002", path, f"{value} is out of range", f"use {low}..{high}")
        case Text(pattern=pattern):
            if not isinstance(value, str):
                yield Fault("settings.E001", path, "is not a string", "put it in quotes")
            elif not re.fullmatch(pattern, value):
                yield Fault("settings.E003", path, f"{value!r} does not match the pattern", pattern)
        case Boolean():
            if not isinstance(value, bool):
                yield Fault("settings.E001", path, "is not a boolean", "use true or false")
        case ListOf(item=item):
            if not isinstance(value, list):
                yield Fault("settings.E001", path, "is not a list", "use [...]")
                return
            for index, entry in enumerate(value):
                yield from validate(item, entry, f"{path}[{index}]")
        case MapOf(item=item):
            if not isinstance(value, dict):
                yield Fault("settings.E001", path, "is not an object", "use {...}")
                return
            for name, entry in value.items():
                if not re.fullmatch(NAME_PATTERN, name):
                    yield Fault(
                        "settings.E003",
                        f"{path}.{name}",
                        "is not a valid name",
                        "use a-z, 0-9 and '-'",
                    )
                yield from validate(item, entry, f"{path}.{name}")
        case Record(fields=fields):
            if not isinstance(value, dict):
                yield Fault("settings.E001", path, "is not an object", "use {...}")
                return
            yield from _validate_record(fields, value, path)


def _validate_record(fields: dict[str, Any], value: dict, path: str) -> Iterator[Fault]:
    for name in sorted(set(value) - set(fields)):
        known = ", ".join(sorted(fields))
        yield Fault(
            "settings.E004", f"{path}.{name}", "is an unknown field", f"known fields: {known}"
        )
    for name, schema in fields.items():
        if name in value:
            yield from validate(schema, value[name], f"{path}.{name}")
        elif schema.default is REQUIRED:
            yield Fault("settings.E005", f"{path}.{name}", "is missing", schema.doc or "add it")


def with_defaults(schema: Any, value: Any) -> Any:
    """Return a valid value with defaults filled in."""
    match schema:
        case Record(fields=fields):
            return {
                name: with_defaults(inner, value.get(name, inner.default))
                for name, inner in fields.items()
            }
        case ListOf(item=item):
            return [with_defaults(item, entry) for entry in value]
        case MapOf(item=item):
            return {name: with_defaults(item, entry) for name, entry in value.items()}
        case _:
            return value
