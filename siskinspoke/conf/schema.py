"""The shape of a settings document and the walk that finds every fault in one pass."""

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from siskinspoke.core.checks import Fault

REQUIRED = object()

NAME_PATTERN = r"[a-z0-9][a-z0-9-]{0,62}"


@dataclass(frozen=True)
class Integer:
    """A whole number within bounds."""

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
    """A string that matches a pattern as a whole."""

    pattern: str = r".{0,256}"
    default: Any = REQUIRED
    doc: str = ""


@dataclass(frozen=True)
class Flag:
    """True or false."""

    default: Any = REQUIRED
    doc: str = ""


@dataclass(frozen=True)
class ListOf:
    """A list whose items have one shape."""

    item: Any
    default: Any = REQUIRED
    doc: str = ""


@dataclass(frozen=True)
class MapOf:
    """An object whose keys are names and whose values have one shape."""

    item: Any
    default: Any = REQUIRED
    doc: str = ""


@dataclass(frozen=True)
class Record:
    """An object with known fields."""

    fields: dict[str, Any] = field(default_factory=dict)
    default: Any = REQUIRED
    doc: str = ""


def validate(shape: Any, value: Any, path: str = "$") -> Iterator[Fault]:
    """Yield every fault of ``value`` against ``shape``."""
    match shape:
        case Integer(low=low, high=high):
            if isinstance(value, bool) or not isinstance(value, int):
                yield Fault("settings.E001", path, "is not a whole number", f"use {low}..{high}")
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
                yield Fault("settings.E003", path, f"{value!r} has the wrong form", pattern)
        case Flag():
            if not isinstance(value, bool):
                yield Fault("settings.E001", path, "is not a flag", "use true or false")
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
                        "settings.E003", f"{path}.{name}", "is not a name", "a-z, 0-9 and '-'"
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
        yield Fault("settings.E004", f"{path}.{name}", "is not a known field", f"known: {known}")
    for name, shape in fields.items():
        if name in value:
            yield from validate(shape, value[name], f"{path}.{name}")
        elif shape.default is REQUIRED:
            yield Fault("settings.E005", f"{path}.{name}", "is missing", shape.doc or "add it")


def with_defaults(shape: Any, value: Any) -> Any:
    """Return a valid value with the documented defaults filled in."""
    match shape:
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
