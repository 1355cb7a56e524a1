"""A registry of system checks that validate settings before they are used."""

from collections.abc import Callable, Iterable
from typing import NamedTuple


class Fault(NamedTuple):
    """A problem found by a check: its location, description and remedy."""

    id: str
    path: str
    message: str
    hint: str
    file: str = ""

    def __str__(self) -> str:
        location = f"{self.file}: {self.path}" if self.file else self.path
        return f"{location}: ({self.id}) {self.message}\n    HINT: {self.hint}"


Check = Callable[[dict], Iterable[Fault]]

_registry: list[Check] = []


def register(check: Check) -> Check:
    """Register a check to be run on a merged settings document."""
    _registry.append(check)
    return check


def run_checks(document: dict) -> list[Fault]:
    """Return the faults that the registered checks find in a document whose types are valid."""
    return [fault for check in _registry for fault in check(document)]
