"""A registry of system checks that look at settings before anything uses them."""

from collections.abc import Callable, Iterable
from typing import NamedTuple


class Fault(NamedTuple):
    """One thing that is wrong: where, what, and what to do about it."""

    id: str
    path: str
    message: str
    hint: str
    file: str = ""

    def __str__(self) -> str:
        where = f"{self.file}: {self.path}" if self.file else self.path
        return f"{where}: ({self.id}) {self.message}\n    HINT: {self.hint}"


Check = Callable[[dict], Iterable[Fault]]

_registry: list[Check] = []


def register(check: Check) -> Check:
    """Add a check to those that run over a merged settings document."""
    _registry.append(check)
    return check


def run_checks(document: dict) -> list[Fault]:
    """Return the faults that all registered checks find in a well-typed document."""
    return [fault for check in _registry for fault in check(document)]
